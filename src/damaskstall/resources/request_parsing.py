"""Parse the paths, query strings and bodies of operators' requests."""

from re import compile as compile_pattern
from typing import Any, NamedTuple

from damaskstall.errors import BadRequestError, FieldProblem, ValidationError
from damaskstall.http.messages import Request, parse_json
from damaskstall.resources.fields import NAME_LIMIT_CHARACTERS
from damaskstall.resources.records import KINDS
from damaskstall.resources.routes import Match
from damaskstall.resources.validate import is_name

PAGE_LIMIT = 1000
PAGE_DEFAULT = 100
PROBLEMS_LIMIT = 100
VERSION_LIMIT = 2**62
MUTATION_HEADER = "idempotency-key"
MUTATION_PATTERN = compile_pattern(r"[A-Za-z0-9._-]{8,128}")
SHOWN_CHARACTERS = 64
TRUE_WORDS = frozenset({"true", "1"})
FALSE_WORDS = frozenset({"false", "0"})


class ApiCall(NamedTuple):
    """One operator's request with its parsed path and body."""

    request: Request
    kind: str
    name: str
    body: dict[str, Any]


async def read_call(
    request: Request, match: Match, limit_bytes: int
) -> ApiCall:
    """Parse and check a request.

    Raises BadRequestError, ValidationError and BodyTooLargeError.
    """
    kind = match.parts.get("kind", "")
    name = match.parts.get("name", "")
    if "kind" in match.parts and kind not in KINDS:
        raise BadRequestError(f"The kind must be one of {', '.join(KINDS)}.")
    if "name" in match.parts and not is_name(name):
        raise BadRequestError("The path does not contain a valid name.")
    check_query(request, match.route.query)
    body: dict[str, Any] = {}
    if match.route.body:
        body = await read_object(request, limit_bytes, match.route.body)
        check_same(body, "kind", kind)
        check_same(body, "name", name)
    return ApiCall(request, kind, name, body)


def check_same(body: dict[str, Any], member: str, wanted: str) -> None:
    """Raise ValidationError when a body member contradicts the path."""
    if wanted and body.get(member, wanted) != wanted:
        raise ValidationError((FieldProblem(member, f"must be {wanted}"),))


async def read_object(
    request: Request, limit_bytes: int, known: tuple[str, ...]
) -> dict[str, Any]:
    """Return the body's JSON object; raise ValidationError on unknown keys.

    Raises BadRequestError when the body is not a JSON object.
    """
    data = await request.body.read(limit_bytes)
    try:
        value = parse_json(data)
    except ValueError as error:
        raise BadRequestError(str(error)) from error
    if not isinstance(value, dict):
        raise BadRequestError("The body must be a JSON object.")
    unknown = [
        FieldProblem(name[:NAME_LIMIT_CHARACTERS], "is not a known field")
        for name in value
        if name not in known
    ]
    if unknown:
        raise ValidationError(tuple(unknown[:PROBLEMS_LIMIT]))
    return value


def check_query(request: Request, known: tuple[str, ...]) -> None:
    """Raise BadRequestError for an unknown query parameter."""
    for name in request.query:
        if name not in known:
            raise BadRequestError(
                f"The query parameter {name[:SHOWN_CHARACTERS]!r} is not "
                "supported by this path."
            )


def read_version(value: Any, path: str) -> int:
    """Return a valid resource version, or raise ValidationError."""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= VERSION_LIMIT:
        raise ValidationError(
            (FieldProblem(path, "must be a resource version that was read"),)
        )
    version: int = value
    return version


def read_number(
    request: Request, name: str, default: int, minimum: int, maximum: int
) -> int:
    """Return an integer query parameter; raise BadRequestError if invalid."""
    text = request.query.get(name)
    if text is None:
        return default
    digits = text.isascii() and text.isdigit() and len(text) <= 19
    if not digits or not minimum <= int(text) <= maximum:
        raise BadRequestError(
            f"The query parameter {name!r} must be a whole number from "
            f"{minimum} to {maximum}."
        )
    return int(text)


def read_boolean(request: Request, name: str) -> bool:
    """Return a boolean query parameter; the default is False.

    Raises BadRequestError when the value is not valid.
    """
    text = request.query.get(name, "false")
    if text not in TRUE_WORDS | FALSE_WORDS:
        raise BadRequestError(
            f"The query parameter {name!r} must be true or false."
        )
    return text in TRUE_WORDS


def read_mutation_id(request: Request, default: str) -> str:
    """Return the client's idempotency key, or a default.

    Raises BadRequestError when the key is not valid.
    """
    given = request.headers.get(MUTATION_HEADER)
    if given is None:
        return default
    if not MUTATION_PATTERN.fullmatch(given):
        raise BadRequestError(
            "The Idempotency-Key must be 8 to 128 characters of A-Z, a-z, "
            "0-9, '.', '_' and '-'."
        )
    return given

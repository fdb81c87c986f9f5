"""Define HTTP requests and responses as handlers see them."""

from collections.abc import AsyncIterable, AsyncIterator, Awaitable, Callable
from json import JSONDecodeError, dumps, loads
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

from trio import sleep_forever

from damaskstall.errors import BodyTooLargeError

JSON_TYPE = "application/json"
NOT_RUN_HEADER = "damaskstall-not-run"

Headers = tuple[tuple[str, str], ...]


class Body:
    """The body of a message; it can be read once, in parts or whole."""

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        """Wrap an iterator over the parts of the body."""
        self.parts = parts

    async def read(self, limit_bytes: int) -> bytes:
        """Return the whole body; raise BodyTooLargeError past the limit."""
        data = bytearray()
        async for part in self.parts:
            data += part
            if len(data) > limit_bytes:
                raise BodyTooLargeError(
                    f"The body is longer than {limit_bytes} bytes."
                )
        return bytes(data)


class Request(NamedTuple):
    """An HTTP request; header names are in lower case.

    ``disconnected`` returns once the client has closed its connection. It
    may be awaited only after the body has been read to its end.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: Body
    disconnected: Callable[[], Awaitable[None]] = sleep_forever
    http_version: str = "1.1"


class Response(NamedTuple):
    """An HTTP response; a body that is an iterable is sent part by part.

    Unless its headers name a content length, such a body is sent with
    chunked encoding. ``close`` closes the connection afterwards.
    """

    status: int
    body: bytes | AsyncIterable[bytes] = b""
    headers: Headers = ()
    close: bool = False


Handler = Callable[[Request], Awaitable[Response]]


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Return the path and the query of a request target.

    Raises ValueError when the target contains a malformed host.
    """
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query, keep_blank_values=True))


def json_response(status: int, value: Any, headers: Headers = ()) -> Response:
    """Return a response whose body is a JSON value."""
    body = dumps(value).encode() + b"\n"
    return Response(status, body, (("content-type", JSON_TYPE), *headers))


def error_response(
    status: int, message: str, headers: Headers = (), **details: Any
) -> Response:
    """Return an error response; ``message`` must be a full sentence."""
    return json_response(status, {"error": message, **details}, headers)


def retry_later_response(
    status: int, message: str, retry_after_s: int, not_run: bool = True
) -> Response:
    """Return a refusal with the number of seconds to wait before a retry.

    ``not_run`` adds the header that states that the request has not run.
    """
    headers: Headers = (("retry-after", str(retry_after_s)),)
    if not_run:
        headers += ((NOT_RUN_HEADER, "true"),)
    return error_response(
        status, message, headers, retry_after_s=retry_after_s
    )


def parse_json(data: bytes) -> Any:
    """Return the value of a JSON text; raise ValueError if it is malformed.

    Repeated member names and the constants NaN and Infinity are rejected,
    since parsers differ in how they read them.
    """
    try:
        return loads(
            data,
            object_pairs_hook=reject_repeated_names,
            parse_constant=reject_constant,
        )
    except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"The body is not JSON: {error}.") from error


def reject_repeated_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's members; raise ValueError on a repeated name."""
    members = dict(pairs)
    if len(members) != len(pairs):
        raise ValueError("A JSON object in the body repeats a member name.")
    return members


def reject_constant(text: str) -> Any:
    """Raise ValueError for NaN, Infinity and -Infinity."""
    raise ValueError(f"The body contains {text}, which is not JSON.")

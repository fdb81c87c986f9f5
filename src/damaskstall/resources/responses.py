"""Map errors to HTTP responses of the resource interface."""

from damaskstall.errors import (
    AlreadyWrittenError,
    BadRequestError,
    BodyTooLargeError,
    FieldProblem,
    ResourceConflictError,
    ResourceMissingError,
    RevisionTooOldError,
    TableOutcomeUnknownError,
    TableUnavailableError,
    ValidationError,
)
from damaskstall.events import log
from damaskstall.http.messages import (
    Headers,
    Response,
    error_response,
    retry_later_response,
)
from damaskstall.resources.events import (
    OUTCOME_UNKNOWN,
    RESOURCE_CONFLICT,
    RESOURCE_REFUSED,
    TABLE_DOWN,
)
from damaskstall.resources.routes import Route

RETRY_AFTER_S = 2
AGE_HEADER = "damaskstall-age-s"
STREAM_TYPE = "application/x-ndjson"


def response_for_error(route: Route, error: Exception) -> Response:
    """Return the response for an error; reraise an unexpected error."""
    handler = route.handler
    if isinstance(error, BadRequestError):
        return error_response(400, str(error))
    if isinstance(error, BodyTooLargeError):
        return error_response(413, str(error))
    if isinstance(error, ResourceMissingError):
        return error_response(404, str(error))
    if isinstance(error, RevisionTooOldError):
        return error_response(410, str(error))
    if isinstance(error, ResourceConflictError):
        log(RESOURCE_CONFLICT, handler=handler, error=str(error))
        return error_response(
            409,
            str(error),
            current_version=error.current_version,
            took_effect=isinstance(error, AlreadyWrittenError),
        )
    if isinstance(error, ValidationError):
        log(RESOURCE_REFUSED, handler=handler, error=str(error))
        problems = [problem._asdict() for problem in error.problems]
        return error_response(422, str(error), problems=problems)
    if isinstance(error, TableUnavailableError):
        log(TABLE_DOWN, handler=handler, error=str(error))
        return retry_later_response(
            503, f"The request is not accepted now: {error}", RETRY_AFTER_S
        )
    if isinstance(error, TableOutcomeUnknownError):
        log(OUTCOME_UNKNOWN, handler=handler, error=str(error))
        return error_response(
            504,
            f"The outcome is unknown; read the resource. {error}",
            (("retry-after", str(RETRY_AFTER_S)),),
        )
    raise error


def no_route_response(path: str, methods: tuple[str, ...]) -> Response:
    """Return the response for an unknown path or an unsupported method."""
    if not methods:
        return error_response(404, f"The path {path} does not exist.")
    listed = ", ".join(methods)
    return error_response(
        405,
        f"The path only supports the methods {listed}.",
        (("allow", listed),),
    )


def age_headers(age_s: float | None) -> Headers:
    """Return the age header of a response that was served from memory."""
    if age_s is None:
        return ()
    return ((AGE_HEADER, f"{age_s:.3f}"),)


def invalid_field(path: str, message: str) -> ValidationError:
    """Return a validation error for one field."""
    return ValidationError((FieldProblem(path, message),))

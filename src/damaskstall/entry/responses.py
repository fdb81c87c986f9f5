"""Define the headers of requests and build the entry's own responses.

Every response to a request has the header ``Damaskstall-Outcome``:
*answered* (it is a backend server's complete response), *not-run* (no backend
server has run any of the request) or *unknown* (the request may have run).
"""

from damaskstall.errors import (
    RequestNotRunError,
    RequestOutcomeUnknownError,
    RequestRejectedError,
)
from damaskstall.http.messages import (
    NOT_RUN_HEADER,
    Headers,
    Response,
    error_response,
)

TEAM_HEADER = "damaskstall-team"
DEADLINE_HEADER = "damaskstall-deadline-s"
IDEMPOTENT_HEADER = "damaskstall-idempotent"
KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "damaskstall-request-id"
OUTCOME_HEADER = "damaskstall-outcome"
REPEAT_HEADER = "damaskstall-repeat"
LEAVING_HEADER = "damaskstall-leaving"
RETRY_AFTER_HEADER = "retry-after"

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

# Headers that apply to a single connection, or that an entry sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_RESPONSE_HEADERS = frozenset(
    {
        NOT_RUN_HEADER,
        REQUEST_ID_HEADER,
        OUTCOME_HEADER,
        REPEAT_HEADER,
        LEAVING_HEADER,
    }
)
OWN_REQUEST_HEADERS = frozenset({DEADLINE_HEADER, REQUEST_ID_HEADER})


def forwarded_headers(
    headers: dict[str, str], dropped: frozenset[str]
) -> Headers:
    """Return the headers to forward, without hop-by-hop headers.

    The headers named in the Connection header and in ``dropped`` are left
    out too.
    """
    named = headers.get("connection", "").lower().split(",")
    hop = HOP_BY_HOP_HEADERS | {name.strip() for name in named}
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name not in hop and name not in dropped
    )


def identity_headers(request_id: str, outcome: str) -> Headers:
    """Return the headers that every response carries."""
    return ((REQUEST_ID_HEADER, request_id), (OUTCOME_HEADER, outcome))


def not_run_response(error: RequestNotRunError, request_id: str) -> Response:
    """Return the response to a request that was refused and has not run."""
    headers = identity_headers(request_id, NOT_RUN) + (
        (NOT_RUN_HEADER, "true"),
    )
    headers += ((RETRY_AFTER_HEADER, str(error.retry_after_s)),)
    return error_response(
        error.status,
        str(error),
        headers,
        outcome=NOT_RUN,
        retry_after_s=error.retry_after_s,
    )


def rejected_response(
    error: RequestRejectedError, request_id: str
) -> Response:
    """Return the response to a request that is not valid and has not run."""
    headers = identity_headers(request_id, NOT_RUN) + (
        (NOT_RUN_HEADER, "true"),
    )
    return error_response(error.status, str(error), headers, outcome=NOT_RUN)


def unknown_response(
    error: RequestOutcomeUnknownError, request_id: str
) -> Response:
    """Return the response to a request that may or may not have run."""
    headers = identity_headers(request_id, UNKNOWN)
    return error_response(error.status, str(error), headers, outcome=UNKNOWN)

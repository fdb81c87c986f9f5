"""Parse and validate callers' requests to backend services."""

from collections.abc import Awaitable, Callable
from math import isfinite
from typing import NamedTuple, cast
from urllib.parse import urlencode

from damaskstall.entry.body import CallerBody
from damaskstall.entry.responses import (
    DEADLINE_HEADER,
    IDEMPOTENT_HEADER,
    KEY_HEADER,
    OWN_REQUEST_HEADERS,
    TEAM_HEADER,
    forwarded_headers,
)
from damaskstall.errors import RequestRejectedError
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.messages import Headers, Request
from damaskstall.peers.config_store import ConfigStore
from damaskstall.resources.records import BackendServiceSpec

REQUESTS_PREFIX = "/v1/requests/"
DEADLINE_LIMIT_S = 86400.0
KEY_LIMIT_CHARACTERS = 200


class Call(NamedTuple):
    """A validated request of a caller.

    ``deadline_s`` is a monotonic time. ``key`` is the idempotency key, or
    empty. ``idempotent`` is true only if the service is declared idempotent
    and the caller's header does not forbid retries. ``length_bytes`` is None
    if the request has no valid content length. ``caller_disconnected``
    returns once the caller has closed its connection.
    """

    request_id: str
    service: str
    spec: BackendServiceSpec
    team: str
    deadline_s: float
    key: str
    idempotent: bool
    target: str
    headers: Headers
    body: CallerBody
    length_bytes: int | None
    caller_disconnected: Callable[[], Awaitable[None]]


def read_call(
    request: Request,
    request_id: str,
    config: ConfigStore,
    settings: EntrySettings,
    now_s: float,
) -> Call:
    """Return the call; raise RequestRejectedError if it is not valid."""
    service = request.path.removeprefix(REQUESTS_PREFIX)
    spec = cast(
        BackendServiceSpec | None, config.spec("backend_service", service)
    )
    if spec is None:
        raise RequestRejectedError(404, f"There is no service {service!r}.")
    if request.method != "POST":
        raise RequestRejectedError(
            405, "A request to a service must use the method POST."
        )
    if request.http_version == "1.0":
        # HTTP/1.0 has no chunked encoding, so the client could not tell a
        # complete streamed response from a truncated one.
        raise RequestRejectedError(
            505, "A request to a service must use HTTP/1.1."
        )
    limit_bytes = settings.request_body_limit_bytes
    length_bytes = read_length(request.headers, limit_bytes)
    may_retry = allows_retries(request.headers)
    query = f"?{urlencode(request.query)}" if request.query else ""
    return Call(
        request_id=request_id,
        service=service,
        spec=spec,
        team=read_team(request.headers, config),
        deadline_s=now_s + read_time_limit_s(request.headers, settings),
        key=read_key(request.headers),
        idempotent=spec["idempotent"] and may_retry,
        target=f"/{service}{query}",
        headers=forwarded_headers(request.headers, OWN_REQUEST_HEADERS),
        body=CallerBody(request.body, limit_bytes),
        length_bytes=length_bytes,
        caller_disconnected=request.disconnected,
    )


def read_length(headers: dict[str, str], limit_bytes: int) -> int | None:
    """Return the body's length, or None if it is not known.

    Raises RequestRejectedError when it is above the limit.
    """
    text = headers.get("content-length", "")
    if not text.isdecimal():
        return None
    if int(text) > limit_bytes:
        raise RequestRejectedError(
            413, f"The body is longer than {limit_bytes} bytes."
        )
    return int(text)


def read_team(headers: dict[str, str], config: ConfigStore) -> str:
    """Return the request's team.

    Raises RequestRejectedError when it is missing or not declared.
    """
    team = headers.get(TEAM_HEADER, "")
    if not team:
        raise RequestRejectedError(
            400, "The header Damaskstall-Team is required."
        )
    if config.spec("team", team) is None:
        raise RequestRejectedError(403, f"There is no team {team!r}.")
    return team


def read_time_limit_s(
    headers: dict[str, str], settings: EntrySettings
) -> float:
    """Return the caller's time limit, or the default one.

    Raises RequestRejectedError when it is not a positive number.
    """
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return settings.default_deadline_s
    try:
        limit_s = float(text)
    except ValueError:
        limit_s = -1.0
    if not isfinite(limit_s) or limit_s <= 0:
        raise RequestRejectedError(
            400,
            f"The header Damaskstall-Deadline-S cannot be {text!r}: it takes "
            "a positive number of seconds.",
        )
    return min(limit_s, DEADLINE_LIMIT_S)


def read_key(headers: dict[str, str]) -> str:
    """Return the idempotency key, or an empty string if there is none.

    Raises RequestRejectedError when the key is not valid.
    """
    key = headers.get(KEY_HEADER)
    if key is None:
        return ""
    if not key or len(key) > KEY_LIMIT_CHARACTERS or not key.isprintable():
        raise RequestRejectedError(
            400,
            "The header Idempotency-Key takes 1 to "
            f"{KEY_LIMIT_CHARACTERS} printable characters.",
        )
    return key


def allows_retries(headers: dict[str, str]) -> bool:
    """Return False if the caller declares its request not idempotent.

    Raises RequestRejectedError when the header is neither true nor false.
    """
    text = headers.get(IDEMPOTENT_HEADER)
    if text is None or text.lower() == "true":
        return True
    if text.lower() == "false":
        return False
    raise RequestRejectedError(
        400,
        f"The header Damaskstall-Idempotent cannot be {text!r}: it takes "
        "true or false.",
    )

"""Make one attempt of a request on one connection to a server.

A response is valid only if it names the attempt that it belongs to and is
complete. A short response is read to its end before any of it is sent to the
caller; of a long one the start is read, and the rest is streamed. When a
streamed response is truncated, the caller's connection closes before the end
of the body, so that the caller detects the truncation.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

from trio import TooSlowError, current_time, fail_after, fail_at

from damaskstall.entry.body import CallerBody
from damaskstall.entry.connection_pool import ConnectionPool
from damaskstall.entry.responses import (
    LEAVING_HEADER,
    OWN_RESPONSE_HEADERS,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    forwarded_headers,
)
from damaskstall.errors import (
    CallerDisconnectedError,
    ConnectionLostError,
    ResponseMismatchError,
    ResponseTimeoutError,
    ServerRefusedError,
)
from damaskstall.http.client import HttpConnection, ResponseStart
from damaskstall.http.messages import NOT_RUN_HEADER, Headers

BUFFER_BYTES = 16384
REFUSAL_STATUS = 503
REFUSAL_WAIT_S = 0.2


class Attempt(NamedTuple):
    """One attempt: what is sent, and the deadline of its response.

    ``fresh`` requires a connection that is new or has hardly been idle, as
    ``ConnectionPool.acquire`` describes.
    """

    attempt_id: str
    target: str
    headers: Headers
    body: CallerBody
    deadline_s: float
    fresh: bool


class StreamedResponse:
    """An iterator over the parts of a long response.

    The callbacks in ``on_end`` run once, when the response ends or is closed,
    and receive whether it was complete.
    """

    def __init__(
        self,
        start: bytes,
        parts: AsyncIterator[bytes],
        deadline_s: float,
    ) -> None:
        """Continue after ``start``, the part that was already read."""
        self.start = start
        self.parts = parts
        self.deadline_s = deadline_s
        self.whole = False
        self.closed = False
        self.on_end: list[Callable[[bool], Awaitable[None]]] = []

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the iterator of the parts."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next part.

        Raises ConnectionLostError when the response is truncated, and
        ResponseTimeoutError when it does not end before the deadline.
        """
        if self.start:
            start, self.start = self.start, b""
            return start
        if self.closed:
            raise StopAsyncIteration
        try:
            with fail_at(self.deadline_s):
                part = await anext(self.parts, None)
        except TooSlowError as error:
            raise ResponseTimeoutError(
                "The response did not end before the deadline."
            ) from error
        if part is not None:
            return part
        self.whole = True
        await self.aclose()
        raise StopAsyncIteration

    async def aclose(self) -> None:
        """Run the end callbacks; further calls have no effect."""
        if self.closed:
            return
        self.closed = True
        for callback in self.on_end:
            await callback(self.whole)


class ServerResponse(NamedTuple):
    """A backend server's response to one attempt.

    ``leaving`` is whether the server reported that it is leaving.
    """

    status: int
    headers: Headers
    body: bytes | StreamedResponse
    leaving: bool


async def exchange(pool: ConnectionPool, attempt: Attempt) -> ServerResponse:
    """Send one attempt and return its response.

    Raises ConnectFailedError when no byte was sent, ServerRefusedError when
    the server refused the request without running it,
    CallerDisconnectedError when the caller's body could not be read, and
    ConnectionLostError when the outcome is unknown.
    """
    connection = await pool.acquire(attempt.fresh, current_time())
    kept = False
    try:
        with fail_at(attempt.deadline_s):
            head = await send_and_receive_head(connection, attempt)
            response = await receive_response(connection, head, attempt)
        if isinstance(response.body, StreamedResponse):
            check_refusal(head)
            response.body.on_end.append(
                connection_end_callback(pool, connection)
            )
            kept = True
            return response
        kept = True
        await pool.release(connection, current_time())
        check_refusal(head)
        return response
    except TooSlowError as error:
        raise ResponseTimeoutError(
            f"The server {pool.address} did not respond before the deadline."
        ) from error
    finally:
        if not kept:
            await pool.discard(connection)


def connection_end_callback(
    pool: ConnectionPool, connection: HttpConnection
) -> Callable[[bool], Awaitable[None]]:
    """Return the callback that releases or discards a connection.

    It runs at the end of a streamed response.
    """

    async def end(whole: bool) -> None:
        if whole:
            await pool.release(connection, current_time())
        else:
            await pool.discard(connection)

    return end


async def send_and_receive_head(
    connection: HttpConnection, attempt: Attempt
) -> ResponseStart:
    """Send an attempt and return the start of its response."""
    headers = (*attempt.headers, (REQUEST_ID_HEADER, attempt.attempt_id))
    try:
        await connection.send(
            "POST", attempt.target, headers, attempt.body.outgoing()
        )
    except CallerDisconnectedError:
        raise
    except ConnectionLostError:
        # A server that refuses early may close before reading the whole
        # body; its refusal can still be read.
        await raise_if_refused(connection, attempt)
        raise
    head = await connection.receive_head()
    check_identity(head, attempt)
    return head


async def raise_if_refused(
    connection: HttpConnection, attempt: Attempt
) -> None:
    """Raise ServerRefusedError if a refusal arrives within REFUSAL_WAIT_S."""
    try:
        with fail_after(REFUSAL_WAIT_S):
            head = await connection.receive_head()
    except (ConnectionLostError, TooSlowError):
        return
    check_identity(head, attempt)
    check_refusal(head)


def check_identity(head: ResponseStart, attempt: Attempt) -> None:
    """Raise ResponseMismatchError if a response names another attempt."""
    named = head.headers.get(REQUEST_ID_HEADER, "")
    if named != attempt.attempt_id:
        raise ResponseMismatchError(
            f"The response names the attempt {named!r}, not "
            f"{attempt.attempt_id!r}."
        )


def check_refusal(head: ResponseStart) -> None:
    """Raise ServerRefusedError if a response states that nothing was run."""
    if head.status != REFUSAL_STATUS:
        return
    if head.headers.get(NOT_RUN_HEADER, "").lower() != "true":
        return
    text = head.headers.get(RETRY_AFTER_HEADER, "")
    raise ServerRefusedError(
        int(text) if text.isdecimal() else 1,
        head.headers.get(LEAVING_HEADER, "").lower() == "true",
    )


async def receive_response(
    connection: HttpConnection, head: ResponseStart, attempt: Attempt
) -> ServerResponse:
    """Return the response, whole if it is short, else as a stream."""
    parts = connection.receive_body()
    start = bytearray()
    while len(start) <= BUFFER_BYTES:
        part = await anext(parts, None)
        if part is None:
            return make_response(head, bytes(start))
        start += part
    rest = StreamedResponse(bytes(start), parts, attempt.deadline_s)
    return make_response(head, rest)


def make_response(
    head: ResponseStart, body: bytes | StreamedResponse
) -> ServerResponse:
    """Return a response with the headers to forward to the caller."""
    headers = forwarded_headers(head.headers, OWN_RESPONSE_HEADERS)
    length = head.headers.get("content-length")
    if length is not None and isinstance(body, StreamedResponse):
        headers += (("content-length", length),)
    leaving = head.headers.get(LEAVING_HEADER, "").lower() == "true"
    return ServerResponse(head.status, headers, body, leaving)

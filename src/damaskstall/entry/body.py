"""Buffer callers' request bodies up to a limit, so that they can be resent.

A body up to the replay limit is read whole before anything is sent, so a
slow caller does not occupy a slot of a backend server, and the request can be
retried. Of a longer body only the start is buffered and the rest is streamed;
such a request can be retried only as long as streaming has not started.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from trio import TooSlowError

from damaskstall.errors import (
    BodyTooLargeError,
    CallerDisconnectedError,
    ConnectionLostError,
    RequestNotRunError,
    RequestRejectedError,
)
from damaskstall.http.messages import Body

REPLAY_LIMIT_BYTES = 16384


class CallerBody:
    """A caller's request body, read once and sent in one or more attempts."""

    def __init__(self, body: Body, limit_bytes: int) -> None:
        """Wrap a body that has not been read; ``limit_bytes`` bounds it."""
        self.parts = body.parts
        self.limit_bytes = limit_bytes
        self.start = b""
        self.complete = False
        self.stream_started = False

    async def buffer_start(self, buffer_bytes: int) -> None:
        """Buffer the body, or its start if it exceeds ``buffer_bytes``.

        The buffered start can exceed that number by one part. Raises
        BodyTooLargeError and CallerDisconnectedError.
        """
        data = bytearray()
        while len(data) <= buffer_bytes:
            part = await self._next_part()
            if part is None:
                self.complete = True
                break
            data += part
            self._check_length(len(data))
        self.start = bytes(data)

    def can_be_sent(self) -> bool:
        """Return whether an attempt could still send the whole body."""
        return self.complete or not self.stream_started

    def outgoing(self) -> bytes | AsyncIterator[bytes]:
        """Return the body for one attempt: bytes if complete, or a stream."""
        if self.complete:
            return self.start
        return self._stream()

    async def _stream(self) -> AsyncIterator[bytes]:
        self.stream_started = True
        passed_bytes = len(self.start)
        yield self.start
        while True:
            part = await self._next_part()
            if part is None:
                return
            passed_bytes += len(part)
            self._check_length(passed_bytes)
            yield part

    def _check_length(self, length_bytes: int) -> None:
        if length_bytes > self.limit_bytes:
            raise BodyTooLargeError(
                f"The body is longer than {self.limit_bytes} bytes."
            )

    async def _next_part(self) -> bytes | None:
        try:
            return await anext(self.parts, None)
        except (ConnectionLostError, TooSlowError) as error:
            raise CallerDisconnectedError(
                f"The caller's body could not be read to its end: {error}."
            ) from error


async def read_for_replay(body: CallerBody, limit_bytes: int) -> None:
    """Buffer a body, or its start if it exceeds ``limit_bytes``.

    Raises RequestRejectedError when the body turns out to exceed its own
    limit, and CallerDisconnectedError when it cannot be read.
    """
    try:
        await body.buffer_start(limit_bytes)
    except BodyTooLargeError as error:
        raise RequestRejectedError(413, str(error)) from error


class MemoryBudget:
    """A limit on the memory that the bodies of keyed requests use together."""

    def __init__(self, limit_bytes: int) -> None:
        """Start with nothing reserved."""
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0

    @contextmanager
    def reserve(self, length_bytes: int) -> Iterator[None]:
        """Reserve memory inside the ``with`` block.

        Raises RequestNotRunError when the limit would be exceeded.
        """
        if self.reserved_bytes + length_bytes > self.limit_bytes:
            raise RequestNotRunError(
                503,
                "The memory for the bodies of requests with idempotency keys "
                "does not suffice for another request.",
                1,
            )
        self.reserved_bytes += length_bytes
        try:
            yield
        finally:
            self.reserved_bytes -= length_bytes

"""Call HTTP/1.1 servers over keep-alive connections.

A response is matched to its request by the connection alone. A connection
whose exchange did not end cleanly is therefore closed and never reused.
"""

from collections.abc import AsyncIterable, AsyncIterator, Callable
from json import dumps
from select import POLLIN, poll
from types import TracebackType
from typing import Any, NamedTuple

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
)
from h11 import Request as RequestHead
from h11 import Response as ResponseHead
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketStream,
    TooSlowError,
    current_time,
    fail_after,
    move_on_after,
)
from trio.abc import HalfCloseableStream
from trio.lowlevel import checkpoint_if_cancelled

from damaskstall.addresses import Address
from damaskstall.errors import (
    BodyTooLargeError,
    ConnectFailedError,
    ConnectionLostError,
)
from damaskstall.http.messages import JSON_TYPE, Headers, parse_json
from damaskstall.network import Network

RECEIVE_BYTES = 65536
HEADER_LIMIT_BYTES = 16384
JSON_LIMIT_BYTES = 16 * 1024 * 1024
IDLE_CONNECTION_LIMIT = 8
# Time limit for a response body of which parts keep arriving. The 16 MB
# allowed above take this long at 10 Mbit/s, the speed of the slowest links
# of the supported sites.
BODY_TIME_LIMIT_S = 13.0


class ResponseStart(NamedTuple):
    """The status and the headers of a response; its body follows."""

    status: int
    headers: dict[str, str]


class HttpConnection:
    """A client connection that carries one exchange at a time."""

    def __init__(self, address: Address, stream: HalfCloseableStream) -> None:
        """Wrap a connected stream."""
        self.address = address
        self.stream = stream
        self.http = Connection(
            CLIENT, max_incomplete_event_size=HEADER_LIMIT_BYTES
        )
        self.sent_bytes = 0
        self.received_bytes = 0
        self.head: ResponseStart | None = None

    @classmethod
    async def open(
        cls, network: Network, address: Address
    ) -> "HttpConnection":
        """Connect to an address; raise ConnectFailedError if that fails."""
        try:
            stream = await network.connect(address)
        except OSError as error:
            raise ConnectFailedError(
                f"The connection to {address} could not be opened: {error}."
            ) from error
        return cls(address, stream)

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes | AsyncIterable[bytes] = b"",
        host: str = "",
    ) -> None:
        """Send one request; raise ConnectionLostError if sending fails.

        ``host`` is the value of the Host header, the address by default.
        """
        host_header = ("host", host or str(self.address))
        try:
            head = RequestHead(
                method=method,
                target=target,
                headers=[host_header, *headers, *framing_headers(body)],
            )
            data = self.http.send(head) or b""
            if isinstance(body, bytes):
                if body:
                    data += self.http.send(Data(data=body)) or b""
                data += self.http.send(EndOfMessage()) or b""
                await self._send_all(data)
                return
            await self._send_all(data)
            async for part in body:
                if part:
                    sent = self.http.send(Data(data=part))
                    await self._send_all(sent)
            await self._send_all(self.http.send(EndOfMessage()))
        except (LocalProtocolError, UnicodeError) as error:
            raise ConnectionLostError(
                f"The request could not be sent whole: {error}."
            ) from error

    async def receive_head(self) -> ResponseStart:
        """Return the response's status and headers.

        Raises ConnectionLostError when the connection ends before them.
        """
        event = await self._next_event()
        while isinstance(event, InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, ResponseHead):
            raise ConnectionLostError(
                f"The server {self.address} closed the connection without a "
                "response."
            )
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in event.headers
        }
        self.head = ResponseStart(event.status_code, headers)
        return self.head

    async def receive_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; raise ConnectionLostError if truncated.

        A response with neither a content length nor chunked encoding ends
        with its connection, so a truncated body could not be recognized.
        Such a response is refused.
        """
        self._check_delimited()
        while True:
            event = await self._next_event()
            if isinstance(event, Data):
                yield bytes(event.data)
            elif isinstance(event, EndOfMessage):
                return
            else:
                raise ConnectionLostError(
                    "The connection closed before the response was complete."
                )

    async def read_body(
        self, limit_bytes: int, on_part: Callable[[], None] | None = None
    ) -> bytes:
        """Return the whole body; raise BodyTooLargeError past the limit.

        ``on_part`` is called when a part has arrived.
        """
        data = bytearray()
        async for part in self.receive_body():
            data += part
            if on_part is not None:
                on_part()
            if len(data) > limit_bytes:
                raise BodyTooLargeError(
                    f"The response is longer than {limit_bytes} bytes."
                )
        return bytes(data)

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; return whether reuse is safe."""
        if self.http.our_state is not DONE:
            return False
        if self.http.their_state is not DONE:
            return False
        if self.http.trailing_data[0]:
            # Bytes after this response would be read as the next response.
            return False
        self.http.start_next_cycle()
        return True

    async def close(self) -> None:
        """Close the connection without waiting for the peer."""
        with CancelScope(shield=True):
            with move_on_after(0):
                await self.stream.aclose()

    def _check_delimited(self) -> None:
        if self.head is None:
            raise ConnectionLostError("The response has not started.")
        headers = self.head.headers
        if "content-length" in headers or "transfer-encoding" in headers:
            return
        if self.head.status in (204, 304):
            return
        raise ConnectionLostError(
            "The response has neither a content length nor chunked encoding."
        )

    async def _next_event(self) -> object:
        try:
            event: object = self.http.next_event()
            while event is NEED_DATA:
                data = await self.stream.receive_some(RECEIVE_BYTES)
                self.received_bytes += len(data)
                self.http.receive_data(bytes(data))
                event = self.http.next_event()
        except (
            RemoteProtocolError,
            BrokenResourceError,
            ClosedResourceError,
        ) as error:
            raise ConnectionLostError(
                f"The connection to {self.address} broke: {error!r}."
            ) from error
        return event

    async def _send_all(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            await self.stream.send_all(data)
        except (BrokenResourceError, ClosedResourceError) as error:
            raise ConnectionLostError(
                f"The connection to {self.address} broke: {error!r}."
            ) from error
        self.sent_bytes += len(data)


def framing_headers(body: bytes | AsyncIterable[bytes]) -> Headers:
    """Return the header that delimits a request's body."""
    if isinstance(body, bytes):
        return (("content-length", str(len(body))),)
    return (("transfer-encoding", "chunked"),)


class JsonResponse(NamedTuple):
    """A whole response with its parsed JSON body (None if empty)."""

    status: int
    headers: dict[str, str]
    value: Any


class HttpClient:
    """A client of one server that keeps idle connections for reuse."""

    def __init__(
        self, network: Network, address: Address, timeout_s: float
    ) -> None:
        """Set the server and the time limit of one call.

        The limit applies up to the start of the response and then between
        two parts of its body, so that a long response over a slow link does
        not time out while data keeps arriving.
        """
        self.network = network
        self.address = address
        self.timeout_s = timeout_s
        self._idle: list[HttpConnection] = []

    async def __aenter__(self) -> "HttpClient":
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the idle connections."""
        await self.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    def is_connected(self) -> bool:
        """Return whether the next call can use a connection that is open."""
        return any(not has_pending_input(c.stream) for c in self._idle)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Headers = (),
        limit_bytes: int = JSON_LIMIT_BYTES,
        host: str = "",
    ) -> tuple[ResponseStart, bytes]:
        """Send one request and return the start and the body of its response.

        Raises ConnectFailedError when nothing was sent. Raises
        ConnectionLostError or BodyTooLargeError when the outcome is unknown,
        which includes a time-out after the connection was opened.
        """
        connection: HttpConnection | None = None
        try:
            with fail_after(self.timeout_s) as scope:
                connection = await self._connect()
                await connection.send(method, target, headers, body, host)
                head = await connection.receive_head()
                latest_s = current_time() + BODY_TIME_LIMIT_S

                def on_part() -> None:
                    next_s = current_time() + self.timeout_s
                    scope.deadline = min(next_s, latest_s)

                data = await connection.read_body(limit_bytes, on_part)
        except TooSlowError:
            if connection is None:
                raise ConnectFailedError(
                    f"The server {self.address} did not accept a connection "
                    "within the time limit."
                ) from None
            raise ConnectionLostError(
                f"The server {self.address} did not respond within the time "
                "limit."
            ) from None
        finally:
            if connection is not None:
                await self._keep_or_close(connection)
        return head, data

    async def call_json(
        self,
        method: str,
        target: str,
        value: Any = None,
        limit_bytes: int = JSON_LIMIT_BYTES,
        headers: Headers = (),
    ) -> JsonResponse:
        """Send a value as JSON and return the response with its JSON value.

        A value of None sends an empty body; an empty response body is
        returned as None. Raises as ``call`` does, and ConnectionLostError
        when the response is not JSON.
        """
        body = b"" if value is None else dumps(value).encode()
        if body:
            headers = (("content-type", JSON_TYPE), *headers)
        head, data = await self.call(
            method, target, body, headers, limit_bytes
        )
        try:
            parsed = parse_json(data) if data else None
        except ValueError as error:
            raise ConnectionLostError(str(error)) from error
        return JsonResponse(head.status, head.headers, parsed)

    async def _connect(self) -> HttpConnection:
        while self._idle:
            connection = self._idle.pop()
            if not has_pending_input(connection.stream):
                await checkpoint_if_cancelled()
                return connection
            await connection.close()
        return await HttpConnection.open(self.network, self.address)

    async def _keep_or_close(self, connection: HttpConnection) -> None:
        room = len(self._idle) < IDLE_CONNECTION_LIMIT
        if room and connection.prepare_reuse():
            self._idle.append(connection)
            return
        await connection.close()


def has_pending_input(stream: HalfCloseableStream) -> bool:
    """Return whether an idle connection is readable.

    That means that the peer has closed it or sent unexpected bytes; such a
    connection must not be reused.
    """
    if not isinstance(stream, SocketStream):
        return False
    poller = poll()
    poller.register(stream.socket.fileno(), POLLIN)
    return bool(poller.poll(0))

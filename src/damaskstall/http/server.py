"""Serve HTTP/1.1 connections with one task for each.

A slow or silent client occupies one connection slot until a timeout. Above
the connection limit, new connections are closed at once.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

from h11 import (
    CLOSED,
    DONE,
    IDLE,
    MUST_CLOSE,
    NEED_DATA,
    SEND_BODY,
    SERVER,
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
)
from h11 import Request as RequestHead
from h11 import Response as ResponseHead
from trio import (
    TASK_STATUS_IGNORED,
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    Event,
    TaskStatus,
    TooSlowError,
    current_time,
    fail_after,
    move_on_after,
    sleep_forever,
)
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.containment import record_failure
from damaskstall.errors import (
    BodyTooLargeError,
    ConnectionLostError,
    DamaskstallError,
)
from damaskstall.events import CONNECTION_FAILED, HANDLER_FAILED, log
from damaskstall.http.messages import (
    Body,
    Handler,
    Request,
    Response,
    error_response,
    split_target,
)
from damaskstall.network import Network

RECEIVE_BYTES = 65536
HEADER_LIMIT_BYTES = 16384
LINGER_S = 0.5
DRAIN_IDLE_S = 1.0
MINIMUM_BODY_BYTES_PER_S = 4096


class ServerLimits(NamedTuple):
    """The maximum number of connections and the time limits for clients."""

    connections: int = 512
    read_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 30.0


class DrainState:
    """The open connections and requests of a server, and its drain flag."""

    def __init__(self) -> None:
        """Start with no connection and no request, not draining."""
        self.draining = False
        self.connections = 0
        self.requests = 0
        self.idle_scopes: set[CancelScope] = set()
        self._all_closed = Event()

    def start(self) -> None:
        """Make every connection close after its next response.

        An idle connection stays open for DRAIN_IDLE_S, since a request may
        already be on its way: if the connection closed at once, the client
        could not know whether that request had run.
        """
        self.draining = True
        latest_s = current_time() + DRAIN_IDLE_S
        for scope in list(self.idle_scopes):
            scope.deadline = min(scope.deadline, latest_s)
        self.notify_if_closed()

    def notify_if_closed(self) -> None:
        """Wake the tasks in ``wait_closed`` if no connection is open."""
        if not self.connections:
            self._all_closed.set()
            self._all_closed = Event()

    async def wait_closed(self) -> None:
        """Return once no connection is open."""
        while self.connections:
            await self._all_closed.wait()


async def serve_http(
    handler: Handler,
    network: Network,
    address: Address,
    limits: ServerLimits,
    drain: DrainState,
    task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
) -> None:
    """Serve connections until cancelled.

    Reports the bound address through ``task_status``.
    """
    serve = partial(
        serve_connection, handler=handler, limits=limits, drain=drain
    )
    await network.serve(serve, address, task_status=task_status)


async def serve_connection(
    stream: HalfCloseableStream,
    handler: Handler,
    limits: ServerLimits,
    drain: DrainState,
) -> None:
    """Serve the requests of one connection one after another."""
    if drain.connections >= limits.connections:
        await stream.aclose()
        return
    drain.connections += 1
    connection = ServerConnection(stream, limits, drain)
    try:
        while await connection.serve_next(handler):
            pass
        await connection.close()
    except (
        BrokenResourceError,
        ClosedResourceError,
        ConnectionLostError,
        TooSlowError,
    ) as error:
        log(CONNECTION_FAILED, error=repr(error))
    finally:
        drain.connections -= 1
        drain.notify_if_closed()
        with CancelScope(shield=True):
            with move_on_after(LINGER_S):
                await stream.aclose()


class ServerConnection:
    """The server side of one connection."""

    def __init__(
        self,
        stream: HalfCloseableStream,
        limits: ServerLimits,
        drain: DrainState,
    ) -> None:
        """Wrap an accepted stream."""
        self.stream = stream
        self.limits = limits
        self.drain = drain
        self.http = Connection(
            SERVER, max_incomplete_event_size=HEADER_LIMIT_BYTES
        )

    async def serve_next(self, handler: Handler) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            head = await self._read_head()
        except RemoteProtocolError as error:
            await self._respond_to_malformed(error)
            return False
        if head is None:
            return False
        self.drain.requests += 1
        try:
            response = await self._handle(handler, head)
            has_body = may_have_body(head.method, response.status)
            try:
                await self._send(response, has_body)
            finally:
                await close_body(response)
        finally:
            self.drain.requests -= 1
        return await self._prepare_reuse()

    async def close(self) -> None:
        """Close the sending side, then discard input for up to LINGER_S.

        Closing with unread input would reset the connection, and the client
        could lose the end of the response.
        """
        await self.stream.send_eof()
        with move_on_after(LINGER_S):
            while await self.stream.receive_some(RECEIVE_BYTES):
                pass

    async def _read_head(self) -> RequestHead | None:
        first = self.http.next_event()
        if first is NEED_DATA:
            if not await self._wait_for_data():
                return None
            first = NEED_DATA
        with fail_after(self.limits.read_timeout_s):
            event = await self._read_event(first)
        if isinstance(event, RequestHead):
            return event
        return None

    async def _wait_for_data(self) -> bool:
        """Return whether data arrived before the idle timeout."""
        if self.drain.draining:
            # A request that is already on its way is served.
            scope = CancelScope(deadline=current_time() + DRAIN_IDLE_S)
        else:
            deadline = current_time() + self.limits.idle_timeout_s
            scope = CancelScope(deadline=deadline)
        self.drain.idle_scopes.add(scope)
        data = b""
        try:
            with scope:
                data = bytes(await self.stream.receive_some(RECEIVE_BYTES))
        finally:
            self.drain.idle_scopes.discard(scope)
        if scope.cancelled_caught:
            return False
        self.http.receive_data(data)
        return bool(data)

    async def _read_event(self, event: object) -> object:
        """Return the event; if it is NEED_DATA, read until the next one."""
        while event is NEED_DATA:
            event = self.http.next_event()
            if event is not NEED_DATA:
                break
            data = await self.stream.receive_some(RECEIVE_BYTES)
            self.http.receive_data(bytes(data))
        return event

    async def _body_parts(self) -> AsyncGenerator[bytes, None]:
        if self.http.they_are_waiting_for_100_continue:
            continue_response = InformationalResponse(
                status_code=100, headers=[]
            )
            await self.stream.send_all(self.http.send(continue_response))
        left_s = self.limits.read_timeout_s
        while True:
            read_started_s = current_time()
            try:
                with fail_after(left_s):
                    event = await self._read_event(NEED_DATA)
            except RemoteProtocolError as error:
                raise ConnectionLostError(
                    f"The request's body is malformed: {error}."
                ) from error
            except TooSlowError:
                raise ConnectionLostError(
                    "The request's body arrived too slowly."
                ) from None
            if isinstance(event, Data):
                # Time that the handler spends between two parts does not
                # count against the client.
                left_s -= current_time() - read_started_s
                left_s += len(event.data) / MINIMUM_BODY_BYTES_PER_S
                left_s = min(left_s, self.limits.read_timeout_s)
                yield bytes(event.data)
            elif isinstance(event, EndOfMessage):
                return
            else:
                raise ConnectionLostError(
                    "The connection closed before the request's body was "
                    "complete."
                )

    async def _wait_disconnected(self) -> None:
        """Return once the client has closed the connection.

        Data of a following request that arrives meanwhile is buffered. Once
        that reaches RECEIVE_BYTES, a disconnect is no longer detected.
        """
        buffered_bytes = 0
        while buffered_bytes < RECEIVE_BYTES:
            try:
                data = bytes(await self.stream.receive_some(RECEIVE_BYTES))
            except (BrokenResourceError, ClosedResourceError):
                return
            if not data:
                return
            self.http.receive_data(data)
            buffered_bytes += len(data)
        await sleep_forever()

    async def _handle(self, handler: Handler, head: RequestHead) -> Response:
        if head.method == b"CONNECT":
            # An answer 2xx would turn the connection into a tunnel.
            return error_response(405, "This server opens no tunnels.")
        try:
            target = head.target.decode("ascii", "replace")
            path, query = split_target(target)
        except ValueError as error:
            return error_response(400, f"The target is malformed: {error}.")
        headers = decode_headers(head)
        async with aclosing(self._body_parts()) as parts:
            request = Request(
                head.method.decode("ascii"),
                path,
                query,
                headers,
                Body(parts),
                self._wait_disconnected,
                head.http_version.decode("ascii"),
            )
            try:
                return await handler(request)
            except BodyTooLargeError as error:
                return error_response(413, str(error))
            except ConnectionLostError:
                raise
            except Exception as error:
                # An unexpected error in one handler must not end the process.
                log(HANDLER_FAILED, path=path, error=repr(error))
                record_failure("request", path, error)
                return error_response(
                    500, "An unexpected error occurred in the request handler."
                )

    async def _respond_to_malformed(self, error: RemoteProtocolError) -> None:
        if self.http.our_state not in (IDLE, SEND_BODY):
            return
        status = error.error_status_hint or 400
        await self._send(
            error_response(status, f"The request is malformed: {error}.")
        )

    async def _send(self, response: Response, has_body: bool = True) -> None:
        """Send a response; its body only if it may have one."""
        headers = list(response.headers)
        if isinstance(response.body, bytes):
            headers.append(("content-length", str(len(response.body))))
        elif self._needs_length() and not has_content_length(response):
            raise ConnectionLostError(
                "An HTTP/1.0 client cannot receive a response without a "
                "content length."
            )
        if response.close or self.drain.draining or self._has_unread_body():
            headers.append(("connection", "close"))
        head = ResponseHead(
            status_code=response.status,
            headers=headers,
            reason=reason_phrase(response.status),
        )
        if not has_body:
            data = self.http.send(head) + self.http.send(EndOfMessage())
            await self._send_all(data)
            return
        if isinstance(response.body, bytes):
            data = self.http.send(head)
            data += self.http.send(Data(data=response.body)) or b""
            data += self.http.send(EndOfMessage()) or b""
            await self._send_all(data)
            return
        await self._send_all(self.http.send(head))
        try:
            async for part in response.body:
                if part:
                    await self._send_all(self.http.send(Data(data=part)))
        except DamaskstallError as error:
            # The connection closes without the end of the body, which shows
            # the client that the response is truncated.
            raise ConnectionLostError(
                f"The response could not be completed: {error}"
            ) from error
        finally:
            # Close the generator now to free its resources, not when it is
            # garbage-collected.
            if isinstance(response.body, AsyncGenerator):
                await response.body.aclose()
        await self._send_all(self.http.send(EndOfMessage()))

    async def _send_all(self, data: bytes | None) -> None:
        if data:
            with fail_after(self.limits.write_timeout_s):
                await self.stream.send_all(data)

    def _needs_length(self) -> bool:
        return self.http.their_http_version == b"1.0"

    def _has_unread_body(self) -> bool:
        """Return whether the handler left part of the body unread."""
        return (
            self.http.their_state
            not in (
                DONE,
                MUST_CLOSE,
                CLOSED,
            )
            and not self._has_complete_body()
        )

    def _has_complete_body(self) -> bool:
        """Return whether nothing but the end of the body is left to read."""
        if self.http.their_state is not SEND_BODY:
            return False
        try:
            event = self.http.next_event()
        except RemoteProtocolError:
            return False
        return isinstance(event, EndOfMessage)

    async def _prepare_reuse(self) -> bool:
        if self.http.our_state is not DONE:
            return False
        if self.http.their_state is not DONE:
            return False
        self.http.start_next_cycle()
        return True


def may_have_body(method: bytes, status: int) -> bool:
    """Return whether the response to a method may have a body (RFC 9110)."""
    return method != b"HEAD" and status not in (204, 304)


def has_content_length(response: Response) -> bool:
    """Return whether a response's headers include a content length."""
    return any(name == "content-length" for name, _ in response.headers)


async def close_body(response: Response) -> None:
    """Close a response body that is a generator, also after an error.

    Waits at most LINGER_S.
    """
    aclose = getattr(response.body, "aclose", None)
    if aclose is None:
        return
    with CancelScope(shield=True), move_on_after(LINGER_S):
        await aclose()


def decode_headers(head: RequestHead) -> dict[str, str]:
    """Return the headers by lower-case name.

    The values of a repeated header are joined with a comma.
    """
    headers: dict[str, str] = {}
    for name_bytes, value_bytes in head.headers:
        name = name_bytes.decode("ascii")
        value = value_bytes.decode("latin-1")
        known = headers.get(name)
        headers[name] = value if known is None else f"{known}, {value}"
    return headers


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status code."""
    return HTTPStatus(status).phrase.encode()

"""Define how processes open and accept connections.

Programs use TCP. Tests provide an in-memory network, which runs in virtual
time and can be partitioned.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from trio import (
    TASK_STATUS_IGNORED,
    TaskStatus,
    open_nursery,
    open_tcp_listeners,
    open_tcp_stream,
    serve_listeners,
)
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.containment import contained

StreamHandler = Callable[[HalfCloseableStream], Awaitable[None]]


class Network(Protocol):
    """An interface to connect to and serve addresses."""

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError when it is refused."""

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in its own task until cancelled.

        Reports the bound address through ``task_status``; port 0 picks a
        free port.
        """


def contained_handler(
    handler: StreamHandler, address: Address
) -> StreamHandler:
    """Return a handler whose unexpected errors end one connection alone."""

    async def handle(stream: HalfCloseableStream) -> None:
        with contained("connection", str(address)):
            await handler(stream)

    return handle


class TcpNetwork:
    """A network of TCP connections."""

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError when it is refused."""
        try:
            return await open_tcp_stream(address.host, address.port)
        except (OverflowError, ValueError) as error:
            # A host that cannot be encoded, or a port out of range.
            raise OSError(f"The address is not usable: {error!r}.") from error

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in its own task until cancelled."""
        listeners = await open_tcp_listeners(address.port, host=address.host)
        name = listeners[0].socket.getsockname()
        bound = Address(name[0], name[1])
        handle = contained_handler(handler, bound)
        async with open_nursery() as nursery:
            task_status.started(bound)
            await serve_listeners(handle, listeners, handler_nursery=nursery)

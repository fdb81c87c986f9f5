"""Open and accept connections behind a protocol.

Programs use TCP. Tests bring a network in memory, which runs under virtual
time and can be cut.
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

StreamHandler = Callable[[HalfCloseableStream], Awaitable[None]]


class Network(Protocol):
    """Reach other processes by address."""

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError when it is refused."""

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in a task of its own until cancelled.

        Reports the bound address; port 0 picks a free one.
        """


class TcpNetwork:
    """Reach other processes over TCP."""

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError when it is refused."""
        return await open_tcp_stream(address.host, address.port)

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in a task of its own until cancelled."""
        listeners = await open_tcp_listeners(address.port, host=address.host)
        name = listeners[0].socket.getsockname()
        async with open_nursery() as nursery:
            task_status.started(Address(name[0], name[1]))
            await serve_listeners(handler, listeners, handler_nursery=nursery)

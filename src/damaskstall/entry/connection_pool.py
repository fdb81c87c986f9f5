"""Pool the open connections to one backend server."""

from typing import NamedTuple

from trio import TooSlowError, fail_after

from damaskstall.addresses import Address
from damaskstall.errors import ConnectFailedError
from damaskstall.http.client import HttpConnection, has_pending_input
from damaskstall.network import Network

CONNECT_TIMEOUT_S = 1.0
IDLE_LIMIT_S = 10.0
# A server may close an idle connection just as a request is sent on it, and
# then it is unknown whether the request ran. A request that must not be sent
# twice therefore uses only a new connection or one idle for less than this.
FRESH_LIMIT_S = 1.0


class IdleConnection(NamedTuple):
    """An idle connection and the time at which its last exchange ended."""

    connection: HttpConnection
    since_s: float


class ConnectionPool:
    """The connections to one server, in use and idle."""

    def __init__(self, network: Network, address: Address) -> None:
        """Set the server's address and start without connections."""
        self.network = network
        self.address = address
        self.limit = 1
        self.open_count = 0
        self.closed = False
        self.idle: list[IdleConnection] = []

    async def acquire(self, fresh: bool, now_s: float) -> HttpConnection:
        """Return an idle or new connection for one request.

        ``fresh`` excludes connections that were idle for FRESH_LIMIT_S.
        Raises ConnectFailedError when no connection could be opened.
        """
        limit_s = FRESH_LIMIT_S if fresh else IDLE_LIMIT_S
        while self.idle:
            connection, since_s = self.idle.pop()
            stale = now_s - since_s > limit_s
            if not stale and not has_pending_input(connection.stream):
                return connection
            await self.discard(connection)
        return await self._open()

    async def _open(self) -> HttpConnection:
        self.open_count += 1
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                return await HttpConnection.open(self.network, self.address)
        except TooSlowError as error:
            self.open_count -= 1
            raise ConnectFailedError(
                f"The server {self.address} did not accept a connection "
                "within the time limit."
            ) from error
        except BaseException:
            self.open_count -= 1
            raise

    async def release(self, connection: HttpConnection, now_s: float) -> None:
        """Keep a connection that can be reused, or close it.

        It is also closed when the pool is closed or above its limit.
        """
        room = self.open_count <= self.limit and not self.closed
        if room and connection.prepare_reuse():
            self.idle.append(IdleConnection(connection, now_s))
            return
        await self.discard(connection)

    async def discard(self, connection: HttpConnection) -> None:
        """Close a connection and remove it from the pool."""
        self.open_count -= 1
        await connection.close()

    async def close_idle(self, now_s: float) -> None:
        """Close the connections that have been idle for IDLE_LIMIT_S."""
        while self.idle and now_s - self.idle[0].since_s > IDLE_LIMIT_S:
            await self.discard(self.idle.pop(0).connection)

    async def close(self) -> None:
        """Close all idle connections; later ones are closed on release."""
        self.closed = True
        while self.idle:
            await self.discard(self.idle.pop().connection)

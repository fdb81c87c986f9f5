"""Connect the simulated processes of a test, with cuts and freezes.

Every process has its own endpoint, named by its host. A cut in one direction
or in both delays bytes and new connections, as packet loss does; they arrive
after the cut heals. A frozen host sends and receives nothing.
"""

from collections import Counter
from operator import attrgetter
from random import Random
from weakref import WeakSet

from trio import (
    TASK_STATUS_IGNORED,
    Event,
    Nursery,
    TaskStatus,
    open_nursery,
    sleep,
    sleep_forever,
)
from trio.abc import HalfCloseableStream
from trio.testing import memory_stream_pair

from damaskstall.addresses import Address
from damaskstall.network import StreamHandler, contained_handler

HOP_DELAY_S = 0.0005
FIRST_PORT = 40000


class Listener:
    """The handler of new connections to one address."""

    def __init__(self, host: str, handler: StreamHandler, nursery: Nursery):
        """Listen on a host; connections are handled in ``nursery``."""
        self.host = host
        self.handler = handler
        self.nursery = nursery


class Connection:
    """What both ends of a connection share."""

    def __init__(self, number: int) -> None:
        """Create the connection of a number; it delivers bytes."""
        self.number = number
        self.severed = False


class MemoryNetwork:
    """An in-memory network with its listeners, cuts and frozen hosts."""

    def __init__(self) -> None:
        """Start without listeners and cuts."""
        self.listeners: dict[Address, Listener] = {}
        self.next_port = FIRST_PORT
        self.cuts: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.incarnations: Counter[str] = Counter()
        self.connections: WeakSet[Connection] = WeakSet()
        # How many there have ever been.
        self.connected = 0
        self._changed = Event()

    def endpoint(self, host: str) -> "NetworkEndpoint":
        """Return the network as the given host reaches it."""
        return NetworkEndpoint(self, host)

    def cut(self, source: str, target: str) -> None:
        """Delay all bytes from ``source`` to ``target`` until ``heal``."""
        self.cuts.add((source, target))

    def heal(self, source: str, target: str) -> None:
        """Remove a cut and deliver the delayed bytes."""
        self.cuts.discard((source, target))
        self.wake()

    def freeze(self, host: str) -> None:
        """Stop all traffic of a host, as SIGSTOP of its process would."""
        self.frozen.add(host)

    def thaw(self, host: str) -> None:
        """Resume the traffic of a frozen host."""
        self.frozen.discard(host)
        self.wake()

    def kill(self, host: str) -> None:
        """Stop a host's process from sending, as SIGKILL does.

        What it has sent still arrives. A process that starts on the host
        afterwards is a new incarnation and is not affected.
        """
        self.incarnations[host] += 1
        for address, listener in list(self.listeners.items()):
            if listener.host == host:
                del self.listeners[address]

    def add_connection(self) -> Connection:
        """Return what both ends of a new connection share."""
        self.connected += 1
        connection = Connection(self.connected)
        self.connections.add(connection)
        return connection

    def sever(self, share: float, random: Random) -> None:
        """Let a share of the open connections deliver nothing any more.

        Neither end is told; new connections work.
        """
        for connection in sorted(self.connections, key=attrgetter("number")):
            if random.random() < share:
                connection.severed = True

    def wake(self) -> None:
        """Wake all tasks that wait for a cut or a freeze to end."""
        self._changed.set()
        self._changed = Event()

    def is_open(self, source: str, target: str) -> bool:
        """Return whether bytes from ``source`` reach ``target``."""
        if source in self.frozen or target in self.frozen:
            return False
        return (source, target) not in self.cuts

    async def wait_open(self, source: str, target: str) -> None:
        """Return after the hop delay, once ``source`` reaches ``target``."""
        await sleep(HOP_DELAY_S)
        while not self.is_open(source, target):
            await self._changed.wait()


class NetworkEndpoint:
    """The network of one host's process; implements ``Network``."""

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        """Start an endpoint of the host's present incarnation."""
        self.network = network
        self.host = host
        self.incarnation = network.incarnations[host]

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError if it is refused."""
        listener = self.network.listeners.get(address)
        if listener is not None:
            await self.network.wait_open(self.host, listener.host)
            await self.network.wait_open(listener.host, self.host)
            listener = self.network.listeners.get(address)
        if listener is None:
            raise ConnectionRefusedError(f"No process listens at {address}.")
        near, far = memory_stream_pair()
        connection = self.network.add_connection()
        accepted = PartitionableStream(
            far, self.network, listener.host, self.host, connection
        )
        own = PartitionableStream(
            near, self.network, self.host, listener.host, connection
        )
        if self.incarnation != self.network.incarnations[self.host]:
            await sleep_forever()
        listener.nursery.start_soon(listener.handler, accepted)
        return own

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in its own task until cancelled.

        Reports the bound address; port 0 picks a free port.
        """
        bound = address if address.port else self._free_address()
        async with open_nursery() as nursery:
            contained = contained_handler(handler, address)
            listener = Listener(self.host, contained, nursery)
            self.network.listeners[bound] = listener
            task_status.started(bound)
            try:
                await sleep_forever()
            finally:
                self.network.listeners.pop(bound, None)

    def _free_address(self) -> Address:
        self.network.next_port += 1
        return Address("127.0.0.1", self.network.next_port)


class PartitionableStream(HalfCloseableStream):
    """A stream between two hosts that cuts and freezes delay."""

    def __init__(
        self,
        stream: HalfCloseableStream,
        network: MemoryNetwork,
        host: str,
        peer: str,
        connection: Connection,
    ) -> None:
        """Wrap one end of an in-memory stream pair."""
        self.stream = stream
        self.network = network
        self.host = host
        self.peer = peer
        self.connection = connection
        self.incarnation = network.incarnations[host]
        self.undelivered: bytes = b""

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes; return at once even if a cut delays them.

        Never returns if the sending process has been killed.
        """
        if self.incarnation != self.network.incarnations[self.host]:
            await sleep_forever()
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return at once, since the stream pair has an unbounded buffer."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes once no cut delays them.

        Never returns once the connection is severed.
        """
        data = self.undelivered
        if not data:
            data = bytes(await self.stream.receive_some(max_bytes))
        # If this call is cancelled below, the next one returns the bytes.
        self.undelivered = data
        await self.network.wait_open(self.peer, self.host)
        if self.connection.severed:
            await sleep_forever()
        self.undelivered = b""
        return data

    async def send_eof(self) -> None:
        """Close the sending direction; the peer reads end of file."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close this end of the stream pair."""
        await self.stream.aclose()

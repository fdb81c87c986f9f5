"""Model an instance whose processor is slow, under virtual time."""

from trio import TASK_STATUS_IGNORED, TaskStatus
from trio.abc import HalfCloseableStream
from trio.lowlevel import current_clock
from trio.testing import MockClock

from damaskstall.addresses import Address
from damaskstall.network import Network, StreamHandler


def use_processor(seconds: float) -> None:
    """Let time pass while nothing else runs."""
    clock = current_clock()
    assert isinstance(clock, MockClock)
    clock.jump(seconds)


class SlowProcessorStream(HalfCloseableStream):
    """A connection on which each call takes processor time."""

    def __init__(self, stream: HalfCloseableStream, call_s: float) -> None:
        """Use ``call_s`` of the processor for each part sent or received."""
        self.stream = stream
        self.call_s = call_s

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        use_processor(self.call_s)
        await self.stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Return once bytes can be sent."""
        await self.stream.wait_send_all_might_not_block()

    async def receive_some(
        self, max_bytes: int | None = None
    ) -> bytes | bytearray:
        """Return the next bytes."""
        data = await self.stream.receive_some(max_bytes)
        use_processor(self.call_s)
        return data

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()


class SlowProcessorNetwork:
    """A network on which connections and calls take processor time."""

    def __init__(
        self, network: Network, connect_s: float, call_s: float
    ) -> None:
        """Use the processor for each new connection, and for each call."""
        self.network = network
        self.connect_s = connect_s
        self.call_s = call_s

    async def connect(self, address: Address) -> HalfCloseableStream:
        """Return a new connection; raise OSError if it is refused."""
        use_processor(self.connect_s)
        stream = await self.network.connect(address)
        return SlowProcessorStream(stream, self.call_s)

    async def serve(
        self,
        handler: StreamHandler,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Handle each connection in its own task until cancelled."""
        await self.network.serve(handler, address, task_status)

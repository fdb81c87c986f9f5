"""Exchange heartbeats, configuration and state changes with one peer."""

from random import Random

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Event,
    Lock,
    TooSlowError,
    current_time,
    fail_after,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.addresses import Address
from damaskstall.errors import FrameError
from damaskstall.events import log
from damaskstall.frames import FrameStream
from damaskstall.generated.messages import (
    ConfigDelta,
    ConfigPull,
    Frame,
    Heartbeat,
    HeartbeatAck,
    TableCall,
    TableReply,
    TakeOut,
    TakeOutAck,
)
from damaskstall.network import Network
from damaskstall.peers.deltas import apply_answer, confirmed_time
from damaskstall.peers.events import (
    PEER_CONNECTED,
    PEER_DELTA_REFUSED,
    PEER_LOST,
)
from damaskstall.peers.node import PeerNode
from damaskstall.peers.peer_server import HINT_REQUEST_ID, check_heartbeat
from damaskstall.peers.pending_state_changes import PendingStateChange

EXCHANGE_TIMEOUT_S = 1.0
BACKOFF_LIMIT_S = 2.0
JITTER_RATIO = 0.2
DOUBLING_LIMIT = 8
FRESH_POLL_RATIO = 3
FRESH_AGE_S = 1.5
ANSWER_PARTS_LIMIT = 64

AnswerBody = (
    ConfigPull
    | ConfigDelta
    | Heartbeat
    | HeartbeatAck
    | TakeOut
    | TakeOutAck
    | TableCall
    | TableReply
)

CONNECTION_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    FrameError,
    OSError,
    TooSlowError,
)


class PeerClient:
    """Maintains a connection to one peer and polls it."""

    def __init__(
        self,
        network: Network,
        address: Address,
        node: PeerNode,
        pull_lock: Lock,
        poll_s: float,
    ) -> None:
        """Poll a peer; all clients share ``node`` and ``pull_lock``."""
        self.network = network
        self.address = address
        self.node = node
        self.pull_lock = pull_lock
        self.poll_s = poll_s
        self.peer: Heartbeat | None = None
        self.connected = False
        self.failures = 0
        self.exchanges = 0
        self._random = Random(f"{node.identity.instance} {address}")

    async def run(self) -> None:
        """Connect, exchange frames and reconnect until cancelled."""
        while True:
            try:
                await self._connect_and_exchange()
            except* CONNECTION_ERRORS as group:
                self._record_failure(group.exceptions[0])
            doublings = min(self.failures, DOUBLING_LIMIT)
            pause_s = min(BACKOFF_LIMIT_S, self.poll_s * 2.0**doublings)
            jitter = self._random.uniform(1 - JITTER_RATIO, 1)
            await sleep(pause_s * jitter)

    async def _connect_and_exchange(self) -> None:
        with fail_after(EXCHANGE_TIMEOUT_S):
            stream = await self.network.connect(self.address)
        frames = FrameStream(stream)
        async with stream:
            try:
                session = PeerSession(self, frames)
                await session.run()
            finally:
                self.connected = False
                self.node.traffic.add(frames)

    def _record_failure(self, error: BaseException) -> None:
        if not self.failures:
            log(PEER_LOST, peer=str(self.address), error=repr(error))
        self.failures += 1

    def record_success(self, peer: Heartbeat) -> None:
        """Record a successful exchange."""
        if not self.connected:
            log(PEER_CONNECTED, peer=str(self.address), instance=peer.instance)
        self.peer = peer
        self.exchanges += 1
        self.connected = True
        self.failures = 0


class PeerSession:
    """The frame exchange over one established connection."""

    def __init__(self, client: PeerClient, frames: FrameStream) -> None:
        """Start a session of a client on its connection."""
        self.client = client
        self.node = client.node
        self.frames = frames
        self.forwarded: set[str] = set()
        self._request_id = HINT_REQUEST_ID
        self._answers: list[Frame] = []
        self._answer_received = Event()
        self._hinted = Event()
        self._request_lock = Lock()

    async def run(self) -> None:
        """Exchange frames until the connection fails."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._forward_state_changes)
            while True:
                await self._exchange()
                await self._wait_until_due()

    async def _wait_until_due(self) -> None:
        """Wait for a hint or until the next exchange is due.

        While the table keeps the configuration fresh, the peer is polled
        less often, since it sends a hint on each change.
        """
        poll_s = self.client.poll_s
        for _ in range(FRESH_POLL_RATIO):
            with move_on_after(poll_s):
                await self._hinted.wait()
                self._hinted = Event()
                return
            if self.node.store.age_s(current_time()) > FRESH_AGE_S:
                return

    async def _receive(self) -> None:
        while frame := await self.frames.receive():
            if frame.request_id == HINT_REQUEST_ID:
                self._handle_hint(frame)
                continue
            self._answers.append(frame)
            self._answer_received.set()
        raise FrameError("The peer closed the connection.")

    def _handle_hint(self, frame: Frame) -> None:
        body = frame.body
        if not isinstance(body, ConfigDelta):
            raise FrameError(
                "A peer sent a hint that is not a configuration delta."
            )
        if body.revision > self.node.store.revision:
            self._hinted.set()

    async def _exchange(self) -> None:
        sent_s = current_time()
        answer = await self._request(self.node.heartbeat(sent_s))
        if not isinstance(answer[0], HeartbeatAck):
            raise FrameError(
                "A peer answered a heartbeat with another message type."
            )
        peer = answer[0].heartbeat
        check_heartbeat(peer)
        self.node.liveness.record_heartbeat(peer, sent_s)
        self.node.liveness.record_answer(self.client.address, sent_s)
        self.client.record_success(peer)
        confirmed_s = confirmed_time(sent_s, peer.confirmed_age_s)
        self.node.store.confirm(peer.revision, confirmed_s)
        if not self._should_pull(peer, confirmed_s):
            return
        async with self.client.pull_lock:
            # Another peer may have delivered it while this one waited.
            if self._should_pull(peer, confirmed_s):
                await self._pull()

    def _should_pull(self, peer: Heartbeat, confirmed_s: float) -> bool:
        store = self.node.store
        if peer.config_revision > store.config_revision:
            return True
        return (
            peer.revision > store.revision and confirmed_s > store.confirmed_s
        )

    async def _pull(self) -> None:
        store = self.node.store
        after = store.revision
        sent_s = current_time()
        answer = await self._request(ConfigPull(after))
        parts = tuple(p for p in answer if isinstance(p, ConfigDelta))
        if len(parts) != len(answer):
            raise FrameError(
                "A peer answered a pull with another message type."
            )
        if not apply_answer(store, parts, sent_s):
            log(
                PEER_DELTA_REFUSED,
                peer=str(self.client.address),
                after_revision=after,
                revision=parts[-1].revision,
            )

    async def _forward_state_changes(self) -> None:
        store = self.node.store
        while True:
            pending = self._next_to_forward()
            if pending is None:
                await store.wait_change()
                continue
            answer = await self._request(take_out_to_frame(pending))
            if not isinstance(answer[0], TakeOutAck):
                raise FrameError(
                    "A peer answered a TakeOut with another message type."
                )
            self.forwarded.add(pending.issued_id)

    def _next_to_forward(self) -> PendingStateChange | None:
        held = tuple(self.node.store.pending.values())
        self.forwarded &= {pending.issued_id for pending in held}
        for pending in held:
            if pending.issued_id not in self.forwarded:
                return pending
        return None

    async def _request(
        self, body: ConfigPull | Heartbeat | TakeOut
    ) -> tuple[AnswerBody, ...]:
        """Send a request and return its answer; one request at a time."""
        async with self._request_lock:
            with fail_after(EXCHANGE_TIMEOUT_S):
                self._request_id += 1
                await self.frames.send(Frame(self._request_id, body))
                return await self._receive_answer()

    async def _receive_answer(self) -> tuple[AnswerBody, ...]:
        bodies: list[AnswerBody] = []
        while not bodies or has_more(bodies[-1]):
            if not self._answers:
                self._answer_received = Event()
                await self._answer_received.wait()
            frame = self._answers.pop(0)
            if frame.request_id != self._request_id:
                raise FrameError("A peer answered with another request's id.")
            bodies.append(frame.body)
            if len(bodies) > ANSWER_PARTS_LIMIT:
                raise FrameError("A peer's answer has too many parts.")
        return tuple(bodies)


def has_more(body: AnswerBody) -> bool:
    """Return whether another frame of the same answer follows."""
    return isinstance(body, ConfigDelta) and body.more


def take_out_to_frame(pending: PendingStateChange) -> TakeOut:
    """Return the frame body of a pending state change."""
    return TakeOut(
        pending.failure_domain,
        pending.out,
        max(0.0, current_time() - pending.issued_s),
        pending.issued_id,
        pending.base_revision,
        pending.sequence,
        pending.issued_unix_s,
    )

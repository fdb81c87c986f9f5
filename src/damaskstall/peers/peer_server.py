"""Answer the requests of peers, one task per connection.

A connected peer is also sent hints: frames with the request id 0 that
announce a change of the configuration without its rows.
"""

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    TooSlowError,
    current_time,
    fail_after,
    open_nursery,
)
from trio.abc import HalfCloseableStream

from damaskstall.errors import FrameError
from damaskstall.events import log
from damaskstall.frames import FrameStream
from damaskstall.generated.messages import (
    ConfigDelta,
    ConfigPull,
    Frame,
    Heartbeat,
    HeartbeatAck,
    TakeOut,
    TakeOutAck,
)
from damaskstall.peers.deltas import answer_pull, reported_age_s
from damaskstall.peers.events import PEER_FRAME_REFUSED
from damaskstall.peers.metrics import NO_LABELS, REFUSED_FRAMES
from damaskstall.peers.node import PeerNode
from damaskstall.peers.pending_state_changes import PendingStateChange

CONNECTION_LIMIT = 256
NAME_LIMIT = 256
REQUEST_LIMIT_BYTES = 4096
IDLE_TIMEOUT_S = 30.0
HINT_REQUEST_ID = 0


class PeerServer:
    """Serves a process's configuration and heartbeat to its peers."""

    def __init__(self, node: PeerNode) -> None:
        """Serve the state of a node."""
        self.node = node
        self.connections = 0
        self.refused_frames = 0

    async def handle(self, stream: HalfCloseableStream) -> None:
        """Serve one connection until it ends or sends an invalid frame."""
        if self.connections >= CONNECTION_LIMIT:
            await stream.aclose()
            return
        self.connections += 1
        try:
            async with stream:
                await self._serve_connection(
                    FrameStream(stream, REQUEST_LIMIT_BYTES)
                )
        except* FrameError as group:
            self.refused_frames += 1
            REFUSED_FRAMES.inc(NO_LABELS)
            log(PEER_FRAME_REFUSED, error=str(group.exceptions[0]))
        except* (BrokenResourceError, ClosedResourceError, TooSlowError):
            pass
        finally:
            self.connections -= 1

    async def _serve_connection(self, frames: FrameStream) -> None:
        try:
            async with open_nursery() as nursery:
                nursery.start_soon(self._send_hints, frames)
                while frame := await self._receive(frames):
                    with fail_after(IDLE_TIMEOUT_S):
                        await self._answer(frames, frame)
                nursery.cancel_scope.cancel()
        finally:
            self.node.traffic.add(frames)

    async def _receive(self, frames: FrameStream) -> Frame | None:
        with fail_after(IDLE_TIMEOUT_S):
            return await frames.receive()

    async def _answer(self, frames: FrameStream, frame: Frame) -> None:
        body = frame.body
        if isinstance(body, ConfigPull):
            for delta in answer_pull(
                self.node.store, body.after_revision, current_time()
            ):
                await frames.send(Frame(frame.request_id, delta))
            return
        if isinstance(body, Heartbeat):
            check_heartbeat(body)
            now_s = current_time()
            self.node.liveness.record_heartbeat(body, now_s)
            ack = HeartbeatAck(self.node.heartbeat(now_s))
            await frames.send(Frame(frame.request_id, ack))
            return
        if isinstance(body, TakeOut):
            self.node.hold_state_change(
                take_out_from_frame(body, current_time())
            )
            ack_body = TakeOutAck(body.issued_id)
            await frames.send(Frame(frame.request_id, ack_body))
            return
        raise FrameError("A peer sent a message that is not a request.")

    async def _send_hints(self, frames: FrameStream) -> None:
        """Send a hint on each change; the peer pulls if it is behind."""
        store = self.node.store
        sent_version = store.version
        while True:
            if store.version == sent_version:
                await store.wait_change()
                continue
            sent_version = store.version
            newest = max(store.revision, store.config_revision)
            age_s = reported_age_s(store, current_time())
            hint = ConfigDelta(newest, age_s, (), newest, False, False)
            await frames.send(Frame(HINT_REQUEST_ID, hint))


def check_heartbeat(heartbeat: Heartbeat) -> None:
    """Raise FrameError for a malformed heartbeat."""
    names = (
        heartbeat.instance,
        heartbeat.failure_domain,
        heartbeat.program,
    )
    if not heartbeat.instance or max(map(len, names)) > NAME_LIMIT:
        raise FrameError(
            "A heartbeat has no instance, or a name in it is too long."
        )
    # Written with "not" because a comparison with NaN is false.
    if not heartbeat.confirmed_age_s < float("inf"):
        raise FrameError("A heartbeat has no finite confirmed age.")


def take_out_from_frame(body: TakeOut, now_s: float) -> PendingStateChange:
    """Return a peer's state change; raise FrameError if malformed."""
    names = (body.failure_domain, body.issued_id)
    if not all(names) or max(map(len, names)) > NAME_LIMIT:
        raise FrameError(
            "A TakeOut has no failure domain or id, or one is too long."
        )
    times = (body.issued_age_s, body.issued_unix_s)
    if not all(0 <= time_s < float("inf") for time_s in times):
        raise FrameError("A TakeOut has no finite, non-negative times.")
    if body.base_revision < 0 or body.sequence < 1:
        raise FrameError("A TakeOut has no valid revision or sequence.")
    return PendingStateChange(
        body.failure_domain,
        body.out,
        body.issued_id,
        now_s - body.issued_age_s,
        body.base_revision,
        body.sequence,
        body.issued_unix_s,
    )

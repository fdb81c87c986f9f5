"""Define the state that a process's peer server and clients share."""

from damaskstall.events import log
from damaskstall.frames import FrameStream
from damaskstall.generated.messages import Heartbeat
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.deltas import reported_age_s
from damaskstall.peers.events import TAKE_OUT_HELD
from damaskstall.peers.liveness import LivenessTable, PeerIdentity
from damaskstall.peers.pending_state_changes import PendingStateChange


class Traffic:
    """The byte counts of connections that have ended."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent_bytes = 0
        self.received_bytes = 0

    def add(self, frames: FrameStream) -> None:
        """Add the byte counts of a connection that has ended."""
        self.sent_bytes += frames.sent_bytes
        self.received_bytes += frames.received_bytes


class PeerNode:
    """One process's identity, configuration and liveness table."""

    def __init__(self, identity: PeerIdentity, store: ConfigStore) -> None:
        """Start with an empty liveness table."""
        self.identity = identity
        self.store = store
        self.liveness = LivenessTable()
        self.traffic = Traffic()
        self.leaving = False

    def heartbeat(self, now_s: float) -> Heartbeat:
        """Return the process's own heartbeat."""
        return Heartbeat(
            instance=self.identity.instance,
            failure_domain=self.identity.failure_domain,
            program=self.identity.program,
            revision=self.store.revision,
            confirmed_age_s=reported_age_s(self.store, now_s),
            leaving=self.leaving,
            config_revision=self.store.config_revision,
        )

    def hold_state_change(self, pending: PendingStateChange) -> None:
        """Apply a peer's state change, so that it is forwarded as well."""
        if self.store.hold_state_change(pending):
            log(
                TAKE_OUT_HELD,
                failure_domain=pending.failure_domain,
                out=pending.out,
                issued_id=pending.issued_id,
            )

"""Record the heartbeats of peers and their configuration revisions."""

from typing import NamedTuple

from damaskstall.addresses import Address
from damaskstall.generated.messages import Heartbeat

PEER_ROW_LIMIT = 4096


class PeerIdentity(NamedTuple):
    """A process's unique instance name, failure domain and program."""

    instance: str
    failure_domain: str
    program: str


class PeerRecord(NamedTuple):
    """A peer's last heartbeat and when it was received.

    ``confirmed_s`` is on the local clock; None means never confirmed.
    """

    identity: PeerIdentity
    config_revision: int
    confirmed_s: float | None
    leaving: bool
    heard_s: float


class InstanceRow(NamedTuple):
    """One process as shown to operators; ages count back from now.

    ``config_revision`` is that of the newest configuration row it has.
    """

    instance: str
    program: str
    failure_domain: str
    config_revision: int
    confirmed_age_s: float | None
    leaving: bool
    heard_age_s: float


class LivenessTable:
    """The last heartbeats received directly from peers."""

    def __init__(self) -> None:
        """Start without any peers."""
        self.rows: dict[str, PeerRecord] = {}
        self._answered_s: dict[Address, float] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, since_s: float) -> None:
        """Record a heartbeat; its confirmed age counts back from ``since_s``.

        ``since_s`` is on the local clock.
        """
        age_s = heartbeat.confirmed_age_s
        identity = PeerIdentity(
            heartbeat.instance, heartbeat.failure_domain, heartbeat.program
        )
        self.rows[heartbeat.instance] = PeerRecord(
            identity,
            heartbeat.config_revision,
            None if age_s < 0 else since_s - age_s,
            heartbeat.leaving,
            since_s,
        )
        self._remove_most_silent(since_s)

    def record_answer(self, address: Address, now_s: float) -> None:
        """Record that a process answered at an address."""
        self._answered_s[address] = now_s

    def answering_addresses(self, now_s: float, ttl_s: float) -> set[Address]:
        """Return the addresses that answered within the last ``ttl_s``."""
        return {
            address
            for address, answered_s in self._answered_s.items()
            if now_s - answered_s <= ttl_s
        }

    def count_live(
        self, failure_domain: str, now_s: float, ttl_s: float
    ) -> int:
        """Return the number of live peers in a failure domain.

        A peer is live if its last heartbeat is at most ``ttl_s`` old and did
        not report that the peer is leaving.
        """
        return sum(
            row.identity.failure_domain == failure_domain
            and not row.leaving
            and now_s - row.heard_s <= ttl_s
            for row in self.rows.values()
        )

    def instances(self, now_s: float) -> tuple[InstanceRow, ...]:
        """Return all recorded peers, ordered by name."""
        return tuple(
            InstanceRow(
                row.identity.instance,
                row.identity.program,
                row.identity.failure_domain,
                row.config_revision,
                age_or_none(row.confirmed_s, now_s),
                row.leaving,
                now_s - row.heard_s,
            )
            for _, row in sorted(self.rows.items())
        )

    def _remove_most_silent(self, now_s: float) -> None:
        if len(self.rows) <= PEER_ROW_LIMIT:
            return
        silent = min(self.rows.values(), key=lambda row: row.heard_s)
        del self.rows[silent.identity.instance]


def age_or_none(confirmed_s: float | None, now_s: float) -> float | None:
    """Return seconds since a time, or None for no time."""
    return None if confirmed_s is None else now_s - confirmed_s

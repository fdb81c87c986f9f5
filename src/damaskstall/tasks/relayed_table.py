"""Call the table service directly, or through a peer while that fails.

The store may refuse one instance and serve the others. It may also fail in
part: then the calls that concern the failing part are relayed one by one.
"""

from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

from trio import (
    Cancelled,
    CancelScope,
    Event,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.errors import (
    PlatformError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.types import ChangePage, Row, ScanPage, Write
from damaskstall.tasks.events import RELAY_ENDED, RELAY_STARTED
from damaskstall.tasks.peer_directory import PeerDirectory
from damaskstall.tasks.peer_table import PeerTable
from damaskstall.tasks.ports import ConfigurationReport, WatchedTable
from damaskstall.tasks.store_latency import StoreLatency

Result = TypeVar("Result")

# Interval of direct test calls while the store refuses this instance.
PROBE_S = 0.25
PROBE_KEY = "cell/service"
LEASE_TABLE = "cell"
# A peer that cannot reach the store answers at once. If this many peers fail,
# the store is probably unavailable to all instances.
PEER_TRIES = 3
COMMIT = "commit"
# A peer answers a read in this time, and a scan over two slow links in the
# longer one, unless it is cut off.
PATIENCE_S = 0.4
BULK_PATIENCE_S = 1.0
# The lease is renewed several times within this time, so if nothing was
# answered in it, the store refuses all calls of this instance.
ANSWER_AGE_S = 0.5
# Follows the table in the shard of a call that concerns all its parts.
ALL_PARTS = "@*"


class RelayedTable:
    """Table service that falls back to peers while the store refuses."""

    def __init__(self, direct: WatchedTable, peers: PeerDirectory) -> None:
        """Start with direct calls to the store."""
        self.direct = direct
        self.peers = peers
        self.latency = StoreLatency()
        self.refused = False
        self.refused_since_s = float("inf")
        # When a direct call was last answered, by shard.
        self._answered_s: dict[str, float] = {}
        self._refused_event = Event()
        self._relayed: set[CancelScope] = set()

    def refused_for_s(self, now_s: float) -> float:
        """Return for how many seconds the store has refused this instance."""
        return max(0.0, now_s - self.refused_since_s)

    async def run(self) -> None:
        """Probe the store for as long as it refuses this instance."""
        while True:
            if not self.refused:
                self._refused_event = Event()
                await self._refused_event.wait()
            await sleep(PROBE_S)
            try:
                await self.direct.read(PROBE_KEY)
            except TableUnavailableError:
                continue
            self.refused = False
            self.refused_since_s = float("inf")
            log(RELAY_ENDED, relayed=len(self._relayed))
            for scope in self._relayed:
                # The peer may wait longer for the store than a direct call.
                scope.cancel()

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""
        return await self._call(
            shard_of(key), lambda table: table.read(key), "read", PATIENCE_S
        )

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""
        return await self._call(
            shard_of(prefix),
            lambda table: table.scan(prefix, after, limit),
            "scan",
        )

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision."""
        return await self._call(
            shard_of(prefix) + ALL_PARTS,
            lambda table: table.changes(prefix, after_revision, limit),
        )

    async def watch(
        self, table: str, after_revision: int, wait_s: float
    ) -> ChangePage:
        """Return the rows of a table changed after a revision, in order."""
        return await self._call(
            table + ALL_PARTS,
            lambda target: target.watch(table, after_revision, wait_s),
            patience_s=BULK_PATIENCE_S + wait_s,
        )

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision.

        A write whose outcome is not known is not repeated through a peer:
        the caller resolves the outcome by reading the row.
        """
        return await self._call(
            shard_of(writes[0].key),
            lambda target: target.commit(writes, mutation_id),
            COMMIT,
            # Two peers must not perform one write.
            float("inf"),
        )

    async def _call(
        self,
        shard: str,
        call: Callable[[WatchedTable], Awaitable[Result]],
        measured_as: str = "",
        patience_s: float = BULK_PATIENCE_S,
    ) -> Result:
        """Perform a call; record its latency under ``measured_as`` if given.

        A watch waits for changes, so its latency is not recorded.
        """
        if not self.refused:
            try:
                sent_s = self.peers.clock()
                result = await call(self.direct)
                now_s = self._answered_s[shard] = self.peers.clock()
                if measured_as:
                    self.latency.record(measured_as, now_s - sent_s)
                return result
            except TableUnavailableError as refusal:
                if not self._fails_alone(shard, self.peers.clock()):
                    self._mark_refused(str(refusal))
        with CancelScope() as scope:
            self._relayed.add(scope)
            try:
                return await self._call_peers(call, patience_s)
            finally:
                self._relayed.discard(scope)
        return await self._repeat_directly(call, measured_as == COMMIT)

    async def _repeat_directly(
        self, call: Callable[[WatchedTable], Awaitable[Result]], is_write: bool
    ) -> Result:
        """Repeat directly a call whose relaying was cancelled on recovery.

        Raise TableOutcomeUnknownError for a write: it may have taken effect.
        """
        if is_write:
            raise TableOutcomeUnknownError(
                "The write was sent to a peer, and its reply was not awaited."
            )
        return await call(self.direct)

    async def _call_peers(
        self,
        call: Callable[[WatchedTable], Awaitable[Result]],
        patience_s: float,
    ) -> Result:
        """Perform a call through the first peer that reaches the store.

        The next peer is tried as well once one has failed, or has not answered
        in ``patience_s``: it may be cut off.
        """
        attempt = PeerAttempt(self.peers, call)
        async with open_nursery() as nursery:
            for name, peer in self.peers.candidates(PEER_TRIES):
                failed = Event()
                nursery.start_soon(
                    attempt.run, name, peer, failed, nursery.cancel_scope
                )
                with move_on_after(patience_s):
                    await failed.wait()
        return attempt.result()

    def _fails_alone(self, shard: str, now_s: float) -> bool:
        """Return whether the store answers calls for other shards.

        A failure of the table with the lease counts as one of the store.
        """
        self._answered_s.pop(shard, None)
        if shard == LEASE_TABLE:
            return False
        return any(
            now_s - answered_s < ANSWER_AGE_S
            for answered_s in self._answered_s.values()
        )

    def _mark_refused(self, reason: str) -> None:
        if self.refused:
            return
        self.refused = True
        self.refused_since_s = self.peers.clock()
        self._refused_event.set()
        log(RELAY_STARTED, reason=reason)


def shard_of(key: str) -> str:
    """Return the table, and the part of it, that a key or prefix is in."""
    return key.partition("/")[0]


class PeerAttempt(Generic[Result]):
    """One call that several peers perform, of which one answer is used."""

    def __init__(
        self,
        peers: PeerDirectory,
        call: Callable[[WatchedTable], Awaitable[Result]],
    ) -> None:
        """Start without an answer."""
        self.peers = peers
        self.call = call
        self._results: list[Result] = []
        self._error: PlatformError = TableUnavailableError(
            "Neither the store nor a peer answers."
        )

    async def run(
        self, name: str, peer: PeerTable, failed: Event, scope: CancelScope
    ) -> None:
        """Call one peer; cancel the calls of the others once it answers."""
        try:
            self._results.append(await self.call(peer))
            self.peers.record_success(name)
            scope.cancel()
        except TableUnavailableError as error:
            self.peers.record_failure(name)
            self._error = error
        except PlatformError as error:
            # The store has answered, or a write may have taken effect.
            self._error = error
            scope.cancel()
        except Cancelled:
            # Another peer was faster, or the store answers directly again.
            self.peers.record_failure(name)
            raise
        finally:
            failed.set()

    def result(self) -> Result:
        """Return the result, or raise the error of the last answer."""
        if self._results:
            return self._results[0]
        raise self._error


class ConfigurationSource(Protocol):
    """What tells peers of the configuration."""

    async def report(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return what this instance knows, confirmed if it is too old."""


class DirectTable:
    """Table service for peers: calls the store directly, or fails at once."""

    def __init__(
        self,
        table: RelayedTable,
        watcher: ConfigurationSource,
        competes: Callable[[], bool],
    ) -> None:
        """Use the direct connection of a relayed table.

        ``competes`` returns whether this instance competes for the lease.
        """
        self.table = table
        self.watcher = watcher
        self.competes = competes

    async def can_hold_lease(self) -> bool:
        """Return whether this instance would acquire a free lease."""
        if not self.competes():
            return False
        await self.read(PROBE_KEY)
        return True

    async def configuration(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return what this instance knows of the configuration."""
        return await self.watcher.report(row_revision, max_age_s)

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""
        return await self._direct().read(key)

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""
        return await self._direct().scan(prefix, after, limit)

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision."""
        return await self._direct().changes(prefix, after_revision, limit)

    async def watch(
        self, table: str, after_revision: int, wait_s: float
    ) -> ChangePage:
        """Return the rows of a table changed after a revision, in order."""
        return await self._direct().watch(table, after_revision, wait_s)

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        return await self._direct().commit(writes, mutation_id)

    def _direct(self) -> WatchedTable:
        if self.table.refused:
            raise TableUnavailableError("The store refuses this peer too.")
        return self.table.direct

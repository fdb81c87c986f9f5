"""Elect the holder: the one instance that schedules, under a lease.

The lease is free when its row is absent or released, or when the row has not
changed for its TTL on this process's own clock. Safety does not depend on
that time: a worker refuses every epoch lower than the highest it has accepted.
"""

from functools import partial
from random import Random
from typing import Any, Protocol
from uuid import uuid4

from trio import CancelScope, move_on_after, open_nursery, sleep

from damaskstall.containment import (
    contained,
    first_cause,
    place_of,
    record_failure,
)
from damaskstall.errors import (
    LeaseLostError,
    PlatformError,
    TableConflictError,
)
from damaskstall.events import log
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import CELL_PREFIX, cell_key
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease, LeaseRow, parse_lease
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.events import (
    HOLDER_ENDED,
    HOLDER_FAILED,
    HOLDER_STARTED,
    INPUT_SET_ASIDE,
    LEASE_HANDED_OVER,
    STORE_LOST,
    STORE_REGAINED,
)
from damaskstall.tasks.faulty_inputs import (
    NOTHING_FAULTY,
    FaultyInputs,
    SetAside,
)
from damaskstall.tasks.fencing import next_epoch
from damaskstall.tasks.holder import TaskHolder
from damaskstall.tasks.metrics import (
    HOLDS_LEASE,
    NO_LABELS,
    RUNS_OVERDUE,
)
from damaskstall.tasks.supervision import restart_on_error

# One cell for the whole service: 24 workers are too few to divide.
CELL = "service"
WAITING_KEY = f"{CELL_PREFIX}waiting"
ASIDE_KEY = f"{CELL_PREFIX}aside"
# Urgent work must begin within 2.7 s of its acceptance, so a failed holder's
# lease must expire early. A renewal takes about 10 ms: after a lost renewal,
# three more fit in the TTL.
LEASE_TTL_S = 0.8
RENEW_S = 0.15
# If a renewal takes longer, its answer may be lost: then the row is read to
# see whether the renewal took effect.
RENEW_LIMIT_S = 0.35
# A few standby instances poll the lease often. The others poll just often
# enough for the reported counts of waiting jobs to be at most 2 s old, which
# the platform requires, and so acquire the lease only if no standby instance
# does.
STANDBY_COUNT = 3
POLL_S = 0.15
SLOW_POLL_S = 0.8
# Random delay, so that candidates do not all compete at the same moment.
POLL_JITTER_S = 0.1
# A scheduling round takes four times as long on the small instances of the
# larger sites (0.5 of a core) as on the large ones (2.2). An instance yields
# a free lease for a few polls to instances with this many times its cores.
LARGER_CORES_RATIO = 1.5
SMALL_INSTANCE_DELAY_S = 0.5
# A small holder hands the lease over at most once in this time, so that the
# lease does not oscillate when the larger instances do not acquire it.
HAND_OVER_INTERVAL_S = 30.0
# Whether a small holder can hand the lease over is checked this often.
HAND_OVER_CHECK_S = 1.0
HAND_OVER_CHECK_LIMIT_S = 0.5
# A holder that is not ready after this time hands the lease over as well.
READY_LIMIT_S = 3.0
# The holder must keep the lease when the store is slow, or refuses this
# instance so that each renewal begins with a failed attempt. So the next TTL
# is extended by the duration of this many renewals as slow as the last one.
RENEWALS_PER_TTL = 4.0
RELEASE_LIMIT_S = 1.0
# An instance whose holder has failed competes again after this time, which
# doubles with each failure until a holder has lasted.
FAILURE_PAUSE_S = 0.5
FAILURE_PAUSE_LIMIT_S = 16.0
HOLDER_RECOVERED_S = 60.0
PAGE_LIMIT = 10


class LiveInstances(Protocol):
    """The instances that are alive.

    ``known`` states that they have been read since this process started.
    """

    known: bool

    def cores_by_name(self) -> dict[str, float]:
        """Return the processor cores of this instance and its live peers."""

    async def can_hold_lease(self, name: str) -> bool:
        """Return whether a peer is alive and competes for the lease."""


class Election:
    """Competes for the lease, renews it, and caches the waiting counts."""

    def __init__(self, context: NodeContext, instances: LiveInstances) -> None:
        """Start without the lease."""
        self.context = context
        self.instances = instances
        self.identity = f"{context.settings.instance}/{uuid4().hex[:8]}"
        self.holder: TaskHolder | None = None
        self.draining = False
        self.waiting: dict[str, int] = {}
        self.waiting_read_s = float("-inf")
        self.lease_held = False
        self.set_aside = SetAside()
        self._failed_holders = 0
        self._competes_from_s = float("-inf")
        self._aside_revision = -1
        self._handed_over_s = float("-inf")
        self._seen_revision = -1
        self._seen_s = 0.0
        self._random = Random()

    def waiting_age_s(self, now_s: float) -> float:
        """Return the maximum age in seconds of the counts of waiting jobs.

        While no instance holds the lease, nobody updates the counts, and
        ``now_s`` is returned as their age.
        """
        if self.holder is not None and self.holder.ready:
            return 0.0
        return now_s - self.waiting_read_s if self.lease_held else now_s

    def waiting_counts(self) -> dict[str, int]:
        """Return by queue the number of jobs of which no task has begun."""
        if self.holder is not None and self.holder.ready:
            return self.holder.waiting_counts()
        return self.waiting

    async def run(self) -> None:
        """Compete for the lease until cancelled."""
        tries = 0
        while True:
            poll_s = POLL_S if self._is_standby() else SLOW_POLL_S
            delay_s = poll_s + self._random.uniform(0, POLL_JITTER_S)
            try:
                await self._compete()
                if tries:
                    log(STORE_REGAINED, used_for="lease", tries=tries)
                tries = 0
            except PlatformError as error:
                if not tries:
                    log(STORE_LOST, used_for="lease", error=str(error))
                delay_s = min(retry_delay_s(tries, self._random), POLL_S)
                tries += 1
            await sleep(delay_s)

    def competes(self) -> bool:
        """Return whether this process would acquire a free lease.

        It does not while it drains, or before it knows the configuration and
        its peers.
        """
        if self.context.clock() < self._competes_from_s:
            return False
        known = self.context.configuration.known and self.instances.known
        return known and not self.draining

    async def drain(self) -> None:
        """Release the lease and stop competing."""
        self.draining = True
        if self.holder is not None:
            self.holder.scope.cancel()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "identity": self.identity,
            "draining": self.draining,
            "waiting": self.waiting_counts(),
            "holder": self.holder.dump() if self.holder else None,
        }

    async def _compete(self) -> None:
        """Read the lease and the counts; if the lease is free, hold it."""
        page = await self.context.table.scan(CELL_PREFIX, "", PAGE_LIMIT)
        rows = {row.key: row for row in page.rows}
        now_s = self.context.clock()
        row = rows.get(cell_key(CELL))
        free = self._is_free(row, now_s)
        self.lease_held = not free
        counts = rows.get(WAITING_KEY)
        if counts is not None and counts.value is not None:
            self.waiting = counts.value["counts"]
            self.waiting_read_s = now_s
        self._read_set_aside(rows.get(ASIDE_KEY))
        if not free or not self.competes():
            return
        lease = await self._acquire(row, page.revision)
        if lease is not None:
            await self._run_holder(lease, counts)

    def _is_standby(self) -> bool:
        """Return whether this instance is among the first candidates."""
        cores = self.instances.cores_by_name()
        names = sorted(cores, key=lambda name: (-cores[name], name))
        return self.context.settings.instance in names[:STANDBY_COUNT]

    def _yield_delay_s(self) -> float:
        """Return for how many seconds larger instances have precedence."""
        return SMALL_INSTANCE_DELAY_S if self._larger_instances() else 0.0

    def _is_free(self, row: Row | None, now_s: float) -> bool:
        """Return whether the lease is free, given its row as just read."""
        revision = row.revision if row is not None else ABSENT
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._seen_s = now_s
        return now_s - self._seen_s >= self._free_after_s(row)

    def _free_after_s(self, row: Row | None) -> float:
        """Return the seconds after which an unchanged lease is free."""
        if row is None or row.value is None:
            return self._yield_delay_s()
        lease = parse_lease(row.value)
        instance = lease.holder.partition("/")[0]
        yield_s = self._yield_delay_s()
        if instance == self.context.settings.instance and not yield_s:
            # The holder was an earlier process of this instance and has ended.
            return 0.0
        remaining_s = lease.ttl_s if lease.holder else 0.0
        return remaining_s + yield_s

    async def _acquire(
        self, row: Row | None, table_revision: int
    ) -> CellLease | None:
        """Try to acquire the lease; return None if another candidate won."""
        last_epoch = 0
        if row is not None and row.value is not None:
            last_epoch = parse_lease(row.value).epoch
        new_row = LeaseRow(
            self.identity,
            next_epoch(last_epoch, table_revision),
            LEASE_TTL_S,
        )
        sent_s = self.context.clock()
        write = Write(
            cell_key(CELL), new_row._asdict(), row.revision if row else ABSENT
        )
        table = self.context.table
        try:
            revision = await commit_with_retry(table, (write,), uuid4().hex)
        except TableConflictError:
            return None
        return CellLease(
            table, CELL, new_row, revision, sent_s, self.context.clock
        )

    async def _run_holder(self, lease: CellLease, counts: Row | None) -> None:
        """Run the holder until it ends; then release the lease if held."""
        began_s = self.context.clock()
        log(HOLDER_STARTED, epoch=lease.epoch)
        HOLDS_LEASE.set(NO_LABELS, 1)
        holder = TaskHolder(self.context, lease)
        holder.set_aside = self.set_aside
        self.holder = holder
        try:
            async with open_nursery() as nursery:
                nursery.start_soon(self._renew, holder, counts)
                nursery.start_soon(
                    restart_on_error,
                    "hand-over",
                    partial(self._hand_over, holder),
                )
                await holder.run()
                nursery.cancel_scope.cancel()
        except Exception as error:
            # An error in scheduling must not stop the answering of requests.
            cause = first_cause(error)
            log(
                HOLDER_FAILED,
                epoch=lease.epoch,
                error=repr(cause),
                place=place_of(cause),
            )
            record_failure("holder", str(lease.epoch), error)
            self._pause_after_failure(self.context.clock() - began_s)
            await self._set_inputs_aside(holder.faulty)
        finally:
            self.holder = None
            self.lease_held = False
            HOLDS_LEASE.set(NO_LABELS, 0)
            RUNS_OVERDUE.set(NO_LABELS, 0)
            holder.own_load.reset_metrics()
            holder.waiting_units.reset_metrics()
            log(HOLDER_ENDED, epoch=lease.epoch, lost=lease.lost)
            with CancelScope(shield=True):
                await self._release(lease)

    def _read_set_aside(self, row: Row | None) -> None:
        """Take over what an earlier holder has set aside."""
        revision = ABSENT if row is None else row.revision
        if revision == self._aside_revision:
            return
        self._aside_revision = revision
        if row is not None and row.value is not None:
            with contained("row", row.key):
                self.set_aside.read(row.value)

    async def _set_inputs_aside(self, found: FaultyInputs) -> None:
        """Let no holder use inputs for a time, before the lease is free."""
        if found == NOTHING_FAULTY:
            return
        self.set_aside.add(found, self.context.unix_s())
        for kind, names in found._asdict().items():
            for name in names:
                log(INPUT_SET_ASIDE, kind=kind, name=name)
        with CancelScope(shield=True), move_on_after(RELEASE_LIMIT_S):
            try:
                row = await self.context.table.read(ASIDE_KEY)
                revision = ABSENT if row is None else row.revision
                write = Write(ASIDE_KEY, self.set_aside.encode(), revision)
                await self.context.table.commit((write,), uuid4().hex)
            except PlatformError as error:
                log(STORE_LOST, used_for="set aside", error=str(error))

    def _pause_after_failure(self, lasted_s: float) -> None:
        """Leave a free lease to others for a time, longer each time."""
        if lasted_s >= HOLDER_RECOVERED_S:
            self._failed_holders = 0
        pause_s = min(
            FAILURE_PAUSE_LIMIT_S,
            FAILURE_PAUSE_S * 2.0**self._failed_holders,
        )
        self._failed_holders += 1
        self._competes_from_s = self.context.clock() + pause_s

    async def _renew(self, holder: TaskHolder, counts: Row | None) -> None:
        """Renew the lease; write changed counts in the same transaction."""
        lease = holder.lease
        revision = counts.revision if counts else ABSENT
        written = counts.value["counts"] if counts and counts.value else None
        failing = False
        while True:
            await sleep(RENEW_S)
            waiting = holder.waiting_counts()
            extra: tuple[Write, ...] = ()
            if holder.ready and waiting != written:
                value = {"counts": waiting}
                extra = (Write(WAITING_KEY, value, revision),)
            try:
                new_revision = await self._renew_once(lease, extra)
            except LeaseLostError:
                holder.scope.cancel()
                return
            except TableConflictError as error:
                revision = error.current_revision
                continue
            except PlatformError as error:
                if not failing:
                    log(STORE_LOST, used_for="renewal", error=str(error))
                failing = True
                continue
            if failing:
                log(STORE_REGAINED, used_for="renewal")
            failing = False
            if extra:
                revision, written = new_revision, waiting

    async def _hand_over(self, holder: TaskHolder) -> None:
        """End a small holder once a larger instance can replace it."""
        began_s = self.context.clock()
        while True:
            held_s = self.context.clock() - began_s
            if holder.ready or held_s >= READY_LIMIT_S:
                if await self._should_hand_over(holder):
                    holder.scope.cancel()
                    return
                await sleep(HAND_OVER_CHECK_S)
            await sleep(RENEW_S)

    async def _should_hand_over(self, holder: TaskHolder) -> bool:
        """Return whether to hand the lease over to a larger instance now.

        One of them must be alive and compete for the lease; else this
        instance keeps it.
        """
        now_s = self.context.clock()
        if now_s - self._handed_over_s < HAND_OVER_INTERVAL_S:
            return False
        for name in self._larger_instances():
            competes = False
            with move_on_after(HAND_OVER_CHECK_LIMIT_S):
                competes = await self.instances.can_hold_lease(name)
            if competes:
                self._handed_over_s = self.context.clock()
                log(LEASE_HANDED_OVER, epoch=holder.lease.epoch, to=name)
                return True
        return False

    def _larger_instances(self) -> list[str]:
        """Return the instances with many more cores, the largest first."""
        cores = self.instances.cores_by_name()
        limit = LARGER_CORES_RATIO * cores[self.context.settings.instance]
        larger = [name for name in cores if cores[name] >= limit]
        return sorted(larger, key=lambda name: (-cores[name], name))

    async def _renew_once(
        self, lease: CellLease, extra: tuple[Write, ...]
    ) -> int:
        """Renew the lease; return its row's revision.

        A renewal that exceeds its time limit is resolved by reading the row.
        """
        sent_s = self.context.clock()
        with move_on_after(RENEW_LIMIT_S) as scope:
            await lease.renew(extra)
        if scope.cancelled_caught:
            await lease.check(sent_s)
        took_s = self.context.clock() - sent_s
        lease.set_ttl(LEASE_TTL_S + RENEWALS_PER_TTL * took_s)
        return lease.revision

    async def _release(self, lease: CellLease) -> None:
        if lease.lost:
            return
        with move_on_after(RELEASE_LIMIT_S):
            try:
                await lease.release()
            except PlatformError as error:
                log(STORE_LOST, used_for="release", error=str(error))

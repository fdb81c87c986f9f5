"""Decide which jobs start where in one cell, and which must leave.

The order of a decision: jobs whose block has been cleared, urgent jobs, jobs
under their team's guarantee, the job with a reservation, then everybody else
by weighted fair share. Only jobs under a guarantee and urgent jobs preempt,
and only borrowed jobs are preempted.
"""

from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from damaskstall.placement.books import Books
from damaskstall.placement.estimates import Estimates
from damaskstall.placement.explain import (
    NOT_HERE,
    TAKEN_OUT,
    explain_blocked,
    explain_claim,
    explain_reserved,
)
from damaskstall.placement.layout import Layout
from damaskstall.placement.model import (
    Block,
    Cell,
    Decision,
    Explanation,
    Guarantee,
    Policy,
    Preempt,
    QueuedJob,
    RunningJob,
    Start,
)
from damaskstall.placement.options import take_guaranteed
from damaskstall.placement.queue import JobQueue
from damaskstall.placement.reservations import Reservation, Reservations
from damaskstall.placement.slots import Binding, LateBinding, Slots

AGING_S = 3600.0
RETRY_S = 5.0
SHIELD_CANDIDATES = 8
PREEMPTIONS_LIMIT = 2

UNDER_GUARANTEE = "under the team's guarantee"
URGENT = "urgent, on accelerators that no guarantee uses"
RESERVED = "on the block that was reserved for it"
BORROWED = "on free accelerators, by fair share"
BESIDE = "on free accelerators that no guarantee needs, by fair share"
BACKFILLED = "ends before the reserved block around it is empty"


class Options(NamedTuple):
    """Choose between ways of deciding that are compared in bench.jobs.

    ``slice_s`` is the time after which a borrowed job that keeps its progress
    may be preempted for a reservation; infinite means never. ``by_ratio``
    orders a team's jobs by waiting time to run time, else by age.
    ``reserve_after_s`` is how long a large job waits for its reservation.
    ``shield_first`` starts jobs that would lose their work where no guarantee
    needs the block, if there is such a place.
    """

    slice_s: float = 900.0
    by_ratio: bool = True
    reserve_after_s: float = 120.0
    shield_first: bool = True


CURRENT = Options()


class Claim(NamedTuple):
    """Hold a block for a job while borrowed jobs leave it."""

    job: QueuedJob
    block: Block
    guaranteed: bool
    reason: str


def make_policy(cell: Cell) -> Policy:
    """Return the policy for a cell."""
    return CellPolicy(cell, LateBinding())


class CellPolicy:
    """Keep one cell's books and decide over it."""

    def __init__(
        self, cell: Cell, binding: Binding, options: Options = CURRENT
    ) -> None:
        """Start with an empty, open cell without guarantees."""
        self.options = options
        self.layout = Layout(cell)
        self.slots = Slots(self.layout, binding)
        self.estimates = Estimates()
        self.books = Books(self.layout, self.slots, self._expected_end_s)
        self.reservations = Reservations(self.books)
        self.queue = JobQueue()
        self.claims: dict[str, Claim] = {}
        self.weights: dict[str, float] = {}
        self.borrowed: dict[str, int] = {}
        self.preemptions: dict[str, int] = {}
        self.guarantee_stale: set[str] = set()
        self.is_open = True
        self.changed = True
        self.wake_s = inf

    # ------------------------------------------------------------- events

    def set_guarantees(self, guarantees: tuple[Guarantee, ...]) -> None:
        """Replace what the cell promises."""
        for name in self.slots.replace(guarantees):
            claim = self.claims.get(name)
            if claim is not None:
                self._give_up(claim)
            else:
                self._downgrade(name)
        self._all_stale()

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the teams' weights in fair shares; absent teams have 1."""
        self.weights = dict(weights)
        self.changed = True

    def set_usable(self, worker: int, usable: bool) -> None:
        """Say whether new work may be put on a worker."""
        block = Block(worker, 1, 0, self.layout.accelerators[worker])
        self.slots.set_closed(block, not usable)
        self.books.changed(block)
        if not usable:
            self._give_up_on_closed()
        self._all_stale()

    def set_open(self, is_open: bool) -> None:
        """Say whether anything may start in the cell (False: taken out)."""
        self.is_open = is_open
        if not is_open:
            self.reservations.drop()
            for claim in list(self.claims.values()):
                self._give_up(claim)
        self._all_stale()

    def add(self, job: QueuedJob) -> None:
        """Put a job into the queue unless it is known already."""
        if job.name in self.claims or job.name in self.books.running:
            return
        self.queue.add(job)
        self.guarantee_stale.add(job.team)
        self.changed = True

    def withdraw(self, name: str) -> None:
        """Take a job out of the queue; does nothing if it is not there."""
        claim = self.claims.get(name)
        if claim is not None:
            self._give_up(claim)
        if self.queue.remove(name) is None:
            return
        self.preemptions.pop(name, None)
        self._drop_reservation_of(name)
        self.changed = True

    def adopt(self, running: RunningJob) -> None:
        """Count a job that already runs, after a change of holder.

        A job whose team has no guarantee that fits it here is counted as
        borrowing.
        """
        job = running.job
        guaranteed = running.guaranteed and self._adopt_slot(running)
        running = running._replace(guaranteed=guaranteed)
        if not guaranteed and not job.restartable:
            self.slots.shield(job.name, running.block)
        self._hold(running)

    def release(self, name: str, now_s: float, ran_s: float | None) -> None:
        """Free a job's block; ``ran_s`` is its run time if it finished."""
        running = self.books.release(name)
        if running is None:
            return
        job = running.job
        if ran_s is not None:
            self.estimates.learn(job.team, job.estimate_s, ran_s)
            self.preemptions.pop(name, None)
        if running.guaranteed:
            self.slots.leave(name)
        else:
            self.slots.unshield(name)
            self._count_borrowed(job, -1)
        self._all_stale()

    def running(self) -> tuple[RunningJob, ...]:
        """Return the jobs that hold blocks."""
        return tuple(self.books.running.values())

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that the usable workers cannot hold."""
        return self.slots.unmet()

    # ----------------------------------------------------------- decision

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Return what to do now; the policy's books already count it."""
        if not self.is_open:
            return ()
        if not self.changed and now_s < self.wake_s:
            return ()
        self.changed = False
        self.wake_s = inf
        decisions: list[Decision] = []
        self._start_claimed(now_s, decisions)
        self._start_guaranteed(now_s, decisions)
        self._start_urgent(now_s, decisions)
        self._start_reserved(now_s, decisions)
        blocked = self._start_by_share(now_s, decisions)
        if self.reservations.current is None:
            self._reserve(blocked, now_s)
        return tuple(decisions)

    def _start_claimed(self, now_s: float, decisions: list[Decision]) -> None:
        for claim in list(self.claims.values()):
            if not self.books.held.meets(claim.block):
                self._unclaim(claim)
                decisions.append(self._start(claim, now_s))

    def _start_guaranteed(
        self, now_s: float, decisions: list[Decision]
    ) -> None:
        for team in sorted(self.guarantee_stale):
            for job in self.queue.heads(team):
                self._drain_class_guaranteed(job, now_s, decisions)
        self.guarantee_stale.clear()

    def _drain_class_guaranteed(
        self, job: QueuedJob, now_s: float, decisions: list[Decision]
    ) -> None:
        """Start a job and the jobs behind it while the guarantee lasts."""
        following: QueuedJob | None = job
        while following is not None:
            block = take_guaranteed(self.books, self.slots, following, now_s)
            if block is None:
                return
            claim = Claim(following, block, True, UNDER_GUARANTEE)
            self._take(claim, now_s, decisions)
            following = self.queue.next_like(job)

    def _start_urgent(self, now_s: float, decisions: list[Decision]) -> None:
        urgent = [job for job in self.queue.all_heads() if job.urgent]
        urgent.sort(key=lambda job: (job.queued_s, job.name))
        for job in urgent:
            following: QueuedJob | None = job
            while following is not None:
                block = self._urgent_block(following, now_s)
                if block is None:
                    break
                claim = Claim(following, block, False, URGENT)
                self._take(claim, now_s, decisions)
                following = self.queue.next_like(job)

    def _urgent_block(self, job: QueuedJob, now_s: float) -> Block | None:
        if not job.restartable:
            return self._shielded_block(job)
        free = self.books.free.find(job.shape)
        if free is not None:
            return free.block
        block = self.books.cheapest(job.shape, now_s)
        if block is None or self._has_urgent(block):
            return None
        return block

    def _has_urgent(self, block: Block) -> bool:
        return any(r.job.urgent for r in self.books.jobs_in(block))

    def _start_reserved(self, now_s: float, decisions: list[Decision]) -> None:
        current = self.reservations.current
        if current is None:
            return
        if not self.reservations.sound():
            self.reservations.drop()
            return
        if not self.books.vacant(current.block):
            self._slice(current, now_s, decisions)
            return
        self.reservations.drop(keep_shield=True)
        claim = Claim(current.job, current.block, False, RESERVED)
        self._take(claim, now_s, decisions)

    def _slice(
        self,
        current: Reservation,
        now_s: float,
        decisions: list[Decision],
    ) -> None:
        """Preempt who has had a slice of time in the reserved block."""
        slice_s = self.options.slice_s
        claim = Claim(current.job, current.block, False, RESERVED)
        for victim in self.reservations.slice_victims(slice_s, now_s):
            decisions.append(self._preempt(victim, claim))
        self.wake_s = min(self.wake_s, now_s + RETRY_S)

    def _reserve(self, blocked: list[QueuedJob], now_s: float) -> None:
        """Reserve a block for the oldest large job that waited enough."""
        after_s = self.options.reserve_after_s
        due = [job for job in blocked if now_s - job.queued_s >= after_s]
        if len(due) < len(blocked):
            self.wake_s = min(self.wake_s, now_s + RETRY_S)
        self.reservations.choose(due, now_s)

    def _start_by_share(
        self, now_s: float, decisions: list[Decision]
    ) -> list[QueuedJob]:
        """Start jobs by fair share; return the heads that stay blocked."""
        order: list[tuple[float, str]] = []
        for team in list(self.queue.teams):
            heappush(order, (self._share(team, now_s), team))
        blocked: list[QueuedJob] = []
        while order:
            _, team = heappop(order)
            heads = self.queue.heads(team)
            if self._start_one(heads, now_s, decisions):
                heappush(order, (self._share(team, now_s), team))
            else:
                blocked += heads
        return blocked

    def _start_one(
        self, heads: list[QueuedJob], now_s: float, decisions: list[Decision]
    ) -> bool:
        if self.options.by_ratio:
            heads.sort(key=lambda job: -self._ratio(job, now_s))
        for job in heads:
            claim = self._borrow(job, now_s)
            if claim is not None:
                self._take(claim, now_s, decisions)
                return True
        return False

    def _ratio(self, job: QueuedJob, now_s: float) -> float:
        """Return a job's waiting time in multiples of its run time."""
        expected_s = self.estimates.expect_s(job.team, job.estimate_s)
        return (now_s - job.queued_s) / expected_s

    def _borrow(self, job: QueuedJob, now_s: float) -> Claim | None:
        """Find free accelerators for a job."""
        if not job.restartable:
            block = self._shielded_block(job)
            return Claim(job, block, False, BESIDE) if block else None
        if self._shields(job):
            block = self._shielded_block(job)
            if block is not None:
                return Claim(job, block, False, BESIDE)
        free = self.books.free.find(job.shape)
        if free is not None:
            return Claim(job, free.block, False, BORROWED)
        expected_s = self.estimates.expect_s(job.team, job.estimate_s)
        block = self.reservations.backfill_block(job.shape, expected_s, now_s)
        return Claim(job, block, False, BACKFILLED) if block else None

    def _shields(self, job: QueuedJob) -> bool:
        """Return whether a job is kept clear of what guarantees need."""
        if job.checkpointable:
            return False
        return self.options.shield_first or self._protect(job)

    def _protect(self, job: QueuedJob) -> bool:
        """Return whether a job lost its work too often to lose it again."""
        if job.checkpointable:
            return False
        return self.preemptions.get(job.name, 0) >= PREEMPTIONS_LIMIT

    def _shielded_block(self, job: QueuedJob) -> Block | None:
        """Return a free block that no guarantee needs, and keep it so."""
        found = self.books.free.ranked(job.shape, SHIELD_CANDIDATES)
        for block in [candidate.block for candidate in found]:
            if self.slots.shield(job.name, block):
                if self._protect(job):
                    self.books.protected.add(job.name)
                return block
        return None

    def _share(self, team: str, now_s: float) -> float:
        """Return a team's place in the order: low share and age go first."""
        heads = self.queue.heads(team)
        oldest_s = min((job.queued_s for job in heads), default=now_s)
        weight = max(self.weights.get(team, 1.0), 1e-9)
        total = sum(self.layout.accelerators) or 1
        used = self.borrowed.get(team, 0) / (weight * total)
        return used - (now_s - oldest_s) / AGING_S

    # -------------------------------------------------------------- books

    def _take(
        self, claim: Claim, now_s: float, decisions: list[Decision]
    ) -> None:
        """Start a job now, or hold its block while borrowers leave."""
        job = claim.job
        self.queue.remove(job.name)
        self._drop_reservation_of(job.name)
        if not self.books.held.meets(claim.block):
            decisions.append(self._start(claim, now_s))
            return
        self.claims[job.name] = claim
        self.books.mark(self.books.promised, claim.block, True)
        for victim in self.books.jobs_in(claim.block):
            if not victim.stopping:
                decisions.append(self._preempt(victim, claim))

    def _preempt(self, victim: RunningJob, claim: Claim) -> Preempt:
        name = victim.job.name
        self.books.replace(victim._replace(stopping=True))
        self.preemptions[name] = self.preemptions.get(name, 0) + 1
        return Preempt(
            name,
            claim.job.name,
            f"borrowed accelerators that {claim.job.name} needs: "
            f"{claim.reason}",
        )

    def _start(self, claim: Claim, now_s: float) -> Start:
        job = claim.job
        self._hold(
            RunningJob(job, claim.block, now_s, claim.guaranteed, False)
        )
        return Start(job.name, claim.block, claim.guaranteed, claim.reason)

    def _hold(self, running: RunningJob) -> None:
        self.books.hold(running)
        if not running.guaranteed:
            self._count_borrowed(running.job, 1)
        self.changed = True

    def _count_borrowed(self, job: QueuedJob, sign: int) -> None:
        used = self.borrowed.get(job.team, 0) + sign * job.shape.accelerators
        self.borrowed[job.team] = used

    def _unclaim(self, claim: Claim) -> None:
        del self.claims[claim.job.name]
        self.books.mark(self.books.promised, claim.block, False)

    def _give_up(self, claim: Claim) -> None:
        """Put a job that waits for borrowers to leave back into the queue."""
        self._unclaim(claim)
        self.slots.leave(claim.job.name)
        self.slots.unshield(claim.job.name)
        self.add(claim.job)

    def _give_up_on_closed(self) -> None:
        for claim in list(self.claims.values()):
            if self.slots.closed.meets(claim.block):
                self._give_up(claim)
        if not self.reservations.sound():
            self.reservations.drop()

    def _drop_reservation_of(self, name: str) -> None:
        current = self.reservations.current
        if current is not None and current.job.name == name:
            self.reservations.drop()

    def _downgrade(self, name: str) -> None:
        """Count a job that lost its guarantee as borrowing."""
        running = self.books.running.get(name)
        if running is None:
            return
        self.books.replace(running._replace(guaranteed=False))
        self._count_borrowed(running.job, 1)
        if not running.job.restartable:
            self.slots.shield(name, running.block)

    def _adopt_slot(self, running: RunningJob) -> bool:
        """Put a running job back into a slot of its team."""
        job = running.job
        for slot in self.slots.fitting(job.team, job.shape):
            for outer in self.layout.blocks_around(running.block, slot.shape):
                if self.slots.use(slot, outer, job.name):
                    return True
        return False

    def _all_stale(self) -> None:
        for block in self.slots.take_unshielded():
            self.books.changed(block)
        self.guarantee_stale.update(self.queue.teams)
        self.changed = True

    def _expected_end_s(self, running: RunningJob) -> float:
        """Return when a job has ended or may be preempted by slices."""
        job = running.job
        expected_s = self.estimates.expect_s(job.team, job.estimate_s)
        if job.checkpointable and not running.guaranteed and not job.urgent:
            expected_s = min(expected_s, self.options.slice_s)
        return running.started_s + expected_s

    def explain(self, name: str, now_s: float) -> Explanation:
        """Say why a queued job waits."""
        claim = self.claims.get(name)
        if claim is not None:
            return explain_claim(self.books, claim.block)
        job = self.queue.get(name)
        if job is None:
            return NOT_HERE
        if not self.is_open:
            return TAKEN_OUT
        current = self.reservations.current
        if current is not None and current.job.name == name:
            return explain_reserved(current, now_s)
        return explain_blocked(self.books, job, now_s)

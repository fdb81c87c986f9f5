"""Maintain the scheduling state of one cell."""

from math import inf
from typing import NamedTuple

from damaskstall.placement.allocations import Allocations
from damaskstall.placement.estimates import Estimates
from damaskstall.placement.guarantee_slots import Binding, Slots
from damaskstall.placement.job_queue import JobQueue
from damaskstall.placement.layout import Layout
from damaskstall.placement.model import (
    Block,
    Cell,
    Decision,
    Preempt,
    QueuedJob,
    RunningJob,
    Start,
)
from damaskstall.placement.reservations import Reservations

AGING_S = 3600.0
LEAST_WEIGHT = 1e-9
SHIELD_CANDIDATES = 8
PREEMPTIONS_LIMIT = 2
PREEMPTIONS_KEPT = 4096


class Options(NamedTuple):
    """Policy options, which bench.jobs compares.

    ``slice_s`` is the time after which a borrowing job that is checkpointable
    may be preempted for a reservation; infinite means never. ``by_ratio``
    orders a team's jobs by the ratio of waiting time to run time, else by
    age. ``reserve_after_s`` is how long a large job waits before a block is
    reserved for it. ``shield_first`` starts jobs that are not checkpointable
    on a block that no guarantee needs, if there is one. ``fill_slots`` puts
    jobs that are smaller than their guarantee into a slot that is in use, so
    that another slot stays unused. ``yielding`` starts checkpointable jobs on
    a reserved block until they have to be preempted.
    """

    slice_s: float = 900.0
    by_ratio: bool = True
    reserve_after_s: float = 120.0
    shield_first: bool = True
    fill_slots: bool = True
    yielding: bool = True


DEFAULT_OPTIONS = Options()


class Claim(NamedTuple):
    """A job's claim on a block, from which borrowing jobs may be stopped."""

    job: QueuedJob
    block: Block
    guaranteed: bool
    reason: str


class CellState:
    """The state of a cell on which its decisions depend.

    ``changed`` is True if a new decision may differ from the last one,
    ``wake_s`` is the time from which it may differ without a change, and
    ``guarantee_stale`` contains the teams whose guarantees have to be
    evaluated again.
    """

    def __init__(self, cell: Cell, binding: Binding, options: Options) -> None:
        """Create the state of an empty, open cell without guarantees."""
        self.options = options
        self.layout = Layout(cell)
        self.accelerators = sum(self.layout.accelerators)
        self.slots = Slots(self.layout, binding)
        self.estimates = Estimates()
        self.allocations = Allocations(
            self.layout, self.slots, self.expected_end_s
        )
        self.reservations = Reservations(self.allocations)
        self.queue = JobQueue()
        self.claims: dict[str, Claim] = {}
        self.weights: dict[str, float] = {}
        self.borrowed: dict[str, int] = {}
        self.preemptions: dict[str, int] = {}
        self.guarantee_stale: set[str] = set()
        self.is_open = True
        self.changed = True
        self.wake_s = inf

    def add(self, job: QueuedJob) -> None:
        """Add a job to the queue unless it is claimed or running already."""
        if job.name in self.claims or job.name in self.allocations.running:
            return
        self.queue.add(job)
        self.guarantee_stale.add(job.team)
        self.changed = True

    def apply_claim(
        self, claim: Claim, now_s: float, decisions: list[Decision]
    ) -> None:
        """Start a job now, or claim its block and preempt the jobs there."""
        job = claim.job
        self.queue.remove(job.name)
        self.drop_reservation_of(job.name)
        if not self.allocations.held.intersects(claim.block):
            decisions.append(self.start(claim, now_s))
            return
        self.claims[job.name] = claim
        self.allocations.mark(self.allocations.claimed, claim.block, True)
        for victim in self.allocations.jobs_in(claim.block):
            if not victim.stopping:
                decisions.append(self.preempt(victim, claim))

    def preempt(self, victim: RunningJob, claim: Claim) -> Preempt:
        """Mark a borrowing job as stopping and return the decision."""
        name = victim.job.name
        self.allocations.replace(victim._replace(stopping=True))
        self._count_preemption(name)
        return Preempt(
            name,
            claim.job.name,
            f"borrowed accelerators that {claim.job.name} needs: "
            f"{claim.reason}",
        )

    def _count_preemption(self, name: str) -> None:
        if len(self.preemptions) >= PREEMPTIONS_KEPT:
            del self.preemptions[next(iter(self.preemptions))]
        self.preemptions[name] = self.preemptions.pop(name, 0) + 1

    def start(self, claim: Claim, now_s: float) -> Start:
        """Record that a job runs from now on and return the decision."""
        job = claim.job
        self.allocate(
            RunningJob(job, claim.block, now_s, claim.guaranteed, False)
        )
        return Start(job.name, claim.block, claim.guaranteed, claim.reason)

    def allocate(self, running: RunningJob) -> None:
        """Record a running job's block and what its team borrows."""
        self.allocations.allocate(running)
        if not running.guaranteed:
            self.count_borrowed(running.job, 1)
        self.changed = True

    def count_borrowed(self, job: QueuedJob, sign: int) -> None:
        """Add a job to the accelerators that its team borrows.

        ``sign`` is 1 to add the job and -1 to subtract it.
        """
        used = self.borrowed.get(job.team, 0) + sign * job.shape.accelerators
        self.borrowed[job.team] = used

    def remove_claim(self, claim: Claim) -> None:
        """Remove a job's claim on its block."""
        del self.claims[claim.job.name]
        self.allocations.mark(self.allocations.claimed, claim.block, False)
        self.guarantee_stale.update(self.queue.teams)

    def cancel_claim(self, claim: Claim) -> None:
        """Remove a job's claim and put the job back into the queue."""
        self.remove_claim(claim)
        self.slots.leave(claim.job.name)
        self.slots.unshield(claim.job.name)
        self.add(claim.job)

    def cancel_closed_claims(self) -> None:
        """Cancel claims and the reservation on unusable workers."""
        for claim in list(self.claims.values()):
            slot = self.slots.slot_of.get(claim.job.name)
            block = slot.block if slot else None
            if self.slots.closed.intersects(block or claim.block):
                self.cancel_claim(claim)
        if not self.reservations.can_drain():
            self.reservations.cancel()

    def drop_reservation_of(self, name: str) -> None:
        """Cancel the reservation if it is for the named job."""
        current = self.reservations.current
        if current is not None and current.job.name == name:
            self.reservations.cancel()

    def downgrade(self, name: str) -> None:
        """Record that a running job lost its guarantee and now borrows."""
        running = self.allocations.running.get(name)
        if running is None:
            return
        self.allocations.replace(running._replace(guaranteed=False))
        self.count_borrowed(running.job, 1)
        if not running.job.restartable:
            self.slots.shield(name, running.block)

    def adopt_slot(self, running: RunningJob) -> bool:
        """Assign a running job to a slot of its team; return success."""
        job = running.job
        for slot in self.slots.fitting(job.team, job.shape):
            for outer in self.layout.blocks_around(running.block, slot.shape):
                if self.slots.use(slot, outer, job.name):
                    return True
        return False

    def mark_all_stale(self) -> None:
        """Make the next decision evaluate the guarantees of every team.

        The jobs whose shields were removed may be preempted, so the scores of
        their blocks are invalidated.
        """
        for block in self.slots.take_unshielded():
            self.allocations.invalidate(block)
        self.guarantee_stale.update(self.queue.teams)
        self.changed = True

    def fair_share_key(
        self, team: str, heads: list[QueuedJob], now_s: float
    ) -> float:
        """Return a team's sort key; the lowest key starts a job first.

        The key is the share that the team borrows, relative to its weight,
        less the waiting time of its oldest job in units of ``AGING_S``.
        """
        oldest_s = min((job.queued_s for job in heads), default=now_s)
        weight = max(self.weights.get(team, 1.0), LEAST_WEIGHT)
        total = max(self.accelerators, 1)
        used = self.borrowed.get(team, 0) / (weight * total)
        return used - (now_s - oldest_s) / AGING_S

    def wait_ratio(self, job: QueuedJob, now_s: float) -> float:
        """Return a job's waiting time as a multiple of its run time."""
        expected_s = self.estimates.expect_s(job.team, job.estimate_s)
        return (now_s - job.queued_s) / expected_s

    def needs_protection(self, job: QueuedJob) -> bool:
        """Return whether a job must not lose its work once more."""
        return not job.checkpointable and self.preempted_often(job)

    def preempted_often(self, job: QueuedJob) -> bool:
        """Return whether a job has reached the preemption limit."""
        return self.preemptions.get(job.name, 0) >= PREEMPTIONS_LIMIT

    def find_shielded_block(self, job: QueuedJob) -> Block | None:
        """Shield and return a free block that no guarantee needs, or None."""
        found = self.allocations.free.ranked(job.shape, SHIELD_CANDIDATES)
        for block in [candidate.block for candidate in found]:
            if self.slots.shield(job.name, block):
                if self.needs_protection(job):
                    self.allocations.protected.add(job.name)
                return block
        return None

    def expected_end_s(self, running: RunningJob) -> float:
        """Return when a job is expected to end or to use up its time slice."""
        job = running.job
        expected_s = self.estimates.expect_s(job.team, job.estimate_s)
        if job.checkpointable and not running.guaranteed and not job.urgent:
            expected_s = min(expected_s, self.options.slice_s)
        return running.started_s + expected_s

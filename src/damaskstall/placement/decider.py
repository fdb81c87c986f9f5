"""Decide which jobs of one cell start where, and which are preempted.

A decision handles in this order: jobs whose claimed block has been cleared,
jobs under their team's guarantee, urgent jobs, the job with the reservation,
then all other jobs by weighted fair share. Jobs under a guarantee, urgent
jobs and the job with the reservation preempt others; only jobs that borrow
accelerators are preempted.
"""

from heapq import heappop, heappush
from math import inf

from damaskstall.placement.cell_state import CellState, Claim
from damaskstall.placement.guarantee_search import assign_guaranteed_block
from damaskstall.placement.model import Block, Decision, QueuedJob, Shape
from damaskstall.placement.reservations import Reservation

RETRY_S = 5.0

UNDER_GUARANTEE = "under the team's guarantee"
URGENT = "urgent, on accelerators that no guarantee uses"
RESERVED = "on the block that is reserved for it"
BORROWED = "on free accelerators, by fair share"
BORROWED_UNGUARANTEED = (
    "on free accelerators that no guarantee needs, by fair share"
)
YIELDING = "on part of the reserved block, until its other jobs have ended"
BACKFILLED = "as backfill: it ends before the reserved block is empty"


class Decider:
    """Makes the scheduling decisions of one cell."""

    def __init__(self, state: CellState) -> None:
        """Decide over a cell's state, which the decisions update."""
        self.state = state

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Return the decisions to carry out now.

        The cell's state already includes them.
        """
        if not self.state.is_open:
            return ()
        if not self.state.changed and now_s < self.state.wake_s:
            return ()
        self.state.changed = False
        self.state.wake_s = inf
        decisions: list[Decision] = []
        self._start_claimed(now_s, decisions)
        self._start_guaranteed(now_s, decisions)
        self._start_urgent(now_s, decisions)
        self._start_reserved(now_s, decisions)
        self._start_by_share(now_s, decisions)
        if self.state.reservations.current is None:
            self._reserve(now_s)
        if self.state.reservations.current is not None:
            self.state.wake_s = min(self.state.wake_s, now_s + RETRY_S)
        return tuple(decisions)

    def _start_claimed(self, now_s: float, decisions: list[Decision]) -> None:
        for claim in list(self.state.claims.values()):
            if not self.state.allocations.held.intersects(claim.block):
                self.state.remove_claim(claim)
                decisions.append(self.state.start(claim, now_s))

    def _start_guaranteed(
        self, now_s: float, decisions: list[Decision]
    ) -> None:
        for team in sorted(self.state.guarantee_stale):
            for job in self.state.queue.heads(team):
                self._start_class_guaranteed(job, now_s, decisions)
        self.state.guarantee_stale.clear()

    def _start_class_guaranteed(
        self, job: QueuedJob, now_s: float, decisions: list[Decision]
    ) -> None:
        """Start jobs of one class while the guarantee has room for them."""
        next_job: QueuedJob | None = job
        while next_job is not None:
            block = assign_guaranteed_block(
                self.state.allocations,
                self.state.slots,
                next_job,
                now_s,
                self.state.options.fill_slots,
            )
            if block is None:
                return
            claim = Claim(next_job, block, True, UNDER_GUARANTEE)
            self.state.apply_claim(claim, now_s, decisions)
            next_job = self.state.queue.next_of_class(job)

    def _start_urgent(self, now_s: float, decisions: list[Decision]) -> None:
        for job in self.state.queue.urgent_heads():
            next_job: QueuedJob | None = job
            while next_job is not None:
                block = self._urgent_block(next_job, now_s)
                if block is None:
                    break
                claim = Claim(next_job, block, False, URGENT)
                self.state.apply_claim(claim, now_s, decisions)
                next_job = self.state.queue.next_of_class(job)

    def _urgent_block(self, job: QueuedJob, now_s: float) -> Block | None:
        if not job.restartable:
            return self.state.find_shielded_block(job)
        free = self.state.allocations.free.find(job.shape)
        if free is not None:
            return free.block
        block = self.state.allocations.cheapest_to_clear(job.shape, now_s)
        if block is None or self._has_urgent(block):
            return None
        return block

    def _has_urgent(self, block: Block) -> bool:
        return any(r.job.urgent for r in self.state.allocations.jobs_in(block))

    def _start_reserved(self, now_s: float, decisions: list[Decision]) -> None:
        current = self.state.reservations.current
        if current is None:
            return
        if not self.state.reservations.can_drain():
            self.state.reservations.cancel()
            return
        if not self.state.allocations.is_free(current.block):
            self._preempt_for_reservation(current, now_s, decisions)
            return
        self.state.reservations.cancel(keep_shield=True)
        claim = Claim(current.job, current.block, False, RESERVED)
        self.state.apply_claim(claim, now_s, decisions)

    def _preempt_for_reservation(
        self,
        current: Reservation,
        now_s: float,
        decisions: list[Decision],
    ) -> None:
        """Preempt jobs in the reserved block that used up their time slice."""
        slice_s = self.state.options.slice_s
        claim = Claim(current.job, current.block, False, RESERVED)
        for victim in self.state.reservations.jobs_to_preempt(slice_s, now_s):
            decisions.append(self.state.preempt(victim, claim))

    def _reserve(self, now_s: float) -> None:
        """Reserve a block for the oldest large job that waited long enough."""
        queue = self.state.queue
        large = set(filter(self.state.reservations.is_large, queue.shapes))
        heads = [
            job
            for team in queue.teams_with(large)
            for job in queue.heads(team)
            if job.shape in large
        ]
        after_s = self.state.options.reserve_after_s
        due = [job for job in heads if now_s - job.queued_s >= after_s]
        if len(due) < len(heads):
            self.state.wake_s = min(self.state.wake_s, now_s + RETRY_S)
        self.state.reservations.reserve_for_oldest(due, now_s)

    def _start_by_share(self, now_s: float, decisions: list[Decision]) -> None:
        """Start jobs on free accelerators in the order of fair share."""
        shapes = set(filter(self._has_room, self.state.queue.shapes))
        order: list[tuple[float, str]] = []
        for team in self.state.queue.teams_with(shapes):
            self._push_team(order, team, now_s)
        while order and any(map(self._has_room, shapes)):
            _, team = heappop(order)
            heads = self.state.queue.heads(team)
            heads = [job for job in heads if job.shape in shapes]
            if self._start_one(heads, now_s, decisions):
                self._push_team(order, team, now_s)

    def _push_team(
        self, order: list[tuple[float, str]], team: str, now_s: float
    ) -> None:
        heads = self.state.queue.heads(team)
        if heads:
            heappush(
                order, (self.state.fair_share_key(team, heads, now_s), team)
            )

    def _has_room(self, shape: Shape) -> bool:
        """Return whether a block of a shape is free, reserved or not."""
        if self.state.allocations.free.find(shape) is not None:
            return True
        return self.state.allocations.free_reserved.find(shape) is not None

    def _start_one(
        self, heads: list[QueuedJob], now_s: float, decisions: list[Decision]
    ) -> bool:
        if self.state.options.by_ratio:
            heads.sort(key=lambda job: -self.state.wait_ratio(job, now_s))
        for job in heads:
            claim = self._borrow(job, now_s)
            if claim is not None:
                self.state.apply_claim(claim, now_s, decisions)
                return True
        return False

    def _borrow(self, job: QueuedJob, now_s: float) -> Claim | None:
        """Return a claim on free accelerators for a job, or None."""
        if not job.restartable:
            block = self.state.find_shielded_block(job)
            return (
                Claim(job, block, False, BORROWED_UNGUARANTEED)
                if block
                else None
            )
        if self._prefers_shielded(job):
            block = self.state.find_shielded_block(job)
            if block is not None:
                return Claim(job, block, False, BORROWED_UNGUARANTEED)
        free = self.state.allocations.free.find(job.shape)
        if free is not None:
            return Claim(job, free.block, False, BORROWED)
        expected_s = self.state.estimates.expect_s(job.team, job.estimate_s)
        block = self.state.reservations.backfill_block(
            job.shape, expected_s, now_s
        )
        if block is not None:
            return Claim(job, block, False, BACKFILLED)
        return self._borrow_reserved(job, now_s)

    def _borrow_reserved(self, job: QueuedJob, now_s: float) -> Claim | None:
        """Return a claim on part of the reserved block, or None.

        The job is preempted when the reservation needs the block. A job that
        has reached the preemption limit does not start there: it waits for a
        block where it can make progress.
        """
        if not self.state.options.yielding or not job.checkpointable:
            return None
        if job.urgent or self.state.preempted_often(job):
            return None
        block = self.state.reservations.yielding_block(job.shape, now_s)
        if block is None:
            return None
        self.state.allocations.yielding.add(job.name)
        return Claim(job, block, False, YIELDING)

    def _prefers_shielded(self, job: QueuedJob) -> bool:
        """Return whether to prefer a block that no guarantee needs."""
        if job.checkpointable:
            return False
        return self.state.options.shield_first or self.state.needs_protection(
            job
        )

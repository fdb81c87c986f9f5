"""Reserve a block for the oldest blocked large job until the block drains.

A new job starts in the reserved block only if its corrected run time ends
before the block is expected to be empty (backfill), or if it is checkpointable
and can be preempted once the other jobs have ended. After
``BACKFILL_LIMIT_S`` only checkpointable jobs start there, so wrong estimates
cannot delay the large job forever: it then waits only for the jobs that
already hold the block.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.placement.allocations import Allocations
from damaskstall.placement.model import (
    Block,
    QueuedJob,
    RunningJob,
    Shape,
)

BACKFILL_LIMIT_S = 1800.0
LEAST_RUN_S = 120.0
CANDIDATE_RACKS = 8


class Reservation(NamedTuple):
    """A block reserved for a job.

    ``made_s`` is the time of the reservation and ``empty_s`` the time when
    the block is expected to be empty.
    """

    job: QueuedJob
    block: Block
    made_s: float
    empty_s: float


class Reservations:
    """The reservation of a cell, of which there is at most one."""

    def __init__(self, allocations: Allocations) -> None:
        """Start without a reservation."""
        self.allocations = allocations
        self.current: Reservation | None = None

    def reserve_for_oldest(
        self, jobs: Iterable[QueuedJob], now_s: float
    ) -> None:
        """Reserve a block for the first of the blocked large jobs.

        Urgent jobs come first, then the oldest. Jobs that prefer another cell
        are left out.
        """
        large = sorted(
            (job for job in jobs if job.preferred),
            key=lambda job: (not job.urgent, job.queued_s, job.name),
        )
        for job in large:
            if self._reserve(job, now_s):
                return

    def is_large(self, shape: Shape) -> bool:
        """Return whether a shape takes half a worker or more."""
        widest = max(self.allocations.layout.accelerators, default=0)
        return shape.hosts > 1 or 2 * shape.accelerators_per_host >= widest

    def cancel(self, keep_shield: bool = False) -> None:
        """Cancel the reservation.

        With ``keep_shield`` the block stays shielded for the job, which
        starts there.
        """
        if self.current is None:
            return
        self.allocations.mark(
            self.allocations.reserved, self.current.block, False
        )
        if not keep_shield:
            self.allocations.slots.unshield(self.current.job.name)
        self.current = None

    def can_drain(self) -> bool:
        """Return whether the reserved block can still drain.

        It cannot if it overlaps a claimed block or an unusable worker. Return
        True if there is no reservation.
        """
        if self.current is None:
            return True
        block = self.current.block
        if self.allocations.claimed.intersects(block):
            return False
        return not self.allocations.slots.closed.intersects(block)

    def backfill_block(
        self, shape: Shape, expected_s: float, now_s: float
    ) -> Block | None:
        """Return a free block in the reserved one for backfill, or None.

        The job must be expected to end before the reserved block is empty.
        """
        current = self.current
        if current is None or now_s - current.made_s > BACKFILL_LIMIT_S:
            return None
        if now_s + expected_s > current.empty_s:
            return None
        found = self.allocations.free_reserved.find(shape)
        return found.block if found else None

    def yielding_block(self, shape: Shape, now_s: float) -> Block | None:
        """Return a free block in the reserved one for a preemptible job.

        The job is preempted as soon as no other job is left in the reserved
        block. Return None if that is expected within ``LEAST_RUN_S``, before
        the job could make progress. An expected time that has passed already
        is ignored.
        """
        if self.current is None:
            return None
        if 0.0 <= self.current.empty_s - now_s < LEAST_RUN_S:
            return None
        found = self.allocations.free_reserved.find(shape)
        return found.block if found else None

    def _reserve(self, job: QueuedJob, now_s: float) -> bool:
        found = self.allocations.drain.ranked(job.shape, CANDIDATE_RACKS)
        for empty_s, block in [(f.score[0], f.block) for f in found]:
            if not job.restartable:
                if not self.allocations.slots.shield(job.name, block):
                    continue
            self.allocations.mark(self.allocations.reserved, block, True)
            self.current = Reservation(job, block, now_s, empty_s)
            return True
        return False

    def jobs_to_preempt(
        self, slice_s: float, now_s: float
    ) -> list[RunningJob]:
        """Return the jobs to preempt to empty the reserved block.

        Only borrowing jobs that are checkpointable and not urgent are
        preempted for a reservation, and only when no other jobs are left in
        the block. They have run for their time slice or started on the
        reserved block, so each run makes progress and two large jobs cannot
        preempt each other repeatedly.
        """
        if self.current is None:
            return []
        jobs = self.allocations.jobs_in(self.current.block)
        staying = [job for job in jobs if not job.stopping]
        if all(self.may_preempt(job, slice_s, now_s) for job in staying):
            return staying
        return []

    def may_preempt(
        self, running: RunningJob, slice_s: float, now_s: float
    ) -> bool:
        """Return whether a job may be preempted for a reservation."""
        if running.job.urgent or not running.job.checkpointable:
            return False
        ran_s = now_s - running.started_s
        if (
            ran_s < slice_s
            and running.job.name not in self.allocations.yielding
        ):
            return False
        return self.allocations.is_preemptible(running)

"""Track which of a cell's accelerators are held, claimed or reserved."""

from collections.abc import Callable
from math import inf

from damaskstall.placement.accelerator_set import AcceleratorSet
from damaskstall.placement.block_index import BlockIndex, Score
from damaskstall.placement.guarantee_slots import Slots
from damaskstall.placement.layout import Layout, overlap
from damaskstall.placement.model import Block, RunningJob, Shape

GROUP_HOSTS = (1, 2, 4)
RACKS_COMPARED = 4


class Allocations:
    """The running jobs of a cell and the search indexes over its blocks.

    ``free`` finds blocks that no job holds or has claimed and that are not
    reserved; those with the fewest free accelerators around come first.
    ``free_reserved`` finds such blocks that overlap the reserved block.
    ``reclaim`` finds blocks that no job or only preemptible jobs hold, with
    the lowest cost of preemption first. ``drain`` finds the blocks that are
    expected to be empty soonest.

    ``protected`` names shielded jobs that must not be preempted again.
    ``yielding`` names jobs that borrow part of the reserved block and are
    preempted once the reservation needs it.
    """

    def __init__(
        self,
        layout: Layout,
        slots: Slots,
        end_s: Callable[[RunningJob], float],
    ) -> None:
        """Create the allocations of an empty cell.

        ``end_s`` returns the time when a running job is expected to end.
        """
        self.layout = layout
        self.slots = slots
        self.end_s = end_s
        self.running: dict[str, RunningJob] = {}
        self.protected: set[str] = set()
        self.yielding: set[str] = set()
        self.jobs_by_worker: dict[int, list[str]] = {}
        self.held = AcceleratorSet(layout.workers)
        self.claimed = AcceleratorSet(layout.workers)
        self.reserved = AcceleratorSet(layout.workers)
        self.free = BlockIndex(layout, self.free_score)
        self.free_reserved = BlockIndex(layout, self.free_reserved_score)
        self.reclaim = BlockIndex(layout, self.reclaim_score)
        self.drain = BlockIndex(layout, self.drain_score)
        self.indexes = (
            self.free,
            self.free_reserved,
            self.reclaim,
            self.drain,
        )

    def allocate(self, running: RunningJob) -> None:
        """Record that a job holds its block."""
        block = running.block
        self.running[running.job.name] = running
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            self.jobs_by_worker.setdefault(worker, []).append(running.job.name)
        self.mark(self.held, block, True)

    def replace(self, running: RunningJob) -> None:
        """Replace the record of a running job whose block stays the same."""
        self.running[running.job.name] = running
        self.invalidate(running.block)

    def release(self, name: str) -> RunningJob | None:
        """Free a job's block and return the job, or None if it is unknown."""
        running = self.running.pop(name, None)
        if running is None:
            return None
        self.protected.discard(name)
        self.yielding.discard(name)
        block = running.block
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            self.jobs_by_worker[worker].remove(name)
            if not self.jobs_by_worker[worker]:
                del self.jobs_by_worker[worker]
        self.mark(self.held, block, False)
        return running

    def mark(
        self, target: AcceleratorSet, block: Block, present: bool
    ) -> None:
        """Add a block to an accelerator set, or remove it from the set."""
        if present:
            target.add(block)
        else:
            target.remove(block)
        self.invalidate(block)

    def invalidate(self, block: Block) -> None:
        """Invalidate the scores of blocks that overlap a changed block."""
        for index in self.indexes:
            index.invalidate(block)

    def jobs_in(self, block: Block) -> list[RunningJob]:
        """Return the running jobs that hold accelerators of a block."""
        names: dict[str, None] = {}
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            names.update(dict.fromkeys(self.jobs_by_worker.get(worker, ())))
        jobs = [self.running[name] for name in names]
        return [job for job in jobs if overlap(job.block, block)]

    def is_free(self, block: Block) -> bool:
        """Return whether a block is usable and neither held nor claimed."""
        if self.held.intersects(block) or self.claimed.intersects(block):
            return False
        return not self.slots.closed.intersects(block)

    def is_preemptible(self, running: RunningJob) -> bool:
        """Return whether a running job may be preempted."""
        if running.guaranteed:
            return False
        name = running.job.name
        if name not in self.slots.shielded_blocks:
            return True
        return running.job.restartable and name not in self.protected

    def free_score(self, block: Block) -> Score | None:
        """Score a free block by the free accelerators around it.

        Return None if the block is not free or overlaps the reserved block.
        """
        if not self.is_free(block) or self.reserved.intersects(block):
            return None
        return (*self.free_around(block), float(block.first_worker))

    def free_reserved_score(self, block: Block) -> Score | None:
        """Score a free block that overlaps the reserved block, else None."""
        if not self.reserved.intersects(block) or not self.is_free(block):
            return None
        return (float(block.first_worker),)

    def free_around(self, block: Block) -> list[float]:
        """Return the counts of free accelerators in groups around a block.

        The groups are the aligned ranges of ``GROUP_HOSTS`` hosts, from the
        block's size upwards, and then the rack.
        """
        span = self.layout.racks[self.layout.rack_of[block.first_worker]]
        counts = []
        for hosts in GROUP_HOSTS:
            if hosts < block.hosts:
                continue
            offset = block.first_worker - span.first
            first = span.first + offset // hosts * hosts
            counts.append(
                self._free_count(first, min(first + hosts, span.end))
            )
        counts.append(self._free_count(span.first, span.end))
        return counts

    def _free_count(self, first: int, end: int) -> float:
        taken = 0
        for worker in range(first, end):
            taken += (
                self.held.bits[worker] | self.claimed.bits[worker]
            ).bit_count()
        return float(sum(self.layout.accelerators[first:end]) - taken)

    def reclaim_score(self, block: Block) -> Score | None:
        """Score a block by the work that preempting its jobs would lose.

        The parts are the number of accelerators of jobs to preempt that are
        urgent or cannot be checkpointed, the number of accelerators of all
        jobs to preempt, and whether the block overlaps the reserved block.
        Return None if the block cannot be reclaimed.
        """
        if self.claimed.intersects(block) or self.slots.closed.intersects(
            block
        ):
            return None
        restarted = 0
        stopped = 0
        for running in self.jobs_in(block):
            if not self.is_preemptible(running):
                return None
            if running.stopping:
                continue
            stopped += running.job.shape.accelerators
            if running.job.urgent or not running.job.checkpointable:
                restarted += running.job.shape.accelerators
        overlaps_reserved = self.reserved.intersects(block)
        return (float(restarted), float(stopped), float(overlaps_reserved))

    def clearing_cost(self, block: Block, now_s: float) -> Score | None:
        """Return the exact cost of clearing a block.

        The parts are whether an urgent job is in the block, the
        accelerator-seconds of work that starts over, and the last two parts
        of ``reclaim_score``. Return None if the block cannot be reclaimed.
        """
        score = self.reclaim_score(block)
        if score is None:
            return None
        lost_s = 0.0
        for running in self.jobs_in(block):
            if running.stopping or running.job.checkpointable:
                continue
            ran_s = now_s - running.started_s
            lost_s += ran_s * running.job.shape.accelerators
        urgent = any(r.job.urgent for r in self.jobs_in(block))
        return (float(urgent), lost_s, *score[1:])

    def cheapest_to_clear(self, shape: Shape, now_s: float) -> Block | None:
        """Return the block that costs least to clear, or None.

        Only the ``RACKS_COMPARED`` racks with the best reclaim scores are
        searched.
        """
        best: tuple[Score, Block] | None = None
        racks = list(self.reclaim.ranked(shape, RACKS_COMPARED))
        for found in racks:
            for block in self.layout.blocks_from(found.rack, shape):
                clearing_cost = self.clearing_cost(block, now_s)
                if clearing_cost is not None and (
                    best is None or clearing_cost < best[0]
                ):
                    best = (clearing_cost, block)
        return best[1] if best else None

    def drain_score(self, block: Block) -> Score | None:
        """Score a block by the expected end of the last of its jobs.

        Return None if the block is claimed or has unusable workers.
        """
        if self.claimed.intersects(block) or self.slots.closed.intersects(
            block
        ):
            return None
        ends_s = [self.end_s(running) for running in self.jobs_in(block)]
        return (max(ends_s, default=-inf), float(block.first_worker))

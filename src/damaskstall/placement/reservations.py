"""Reserve a block for the oldest blocked large job and let it drain.

Nothing new starts in the reserved block unless its corrected run time ends
before the block is expected to be empty. After a while nothing starts in it at
all, so wrong estimates cannot put the large job off for ever: it then waits
for the jobs that hold the block and for no others.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from damaskstall.placement.books import Books
from damaskstall.placement.model import Block, QueuedJob, Shape

BACKFILL_LIMIT_S = 1800.0
CANDIDATE_RACKS = 8


class Reservation(NamedTuple):
    """Hold a block for a job; ``empty_s`` is when it should be empty."""

    job: QueuedJob
    block: Block
    made_s: float
    empty_s: float


class Reservations:
    """Hold at most one reservation in a cell."""

    def __init__(self, books: Books) -> None:
        """Start without a reservation."""
        self.books = books
        self.current: Reservation | None = None

    def choose(self, jobs: Iterable[QueuedJob], now_s: float) -> None:
        """Reserve a block for the oldest of the blocked large jobs."""
        large = sorted(
            (j for j in jobs if j.preferred and self.is_large(j.shape)),
            key=lambda job: (not job.urgent, job.queued_s, job.name),
        )
        for job in large:
            if self._reserve(job, now_s):
                return

    def is_large(self, shape: Shape) -> bool:
        """Return whether a shape takes half a worker or more."""
        widest = max(self.books.layout.accelerators, default=0)
        return shape.hosts > 1 or 2 * shape.accelerators_per_host >= widest

    def drop(self, keep_shield: bool = False) -> None:
        """Give up the reservation; the shield stays for a job that starts."""
        if self.current is None:
            return
        self.books.mark(self.books.reserved, self.current.block, False)
        if not keep_shield:
            self.books.slots.unshield(self.current.job.name)
        self.current = None

    def sound(self) -> bool:
        """Return whether the reserved block can still drain."""
        if self.current is None:
            return True
        block = self.current.block
        if self.books.promised.meets(block):
            return False
        return not self.books.slots.closed.meets(block)

    def backfill_block(
        self, shape: Shape, expected_s: float, now_s: float
    ) -> Block | None:
        """Return a block in the reserved one for a job that ends in time."""
        current = self.current
        if current is None or now_s - current.made_s > BACKFILL_LIMIT_S:
            return None
        if now_s + expected_s > current.empty_s:
            return None
        for block in self._blocks_meeting(current.block, shape):
            if self.books.vacant(block):
                return block
        return None

    def _reserve(self, job: QueuedJob, now_s: float) -> bool:
        found = self.books.drain.ranked(job.shape, CANDIDATE_RACKS)
        for empty_s, block in [(f.score[0], f.block) for f in found]:
            if not job.restartable:
                if not self.books.slots.shield(job.name, block):
                    continue
            self.books.mark(self.books.reserved, block, True)
            self.current = Reservation(job, block, now_s, empty_s)
            return True
        return False

    def _blocks_meeting(self, block: Block, shape: Shape) -> Iterator[Block]:
        layout = self.books.layout
        first = layout.rack_of[block.first_worker]
        last = layout.rack_of[block.first_worker + block.hosts - 1]
        for rack in range(first, last + 1):
            yield from layout.blocks_from(rack, shape)

"""Find the best block of a shape without scanning the whole cell.

The best block of each rack is cached per shape. A change marks its racks as
stale; a search scores only those racks again and takes the lowest score from
a heap. The cost of a search is proportional to the changes since the last
one. Heap entries that are no longer the best of their rack are dropped when
they reach the top.
"""

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from typing import NamedTuple

from damaskstall.placement.layout import Layout
from damaskstall.placement.model import Block, Shape

Score = tuple[float, ...]
Scorer = Callable[[Block], Score | None]

SHAPES_LIMIT = 64
HEAP_SPARE = 16


class ScoredBlock(NamedTuple):
    """The best block of a shape in one rack, with its score."""

    score: Score
    rack: int
    block: Block


class ShapeCandidates:
    """The cached best blocks of one shape."""

    def __init__(self, racks: int, racks_per_block: int) -> None:
        """Mark every rack as stale.

        ``racks_per_block`` is the maximum number of racks that a block
        touches.
        """
        self.racks_per_block = racks_per_block
        self.stale = set(range(racks))
        self.best: dict[int, ScoredBlock] = {}
        self.heap: list[ScoredBlock] = []


class BlockIndex:
    """An index of blocks by score.

    The lowest score is best; a block with the score None is not eligible.
    ``scored`` counts the calls of the scoring function.
    """

    def __init__(self, layout: Layout, score: Scorer) -> None:
        """Index the blocks of a layout by a scoring function."""
        self.layout = layout
        self.score = score
        self.by_shape: dict[Shape, ShapeCandidates] = {}
        self.scored = 0

    def invalidate(self, block: Block) -> None:
        """Mark the scores of all blocks that overlap a block as stale."""
        rack_of = self.layout.rack_of
        first = rack_of[block.first_worker]
        end = rack_of[block.first_worker + block.hosts - 1] + 1
        for candidates in self.by_shape.values():
            candidates.stale.update(
                range(max(0, first - candidates.racks_per_block + 1), end)
            )

    def find(self, shape: Shape) -> ScoredBlock | None:
        """Return the eligible block with the lowest score, or None."""
        candidates = self._refreshed(shape)
        while (
            candidates.heap
            and candidates.best.get(candidates.heap[0].rack)
            != candidates.heap[0]
        ):
            heappop(candidates.heap)
        return candidates.heap[0] if candidates.heap else None

    def ranked(self, shape: Shape, limit: int) -> Iterator[ScoredBlock]:
        """Yield the best blocks of up to ``limit`` racks, best first.

        The index must not change during the iteration.
        """
        candidates = self._refreshed(shape)
        taken: list[ScoredBlock] = []
        try:
            while candidates.heap and len(taken) < limit:
                found = heappop(candidates.heap)
                if candidates.best.get(found.rack) != found:
                    continue
                if taken and taken[-1] == found:
                    continue
                taken.append(found)
                yield found
        finally:
            for found in taken:
                heappush(candidates.heap, found)

    def _refreshed(self, shape: Shape) -> ShapeCandidates:
        candidates = self.by_shape.get(shape)
        if candidates is None:
            candidates = self._add_candidates(shape)
        for rack in sorted(candidates.stale):
            self._refresh(candidates, shape, rack)
        candidates.stale.clear()
        return candidates

    def _add_candidates(self, shape: Shape) -> ShapeCandidates:
        if len(self.by_shape) >= SHAPES_LIMIT:
            del self.by_shape[next(iter(self.by_shape))]
        racks_per_block = self.layout.racks_spanned(shape)
        candidates = ShapeCandidates(len(self.layout.racks), racks_per_block)
        self.by_shape[shape] = candidates
        return candidates

    def _refresh(
        self, candidates: ShapeCandidates, shape: Shape, rack: int
    ) -> None:
        known = candidates.best.pop(rack, None)
        best: ScoredBlock | None = None
        for block in self.layout.blocks_from(rack, shape):
            self.scored += 1
            score = self.score(block)
            if score is not None and (best is None or score < best.score):
                best = ScoredBlock(score, rack, block)
        if best is None:
            return
        candidates.best[rack] = best
        if best == known:
            return
        heappush(candidates.heap, best)
        if len(candidates.heap) > 2 * len(candidates.best) + HEAP_SPARE:
            candidates.heap = sorted(candidates.best.values())

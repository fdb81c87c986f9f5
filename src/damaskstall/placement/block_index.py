"""Find the best block of a shape without looking at the whole cell.

The best block of each rack is remembered per shape. A change marks its racks
as stale; a search looks again only at those and takes the least score
from a heap. A search costs what has changed since the last one.
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


class Found(NamedTuple):
    """Hold a rack's best block of a shape and its score."""

    score: Score
    rack: int
    block: Block


class ShapeView:
    """Hold what is known of one shape."""

    def __init__(self, racks: int, span: int) -> None:
        """Start with every rack stale; ``span`` is the racks of a block."""
        self.span = span
        self.stale = set(range(racks))
        self.best: dict[int, Found] = {}
        self.heap: list[Found] = []


class BlockIndex:
    """Search blocks by a score; the least is best, None is not allowed."""

    def __init__(self, layout: Layout, score: Scorer) -> None:
        """Search the blocks of a layout by a score."""
        self.layout = layout
        self.score = score
        self.views: dict[Shape, ShapeView] = {}
        self.scored = 0

    def changed(self, block: Block) -> None:
        """Note that scores of blocks that meet a block may have changed."""
        rack_of = self.layout.rack_of
        first = rack_of[block.first_worker]
        end = rack_of[block.first_worker + block.hosts - 1] + 1
        for view in self.views.values():
            view.stale.update(range(max(0, first - view.span + 1), end))

    def find(self, shape: Shape) -> Found | None:
        """Return the allowed block of a shape with the least score."""
        view = self._refreshed(shape)
        while view.heap and view.best.get(view.heap[0].rack) != view.heap[0]:
            heappop(view.heap)
        return view.heap[0] if view.heap else None

    def ranked(self, shape: Shape, limit: int) -> Iterator[Found]:
        """Yield the best blocks of up to ``limit`` racks, best first.

        The index must not change while this is used.
        """
        view = self._refreshed(shape)
        taken: list[Found] = []
        try:
            while view.heap and len(taken) < limit:
                found = heappop(view.heap)
                if view.best.get(found.rack) != found:
                    continue
                if taken and taken[-1] == found:
                    continue
                taken.append(found)
                yield found
        finally:
            for found in taken:
                heappush(view.heap, found)

    def _refreshed(self, shape: Shape) -> ShapeView:
        view = self.views.get(shape)
        if view is None:
            view = self._add_view(shape)
        for rack in sorted(view.stale):
            self._refresh(view, shape, rack)
        view.stale.clear()
        return view

    def _add_view(self, shape: Shape) -> ShapeView:
        if len(self.views) >= SHAPES_LIMIT:
            del self.views[next(iter(self.views))]
        span = self.layout.racks_spanned(shape)
        view = ShapeView(len(self.layout.racks), span)
        self.views[shape] = view
        return view

    def _refresh(self, view: ShapeView, shape: Shape, rack: int) -> None:
        known = view.best.pop(rack, None)
        best: Found | None = None
        for block in self.layout.blocks_from(rack, shape):
            self.scored += 1
            score = self.score(block)
            if score is not None and (best is None or score < best.score):
                best = Found(score, rack, block)
        if best is None:
            return
        view.best[rack] = best
        if best == known:
            return
        heappush(view.heap, best)
        if len(view.heap) > 2 * len(view.best) + HEAP_SPARE:
            view.heap = sorted(view.best.values())

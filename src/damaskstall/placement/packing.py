"""Pack shapes into disjoint blocks.

Shapes are placed largest first. Blocks of powers of two nest, so this finds a
packing of such shapes whenever one exists: in any packing the largest block
can be exchanged with the contents of another block of its size. For other
shapes a bounded search follows. It may miss an existing packing but never
returns an invalid one.
"""

from collections.abc import Sequence

from damaskstall.placement.accelerator_set import AcceleratorSet
from damaskstall.placement.layout import Layout, is_power_of_two
from damaskstall.placement.model import Block, Shape

SEARCH_STEPS = 2000


def pack(
    layout: Layout, taken: AcceleratorSet, shapes: Sequence[Shape]
) -> list[Block | None]:
    """Return a block for each shape, or None where no block is left.

    ``taken`` contains the occupied accelerators and is not modified.
    """
    used = copy_set(taken)
    blocks: list[Block | None] = [None] * len(shapes)
    order = largest_first(shapes)
    for number in order:
        blocks[number] = place(layout, used, shapes[number])
    if None not in blocks or all_nest(layout, shapes):
        return blocks
    search = PackingSearch(layout, copy_set(taken), shapes)
    return search.run() or blocks


def place(layout: Layout, used: AcceleratorSet, shape: Shape) -> Block | None:
    """Mark and return the first free block of a shape, or None."""
    for block in layout.blocks(shape):
        if not used.intersects(block):
            used.add(block)
            return block
    return None


def largest_first(shapes: Sequence[Shape]) -> list[int]:
    """Return the indices of shapes in packing order, largest first."""
    return sorted(
        range(len(shapes)),
        key=lambda n: (-shapes[n].accelerators, -shapes[n].hosts, n),
    )


def all_nest(layout: Layout, shapes: Sequence[Shape]) -> bool:
    """Return whether largest-first always finds a packing if one exists."""
    sizes = {number for shape in shapes for number in shape}
    if any(shape.hosts > layout.rack_hosts for shape in shapes):
        sizes |= {span.end - span.first for span in layout.racks}
    if not all(map(is_power_of_two, sizes)):
        return False
    widths = {s.accelerators_per_host for s in shapes if s.hosts > 1}
    widest = max((s.accelerators_per_host for s in shapes), default=0)
    return widths <= {widest}


def copy_set(original: AcceleratorSet) -> AcceleratorSet:
    """Return an independent copy of an accelerator set."""
    copy = AcceleratorSet(0)
    copy.bits = original.bits[:]
    return copy


class PackingSearch:
    """A depth-first search for a packing, limited to ``SEARCH_STEPS``."""

    def __init__(
        self, layout: Layout, used: AcceleratorSet, shapes: Sequence[Shape]
    ) -> None:
        """Prepare a search over the free blocks of a layout."""
        self.layout = layout
        self.used = used
        self.shapes = shapes
        self.order = largest_first(shapes)
        self.blocks: list[Block | None] = [None] * len(shapes)
        self.steps = SEARCH_STEPS

    def run(self) -> list[Block | None] | None:
        """Return a complete packing, or None if none was found."""
        return self.blocks if self._place_from(0) else None

    def _place_from(self, depth: int) -> bool:
        if depth == len(self.order):
            return True
        number = self.order[depth]
        for block in self.layout.blocks(self.shapes[number]):
            if self.used.intersects(block):
                continue
            self.steps -= 1
            if self.steps < 0:
                return False
            self.used.add(block)
            self.blocks[number] = block
            if self._place_from(depth + 1):
                return True
            self.used.remove(block)
        return False

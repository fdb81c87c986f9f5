"""Enumerate the blocks that a shape may occupy in a cell.

A shape whose size is a power of two is aligned to multiples of its size, as
in a buddy allocator, so blocks nest and never overlap partially. Other sizes
are not aligned.
"""

from collections.abc import Iterator
from typing import NamedTuple

from damaskstall.placement.model import Block, Cell, Shape


class Span(NamedTuple):
    """The first worker of a rack and the worker after its last."""

    first: int
    end: int


def is_power_of_two(number: int) -> bool:
    """Return whether a positive number is a power of two."""
    return number & (number - 1) == 0


def alignment(size: int) -> int:
    """Return the alignment of a range of this size."""
    return size if is_power_of_two(size) else 1


def block_mask(block: Block) -> int:
    """Return the bit mask of a block's accelerators on each worker."""
    ones = (1 << block.accelerators_per_host) - 1
    return ones << block.first_accelerator


def contains(outer: Block, inner: Block) -> bool:
    """Return whether one block lies within another."""
    outer_end = outer.first_worker + outer.hosts
    if inner.first_worker < outer.first_worker:
        return False
    if inner.first_worker + inner.hosts > outer_end:
        return False
    return block_mask(inner) & ~block_mask(outer) == 0


def overlap(one: Block, other: Block) -> bool:
    """Return whether two blocks share an accelerator."""
    if one.first_worker >= other.first_worker + other.hosts:
        return False
    if other.first_worker >= one.first_worker + one.hosts:
        return False
    return block_mask(one) & block_mask(other) != 0


def shape_of(block: Block) -> Shape:
    """Return the shape of a block."""
    return Shape(block.hosts, block.accelerators_per_host)


def shape_contains(outer: Shape, inner: Shape) -> bool:
    """Return whether a block of the outer shape has room for the inner."""
    if inner.hosts > outer.hosts:
        return False
    return inner.accelerators_per_host <= outer.accelerators_per_host


class Layout:
    """The racks of a cell and the accelerators of each worker.

    ``rack_of`` contains the rack index of each worker, and ``rack_hosts`` is
    the number of workers in the largest rack.
    """

    def __init__(self, cell: Cell) -> None:
        """Create the layout; workers are numbered in the order of racks."""
        self.accelerators = [worker.accelerators for worker in cell.workers]
        self.workers = len(self.accelerators)
        self.racks: list[Span] = []
        first = 0
        for rack in cell.racks:
            end = first + len(rack.workers)
            self.racks.append(Span(first, end))
            first = end
        self.rack_of = [
            number
            for number, span in enumerate(self.racks)
            for _ in range(span.first, span.end)
        ]
        self.rack_hosts = max((s.end - s.first for s in self.racks), default=0)

    def blocks(self, shape: Shape) -> Iterator[Block]:
        """Yield every block of a shape in the cell."""
        for rack in range(len(self.racks)):
            yield from self.blocks_from(rack, shape)

    def blocks_from(self, rack: int, shape: Shape) -> Iterator[Block]:
        """Yield the blocks of a shape whose first worker is in a rack."""
        for first in self._first_workers(rack, shape.hosts):
            yield from self._blocks_at(first, shape)

    def blocks_within(self, outer: Block, shape: Shape) -> Iterator[Block]:
        """Yield the blocks of a shape that lie within a block."""
        last = outer.first_worker + outer.hosts - 1
        for rack in range(
            self.rack_of[outer.first_worker], self.rack_of[last] + 1
        ):
            for block in self.blocks_from(rack, shape):
                if contains(outer, block):
                    yield block

    def blocks_around(self, inner: Block, shape: Shape) -> Iterator[Block]:
        """Yield the blocks of a shape that contain a block."""
        last_rack = self.rack_of[inner.first_worker]
        first_rack = max(0, last_rack - self.racks_spanned(shape) + 1)
        for rack in range(first_rack, last_rack + 1):
            for block in self.blocks_from(rack, shape):
                if contains(block, inner):
                    yield block

    def racks_spanned(self, shape: Shape) -> int:
        """Return the maximum number of racks that a block may touch."""
        if shape.hosts <= self.rack_hosts:
            return 1
        smallest = min(span.end - span.first for span in self.racks)
        return -(-shape.hosts // max(1, smallest))

    def has_block(self, shape: Shape) -> bool:
        """Return whether the empty cell has a block of the shape."""
        return next(self.blocks(shape), None) is not None

    def _first_workers(self, rack: int, hosts: int) -> Iterator[int]:
        span = self.racks[rack]
        if hosts <= span.end - span.first:
            last = span.end - hosts
            yield from range(span.first, last + 1, alignment(hosts))
        elif hosts > self.rack_hosts and span.first + hosts <= self.workers:
            racks = self.rack_of[span.first + hosts - 1] - rack + 1
            if rack % alignment(racks) == 0:
                yield span.first

    def _blocks_at(self, first: int, shape: Shape) -> Iterator[Block]:
        wanted = shape.accelerators_per_host
        fewest = min(self.accelerators[first : first + shape.hosts])
        for index in range(0, fewest - wanted + 1, alignment(wanted)):
            yield Block(first, shape.hosts, index, wanted)

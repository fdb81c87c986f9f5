"""Represent sets of a cell's accelerators as one bit mask per worker."""

from array import array

from damaskstall.placement.layout import block_mask
from damaskstall.placement.model import Block


class AcceleratorSet:
    """A set of a cell's accelerators: one bit each, 8 bytes per worker."""

    def __init__(self, workers: int) -> None:
        """Create an empty set for a number of workers."""
        self.bits = array("Q", bytes(8 * workers))

    def add(self, block: Block) -> None:
        """Add a block's accelerators to the set."""
        mask = block_mask(block)
        first = block.first_worker
        for worker in range(first, first + block.hosts):
            self.bits[worker] |= mask

    def remove(self, block: Block) -> None:
        """Remove a block's accelerators from the set."""
        mask = ~block_mask(block)
        first = block.first_worker
        for worker in range(first, first + block.hosts):
            self.bits[worker] &= mask

    def intersects(self, block: Block) -> bool:
        """Return whether any accelerator of a block is in the set."""
        mask = block_mask(block)
        first = block.first_worker
        for bits in self.bits[first : first + block.hosts]:
            if bits & mask:
                return True
        return False

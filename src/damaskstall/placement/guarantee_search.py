"""Find a block for a job under its team's guarantee.

The block is free, or becomes free by preempting jobs that borrow it.
"""

from collections.abc import Iterator
from typing import NamedTuple

from damaskstall.placement.allocations import Allocations
from damaskstall.placement.block_index import Score
from damaskstall.placement.guarantee_slots import Slot, Slots
from damaskstall.placement.model import Block, QueuedJob

CANDIDATES_TRIED = 8


class Candidate(NamedTuple):
    """A possible block for a job in a slot, and the cost of clearing it.

    ``slot_block`` is the block that the slot would be bound to, and ``order``
    breaks ties.
    """

    cost: Score
    order: int
    slot: Slot
    slot_block: Block
    block: Block


def assign_guaranteed_block(
    allocations: Allocations,
    slots: Slots,
    job: QueuedJob,
    now_s: float,
    fill: bool,
) -> Block | None:
    """Assign a job to a slot of its team's guarantees; return its block.

    Return None if none of the ``CANDIDATES_TRIED`` best candidates can be
    assigned safely. With ``fill`` slots that are in use are tried first.
    """
    candidates = sorted(
        candidates_of(allocations, slots, job, now_s),
        key=lambda c: (fill and not c.slot.jobs, c.cost, c.order),
    )
    for candidate in candidates[:CANDIDATES_TRIED]:
        if slots.use(candidate.slot, candidate.slot_block, job.name):
            return candidate.block
    return None


def candidates_of(
    allocations: Allocations, slots: Slots, job: QueuedJob, now_s: float
) -> list[Candidate]:
    """Return the candidate blocks for a job in its team's slots."""
    found: list[Candidate] = []
    unused_shapes: set[tuple[int, int]] = set()
    for slot in slots.fitting(job.team, job.shape):
        if slot.block is None:
            continue
        slot_blocks = [slot.block]
        if not slot.jobs and slot.shape not in unused_shapes:
            unused_shapes.add(slot.shape)
            slot_blocks += relocated_blocks(allocations, slot, job, now_s)
        for outer in slot_blocks:
            for cost, block in candidate_blocks(
                allocations, outer, job, now_s
            ):
                order = len(found)
                found.append(Candidate(cost, order, slot, outer, block))
    return found


def relocated_blocks(
    allocations: Allocations, slot: Slot, job: QueuedJob, now_s: float
) -> Iterator[Block]:
    """Yield blocks to which an unused slot could move for a job."""
    for shape in dict.fromkeys((slot.shape, job.shape)):
        free = allocations.free.find(shape)
        block = (
            free.block if free else allocations.cheapest_to_clear(shape, now_s)
        )
        if block is not None:
            yield from allocations.layout.blocks_around(block, slot.shape)


def candidate_blocks(
    allocations: Allocations, outer: Block, job: QueuedJob, now_s: float
) -> Iterator[tuple[Score, Block]]:
    """Yield blocks of a job's shape in a slot's block, with their cost."""
    if allocations.slots.closed.intersects(outer):
        return
    for block in allocations.layout.blocks_within(outer, job.shape):
        cost = allocations.clearing_cost(block, now_s)
        if cost is not None:
            yield cost, block

"""Find where a job may start, at once or after preempting borrowers."""

from collections.abc import Iterator
from typing import NamedTuple

from damaskstall.placement.block_index import Score
from damaskstall.placement.books import Books
from damaskstall.placement.model import Block, QueuedJob
from damaskstall.placement.slots import Slot, Slots

OPTIONS_TRIED = 8


class Option(NamedTuple):
    """Hold a place for a job within a slot and what it costs to clear."""

    cost: Score
    order: int
    slot: Slot
    slot_block: Block
    block: Block


def take_guaranteed(
    books: Books, slots: Slots, job: QueuedJob, now_s: float, fill: bool
) -> Block | None:
    """Put a job under its team's guarantee; return its block.

    None means that the guarantee is in use or that no slot fits. With
    ``fill`` slots in use go first.
    """
    options = sorted(
        guaranteed_options(books, slots, job, now_s),
        key=lambda o: (fill and not o.slot.jobs, o.cost, o.order),
    )
    for option in options[:OPTIONS_TRIED]:
        if slots.use(option.slot, option.slot_block, job.name):
            return option.block
    return None


def guaranteed_options(
    books: Books, slots: Slots, job: QueuedJob, now_s: float
) -> list[Option]:
    """Return the places that the team's slots offer to a job."""
    found: list[Option] = []
    unused: set[tuple[int, int]] = set()
    for slot in slots.fitting(job.team, job.shape):
        if slot.block is None:
            continue
        outers = [slot.block]
        if not slot.jobs and slot.shape not in unused:
            unused.add(slot.shape)
            outers += other_places(books, slot, job, now_s)
        for outer in outers:
            for cost, block in places_within(books, outer, job, now_s):
                order = len(found)
                found.append(Option(cost, order, slot, outer, block))
    return found


def other_places(
    books: Books, slot: Slot, job: QueuedJob, now_s: float
) -> Iterator[Block]:
    """Yield blocks that an unused slot might move to for a job."""
    for shape in dict.fromkeys((slot.shape, job.shape)):
        free = books.free.find(shape)
        block = free.block if free else books.cheapest(shape, now_s)
        if block is not None:
            yield from books.layout.blocks_around(block, slot.shape)


def places_within(
    books: Books, outer: Block, job: QueuedJob, now_s: float
) -> Iterator[tuple[Score, Block]]:
    """Yield the blocks of a job's shape within a slot, with their cost."""
    if books.slots.closed.meets(outer):
        return
    for block in books.layout.blocks_within(outer, job.shape):
        cost = books.loss(block, now_s)
        if cost is not None:
            yield cost, block

"""Check by trying everything that guarantees can be reclaimed.

This shares no code with the policy: it works on plain sets of accelerators.
"""

from collections.abc import Iterator

from damaskstall.placement.model import (
    Block,
    Cell,
    Guarantee,
    RunningJob,
    Shape,
)

Place = frozenset[tuple[int, int]]


def accelerators_of(block: Block) -> Place:
    """Return the accelerators of a block as pairs of worker and index."""
    return frozenset(
        (worker, index)
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        )
        for index in range(
            block.first_accelerator,
            block.first_accelerator + block.accelerators_per_host,
        )
    )


def places(cell: Cell, shape: Shape) -> Iterator[Place]:
    """Yield every range of adjacent accelerators within one rack."""
    first = 0
    for rack in cell.racks:
        for start in range(len(rack.workers) - shape.hosts + 1):
            hosts = rack.workers[start : start + shape.hosts]
            fewest = min(worker.accelerators for worker in hosts)
            for index in range(fewest - shape.accelerators_per_host + 1):
                yield accelerators_of(
                    Block(
                        first + start,
                        shape.hosts,
                        index,
                        shape.accelerators_per_host,
                    )
                )
        first += len(rack.workers)


def reclaimable(
    cell: Cell,
    guarantees: tuple[Guarantee, ...],
    running: tuple[RunningJob, ...],
    unusable: frozenset[int],
) -> bool:
    """Return whether each guarantee can have its own block.

    Jobs under a guarantee stay where they are, within a block of their own
    team; everything else may be preempted.
    """
    kept = [
        (job.job.team, accelerators_of(job.block))
        for job in running
        if job.guaranteed
    ]
    order = sorted(guarantees, key=lambda g: -g.shape.accelerators)
    return try_places(cell, order, kept, frozenset(), unusable)


def try_places(
    cell: Cell,
    guarantees: list[Guarantee],
    kept: list[tuple[str, Place]],
    taken: Place,
    unusable: frozenset[int],
) -> bool:
    """Place the first guarantee everywhere it may lie, then the rest."""
    if not guarantees:
        return not kept
    first, rest = guarantees[0], guarantees[1:]
    for place in places(cell, first.shape):
        if place & taken:
            continue
        inside = [k for k in kept if k[0] == first.team and k[1] <= place]
        outside = [k for k in kept if k not in inside]
        if any(place & other for _, other in outside):
            continue
        if not inside and any(worker in unusable for worker, _ in place):
            continue
        if try_places(cell, rest, outside, taken | place, unusable):
            return True
    return False

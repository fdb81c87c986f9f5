"""Keep room for a large unit, so that small ones do not pass it for ever.

The load this answers: gangs of whole workers wait beside many small tasks
that would take every accelerator as it comes free. The workers on which a
blocked unit will fit soonest keep what is free on them; others may use it
only if they are over by then.
"""

from typing import NamedTuple

from damaskstall.tasks.model import NOTHING, Demand
from damaskstall.tasks.packing import (
    Placing,
    RoomPlan,
    may_run,
    needs_one_rack,
    pack,
    tasks_that_fit,
)


class Ending(NamedTuple):
    """Hold a running unit's workers, its demand, and how long it runs on."""

    shares: tuple[str, ...]
    demand: Demand
    left_s: float


class Reservation(NamedTuple):
    """Keep room on workers until a unit fits there, in ``after_s``."""

    kept: dict[str, Demand]
    after_s: float


def reserve(
    plan: RoomPlan, placing: Placing, endings: list[Ending], limit_s: float
) -> Reservation | None:
    """Return what to keep for a unit that fits within a time, or None."""
    groups = [list(plan.free)]
    if needs_one_rack(plan, placing):
        groups = list(plan.racks.values())
    found: tuple[float, list[str]] | None = None
    for names in groups:
        chosen = earliest_fit(plan, placing, endings, names, limit_s)
        if chosen is not None and (found is None or chosen[0] < found[0]):
            found = chosen
    if found is None:
        return None
    after_s, workers = found
    return Reservation(
        kept_room(plan, placing.step.demand, workers, endings, after_s),
        after_s,
    )


def earliest_fit(
    plan: RoomPlan,
    placing: Placing,
    endings: list[Ending],
    names: list[str],
    limit_s: float,
) -> tuple[float, list[str]] | None:
    """Return when a unit fits on some workers, and on which of them."""
    later = plan.copy()
    fits = {
        name: tasks_on(later, placing, name)
        for name in names
        if may_run(placing, plan.workers[name])
    }
    total = sum(fits.values())
    for ending in sorted(endings, key=lambda each: each.left_s):
        if ending.left_s > limit_s:
            return None
        for worker in ending.shares:
            if worker not in fits:
                continue
            later.give(worker, ending.demand)
            total -= fits[worker]
            fits[worker] = tasks_on(later, placing, worker)
            total += fits[worker]
        if total >= placing.step.unit_size:
            workers = pack(later, placing, names)
            assert workers is not None
            return ending.left_s, workers
    return None


def tasks_on(plan: RoomPlan, placing: Placing, worker: str) -> int:
    """Return how many of a unit's tasks fit on a worker."""
    return tasks_that_fit(
        placing, worker, plan.free[worker], placing.step.unit_size
    )


def kept_room(
    plan: RoomPlan,
    demand: Demand,
    workers: list[str],
    endings: list[Ending],
    after_s: float,
) -> dict[str, Demand]:
    """Return what of each worker's free room a unit needs later."""
    kept: dict[str, Demand] = {}
    for worker in dict.fromkeys(workers):
        freed = NOTHING
        for ending in endings:
            if ending.left_s <= after_s:
                for _ in range(ending.shares.count(worker)):
                    freed = freed.plus(ending.demand)
        needed = NOTHING
        for _ in range(workers.count(worker)):
            needed = needed.plus(demand)
        kept[worker] = Demand(
            *(
                max(0, min(room, need - comes))
                for room, need, comes in zip(
                    plan.free[worker], needed, freed, strict=True
                )
            )
        )
    return kept


def open_plan(plan: RoomPlan, held: list[Reservation]) -> RoomPlan:
    """Return the room that is left beside what is kept for others."""
    if not held:
        return plan
    left = plan.copy()
    for reservation in held:
        for worker, demand in reservation.kept.items():
            left.take(worker, demand)
    return left

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
    needs_one_rack,
    pack,
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
    wanted = set(names)
    later = plan.copy()
    for ending in sorted(endings, key=lambda each: each.left_s):
        if ending.left_s > limit_s:
            return None
        if wanted.isdisjoint(ending.shares):
            continue
        for worker in ending.shares:
            later.give(worker, ending.demand)
        workers = pack(later, placing, names)
        if workers is not None:
            return ending.left_s, workers
    return None


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


def open_plan(
    plan: RoomPlan, reservations: list[Reservation], expected_s: float
) -> RoomPlan:
    """Return the room that a unit of an expected run time may use."""
    held = [each for each in reservations if each.after_s < expected_s]
    if not held:
        return plan
    left = plan.copy()
    for reservation in held:
        for worker, demand in reservation.kept.items():
            left.take(worker, demand)
    return left

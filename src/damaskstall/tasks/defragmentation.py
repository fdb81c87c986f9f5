"""Choose endless runs to move, so that a unit fits in the room they leave.

An endless task of one accelerator on each worker keeps a unit that needs whole
workers waiting for good, though most of the fleet is free. Other runs end by
themselves, and reservations collect the room that they leave.
"""

from collections.abc import Callable, Iterable, Sequence
from math import inf
from typing import NamedTuple

from damaskstall.tasks.model import NO_DEMAND, Demand
from damaskstall.tasks.pace import WHOLE_PERCENT
from damaskstall.tasks.packing import (
    CapacityPlan,
    PlacementRequest,
    eligible_workers,
    place_unit,
    smaller_workers,
    tasks_that_fit,
)
from damaskstall.tasks.preemption import (
    GroupKey,
    Preemption,
    Victim,
    find_preemption,
)
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.stalls import is_confirmed_running

# A unit waits for this long before others are moved for it.
MOVE_WAIT_S = 1.0
# A unit is not moved again within this time.
MOVE_INTERVAL_S = 10.0
# Maximum number of tasks that are moved in a round.
MOVED_TASKS_LIMIT = 32
# Maximum number of units for which a round searches for moves, and for which
# it checks whether a search may find any.
MOVE_SEARCH_LIMIT = 2
ROOM_CHECKS_LIMIT = 8
# A search is repeated without the units that fit nowhere else.
TRIES_LIMIT = 2
# An endless run loses no work, but its users wait until it runs again.
ENDLESS_COST_S = 10.0


class Move(NamedTuple):
    """A running unit to stop, and the workers on which it goes on."""

    victim: Victim
    workers: list[str]


class Clearance(NamedTuple):
    """The moves after which a unit fits, and the unit's workers."""

    workers: list[str]
    moves: list[Move]


RequestOf = Callable[[Victim], PlacementRequest]
RunningUnits = Sequence[tuple[JobProgress, Unit]]


def hosts_of_endless(plan: CapacityPlan, endless: RunningUnits) -> set[str]:
    """Return the workers that endless tasks should fill first.

    They run such tasks already or are smaller than others, so that units that
    need whole workers keep the rest.
    """
    hosts = smaller_workers(plan)
    for _, unit in endless:
        hosts.update(unit.workers())
    return hosts


def endless_victims(endless: RunningUnits, stopped: set[int]) -> list[Victim]:
    """Return those of the endless units that are not being stopped.

    ``stopped`` has the IDs of the unit objects that this round stops.
    """
    limits: dict[GroupKey, float] = {}
    found = []
    for progress, unit in endless:
        if unit.stopping or id(unit) in stopped:
            continue
        group = progress.job_id, unit.occurrence, unit.step
        if group not in limits:
            limits[group] = stops_left(progress, unit, stopped)
        found.append(endless_victim(progress, unit, group, limits[group]))
    return found


def endless_victim(
    progress: JobProgress, unit: Unit, group: GroupKey, limit: float
) -> Victim:
    """Return what it costs to stop an endless unit."""
    step = progress.step_of(unit)
    cost_core_s = ENDLESS_COST_S * step.demand.cores * step.unit_size
    return Victim(
        progress,
        unit,
        step.demand,
        unit.workers(),
        cost_core_s,
        group,
        limit,
    )


def movable_units(
    endless: RunningUnits, stopped: set[int], now_s: float
) -> list[Victim]:
    """Return the endless units that may be stopped to run elsewhere."""
    return [
        victim
        for victim in endless_victims(endless, stopped)
        if may_move(victim.unit, now_s)
    ]


def may_move(unit: Unit, now_s: float) -> bool:
    """Return whether a running unit may be stopped to run elsewhere.

    A unit under which a worker crashed may harm the next one. The time since
    the start of a run bounds how often the unit is moved.
    """
    if unit.is_suspected or not is_confirmed_running(unit):
        return False
    return unit.run == 1 or now_s - unit.started_s >= MOVE_INTERVAL_S


def stops_left(progress: JobProgress, unit: Unit, stopped: set[int]) -> float:
    """Return how many tasks of a unit's step may be stopped now.

    A task whose percentage is not 100 is away, for whatever reason.
    """
    limit = progress.step_of(unit).absent_limit
    if limit <= 0:
        return inf
    siblings = progress.units_of(unit.occurrence, unit.step)
    size = progress.step_of(unit).unit_size
    away = sum(
        size
        for each in siblings
        if id(each) in stopped or not is_at_work(each)
    )
    return max(0, limit - away)


def is_at_work(unit: Unit) -> bool:
    """Return whether all tasks of an endless unit do their work."""
    return is_confirmed_running(unit) and unit.percent >= WHOLE_PERCENT


def best_clearance(
    plan: CapacityPlan,
    requests: list[PlacementRequest],
    movable: list[Victim],
    request_of: RequestOf,
) -> Clearance | None:
    """Return moves after which a unit fits, or None.

    Moves that the limits of their steps allow at once are preferred, and the
    earlier of the constraints on the unit's placement.
    """
    choices = [movable]
    if any(each.stops_left < inf for each in movable):
        choices.append([each._replace(stops_left=inf) for each in movable])
    for victims in choices:
        for request in requests:
            found = find_clearance(plan, request, victims, request_of)
            if found is not None:
                return found
    return None


def find_clearance(
    plan: CapacityPlan,
    placement: PlacementRequest,
    movable: list[Victim],
    request_of: RequestOf,
) -> Clearance | None:
    """Return moves after which a unit fits, or None.

    Each moved unit fits elsewhere at once, and together they are no larger
    than the unit. ``request_of`` returns the constraints on the placement of
    a unit to move.
    """
    for _ in range(TRIES_LIMIT):
        if not movable:
            return None
        found = find_preemption(plan, placement, movable)
        if found is None or not is_small(found, placement):
            return None
        moves = relocate(plan, placement.step.demand, found, request_of)
        if len(moves) == len(found.victims):
            return Clearance(found.workers, moves)
        placed = {id(move.victim) for move in moves}
        stuck = {id(v) for v in found.victims if id(v) not in placed}
        movable = [v for v in movable if id(v) not in stuck]
    return None


def has_room(
    plan: CapacityPlan, placement: PlacementRequest, movable: list[Victim]
) -> bool:
    """Return whether a unit could fit if all others that may move were gone.

    As much as it needs must be free on all workers, since those that move go
    on there, and not too many of its tasks may need a move. This rules out
    most searches that find nothing.
    """
    accelerators = sum(
        max(0, free.accelerators) for free in plan.free.values()
    )
    if accelerators < placement.step.unit_accelerators:
        return False
    freed = freed_capacity(movable)
    size = placement.step.unit_size
    fits = fits_now = 0
    for name in eligible_workers(plan, placement):
        free = plan.free[name]
        count = tasks_that_fit(placement, name, free, size)
        fits_now += count
        if name in freed:
            free = free.plus(freed[name])
            count = tasks_that_fit(placement, name, free, size)
        fits += count
    return fits >= size and size - fits_now <= MOVED_TASKS_LIMIT


def freed_capacity(victims: list[Victim]) -> dict[str, Demand]:
    """Return by worker the capacity that units occupy."""
    freed: dict[str, Demand] = {}
    for victim in victims:
        for worker in victim.task_workers:
            earlier = freed.get(worker, NO_DEMAND)
            freed[worker] = earlier.plus(victim.demand)
    return freed


def is_small(found: Preemption, placement: PlacementRequest) -> bool:
    """Return whether the units to move need no more than the unit."""
    cores = sum(
        each.demand.cores * len(each.task_workers) for each in found.victims
    )
    needed = placement.step.demand.cores * placement.step.unit_size
    return cores <= needed


def relocate(
    plan: CapacityPlan,
    demand: Demand,
    found: Preemption,
    request_of: RequestOf,
) -> list[Move]:
    """Return the moves of the units that fit elsewhere at once.

    They take neither each other's room nor that of the unit for which they
    are moved, whose tasks need ``demand``.
    """
    left = plan.copy()
    for worker in found.workers:
        left.allocate(worker, demand)
    moves = []
    for victim in found.victims:
        workers = place_unit(left, request_of(victim))
        if workers is None:
            continue
        for worker in workers:
            left.allocate(worker, victim.demand)
        moves.append(Move(victim, workers))
    return moves


def task_count(moves: Iterable[Move]) -> int:
    """Return how many tasks are moved."""
    return sum(len(move.workers) for move in moves)


def first_moves(moves: Iterable[Move], stopped: set[int]) -> list[Move]:
    """Return the moves that the limits of the moved steps allow together."""
    chosen: list[Move] = []
    counts: dict[GroupKey, int] = {}
    for move in moves:
        victim = move.victim
        limit = stops_left(victim.progress, victim.unit, stopped)
        count = counts.get(victim.group, 0) + len(victim.task_workers)
        if count <= limit:
            counts[victim.group] = count
            chosen.append(move)
    return chosen

"""Reserve capacity for large units, so that small ones do not starve them.

Gangs that need whole workers compete with many small tasks, which would
otherwise take each accelerator as soon as it becomes free. So free capacity
is reserved on the workers on which a blocked unit will fit soonest. Other
units may use it only if they end by then (backfilling).
"""

from typing import NamedTuple

from damaskstall.tasks.model import NO_DEMAND, Demand
from damaskstall.tasks.packing import (
    CapacityPlan,
    PlacementRequest,
    may_run,
    needs_one_rack,
    pack,
    tasks_that_fit,
)


class ExpectedEnd(NamedTuple):
    """A running unit's workers, demand per task and remaining time."""

    task_workers: tuple[str, ...]
    demand: Demand
    remaining_s: float


class Reservation(NamedTuple):
    """Free capacity reserved for a unit, by worker.

    The unit is expected to fit ``after_s`` seconds after the decision.
    """

    kept: dict[str, Demand]
    after_s: float


class KeptCapacity(NamedTuple):
    """What a round left free, and what it kept from the waiting units.

    ``left`` is the free capacity by worker, from which the reservations and
    the headroom are not subtracted.
    """

    left: dict[str, Demand]
    reservations: list[Reservation]
    headroom: Reservation
    isolated: dict[str, Demand]


NOTHING_KEPT = KeptCapacity({}, [], Reservation({}, 0.0), {})


def reserve(
    plan: CapacityPlan,
    placement: PlacementRequest,
    expected_ends: list[ExpectedEnd],
    limit_s: float,
) -> Reservation | None:
    """Return a reservation if the unit will fit in ``limit_s``, or None."""
    groups = [list(plan.free)]
    if needs_one_rack(plan, placement):
        groups = list(plan.racks.values())
    found: tuple[float, list[str]] | None = None
    for names in groups:
        chosen = earliest_fit(plan, placement, expected_ends, names, limit_s)
        if chosen is not None and (found is None or chosen[0] < found[0]):
            found = chosen
    if found is None:
        return None
    after_s, workers = found
    if placement.alone:
        kept = {worker: plan.copy().close(worker) for worker in workers}
        return Reservation(kept, after_s)
    return Reservation(
        reserved_capacity(
            plan, placement.step.demand, workers, expected_ends, after_s
        ),
        after_s,
    )


def earliest_fit(
    plan: CapacityPlan,
    placement: PlacementRequest,
    expected_ends: list[ExpectedEnd],
    names: list[str],
    limit_s: float,
) -> tuple[float, list[str]] | None:
    """Return in how many seconds a unit fits on ``names``, and its workers.

    Return None if it does not fit within ``limit_s``.
    """
    future = plan.copy()
    fits = {
        name: tasks_on(future, placement, name)
        for name in names
        if may_run(placement, plan.workers[name])
    }
    total = sum(fits.values())
    for expected_end in sorted(
        expected_ends, key=lambda each: each.remaining_s
    ):
        if expected_end.remaining_s > limit_s:
            return None
        for worker in expected_end.task_workers:
            if worker not in fits:
                continue
            future.release(worker, expected_end.demand)
            total -= fits[worker]
            fits[worker] = tasks_on(future, placement, worker)
            total += fits[worker]
        if total >= placement.step.unit_size:
            workers = pack(future, placement, names)
            assert workers is not None
            return expected_end.remaining_s, workers
    return None


def tasks_on(
    plan: CapacityPlan, placement: PlacementRequest, worker: str
) -> int:
    """Return how many of a unit's tasks fit on a worker."""
    if placement.alone and not plan.is_idle(worker):
        return 0
    return tasks_that_fit(
        placement, worker, plan.free[worker], placement.step.unit_size
    )


def reserved_capacity(
    plan: CapacityPlan,
    demand: Demand,
    workers: list[str],
    expected_ends: list[ExpectedEnd],
    after_s: float,
) -> dict[str, Demand]:
    """Return by worker the present free capacity to reserve for a unit.

    Capacity that other runs release within ``after_s`` is not reserved.
    """
    kept: dict[str, Demand] = {}
    for worker in dict.fromkeys(workers):
        freed = NO_DEMAND
        for expected_end in expected_ends:
            if expected_end.remaining_s <= after_s:
                for _ in range(expected_end.task_workers.count(worker)):
                    freed = freed.plus(expected_end.demand)
        needed = NO_DEMAND
        for _ in range(workers.count(worker)):
            needed = needed.plus(demand)
        kept[worker] = Demand(
            *(
                max(0, min(available, need - released))
                for available, need, released in zip(
                    plan.free[worker], needed, freed, strict=True
                )
            )
        )
    return kept


def plan_without_reserved(
    plan: CapacityPlan, reservations: list[Reservation]
) -> CapacityPlan:
    """Return a plan of the capacity that is not reserved."""
    if not reservations:
        return plan
    remaining = plan.copy()
    for reservation in reservations:
        for worker, demand in reservation.kept.items():
            remaining.allocate(worker, demand)
    return remaining

"""Reserve capacity for large units, so that small ones do not starve them.

Gangs that need whole workers compete with many small tasks, which would
otherwise take each accelerator as soon as it becomes free. So free capacity
is reserved on the workers on which a blocked unit will fit soonest. Other
units may use it only if they end by then (backfilling).
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.model import NO_DEMAND, Demand
from damaskstall.tasks.packing import (
    CapacityPlan,
    PlacementRequest,
    eligible_workers,
    is_apart,
    kind_of,
    least_accelerators,
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
    """Return a reservation if the unit will fit in ``limit_s``, or None.

    ``expected_ends`` is in order of the remaining times, and the same for all
    calls with one plan.
    """
    kind = kind_of(plan, placement)
    size = placement.step.unit_size
    if plan.later_misfits.covers(kind, size, limit_s):
        return None
    groups = [list(plan.free)]
    if kind.in_one_rack:
        groups = list(plan.racks.values())
    found = earliest_fit(plan, placement, expected_ends, groups, limit_s)
    if found is None:
        if not placement.step.per_worker_limit:
            plan.later_misfits.add(kind, size, limit_s)
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


class FutureFits:
    """How many of a unit's tasks fit on groups of workers as runs end."""

    def __init__(
        self,
        plan: CapacityPlan,
        placement: PlacementRequest,
        groups: list[list[str]],
    ) -> None:
        """Count the tasks that fit now; no worker is in two groups."""
        self.plan = plan.copy()
        self.placement = placement
        self.groups = groups
        self.fits: dict[str, int] = {}
        self.group_of: dict[str, int] = {}
        self.totals = [0] * len(groups)
        eligible = eligible_workers(plan, placement)
        least = least_accelerators(placement)
        for number, names in enumerate(groups):
            for name in names:
                if name not in eligible:
                    continue
                self.group_of[name] = number
                if plan.free[name].accelerators >= least:
                    self.fits[name] = tasks_on(plan, placement, name)
                    self.totals[number] += self.fits[name]

    def end(self, expected_end: ExpectedEnd) -> set[int]:
        """Release the capacity of a run; return the groups it was on."""
        free = self.plan.free
        changed = set()
        for worker in expected_end.task_workers:
            if worker not in self.group_of:
                continue
            free[worker] = free[worker].plus(expected_end.demand)
            fits = tasks_on(self.plan, self.placement, worker)
            number = self.group_of[worker]
            self.totals[number] += fits - self.fits.get(worker, 0)
            self.fits[worker] = fits
            changed.add(number)
        return changed

    def first_fit(self, numbers: Iterable[int]) -> int | None:
        """Return the first of some groups on which the unit fits, or None."""
        size = self.placement.step.unit_size
        return min(
            (n for n in numbers if self.totals[n] >= size), default=None
        )

    def place(self, number: int) -> list[str]:
        """Return the workers for a unit that fits on a group."""
        workers = pack(self.plan, self.placement, self.groups[number])
        assert workers is not None
        return workers


def earliest_fit(
    plan: CapacityPlan,
    placement: PlacementRequest,
    expected_ends: list[ExpectedEnd],
    groups: list[list[str]],
    limit_s: float,
) -> tuple[float, list[str]] | None:
    """Return in how many seconds a unit fits on a group, and its workers.

    Of the groups on which it fits at the same time, the first one counts.
    Return None if it does not fit within ``limit_s``.
    """
    future = FutureFits(plan, placement, groups)
    numbers: Iterable[int] = range(len(groups))
    found: tuple[int, list[str]] | None = None
    for expected_end in expected_ends:
        if expected_end.remaining_s > limit_s:
            break
        changed = future.end(expected_end)
        number = future.first_fit(numbers or changed)
        numbers = ()
        if number is not None and (found is None or number < found[0]):
            found = number, future.place(number)
            limit_s = expected_end.remaining_s
    return None if found is None else (limit_s, found[1])


def tasks_on(
    plan: CapacityPlan, placement: PlacementRequest, worker: str
) -> int:
    """Return how many of a unit's tasks fit on a worker."""
    if not is_apart(plan, placement, worker):
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
    freed_by = capacity_freed(set(workers), expected_ends, after_s)
    for worker in dict.fromkeys(workers):
        freed = freed_by.get(worker, NO_DEMAND)
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


def capacity_freed(
    workers: set[str], expected_ends: list[ExpectedEnd], after_s: float
) -> dict[str, Demand]:
    """Return the capacity that runs release on workers in ``after_s``."""
    freed: dict[str, Demand] = {}
    for expected_end in expected_ends:
        if expected_end.remaining_s > after_s:
            break
        for worker in expected_end.task_workers:
            if worker not in workers:
                continue
            earlier = freed.get(worker, NO_DEMAND)
            freed[worker] = earlier.plus(expected_end.demand)
    return freed


def plan_without_reserved(
    plan: CapacityPlan, reservations: list[Reservation]
) -> CapacityPlan:
    """Return a plan of the capacity that is not reserved.

    Later changes of the plan apply to the result as well.
    """
    if not reservations:
        return plan
    remaining = plan.follower()
    for reservation in reservations:
        for worker, demand in reservation.kept.items():
            remaining.allocate(worker, demand)
    return remaining

"""Tell why a unit that could start does not run.

The reason is found by asking with which of the obstacles taken away the unit
would fit. Nothing is decided here. That costs several tries to place the unit,
so it is only done for the few units that are logged.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.isolation import needs_isolation
from damaskstall.tasks.model import (
    NO_DEMAND,
    URGENT_PRIORITY,
    Demand,
    Queue,
    Step,
)
from damaskstall.tasks.packing import (
    UNBOUNDED_TASKS,
    CapacityPlan,
    PlacementRequest,
    place_unit,
    tasks_that_fit,
)
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.reservations import (
    KeptCapacity,
    Reservation,
    plan_without_reserved,
)

# No round is held.
LEASE_NOT_HELD = "lease_not_held"
PLACES_UNCONFIRMED = "places_unconfirmed"
STORE_FAILING = "store_failing"
# A start of an earlier run may still be carried out on another worker, or on
# one that has no room for the unit.
EARLIER_START = "earlier_start"
# No worker could ever run the unit.
NO_WORKER_OF_SERVICE = "no_worker_of_service"
NO_WORKER_WITH_LABEL = "no_worker_with_label"
TOO_LARGE = "too_large"
# The unit fits on capacity that the latest round left over.
FITS = "fits"
# The unit has a claim on capacity that is not free yet.
OWN_CLAIM = "own_claim"
# The unit fits on usable workers, on capacity that the latest round kept: the
# headroom for urgent jobs, reservations, isolated workers, and the claims of
# urgent units or the ends that these wait for.
HEADROOM = "headroom"
RESERVED = "reserved"
ISOLATED = "isolated"
CLAIMED = "claimed"
# The unit itself has to run apart from others.
NEEDS_IDLE_WORKERS = "needs_idle_workers"
PER_WORKER_LIMIT = "per_worker_limit"
# The unit fits if the workers that get no new runs are added.
UNUSABLE_WORKERS = "unusable_workers"
# Enough is free on usable workers in total, but in several racks, or in parts
# that are too small.
ONE_RACK = "one_rack"
FRAGMENTED = "fragmented"
USED = "used"


class WorkerState(NamedTuple):
    """A worker's free capacity, and what keeps new runs from it."""

    capacity: FreeCapacity
    flags: tuple[str, ...]


class WaitingUnit(NamedTuple):
    """A unit that waits, with the usual run time of its step's tasks."""

    progress: JobProgress
    unit: Unit
    queue: Queue
    expected_s: float
    has_claim: bool

    @property
    def step(self) -> Step:
        """Return the unit's step."""
        return self.progress.step_of(self.unit)


class WaitReason(NamedTuple):
    """Why a unit waits, and the workers that it might run on.

    ``flags`` counts these workers by what keeps new runs from them; one
    worker may have several flags. ``free`` is the total of the usable ones.
    """

    reason: str
    eligible: int = 0
    usable: int = 0
    flags: tuple[tuple[str, int], ...] = ()
    free: Demand = NO_DEMAND


def explain_wait(
    waiting: WaitingUnit, workers: Iterable[WorkerState], kept: KeptCapacity
) -> WaitReason:
    """Return why a unit was not started by the latest round."""
    step = waiting.step
    service = waiting.progress.job.service
    of_service = [
        state for state in workers if state.capacity.worker.service == service
    ]
    if not of_service:
        return WaitReason(NO_WORKER_OF_SERVICE)
    eligible = [
        state for state in of_service if has_label(state, step.required_label)
    ]
    if not eligible:
        return WaitReason(NO_WORKER_WITH_LABEL)
    usable = [state.capacity for state in eligible if not state.flags]
    return WaitReason(
        find_reason(waiting, eligible, usable, kept),
        len(eligible),
        len(usable),
        count_flags(eligible),
        total_free(usable),
    )


def has_label(state: WorkerState, label: str) -> bool:
    """Return whether a worker has a label, or none is required."""
    return not label or label in state.capacity.worker.labels


def count_flags(workers: Iterable[WorkerState]) -> tuple[tuple[str, int], ...]:
    """Return how many workers have each flag, the most frequent first."""
    counts = Counter(flag for state in workers for flag in state.flags)
    return tuple(counts.most_common())


def total_free(capacities: Iterable[FreeCapacity]) -> Demand:
    """Return the free capacity of workers in total."""
    total = NO_DEMAND
    for capacity in capacities:
        total = total.plus(capacity.free)
    return total


def find_reason(
    waiting: WaitingUnit,
    eligible: list[WorkerState],
    usable: list[FreeCapacity],
    kept: KeptCapacity,
) -> str:
    """Return the name of what keeps a unit from the eligible workers."""
    placement = PlacementRequest(
        waiting.step,
        waiting.progress.job.service,
        frozenset(),
        count_tasks(waiting.progress, waiting.unit),
        needs_isolation(waiting.unit),
    )
    if not fits_when_empty(placement, eligible):
        return TOO_LARGE
    if waiting.has_claim:
        return OWN_CLAIM
    plan = CapacityPlan(usable)
    if place_unit(plan, placement) is not None:
        return find_keeper(waiting, plan, placement, kept)
    loose = placement._replace(alone=False)
    if placement.alone and place_unit(plan, loose) is not None:
        return NEEDS_IDLE_WORKERS
    step = waiting.step
    loose = placement._replace(step=step._replace(per_worker_limit=0))
    if place_unit(plan, loose) is not None:
        return PER_WORKER_LIMIT
    if len(usable) < len(eligible):
        everywhere = CapacityPlan(as_usable(state) for state in eligible)
        if place_unit(everywhere, placement) is not None:
            return UNUSABLE_WORKERS
    loose = placement._replace(step=step._replace(one_rack=False))
    if place_unit(plan, loose) is not None:
        return ONE_RACK
    if is_enough(total_free(usable), step):
        return FRAGMENTED
    return USED


def find_keeper(
    waiting: WaitingUnit,
    plan: CapacityPlan,
    placement: PlacementRequest,
    kept: KeptCapacity,
) -> str:
    """Return what kept a unit from the free capacity on which it fits.

    Each is taken away in addition to the ones before.
    """
    left = plan.copy()
    for name in left.free:
        left.free[name] = kept.left.get(name, left.free[name])
    reservations: list[Reservation] = []
    headroom: list[Reservation] = []
    if waiting.queue.priority != URGENT_PRIORITY:
        reservations = [
            each
            for each in kept.reservations
            if each.after_s < waiting.expected_s
        ]
        if kept.headroom.after_s < waiting.expected_s:
            headroom = [kept.headroom]
    for reason, held in (
        (FITS, reservations + headroom),
        (HEADROOM, reservations),
        (RESERVED, []),
    ):
        available = without_reserved(left, held)
        if place_unit(available, placement) is not None:
            return reason
    for worker, free in kept.isolated.items():
        left.release(worker, free)
    return ISOLATED if place_unit(left, placement) is not None else CLAIMED


def without_reserved(
    plan: CapacityPlan, reservations: list[Reservation]
) -> CapacityPlan:
    """Return what reservations leave of the workers in a plan."""
    known = [
        each._replace(
            kept={w: free for w, free in each.kept.items() if w in plan.free}
        )
        for each in reservations
    ]
    return plan_without_reserved(plan, known)


def count_tasks(progress: JobProgress, unit: Unit) -> dict[str, int]:
    """Return by worker the tasks of a unit's step whose runs may exist."""
    counts: Counter[str] = Counter()
    if progress.step_of(unit).per_worker_limit:
        for sibling in progress.units_of(unit.occurrence, unit.step):
            counts.update(sibling.workers())
    return counts


def fits_when_empty(
    placement: PlacementRequest, eligible: list[WorkerState]
) -> bool:
    """Return whether a unit fits on workers on which nothing else runs."""
    empty = placement._replace(task_counts={})
    fits = sum(
        tasks_that_fit(
            empty,
            state.capacity.worker.name,
            state.capacity.worker.capacity,
            UNBOUNDED_TASKS,
        )
        for state in eligible
    )
    return fits >= placement.step.unit_size


def as_usable(state: WorkerState) -> FreeCapacity:
    """Return the free capacity of a worker as if it could get new runs."""
    worker = state.capacity.worker
    if not worker.leaving:
        return state.capacity
    return state.capacity._replace(worker=worker._replace(leaving=False))


def is_enough(free: Demand, step: Step) -> bool:
    """Return whether free capacity is at least the demand of one unit."""
    return all(
        available >= step.unit_size * needed
        for available, needed in zip(free, step.demand, strict=True)
    )

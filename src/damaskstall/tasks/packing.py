"""Choose workers for the tasks of one unit.

Accelerators run out before processors do, and many tasks need all
accelerators of a worker. So tasks are packed (best fit): a task is placed
where the fewest accelerators are free, which keeps idle workers free for
units that need whole workers. Endless tasks, which keep their place for good,
go beside others of their sort or to workers that are smaller anyway.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from math import inf
from typing import NamedTuple

from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.model import NO_DEMAND, Demand, Step, WorkerInfo

# More tasks than fit on any idle worker.
UNBOUNDED_TASKS = 1_000_000


class TaskKind(NamedTuple):
    """The properties of a task that determine on which workers it fits."""

    service: str
    required_label: str
    demand: Demand


class UnitKind(NamedTuple):
    """The properties of a unit, its size aside, that determine if it fits."""

    task: TaskKind
    in_one_rack: bool
    alone: bool


class Misfit(NamedTuple):
    """The size of a unit that does not fit within a time limit."""

    unit_size: int
    limit_s: float


class Misfits:
    """Units that do not fit in a plan.

    While its capacity only shrinks, larger units of the same kind do not fit
    either, nor do they within a shorter time limit.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._found: dict[UnitKind, list[Misfit]] = {}

    def covers(self, kind: UnitKind, size: int, limit_s: float) -> bool:
        """Return whether a unit is known not to fit within a time limit."""
        return any(
            size >= misfit.unit_size and limit_s <= misfit.limit_s
            for misfit in self._found.get(kind, ())
        )

    def add(self, kind: UnitKind, size: int, limit_s: float) -> None:
        """Add a unit that does not fit within a time limit."""
        self._found.setdefault(kind, []).append(Misfit(size, limit_s))

    def clear(self) -> None:
        """Forget all, since capacity has been released."""
        self._found.clear()


class CapacityPlan:
    """Tentative allocation of the free capacity of all workers.

    ``misfits`` has the units that do not fit now, ``later_misfits`` those that
    will not fit in time either, by the expected ends of the round's runs.
    ``rack_limits`` has for a kind of task how many fit in one rack if nothing
    else runs there. ``eligible`` has the workers that may run the tasks of a
    service that need a label, and ``rack_capacities`` those workers'
    capacities, rack by rack.
    """

    def __init__(self, free_capacities: Iterable[FreeCapacity]) -> None:
        """Start with the capacity that is free now."""
        capacities = list(free_capacities)
        self.workers = {each.worker.name: each.worker for each in capacities}
        self.free = {each.worker.name: each.free for each in capacities}
        # Workers to use only after all others.
        self.in_backoff: frozenset[str] = frozenset()
        self.racks: dict[str, list[str]] = {}
        for each in capacities:
            names = self.racks.setdefault(each.worker.rack, [])
            names.append(each.worker.name)
        self.rack_limits: dict[TaskKind, int] = {}
        self.rack_capacities: dict[tuple[str, str], list[Counter[Demand]]] = {}
        self.eligible: dict[tuple[str, str], set[str]] = {}
        self.misfits = Misfits()
        self.later_misfits = Misfits()
        self.followers: list[CapacityPlan] = []

    def copy(self) -> "CapacityPlan":
        """Return an independent copy of this plan."""
        plan = CapacityPlan(())
        plan.workers = self.workers
        plan.racks = self.racks
        plan.rack_limits = self.rack_limits
        plan.rack_capacities = self.rack_capacities
        plan.eligible = self.eligible
        plan.free = dict(self.free)
        plan.in_backoff = self.in_backoff
        return plan

    def with_backoff(
        self, free_capacities: Iterable[FreeCapacity]
    ) -> "CapacityPlan":
        """Return a copy of this plan with workers in backoff added."""
        added = CapacityPlan(free_capacities)
        plan = CapacityPlan(())
        plan.workers = self.workers | added.workers
        plan.free = self.free | added.free
        plan.racks = {
            rack: self.racks.get(rack, []) + added.racks.get(rack, [])
            for rack in self.racks | added.racks
        }
        plan.in_backoff = frozenset(added.workers)
        return plan

    def follower(self) -> "CapacityPlan":
        """Return a copy to which later changes of this plan apply as well."""
        plan = self.copy()
        self.followers.append(plan)
        return plan

    def allocate(self, worker: str, demand: Demand) -> None:
        """Allocate the demand of one task on a worker."""
        self.free[worker] = self.free[worker].minus(demand)
        for plan in self.followers:
            plan.allocate(worker, demand)

    def close(self, worker: str) -> Demand:
        """Allocate all free capacity of a worker; return it."""
        if worker not in self.free:
            return NO_DEMAND
        cpu_millicores, memory_mb, accelerators = self.free[worker]
        free = Demand(
            max(0, cpu_millicores), max(0, memory_mb), max(0, accelerators)
        )
        self.allocate(worker, free)
        return free

    def is_idle(self, worker: str) -> bool:
        """Return whether nothing is allocated on a worker."""
        return self.free[worker] == self.workers[worker].capacity

    def release(self, worker: str, demand: Demand) -> None:
        """Release the demand of one task; ignore an unknown worker."""
        if worker not in self.free:
            return
        self.free[worker] = self.free[worker].plus(demand)
        self.misfits.clear()
        self.later_misfits.clear()
        for plan in self.followers:
            plan.release(worker, demand)


class PlacementRequest(NamedTuple):
    """The constraints on the placement of one unit.

    ``task_counts`` is the number of the step's tasks that each worker already
    has, and ``avoid`` names workers to use only as a last resort. A unit that
    is to run ``alone`` only fits on workers without other runs that are not
    ``unreliable``, and one to ``spread`` goes to the workers with the most
    free capacity. Of the other workers, those in ``prefer`` are filled first.
    """

    step: Step
    service: str
    avoid: frozenset[str]
    task_counts: dict[str, int]
    alone: bool = False
    unreliable: frozenset[str] = frozenset()
    spread: bool = False
    prefer: Set[str] = frozenset()


WorkerFilter = Callable[[WorkerInfo], bool]


def may_run(placement: PlacementRequest, worker: WorkerInfo) -> bool:
    """Return whether a worker is eligible for the unit's tasks."""
    label = placement.step.required_label
    return (
        worker.service == placement.service
        and not worker.leaving
        and (not label or label in worker.labels)
    )


def eligible_workers(
    plan: CapacityPlan, placement: PlacementRequest
) -> set[str]:
    """Return the workers that are eligible for the unit's tasks."""
    key = placement.service, placement.step.required_label
    names = plan.eligible.get(key)
    if names is None:
        names = {
            name
            for name, worker in plan.workers.items()
            if may_run(placement, worker)
        }
        plan.eligible[key] = names
    return names


def least_accelerators(placement: PlacementRequest) -> float:
    """Return how many accelerators must be free on a worker for one task.

    More may be used than there are, which is no obstacle to a task that needs
    none.
    """
    return placement.step.demand.accelerators or -inf


def is_apart(
    plan: CapacityPlan, placement: PlacementRequest, worker: str
) -> bool:
    """Return whether a worker is idle and reliable if the unit needs that."""
    if not placement.alone:
        return True
    return plan.is_idle(worker) and worker not in placement.unreliable


def tasks_that_fit(
    placement: PlacementRequest, worker: str, free: Demand, limit: int
) -> int:
    """Return how many of the unit's tasks fit on a worker, up to a limit."""
    cpu_millicores, memory_mb, accelerators = placement.step.demand
    fits = limit
    if accelerators:
        if free.accelerators < accelerators:
            return 0
        fits = min(fits, free.accelerators // accelerators)
    if fits > 0 and cpu_millicores:
        fits = min(fits, free.cpu_millicores // cpu_millicores)
    if fits > 0 and memory_mb:
        fits = min(fits, free.memory_mb // memory_mb)
    if placement.step.per_worker_limit:
        left = placement.step.per_worker_limit - placement.task_counts.get(
            worker, 0
        )
        fits = min(fits, left)
    return max(0, fits)


def pack(
    plan: CapacityPlan, placement: PlacementRequest, names: Iterable[str]
) -> list[str] | None:
    """Return a worker for each task of a unit, or None if they do not fit."""
    needed = placement.step.unit_size
    chosen = pack_some(plan, placement, names, needed)
    return chosen if len(chosen) == needed else None


def pack_some(
    plan: CapacityPlan,
    placement: PlacementRequest,
    names: Iterable[str],
    limit: int,
) -> list[str]:
    """Return workers for as many tasks as fit, up to a limit.

    Workers with the fewest free accelerators are filled first, then workers
    to avoid, and workers in backoff last.
    """
    eligible = eligible_workers(plan, placement)
    least = least_accelerators(placement)
    usable = [
        name
        for name in names
        if name in eligible
        and plan.free[name].accelerators >= least
        and is_apart(plan, placement, name)
        and tasks_that_fit(placement, name, plan.free[name], 1)
    ]
    usable.sort(key=lambda name: packing_order(plan, placement, name))
    chosen: list[str] = []
    for name in usable:
        left = limit - len(chosen)
        if not left:
            break
        fits = tasks_that_fit(placement, name, plan.free[name], left)
        chosen += [name] * fits
    return chosen


def fits_on(
    plan: CapacityPlan, placement: PlacementRequest, workers: Sequence[str]
) -> bool:
    """Return whether a unit's tasks fit on given workers, one for each."""
    eligible = eligible_workers(plan, placement)
    return all(
        name in eligible
        and is_apart(plan, placement, name)
        and tasks_that_fit(placement, name, plan.free[name], count) == count
        for name, count in Counter(workers).items()
    )


def place_bound(
    plan: CapacityPlan, placement: PlacementRequest, bound: Mapping[int, str]
) -> list[str] | None:
    """Return a worker for each task of a unit of which some are bound.

    ``bound`` has their workers by position. The other tasks go to the racks of
    these if the unit runs slower across racks. Return None if it does not fit.
    """
    if not fits_on(plan, placement, list(bound.values())):
        return None
    left = plan.copy()
    counts = Counter(placement.task_counts)
    for name in bound.values():
        left.allocate(name, placement.step.demand)
        counts[name] += 1
    racks = {plan.workers[name].rack for name in bound.values()}
    if not needs_one_rack(plan, placement):
        racks = set(plan.racks)
    names = [name for rack in racks for name in plan.racks[rack]]
    free_positions = set(range(placement.step.unit_size)) - bound.keys()
    rest = pack_some(
        left,
        placement._replace(task_counts=counts),
        names,
        len(free_positions),
    )
    if len(rest) + len(bound) != placement.step.unit_size:
        return None
    chosen = dict(zip(sorted(free_positions), rest, strict=True))
    chosen.update(bound)
    return [chosen[position] for position in sorted(chosen)]


def packing_order(
    plan: CapacityPlan, placement: PlacementRequest, name: str
) -> tuple[bool, bool, bool, bool, int, int, str]:
    """Return the sort key of a worker; lower keys are filled first."""
    free = plan.free[name]
    worker = plan.workers[name]
    data_rack = placement.step.data_rack
    sign = -1 if placement.spread else 1
    return (
        name in plan.in_backoff,
        name in placement.avoid,
        bool(data_rack) and worker.rack != data_rack,
        name not in placement.prefer,
        sign * free.accelerators,
        sign * free.memory_mb,
        name,
    )


def smaller_workers(plan: CapacityPlan) -> set[str]:
    """Return the workers that have fewer accelerators than others.

    Workers are compared with those of the same service.
    """
    largest: dict[str, int] = {}
    for worker in plan.workers.values():
        known = largest.get(worker.service, 0)
        largest[worker.service] = max(known, worker.capacity.accelerators)
    return {
        name
        for name, worker in plan.workers.items()
        if worker.capacity.accelerators < largest[worker.service]
    }


def place_unit(
    plan: CapacityPlan, placement: PlacementRequest
) -> list[str] | None:
    """Return a worker for each task of a unit, or None if it does not fit.

    A gang that runs slower across racks is placed in one rack, unless no rack
    is large enough for it.
    """
    kind = kind_of(plan, placement)
    size = placement.step.unit_size
    if plan.misfits.covers(kind, size, 0.0):
        return None
    if kind.in_one_rack:
        chosen = place_in_rack(plan, placement)
    else:
        chosen = pack(plan, placement, plan.free)
    if chosen is None and not placement.step.per_worker_limit:
        plan.misfits.add(kind, size, 0.0)
    return chosen


def place_in_rack(
    plan: CapacityPlan, placement: PlacementRequest
) -> list[str] | None:
    """Return workers of one rack for all tasks of a unit, or None."""
    fallback: list[str] | None = None
    for rack in racks_by_free(plan, placement.step.unit_accelerators):
        chosen = pack(plan, placement, plan.racks[rack])
        if chosen is None:
            continue
        if not placement.avoid.intersection(chosen):
            return chosen
        fallback = fallback or chosen
    return fallback


def kind_of(plan: CapacityPlan, placement: PlacementRequest) -> UnitKind:
    """Return the kind of a unit."""
    return UnitKind(
        task_kind_of(placement),
        needs_one_rack(plan, placement),
        placement.alone,
    )


def task_kind_of(placement: PlacementRequest) -> TaskKind:
    """Return the kind of a unit's tasks."""
    step = placement.step
    return TaskKind(placement.service, step.required_label, step.demand)


def needs_one_rack(plan: CapacityPlan, placement: PlacementRequest) -> bool:
    """Return whether a unit must be placed within one rack."""
    step = placement.step
    if not (step.gang and step.one_rack):
        return False
    if step.per_worker_limit:
        return any(rack_holds(plan, placement, rack) for rack in plan.racks)
    return step.unit_size <= largest_rack_tasks(plan, placement)


def across_racks(placement: PlacementRequest) -> PlacementRequest:
    """Return the constraints of a unit that may be spread over racks."""
    step = placement.step._replace(one_rack=False)
    return placement._replace(step=step)


def largest_rack_tasks(plan: CapacityPlan, placement: PlacementRequest) -> int:
    """Return how many tasks of a unit fit in one rack if nothing else runs.

    The unit has no limit per worker.
    """
    kind = task_kind_of(placement)
    if kind not in plan.rack_limits:
        plan.rack_limits[kind] = max(
            (
                sum(
                    count
                    * tasks_that_fit(placement, "", capacity, UNBOUNDED_TASKS)
                    for capacity, count in capacities.items()
                )
                for capacities in rack_capacities(plan, placement)
            ),
            default=0,
        )
    return plan.rack_limits[kind]


def rack_capacities(
    plan: CapacityPlan, placement: PlacementRequest
) -> list[Counter[Demand]]:
    """Return for each rack the capacities of the eligible workers."""
    key = placement.service, placement.step.required_label
    if key not in plan.rack_capacities:
        eligible = eligible_workers(plan, placement)
        plan.rack_capacities[key] = [
            Counter(plan.workers[n].capacity for n in names if n in eligible)
            for names in plan.racks.values()
        ]
    return plan.rack_capacities[key]


def rack_holds(
    plan: CapacityPlan, placement: PlacementRequest, rack: str
) -> bool:
    """Return whether a unit fits in a rack if nothing else runs there."""
    fits = 0
    for name in plan.racks[rack]:
        worker = plan.workers[name]
        if may_run(placement, worker):
            fits += tasks_that_fit(
                placement, name, worker.capacity, UNBOUNDED_TASKS
            )
    return fits >= placement.step.unit_size


def racks_by_free(plan: CapacityPlan, accelerators: int) -> list[str]:
    """Return the racks with enough free accelerators, fullest first."""
    free = {
        rack: sum(plan.free[name].accelerators for name in names)
        for rack, names in plan.racks.items()
    }
    enough = [rack for rack, count in free.items() if count >= accelerators]
    return sorted(enough, key=lambda rack: (free[rack], rack))

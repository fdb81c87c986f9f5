"""Choose which running units to preempt for an urgent unit.

A preempted unit loses its work since the last checkpoint. So for each task of
the urgent unit, the search chooses the worker on which the cheapest victims
free enough capacity.
"""

from collections import Counter
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from damaskstall.tasks.model import Demand
from damaskstall.tasks.packing import (
    CapacityPlan,
    PlacementRequest,
    eligible_workers,
    needs_one_rack,
    tasks_that_fit,
)
from damaskstall.tasks.progress import JobProgress, Unit

# Fixed cost of a preemption, since the victim has to be started again.
STOP_COST_CORE_S = 1.0


# A step of one occurrence of a job.
GroupKey = tuple[str, int, int]


class Victim(NamedTuple):
    """A running unit that may be preempted, and the work that would be lost.

    ``task_workers`` lists the worker of each task, which occupies ``demand``.
    ``stops_left`` is how many tasks of its step, which ``group`` identifies,
    may be stopped in all.
    """

    progress: JobProgress
    unit: Unit
    demand: Demand
    task_workers: tuple[str, ...]
    cost_core_s: float
    group: GroupKey = ("", 0, 0)
    stops_left: float = inf


class Preemption(NamedTuple):
    """Workers for a unit's tasks, and the running units to stop first."""

    workers: list[str]
    victims: list[Victim]
    cost_core_s: float


class Candidate(NamedTuple):
    """A worker for one task, the victims to stop there, and its rank."""

    rank: tuple[bool, float, int]
    worker: str
    to_stop: list[Victim]


VictimsByWorker = dict[str, list[Victim]]


def victims_by_worker(victims: list[Victim]) -> VictimsByWorker:
    """Return the victims on each worker, the cheapest first."""
    found: VictimsByWorker = {}
    for victim in sorted(victims, key=lambda each: each.cost_core_s):
        for worker in dict.fromkeys(victim.task_workers):
            found.setdefault(worker, []).append(victim)
    return found


class PreemptionSearch:
    """Greedy search for a cheap set of victims so that one unit fits."""

    def __init__(
        self,
        plan: CapacityPlan,
        placement: PlacementRequest,
        by_worker: VictimsByWorker,
    ) -> None:
        """Start from a plan of the capacity that is free or being freed."""
        self.plan = plan.copy()
        self.placement = placement
        self.chosen: dict[int, Victim] = {}
        self.cost_core_s = 0.0
        self.by_worker = by_worker
        self.stopped_tasks: Counter[GroupKey] = Counter()

    def search(self, names: list[str], task_count: int) -> Preemption | None:
        """Return a preemption that places ``task_count`` tasks, or None.

        The tasks are placed on the workers ``names``.
        """
        workers: list[str] = []
        task_counts = dict(self.placement.task_counts)
        placement = self.placement._replace(task_counts=task_counts)
        candidates = self._candidates(placement, names)
        for _ in range(task_count):
            if not candidates:
                return None
            best = min(candidates.values(), key=lambda each: each.rank)
            for victim in best.to_stop:
                self._stop(victim)
            self.plan.allocate(best.worker, self.placement.step.demand)
            task_counts[best.worker] = task_counts.get(best.worker, 0) + 1
            workers.append(best.worker)
            changed = {best.worker}
            changed.update(*(each.task_workers for each in best.to_stop))
            changed |= limited_with(candidates.values(), best.to_stop)
            self._update(candidates, placement, changed)
        return Preemption(
            workers, list(self.chosen.values()), self.cost_core_s
        )

    def _candidates(
        self, placement: PlacementRequest, names: list[str]
    ) -> dict[str, Candidate]:
        """Return the workers of ``names`` on which a task can be placed."""
        eligible = eligible_workers(self.plan, placement)
        found: dict[str, Candidate] = {}
        for name in names:
            if name in eligible:
                candidate = self._candidate(placement, name)
                if candidate is not None:
                    found[name] = candidate
        return found

    def _update(
        self,
        candidates: dict[str, Candidate],
        placement: PlacementRequest,
        changed: set[str],
    ) -> None:
        """Bring the candidates up to date after changes on some workers.

        No other worker becomes a candidate, since its own victims and those
        that are stopped already do not free enough together.
        """
        for name in changed & candidates.keys():
            candidate = self._candidate(placement, name)
            if candidate is None:
                del candidates[name]
            else:
                candidates[name] = candidate

    def _candidate(
        self, placement: PlacementRequest, name: str
    ) -> Candidate | None:
        to_stop = self._find_stops(placement, name)
        if to_stop is None:
            return None
        cost = sum(victim.cost_core_s for victim in to_stop)
        free = self.plan.free[name].accelerators
        rank = (name in placement.avoid, cost, free)
        return Candidate(rank, name, to_stop)

    def _find_stops(
        self, placement: PlacementRequest, name: str
    ) -> list[Victim] | None:
        """Return the victims to stop so that one task fits, or None."""
        free = self.plan.free[name]
        if tasks_that_fit(placement, name, free, 1):
            return []
        to_stop: list[Victim] = []
        for victim in self.by_worker.get(name, ()):
            if id(victim.unit) in self.chosen:
                continue
            if not self._may_stop(victim, to_stop):
                continue
            to_stop.append(victim)
            for _ in range(victim.task_workers.count(name)):
                free = free.plus(victim.demand)
            if tasks_that_fit(placement, name, free, 1):
                return self._needed_stops(placement, name, free, to_stop)
        return None

    def _may_stop(self, victim: Victim, to_stop: list[Victim]) -> bool:
        """Return whether a victim's step allows one more stop."""
        if victim.stops_left == inf:
            return True
        planned = sum(
            len(each.task_workers)
            for each in to_stop
            if each.group == victim.group
        )
        planned += self.stopped_tasks[victim.group]
        return planned + len(victim.task_workers) <= victim.stops_left

    def _needed_stops(
        self,
        placement: PlacementRequest,
        name: str,
        free: Demand,
        to_stop: list[Victim],
    ) -> list[Victim]:
        """Return the victims without those that need not be stopped.

        A later victim may free enough by itself. ``free`` is the capacity
        with all of them stopped.
        """
        needed = []
        for victim in sorted(to_stop, key=lambda each: -each.cost_core_s):
            without = free
            for _ in range(victim.task_workers.count(name)):
                without = without.minus(victim.demand)
            if tasks_that_fit(placement, name, without, 1):
                free = without
            else:
                needed.append(victim)
        return needed

    def _stop(self, victim: Victim) -> None:
        self.chosen[id(victim.unit)] = victim
        self.cost_core_s += victim.cost_core_s + STOP_COST_CORE_S
        self.stopped_tasks[victim.group] += len(victim.task_workers)
        for worker in victim.task_workers:
            self.plan.release(worker, victim.demand)


def limited_with(
    candidates: Iterable[Candidate], stopped: list[Victim]
) -> set[str]:
    """Return the workers whose victims share a limit with stopped ones."""
    groups = {each.group for each in stopped if each.stops_left < inf}
    if not groups:
        return set()
    return {
        candidate.worker
        for candidate in candidates
        if any(each.group in groups for each in candidate.to_stop)
    }


def find_preemption(
    plan: CapacityPlan, placement: PlacementRequest, victims: list[Victim]
) -> Preemption | None:
    """Return the cheapest preemption found for a unit, or None.

    A gang that needs one rack is searched for in each rack separately.
    """
    task_count = placement.step.unit_size
    by_worker = victims_by_worker(victims)
    if not needs_one_rack(plan, placement):
        search = PreemptionSearch(plan, placement, by_worker)
        return search.search(list(plan.free), task_count)
    found = [
        PreemptionSearch(plan, placement, by_worker).search(names, task_count)
        for names in plan.racks.values()
    ]
    candidates = [candidate for candidate in found if candidate is not None]
    if not candidates:
        return None
    return min(candidates, key=lambda candidate: candidate.cost_core_s)

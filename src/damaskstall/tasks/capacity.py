"""Account for the capacity that runs occupy on their workers.

A run occupies its demand from its placement until its worker lists its end,
or until it is certain that the run never started or that its lease has
expired. A run that is being stopped still counts.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.model import NO_DEMAND, Demand, RunKey, WorkerInfo


class FreeCapacity(NamedTuple):
    """A worker and its free capacity.

    ``free`` excludes the demand of runs that are being stopped;
    ``free_after_stops`` includes it.
    """

    worker: WorkerInfo
    free: Demand
    free_after_stops: Demand


class Allocation(NamedTuple):
    """Capacity that one run occupies on a worker."""

    demand: Demand
    stopping: bool


class WorkerLoad:
    """The runs that may exist on one worker, with their total demand."""

    def __init__(self) -> None:
        """Create a load without runs."""
        self.runs: dict[RunKey, Allocation] = {}
        self.used = NO_DEMAND
        self.stopping = NO_DEMAND

    def add(self, key: RunKey, demand: Demand) -> None:
        """Add a run; a run that is already counted is ignored."""
        if key in self.runs:
            return
        self.runs[key] = Allocation(demand, False)
        self.used = self.used.plus(demand)

    def mark_stopping(self, key: RunKey) -> None:
        """Mark a run as being stopped; it still occupies its demand."""
        allocation = self.runs.get(key)
        if allocation is None or allocation.stopping:
            return
        self.runs[key] = allocation._replace(stopping=True)
        self.stopping = self.stopping.plus(allocation.demand)

    def remove(self, key: RunKey) -> bool:
        """Remove a run; return whether it was counted."""
        allocation = self.runs.pop(key, None)
        if allocation is None:
            return False
        self.used = self.used.minus(allocation.demand)
        if allocation.stopping:
            self.stopping = self.stopping.minus(allocation.demand)
        return True

    def fits(self, worker: WorkerInfo) -> bool:
        """Return whether the load is within the worker's present capacity."""
        return min(worker.capacity.minus(self.used)) >= 0

    def free_capacity(self, worker: WorkerInfo) -> FreeCapacity:
        """Return the free capacity of the worker that has this load."""
        free = worker.capacity.minus(self.used)
        return FreeCapacity(worker, free, free.plus(self.stopping))


def is_mostly_free(capacities: Iterable[FreeCapacity], service: str) -> bool:
    """Return whether under half of each resource of a service is in use."""
    whole, free = NO_DEMAND, NO_DEMAND
    for each in capacities:
        if each.worker.service == service:
            whole = whole.plus(each.worker.capacity)
            free = free.plus(each.free)
    return all(2 * f >= w for f, w in zip(free, whole, strict=True))

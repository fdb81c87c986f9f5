"""Build inputs for scheduling decisions, and apply the decisions."""

from collections.abc import Iterable
from itertools import count
from typing import Any

from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.claims import no_claims
from damaskstall.tasks.model import (
    NO_DEMAND,
    AcceptedJob,
    Demand,
    JobDeclaration,
    Queue,
    Step,
    WorkerInfo,
)
from damaskstall.tasks.policy import Decision, StartUnit, decide
from damaskstall.tasks.progress import JobProgress
from damaskstall.tasks.run_time_estimator import RunTimeEstimator
from damaskstall.tasks.scheduling_input import SchedulingInput
from damaskstall.tasks.urgent_load import UrgentLoad

SERVICE = "svc"
CAPACITY = Demand(64_000, 262_144, 8)
URGENT, NORMAL, BULK = "urgent", "normal", "bulk"
PRIORITIES = {URGENT: 0, NORMAL: 1, BULK: 2}


def queue(name: str) -> Queue:
    """Return a queue like those of the operators' sites."""
    return Queue(
        name, "h", f"/{name}/", SERVICE, PRIORITIES[name], 3, 3.0, 1.0, False
    )


def task(accelerators: int, **fields: Any) -> Step:
    """Return a step, of one task unless ``task_count`` is given."""
    demand = Demand(1000, 1000, accelerators)
    return Step(1, demand, 2.0)._replace(**fields)


class Fleet:
    """Workers and jobs without a network: starts and stops act at once."""

    def __init__(self, racks: int, per_rack: int) -> None:
        """Create idle workers and no jobs."""
        self.workers = [
            WorkerInfo(
                name=f"w{rack}{position}",
                service=SERVICE,
                host="10.0.0.1",
                port=1,
                failure_domain=f"fd{rack}",
                rack=f"r{rack}-0",
                labels=frozenset({"a", f"r{rack}-0"}),
                capacity=CAPACITY,
                leaving=False,
                checks_capacity=False,
                incarnation=1,
            )
            for rack in range(racks)
            for position in range(per_rack)
        ]
        self.jobs: list[JobProgress] = []
        self._numbers = count()
        self.guarantees: dict[str, int] = {}
        self.estimator = RunTimeEstimator()
        self.claims = no_claims()
        self.in_backoff: set[str] = set()
        # Those of them that have got a unit a moment ago.
        self.probed: set[str] = set()
        self.urgent_load = UrgentLoad()
        self.crashed_workers: frozenset[str] = frozenset()

    def add(
        self, queue_name: str, *steps: Step, team: str = "blue"
    ) -> JobProgress:
        """Add a job, accepted one second after the previous one."""
        number = next(self._numbers)
        job = AcceptedJob(
            f"{number:016x}",
            queue_name,
            SERVICE,
            team,
            float(number),
            JobDeclaration("text", steps),
        )
        progress = JobProgress(job, 1, 0.0)
        self.jobs.append(progress)
        return progress

    def run_on(self, progress: JobProgress, *workers: str) -> None:
        """Start a job's first unit on workers, one name for each task."""
        unit = next(progress.all_units())
        progress.begin_run(unit, [(name, 1) for name in workers], 0.0)
        for member in unit.members:
            member.confirmed = True

    def free_capacities(self) -> list[FreeCapacity]:
        """Return each worker's free capacity; assert that none is exceeded."""
        free = {worker.name: worker.capacity for worker in self.workers}
        for progress in self.jobs:
            for unit in progress.all_units():
                demand = progress.step_of(unit).demand
                for member in unit.members:
                    free[member.worker] = free[member.worker].minus(demand)
        for name, remaining in free.items():
            assert min(remaining) >= min(
                NO_DEMAND
            ), f"The capacity of {name} is exceeded."
        return [
            FreeCapacity(w, free[w.name], free[w.name]) for w in self.workers
        ]

    def current_input(self) -> SchedulingInput:
        """Return the input of the next decision."""
        queues = {name: queue(name) for name in PRIORITIES}
        usable: list[FreeCapacity] = []
        in_backoff: list[FreeCapacity] = []
        for each in self.free_capacities():
            backs_off = each.worker.name in self.in_backoff
            (in_backoff if backs_off else usable).append(each)
        return SchedulingInput(
            self.jobs,
            queues,
            self.guarantees,
            usable,
            self.estimator,
            self.claims,
            self.urgent_load,
            [c for c in in_backoff if c.worker.name not in self.probed],
            self.crashed_workers,
            in_backoff,
            usable + in_backoff,
        )

    def decide(self, now_s: float = 1.0) -> list[Decision]:
        """Return the decisions for the current state; keep the claims."""
        for progress in self.jobs:
            for unit in progress.all_units():
                for member in unit.members:
                    member.reported_s = now_s
        result = decide(self.current_input(), now_s)
        self.claims = result.claims
        return result.decisions

    def apply(self, decisions: Iterable[Decision], now_s: float = 1.0) -> None:
        """Apply decisions; starts and stops are confirmed at once."""
        for decision in decisions:
            unit = decision.unit
            if isinstance(decision, StartUnit):
                placed = [(name, 1) for name in decision.workers]
                decision.progress.begin_run(unit, placed, now_s)
                for member in unit.members:
                    member.confirmed = True
            else:
                unit.members = []

    def decide_and_apply(self, rounds: int = 3, now_s: float = 1.0) -> None:
        """Decide and apply repeatedly, all at one point in time."""
        for _ in range(rounds):
            self.apply(self.decide(now_s), now_s)
            self.free_capacities()

    def racks_of(self, progress: JobProgress) -> set[str]:
        """Return the racks that a job's tasks run on."""
        racks = {worker.name: worker.rack for worker in self.workers}
        return {
            racks[member.worker]
            for unit in progress.all_units()
            for member in unit.members
        }


def all_running(progress: JobProgress) -> bool:
    """Return whether all units of a job are running."""
    return all(unit.active for unit in progress.all_units())

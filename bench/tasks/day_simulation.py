"""Simulate a day of generated jobs on workers, by discrete events.

Only the scheduling decisions and the run monitor are the product's own code;
the rest is an event queue. Starts and stops take fixed times, and nothing is
sent or stored.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from bench.tasks.workload import JOB_KINDS, SERVICE, TEAMS, GeneratedJob
from damaskstall.tasks.capacity import WorkerLoad
from damaskstall.tasks.claims import no_claims
from damaskstall.tasks.model import Demand, RunKey, WorkerInfo
from damaskstall.tasks.policy import RoundResult, StartUnit
from damaskstall.tasks.progress import (
    ENDED_DONE,
    ENDED_FAILED,
    JobProgress,
    Member,
    Unit,
)
from damaskstall.tasks.run_monitor import RunMonitor
from damaskstall.tasks.run_obstacles import REPORT, RunObstacle
from damaskstall.tasks.run_time_estimator import RunTimeEstimator
from damaskstall.tasks.scheduling_input import SchedulingInput
from damaskstall.tasks.urgent_load import UrgentLoad
from damaskstall.tasks.worker_health import PROBE_INTERVAL_S

CAPACITY = Demand(64000, 131072, 8)
RACK_SIZE = 8
# As in the operators' benchmark: a start with the write of its row, a stop, a
# check of all runs, and the wait before a decision.
START_S = 0.02
STOP_S = 0.15
STOPPED = "stopped"
MONITOR_INTERVAL_S = 0.5
DECISION_DELAY_S = 0.01
SPANNING_FACTOR = 3.0
GUARANTEED_SHARE = 0.62
SLOW_BACKOFF_S = 4.0
WHOLE_PERCENT = 100


class SlowEpisode(NamedTuple):
    """A period in which a share of the workers is slower by a factor."""

    at_s: float
    for_s: float
    share: float
    factor: float


class Run:
    """One run of a unit.

    It fails when ``fails_at_remaining_s`` of its work remain. ``version``
    counts the changes of its end; a scheduled end of an older one is void.
    """

    def __init__(
        self, job: "SimulatedJob", unit: Unit, workers: list[str]
    ) -> None:
        """Create a run with the unit's remaining work."""
        self.job = job
        self.unit = unit
        self.workers = workers
        self.number = unit.run
        self.remaining_s = job.remaining_s[unit.first_index]
        self.fails_at_remaining_s: float | None = None
        self.rate = 0.0
        self.updated_s = 0.0
        self.working = False
        self.stopping = False
        self.version = 0


class SimulatedJob:
    """A job of the day with its progress and its waiting and lost time."""

    def __init__(self, generated: GeneratedJob) -> None:
        """Create the state of a job at its arrival."""
        self.generated = generated
        self.progress = JobProgress(generated.job, 1, generated.arrival_s)
        step = generated.job.declaration.steps[0]
        size = step.unit_size
        # The work of each unit, by the index of its first task.
        self.total_s = {
            number * size: work_s
            for number, work_s in enumerate(generated.work_s)
        }
        self.remaining_s = dict(self.total_s)
        self.completed_s: float | None = None
        self.discarded_core_s = 0.0
        self.redone_s = 0.0
        self.waited_s = {"capacity": 0.0, "fragments": 0.0}


Policy = Callable[[SchedulingInput, float], RoundResult]


class Simulation:
    """An event-driven simulation of workers and jobs."""

    def __init__(
        self,
        generated: list[GeneratedJob],
        workers: int,
        policy: Policy,
        seed: int,
        slow: tuple[SlowEpisode, ...] = (),
    ) -> None:
        """Prepare a day; ``seed`` determines failures and slow workers."""
        self.policy = policy
        self.random = Random(seed)
        self.now_s = 0.0
        self.workers = make_workers(workers)
        self.racks = {w.name: w.rack for w in self.workers}
        self.loads = {w.name: WorkerLoad() for w in self.workers}
        self.speed = dict.fromkeys(self.loads, 1.0)
        self.backoff_until_s: dict[str, float] = {}
        self.probe_from_s: dict[str, float] = {}
        self.jobs: dict[str, SimulatedJob] = {}
        self.finished: list[SimulatedJob] = []
        self.runs: dict[int, Run] = {}
        self.estimator = RunTimeEstimator()
        self.claims = no_claims()
        self.urgent_load = UrgentLoad()
        self.monitor = RunMonitor(self, self.estimator)
        self.queues = {kind.queue.name: kind.queue for kind in JOB_KINDS}
        total = GUARANTEED_SHARE * workers * CAPACITY.accelerators
        self.guarantees = dict.fromkeys(TEAMS, int(total / len(TEAMS)))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()
        self._deciding = False
        for each in generated:
            self.call_at(each.arrival_s, self._arrival(each))
        for episode in slow:
            self.call_at(episode.at_s, self._slow_down(episode))
        self.call_at(MONITOR_INTERVAL_S, self._check_runs)

    # The worker status that the run monitor reads.

    def is_reachable(self, worker: str) -> bool:
        """Return True for every worker of the simulation."""
        return worker in self.loads

    def leaving_workers(self) -> dict[str, float]:
        """Return no workers, since none drains in the simulation."""
        return {}

    def run_obstacle(
        self, key: RunKey, unit: Unit, member: Member, now_s: float
    ) -> RunObstacle:
        """Return that the run waits for a report; all workers answer."""
        return RunObstacle(REPORT)

    def suspect_stalled(self, unit: Unit, members: list[Member]) -> None:
        """Ignore stalled members; no run stalls in the simulation."""

    def suspect_slow(self, workers: set[str]) -> set[str]:
        """Exclude slow workers from starts for a while; return them."""
        for name in workers:
            self.backoff_until_s[name] = self.now_s + SLOW_BACKOFF_S
        return workers

    # The simulation of events.

    def call_at(self, time_s: float, call: Callable[[], None]) -> None:
        """Schedule a call at a simulated time."""
        heappush(self._events, (time_s, next(self._count), call))

    def simulate(self, limit_s: float) -> list[SimulatedJob]:
        """Simulate until no event is left or a time limit; return all jobs."""
        while self._events:
            time_s, _, call = heappop(self._events)
            if time_s > limit_s:
                break
            self.now_s = time_s
            call()
        return [*self.finished, *self.jobs.values()]

    def _arrival(self, generated: GeneratedJob) -> Callable[[], None]:
        def arrive() -> None:
            self.jobs[generated.job.job_id] = SimulatedJob(generated)
            queue = self.queues[generated.job.queue]
            self.urgent_load.record_job(
                generated.job.declaration, queue.priority, self.now_s
            )
            self._schedule_decision()

        return arrive

    def _slow_down(self, episode: SlowEpisode) -> Callable[[], None]:
        def slow_down() -> None:
            number = round(episode.share * len(self.workers))
            names = self.random.sample(sorted(self.loads), number)
            self._set_speeds(names, 1.0 / episode.factor)
            self.call_at(
                self.now_s + episode.for_s,
                lambda: self._set_speeds(names, 1.0),
            )

        return slow_down

    def _set_speeds(self, names: list[str], speed: float) -> None:
        for name in names:
            self.speed[name] = speed
        for run in list(self.runs.values()):
            if run.working and not set(names).isdisjoint(run.workers):
                self._advance(run)
                self._schedule_end(run)

    def _schedule_decision(self) -> None:
        if not self._deciding:
            self._deciding = True
            self.call_at(self.now_s + DECISION_DELAY_S, self._decide)

    def _check_runs(self) -> None:
        """Report progress, stop runs that should move, and decide again."""
        for run in self.runs.values():
            if run.working:
                self._advance(run)
                self._report_progress(run)
        jobs = [simulated.progress for simulated in self.jobs.values()]
        for stop in self.monitor.find_stops(jobs, self.now_s):
            self._stop(stop.unit)
        self._record_waiting(MONITOR_INTERVAL_S)
        self._schedule_decision()
        self.call_at(self.now_s + MONITOR_INTERVAL_S, self._check_runs)

    def _report_progress(self, run: Run) -> None:
        total_s = run.job.total_s[run.unit.first_index]
        percent = int(WHOLE_PERCENT * (1 - run.remaining_s / total_s))
        for member in run.unit.members:
            member.pace.record(min(99, percent), self.now_s)

    def _record_waiting(self, passed_s: float) -> None:
        """Add the time to the waiting cause of each job without a run."""
        free = sum(
            CAPACITY.accelerators - load.used.accelerators
            for load in self.loads.values()
        )
        for simulated in self.jobs.values():
            units = list(simulated.progress.all_units())
            if any(unit.active for unit in units):
                continue
            needed = simulated.progress.step_of(units[0]).unit_accelerators
            why = "fragments" if free >= needed else "capacity"
            simulated.waited_s[why] += passed_s

    def _decide(self) -> None:
        self._deciding = False
        free_capacities, backoff_capacities = [], []
        for worker in self.workers:
            free = self.loads[worker.name].free_capacity(worker)
            if self.backoff_until_s.get(worker.name, 0.0) <= self.now_s:
                free_capacities.append(free)
            elif self.now_s >= self.probe_from_s.get(worker.name, 0.0):
                backoff_capacities.append(free)
        inputs = SchedulingInput(
            [simulated.progress for simulated in self.jobs.values()],
            self.queues,
            self.guarantees,
            free_capacities,
            self.estimator,
            self.claims,
            self.urgent_load,
            backoff_capacities,
            reachable_capacities=[*free_capacities, *backoff_capacities],
        )
        result = self.policy(inputs, self.now_s)
        self.claims = result.claims
        for decision in result.decisions:
            if isinstance(decision, StartUnit):
                self._start(decision)
            else:
                self._stop(decision.unit)

    def _start(self, decision: StartUnit) -> None:
        simulated = self.jobs[decision.progress.job_id]
        progress, unit = decision.progress, decision.unit
        placed = [(name, 1) for name in decision.workers]
        progress.begin_run(unit, placed, self.now_s)
        run = Run(simulated, unit, decision.workers)
        if self.random.random() < simulated.generated.kind.failure_share:
            run.fails_at_remaining_s = run.remaining_s * self.random.random()
        self.runs[id(unit)] = run
        demand = progress.step_of(unit).demand
        for position, name in enumerate(decision.workers):
            key = progress.run_key(unit, position)
            self.loads[name].add(key, demand)
            self.probe_from_s[name] = self.now_s + PROBE_INTERVAL_S
        self.call_at(self.now_s + START_S, lambda: self._begin_work(run))

    def _begin_work(self, run: Run) -> None:
        if run.stopping:
            return
        run.working = True
        run.updated_s = self.now_s
        run.unit.has_begun = True
        for member in run.unit.members:
            member.confirmed = True
        self._schedule_end(run)

    def _rate(self, run: Run) -> float:
        rate = min(self.speed[name] for name in run.workers)
        step = run.job.progress.step_of(run.unit)
        racks = {self.racks[name] for name in run.workers}
        if step.gang and step.one_rack and len(racks) > 1:
            rate /= SPANNING_FACTOR
        return rate

    def _advance(self, run: Run) -> None:
        """Update the remaining work of a run to the present time."""
        run.remaining_s -= (self.now_s - run.updated_s) * run.rate
        run.updated_s = self.now_s

    def _schedule_end(self, run: Run) -> None:
        run.version += 1
        version = run.version
        run.rate = self._rate(run)
        remaining_s = run.remaining_s
        if run.fails_at_remaining_s is not None:
            remaining_s = max(0.0, run.remaining_s - run.fails_at_remaining_s)

        def end() -> None:
            if run.version != version or run.stopping:
                return
            self._advance(run)
            failed = run.fails_at_remaining_s is not None
            self._end(run, ENDED_FAILED if failed else ENDED_DONE)

        self.call_at(self.now_s + remaining_s / run.rate, end)

    def _stop(self, unit: Unit) -> None:
        run = self.runs.get(id(unit))
        if run is None or run.stopping:
            return
        if run.working:
            self._advance(run)
        run.stopping = True
        unit.stopping = True
        for position, name in enumerate(run.workers):
            key = run.job.progress.run_key(unit, position)
            self.loads[name].mark_stopping(key)
        self.call_at(self.now_s + STOP_S, lambda: self._end(run, STOPPED))

    def _end(self, run: Run, how: str) -> None:
        simulated, unit = run.job, run.unit
        progress = simulated.progress
        del self.runs[id(unit)]
        for position, name in enumerate(run.workers):
            self.loads[name].remove(progress.run_key(unit, position))
        step = progress.step_of(unit)
        before_s = simulated.remaining_s[unit.first_index]
        worked_s = before_s - run.remaining_s
        if how == ENDED_DONE:
            self.estimator.record_run_time(
                progress.job.queue,
                step.estimate_s,
                self.now_s - unit.started_s,
            )
        elif step.checkpoints and how == STOPPED:
            simulated.remaining_s[unit.first_index] = run.remaining_s
        else:
            cores = step.demand.cores * step.unit_size
            simulated.discarded_core_s += worked_s * cores
            simulated.redone_s += worked_s
        unit.ended_s = self.now_s
        limit = simulated.generated.kind.queue.attempt_limit
        for position in range(len(run.workers)):
            progress.end_member(unit, position, how, limit)
        if progress.is_finished():
            if not progress.failed:
                simulated.completed_s = self.now_s
            self.finished.append(self.jobs.pop(progress.job_id))
        self._schedule_decision()


def make_workers(number: int) -> list[WorkerInfo]:
    """Return equal workers in racks that alternate over 3 failure domains."""
    return [
        WorkerInfo(
            name=f"w{worker_index:04d}",
            service=SERVICE,
            host="10.0.0.1",
            port=1,
            failure_domain=f"fd{worker_index // RACK_SIZE % 3}",
            rack=f"r{worker_index // RACK_SIZE}-0",
            labels=frozenset({"a"}),
            capacity=CAPACITY,
            leaving=False,
            checks_capacity=False,
            incarnation=1,
        )
        for worker_index in range(number)
    ]

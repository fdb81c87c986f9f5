"""Check the constraints of decisions on random jobs and workers, by seed."""

from collections import Counter
from random import Random

from pytest import mark

from damaskstall.tasks.last_resort import (
    PREFERENCES_WAIT_S,
    waiting_since_s,
)
from damaskstall.tasks.model import RunKey, Step
from damaskstall.tasks.policy import StartUnit
from damaskstall.tasks.progress import JobProgress, Member, Unit
from damaskstall.tasks.run_monitor import RunMonitor
from damaskstall.tasks.run_obstacles import REPORT, RunObstacle
from tests.tasks.fleet import BULK, NORMAL, URGENT, Fleet, task

SEEDS = range(40)
ROUNDS = 50
ATTEMPTS = 3
OUTCOMES = ("done", "done", "failed", "lapsed", "broken")


class RandomWorkerStatus:
    """Worker status with random answers for the run monitor."""

    def __init__(self, random: Random) -> None:
        """Use ``random`` as the source of all answers."""
        self.random = random

    def is_reachable(self, worker: str) -> bool:
        """Return True in 9 of 10 cases."""
        return self.random.random() < 0.9

    def leaving_workers(self) -> dict[str, float]:
        """Return no worker or one that leaves, with the seconds left."""
        if self.random.random() < 0.7:
            return {}
        return {"w00": self.random.uniform(0.0, 3.0)}

    def run_obstacle(
        self, key: RunKey, unit: Unit, member: Member, now_s: float
    ) -> RunObstacle:
        """Return that the run waits for its worker's report."""
        return RunObstacle(REPORT)

    def suspect_stalled(self, unit: Unit, members: list[Member]) -> None:
        """Ignore stalled members."""

    def suspect_slow(self, workers: set[str]) -> set[str]:
        """Report all slow workers as excluded from starts."""
        return workers


def random_step(random: Random, number: int) -> Step:
    """Return a random step, possibly one that no worker can run."""
    return task(
        random.choice([0, 1, 2, 4, 8, 16]),
        task_count=random.choice([1, 2, 3, 5, 12, 30]),
        gang=random.random() < 0.5,
        one_rack=random.random() < 0.5,
        checkpoints=random.random() < 0.4,
        after=tuple(range(number)) if random.random() < 0.5 else (),
        per_worker_limit=random.choice([0, 0, 0, 1, 2]),
        required_label=random.choice(["", "", "gold", "none"]),
        data_rack=random.choice(["", "r0-0"]),
        endless=random.random() < 0.05,
        estimate_s=random.choice([0.0, 0.1, 2.0, 50.0]),
    )


def random_fleet(random: Random) -> Fleet:
    """Return racks of workers with random labels, capacities and drains."""
    fleet = Fleet(random.choice([1, 2, 3]), random.choice([1, 2, 8]))
    fleet.workers = [
        worker._replace(
            leaving=random.random() < 0.1,
            labels=worker.labels | random.choice([{"gold"}, set(), set()]),
            capacity=worker.capacity._replace(
                accelerators=random.choice([8, 8, 8, 4])
            ),
        )
        for worker in fleet.workers
    ]
    fleet.guarantees = {
        "blue": random.randint(0, 40),
        "red": random.randint(0, 40),
    }
    return fleet


def add_job(random: Random, fleet: Fleet, now_s: float) -> None:
    """Add a job of one to three steps, sometimes of a removed queue."""
    steps = [
        random_step(random, n) for n in range(random.choice([1, 1, 2, 3]))
    ]
    queue = random.choice([URGENT, NORMAL, BULK])
    team = random.choice(["blue", "red", "green"])
    job = fleet.add(queue, *steps, team=team)
    job.first_due_s = now_s
    if random.random() < 0.1:
        job.job = job.job._replace(queue="gone")


def advance_runs(random: Random, job: JobProgress, now_s: float) -> None:
    """Advance a job's runs at random, and end some of them."""
    for unit in job.all_units():
        for position, member in enumerate(list(unit.members)):
            if member.ended:
                continue
            member.confirmed = member.confirmed or random.random() < 0.7
            if member.confirmed:
                step = random.choice([0, 0, 5, 20])
                member.pace.record(min(99, member.pace.percent + step), now_s)
            if unit.stopping and random.random() < 0.6:
                job.end_member(unit, position, "stopped", ATTEMPTS)
            elif random.random() < 0.08:
                how = random.choice(OUTCOMES)
                job.end_member(unit, position, how, ATTEMPTS)


def check_starts(fleet: Fleet, starts: list[StartUnit]) -> None:
    """Assert that each start is complete and only on eligible workers."""
    workers = {worker.name: worker for worker in fleet.workers}
    for start in starts:
        step = start.progress.step_of(start.unit)
        assert len(start.workers) == step.unit_size
        for name in start.workers:
            assert not workers[name].leaving
            label = step.required_label
            assert not label or label in workers[name].labels
        if step.per_worker_limit and step.gang:
            most = max(map(start.workers.count, start.workers))
            assert most <= step.per_worker_limit


def check_probes(
    fleet: Fleet, starts: list[StartUnit], overdue: set[int]
) -> None:
    """Assert that each worker in backoff gets one unit at most.

    Overdue units are left out, of which each job starts one, or any number of
    endless ones.
    """
    probed: set[str] = set()
    jobs = Counter(start.progress.job_id for start in starts)
    for start in starts:
        is_alone = jobs[start.progress.job_id] == 1
        is_endless = start.progress.step_of(start.unit).endless
        if id(start.unit) in overdue and (is_alone or is_endless):
            continue
        found = fleet.in_backoff.intersection(start.workers)
        assert probed.isdisjoint(found)
        probed |= found


def overdue_units(fleet: Fleet, now_s: float) -> set[int]:
    """Return the IDs of the units that have waited too long."""
    return {
        id(unit)
        for job in fleet.jobs
        for unit in job.all_units()
        if now_s - waiting_since_s(job, unit) >= PREFERENCES_WAIT_S
        and (job.step_of(unit).endless or not job.has_active_units())
    }


@mark.parametrize("backoff_share", [0.0, 0.5])
@mark.parametrize("seed", SEEDS)
def test_decisions_satisfy_all_constraints(
    seed: int, backoff_share: float
) -> None:
    """No worker's capacity is exceeded, and no state raises an error."""
    random = Random(seed)
    backoff_random = Random(seed)
    fleet = random_fleet(random)
    monitor = RunMonitor(RandomWorkerStatus(random), fleet.estimator)
    now_s = 0.0
    for _ in range(ROUNDS):
        now_s += random.choice([0.01, 0.2, 0.5, 1.0])
        if random.random() < 0.6:
            add_job(random, fleet, now_s)
        for stop in monitor.find_stops(fleet.jobs, now_s):
            stop.unit.stopping = True
        fleet.in_backoff = {
            worker.name
            for worker in fleet.workers
            if backoff_random.random() < backoff_share
        }
        starts = []
        overdue = overdue_units(fleet, now_s)
        for decision in fleet.decide(now_s):
            if not isinstance(decision, StartUnit):
                assert decision.unit.active
                decision.unit.stopping = True
                continue
            starts.append(decision)
            placed = [(name, 1) for name in decision.workers]
            decision.progress.begin_run(decision.unit, placed, now_s)
        check_starts(fleet, starts)
        check_probes(fleet, starts, overdue)
        fleet.free_capacities()
        for job in fleet.jobs:
            advance_runs(random, job, now_s)
        fleet.jobs = [job for job in fleet.jobs if not job.is_finished()]

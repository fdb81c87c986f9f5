"""Units of whole workers start beside spread endless tasks, by seed."""

from random import Random

from pytest import mark

from damaskstall.tasks.defragmentation import MOVE_INTERVAL_S
from damaskstall.tasks.model import Step
from damaskstall.tasks.policy import StopUnit
from damaskstall.tasks.progress import JobProgress, Unit
from tests.tasks.fleet import BULK, NORMAL, URGENT, Fleet, task
from tests.tasks.test_endless_placement import shrink
from tests.tasks.test_policy import gang

SEEDS = range(60)
ROUND_S = 0.1
LOAD_S = 8.0
CALM_S = 30.0
STOP_S = 0.2
STARTUP_S = 0.3
# The operators' condition, after short work and its reservations have ended.
SETTLED_S = LOAD_S + 6.0
WAIT_LIMIT_S = 3.0


class ChurningFleet(Fleet):
    """Short and endless tasks come, mix and leave; stops take a while."""

    def __init__(self, random: Random) -> None:
        """Create idle workers, some of which have shrunk."""
        super().__init__(random.choice([1, 2]), random.choice([4, 6]))
        self.random = random
        names = [worker.name for worker in self.workers]
        shrink(self, 4, *(n for n in names if random.random() < 0.2))
        self.guarantees = {"blue": random.choice([0, 8])}
        self.ends_s: dict[tuple[int, int], float] = {}
        self.moved_s: dict[int, float] = {}
        self._spread_endless(names)

    def _spread_endless(self, names: list[str]) -> None:
        """Let an endless step run with a task on each of most workers."""
        chosen = [name for name in names if self.random.random() < 0.9]
        limit = self.random.choice([0, 0, 1, 2])
        step = task(1, task_count=len(chosen), endless=True)
        job = self.add(NORMAL, step._replace(absent_limit=limit))
        for name, unit in zip(chosen, job.all_units(), strict=True):
            job.begin_run(unit, [(name, 1)], 0.0)
            unit.members[0].confirmed = True

    def add_random_job(self, now_s: float) -> None:
        """Add an endless job, one of short tasks, or one of whole workers."""
        step = self.random_step()
        queue = self.random.choice([URGENT, NORMAL, BULK])
        team = self.random.choice(["blue", "red"])
        job = self.add(queue, step, team=team)
        job.first_due_s = job.accepted_s = now_s

    def random_step(self) -> Step:
        """Return a step of one of the three sorts."""
        random = self.random
        drawn = random.random()
        if drawn < 0.25:
            return task(
                random.choice([1, 1, 2]),
                task_count=random.choice([1, 1, 3]),
                absent_limit=random.choice([0, 1, 2]),
                endless=True,
            )
        if drawn < 0.5:
            return gang(random.choice([1, 2]), one_rack=random.random() < 0.5)
        return task(
            random.choice([1, 2, 4, 7]), task_count=random.choice([1, 2, 6])
        )

    def play_round(self, now_s: float) -> None:
        """End runs, decide, and apply the decisions."""
        for job in self.jobs:
            for unit in job.all_units():
                if unit.active:
                    self._advance(job, unit, now_s)
        for decision in self.decide(now_s):
            if isinstance(decision, StopUnit):
                self._stop(decision, now_s)
                continue
            placed = [(name, 1) for name in decision.workers]
            decision.progress.begin_run(decision.unit, placed, now_s)
            for member in decision.unit.members:
                member.confirmed = True
        self.free_capacities()

    def _stop(self, stop: StopUnit, now_s: float) -> None:
        stop.unit.stopping = True
        self.ends_s[id(stop.unit), stop.unit.run] = now_s + STOP_S
        if stop.moves:
            before_s = self.moved_s.get(id(stop.unit), -MOVE_INTERVAL_S)
            assert now_s - before_s >= MOVE_INTERVAL_S
            self.moved_s[id(stop.unit)] = now_s
        if stop.progress.step_of(stop.unit).absent_limit:
            self._check_absent(stop.progress)

    def _check_absent(self, job: JobProgress) -> None:
        """Assert that a stop leaves no more away than its step allows."""
        away = sum(
            unit.stopping or not unit.active or unit.percent < 100.0
            for unit in job.all_units()
        )
        assert away <= job.job.declaration.steps[0].absent_limit

    def _advance(self, job: JobProgress, unit: Unit, now_s: float) -> None:
        endless = job.step_of(unit).endless
        if endless and now_s - unit.started_s >= STARTUP_S:
            unit.members[0].pace.record(100.0, now_s)
        key = (id(unit), unit.run)
        if key not in self.ends_s:
            ran_s = self.random.uniform(0.5, 3.0)
            self.ends_s[key] = float("inf") if endless else now_s + ran_s
        if self.ends_s[key] <= now_s:
            unit.done = not unit.stopping
            unit.members = []
            unit.stopping = False
            unit.ended_s = now_s

    def overdue_jobs(self, now_s: float) -> list[str]:
        """Return the jobs that wait though enough could be cleared."""
        return [
            f"{now_s:.1f} s: {job.job.queue} {job.job.declaration.steps[0]}"
            for job in self.jobs
            for unit in job.all_units()
            if not unit.done
            and not unit.active
            and now_s - max(job.accepted_s, unit.ended_s) > WAIT_LIMIT_S
            and self.is_clearable(job.step_of(unit))
        ]

    def is_clearable(self, step: Step) -> bool:
        """Return whether a step fits twice if endless tasks share workers.

        They also need to be no larger than the step's unit themselves.
        """
        whole = {w.name: w.capacity.accelerators for w in self.workers}
        short = dict.fromkeys(whole, 0)
        endless = 0
        for job in self.jobs:
            needed = job.job.declaration.steps[0].demand.accelerators
            for unit in job.all_units():
                for member in unit.members:
                    if job.job.declaration.steps[0].endless:
                        endless += needed
                    else:
                        short[member.worker] += needed
        clear = sum(8 for n in whole if whole[n] == 8 and not short[n])
        room = clear - 2 * step.unit_accelerators
        return 2 * endless <= room and not any(short.values())


@mark.parametrize("seed", SEEDS)
def test_whole_workers_are_cleared_of_endless_tasks(seed: int) -> None:
    """No task is moved too often, nor too many of a step at once."""
    random = Random(seed)
    fleet = ChurningFleet(random)
    load = random.choice([0.1, 0.3, 0.5])
    now_s = 0.0
    while now_s < LOAD_S + CALM_S:
        now_s += ROUND_S
        if now_s < LOAD_S and random.random() < load:
            fleet.add_random_job(now_s)
        fleet.play_round(now_s)
        if now_s > SETTLED_S:
            assert fleet.overdue_jobs(now_s) == []

"""Watch whether jobs wait beside free capacity, by what the workers run."""

from collections import Counter
from collections.abc import Iterator
from typing import Any

from trio import current_time, sleep

from standins.operators.run_history import Run
from tests.tasks.cluster import Cluster
from tests.tasks.wait_checker import (
    ENDLESS_GRACE_S,
    RESOURCES,
    WAIT_LIMIT_S,
    Free,
    free_by_worker,
    is_mostly_free,
)

WATCH_INTERVAL_S = 0.1
SPARE_FACTOR = 2

# A job, one of its steps, and a task of it if that is endless.
WaitKey = tuple[str, int, int]


class RoomWatch:
    """The waits of jobs of which nothing runs though there is ample room.

    A job may start if its step fits twice over on the workers that take
    starts, and under half of each resource of all workers that are up is in
    use. Jobs in ``excused`` and those that have failed are left out.
    """

    def __init__(self, cluster: Cluster, attempt_limit: int) -> None:
        """Watch all accepted jobs of a cluster."""
        self.cluster = cluster
        self.attempt_limit = attempt_limit
        self.excused: set[str] = set()
        # Workers that are listed as draining.
        self.draining: set[str] = set()
        self._since_s: dict[WaitKey, float] = {}
        self.longest_s: dict[WaitKey, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.look(current_time())
            await sleep(WATCH_INTERVAL_S)

    def look(self, now_s: float) -> None:
        """Update the waits."""
        free = free_by_worker(self.cluster)
        waiting: set[WaitKey] = set()
        if is_mostly_free(self.cluster, free):
            for job in self.cluster.accepted:
                waiting.update(self._waiting_steps(job, free, now_s))
        for key in list(self._since_s):
            if key not in waiting:
                del self._since_s[key]
        for key in waiting:
            waited_s = now_s - self._since_s.setdefault(key, now_s)
            self.longest_s[key] = max(self.longest_s.get(key, 0.0), waited_s)

    def check(self) -> None:
        """Assert that no job has waited beside free capacity for too long."""
        found = {
            key: round(waited_s, 1)
            for key, waited_s in self.longest_s.items()
            if waited_s >= WAIT_LIMIT_S
        }
        assert not found, f"jobs waited beside free capacity: {found}"

    def _waiting_steps(
        self, job: str, free: Free, now_s: float
    ) -> Iterator[WaitKey]:
        """Yield the steps, or endless tasks, of a job that could start."""
        runs = self.cluster.runs_of(job)
        if job in self.excused or self._has_failed(runs):
            return
        steps = self.cluster.history.jobs[job]["steps"]
        for number, step in enumerate(steps):
            if is_done(steps, runs, number):
                continue
            if not all(is_done(steps, runs, n) for n in step.get("after", ())):
                continue
            if not self._has_room(step, free, runs, number):
                continue
            if step.get("long_running"):
                yield from endless_waits(job, number, step, runs, now_s)
            elif all(run.ended_s is not None for run in runs):
                yield job, number, 0

    def _has_failed(self, runs: list[Run]) -> bool:
        """Return whether a task, or gang, has used up its attempts."""
        history = self.cluster.history
        failed = {
            (
                run.name.step,
                (
                    0
                    if history.step(run.name).get("gang")
                    else run.name.task_index
                ),
                run.run,
            )
            for run in runs
            if run.how == "failed"
        }
        failures = Counter(key[:2] for key in failed)
        return any(n >= self.attempt_limit for n in failures.values())

    def _has_room(
        self, step: dict[str, Any], free: Free, runs: list[Run], number: int
    ) -> bool:
        """Return whether a unit of a step fits twice over."""
        present = Counter(
            run.worker
            for run in runs
            if run.ended_s is None and run.name.step == number
        )
        needed = SPARE_FACTOR * (step["count"] if step.get("gang") else 1)
        fits = 0
        for name, left in free.items():
            if not self._takes_starts(name, step):
                continue
            tasks = [
                left[resource] // step[resource]
                for resource in RESOURCES
                if step.get(resource)
            ]
            if "anti_affinity" in step:
                tasks.append(step["anti_affinity"] - present[name])
            fits += max(0, min(tasks))
        return fits >= needed

    def _takes_starts(self, name: str, step: dict[str, Any]) -> bool:
        """Return whether a worker has a step's label and takes starts."""
        worker = self.cluster.workers[name]
        if worker.name in self.draining or worker.refuse_starts:
            return False
        label: str = step.get("requirements", "")
        return label in ("", "a", worker.rack)


def is_done(steps: list[dict[str, Any]], runs: list[Run], number: int) -> bool:
    """Return whether all tasks of a step have ended as done."""
    done = {
        run.name.task_index
        for run in runs
        if run.name.step == number and run.how == "done"
    }
    count: int = steps[number]["count"]
    return len(done) >= count


def endless_waits(
    job: str, number: int, step: dict[str, Any], runs: list[Run], now_s: float
) -> Iterator[WaitKey]:
    """Yield the tasks of an endless step that do not run."""
    for index in range(step["count"]):
        mine = [
            run
            for run in runs
            if run.name.step == number and run.name.task_index == index
        ]
        if any(run.ended_s is None for run in mine):
            continue
        ended_s = max((run.ended_s or 0.0 for run in mine), default=None)
        if ended_s is None or now_s >= ended_s + ENDLESS_GRACE_S:
            yield job, number, index

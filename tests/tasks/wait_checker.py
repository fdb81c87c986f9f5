"""Check that no accepted job waits while it could run, or is given up.

The condition is taken from what the stand-in workers really run: a job has
nothing running for WAIT_LIMIT_S though the turn of one of its steps has come,
a unit of the step fits twice over, and under half of each resource is in use.
Each endless task counts by itself, from ENDLESS_GRACE_S after its last run.
"""

from collections.abc import Iterator
from contextlib import suppress
from typing import Any, NamedTuple

from damaskstall.errors import HttpError
from standins.operators.run_history import Run
from tests.tasks.cluster import Cluster

WAIT_LIMIT_S = 3.0
ENDLESS_GRACE_S = 6.0
RESOURCES = ("cpu", "task_memory_mb", "gpus")
SHOWN_STATES = ("queued", "running", "completed")
ANSWER_TRIES = 3

Free = dict[str, dict[str, int]]


class Wait(NamedTuple):
    """A step of a job that does not run, or one task of an endless step."""

    job_id: str
    step: int
    task_index: int | None


class WaitChecker:
    """The waits of one cluster, and since when each could have run."""

    def __init__(self, cluster: Cluster) -> None:
        """Start without waits."""
        self.cluster = cluster
        self._since_s: dict[Wait, float] = {}

    def check(self, now_s: float) -> None:
        """Assert that nothing has waited too long that could run."""
        free = free_by_worker(self.cluster)
        possible = set(self._find_waits(free, now_s))
        self._since_s = {
            wait: self._since_s.get(wait, now_s) for wait in possible
        }
        for wait, since_s in self._since_s.items():
            assert now_s - since_s < WAIT_LIMIT_S, (
                f"{wait} could run and does not from {since_s:.1f} to "
                f"{now_s:.1f}; free: {free}"
            )

    def _find_waits(self, free: Free, now_s: float) -> Iterator[Wait]:
        """Yield what does not run now though it could."""
        if not is_mostly_free(self.cluster, free):
            return
        for job in self.cluster.accepted:
            runs = self.cluster.runs_of(job)
            for number, step in enumerate(steps_of(self.cluster, job)):
                if not is_in_turn(self.cluster, job, number):
                    continue
                if not fits_twice(self.cluster, step, free):
                    continue
                if step.get("long_running"):
                    yield from endless_waits(job, number, step, runs, now_s)
                elif all(run.ended_s is not None for run in runs):
                    yield Wait(job, number, None)


def endless_waits(
    job: str, number: int, step: dict[str, Any], runs: list[Run], now_s: float
) -> Iterator[Wait]:
    """Yield the tasks of an endless step without a run for some time."""
    for index in range(step["count"]):
        ends_s = [
            now_s if run.ended_s is None else run.ended_s
            for run in runs
            if run.name.step == number and run.name.task_index == index
        ]
        if now_s >= max(ends_s, default=0.0) + ENDLESS_GRACE_S:
            yield Wait(job, number, index)


def steps_of(cluster: Cluster, job: str) -> list[dict[str, Any]]:
    """Return the steps of a job as its client declared them."""
    steps: list[dict[str, Any]] = cluster.history.jobs[job]["steps"]
    return steps


def is_step_done(cluster: Cluster, job: str, number: int) -> bool:
    """Return whether all tasks of a step, or its gang, have ended as done."""
    step = steps_of(cluster, job)[number]
    done = {
        run.name.task_index
        for run in cluster.runs_of(job)
        if run.name.step == number and run.how == "done"
    }
    return len(done) >= (1 if step.get("gang") else step["count"])


def is_in_turn(cluster: Cluster, job: str, number: int) -> bool:
    """Return whether a step is not done, and all steps before it are."""
    if is_step_done(cluster, job, number):
        return False
    earlier = steps_of(cluster, job)[number].get("after", ())
    return all(is_step_done(cluster, job, other) for other in earlier)


def free_by_worker(cluster: Cluster) -> Free:
    """Return what the present runs leave free on each worker that is up."""
    free = {
        name: {resource: worker.capacity[resource] for resource in RESOURCES}
        for name, worker in cluster.workers.items()
        if worker.up
    }
    for run in cluster.history.runs:
        if run.ended_s is not None or run.worker not in free:
            continue
        step = cluster.history.step(run.name)
        for resource in RESOURCES:
            free[run.worker][resource] -= step.get(resource, 0)
    return free


def is_mostly_free(cluster: Cluster, free: Free) -> bool:
    """Return whether under half of each resource is in use."""
    return all(
        2 * sum(left[resource] for left in free.values())
        > sum(cluster.workers[name].capacity[resource] for name in free)
        for resource in RESOURCES
    )


def fits_twice(cluster: Cluster, step: dict[str, Any], free: Free) -> bool:
    """Return whether there is room for two units of a step."""
    needed = 2 * (step["count"] if step.get("gang") else 1)
    label = step.get("requirements", "")
    room = sum(
        count_fitting(step, left)
        for name, left in free.items()
        if label in ("", "a", cluster.workers[name].rack)
    )
    return room >= needed


def count_fitting(step: dict[str, int], left: dict[str, int]) -> int:
    """Return how many tasks of a step fit into what a worker has free."""
    return min(left[name] // step[name] for name in RESOURCES if step[name])


async def check_shown_states(cluster: Cluster, queues: dict[str, str]) -> None:
    """Assert that each node knows each job, and shows none as given up."""
    for job in list(cluster.accepted):
        for node in list(cluster.nodes):
            shown = await ask_state(cluster, job, queues[job], node)
            ends = [run.how for run in cluster.runs_of(job)]
            assert (
                shown in SHOWN_STATES
            ), f"{job} is shown as {shown!r} by {node}; its runs: {ends}"


async def ask_state(cluster: Cluster, job: str, queue: str, node: str) -> str:
    """Return the state that a node shows for a job, "" if none."""
    for _ in range(ANSWER_TRIES):
        with suppress(HttpError):
            return await cluster.state(job, queue, node=node)
    return ""

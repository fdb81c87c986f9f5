"""Check the recorded runs against the guarantees of the scheduler."""

from itertools import combinations

from standins.operators.run_history import Run
from tests.tasks.cluster import Cluster

# How the stand-in worker records the end of a run by a crash.
LOST = "lost"
CRASHES_BEFORE_LIMIT = 3
# The rules' contact time and one heartbeat of a worker.
SHRINK_KNOWN_S = 4.5
STARTS_AFTER_CRASHES = 2


def check_runs(cluster: Cluster) -> None:
    """Assert that the recorded runs satisfy all guarantees."""
    check_tasks(cluster)
    check_step_order(cluster)
    check_capacity(cluster)
    alone = [run.task for run in cluster.history.runs if run.how == "alone"]
    assert not alone, f"gang members waited alone: {alone}"


def check_tasks(cluster: Cluster) -> None:
    """Assert that no task ran twice at once, or again after its end."""
    by_task: dict[str, list[Run]] = {}
    for run in cluster.history.runs:
        by_task.setdefault(run.task, []).append(run)
    for task, runs in by_task.items():
        check_single_run(task, runs)


def check_single_run(task: str, runs: list[Run]) -> None:
    """Assert that a task has no overlapping runs and none after its end.

    A run may follow a completed one only if that end was not acknowledged.
    """
    for first, second in combinations(runs, 2):
        assert first.ended_s is not None, f"{task} ran twice at once"
        assert first.ended_s <= second.started_s, f"{task} ran twice at once"
        if first.how == "done":
            assert (
                first.acknowledged_s is None
            ), f"{task} ran again after its end"


def check_crash_budget(cluster: Cluster) -> None:
    """Assert that no task that crashes workers is started too often.

    Once three workers have crashed under it, it is started at most twice.
    """
    for task in cluster.history.crash_after_s:
        runs = [run for run in cluster.history.runs if run.task == task]
        crashes_s = sorted(
            run.ended_s or 0.0 for run in runs if run.how == LOST
        )
        if len(crashes_s) < CRASHES_BEFORE_LIMIT:
            continue
        third_s = crashes_s[CRASHES_BEFORE_LIMIT - 1]
        later = [run for run in runs if run.started_s > third_s]
        assert (
            len(later) <= STARTS_AFTER_CRASHES
        ), f"{task} was started {len(later)} times after three crashes"


def check_step_order(cluster: Cluster) -> None:
    """Assert that no task started before the steps it depends on ended."""
    for run in cluster.history.runs:
        step = cluster.history.step(run.name)
        for earlier in step.get("after", ()):
            tasks = cluster.history.jobs[run.name.job_id]["steps"][earlier]
            done = {
                other.name.task_index
                for other in cluster.runs_of(run.name.job_id)
                if other.name.step == earlier
                and other.how == "done"
                and (other.ended_s or 0.0) <= run.started_s
            }
            needed = 1 if tasks.get("gang") else tasks["count"]
            assert (
                len(done) >= needed
            ), f"{run.task} started before an earlier step was done"


def check_capacity(cluster: Cluster) -> None:
    """Assert that no start exceeded the capacity of its worker.

    A capacity that has shrunk counts SHRINK_KNOWN_S later.
    """
    for worker in cluster.workers.values():
        runs = [
            run for run in cluster.history.runs if run.worker == worker.name
        ]
        for run in runs:
            present = [
                other
                for other in runs
                if other.started_s <= run.started_s
                and (other.ended_s is None or other.ended_s > run.started_s)
            ]
            limits = worker.capacity_limits(
                run.started_s - SHRINK_KNOWN_S, run.started_s
            )
            for name, limit in limits.items():
                used = sum(
                    cluster.history.step(other.name).get(name, 0)
                    for other in present
                )
                assert used <= limit, f"{worker.name} uses {used} {name}"


def check_finished_once(cluster: Cluster, job_id: str) -> None:
    """Assert that each task of a job, or its gang, completed exactly once."""
    for number, step in enumerate(cluster.history.jobs[job_id]["steps"]):
        done = [
            run.name.task_index
            for run in cluster.runs_of(job_id)
            if run.name.step == number and run.how == "done"
        ]
        assert len(done) == len(set(done)), f"{job_id} completed a task twice"
        if not step.get("gang"):
            assert (
                len(done) == step["count"]
            ), f"{job_id} did not complete all of its tasks"


def check_completed(cluster: Cluster, job_id: str) -> None:
    """Assert that each task of a job, or its gang, has completed.

    A task whose completion was never acknowledged may have done so again.
    """
    for number, step in enumerate(cluster.history.jobs[job_id]["steps"]):
        done = {
            run.name.task_index
            for run in cluster.runs_of(job_id)
            if run.name.step == number and run.how == "done"
        }
        needed = 1 if step.get("gang") else step["count"]
        assert (
            len(done) >= needed
        ), f"{job_id} did not complete all of its tasks"

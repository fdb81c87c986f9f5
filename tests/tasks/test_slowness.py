"""Runs on slow workers restart elsewhere if they would finish sooner."""

from math import floor

from pytest import mark
from trio import sleep

from damaskstall.tasks.model import Step
from damaskstall.tasks.progress import JobProgress
from damaskstall.tasks.slowness import (
    find_slowdowns,
    should_restart,
    slow_workers,
)
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.fleet import BULK, Fleet, task
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

NOW_S = 100.0
HALF_WORKER = {**ONE_TASK, "gpus": 4}
WHOLE_WORKERS = {**ONE_TASK, "gpus": 8, "estimate_ms": 4000}


def record_paces(job: JobProgress, *paces_per_s: tuple[float, ...]) -> None:
    """Record paces for each task, one for each half second until now.

    ``paces_per_s`` has one tuple for each task, in percent per second.
    """
    for unit, paces in zip(job.all_units(), paces_per_s, strict=True):
        percent = 0.0
        begun_s = NOW_S - 0.5 * len(paces)
        pace = unit.members[0].pace
        pace.record(percent, begun_s)
        for number, pace_per_s in enumerate(paces, 1):
            percent += 0.5 * pace_per_s
            pace.record(percent, begun_s + 0.5 * number)


def add_running_job(fleet: Fleet, step: Step) -> JobProgress:
    """Return a running job with one task on each worker."""
    job = fleet.add(BULK, step._replace(per_worker_limit=1))
    fleet.decide_and_apply()
    return job


def test_run_far_below_its_own_pace_marks_its_worker_slow() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    job = add_running_job(fleet, task(8, task_count=2))
    record_paces(job, (20.0, 20.0, 4.0), (20.0, 20.0, 18.0))
    assert slow_workers(find_slowdowns(fleet.jobs, NOW_S)) == {"w00"}


def test_task_slow_from_its_start_is_compared_with_its_step() -> None:
    fleet = Fleet(racks=1, per_rack=4)
    job = add_running_job(fleet, task(8, task_count=4))
    record_paces(job, (20.0, 20.0), (18.0, 22.0), (4.0, 4.0), (20.0, 16.0))
    assert slow_workers(find_slowdowns(fleet.jobs, NOW_S)) == {"w02"}


def test_worker_with_one_run_at_normal_pace_is_not_slow() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    for paces in ((20.0, 4.0), (20.0, 19.0)):
        job = fleet.add(BULK, task(4))
        fleet.decide_and_apply()
        record_paces(job, paces)
    assert not slow_workers(find_slowdowns(fleet.jobs, NOW_S))


def test_pace_of_a_silent_worker_is_ignored() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = add_running_job(fleet, task(8))
    record_paces(job, (20.0, 4.0))
    assert not find_slowdowns(fleet.jobs, NOW_S + 2.0)


def test_pace_of_a_nearly_finished_run_is_ignored() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = add_running_job(fleet, task(8))
    record_paces(job, (100.0, 96.0, 0.0))
    assert not find_slowdowns(fleet.jobs, NOW_S)


def test_slow_run_stays_where_a_restart_takes_as_long() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = add_running_job(fleet, task(8))
    record_paces(job, (40.0, 40.0, 40.0, 40.0, 10.0))
    (slowdown,) = find_slowdowns(fleet.jobs, NOW_S)
    assert not should_restart(slowdown, task(8))
    assert should_restart(slowdown, task(8, checkpoints=True))


@mark.parametrize("run_s", [5.0, 15.0, 30.0, 60.0, 100.0, 200.0])
@mark.parametrize("offset_s", [0.0, 0.1, 0.2, 0.3, 0.4])
def test_worker_of_long_runs_is_not_slow_by_rounding(
    run_s: float, offset_s: float
) -> None:
    """A pace of one percent in some samples looked like no progress."""
    fleet = Fleet(racks=1, per_rack=1)
    pace = add_running_job(fleet, task(8)).units[0][0].members[0].pace
    for number in range(60):
        passed_s = offset_s + 0.5 * number
        pace.record(floor(100.0 * passed_s / run_s), passed_s)
        assert not slow_workers(find_slowdowns(fleet.jobs, passed_s))
        if passed_s > 0.9 * run_s:
            break


@mark.parametrize("run_s", [5.0, 15.0, 30.0, 60.0, 100.0])
def test_worker_of_long_runs_that_becomes_slow_is_found(run_s: float) -> None:
    fleet = Fleet(racks=1, per_rack=1)
    pace = add_running_job(fleet, task(8)).units[0][0].members[0].pace
    percent = found_s = 0.0
    slow_s = min(0.5 * run_s, 8.0)
    for number in range(1, 40):
        now_s = 0.5 * number
        percent += 50.0 / run_s * (1.0 if now_s <= slow_s else 0.15)
        pace.record(floor(percent), now_s)
        if slow_workers(find_slowdowns(fleet.jobs, now_s)):
            found_s = now_s
            break
    # The time for the least difference at the usual pace, twice.
    assert slow_s < found_s <= slow_s + max(1.0, 0.06 * run_s)


def test_gang_moves_off_a_worker_that_becomes_slow() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [GANG], work_s=6.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 2)
        await sleep(2.0)
        cluster.workers[cluster.history.runs[0].worker].speed = 0.15
        await cluster.wait_state(job_id(1), "completed", limit_s=14.0)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario, racks=2, per_rack=3)


def test_new_tasks_avoid_a_worker_that_became_slow() -> None:
    async def scenario(cluster: Cluster) -> None:
        spread = {**FOUR_TASKS, "anti_affinity": 1}
        await cluster.submit(job_id(1), [spread], work_s=6.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        # Of equal workers, the first one would get the next task.
        slow = cluster.workers["w00"]
        await sleep(2.0)
        slow.speed = 0.15
        await sleep(1.5)
        await cluster.submit(job_id(2), [HALF_WORKER], work_s=2.0)
        await cluster.wait_state(job_id(2), "completed", limit_s=4.0)
        assert cluster.runs_of(job_id(2))[0].worker != slow.name
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=4)


def test_slowdown_of_all_workers_moves_few_runs() -> None:
    async def scenario(cluster: Cluster) -> None:
        for number in range(1, 5):
            await cluster.submit(job_id(number), [WHOLE_WORKERS], work_s=6.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        await sleep(2.0)
        for worker in cluster.workers.values():
            worker.speed = 0.3
        await sleep(3.0)
        stopped = [run for run in cluster.history.runs if run.how == "stopped"]
        assert len(stopped) <= 1
        for number in range(1, 5):
            await cluster.wait_state(job_id(number), "completed")
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=4)

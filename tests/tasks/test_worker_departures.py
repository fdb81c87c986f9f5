"""Runs of crashed or draining workers move; unreachable workers keep them."""

from math import ceil

from pytest import mark
from trio import current_time, sleep

from damaskstall.tasks.drain_policy import should_move
from damaskstall.tasks.progress import Unit
from standins.operators.machine_list import PAGE_SIZE
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.fleet import Fleet, task
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

LONG_TASK = {**ONE_TASK, "estimate_ms": 6000}
CHECKPOINTING_TASK = {**LONG_TASK, "checkpointing": True}


def drain_worker(cluster: Cluster, name: str, leaves_in_s: float) -> None:
    """List a worker as draining, and crash it after the announced time."""
    worker = cluster.workers[name]
    cluster.register_worker(worker, "draining", round(leaves_in_s * 1000))
    assert cluster.nursery is not None

    async def depart() -> None:
        await sleep(leaves_in_s)
        worker.crash()
        cluster.store.remove("servers", name)

    cluster.nursery.start_soon(depart)


def test_runs_of_a_crashed_worker_restart_at_once() -> None:
    """The machine list reports a crash before the worker's lease expires."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.submit(job_id(2), [GANG], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 6)
        cluster.workers[cluster.history.runs[0].worker].crash()
        for number in (1, 2):
            await cluster.wait_state(job_id(number), "completed", limit_s=7.0)
            check_finished_once(cluster, job_id(number))
        check_runs(cluster)

    run_scenario(scenario)


def test_successor_detects_crashed_workers_that_are_not_listed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        holder = cluster.holder()
        assert holder is not None
        name = cluster.history.runs[0].worker
        cluster.kill_node(holder)
        cluster.workers[name].crash()
        cluster.store.remove("servers", name)
        node = next(iter(cluster.nodes))
        await cluster.wait_state(
            job_id(1), "completed", node=node, limit_s=7.0
        )
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario)


def test_unreachable_worker_is_not_treated_as_crashed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=8.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        await sleep(4.0)
        assert cluster.machines.calls > 0
        assert len(cluster.history.runs) == 4
        cluster.reconnect_worker(name)
        await cluster.wait_state(job_id(1), "completed")
        assert len(cluster.history.runs) == 4
        check_runs(cluster)

    run_scenario(scenario)


def test_unavailable_machine_list_does_not_prove_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.machines.status = 503
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=8.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        await sleep(4.0)
        assert len(cluster.history.runs) == 4
        cluster.reconnect_worker(name)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)

    run_scenario(scenario)


@mark.parametrize(
    "answer",
    [
        [],
        "text",
        {"machines": None},
        {"machines": [{}]},
        {"machines": [1]},
        {"machines": [], "next_page_token": "again"},
    ],
)
def test_unreadable_machine_list_does_not_prove_a_crash(
    answer: object,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.machines.answer = answer
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=5.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        holder = cluster.holder()
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        await sleep(2.0)
        cluster.reconnect_worker(name)
        await cluster.wait_state(job_id(1), "completed")
        assert cluster.holder() == holder
        assert len(cluster.history.runs) == 4
        check_runs(cluster)

    run_scenario(scenario)


def test_machine_list_is_read_once_while_all_workers_answer() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.wait_state(job_id(1), "completed")
        pages = ceil(len(cluster.workers) / PAGE_SIZE)
        assert cluster.machines.calls == pages
        await sleep(20.0)
        assert cluster.machines.calls == pages

    run_scenario(scenario)


def test_run_restarts_as_soon_as_its_machine_has_another_worker() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        await sleep(1.0)
        cluster.workers[cluster.history.runs[0].worker].crash()
        crashed_s = current_time()
        await cluster.wait(lambda: len(cluster.history.runs) == 2)
        # The silence is noticed after 0.75 s, and the list read 0.3 s later.
        assert current_time() - crashed_s < 1.3

    run_scenario(scenario)


def test_run_that_would_be_lost_with_its_worker_moves_early() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [LONG_TASK], work_s=10.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        await sleep(1.0)
        drain_worker(cluster, cluster.history.runs[0].worker, 4.0)
        await sleep(1.5)
        first, second = cluster.history.runs
        assert first.how == "stopped"
        assert second.worker != first.worker
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)

    run_scenario(scenario)


def test_run_that_ends_before_its_worker_leaves_stays() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [LONG_TASK], work_s=5.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        await sleep(2.0)
        drain_worker(cluster, cluster.history.runs[0].worker, 6.0)
        await cluster.wait_state(job_id(1), "completed")
        assert len(cluster.history.runs) == 1

    run_scenario(scenario)


def test_checkpointing_run_continues_until_its_worker_leaves() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [CHECKPOINTING_TASK], work_s=10.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        await sleep(1.0)
        drain_worker(cluster, cluster.history.runs[0].worker, 5.0)
        await cluster.wait_state(job_id(1), "completed")
        first, second = cluster.history.runs
        assert first.how == "stopped"
        assert first.worked_s > 4.0
        # The second run resumes from the checkpoint of the first.
        assert second.ended_s is not None
        assert second.ended_s - second.started_s < 6.5
        check_runs(cluster)

    run_scenario(scenario)


def paced_unit(percent: float, seen_for_s: float) -> Unit:
    """Return a running unit with reports of 0 and ``percent`` percent.

    The second report is from time 10 s, the first ``seen_for_s`` before it.
    """
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add("bulk", task(1))
    fleet.run_on(job, "w00")
    unit = next(job.all_units())
    unit.members[0].pace.record(0.0, 10.0 - seen_for_s)
    unit.members[0].pace.record(percent, 10.0)
    return unit


def test_run_with_unknown_pace_stays() -> None:
    unit = paced_unit(percent=0.0, seen_for_s=0.5)
    assert not should_move(unit, task(1), leaves_in_s=1.0, now_s=10.0)


def test_run_that_would_end_slightly_too_late_stays() -> None:
    unit = paced_unit(percent=50.0, seen_for_s=5.0)
    assert not should_move(unit, task(1), leaves_in_s=4.5, now_s=10.0)
    assert should_move(unit, task(1), leaves_in_s=3.5, now_s=10.0)


def test_endless_task_is_not_moved_off_a_leaving_worker() -> None:
    unit = paced_unit(percent=100.0, seen_for_s=5.0)
    step = task(1, endless=True)
    assert not should_move(unit, step, leaves_in_s=0.5, now_s=10.0)

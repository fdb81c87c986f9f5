"""A start whose run is over is carried out by the worker's next incarnation.

A start without an answer may be carried out up to 12 s late.
"""

from typing import Any

from trio import current_time, sleep

from standins.operators.worker import StandinWorker
from tests.tasks.cluster import URGENT, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs
from tests.tasks.test_worker_reboots import (
    delay_starts,
    replace_holder,
    use_other_workers,
    worker_with_first_start,
)

LATE_S = 8.0
LATE_LIMIT_S = 12.0
# A job whose task could run must not have nothing running for longer.
IDLE_S = 3.0
SEEDS = 4


async def start_late(
    cluster: Cluster,
    step: dict[str, Any],
    work_s: float,
    delays_s: list[float],
) -> StandinWorker:
    """Submit a job; return the worker that gets its first start.

    No start of an earlier holder is late any more, and each worker carries
    out its next starts after these delays.
    """
    await sleep(13.0)
    delay_starts(cluster, delays_s)
    await cluster.submit(job_id(1), [step], work_s=work_s)
    return await worker_with_first_start(cluster)


async def restart_cut_off(cluster: Cluster, worker: StandinWorker) -> None:
    """Crash a worker; its next incarnation is called by no node."""
    cluster.disconnect_worker(worker.name)
    worker.crash()
    await sleep(0.5)
    assert cluster.nursery is not None
    await worker.restart(cluster.nursery)


async def finish_job(cluster: Cluster, worker: StandinWorker) -> None:
    """Let late starts pass, then wait for the job, and check its runs."""
    await sleep(LATE_S)
    cluster.reconnect_worker(worker.name)
    cluster.register_worker(worker)
    node = cluster.holder()
    assert node is not None
    await cluster.wait_state(job_id(1), "completed", node=node)
    check_runs(cluster)
    check_finished_once(cluster, job_id(1))


def test_start_of_an_ended_run_is_not_carried_out_beside_the_next() -> None:
    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 8.0, [LATE_S] * 20)
        await use_other_workers(cluster, worker)
        await sleep(2.0)
        await restart_cut_off(cluster, worker)
        await finish_job(cluster, worker)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_start_of_an_ended_gang_is_not_carried_out_beside_the_next() -> None:
    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, GANG, 8.0, [LATE_S] * 20)
        await use_other_workers(cluster, worker)
        await sleep(2.0)
        await restart_cut_off(cluster, worker)
        await finish_job(cluster, worker)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed, racks=2, per_rack=3)


def test_successor_knows_the_open_start_of_a_run_that_has_ended() -> None:
    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 8.0, [LATE_S] * 20)
        await use_other_workers(cluster, worker)
        await sleep(1.5)
        await replace_holder(cluster)
        await sleep(0.5)
        await restart_cut_off(cluster, worker)
        await finish_job(cluster, worker)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_first_try_of_a_stopped_run_is_not_carried_out_beside_the_next() -> (
    None
):
    """The second try is answered; the run moves as its worker drains."""

    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 8.0, [LATE_S])
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        for other in cluster.workers.values():
            other.order_delays_s = []
        cluster.register_worker(worker, "draining", 3_000)
        await sleep(2.5)
        await restart_cut_off(cluster, worker)
        await finish_job(cluster, worker)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_first_try_of_a_run_that_is_done_does_not_run_after_its_end() -> None:
    """The second try is answered, and the worker crashes after the end."""

    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 1.0, [LATE_S])
        await cluster.wait_state(job_id(1), "completed")
        await sleep(1.0)
        await restart_cut_off(cluster, worker)
        await sleep(LATE_S)
        cluster.reconnect_worker(worker.name)
        await sleep(2.0)
        check_runs(cluster)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_end_is_acknowledged_once_its_first_try_is_too_old() -> None:
    """The worker lists the end until then, and is not called all the time."""

    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 1.0, [LATE_S])
        await cluster.wait_state(job_id(1), "completed")
        calls = worker.calls["/hold"]
        await sleep(LATE_S)
        (run,) = cluster.history.runs
        assert run.acknowledged_s is None
        assert worker.calls["/hold"] - calls < 5 * LATE_S
        await sleep(LATE_LIMIT_S - LATE_S)
        assert run.acknowledged_s is not None

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_successor_does_not_acknowledge_what_was_held_back() -> None:
    """The job is over, so that the successor does not read its row."""

    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 1.0, [LATE_S])
        await cluster.wait_state(job_id(1), "completed")
        await replace_holder(cluster)
        await sleep(1.0)
        await restart_cut_off(cluster, worker)
        await sleep(LATE_S)
        cluster.reconnect_worker(worker.name)
        await sleep(2.0)
        check_runs(cluster)

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_run_that_lists_lack_starts_again_at_once_on_the_same_worker() -> None:
    """The worker still runs, so it refuses the earlier run's late start."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [LATE_S] * 4)
        began_s = current_time()
        await cluster.submit(job_id(1), [ONE_TASK], URGENT, work_s=0.5)
        await cluster.wait_state(job_id(1), "completed")
        assert current_time() - began_s < 6.0
        await sleep(LATE_S)
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_open_start_on_a_replaced_worker_delays_nothing() -> None:
    """Another worker runs on its machine, so it will not start again."""

    async def scenario(cluster: Cluster) -> None:
        worker = await start_late(cluster, ONE_TASK, 0.5, [LATE_S] * 20)
        await use_other_workers(cluster, worker)
        await sleep(1.0)
        assert not cluster.history.runs
        worker.crash()
        await cluster.replace_worker(worker.name)
        await cluster.wait_state(job_id(1), "completed", limit_s=5.0)
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_open_starts_on_a_lost_worker_delay_its_tasks_for_12_s_at_most() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [LATE_S])
        began_s = current_time()
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=4.0)
        worker = await worker_with_first_start(cluster)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        for other in cluster.workers.values():
            other.order_delays_s = []
        worker.crash()
        await cluster.wait_state(job_id(1), "completed")
        assert current_time() - began_s < 13.0 + 4.0
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)


def test_task_that_failed_beside_its_open_start_runs_again_soon() -> None:
    """Guards against LOST: it waited for the open start, beside idle workers.

    The unit keeps to the worker of the open start and avoids it, since the
    run has failed there.
    """

    async def scenario(cluster: Cluster) -> None:
        history = cluster.history
        history.choose_outcome = lambda run: (
            "failed" if run.run == 1 else "done"
        )
        await start_late(cluster, ONE_TASK, 1.0, [LATE_S])
        await cluster.wait(lambda: len(history.runs) == 1)
        for other in cluster.workers.values():
            other.order_delays_s = []
        await cluster.wait(lambda: history.runs[0].how == "failed")
        await cluster.wait(lambda: len(history.runs) == 2, limit_s=IDLE_S)
        await sleep(LATE_S)
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(SEEDS):
        run_scenario(scenario, seed=seed)

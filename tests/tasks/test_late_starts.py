"""A start is carried out late by an incarnation that the holder cannot call.

Commands may be carried out up to 12 s late.
"""

from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs
from tests.tasks.test_worker_reboots import (
    delay_starts,
    reboot,
    worker_with_first_start,
)


def test_late_start_behind_a_cut_is_not_started_elsewhere_before() -> None:
    """The worker starts again behind a cut; the lease ends before 12 s."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [11.9] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        cluster.disconnect_worker(worker.name)
        await reboot(cluster, worker)
        for other in cluster.workers.values():
            if other is not worker:
                other.order_delays_s = []
        await sleep(16.0)
        cluster.reconnect_worker(worker.name)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_late_start_behind_a_cut_after_a_proved_crash() -> None:
    """The machine list shows the crash; the worker starts again, cut off."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [5.0] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        cluster.disconnect_worker(worker.name)
        worker.crash()
        for other in cluster.workers.values():
            if other is not worker:
                other.order_delays_s = []
        await sleep(2.0)
        assert cluster.nursery is not None
        await worker.restart(cluster.nursery)
        await sleep(5.0)
        cluster.reconnect_worker(worker.name)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_late_start_on_a_worker_whose_session_has_closed() -> None:
    """The crash is proved at once, so the session ends with the entry.

    The worker is listed again with its first heartbeat, after 1 s.
    """

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [9.0] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=20.0)
        worker = await worker_with_first_start(cluster)
        worker.crash()
        for other in cluster.workers.values():
            if other is not worker:
                other.order_delays_s = []
        await sleep(4.5)
        cluster.store.remove("servers", worker.name)
        await sleep(3.7)
        assert cluster.nursery is not None
        await worker.restart(cluster.nursery)
        await sleep(1.0)
        cluster.register_worker(worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_repeated_start_whose_first_try_is_late_is_not_run_twice() -> None:
    """The answer to the second try does not take back the first."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [6.0])
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        for other in cluster.workers.values():
            other.order_delays_s = []
        await sleep(1.0)
        cluster.disconnect_worker(worker.name)
        worker.crash()
        await sleep(2.0)
        assert cluster.nursery is not None
        await worker.restart(cluster.nursery)
        await sleep(6.0)
        cluster.reconnect_worker(worker.name)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_start_of_a_killed_holder_is_not_run_late_beside_the_next() -> None:
    """The next holder does not know which starts were not answered."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        delay_starts(cluster, [8.0] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=12.0)
        worker = await worker_with_first_start(cluster)
        cluster.disconnect_worker(worker.name)
        worker.crash()
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        for other in cluster.workers.values():
            if other is not worker:
                other.order_delays_s = []
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(1.5)
        assert cluster.nursery is not None
        await worker.restart(cluster.nursery)
        await sleep(8.0)
        cluster.reconnect_worker(worker.name)
        node = cluster.holder()
        assert node is not None
        await cluster.wait_state(job_id(1), "completed", node=node)
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)

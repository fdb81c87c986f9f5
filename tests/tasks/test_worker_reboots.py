"""Guarantees hold while workers start again under the same name."""

from trio import sleep

from standins.operators.worker import StandinWorker
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

START_PATH = "/run-start"
# Longer than any start command is repeated.
LATE_S = 4.0


async def reboot(cluster: Cluster, worker: StandinWorker) -> None:
    """Crash a worker and start it again at once, without listing that."""
    worker.crash()
    assert cluster.nursery is not None
    await worker.restart(cluster.nursery)


async def worker_with_first_start(cluster: Cluster) -> StandinWorker:
    """Return the worker that gets the first start command, once it has."""
    workers = cluster.workers.values()
    await cluster.wait(lambda: any(START_PATH in w.calls for w in workers))
    return next(w for w in workers if START_PATH in w.calls)


def delay_starts(cluster: Cluster, delays_s: list[float]) -> None:
    """Let each worker carry out its next start commands late."""
    for worker in cluster.workers.values():
        worker.order_delays_s = list(delays_s)


async def use_other_workers(cluster: Cluster, worker: StandinWorker) -> None:
    """Let the others carry out starts at once, and one get no new runs."""
    cluster.register_worker(worker, "draining", 60_000)
    for other in cluster.workers.values():
        if other is not worker:
            other.order_delays_s = []
    await sleep(1.0)


async def replace_holder(cluster: Cluster) -> None:
    """Kill the holder and wait for the next one."""
    holder = cluster.holder()
    assert holder is not None
    cluster.kill_node(holder)
    await cluster.wait(lambda: cluster.holder() is not None)


def test_run_started_by_the_new_incarnation_is_not_started_again() -> None:
    """A repeated start may reach an incarnation not known to the holder."""

    async def scenario(cluster: Cluster) -> None:
        delay_starts(cluster, [30.0])
        await cluster.submit(job_id(1), [ONE_TASK], work_s=3.0)
        worker = await worker_with_first_start(cluster)
        await reboot(cluster, worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))
        assert len(cluster.history.runs) == 1

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_gang_started_by_the_new_incarnation_is_not_started_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        delay_starts(cluster, [30.0])
        await cluster.submit(job_id(1), [GANG], work_s=3.0)
        worker = await worker_with_first_start(cluster)
        await reboot(cluster, worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))
        assert len(cluster.history.runs) == 2

    for seed in range(4):
        run_scenario(scenario, seed=seed, racks=2, per_rack=3)


def test_late_start_of_the_earlier_incarnation_is_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(10.0)
        delay_starts(cluster, [LATE_S] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        await use_other_workers(cluster, worker)
        await reboot(cluster, worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_late_start_of_a_gang_on_the_next_incarnation_is_refused() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(10.0)
        delay_starts(cluster, [LATE_S] * 20)
        await cluster.submit(job_id(1), [GANG], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        await use_other_workers(cluster, worker)
        await reboot(cluster, worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed, racks=2, per_rack=3)


def test_silent_new_incarnation_keeps_its_runs_counted() -> None:
    """The list shows the new incarnation before it answers."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(10.0)
        delay_starts(cluster, [2.5] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=6.0)
        worker = await worker_with_first_start(cluster)
        await use_other_workers(cluster, worker)
        await reboot(cluster, worker)
        cluster.disconnect_worker(worker.name)
        cluster.register_worker(worker)
        await sleep(3.0)
        cluster.reconnect_worker(worker.name)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))
        assert len(cluster.history.runs) == 1

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_late_renewal_does_not_drop_ends_of_the_next_incarnation() -> None:
    async def scenario(cluster: Cluster) -> None:
        worker = cluster.workers["w00"]
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        await sleep(0.5)
        worker.renewal_delays_s = [3.5]
        await cluster.submit(job_id(2), [ONE_TASK], work_s=2.0)
        await cluster.wait(lambda: not worker.renewal_delays_s)
        await sleep(0.1)
        await reboot(cluster, worker)
        cluster.register_worker(worker)
        await cluster.wait(lambda: worker.running)
        await sleep(1.5)
        cluster.disconnect_worker(worker.name)
        await sleep(2.0)
        cluster.reconnect_worker(worker.name)
        await cluster.wait_state(job_id(2), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(2))

    for seed in range(4):
        run_scenario(scenario, seed=seed, racks=1, per_rack=1)


def test_reboot_without_incarnation_numbers_is_recognized() -> None:
    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.reports_born = False
            cluster.register_worker(worker)
        await replace_holder(cluster)
        await sleep(20.0)
        node = cluster.other_node(None)
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0, node=node)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        await sleep(1.0)
        worker = cluster.workers[cluster.history.runs[0].worker]
        await reboot(cluster, worker)
        await cluster.wait_state(
            job_id(1), "completed", limit_s=6.0, node=node
        )
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    run_scenario(scenario)


def test_incarnation_number_that_appears_late_reveals_a_reboot() -> None:
    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.reports_born = False
            cluster.register_worker(worker)
        await replace_holder(cluster)
        await sleep(20.0)
        await sleep(10.0)
        delay_starts(cluster, [LATE_S] * 20)
        node = cluster.other_node(None)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0, node=node)
        worker = await worker_with_first_start(cluster)
        await use_other_workers(cluster, worker)
        worker.reports_born = True
        await reboot(cluster, worker)
        await cluster.wait_state(
            job_id(1), "completed", limit_s=14.0, node=node
        )
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    run_scenario(scenario)


def test_late_start_after_its_run_ended_is_refused_by_the_next() -> None:
    """The worker has no runs when it starts again, and is not listed."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(10.0)
        delay_starts(cluster, [LATE_S] * 20)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        worker = await worker_with_first_start(cluster)
        await use_other_workers(cluster, worker)
        await cluster.wait(lambda: cluster.history.runs)
        await sleep(1.0)
        await reboot(cluster, worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    for seed in range(4):
        run_scenario(scenario, seed=seed)


def test_workers_accept_the_successor_of_a_holder_with_many_tokens() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = cluster.holder()
        assert name is not None
        holder = cluster.nodes[name].election.holder
        assert holder is not None
        holder.pool.tokens.current += 50_000
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        worker = cluster.workers[cluster.history.runs[0].worker]
        await reboot(cluster, worker)
        await cluster.wait(lambda: worker.fence > holder.lease.epoch + 50_000)
        await replace_holder(cluster)
        node = cluster.other_node(None)
        await cluster.wait_state(
            job_id(1), "completed", limit_s=10.0, node=node
        )
        epoch = worker.fence
        await sleep(3.0)
        assert worker.fence == epoch
        check_runs(cluster)
        check_finished_once(cluster, job_id(1))

    run_scenario(scenario)

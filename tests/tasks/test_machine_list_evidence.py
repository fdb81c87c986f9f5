"""Only proof that a worker has ended ends its runs early."""

from trio import open_nursery, sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, job_id
from tests.tasks.run_checker import check_runs
from tests.tasks.session_fakes import (
    DEMAND,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
)
from tests.virtual_time import run_virtual


async def cut_off_worker(cluster: Cluster, run_time_s: float = 6.0) -> str:
    """Start four runs and cut off the worker of the first; return it."""
    await cluster.submit(job_id(1), [FOUR_TASKS], work_s=run_time_s)
    await cluster.wait(lambda: len(cluster.history.runs) == 4)
    name: str = cluster.history.runs[0].worker
    cluster.disconnect_worker(name)
    return name


async def check_no_second_start(cluster: Cluster, name: str) -> None:
    """Reconnect a worker and check that its runs were never started again."""
    cluster.reconnect_worker(name)
    await cluster.wait_state(job_id(1), "completed")
    check_runs(cluster)
    assert len(cluster.history.runs) == 4


def test_entry_that_one_reading_missed_does_not_prove_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = await cut_off_worker(cluster)
        cluster.machines.hide_once(name)
        await sleep(3.0)
        assert cluster.machines.calls > 0
        await check_no_second_start(cluster, name)

    run_scenario(scenario)


def test_entry_that_every_reading_misses_does_not_prove_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = await cut_off_worker(cluster)
        await sleep(1.0)
        cluster.machines.hidden.add(name)
        await sleep(2.0)
        await check_no_second_start(cluster, name)

    run_scenario(scenario)


def test_list_that_is_older_than_a_worker_does_not_prove_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = await cut_off_worker(cluster)
        cluster.machines.outdated.add(name)
        await sleep(1.6)
        cluster.machines.outdated.clear()
        await sleep(2.0)
        await check_no_second_start(cluster, name)

    run_scenario(scenario)


def test_reading_from_before_an_answer_does_not_prove_a_crash() -> None:
    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            session.reserve(run_key(1), DEMAND)
            await session.launch(run_key(1), "payload", "")
            worker.loses_answers = True
            await sleep(1.0)
            read_s = session.silent_since_s
            worker.loses_answers = False
            await sleep(1.0)
            worker.loses_answers = True
            await sleep(1.0)
            assert not session.reachable
            session.record_machine_down(read_s)
            assert not owner.ends
            session.record_machine_down(session.silent_since_s)
            assert owner.ends
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_idle_worker_that_crashed_too_does_not_delay_the_proof() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=4.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        busy = {run.worker for run in cluster.history.runs}
        idle = next(name for name in cluster.workers if name not in busy)
        cluster.register_worker(cluster.workers[idle], "draining", 60_000)
        await sleep(1.0)
        cluster.workers[idle].crash()
        cluster.workers[cluster.history.runs[0].worker].crash()
        await cluster.wait_state(job_id(1), "completed", limit_s=8.0)
        check_runs(cluster)

    run_scenario(scenario)


def test_reading_from_before_an_adoption_does_not_end_the_orphan() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = await cut_off_worker(cluster)
        node = cluster.holder()
        assert node is not None
        holder = cluster.nodes[node].election.holder
        assert holder is not None
        pool, progress = holder.pool, holder.jobs[job_id(1)]
        del pool.sessions[name]
        for unit in progress.all_units():
            pool.adopt(progress, unit)
        since_s = pool.silent_workers()[name]
        pool.record_machine_stopped(name, since_s - 0.1)
        assert name in pool.silent_workers()
        pool.record_machine_stopped(name, since_s)
        assert name not in pool.silent_workers()

    run_scenario(scenario)

"""No start exceeds the capacity of a worker that has shrunk."""

from random import Random

from pytest import mark
from trio import open_nursery, sleep

from damaskstall.tasks.capacity import WorkerLoad
from damaskstall.tasks.progress import ENDED_NOT_STARTED
from standins.operators.worker import StandinWorker
from tests.tasks.cluster import BULK, URGENT, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, GANG, job_id
from tests.tasks.run_checker import check_completed, check_runs
from tests.tasks.session_fakes import (
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
    worker_info,
)
from tests.virtual_time import run_virtual

HEARTBEAT_S = 1.5
SIXTEEN_TASKS = {**FOUR_TASKS, "count": 16}


async def resize(cluster: Cluster, worker: StandinWorker, gpus: int) -> None:
    """Change a worker's accelerators; its entry shows it a heartbeat later."""
    worker.resize(gpus=gpus)
    await sleep(HEARTBEAT_S)
    if worker.up:
        cluster.register_worker(worker)


@mark.parametrize("seed", [1, 2, 3, 4])
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows(seed: int) -> None:
    """Also while the holder is replaced and urgent gangs preempt others."""

    async def scenario(cluster: Cluster) -> None:
        random = Random(seed)
        assert cluster.nursery is not None
        jobs = [job_id(number) for number in range(1, 7)]
        for number, job in enumerate(jobs):
            step, queue = (SIXTEEN_TASKS, BULK)
            if number % 2:
                step, queue = (GANG, URGENT)
            holder = cluster.holder() or cluster.other_node(None)
            await cluster.submit(job, [step], queue, work_s=2.0, node=holder)
            worker = random.choice(list(cluster.workers.values()))
            gpus = random.choice((0, 1, 3, 5))
            cluster.nursery.start_soon(resize, cluster, worker, gpus)
            await sleep(random.uniform(0.0, 2.0))
            if number == 2 and holder == cluster.holder():
                cluster.kill_node(holder)
                await cluster.start_node(holder)
        await sleep(4.0)
        for worker in cluster.workers.values():
            await resize(cluster, worker, 8)
        for number, job in enumerate(jobs):
            queue = URGENT if number % 2 else BULK
            await cluster.wait_state(job, "completed", queue, limit_s=90.0)
            check_completed(cluster, job)
        check_runs(cluster)

    run_scenario(scenario, seed=seed)


def test_start_that_a_shrunk_capacity_no_longer_holds_is_not_sent() -> None:
    async def main() -> None:
        worker, owner, info = FakeWorker(), RecordingOwner(), worker_info()
        session = open_session(worker, owner, info)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            session.reserve(run_key(1), info.capacity)
            shrunk = info.capacity._replace(accelerators=7)
            session.update(info._replace(capacity=shrunk))
            await session.launch(run_key(1), "payload", "")
            assert not worker.running
            assert owner.outcomes(run_key(1)) == [ENDED_NOT_STARTED]
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_load_that_is_being_stopped_counts_against_a_shrunk_capacity() -> None:
    load, worker = WorkerLoad(), worker_info()
    demand = worker.capacity
    load.add(run_key(1), demand)
    load.mark_stopping(run_key(1))
    assert load.fits(worker)
    shrunk = demand._replace(accelerators=demand.accelerators - 1)
    assert not load.fits(worker._replace(capacity=shrunk))

"""A new incarnation may be of another kind than its earlier entry says."""

from trio import sleep

from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import job_id
from tests.tasks.session_fakes import RecordingOwner
from tests.tasks.test_worker_incarnations import (
    ScriptedWorker,
    run_session,
    worker_info,
)

LARGE = {"count": 1, "cpu": 60000, "task_memory_mb": 1024, "estimate_ms": 900}


def test_no_start_by_the_entry_of_an_earlier_incarnation() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        assert session.usable()
        worker.report(3.0, 2)
        worker.report(3.1, 2)
        await sleep(0.1)
        assert session.incarnation == 2
        assert not session.usable(), "the entry is that of incarnation 1"
        session.update(worker_info(2))
        worker.report(3.5, 2)
        worker.report(3.6, 2)
        await sleep(0.1)
        assert session.usable()

    run_session(body)


def test_start_fits_the_capacity_of_the_next_incarnation() -> None:
    """Each worker starts again smaller; its entry follows after 1 s."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        assert cluster.nursery is not None
        small = {"cpu": 1000, "task_memory_mb": 2048, "gpus": 0}
        task = {**LARGE, "cpu": 100, "count": 4, "anti_affinity": 1}
        await cluster.submit(job_id(1), [task], work_s=9.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        await sleep(0.5)
        for worker in cluster.workers.values():
            worker.crash()
            worker.capacity = small
            await worker.restart(cluster.nursery)
        await sleep(0.4)
        await cluster.submit(job_id(2), [LARGE], work_s=2.0)
        await sleep(1.0)
        for worker in cluster.workers.values():
            cluster.register_worker(worker)
        await sleep(3.0)
        assert not cluster.runs_of(job_id(2)), "60 cores on 1"

    for seed in range(4):
        run_scenario(scenario, seed=seed)

"""Workers that start again at another address take tasks again."""

from trio import sleep

from damaskstall.addresses import Address
from standins.operators.worker import PORT
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import WHOLE_WORKERS, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

OTHER_ADDRESS = Address("10.9.0.1", PORT)


def test_worker_that_starts_again_at_another_address_takes_tasks() -> None:
    async def scenario(cluster: Cluster) -> None:
        worker = cluster.workers["w00"]
        assert cluster.nursery is not None
        worker.crash()
        await sleep(1.0)
        await worker.restart(cluster.nursery, OTHER_ADDRESS)
        cluster.register_worker(worker)
        await cluster.submit(job_id(1), [WHOLE_WORKERS], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed", limit_s=10.0)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)
        assert {run.worker for run in cluster.history.runs} == {"w00", "w10"}

    run_scenario(scenario, racks=2, per_rack=1)

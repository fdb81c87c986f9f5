"""Nothing is lost if no number and no clock reveals a worker's restart."""

from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs


def test_end_with_an_acknowledged_number_is_recorded() -> None:
    """The next incarnation's clock is ahead, and it reports no ``born``."""

    async def scenario(cluster: Cluster) -> None:
        worker = cluster.workers["w00"]
        assert cluster.nursery is not None
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=0.5)
        await cluster.wait_state(job_id(1), "completed")
        await sleep(1.0)
        worker.crash()
        await worker.restart(cluster.nursery, clock_base_s=5000.0)
        await cluster.submit(job_id(2), [ONE_TASK], work_s=0.5)
        await cluster.wait_state(job_id(2), "completed", limit_s=20.0)
        check_finished_once(cluster, job_id(2))
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=1, reports_born=False)

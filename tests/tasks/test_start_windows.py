"""The window of a start holds on the clock of a worker that was idle."""

from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import GANG, job_id
from tests.tasks.run_checker import check_finished_once, check_runs


def test_gang_with_a_slow_clock_stops_in_time_after_long_idleness() -> None:
    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.clock_rate = 0.98
        await sleep(300.0)
        cluster.workers["w00"].order_delays_s = [5.0] * 12
        await cluster.submit(job_id(1), [GANG], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario, racks=1)

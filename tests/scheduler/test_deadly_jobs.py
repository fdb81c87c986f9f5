"""A job whose tasks crash the workers that start them."""

from trio import current_time, sleep

from tests.scheduler.cluster import Cluster, run_in_cluster

LONG = {"run_s": 100.0, "outcome": "succeed", "output": ""}
# Three crashes and two more starts are the most that the operators accept.
STARTS_LIMIT = 5


async def crash_under(cluster: Cluster, job: str) -> None:
    """Restart each worker a moment after it starts a task of a job."""
    crashed = 0
    while True:
        await sleep(0.1)
        for event in cluster.events("run", job)[crashed:]:
            crashed += 1
            cluster.workers[event["worker"]].core.restart(current_time())


def test_job_that_crashes_its_workers_is_given_up() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.add_domain("north", hosts=6)
        cluster.add_scheduler("s1", "north")
        cluster.nursery.start_soon(crash_under, cluster, "deadly")
        await cluster.submit("deadly", work=LONG, hosts=1)
        await sleep(120)
        assert len(cluster.events("run", "deadly")) <= STARTS_LIMIT
        assert cluster.status("deadly")["state"] == "failed"

    run_in_cluster(scenario)

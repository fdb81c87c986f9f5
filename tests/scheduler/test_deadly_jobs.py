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


def test_jobs_beside_one_that_crashes_its_workers_succeed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.add_domain("north", hosts=1)
        cluster.add_scheduler("s1", "north")
        cluster.nursery.start_soon(crash_under, cluster, "deadly")
        others = [f"job-{number}" for number in range(3)]
        for name in others:
            work = {"run_s": 15.0, "outcome": "succeed", "output": ""}
            await cluster.submit(
                name, work=work, hosts=1, accelerators_per_host=1
            )
        await cluster.submit(
            "deadly", work=LONG, hosts=1, accelerators_per_host=1
        )
        await cluster.wait_ended(400)
        assert cluster.status("deadly")["state"] == "failed"
        for name in others:
            assert cluster.status(name)["state"] == "succeeded"

    run_in_cluster(scenario)


def test_crashes_under_a_job_are_known_after_a_take_over() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.add_domain("north", hosts=6)
        first = cluster.add_scheduler("s1", "north")
        cluster.nursery.start_soon(crash_under, cluster, "deadly")
        await cluster.submit("deadly", work=LONG, hosts=1)
        await cluster.wait(lambda: len(cluster.events("run", "deadly")) >= 2)
        cluster.add_scheduler("s2", "north")
        await sleep(1)
        first.kill()
        await cluster.wait_ended(400)
        assert len(cluster.events("run", "deadly")) <= STARTS_LIMIT
        assert cluster.status("deadly")["state"] == "failed"

    run_in_cluster(scenario)

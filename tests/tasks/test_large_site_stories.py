"""What operators of a large deployment saw go wrong, played small."""

from typing import Any

from trio import open_nursery, sleep

from tests.tasks.cluster import (
    NORMAL,
    URGENT,
    Cluster,
    configuration,
    run_scenario,
)
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

WHOLE_WORKER: dict[str, Any] = {**ONE_TASK, "gpus": 8}


def test_urgent_job_is_first_on_workers_that_return() -> None:
    """All workers are down; normal jobs were accepted before the urgent."""

    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.crash()
            cluster.store.remove("servers", worker.name)
        await sleep(1.0)
        backlog = {**WHOLE_WORKER, "count": 2 * len(cluster.workers)}
        await cluster.submit(job_id(1), [backlog], NORMAL, work_s=6.0)
        await cluster.submit(job_id(2), [WHOLE_WORKER], URGENT, work_s=1.0)
        assert cluster.nursery is not None
        for worker in cluster.workers.values():
            await worker.restart(cluster.nursery)
            cluster.register_worker(worker)
        await cluster.wait_state(job_id(2), "completed", limit_s=4.0)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)

    run_scenario(scenario)


def test_job_repeated_at_several_instances_at_once_runs_once() -> None:
    """Its client moves: the first answers are lost, and tries overlap."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.answers_to_lose = 6
        cluster.store.write_delays_s = [1.5, 2.0]
        async with open_nursery() as nursery:
            for attempt in range(6):
                for node in cluster.nodes:
                    nursery.start_soon(submit_from, cluster, node)
                await sleep(0.05 * attempt)
        cluster.store.answers_to_lose = 0
        await submit_from(cluster, "n1")
        await cluster.wait_state(job_id(1), "completed")
        await sleep(3.0)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    async def submit_from(cluster: Cluster, node: str) -> None:
        reply = await cluster.submit(
            job_id(1), [ONE_TASK], NORMAL, work_s=1.0, node=node
        )
        assert reply.status in (200, 503, 504)

    for seed in range(4):
        run_scenario(scenario, seed=seed, nodes=3)


async def submit_until_accepted(cluster: Cluster, job: str) -> None:
    """Submit a job of one task, again if a node has just been started."""
    while True:
        reply = await cluster.submit(job, [ONE_TASK], work_s=1.0)
        if reply.status == 200:
            return
        assert reply.status == 503 and "configuration" in reply.value["error"]
        await sleep(0.05)


def test_jobs_are_shown_as_completed_through_changes_and_take_overs() -> None:
    """Configurations come every 50 ms while holders are replaced."""

    async def scenario(cluster: Cluster) -> None:
        version = 1
        for number in range(1, 9):
            await submit_until_accepted(cluster, job_id(number))
            for _ in range(8):
                version += 1
                cluster.store.put("op", "config", configuration(version))
                await sleep(0.05)
            holder = cluster.holder()
            if number in (3, 6) and holder is not None:
                cluster.kill_node(holder)
                await cluster.start_node(holder)
        node = sorted(cluster.nodes)[-1]
        for number in range(1, 9):
            await cluster.wait_state(job_id(number), "completed", node=node)
            check_finished_once(cluster, job_id(number))
        check_runs(cluster)

    run_scenario(scenario)

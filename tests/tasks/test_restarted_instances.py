"""A restarted instance uses no withdrawn key and no worker that has left."""

from trio import sleep

from tests.tasks.cluster import (
    KEY,
    OTHER_KEY,
    Cluster,
    configuration,
    run_scenario,
)
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs


def test_withdrawn_key_is_refused_by_restarted_instances() -> None:
    """All instances restart, one of them while its store refuses it."""

    async def scenario(cluster: Cluster) -> None:
        withdrawn = {"name": "blue", "api_keys": [], "guaranteed": {"gpus": 8}}
        other = {"name": "red", "api_keys": [OTHER_KEY]}
        cluster.store.put(
            "op", "config", configuration(2, tenants=[withdrawn, other])
        )
        names = list(cluster.nodes)
        for name in names:
            cluster.kill_node(name)
        for name in names:
            await cluster.start_node(name)
        await cluster.wait(lambda: cluster.holder() is not None)
        for name in names:
            reply = await cluster.call(
                "GET", f"/urgent/{job_id(1)}", node=name, key=KEY
            )
            assert reply.status == 401

    run_scenario(scenario)


def test_successor_starts_nothing_on_a_worker_that_left() -> None:
    """The worker's entry goes while the holder is being replaced."""

    async def scenario(cluster: Cluster) -> None:
        name = sorted(cluster.workers)[0]
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        cluster.store.remove("servers", name)
        await cluster.wait(lambda: cluster.holder() is not None)
        node = cluster.holder()
        assert node is not None
        many = {**ONE_TASK, "count": 40}
        await cluster.submit(job_id(1), [many], work_s=1.0, node=node)
        await cluster.wait_state(job_id(1), "completed", node=node)
        await sleep(1.0)
        assert all(run.worker != name for run in cluster.history.runs)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario)

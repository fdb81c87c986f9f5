"""Guarantees hold while a replaced holder has not yet noticed it."""

from trio import sleep

from damaskstall.tasks.holder import TaskHolder
from damaskstall.tasks.progress import Unit
from standins.operators.store import HOST as STORE_HOST
from tests.tasks.cluster import Cluster, Scenario, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs


def holder_of(cluster: Cluster, node: str) -> TaskHolder:
    """Return the holder that runs on a node."""
    holder = cluster.nodes[node].election.holder
    assert holder is not None
    return holder


async def lose_worker_of(
    cluster: Cluster, holder: TaskHolder, unit: Unit
) -> None:
    """Crash the worker of a unit's run; wait for the holder's next run."""
    name, run = unit.members[0].worker, unit.run
    cluster.workers[name].crash()
    session = holder.pool.sessions[name]
    session.reachable = False
    session.record_machine_down(session.silent_since_s)
    await cluster.wait(lambda: unit.run > run, 0.5)


def isolate(cluster: Cluster, node: str) -> None:
    """Block a node's traffic with the store, the workers and other nodes."""
    for host in (STORE_HOST, *cluster.workers, *cluster.nodes):
        cluster.network.cut(node, host)
        cluster.network.cut(host, node)


def test_replaced_holder_does_not_overwrite_its_successors_runs() -> None:
    """Its own newer run was never stored, so it has never been started."""

    def scenario_after(wait_s: float) -> Scenario:
        async def scenario(cluster: Cluster) -> None:
            two_tasks = {**ONE_TASK, "count": 2, "anti_affinity": 1}
            await cluster.submit(job_id(1), [two_tasks], work_s=8.0)
            await cluster.wait(lambda: len(cluster.history.runs) == 2)
            node = cluster.holder()
            assert node is not None
            holder = holder_of(cluster, node)
            isolate(cluster, node)
            unit = holder.jobs[job_id(1)].units[0][0]
            await lose_worker_of(cluster, holder, unit)
            await lose_worker_of(cluster, holder, unit)
            assert unit.run == 3
            await cluster.wait(lambda: len(cluster.history.runs) == 3)
            await sleep(wait_s)
            other = cluster.other_node(node)
            for host in (STORE_HOST, other):
                cluster.network.heal(node, host)
                cluster.network.heal(host, node)
            await cluster.wait_state(job_id(1), "completed", node=other)
            check_finished_once(cluster, job_id(1))
            check_runs(cluster)

        return scenario

    for number in range(8):
        run_scenario(scenario_after(0.1 * number), per_rack=3, seed=number)


def reconnect(cluster: Cluster, node: str, *hosts: str) -> None:
    """Restore a node's traffic with hosts."""
    for host in hosts:
        cluster.network.heal(node, host)
        cluster.network.heal(host, node)


def test_replaced_holder_does_not_store_that_a_lease_has_expired() -> None:
    """Its successor has renewed the lease of the worker."""

    def scenario_after(wait_s: float) -> Scenario:
        async def scenario(cluster: Cluster) -> None:
            await cluster.submit(job_id(1), [ONE_TASK], work_s=30.0)
            await cluster.wait(lambda: len(cluster.history.runs) == 1)
            await sleep(1.0)
            node = cluster.holder()
            assert node is not None
            other = cluster.other_node(node)
            unit = holder_of(cluster, node).jobs[job_id(1)].units[0][0]
            name = unit.members[0].worker
            cluster.network.cut(node, name)
            cluster.network.cut(name, node)
            await sleep(8.0)
            isolate(cluster, node)
            successor = cluster.nodes[other].election
            await cluster.wait(lambda: successor.holder is not None)
            await cluster.wait(lambda: not unit.active)
            await sleep(wait_s)
            reconnect(cluster, node, STORE_HOST, other)
            await sleep(1.0)
            reconnect(cluster, node, *cluster.workers)
            cluster.kill_node(other)
            await cluster.wait_state(job_id(1), "completed", node=node)
            check_runs(cluster)

        return scenario

    for number in range(16):
        run_scenario(scenario_after(0.1 * number), seed=number)

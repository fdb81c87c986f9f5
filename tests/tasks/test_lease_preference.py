"""An instance with many more processor cores becomes the holder."""

from trio import current_time, sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, job_id
from tests.tasks.run_checker import check_runs


async def add_node(cluster: Cluster, cores: float) -> str:
    """Start a node with a number of processor cores; return its name."""
    name = f"n{len(cluster.nodes)}"
    cluster.cores[name] = cores
    await cluster.start_node(name)
    return name


def test_holder_hands_the_lease_to_an_instance_with_more_cores() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=8.0)
        strong = await add_node(cluster, cores=4.0)
        took_s = await cluster.wait(lambda: cluster.holder() == strong)
        assert took_s < 5.0
        await cluster.wait_state(job_id(1), "completed")
        assert len(cluster.history.runs) == 4
        check_runs(cluster)

    run_scenario(scenario)


def test_weak_instance_takes_over_when_the_strong_one_fails() -> None:
    async def scenario(cluster: Cluster) -> None:
        strong = await add_node(cluster, cores=4.0)
        await cluster.wait(lambda: cluster.holder() == strong)
        cluster.kill_node(strong)
        took_s = await cluster.wait(lambda: cluster.holder() is not None)
        assert took_s < 2.5
        second = cluster.holder()
        # It keeps the lease, as the stronger instance does not return.
        await sleep(10.0)
        assert cluster.holder() == second

    run_scenario(scenario)


def cut_peers(cluster: Cluster, first: str, second: str) -> None:
    """Block all traffic between two nodes."""
    cluster.network.cut(first, second)
    cluster.network.cut(second, first)


def heal_peers(cluster: Cluster, first: str, second: str) -> None:
    """Restore the traffic between two nodes."""
    cluster.network.heal(first, second)
    cluster.network.heal(second, first)


def test_holder_hands_over_once_the_larger_instance_is_reachable() -> None:
    """A check that failed while the larger one was cut off is repeated."""

    async def scenario(cluster: Cluster) -> None:
        cut_peers(cluster, "n0", "n1")
        strong = await add_node(cluster, cores=4.0)
        await sleep(8.0)
        assert cluster.holder() == "n0"
        heal_peers(cluster, "n0", "n1")
        took_s = await cluster.wait(lambda: cluster.holder() == strong)
        assert took_s < 5.0

    run_scenario(scenario, nodes=1)


def test_holder_hands_over_though_one_larger_instance_is_gone() -> None:
    """The one that is gone stays listed, and is the last one by its name."""

    async def scenario(cluster: Cluster) -> None:
        for peer in ("n1", "n2"):
            cut_peers(cluster, "n0", peer)
            await add_node(cluster, cores=4.0)
        await sleep(8.0)
        assert cluster.holder() == "n0"
        cluster.kill_node("n2")
        heal_peers(cluster, "n0", "n1")
        took_s = await cluster.wait(lambda: cluster.holder() == "n1")
        assert took_s < 5.0

    run_scenario(scenario, nodes=1)


def test_restarted_weak_holder_leaves_the_lease_to_the_strong_one() -> None:
    async def scenario(cluster: Cluster) -> None:
        cut_peers(cluster, "n0", "n1")
        strong = await add_node(cluster, cores=4.0)
        await sleep(2.0)
        assert cluster.holder() == "n0"
        cluster.kill_node("n0")
        heal_peers(cluster, "n0", "n1")
        await cluster.start_node("n0")
        end_s = current_time() + 2.5
        while cluster.holder() != strong:
            assert current_time() < end_s
            assert cluster.nodes["n0"].election.holder is None
            await sleep(0.01)

    run_scenario(scenario, nodes=1)


def test_lease_does_not_alternate_between_similar_instances() -> None:
    async def scenario(cluster: Cluster) -> None:
        first = cluster.holder()
        await add_node(cluster, cores=1.2)
        await sleep(10.0)
        assert cluster.holder() == first

    run_scenario(scenario)


def test_lease_is_not_handed_over_to_an_instance_that_drains() -> None:
    async def scenario(cluster: Cluster) -> None:
        strong = await add_node(cluster, cores=4.0)
        await cluster.wait(lambda: cluster.holder() == strong)
        assert cluster.nursery is not None
        cluster.nursery.start_soon(cluster.stop_node, strong)
        await cluster.wait(lambda: cluster.holder() not in (None, strong))
        second = cluster.holder()
        while strong in cluster.nodes:
            assert cluster.holder() == second
            await sleep(0.01)

    run_scenario(scenario, nodes=7)

"""Instances that the store refuses reach it through their peers."""

from pytest import mark
from trio import current_time, sleep

from damaskstall.tasks.job_rows import part_of
from damaskstall.tasks.relayed_table import BULK_PATIENCE_S, PATIENCE_S
from damaskstall.tasks.scans import scan_rows
from standins.operators.store import ALL_CALLERS, BUSY, RESET, SILENT, TOO_MANY
from tests.tasks.cluster import (
    NORMAL,
    URGENT,
    Cluster,
    configuration,
    run_scenario,
)
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs
from tests.tasks.test_unmatched_ends import ready_holder


@mark.parametrize("fault", [BUSY, TOO_MANY, RESET, SILENT])
def test_instance_without_store_serves_jobs_through_peers(fault: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        cluster.store.faults["n0"] = fault
        await sleep(1.5)
        reply = await cluster.submit(job_id(1), [FOUR_TASKS], node="n0")
        assert reply.status == 200
        await cluster.wait_state(job_id(1), "completed", node="n0")
        await cluster.submit(job_id(2), [ONE_TASK], work_s=30.0, node="n0")
        path = f"/{NORMAL}/{job_id(2)}"
        assert (await cluster.call("DELETE", path, node="n0")).status == 200
        assert await cluster.state(job_id(2), node="n1") == "cancelled"
        check_runs(cluster)

    run_scenario(scenario, nodes=3)


def test_holder_without_store_keeps_deciding() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        holder = cluster.holder()
        assert holder is not None
        cluster.store.faults[holder] = BUSY
        node = next(name for name in cluster.nodes if name != holder)
        await cluster.submit(job_id(1), [GANG], URGENT, node=node)
        took_s = await cluster.wait(lambda: len(cluster.history.runs) == 2)
        assert took_s < 0.5
        await sleep(3.0)
        assert cluster.holder() == holder
        await cluster.wait_state(job_id(1), "completed", URGENT, node=node)
        check_finished_once(cluster, job_id(1))

    run_scenario(scenario, nodes=3)


def test_instance_without_store_refuses_a_removed_key() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        cluster.store.faults["n0"] = RESET
        await sleep(0.5)
        state = configuration(2)
        state["tenants"][0]["api_keys"] = []
        cluster.store.put("op", "config", state)
        await sleep(2.0)
        reply = await cluster.submit(job_id(1), [ONE_TASK], node="n0")
        assert reply.status == 401

    run_scenario(scenario, nodes=3)


def test_isolated_instance_soon_accepts_no_key() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        for host in ("store", "n1", "n2"):
            cluster.network.cut("n0", host)
            cluster.network.cut(host, "n0")
        await sleep(4.2)
        reply = await cluster.submit(job_id(1), [ONE_TASK], node="n0")
        assert reply.status == 503
        assert "retry-after" in reply.headers
        assert "configuration" in reply.value["error"]

    run_scenario(scenario, nodes=3)


def test_all_instances_answer_promptly_after_an_outage() -> None:
    """No call waits for a peer once the store answers directly again."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        cluster.store.faults[ALL_CALLERS] = SILENT
        await sleep(6.0)
        del cluster.store.faults[ALL_CALLERS]
        await sleep(1.2)
        for node in cluster.nodes:
            assert await cluster.state(job_id(1), node=node) == "completed"
            reply = await cluster.submit(job_id(2), [ONE_TASK], node=node)
            assert reply.status == 200

    run_scenario(scenario, nodes=3)


def test_long_outage_increases_retry_after() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        cluster.store.faults[ALL_CALLERS] = BUSY
        first = await cluster.submit(job_id(1), [ONE_TASK])
        await sleep(2.5)
        later = await cluster.submit(job_id(1), [ONE_TASK])
        assert (first.status, later.status) == (503, 503)
        assert first.headers["retry-after"] == "1"
        assert later.headers["retry-after"] == "2"

    run_scenario(scenario, nodes=3)


def test_rows_of_other_parts_are_served_while_a_part_fails() -> None:
    """Each instance took the failing part for a refusal of all its calls."""

    async def scenario(cluster: Cluster) -> None:
        failing, served = job_id(1), job_id(2)
        assert part_of(failing) != part_of(served)
        for name in (failing, served):
            await cluster.submit(name, [ONE_TASK])
        cluster.store.failing_parts = {part_of(failing)}
        for _ in range(10):
            await sleep(0.2)
            for name, status in ((failing, 503), (served, 200)):
                for node in cluster.nodes:
                    path = f"/{NORMAL}/{name}"
                    reply = await cluster.call("GET", path, node=node)
                    assert reply.status == status

    run_scenario(scenario, nodes=3)


@mark.parametrize("value", [5, [1], "text", True])
def test_relayed_rows_of_others_may_have_any_form(value: object) -> None:
    """One garbled row kept all later changes from a refused instance."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        holder = ready_holder(cluster)
        name = cluster.holder()
        assert name is not None
        cluster.store.faults[name] = BUSY
        await sleep(1.0)
        cluster.store.put("servers", "garbled", value)
        cluster.store.put("op", "evacuate/fd0", value)
        cluster.register_worker(cluster.workers["w10"], "draining", 60_000)
        await sleep(2.0)
        assert holder.pool.sessions["w10"].worker.leaving
        assert "garbled" not in holder.pool.sessions
        assert holder.context.configuration.evacuated == {"fd0"}

    run_scenario(scenario, nodes=3)


def test_holder_keeps_the_lease_while_the_operators_rows_fail_alone() -> None:
    """Each instance took the failing table for a refusal of all its calls."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(0), [ONE_TASK], work_s=25.0)
        await sleep(1.0)
        holder = cluster.holder()
        for path in ("/rows-feed", "/rows-get"):
            cluster.store.failing_calls[path, "op", ALL_CALLERS] = BUSY
        await sleep(20.0)
        assert cluster.holder() == holder
        cluster.store.failing_calls.clear()
        await cluster.wait_state(job_id(0), "completed")
        check_finished_once(cluster, job_id(0))
        assert len(cluster.history.runs) == 1

    run_scenario(scenario, nodes=3)


def test_cut_off_peer_does_not_hold_up_relayed_reads() -> None:
    """Guards against a peer with an idle connection that never answers."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=30.0)
        cluster.store.faults["n0"] = BUSY
        for _ in range(8):
            await cluster.state(job_id(1), node="n0")
        node = cluster.nodes["n0"]
        ((used, _),) = node.peers.candidates(1)
        cluster.network.cut("n0", used)
        cluster.network.cut(used, "n0")
        prefix = f"progress@{part_of(job_id(1))}/"
        for _ in range(5):
            sent_s = current_time()
            assert await node.table.read(f"{prefix}x") is None
            assert current_time() - sent_s < 2 * PATIENCE_S
            # The failure of a peer is remembered for a second.
            await sleep(1.2)
            sent_s = current_time()
            await scan_rows(node.table, prefix)
            assert current_time() - sent_s < 2 * BULK_PATIENCE_S
            await sleep(1.2)

    run_scenario(scenario, nodes=4)

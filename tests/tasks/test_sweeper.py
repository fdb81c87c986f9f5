"""The sweeper removes expired rows of jobs and instances, and no others."""

from trio import sleep

from damaskstall.tasks.peer_directory import INSTANCE_TIMEOUT_S
from damaskstall.tasks.sweeper import RETENTION_MARGIN_S, SWEEP_S
from tests.tasks.cluster import NORMAL, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, ONE_TASK, job_id

RETENTION_S = 120.0


def job_tables(cluster: Cluster, number: int) -> set[str]:
    """Return the names of the tables that have a row of a job."""
    name = job_id(number)
    return {row.table for row in cluster.store.rows.names() if row.key == name}


def member_instances(cluster: Cluster) -> set[str]:
    """Return the names of the instances that have a row."""
    names = cluster.store.rows.names()
    return {row.key for row in names if row.table == "node"}


def test_state_of_an_ended_job_is_kept_for_the_retention_period() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        await sleep(RETENTION_S)
        assert await cluster.state(job_id(1)) == "completed"
        await sleep(RETENTION_MARGIN_S + 2 * SWEEP_S)
        reply = await cluster.call("GET", f"/{NORMAL}/{job_id(1)}")
        assert reply.status == 410
        assert not job_tables(cluster, 1)

    run_scenario(scenario)


def test_cancelled_job_leaves_no_row() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=100.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        reply = await cluster.call("DELETE", f"/{NORMAL}/{job_id(1)}")
        assert reply.status == 200
        assert job_tables(cluster, 1) == {"job", "progress", "cancel"}
        await sleep(RETENTION_S + RETENTION_MARGIN_S + 3 * SWEEP_S)
        assert not job_tables(cluster, 1)

    run_scenario(scenario)


def test_jobs_that_ended_under_an_earlier_holder_are_removed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        await sleep(RETENTION_S)
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(RETENTION_MARGIN_S + 3 * SWEEP_S)
        assert not job_tables(cluster, 1)

    run_scenario(scenario)


def test_job_that_still_runs_keeps_its_rows() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=400.0)
        await sleep(300.0)
        assert job_tables(cluster, 1) == {"job", "progress"}
        assert await cluster.state(job_id(1)) == "running"

    run_scenario(scenario)


def test_row_of_a_failed_instance_is_removed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(5.0)
        assert member_instances(cluster) == {"n0", "n1"}
        removed = next(
            name for name in cluster.nodes if name != cluster.holder()
        )
        cluster.kill_node(removed)
        await sleep(INSTANCE_TIMEOUT_S + 30.0)
        assert member_instances(cluster) == set(cluster.nodes)

    run_scenario(scenario)


def test_job_that_was_accepted_again_is_not_removed() -> None:
    """The answer to a removal may be lost, so that it is tried again."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=20.0)
        holder = cluster.holder()
        assert holder is not None
        present = cluster.nodes[holder].election.holder
        assert present is not None
        present.sweeper.add_finished_job(job_id(1), 0.0)
        await sleep(2 * SWEEP_S)
        assert job_tables(cluster, 1) == {"job", "progress"}
        await cluster.wait_state(job_id(1), "completed")

    run_scenario(scenario)

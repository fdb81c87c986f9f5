"""No job is missed if some reads of the store are older than others."""

from trio import current_time, sleep

from damaskstall.tasks.job_rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    all_parts,
    part_of,
)
from tests.tasks.cluster import Cluster, configuration, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_accepted_jobs import check_started

TABLES = (JOB_TABLE, PROGRESS_TABLE)


def test_job_starts_though_its_part_is_read_late_after_dropped_history() -> (
    None
):
    """The part's rows are older than the revision that is watched from."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = True
        cluster.store.keep_old_rows()
        part = part_of(job_id(1))
        await cluster.submit(job_id(1), [ONE_TASK])
        cluster.store.old_parts = {(table, part) for table in TABLES}
        await sleep(1.0)
        cluster.store.drop_history()
        await sleep(3.0)
        assert cluster.store.old_answers
        cluster.store.old_parts = set()
        await check_started(cluster, current_time())

    run_scenario(scenario)


def test_evacuation_is_not_ended_by_rows_from_before_it() -> None:
    """Guards against an absent mark that is taken as a lasting one."""

    async def scenario(cluster: Cluster) -> None:
        watcher = cluster.nodes["n0"].configuration
        cluster.store.keep_old_rows()
        cluster.store.put("op", "evacuate/fd0", {})
        await cluster.wait(lambda: watcher.evacuated == {"fd0"})
        cluster.store.old_parts = {("op", "")}
        cluster.store.drop_history()
        for _ in range(40):
            await sleep(0.1)
            assert watcher.evacuated == {"fd0"}
        assert cluster.store.old_answers
        cluster.store.old_parts = set()
        cluster.store.remove("op", "evacuate/fd0")
        await cluster.wait(lambda: not watcher.evacuated, limit_s=3.0)

    run_scenario(scenario)


def test_successor_knows_a_job_whose_declaration_it_read_late() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = True
        cluster.store.keep_old_rows()
        await cluster.submit(job_id(1), [ONE_TASK])
        cluster.store.old_parts = {(TABLES[0], part) for part in all_parts()}
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        cluster.store.withhold_changes = False
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(3.0)
        assert cluster.store.old_answers
        cluster.store.old_parts = set()
        await check_started(cluster, current_time())

    run_scenario(scenario, nodes=3)


def test_configuration_is_confirmed_though_rows_are_read_late() -> None:
    """The feed has what such rows lack."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", configuration(5))
        cluster.store.put("op", "evacuate/fd1", {})
        await sleep(1.0)
        cluster.store.keep_old_rows()
        cluster.store.put("op", "evacuate/fd0", {})
        cluster.store.remove("op", "evacuate/fd1")
        cluster.store.put("op", "config", configuration(6))
        await sleep(0.5)
        cluster.store.old_parts = {("op", "")}
        cluster.store.expire_watches()
        await sleep(0.1)
        cluster.store.put("op", "config", configuration(7))
        for _ in range(40):
            await sleep(0.1)
            for node in cluster.nodes.values():
                assert node.configuration.age_s(current_time()) < 2.1
                assert node.configuration.evacuated == {"fd0"}
        assert cluster.store.old_answers
        for node in cluster.nodes.values():
            assert node.configuration.state.version == 7

    run_scenario(scenario)

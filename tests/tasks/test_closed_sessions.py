"""A run is counted until it has ended, also while sessions close."""

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id


def test_run_that_is_adopted_after_its_session_closed_is_not_lost() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=5.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 1)
        node = cluster.holder()
        assert node is not None
        holder = cluster.nodes[node].election.holder
        assert holder is not None
        progress = holder.jobs[job_id(1)]
        unit = next(progress.all_units())
        name = unit.members[0].worker
        session = holder.pool.sessions[name]
        session.load.remove(progress.run_key(unit, 0))
        session.closed = True
        holder.pool.adopt(progress, unit)
        assert name in holder.pool.silent_workers()
        await cluster.wait_state(job_id(1), "completed", limit_s=10.0)

    run_scenario(scenario)

"""A run on a worker that its job's row does not name keeps no worker back."""

from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_unmatched_ends import (
    EarlierHolder,
    ready_holder,
    running_step,
)

# The interval of renewals, twice, and the time that a stop takes.
STOPPED_WITHIN_S = 1.5


async def start_elsewhere(cluster: Cluster) -> str:
    """Start a job's present run on a second worker too; return its name."""
    await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
    await cluster.wait(lambda: cluster.runs_of(job_id(1)))
    placed = cluster.runs_of(job_id(1))[0].worker
    other = next(name for name in cluster.workers if name != placed)
    await sleep(1.0)
    await EarlierHolder(cluster).start(1, 1, other)
    return other


def test_run_on_a_worker_that_the_row_does_not_name_is_stopped() -> None:
    async def scenario(cluster: Cluster) -> None:
        other = await start_elsewhere(cluster)
        await sleep(10.0)
        await cluster.wait_state(job_id(1), "completed", limit_s=1.0)
        placed, misplaced = cluster.runs_of(job_id(1))
        assert misplaced.worker == other
        assert misplaced.how == "stopped"
        assert misplaced.ended_s - misplaced.started_s <= STOPPED_WITHIN_S
        assert placed.how == "done"

    run_scenario(scenario)


def test_worker_with_a_run_that_belongs_elsewhere_is_usable_again() -> None:
    async def scenario(cluster: Cluster) -> None:
        other = await start_elsewhere(cluster)
        session = ready_holder(cluster).pool.sessions[other]
        await cluster.wait(lambda: session.has_unknown_runs, limit_s=1.0)
        await sleep(STOPPED_WITHIN_S)
        assert not session.unusable_reasons()

    run_scenario(scenario)


def test_run_that_an_earlier_holder_stored_elsewhere_goes_on() -> None:
    """This holder has placed a run of that number, but not stored it."""

    async def scenario(cluster: Cluster) -> None:
        holder, earlier = ready_holder(cluster), EarlierHolder(cluster)
        await sleep(1.0)
        cluster.store.withhold_changes = True
        await cluster.submit(job_id(1), [ONE_TASK], work_s=5.0)
        worker = max(cluster.workers)
        await earlier.store(1, running_step(1, worker))
        await earlier.start(1, 1, worker)
        cluster.store.slow_factor = 60.0
        cluster.store.withhold_changes = False
        cluster.store.put("servers", "unrelated", {})
        await cluster.wait(lambda: job_id(1) in holder.jobs)
        unit = holder.jobs[job_id(1)].units[0][0]
        await cluster.wait(lambda: unit.run)
        assert unit.workers() != (worker,)
        session = holder.pool.sessions[worker]
        await cluster.wait(lambda: session.has_unknown_runs)
        assert not unit.stored_run
        await cluster.wait_state(job_id(1), "completed", limit_s=10.0)
        runs = cluster.runs_of(job_id(1))
        assert [(run.worker, run.how) for run in runs] == [(worker, "done")]

    run_scenario(scenario)

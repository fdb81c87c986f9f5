"""A job whose rows are gone leaves no capacity in use."""

from trio import fail_after, sleep

from damaskstall.tasks.model import Demand, Step
from damaskstall.tasks.progress import JobProgress
from tests.tasks.cluster import NORMAL, Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_rows import accepted
from tests.tasks.test_unmatched_ends import ready_holder


def test_job_whose_rows_are_gone_frees_its_reserved_capacity() -> None:
    """The first write meets a conflict, and no row is found."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(13.0)
        holder = ready_holder(cluster)
        job = accepted(Step(1, Demand(1000, 1024, 0), 1.0))
        job = job._replace(queue=NORMAL)
        holder.jobs[job.job_id] = JobProgress(job, 1, 0.0)
        holder.request_decision()
        await sleep(20.0)
        assert job.job_id not in holder.jobs
        assert not cluster.history.runs
        counted = [list(s.load.runs) for s in holder.pool.sessions.values()]
        assert not any(counted), counted

    run_scenario(scenario)


def test_wait_for_the_write_of_a_job_whose_rows_are_gone_ends() -> None:
    async def scenario(cluster: Cluster) -> None:
        holder = ready_holder(cluster)
        job = accepted(Step(1, Demand(1000, 1024, 0), 1.0))
        progress = JobProgress(job, 1, 0.0)
        holder.jobs[job.job_id] = progress
        count = holder.schedule_write(progress)
        with fail_after(5.0):
            await holder.writer.wait_stored(progress, count)
        assert job.job_id not in holder.jobs

    run_scenario(scenario)


def test_launched_run_of_a_job_whose_rows_are_gone_stays_counted() -> None:
    async def scenario(cluster: Cluster) -> None:
        holder = ready_holder(cluster)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=20.0)
        await cluster.wait(lambda: cluster.runs_of(job_id(1)))
        run = cluster.runs_of(job_id(1))[0]
        counted = holder.pool.sessions[run.worker].load.runs
        holder.merge_stored_row(holder.jobs[job_id(1)], None, 0)
        assert counted
        await cluster.wait(lambda: not counted)
        assert run.how == "stopped"

    run_scenario(scenario)

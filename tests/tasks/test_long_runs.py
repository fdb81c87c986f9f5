"""A run that takes longer than declared is left to go on.

A declared duration is often far from the truth. On sound workers a task is
stopped at most once for lack of progress, however long it takes.
"""

from collections import Counter

from pytest import mark
from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id

MILLISECONDS_PER_S = 1000
TASKS = 4
# Longer than several runs that are each stopped as stalled.
WATCHED_S = 40.0


@mark.parametrize(
    ("declared_s", "work_s"),
    [(60.0, 6.0), (10.0, 20.0), (1.0, 300.0), (60.0, 600.0)],
)
def test_run_that_takes_longer_than_declared_goes_on(
    declared_s: float, work_s: float
) -> None:
    async def scenario(cluster: Cluster) -> None:
        declared_ms = round(declared_s * MILLISECONDS_PER_S)
        step = {**ONE_TASK, "count": TASKS, "estimate_ms": declared_ms}
        reply = await cluster.submit(job_id(1), [step], work_s=work_s)
        assert reply.status == 200
        await sleep(WATCHED_S)
        runs = cluster.runs_of(job_id(1))
        starts = Counter(run.name.task_index for run in runs)
        assert len(starts) == TASKS
        assert max(starts.values()) <= 2, starts

    run_scenario(scenario)

"""Jobs and cancellations are known though the store refuses their feeds.

Guards against one path to what the holder acts on: an accepted job waited, and
a cancelled one ran, for as long as the feed failed.
"""

from pytest import mark
from trio import sleep

from damaskstall.tasks.job_rows import CANCEL_TABLE, JOB_TABLE
from standins.operators.store import ALL_CALLERS, BUSY, SILENT
from tests.tasks.cluster import NORMAL, Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once

FEED = "/rows-feed"
# The feed that waited when the fault began has been answered.
IN_FLIGHT_S = 2.5
# A silent feed is noticed after its wait and a time limit of 0.7 s.
NOTICED_S = 3.5
CANCEL_S, STOP_S = 3.0, 0.2


@mark.parametrize("how", [BUSY, SILENT])
def test_job_starts_though_the_feed_of_jobs_fails(how: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.failing_calls[FEED, JOB_TABLE, ALL_CALLERS] = how
        await sleep(IN_FLIGHT_S)
        await cluster.submit(job_id(1), [ONE_TASK])
        await cluster.wait(lambda: cluster.history.runs, NOTICED_S)
        await cluster.wait_state(job_id(1), "completed")
        cluster.store.failing_calls.clear()
        await cluster.submit(job_id(2), [ONE_TASK])
        await cluster.wait_state(job_id(2), "completed")
        for number in (1, 2):
            check_finished_once(cluster, job_id(number))

    run_scenario(scenario)


@mark.parametrize("how", [BUSY, SILENT])
def test_cancelled_job_stops_though_the_feed_of_cancellations_fails(
    how: str,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=60.0)
        await sleep(1.0)
        cluster.store.failing_calls[FEED, CANCEL_TABLE, ALL_CALLERS] = how
        await sleep(IN_FLIGHT_S)
        holder = cluster.holder()
        node = cluster.other_node(holder)
        path = f"/{NORMAL}/{job_id(1)}"
        assert (await cluster.call("DELETE", path, node=node)).status == 200
        (run,) = cluster.history.runs
        await cluster.wait(
            lambda: run.ended_s is not None, CANCEL_S + STOP_S + 0.5
        )

    run_scenario(scenario, nodes=3)

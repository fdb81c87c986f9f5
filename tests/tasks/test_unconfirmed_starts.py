"""No task starts by what was known of domains and workers too long ago.

Guards against the cause of the CONFIG incident in the holder: it started tasks
in failure domains whose evacuation, and on workers whose leaving, it had not
learned of, or had learned of since it placed the task.
"""

from collections.abc import Callable
from typing import Any

from pytest import MonkeyPatch, mark
from trio import current_time, sleep

from standins.operators.store import ALL_CALLERS, BUSY, SILENT
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once
from tests.tasks.test_configuration_age import FEED, READ, fail_calls

EVACUATION_S = 5.0
DRAIN_S = 2.0
# A watch that was sent before a fault is answered within this time.
IN_FLIGHT_S = 1.5
# Each job's second step begins after the bound.
FIRST_STEP_S = 8.5
JOBS = 8
# The first steps of all jobs use all accelerators.
HALF_WORKER = {**ONE_TASK, "gpus": 4}
TWO_STEPS = [HALF_WORKER, {**HALF_WORKER, "after": [0]}]


def fail_workers(*paths: str, how: str = BUSY) -> Callable[[Cluster], None]:
    """Return a fault in which calls for the list of workers fail."""

    def begin(cluster: Cluster) -> None:
        for path in paths:
            cluster.store.failing_calls[path, "servers", ALL_CALLERS] = how

    return begin


async def submit_jobs(cluster: Cluster, steps: Any = None) -> None:
    """Submit jobs whose first step ends after the bounds."""
    for number in range(JOBS):
        await cluster.submit(
            job_id(number), steps or TWO_STEPS, work_s=FIRST_STEP_S
        )
    await sleep(1.0)


def starts_on(cluster: Cluster, rack: str, after_s: float) -> list[Any]:
    """Return the runs that began on workers of a rack after a time."""
    return [
        run
        for run in cluster.history.runs
        if run.worker.startswith(rack) and run.started_s > after_s
    ]


async def check_completed(cluster: Cluster) -> None:
    """Check that all jobs are completed once the fault has ended."""
    cluster.store.failing_calls.clear()
    cluster.store.failing_parts.clear()
    cluster.network.cuts.clear()
    cluster.network.wake()
    for number in range(JOBS):
        await cluster.wait_state(job_id(number), "completed")
        check_finished_once(cluster, job_id(number))


@mark.parametrize(
    "fault",
    [
        fail_calls(FEED),
        fail_calls(FEED, how=SILENT),
        fail_calls(FEED, READ),
        fail_calls(FEED, READ, how=SILENT),
    ],
)
def test_no_start_by_an_outdated_evacuation(
    fault: Callable[[Cluster], None],
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await submit_jobs(cluster)
        fault(cluster)
        await sleep(IN_FLIGHT_S)
        cluster.store.put("op", "evacuate/fd0", {})
        marked_s = current_time()
        await sleep(EVACUATION_S + 5.0)
        assert not starts_on(cluster, "w0", marked_s + EVACUATION_S)
        await check_completed(cluster)
        assert not starts_on(cluster, "w0", marked_s + EVACUATION_S)

    run_scenario(scenario, nodes=3)


@mark.parametrize(
    "fault",
    [
        fail_workers(FEED),
        fail_workers(FEED, how=SILENT),
        fail_workers(FEED, READ),
        fail_workers(FEED, READ, how=SILENT),
    ],
)
def test_no_start_by_an_outdated_list_of_workers(
    fault: Callable[[Cluster], None],
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await submit_jobs(cluster)
        fault(cluster)
        await sleep(IN_FLIGHT_S)
        for name in ("w00", "w01"):
            cluster.register_worker(cluster.workers[name], "draining", 60_000)
        marked_s = current_time()
        await sleep(FIRST_STEP_S + 3.0)
        assert not starts_on(cluster, "w0", marked_s + DRAIN_S)
        await check_completed(cluster)
        assert not starts_on(cluster, "w0", marked_s + DRAIN_S)

    run_scenario(scenario, nodes=3)


@mark.parametrize("how", ["evacuated", "draining"])
def test_start_that_waited_for_its_row_does_not_go_where_it_may_not(
    how: str, monkeypatch: MonkeyPatch
) -> None:
    """The placement was decided before the domain or worker was taken out."""

    async def scenario(cluster: Cluster) -> None:
        holder = cluster.holder()
        assert holder is not None
        node = cluster.nodes[holder]
        assert node.election.holder is not None
        writer = node.election.holder.writer
        held = [True]

        wait_stored = writer.wait_stored

        async def wait_longer(*args: Any) -> None:
            await wait_stored(*args)
            while held[0]:
                await sleep(0.05)

        monkeypatch.setattr(writer, "wait_stored", wait_longer)
        await submit_jobs(cluster, [HALF_WORKER])
        if how == "evacuated":
            cluster.store.put("op", "evacuate/fd0", {})
        else:
            for name in ("w00", "w01"):
                worker = cluster.workers[name]
                cluster.register_worker(worker, "draining", 60_000)
        marked_s = current_time()
        await sleep(EVACUATION_S + 0.5)
        held[0] = False
        await sleep(2.0)
        assert not starts_on(cluster, "w0", marked_s)
        await check_completed(cluster)

    run_scenario(scenario, nodes=2)

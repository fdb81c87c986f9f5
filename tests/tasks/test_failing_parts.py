"""While a part of the store fails, jobs of the other parts are scheduled."""

from collections.abc import Iterator
from itertools import count
from typing import Any

from pytest import MonkeyPatch
from trio import current_time, sleep

from damaskstall.events import Event
from damaskstall.tasks import waiting_units
from damaskstall.tasks.job_rows import part_of
from damaskstall.tasks.wait_reasons import STORE_FAILING
from damaskstall.tasks.waiting_units import CHECK_INTERVAL_S, WAIT_LIMIT_S
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.run_checker import check_finished_once, check_runs

FAILING = "03"
OUTAGE_S = 12.0
# The platform allows that no task runs beside free capacity for this long.
START_LIMIT_S = 3.0
TWO_STEPS = [ONE_TASK, {**ONE_TASK, "after": [0]}]


def job_ids(failing: bool) -> Iterator[str]:
    """Yield IDs of jobs whose rows are, or are not, in the failing part."""
    for number in count(1):
        if (part_of(job_id(number)) == FAILING) == failing:
            yield job_id(number)


async def begin_outage(cluster: Cluster) -> str:
    """Let a part fail before an end in it is stored; return the end's job."""
    blocked = next(job_ids(failing=True))
    await cluster.submit(blocked, TWO_STEPS, work_s=1.0)
    await cluster.wait(lambda: cluster.runs_of(blocked))
    cluster.store.failing_parts = {FAILING}
    await cluster.wait(lambda: cluster.runs_of(blocked)[0].how == "done")
    return blocked


async def check_start(cluster: Cluster, name: str) -> None:
    """Submit a job, and assert that it soon starts."""
    reply = await cluster.submit(name, [ONE_TASK], work_s=0.5)
    assert reply.status == 200
    took_s = await cluster.wait(lambda: cluster.runs_of(name))
    assert took_s <= START_LIMIT_S


def test_jobs_start_while_another_part_of_the_store_fails() -> None:
    async def scenario(cluster: Cluster) -> None:
        await begin_outage(cluster)
        end_s = current_time() + OUTAGE_S
        served = job_ids(failing=False)
        while current_time() < end_s:
            await check_start(cluster, next(served))
            await sleep(0.3)

    run_scenario(scenario)


def test_job_of_a_failing_part_is_logged_as_waiting_for_the_store(
    monkeypatch: MonkeyPatch,
) -> None:
    lines: list[dict[str, Any]] = []

    def record(event: Event, **fields: Any) -> None:
        lines.append(fields)

    monkeypatch.setattr(waiting_units, "log", record)

    async def scenario(cluster: Cluster) -> None:
        names = job_ids(failing=True)
        next(names)
        waiting = next(names)
        await cluster.submit(waiting, TWO_STEPS, work_s=2.0)
        await begin_outage(cluster)
        await sleep(1.0 + WAIT_LIMIT_S + 2 * CHECK_INTERVAL_S)
        assert waiting in {line["job"] for line in lines}
        assert {line["reason"] for line in lines} == {STORE_FAILING}

    run_scenario(scenario)


def test_job_of_a_failing_part_starts_only_once_its_placement_is_stored() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        blocked = await begin_outage(cluster)
        await sleep(OUTAGE_S)
        assert len(cluster.runs_of(blocked)) == 1
        cluster.store.failing_parts = set()
        await cluster.wait_state(blocked, "completed", limit_s=10.0)
        check_finished_once(cluster, blocked)
        check_runs(cluster)

    run_scenario(scenario)

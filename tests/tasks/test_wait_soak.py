"""No job waits while it could run, or is given up, after random faults.

The suite runs a few seeds, and those that failed once. To run others, give a
range of them: ``SOAK_SEEDS=100-150 python -m pytest
tests/tasks/test_wait_soak.py``.
"""

from collections.abc import Iterable, Sequence
from functools import partial
from os import environ
from random import Random
from typing import Any

from pytest import MonkeyPatch, mark, raises
from trio import current_time, open_nursery, sleep

from standins.operators.run_history import Run, RunHistory
from tests.tasks.cluster import BULK, NORMAL, URGENT, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_capacity, check_step_order
from tests.tasks.soak_faults import FaultInjector
from tests.tasks.test_reboot_soak import (
    CHECKPOINTING,
    FAULTS_S,
    JobKind,
    SoakClient,
    run_soak,
    seeds,
)
from tests.tasks.wait_checker import (
    ENDLESS_GRACE_S,
    WAIT_LIMIT_S,
    WaitChecker,
    check_shown_states,
)

# Jobs are looked at from this long after the end of the traffic.
FINISH_S = 14.0
WATCH_S = 8.0
CHECK_INTERVAL_S = 0.1
# Seeds that failed once.
FAILED_SEEDS = (15, 73, 109, 159, 178, 267)
# Fewer failed runs than the attempts of each task.
FAILED_RUNS_LIMIT = 2
FAILED_SHARES = (0.0, 0.0, 0.3)
ENDLESS_S = 1e9
ENDLESS = {**ONE_TASK, "count": 2, "long_running": True}
LABELLED = {**ONE_TASK, "count": 3, "requirements": "r0-0"}
JOB_KINDS: Sequence[JobKind] = (
    ([ONE_TASK], 0.5),
    ([ONE_TASK], 4.0),
    ([FOUR_TASKS], 1.5),
    ([CHECKPOINTING], 5.0),
    ([GANG], 1.5),
    ([{**GANG, "same_rack": False}], 2.0),
    ([FOUR_TASKS, {**ONE_TASK, "after": [0]}], 0.8),
    ([ENDLESS], ENDLESS_S),
    ([ENDLESS], ENDLESS_S),
    ([LABELLED], 1.0),
)


def wait_seeds() -> Iterable[int]:
    """Return the seeds of this run."""
    if "SOAK_SEEDS" in environ:
        return seeds()
    return sorted({*seeds(), *FAILED_SEEDS})


def choose_outcome(
    history: RunHistory, random: Random, share: float, run: Run
) -> str:
    """Let a share of the runs fail, but no task that often in any job."""
    failed = [
        other
        for other in history.runs
        if other.name.job_id == run.name.job_id and other.how == "failed"
    ]
    if len(failed) < FAILED_RUNS_LIMIT and random.random() < share:
        return "failed"
    return "done"


async def play(cluster: Cluster, seed: int, lines: list[str]) -> None:
    """Run jobs and faults, then watch the jobs that have not completed."""
    random = Random(seed)
    injector = FaultInjector(cluster, random, lines)
    share = random.choice(FAILED_SHARES)
    cluster.history.choose_outcome = partial(
        choose_outcome, cluster.history, Random(f"outcomes {seed}"), share
    )
    client = SoakClient(cluster, random, JOB_KINDS, (URGENT, NORMAL, BULK))
    until_s = current_time() + FAULTS_S
    async with open_nursery() as nursery:
        nursery.start_soon(client.run, until_s)
        nursery.start_soon(injector.run, until_s)
    await sleep(FINISH_S)
    await check_shown_states(cluster, client.queues)
    checker = WaitChecker(cluster)
    until_s = current_time() + WATCH_S
    while current_time() < until_s:
        checker.check(current_time())
        await sleep(CHECK_INTERVAL_S)
    await check_shown_states(cluster, client.queues)
    check_step_order(cluster)
    check_capacity(cluster)


@mark.parametrize("seed", wait_seeds())
def test_no_job_waits_or_is_given_up_after_random_faults(
    seed: int, monkeypatch: MonkeyPatch
) -> None:
    run_soak(play, seed, (3, 4), monkeypatch)


@mark.parametrize("step", [ONE_TASK, ENDLESS])
def test_checker_finds_job_that_waits_while_it_could_run(
    step: dict[str, Any],
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(ENDLESS_GRACE_S)
        for worker in cluster.workers.values():
            worker.refuse_starts = True
        await cluster.submit(job_id(1), [step], work_s=1.0)
        checker = WaitChecker(cluster)
        start_s = current_time()
        while current_time() < start_s + WAIT_LIMIT_S - CHECK_INTERVAL_S:
            checker.check(current_time())
            await sleep(CHECK_INTERVAL_S)
        await sleep(2 * CHECK_INTERVAL_S)
        with raises(AssertionError):
            checker.check(current_time())

    run_scenario(scenario)

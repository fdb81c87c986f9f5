"""No deadly task is started too often beside random faults.

The suite runs a few seeds. To run others, give a range of them:
``SOAK_SEEDS=100-150 python -m pytest tests/tasks/test_budget_soak.py``.
"""

from collections.abc import Sequence
from random import Random

from pytest import MonkeyPatch, mark
from trio import current_time, open_nursery, sleep

from tests.tasks.cluster import BULK, NORMAL, URGENT, Cluster
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_crash_budget
from tests.tasks.soak_faults import FaultInjector
from tests.tasks.test_deadly_tasks import return_workers, task_name
from tests.tasks.test_reboot_soak import (
    FAULTS_S,
    JobKind,
    SoakClient,
    run_soak,
    seeds,
)
from tests.tasks.test_wait_soak import ENDLESS, ENDLESS_S

WATCH_S = 30.0
JOBS_LIMIT = 100
DEADLY_SHARE = 0.15
CRASH_AFTER_S = (0.02, 0.02, 0.5, 2.0)
JOB_KINDS: Sequence[JobKind] = (
    ([ONE_TASK], 4.0),
    ([FOUR_TASKS], 3.0),
    ([GANG], 3.0),
    ([ENDLESS], ENDLESS_S),
)


async def play(cluster: Cluster, seed: int, lines: list[str]) -> None:
    """Run jobs, some of which are deadly, and faults; then wait."""
    random = Random(seed)
    injector = FaultInjector(cluster, random, lines)
    client = SoakClient(cluster, random, JOB_KINDS, (URGENT, NORMAL, BULK))
    deadly = Random(f"deadly {seed}")
    for number in range(1, JOBS_LIMIT):
        if deadly.random() < DEADLY_SHARE:
            after_s = deadly.choice(CRASH_AFTER_S)
            cluster.history.crash_after_s[task_name(job_id(number))] = after_s
    until_s = current_time() + FAULTS_S
    async with open_nursery() as returns:
        returns.start_soon(return_workers, cluster, False)
        async with open_nursery() as nursery:
            nursery.start_soon(client.run, until_s)
            nursery.start_soon(injector.run, until_s)
        await sleep(WATCH_S)
        returns.cancel_scope.cancel()
    check_crash_budget(cluster)


@mark.parametrize("seed", seeds())
def test_no_deadly_task_is_started_too_often_beside_random_faults(
    seed: int, monkeypatch: MonkeyPatch
) -> None:
    run_soak(play, seed, (3, 4), monkeypatch)

"""Jobs that few workers may run start beside free capacity, by seed."""

from os import environ
from random import Random
from typing import Any

from pytest import mark
from trio import current_time, open_nursery, sleep

from tests.tasks.cluster import (
    BULK,
    NORMAL,
    URGENT,
    Cluster,
    configuration,
    route,
    run_scenario,
)
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.room_watch import RoomWatch
from tests.tasks.run_checker import check_runs
from tests.tasks.worker_troubles import WorkerTroubles

LABEL = "r0-0"
TROUBLES_S = 25.0
CALM_S = 12.0
LABELLED = {**ONE_TASK, "requirements": LABEL, "estimate_ms": 1000}
WIDE = {**LABELLED, "count": 3}
SMALL_GANG = {**LABELLED, "count": 4, "gang": True, "gpus": 2}
RACK_GANG = {**SMALL_GANG, "requirements": "", "same_rack": True, "count": 6}
APART = {**LABELLED, "count": 2, "anti_affinity": 1}
ENDLESS = {**LABELLED, "count": 2, "long_running": True}
NEVER_S = 1e9
KINDS: tuple[tuple[list[dict[str, Any]], float], ...] = (
    ([LABELLED], 0.5),
    ([LABELLED], 3.0),
    ([WIDE], 1.0),
    ([SMALL_GANG], 1.5),
    ([RACK_GANG], 1.5),
    ([APART], 1.0),
    ([ONE_TASK, {**LABELLED, "after": [0]}], 0.7),
    ([{**LABELLED, "gpus": 8}], 1.0),
)
OTHER_KINDS: tuple[tuple[list[dict[str, Any]], float], ...] = (
    ([ONE_TASK], 2.0),
    ([FOUR_TASKS], 2.0),
    ([GANG], 1.0),
    ([{**FOUR_TASKS, "estimate_ms": 500}], 6.0),
)


def seeds() -> range:
    """Return the seeds of this run."""
    first, _, last = environ.get("LABEL_SEEDS", "13-16").partition("-")
    return range(int(first), int(last or first) + 1)


async def submit_jobs(
    cluster: Cluster, random: Random, until_s: float
) -> None:
    """Submit labelled jobs, and others beside them, until a time."""
    number = 0
    for _ in range(random.choice((0, 1, 2))):
        number += 1
        await cluster.submit(job_id(number), [ENDLESS], NORMAL, NEVER_S)
    while current_time() < until_s:
        number += 1
        kinds = KINDS if random.random() < 0.6 else OTHER_KINDS
        steps, work_s = random.choice(kinds)
        queue = random.choice((URGENT, NORMAL, BULK))
        await cluster.submit(job_id(number), steps, queue, work_s)
        await sleep(random.uniform(0.0, 1.2))


@mark.parametrize("seed", seeds())
def test_labelled_jobs_start_beside_free_capacity(seed: int) -> None:
    """Their workers fail, refuse, stall, shrink, drain and crash in turn."""

    async def scenario(cluster: Cluster) -> None:
        random = Random(seed)
        limit = random.choice((3, 50))
        queues = [
            route(name, priority, maximum_attempts=limit)
            for priority, name in enumerate((URGENT, NORMAL, BULK))
        ]
        cluster.store.put("op", "config", configuration(2, routes=queues))
        await sleep(1.0)
        watch = RoomWatch(cluster, limit)
        troubles = WorkerTroubles(cluster, watch, random)
        pause_max_s = random.choice((0.5, 1.0, 2.0))
        until_s = current_time() + TROUBLES_S
        async with open_nursery() as nursery:
            nursery.start_soon(watch.run)
            async with open_nursery() as traffic:
                traffic.start_soon(submit_jobs, cluster, random, until_s)
                traffic.start_soon(troubles.run, until_s, pause_max_s)
            await sleep(CALM_S)
            nursery.cancel_scope.cancel()
        watch.check()
        check_runs(cluster)

    run_scenario(scenario, seed=seed, racks=3, per_rack=3)

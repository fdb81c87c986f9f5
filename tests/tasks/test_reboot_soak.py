"""Guarantees hold while random faults overlap, by seed.

The suite runs a few seeds. To run others, give a range of them:
``SOAK_SEEDS=100-150 python -m pytest tests/tasks/test_reboot_soak.py``. A
failure prints its seed, the runs of the job that it names, and the faults and
log lines that lead to it. The clients' jobs, the faults and the random choices
of the nodes follow from the seed.
"""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from functools import partial
from importlib import import_module
from os import environ
from random import Random
from re import search
from typing import Any

from loguru import logger
from pytest import MonkeyPatch, fail, mark
from trio import current_time, open_nursery, sleep

from damaskstall.errors import HttpError
from standins.operators.run_history import STOP_S
from tests.tasks.cluster import BULK, URGENT, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, GANG, ONE_TASK, job_id
from tests.tasks.run_checker import (
    check_capacity,
    check_completed,
    check_step_order,
    check_tasks,
)
from tests.tasks.soak_faults import FaultInjector

FAULTS_S = 20.0
COMPLETION_LIMIT_S = 60.0
# All workers must take tasks again this long after the faults and other jobs.
RECOVERY_LIMIT_S = 20.0
CHECK_INTERVAL_S = 0.5
SUBMIT_TRIES = 4
LAST_JOB = 1000
JOB_PAUSE_MAX_S = 1.4
# Starts later than this after a job was shown as completed are faults.
SHOWN_MARGIN_S = 1.0
LOG_LINES = 60
# Modules that create unseeded random numbers.
RANDOM_USERS = (
    "config_watcher",
    "peer_directory",
    "sweeper",
    "election",
    "progress_writer",
    "job_reader",
)
CHECKPOINTING = {**ONE_TASK, "checkpointing": True, "estimate_ms": 4000}
# The steps of a job, and the run time of its tasks in seconds.
JobKind = tuple[list[dict[str, Any]], float]
JOB_KINDS: Sequence[JobKind] = (
    ([ONE_TASK], 0.5),
    ([ONE_TASK], 4.0),
    ([FOUR_TASKS], 1.5),
    ([CHECKPOINTING], 5.0),
    ([GANG], 1.5),
    ([{**GANG, "checkpointing": True}], 3.0),
    ([FOUR_TASKS, {**ONE_TASK, "after": [0]}], 0.8),
)
QUEUES = (URGENT, BULK)

# Runs jobs and faults of a seed in a cluster, and adds lines to a log.
Play = Callable[[Cluster, int, list[str]], Awaitable[None]]


def seeds() -> Iterable[int]:
    """Return the seeds of this run."""
    first, _, last = environ.get("SOAK_SEEDS", "1-8").partition("-")
    return range(int(first), int(last or first) + 1)


def seeded(seed: int, own_seed: str | None = None) -> Random:
    """Return a generator, with the test's seed unless it has its own."""
    return Random(seed if own_seed is None else own_seed)


class SoakClient:
    """The clients: they submit jobs and wait until each has completed."""

    def __init__(
        self,
        cluster: Cluster,
        random: Random,
        kinds: Sequence[JobKind] = JOB_KINDS,
        choices: Sequence[str] = QUEUES,
    ) -> None:
        """Start without jobs; choose their kinds, and queues by name."""
        self.cluster = cluster
        self.random = random
        self.kinds = kinds
        self.choices = choices
        self.queues: dict[str, str] = {}
        self.shown_s: dict[str, float] = {}

    async def run(self, until_s: float) -> None:
        """Submit jobs until a time."""
        number = 0
        async with open_nursery() as nursery:
            while current_time() < until_s:
                number += 1
                nursery.start_soon(self._submit, job_id(number))
                await sleep(self.random.uniform(0.0, JOB_PAUSE_MAX_S))

    async def _submit(self, job: str) -> None:
        steps, work_s = self.random.choice(self.kinds)
        queue = self.random.choice(self.choices)
        self.queues[job] = queue
        for _ in range(SUBMIT_TRIES):
            nodes = list(self.cluster.nodes)
            with suppress(HttpError):
                reply = await self.cluster.submit(
                    job, steps, queue, work_s, node=self.random.choice(nodes)
                )
                if reply.status == 200:
                    return
            await sleep(0.5)

    async def wait_completed(self, limit_s: float) -> None:
        """Wait until each accepted job is shown as completed."""
        until_s = current_time() + limit_s
        waiting = [j for j in self.cluster.accepted if j not in self.shown_s]
        while waiting:
            assert current_time() < until_s, f"{waiting[0]} does not complete"
            for job in list(waiting):
                with suppress(HttpError):
                    node = next(iter(self.cluster.nodes))
                    state = await self.cluster.state(
                        job, self.queues[job], node=node
                    )
                    if state == "completed":
                        self.shown_s[job] = current_time()
                        waiting.remove(job)
            await sleep(0.2)

    async def submit_on_all_workers(self) -> None:
        """Submit a job that occupies every worker at the same time."""
        step = {**GANG, "same_rack": False, "count": len(self.cluster.workers)}
        job = job_id(LAST_JOB)
        self.queues[job] = URGENT
        node = next(iter(self.cluster.nodes))
        reply = await self.cluster.submit(job, [step], URGENT, 1.0, node=node)
        assert reply.status == 200

    def check_shown(self) -> None:
        """Assert that no job started a task after it was shown as over."""
        for job, shown_s in self.shown_s.items():
            for run in self.cluster.runs_of(job):
                assert (
                    run.started_s <= shown_s + SHOWN_MARGIN_S
                ), f"{run.task} started after its job was completed"


async def check_while(cluster: Cluster) -> None:
    """Check the recorded runs until cancelled."""
    while True:
        await sleep(CHECK_INTERVAL_S)
        check_tasks(cluster)


async def soak(cluster: Cluster, seed: int, lines: list[str]) -> None:
    """Run jobs and faults until all jobs have completed, and check."""
    async with open_nursery() as nursery:
        nursery.start_soon(check_while, cluster)
        await soak_unchecked(cluster, seed, lines)
        check_tasks(cluster)
        nursery.cancel_scope.cancel()


async def soak_unchecked(
    cluster: Cluster, seed: int, lines: list[str]
) -> None:
    """Run jobs and faults, then wait until all jobs have completed."""
    random = Random(seed)
    injector = FaultInjector(cluster, random, lines)
    client = SoakClient(cluster, random)
    until_s = current_time() + FAULTS_S
    async with open_nursery() as nursery:
        nursery.start_soon(client.run, until_s)
        nursery.start_soon(injector.run, until_s)
    await client.wait_completed(COMPLETION_LIMIT_S)
    await client.submit_on_all_workers()
    await client.wait_completed(RECOVERY_LIMIT_S)
    await sleep(SHOWN_MARGIN_S + STOP_S)
    client.check_shown()
    check_step_order(cluster)
    check_capacity(cluster)
    for job in cluster.accepted:
        check_completed(cluster, job)


def describe(
    error: AssertionError, seed: int, cluster: Cluster, lines: list[str]
) -> str:
    """Return a failure with its seed, its job's runs, and the log of both."""
    found = search(r"[0-9a-f]{16}", str(error))
    job = found.group() if found else "-"
    runs = [
        f"{run.task} run {run.run} on {run.worker}: {run.started_s:.3f} to "
        f"{run.ended_s}, {run.how}, acknowledged {run.acknowledged_s}"
        for run in cluster.runs_of(job)
    ]
    shown = [
        line
        for line in lines
        if " log " not in line or job in line or "worker_" in line
    ]
    text = "\n".join(shown[:1] + runs + shown[-LOG_LINES:])
    return f"seed {seed}: {error}\n{text}"


def run_soak(
    play: Play, seed: int, per_rack: Sequence[int], monkeypatch: MonkeyPatch
) -> None:
    """Run a play in a cluster of a random size; report its first failure."""
    for name in RANDOM_USERS:
        module = import_module(f"damaskstall.tasks.{name}")
        monkeypatch.setattr(module, "Random", partial(seeded, seed))
    lines: list[str] = []
    failures: list[str] = []

    async def scenario(cluster: Cluster) -> None:
        def write(message: Any) -> None:
            fields = message.record["extra"].get("fields", {})
            text = f"{message.record['message']} {fields}"
            lines.append(f"{current_time():8.3f} log {text}")

        sink = logger.add(write, level="INFO")
        try:
            await play(cluster, seed, lines)
            check_tasks(cluster)
        except* AssertionError as group:
            error: Any = group
            while isinstance(error, BaseExceptionGroup):
                error = error.exceptions[0]
            failures.append(describe(error, seed, cluster, lines))
        finally:
            logger.remove(sink)

    sizes = Random(seed)
    run_scenario(
        scenario,
        seed=seed,
        nodes=sizes.choice((2, 3)),
        racks=2,
        per_rack=sizes.choice(per_rack),
        reports_born=sizes.random() < 0.8,
    )
    if failures:
        fail(failures[0], pytrace=False)


@mark.parametrize("seed", seeds())
def test_random_faults_break_no_guarantee(
    seed: int, monkeypatch: MonkeyPatch
) -> None:
    run_soak(soak, seed, (2, 3), monkeypatch)

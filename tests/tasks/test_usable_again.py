"""A worker may get new runs again soon after what kept them off has ended."""

from collections.abc import Awaitable, Callable

from pytest import mark
from trio import sleep

from tests.tasks.cluster import SERVICE, Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_unmatched_ends import EarlierHolder, ready_holder

# The platform allows that no task runs beside free capacity for this long.
USABLE_LIMIT_S = 3.0
WORKER = "w00"
# How long each cause lasts: a lease of a worker and more.
CAUSE_S = 12.0
LONG_TASK = {**ONE_TASK, "estimate_ms": 20_000}

Cause = Callable[[Cluster], Awaitable[None]]


def flags(cluster: Cluster, worker: str = WORKER) -> tuple[str, ...]:
    """Return what keeps new runs from a worker of the ready holder."""
    return ready_holder(cluster).pool.sessions[worker].unusable_reasons()


async def lose_entry(cluster: Cluster) -> None:
    """Remove the worker's entry, then write the same one again."""
    entry = cluster.workers[WORKER].entry(SERVICE, "fd0", "ready", None)
    cluster.store.put("servers", WORKER, entry)
    await sleep(1.0)
    cluster.store.remove("servers", WORKER)
    await sleep(CAUSE_S)
    cluster.store.put("servers", WORKER, entry)


async def garble_entry(cluster: Cluster) -> None:
    """Let another writer write an entry that cannot be read."""
    cluster.store.put("servers", WORKER, {"state": 5})
    await sleep(CAUSE_S)
    cluster.register_worker(cluster.workers[WORKER])


async def change_born(cluster: Cluster, change: int) -> None:
    """Let another writer write an entry with another time of the start."""
    entry = cluster.workers[WORKER].entry(SERVICE, "fd0", "ready", None)
    entry["born"] += change
    cluster.store.put("servers", WORKER, entry)
    await sleep(CAUSE_S)
    cluster.register_worker(cluster.workers[WORKER])


async def write_earlier_born(cluster: Cluster) -> None:
    """Let the entry be that of an earlier incarnation."""
    await change_born(cluster, -1000)


async def write_later_born(cluster: Cluster) -> None:
    """Let the entry be that of an incarnation that never starts."""
    await change_born(cluster, 10**9)


async def drain(cluster: Cluster) -> None:
    """Let the worker drain and come back."""
    cluster.register_worker(cluster.workers[WORKER], "draining", 60_000)
    await sleep(CAUSE_S)
    cluster.register_worker(cluster.workers[WORKER])


async def disconnect(cluster: Cluster) -> None:
    """Cut the worker off."""
    cluster.disconnect_worker(WORKER)
    await sleep(CAUSE_S)
    cluster.reconnect_worker(WORKER)


async def restart(cluster: Cluster) -> None:
    """Let the worker crash and start again."""
    cluster.workers[WORKER].crash()
    await sleep(CAUSE_S)
    assert cluster.nursery is not None
    await cluster.workers[WORKER].restart(cluster.nursery)
    cluster.register_worker(cluster.workers[WORKER])


async def step_clock_back(cluster: Cluster) -> None:
    """Let the worker start again with a clock that was set back."""
    worker = cluster.workers[WORKER]
    worker.crash()
    await sleep(CAUSE_S)
    worker.boot(worker.born - 60_000)
    assert cluster.nursery is not None
    await cluster.nursery.start(worker.run)
    cluster.register_worker(worker)


async def run_misplaced_task(cluster: Cluster) -> None:
    """Let the worker run a task that belongs to another one."""
    await cluster.submit(job_id(2), [LONG_TASK], work_s=20.0)
    await cluster.wait(lambda: cluster.runs_of(job_id(2)))
    await sleep(1.0)
    other = next(w for w in cluster.workers if w != WORKER)
    if cluster.runs_of(job_id(2))[0].worker == WORKER:
        await EarlierHolder(cluster).start(2, 1, other)
    else:
        await EarlierHolder(cluster).start(2, 1, WORKER)


@mark.parametrize("busy", [False, True])
@mark.parametrize(
    "cause",
    [
        lose_entry,
        garble_entry,
        write_earlier_born,
        write_later_born,
        drain,
        disconnect,
        restart,
        step_clock_back,
        run_misplaced_task,
    ],
)
def test_flags_of_a_worker_end(cause: Cause, busy: bool) -> None:
    async def scenario(cluster: Cluster) -> None:
        if busy:
            await cluster.submit(job_id(1), [LONG_TASK], work_s=20.0)
            await cluster.wait(lambda: cluster.runs_of(job_id(1)))
        await sleep(1.0)
        await cause(cluster)
        await sleep(USABLE_LIMIT_S)
        names = list(ready_holder(cluster).pool.sessions)
        assert sorted(names) == sorted(cluster.workers)
        assert not {
            name: found for name in names if (found := flags(cluster, name))
        }

    run_scenario(scenario)


def test_worker_that_left_with_a_misplaced_run_is_called_no_more() -> None:
    async def scenario(cluster: Cluster) -> None:
        await run_misplaced_task(cluster)
        await cluster.wait(
            lambda: any(flags(cluster, w) for w in cluster.workers)
        )
        left = next(w for w in cluster.workers if flags(cluster, w))
        cluster.workers[left].crash()
        cluster.store.remove("servers", left)
        sessions = ready_holder(cluster).pool.sessions
        await sleep(30.0)
        assert left not in sessions

    run_scenario(scenario)


async def lose_power(cluster: Cluster) -> None:
    """End all workers and instances; let them return one by one."""
    for worker in cluster.workers.values():
        worker.crash()
    nodes = sorted(cluster.nodes)
    for node in nodes:
        cluster.kill_node(node)
    await sleep(5.0)
    for node in nodes:
        await cluster.start_node(node)
    assert cluster.nursery is not None
    for worker in cluster.workers.values():
        await sleep(0.5)
        await worker.restart(cluster.nursery)
        await sleep(0.5)
        cluster.register_worker(worker)


@mark.parametrize("seed", range(3))
def test_workers_are_usable_soon_after_all_have_lost_power(seed: int) -> None:
    async def scenario(cluster: Cluster) -> None:
        for number in range(1, 9):
            await cluster.submit(job_id(number), [ONE_TASK], work_s=20.0)
        await sleep(3.0)
        await lose_power(cluster)
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(USABLE_LIMIT_S)
        assert not [w for w in cluster.workers if flags(cluster, w)]

    run_scenario(scenario, seed=seed, nodes=3)

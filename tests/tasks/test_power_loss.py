"""Jobs run again after all instances and workers lost power at once."""

from trio import current_time, sleep

from tests.tasks.cluster import URGENT, Cluster, run_scenario
from tests.tasks.job_specs import GANG, ONE_TASK, job_id
from tests.tasks.run_checker import check_runs

# The operators' target, counted from when the machines are back.
RECOVERY_S = 12.0
WORK_S = 30.0
ENDLESS = {**ONE_TASK, "checkpointing": True}
SINGLE_JOBS = 12
RETURN_INTERVAL_S = 0.6
LISTED_AFTER_S = 0.4


async def submit_jobs(cluster: Cluster) -> list[str]:
    """Submit jobs that outlast the loss of power; return their ids."""
    jobs = [job_id(number) for number in range(1, SINGLE_JOBS + 3)]
    for name in jobs[:SINGLE_JOBS]:
        await cluster.submit(name, [ENDLESS], work_s=WORK_S)
    await cluster.submit(jobs[-2], [GANG], work_s=WORK_S)
    await cluster.submit(jobs[-1], [ONE_TASK], URGENT, work_s=WORK_S)
    return jobs


def lose_power(cluster: Cluster) -> None:
    """End all instances and all workers at the same moment."""
    for node in list(cluster.nodes):
        cluster.kill_node(node)
    for worker in cluster.workers.values():
        worker.crash()


async def return_workers(cluster: Cluster, names: list[str]) -> None:
    """Start workers one after another; each is listed a moment later."""
    assert cluster.nursery is not None
    for name in names:
        await sleep(RETURN_INTERVAL_S)
        await cluster.workers[name].restart(cluster.nursery)
        await sleep(LISTED_AFTER_S)
        cluster.register_worker(cluster.workers[name])


async def return_nodes(cluster: Cluster) -> None:
    """Start the small instance first, and the large ones later."""
    await sleep(0.5)
    await cluster.start_node("n0")
    await sleep(2.0)
    for name in ("n1", "n2"):
        await cluster.start_node(name)


def running_jobs(cluster: Cluster) -> set[str]:
    """Return the ids of the jobs of which a run is under way."""
    runs = cluster.history.runs
    return {run.name.job_id for run in runs if run.ended_s is None}


async def check_recovery(cluster: Cluster, names: list[str]) -> None:
    """Lose power, return some workers, and wait until all jobs run."""
    for node in ("n1", "n2"):
        cluster.cores[node] = 4.0
        await cluster.start_node(node)
    jobs = await submit_jobs(cluster)
    await cluster.wait(lambda: running_jobs(cluster) == set(jobs))
    await sleep(2.0)
    lose_power(cluster)
    assert cluster.nursery is not None
    cluster.nursery.start_soon(return_nodes, cluster)
    await return_workers(cluster, names)
    back_s = current_time()
    while running_jobs(cluster) != set(jobs):
        waiting = set(jobs) - running_jobs(cluster)
        assert current_time() - back_s < RECOVERY_S, f"not running: {waiting}"
        await sleep(0.05)
    check_runs(cluster)


def test_all_jobs_run_again_after_a_loss_of_all_power() -> None:
    async def scenario(cluster: Cluster) -> None:
        await check_recovery(cluster, list(cluster.workers))

    for seed in range(3):
        run_scenario(scenario, seed=seed, nodes=1, racks=2, per_rack=4)


def test_all_jobs_run_again_though_some_workers_do_not_return() -> None:
    async def scenario(cluster: Cluster) -> None:
        names = [n for n in cluster.workers if n not in ("w00", "w13")]
        await check_recovery(cluster, names)

    for seed in range(3):
        run_scenario(scenario, seed=seed, nodes=1, racks=2, per_rack=4)

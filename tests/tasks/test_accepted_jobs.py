"""The holder learns of each accepted job, and starts it soon."""

from random import Random

from pytest import mark
from trio import current_time, open_nursery, sleep

from damaskstall.errors import HttpError
from damaskstall.tasks.job_reader import JobReader
from damaskstall.tasks.job_rows import all_parts, part_of
from standins.operators.store import BUSY, RESET, SILENT
from tests.tasks.cluster import Cluster, run_scenario, unix_s
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_unmatched_ends import ready_holder

# The platform allows that no task runs beside free capacity for this long.
START_LIMIT_S = 3.0
FAULTS = 12
JOBS = 80
# From the end of the faults until the condition holds.
CALM_S = 14.0


async def check_started(cluster: Cluster, since_s: float) -> None:
    """Assert that all accepted jobs start in time after a moment.

    A job that ``accepted`` lacks is not expected to start.
    """

    def all_started() -> bool:
        return all(cluster.runs_of(name) for name in cluster.accepted)

    await cluster.wait(lambda: cluster.holder() is not None)
    await cluster.wait(all_started, since_s + START_LIMIT_S - current_time())


async def check_known(cluster: Cluster) -> None:
    """Assert that the holder knows each unfinished job that is stored."""
    holder = ready_holder(cluster)
    reader = JobReader(holder.context.table, current_time, unix_s)
    for progress in await reader.load():
        assert holder.is_known(progress.job_id), progress.job_id


def test_job_is_started_whose_instance_is_killed_as_it_answers() -> None:
    async def scenario(cluster: Cluster) -> None:
        entry = cluster.other_node(cluster.holder())
        reply = await cluster.submit(job_id(1), [ONE_TASK], node=entry)
        cluster.kill_node(entry)
        assert reply.status == 200
        await check_started(cluster, current_time())

    run_scenario(scenario, nodes=3)


def test_job_is_started_whose_acceptance_got_no_answer() -> None:
    async def scenario(cluster: Cluster) -> None:
        entry = cluster.other_node(cluster.holder())
        cluster.store.answers_to_lose = 1
        reply = await cluster.submit(job_id(1), [ONE_TASK], node=entry)
        assert reply.status == 200
        await check_started(cluster, current_time())

    run_scenario(scenario, nodes=3)


@mark.parametrize("withheld", [False, True])
def test_job_is_started_after_two_changes_of_the_holder(
    withheld: bool,
) -> None:
    """Neither of the first two holders gets to start it."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = withheld
        first = cluster.holder()
        assert first is not None
        entry = cluster.other_node(first)
        reply = await cluster.submit(job_id(1), [ONE_TASK], node=entry)
        cluster.kill_node(first)
        assert reply.status == 200
        await cluster.wait(lambda: cluster.holder() is not None)
        second = cluster.holder()
        assert second is not None
        if withheld:
            cluster.store.drop_history()
        cluster.kill_node(second)
        await cluster.wait(lambda: cluster.holder() is not None)
        await check_started(cluster, current_time())
        await check_known(cluster)

    run_scenario(scenario, nodes=3)


def test_job_is_started_once_dropped_history_is_read_again() -> None:
    """Its acceptance was among the changes that no watch has reported."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = True
        for number in range(1, 9):
            await cluster.submit(job_id(number), [ONE_TASK])
        await sleep(1.0)
        cluster.store.drop_history()
        await check_started(cluster, current_time())

    run_scenario(scenario)


def test_jobs_start_by_part_once_dropped_history_is_read_again() -> None:
    """The rows of one part can't be read for as long as it fails."""

    async def scenario(cluster: Cluster) -> None:
        failing = part_of(job_id(1))
        cluster.store.withhold_changes = True
        await cluster.submit(job_id(1), [ONE_TASK])
        del cluster.accepted[job_id(1)]
        cluster.store.failing_parts = {failing}
        served = [n for n in range(2, 12) if part_of(job_id(n)) != failing]
        for number in served:
            await cluster.submit(job_id(number), [ONE_TASK])
        await sleep(1.0)
        cluster.store.drop_history()
        await check_started(cluster, current_time())
        await sleep(5.0)
        cluster.store.failing_parts = set()
        cluster.accepted[job_id(1)] = current_time()
        await check_started(cluster, current_time())
        await check_known(cluster)

    run_scenario(scenario)


async def inject_fault(cluster: Cluster, random: Random) -> None:
    """Disturb the store or an instance for a moment."""
    store = cluster.store
    node = random.choice(sorted(cluster.nodes))
    lasts_s = random.uniform(0.2, 2.0)
    fault = random.randrange(7)
    if fault == 0:
        store.withhold_changes = True
        await sleep(lasts_s)
        store.drop_history()
    elif fault == 1:
        store.faults[node] = random.choice([BUSY, RESET, SILENT])
        await sleep(lasts_s)
        del store.faults[node]
    elif fault == 2:
        store.failing_parts = {random.choice(all_parts())}
        await sleep(lasts_s)
        store.failing_parts = set()
    elif fault == 3:
        store.slow_factor = 60.0
        await sleep(lasts_s)
        store.slow_factor = 1.0
    elif fault == 4:
        store.answers_to_lose = random.randrange(1, 6)
    elif fault == 5:
        store.write_delays_s = [random.uniform(0.5, 4.0) for _ in range(4)]
    else:
        cluster.kill_node(node)
        await sleep(lasts_s)
        await cluster.start_node(node)


@mark.parametrize("seed", range(6))
def test_no_accepted_job_is_missed_under_faults_of_the_store(
    seed: int,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        random = Random(seed)

        async def submit_jobs() -> None:
            for number in range(JOBS):
                await sleep(random.uniform(0.05, 0.4))
                node = random.choice(sorted(cluster.nodes))
                try:
                    await cluster.submit(
                        job_id(number), [ONE_TASK], work_s=0.3, node=node
                    )
                except HttpError:
                    continue

        async with open_nursery() as nursery:
            nursery.start_soon(submit_jobs)
            for _ in range(FAULTS):
                await sleep(random.uniform(0.0, 1.0))
                await inject_fault(cluster, random)
        cluster.store.write_delays_s = []
        cluster.store.answers_to_lose = 0
        await sleep(CALM_S)
        assert len(cluster.accepted) > JOBS / 2
        await check_started(cluster, current_time())
        await check_known(cluster)

    run_scenario(scenario, seed=seed, nodes=3)

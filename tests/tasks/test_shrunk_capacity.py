"""No start exceeds the capacity of a worker that has shrunk."""

from collections.abc import Iterable
from random import Random

from pytest import mark
from trio import open_nursery, sleep

from damaskstall.tasks.capacity import FreeCapacity, WorkerLoad
from damaskstall.tasks.claims import FREED_LIMIT_S, no_claims
from damaskstall.tasks.model import Demand
from damaskstall.tasks.policy import Decision, StartUnit
from damaskstall.tasks.progress import ENDED_NOT_STARTED, JobProgress
from standins.operators.worker import StandinWorker
from tests.tasks.cluster import BULK, NORMAL, URGENT, Cluster, run_scenario
from tests.tasks.fleet import all_running, task
from tests.tasks.job_specs import FOUR_TASKS, GANG, job_id
from tests.tasks.run_checker import check_completed, check_runs
from tests.tasks.session_fakes import (
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
    worker_info,
)
from tests.tasks.test_claims import ROUND_S, STOP_ROUNDS, SlowFleet
from tests.tasks.test_policy import gang
from tests.virtual_time import run_virtual

HEARTBEAT_S = 1.5
SIXTEEN_TASKS = {**FOUR_TASKS, "count": 16}


async def resize(cluster: Cluster, worker: StandinWorker, gpus: int) -> None:
    """Change a worker's accelerators; its entry shows it a heartbeat later."""
    worker.resize(gpus=gpus)
    await sleep(HEARTBEAT_S)
    if worker.up:
        cluster.register_worker(worker)


@mark.parametrize("seed", [1, 2, 3, 4])
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows(seed: int) -> None:
    """Also while the holder is replaced and urgent gangs preempt others."""

    async def scenario(cluster: Cluster) -> None:
        random = Random(seed)
        assert cluster.nursery is not None
        jobs = [job_id(number) for number in range(1, 7)]
        for number, job in enumerate(jobs):
            step, queue = (SIXTEEN_TASKS, BULK)
            if number % 2:
                step, queue = (GANG, URGENT)
            holder = cluster.holder() or cluster.other_node(None)
            await cluster.submit(job, [step], queue, work_s=2.0, node=holder)
            worker = random.choice(list(cluster.workers.values()))
            gpus = random.choice((0, 1, 3, 5))
            cluster.nursery.start_soon(resize, cluster, worker, gpus)
            await sleep(random.uniform(0.0, 2.0))
            if number == 2 and holder == cluster.holder():
                cluster.kill_node(holder)
                await cluster.start_node(holder)
        await sleep(4.0)
        for worker in cluster.workers.values():
            await resize(cluster, worker, 8)
        for number, job in enumerate(jobs):
            queue = URGENT if number % 2 else BULK
            await cluster.wait_state(job, "completed", queue, limit_s=90.0)
            check_completed(cluster, job)
        check_runs(cluster)

    run_scenario(scenario, seed=seed)


def test_start_that_a_shrunk_capacity_no_longer_holds_is_not_sent() -> None:
    async def main() -> None:
        worker, owner, info = FakeWorker(), RecordingOwner(), worker_info()
        session = open_session(worker, owner, info)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            session.reserve(run_key(1), info.capacity)
            shrunk = info.capacity._replace(accelerators=7)
            session.update(info._replace(capacity=shrunk))
            await session.launch(run_key(1), "payload", "")
            assert not worker.running
            assert owner.outcomes(run_key(1)) == [ENDED_NOT_STARTED]
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_load_that_is_being_stopped_counts_against_a_shrunk_capacity() -> None:
    load, worker = WorkerLoad(), worker_info()
    demand = worker.capacity
    load.add(run_key(1), demand)
    load.mark_stopping(run_key(1))
    assert load.fits(worker)
    shrunk = demand._replace(accelerators=demand.accelerators - 1)
    assert not load.fits(worker._replace(capacity=shrunk))


class ShrinkingFleet(SlowFleet):
    """A fleet whose workers shrink; no start may exceed what is left."""

    def __init__(self, racks: int, per_rack: int) -> None:
        """Create workers with their whole capacity."""
        super().__init__(racks, per_rack)
        # The accelerators that workers lack at present.
        self.lacking: dict[str, int] = {}

    def free_capacities(self) -> list[FreeCapacity]:
        """Return each worker's free capacity, negative where it has shrunk."""
        return [
            self._shrunk(each, self.lacking.get(each.worker.name, 0))
            for each in super().free_capacities()
        ]

    def _shrunk(self, each: FreeCapacity, lacking: int) -> FreeCapacity:
        less = Demand(0, 0, lacking)
        capacity = each.worker.capacity.minus(less)
        return FreeCapacity(
            each.worker._replace(capacity=capacity),
            each.free.minus(less),
            each.free_after_stops.minus(less),
        )

    def apply(self, decisions: Iterable[Decision], now_s: float = 1.0) -> None:
        """Apply decisions; assert that each start fits now."""
        free = {each.worker.name: each.free for each in self.free_capacities()}
        for decision in decisions:
            if isinstance(decision, StartUnit):
                demand = decision.progress.step_of(decision.unit).demand
                for name in decision.workers:
                    free[name] = free[name].minus(demand)
                    assert min(free[name]) >= 0, f"{name} is too small."
            super().apply([decision], now_s)


def full_shrinking_fleet() -> tuple[ShrinkingFleet, JobProgress, str]:
    """Return a full fleet, an urgent gang and a worker claimed for it."""
    fleet = ShrinkingFleet(1, 6)
    fleet.add(NORMAL, task(1, task_count=48))
    fleet.play()
    job = fleet.add(URGENT, gang(4))
    fleet.play()
    claimed = min(s.unit.workers()[0] for s in fleet.stops_for(job))
    return fleet, job, claimed


@mark.parametrize("grows", [False, True])
def test_gang_takes_another_worker_for_a_claimed_one_that_shrinks(
    grows: bool,
) -> None:
    """Also if it grows again while other stops are under way."""
    fleet, job, claimed = full_shrinking_fleet()
    fleet.lacking = {claimed: 3}
    fleet.play()
    if grows:
        fleet.lacking = {}
    fleet.play(int(FREED_LIMIT_S / ROUND_S) + STOP_ROUNDS + 2)
    assert all_running(job)
    assert len(fleet.stops_for(job)) <= 5 * 8


def test_successor_places_no_run_on_a_worker_that_shrank_meanwhile() -> None:
    """It has no claims; its predecessor's stops are under way."""
    fleet, job, claimed = full_shrinking_fleet()
    fleet.claims = no_claims()
    fleet.lacking = {claimed: 3}
    fleet.play(int(FREED_LIMIT_S / ROUND_S) + 2 * STOP_ROUNDS + 2)
    assert all_running(job)
    assert all(claimed not in unit.workers() for unit in job.all_units())


def test_unit_that_reserves_shrunk_workers_lets_others_start() -> None:
    """It starts itself once a worker is large enough again."""
    fleet = ShrinkingFleet(1, 2)
    for worker in fleet.workers:
        fleet.run_on(fleet.add(NORMAL, task(4)), worker.name)
    whole = fleet.add(NORMAL, task(8))
    fleet.play()
    fleet.lacking = {worker.name: 2 for worker in fleet.workers}
    small = fleet.add(NORMAL, task(2))
    fleet.play(3)
    assert all_running(small)
    for progress in fleet.jobs:
        if progress is not whole:
            next(progress.all_units()).members = []
            next(progress.all_units()).done = True
    fleet.play(2)
    assert not all_running(whole)
    fleet.lacking = {}
    fleet.play(2)
    assert all_running(whole)

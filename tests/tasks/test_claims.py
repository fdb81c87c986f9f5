"""Preempted capacity is kept for the unit for which it was preempted."""

from collections import Counter
from collections.abc import Iterable

from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.claims import FREED_LIMIT_S, SILENCE_LIMIT_S
from damaskstall.tasks.model import NO_DEMAND
from damaskstall.tasks.policy import Decision, StopUnit
from damaskstall.tasks.progress import JobProgress, Unit
from tests.tasks.fleet import (
    BULK,
    NORMAL,
    URGENT,
    Fleet,
    all_running,
    task,
)
from tests.tasks.test_policy import gang

ROUND_S = 0.1
STOP_ROUNDS = 2


class SlowFleet(Fleet):
    """A fleet whose stops take some rounds, and whose workers fall silent."""

    def __init__(self, racks: int, per_rack: int) -> None:
        """Create idle workers that all answer."""
        super().__init__(racks, per_rack)
        self.now_s = 1.0
        self.silent: set[str] = set()
        # Workers that do not carry out stops.
        self.stuck: set[str] = set()
        self.stops: list[StopUnit] = []
        self._stopping: dict[int, tuple[Unit, int]] = {}

    def free_capacities(self) -> list[FreeCapacity]:
        """Return the capacity of the workers that answer."""
        stopping = dict.fromkeys(
            (each.name for each in self.workers), NO_DEMAND
        )
        for progress in self.jobs:
            for unit in progress.all_units():
                demand = progress.step_of(unit).demand
                for member in unit.members if unit.stopping else ():
                    name = member.worker
                    stopping[name] = stopping[name].plus(demand)
        found = []
        for each in super().free_capacities():
            name = each.worker.name
            if name in self.silent:
                continue
            after = each.free.plus(stopping[name])
            found.append(each._replace(free_after_stops=after))
        return found

    def apply(self, decisions: Iterable[Decision], now_s: float = 1.0) -> None:
        """Apply decisions; a stopped run ends some rounds later."""
        for decision in decisions:
            if isinstance(decision, StopUnit):
                self.stops.append(decision)
                decision.unit.stopping = True
                self._stopping[id(decision.unit)] = (
                    decision.unit,
                    STOP_ROUNDS,
                )
            else:
                super().apply([decision], now_s)

    def play(self, rounds: int = 1) -> None:
        """Play rounds of decisions, one every ``ROUND_S``."""
        for _ in range(rounds):
            for key, (unit, left) in list(self._stopping.items()):
                if any(name in self.stuck for name in unit.workers()):
                    continue
                self._stopping[key] = (unit, left - 1)
                if left <= 1:
                    unit.members = []
                    unit.stopping = False
                    del self._stopping[key]
            self.apply(self.decide(self.now_s), self.now_s)
            self.now_s += ROUND_S

    def stops_for(self, progress: JobProgress) -> list[StopUnit]:
        """Return the stops that were decided for a job."""
        return [s for s in self.stops if s.for_job == progress.job_id]


def full_fleet(racks: int, per_rack: int, queued: int) -> SlowFleet:
    """Return a fleet full of small normal runs, with more of them waiting."""
    fleet = SlowFleet(racks, per_rack)
    slots = len(fleet.workers) * 8
    fleet.add(NORMAL, task(1, task_count=slots + queued))
    fleet.play()
    return fleet


def workers_of(progress: JobProgress) -> set[str]:
    """Return the workers on which a job runs."""
    return {w for unit in progress.all_units() for w in unit.workers()}


def test_gang_stops_no_more_than_it_needs_while_workers_fall_silent() -> None:
    """Workers that miss single answers do not move the gang elsewhere."""
    fleet = full_fleet(racks=3, per_rack=4, queued=200)
    job = fleet.add(URGENT, gang(4))
    for number in range(12):
        fleet.silent = {f"w{rack}{number % 4}" for rack in range(3)}
        fleet.play()
    fleet.silent = set()
    fleet.play(3)
    assert all_running(job)
    assert len(fleet.stops_for(job)) <= 4 * 8


def test_freed_capacity_is_not_given_to_other_units() -> None:
    fleet = full_fleet(racks=2, per_rack=4, queued=200)
    job = fleet.add(URGENT, gang(4))
    fleet.play(2)
    claimed = {s.unit.workers()[0] for s in fleet.stops_for(job)}
    before = Counter(
        unit.run for unit in fleet.jobs[0].all_units() if unit.active
    )
    # One worker's stops take longer than those of the others.
    fleet.stuck = {min(claimed)}
    fleet.play(STOP_ROUNDS + 2)
    after = Counter(
        unit.run for unit in fleet.jobs[0].all_units() if unit.active
    )
    assert after.total() <= before.total()
    fleet.stuck = set()
    fleet.play(STOP_ROUNDS + 1)
    assert workers_of(job) == claimed
    assert len(fleet.stops_for(job)) == 4 * 8


def test_lost_worker_alone_is_chosen_again() -> None:
    fleet = full_fleet(racks=2, per_rack=6, queued=200)
    job = fleet.add(URGENT, gang(4))
    fleet.play(1)
    claimed = {s.unit.workers()[0] for s in fleet.stops_for(job)}
    fleet.silent = {min(claimed)}
    rounds = int(SILENCE_LIMIT_S / ROUND_S) + STOP_ROUNDS + 2
    fleet.play(rounds)
    assert all_running(job)
    assert len(fleet.stops_for(job)) == 5 * 8
    assert len(workers_of(job) & claimed) == 3


def test_capacity_that_is_not_freed_in_time_is_replaced() -> None:
    fleet = full_fleet(racks=1, per_rack=6, queued=200)
    job = fleet.add(URGENT, gang(4))
    fleet.play(1)
    claimed = {s.unit.workers()[0] for s in fleet.stops_for(job)}
    fleet.stuck = {min(claimed)}
    fleet.play(int(FREED_LIMIT_S / ROUND_S) + STOP_ROUNDS + 2)
    assert all_running(job)
    assert len(fleet.stops_for(job)) == 5 * 8


def test_claim_ends_with_its_job() -> None:
    fleet = full_fleet(racks=1, per_rack=4, queued=200)
    job = fleet.add(URGENT, gang(4))
    fleet.play(1)
    job.cancelled = True
    fleet.play(STOP_ROUNDS + 1)
    assert not fleet.claims.by_unit
    active = sum(unit.active for unit in fleet.jobs[0].all_units())
    assert active == 4 * 8


def test_guarantee_takes_capacity_that_was_freed_for_another_unit() -> None:
    fleet = full_fleet(racks=1, per_rack=4, queued=200)
    fleet.guarantees = {"blue": 32}
    other = fleet.add(URGENT, gang(4), team="red")
    fleet.play(1)
    covered = fleet.add(URGENT, gang(4), team="blue")
    fleet.play(STOP_ROUNDS + 1)
    assert all_running(covered)
    assert not all_running(other)


def test_work_preempted_for_a_unit_without_guarantee_is_limited() -> None:
    """Its workers are lost again and again before it can start there."""
    fleet = full_fleet(racks=2, per_rack=10, queued=400)
    job = fleet.add(URGENT, gang(4))
    for _ in range(12):
        fleet.play(1)
        for claim in fleet.claims.by_unit.values():
            fleet.silent.add(claim.workers[0])
        fleet.play(int(SILENCE_LIMIT_S / ROUND_S) + 1)
    assert len(fleet.stops_for(job)) <= 2 * 4 * 8 + 8


def test_claims_of_a_successor_begin_empty() -> None:
    """The runs that the predecessor was stopping are chosen again or end."""
    fleet = full_fleet(racks=1, per_rack=5, queued=200)
    job = fleet.add(URGENT, gang(4))
    fleet.play(1)
    fleet.claims = type(fleet.claims)({}, {})
    fleet.play(STOP_ROUNDS + 1)
    assert all_running(job)
    assert len(fleet.stops_for(job)) == 4 * 8


def test_bulk_units_do_not_start_on_claimed_capacity() -> None:
    fleet = SlowFleet(racks=1, per_rack=2)
    fleet.run_on(fleet.add(BULK, task(8)), "w00")
    fleet.run_on(fleet.add(BULK, task(8)), "w01")
    urgent = fleet.add(URGENT, gang(2))
    small = fleet.add(BULK, task(1, task_count=4))
    fleet.play(STOP_ROUNDS + 1)
    assert all_running(urgent)
    assert not any(unit.run for unit in small.all_units())


def test_claims_respect_the_limit_of_tasks_for_each_worker() -> None:
    """The cheapest victims of both tasks run on one worker."""
    fleet = SlowFleet(racks=1, per_rack=2)
    for worker, saves in (("w00", True), ("w01", False)):
        for _ in range(2):
            job = fleet.add(BULK, task(4, checkpoints=saves))
            fleet.run_on(job, worker)
    step = task(4, task_count=2, per_worker_limit=1)
    urgent = fleet.add(URGENT, step)
    fleet.now_s = 5.0
    fleet.play(2 * STOP_ROUNDS + 2)
    assert all_running(urgent)
    assert workers_of(urgent) == {"w00", "w01"}

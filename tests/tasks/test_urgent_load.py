"""Capacity is kept for the urgent jobs that come next."""

from collections import Counter

from damaskstall.tasks.policy import HEADROOM_S
from damaskstall.tasks.urgent_load import WINDOW_S, UrgentLoad
from tests.tasks.fleet import NORMAL, URGENT, Fleet, all_running, task
from tests.tasks.test_claims import SlowFleet

ARRIVALS = 12


def busy_fleet() -> SlowFleet:
    """Return a fleet to which urgent jobs of 8 accelerators came lately."""
    fleet = SlowFleet(racks=2, per_rack=4)
    for number in range(ARRIVALS):
        arrived_s = fleet.now_s - WINDOW_S * number / ARRIVALS
        fleet.urgent_load.record(8, arrived_s)
    return fleet


def test_expected_need_is_that_of_the_last_seconds() -> None:
    load = UrgentLoad()
    assert load.expected_accelerators(1.0, 0.0) == 0.0
    load.record(12, 0.0)
    load.record(6, 1.0)
    assert load.expected_accelerators(2.0, 1.0) == 18 * 2.0 / WINDOW_S
    assert load.expected_accelerators(2.0, WINDOW_S + 0.5) == 2.0
    assert load.expected_accelerators(2.0, 3 * WINDOW_S) == 0.0


def test_idle_capacity_is_used_when_no_urgent_job_comes() -> None:
    fleet = Fleet(racks=2, per_rack=4)
    job = fleet.add(NORMAL, task(1, task_count=64))
    fleet.decide_and_apply()
    assert all_running(job)


def test_urgent_job_of_a_stream_finds_room_without_a_stop() -> None:
    """The fleet has a backlog that would fill all of it."""
    fleet = busy_fleet()
    backlog = fleet.add(NORMAL, task(1, task_count=200))
    fleet.play()
    urgent = fleet.add(URGENT, task(8))
    fleet.play()
    assert all_running(urgent)
    assert not fleet.stops
    running = sum(unit.active for unit in backlog.all_units())
    expected = fleet.urgent_load.expected_accelerators(HEADROOM_S, 1.0)
    assert running >= 64 - expected - 8


def test_short_work_uses_the_capacity_that_is_kept() -> None:
    """It ends by the time that the next urgent jobs come."""
    fleet = busy_fleet()
    step = task(8, task_count=8)._replace(estimate_s=HEADROOM_S / 2)
    short = fleet.add(NORMAL, step)
    fleet.play()
    assert all_running(short)


def test_preemption_spreads_over_the_running_units() -> None:
    """Each urgent job would find the youngest run, always the same one."""
    fleet = SlowFleet(racks=1, per_rack=4)
    backlog = fleet.add(NORMAL, task(8, task_count=4))
    fleet.play()
    for _ in range(8):
        urgent = fleet.add(URGENT, task(8))
        fleet.play(6)
        next(urgent.all_units()).members = []
        next(urgent.all_units()).done = True
        fleet.play(6)
    starts = Counter(unit.run for unit in backlog.all_units())
    assert max(starts) <= 4


def test_endless_task_with_one_eligible_worker_ignores_the_headroom() -> None:
    fleet = busy_fleet()
    kept = fleet.workers[4]
    labels = kept.labels | {"gold"}
    fleet.workers[4] = kept._replace(labels=labels)
    endless = task(1, endless=True, required_label="gold")
    job = fleet.add(NORMAL, endless)
    fleet.play()
    assert all_running(job)


def test_endless_task_without_spare_capacity_leaves_the_headroom() -> None:
    fleet = busy_fleet()
    job = fleet.add(NORMAL, task(8, task_count=8, endless=True))
    fleet.play()
    assert not all_running(job)


def test_headroom_does_not_starve_a_unit_with_one_eligible_worker() -> None:
    fleet = Fleet(racks=1, per_rack=4)
    fleet.workers[0] = fleet.workers[0]._replace(labels=frozenset({"gold"}))
    gold = task(1, required_label="gold", estimate_s=5.0)
    job = fleet.add(NORMAL, gold)
    for tenth in range(30):
        now_s = tenth / 10
        fleet.urgent_load.record(2, now_s)
        fleet.apply(fleet.decide(now_s), now_s)
    assert all_running(job)

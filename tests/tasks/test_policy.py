"""Scheduling decisions: order, packing, preemption and reservations."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import mark

from damaskstall.tasks.model import Step
from damaskstall.tasks.policy import StartUnit, StopUnit
from damaskstall.tasks.progress import JobProgress
from tests.tasks.fleet import (
    BULK,
    NORMAL,
    URGENT,
    Fleet,
    all_running,
    task,
)


def gang(tasks: int, accelerators: int = 8, **fields: Any) -> Step:
    """Return a step that is a gang, to be placed in one rack if possible."""
    step = task(accelerators, task_count=tasks, gang=True, one_rack=True)
    return step._replace(**fields)


def test_more_urgent_queue_is_served_first() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    bulk = fleet.add(BULK, task(8))
    normal = fleet.add(NORMAL, task(8))
    fleet.decide_and_apply()
    assert all_running(normal)
    assert not all_running(bulk)


def test_tasks_of_a_step_fill_one_worker_before_the_next() -> None:
    fleet = Fleet(racks=1, per_rack=3)
    job = fleet.add(BULK, task(1, task_count=10))
    fleet.decide_and_apply()
    used = [unit.members[0].worker for unit in job.all_units()]
    assert used == ["w00"] * 8 + ["w01"] * 2


def test_tasks_without_capacity_wait_while_the_others_run() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add(BULK, task(1, task_count=10))
    fleet.decide_and_apply()
    assert sum(unit.active for unit in job.all_units()) == 8


def test_task_avoids_a_worker_where_it_failed() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    job = fleet.add(BULK, task(1, task_count=2))
    first = next(job.all_units())
    first.avoid.add("w00")
    fleet.decide_and_apply()
    assert first.members[0].worker == "w01"


def test_limit_per_worker_spreads_the_tasks_of_a_step() -> None:
    fleet = Fleet(racks=1, per_rack=3)
    job = fleet.add(BULK, task(1, task_count=6, per_worker_limit=2))
    fleet.decide_and_apply()
    used = [unit.members[0].worker for unit in job.all_units()]
    assert sorted(used) == ["w00"] * 2 + ["w01"] * 2 + ["w02"] * 2


def test_gang_runs_in_one_rack_though_others_are_fuller() -> None:
    fleet = Fleet(racks=2, per_rack=3)
    fleet.run_on(fleet.add(BULK, task(8)), "w00")
    fleet.run_on(fleet.add(BULK, task(8)), "w01")
    job = fleet.add(NORMAL, gang(2))
    fleet.decide_and_apply()
    assert fleet.racks_of(job) == {"r1-0"}


def test_urgent_job_preempts_the_run_that_loses_least() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    uncheckpointed = fleet.add(BULK, task(8))
    checkpointed = fleet.add(BULK, task(8, checkpoints=True))
    fleet.run_on(uncheckpointed, "w00")
    fleet.run_on(checkpointed, "w01")
    urgent = fleet.add(URGENT, task(8))
    decisions = fleet.decide(now_s=5.0)
    assert [type(each) for each in decisions] == [StopUnit]
    assert decisions[0].progress is checkpointed
    fleet.apply(decisions)
    fleet.decide_and_apply(1)
    assert all_running(urgent)
    assert all_running(uncheckpointed)


def test_urgent_job_within_its_guarantee_preempts_one_beyond() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    beyond = fleet.add(URGENT, task(8), team="red")
    fleet.run_on(beyond, "w00")
    fleet.guarantees = {"blue": 8}
    within = fleet.add(URGENT, task(8), team="blue")
    fleet.decide_and_apply()
    assert all_running(within)


def test_guaranteed_gang_spans_racks_where_no_rack_can_be_cleared() -> None:
    """A slower gang across racks is better than one that never starts."""
    fleet = Fleet(racks=2, per_rack=2)
    fleet.guarantees = {"red": 16, "blue": 16}
    for worker in ("w00", "w10"):
        fleet.run_on(fleet.add(URGENT, task(8), team="red"), worker)
    job = fleet.add(URGENT, gang(2), team="blue")
    fleet.decide_and_apply()
    assert all_running(job)
    assert fleet.racks_of(job) == {"r0-0", "r1-0"}


def running_bulk_job(fleet: Fleet, worker: str, left_s: float) -> JobProgress:
    """Return a running job whose pace gives it ``left_s`` until its end."""
    job = fleet.add(BULK, task(8))
    fleet.run_on(job, worker)
    pace = next(job.all_units()).members[0].pace
    pace.record(0.0, 0.0)
    pace.record(100.0 / (1.0 + left_s), 1.0)
    return job


def test_urgent_job_waits_for_a_run_that_ends_soon() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    running_bulk_job(fleet, "w00", left_s=0.5)
    running_bulk_job(fleet, "w01", left_s=5.0)
    job = fleet.add(URGENT, task(8))
    job.first_due_s = 1.0
    assert not fleet.decide(now_s=1.0)


def test_urgent_job_does_not_wait_for_a_run_that_ends_late() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    running_bulk_job(fleet, "w00", left_s=1.5)
    running_bulk_job(fleet, "w01", left_s=5.0)
    job = fleet.add(URGENT, task(8))
    job.first_due_s = 1.0
    assert [type(each) for each in fleet.decide(now_s=1.0)] == [StopUnit]


def test_urgent_job_that_has_waited_long_preempts_at_once() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    running_bulk_job(fleet, "w00", left_s=0.5)
    job = fleet.add(URGENT, task(8))
    job.first_due_s = -0.1
    assert [type(each) for each in fleet.decide(now_s=1.0)] == [StopUnit]


def test_expected_capacity_is_reserved_for_the_waiting_job() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add(BULK, task(4))
    fleet.run_on(job, "w00")
    pace = next(job.all_units()).members[0].pace
    pace.record(0.0, 0.0)
    pace.record(80.0, 1.0)
    urgent = fleet.add(URGENT, task(8))
    urgent.first_due_s = 1.0
    other = fleet.add(BULK, task(4))
    assert not fleet.decide(now_s=1.0)
    assert not all_running(other)


ACCELERATOR_COUNTS = st.sampled_from([1, 2, 4, 8])
TASK_COUNTS = st.integers(min_value=1, max_value=6)


@st.composite
def crowded_fleets(draw: st.DrawFn) -> tuple[Fleet, list[JobProgress]]:
    """Return a crowded fleet, and waiting jobs covered by guarantees."""
    fleet = Fleet(racks=2, per_rack=3)
    for _ in range(draw(st.integers(min_value=4, max_value=14))):
        name = draw(st.sampled_from([URGENT, NORMAL, BULK]))
        step = task(
            draw(ACCELERATOR_COUNTS),
            task_count=draw(TASK_COUNTS),
            gang=draw(st.booleans()),
            one_rack=draw(st.booleans()),
            checkpoints=draw(st.booleans()),
        )
        fleet.add(name, step, team="guest")
    fleet.decide_and_apply(1)
    covered = []
    left = 48
    for team in ("blue", "red", "green"):
        accelerators, tasks = draw(ACCELERATOR_COUNTS), draw(TASK_COUNTS)
        needed = accelerators * tasks
        if needed > left:
            continue
        left -= needed
        fleet.guarantees[team] = needed
        step = gang(tasks, accelerators, one_rack=draw(st.booleans()))
        covered.append(fleet.add(URGENT, step, team=team))
    return fleet, covered


@settings(max_examples=300, deadline=None, derandomize=True)
@given(crowded_fleets())
def test_every_guaranteed_job_is_placed_at_once(
    crowd: tuple[Fleet, list[JobProgress]],
) -> None:
    """Guarantees hold however other teams fragment the capacity."""
    fleet, covered = crowd
    # By now no covered job may still wait for other runs to end by themselves.
    fleet.decide_and_apply(4, now_s=2.0)
    for job in covered:
        assert all_running(job)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(crowded_fleets())
def test_runs_are_preempted_for_urgent_jobs_only(
    crowd: tuple[Fleet, list[JobProgress]],
) -> None:
    fleet, _ = crowd
    by_id = {job.job_id: job for job in fleet.jobs}
    for decision in fleet.decide():
        if isinstance(decision, StartUnit):
            continue
        assert by_id[decision.for_job].job.queue == URGENT
        assert decision.progress.job.team == "guest"


def test_no_run_is_stopped_that_need_not_be() -> None:
    """The run of eight accelerators alone frees enough for the job."""
    fleet = Fleet(racks=1, per_rack=1)
    small = fleet.add(BULK, task(1, checkpoints=True))
    fleet.run_on(small, "w00")
    large = fleet.add(BULK, task(7))
    fleet.run_on(large, "w00")
    fleet.add(URGENT, task(7))
    decisions = fleet.decide(now_s=5.0)
    assert [each.progress for each in decisions] == [large]


def test_reservation_does_not_rely_on_the_end_of_an_endless_run() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    fleet.run_on(fleet.add(NORMAL, task(1, endless=True)), "w00")
    fleet.add(NORMAL, gang(2))
    small = fleet.add(BULK, task(1))
    fleet.decide_and_apply()
    assert all_running(small)


def test_reservation_does_not_rely_on_the_end_of_an_overdue_run() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    fleet.run_on(fleet.add(NORMAL, task(1)), "w00")
    fleet.add(NORMAL, gang(2))
    small = fleet.add(BULK, task(1))
    small.first_due_s = 2.0
    fleet.decide_and_apply(now_s=3.9)
    assert not all_running(small)
    fleet.decide_and_apply(now_s=4.1)
    assert all_running(small)


def test_reservation_on_a_fleet_mostly_free_lasts_at_most_two_seconds() -> (
    None
):
    fleet = Fleet(racks=1, per_rack=4)
    fleet.run_on(fleet.add(NORMAL, task(1, estimate_s=40.0)), "w00")
    fleet.add(NORMAL, gang(4, estimate_s=60.0))
    small = fleet.add(BULK, task(1, estimate_s=50.0))
    fleet.decide_and_apply()
    assert all_running(small)


def test_reservation_on_a_busy_fleet_lasts_up_to_the_units_run_time() -> None:
    fleet = Fleet(racks=1, per_rack=4)
    for number in range(4):
        running = fleet.add(NORMAL, task(5, estimate_s=40.0))
        fleet.run_on(running, f"w0{number}")
    fleet.add(NORMAL, gang(4, estimate_s=60.0))
    small = fleet.add(BULK, task(1, estimate_s=50.0))
    fleet.decide_and_apply()
    assert not all_running(small)


@mark.parametrize("queue", [URGENT, NORMAL])
def test_gang_spans_racks_if_none_becomes_free(queue: str) -> None:
    fleet = Fleet(racks=2, per_rack=2)
    for worker in ("w00", "w10"):
        fleet.run_on(fleet.add(NORMAL, task(1, endless=True)), worker)
    job = fleet.add(queue, gang(2))
    fleet.decide_and_apply()
    assert fleet.racks_of(job) == {"r0-0", "r1-0"}


def test_gang_waits_for_a_rack_that_becomes_free_soon() -> None:
    fleet = Fleet(racks=2, per_rack=2)
    for worker in ("w00", "w10"):
        fleet.run_on(fleet.add(NORMAL, task(1)), worker)
    job = fleet.add(NORMAL, gang(2))
    fleet.decide_and_apply()
    assert not all_running(job)

"""A unit runs nowhere else while a start of an earlier run may be late."""

from typing import Any

from pytest import mark

from damaskstall.tasks.earlier_starts import (
    REPEAT_LIMIT,
    EarlierStarts,
    OpenStart,
)
from damaskstall.tasks.expected_runs import ALWAYS_S
from damaskstall.tasks.job_rows import encode_progress, restore_progress
from damaskstall.tasks.late_starts import LateStarts
from damaskstall.tasks.policy import StartUnit
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.worker_lease import LATE_COMMAND_LIMIT_S
from tests.tasks.fleet import NORMAL, Fleet, task
from tests.tasks.session_fakes import run_key

NOW_S = 10.0
UNTIL_S = 20.0
KEY = run_key(0)


def ended_unit(fleet: Fleet, *workers: str, **step: Any) -> Unit:
    """Return a unit whose first run on workers has ended, but not a start.

    The start of its first task is open.
    """
    job = fleet.add(NORMAL, task(8, **step))
    fleet.run_on(job, *workers)
    unit = next(job.all_units())
    unit.members = []
    unit.earlier_starts.add(OpenStart(0, workers[0], 1), UNTIL_S)
    return unit


def started_workers(fleet: Fleet, now_s: float) -> list[list[str]]:
    """Return the workers of each unit that starts at a time."""
    return [
        decision.workers
        for decision in fleet.decide(now_s)
        if isinstance(decision, StartUnit)
    ]


def test_unit_starts_again_on_the_worker_of_its_open_start() -> None:
    fleet = Fleet(1, 3)
    ended_unit(fleet, "w01")
    assert started_workers(fleet, NOW_S) == [["w01"]]


def test_only_the_task_of_an_open_start_stays_on_its_worker() -> None:
    """The worker of the other task is in use."""
    fleet = Fleet(2, 2)
    unit = ended_unit(fleet, "w10", "w01", gang=True, task_count=2)
    fleet.run_on(fleet.add(NORMAL, task(8)), "w01")
    ((first, second),) = started_workers(fleet, NOW_S)
    assert unit.earlier_starts.listed() == [OpenStart(0, "w10", 1)]
    assert first == "w10"
    assert second in ("w00", "w11")


def test_gang_in_one_rack_stays_in_the_rack_of_its_open_start() -> None:
    fleet = Fleet(2, 2)
    ended_unit(fleet, "w10", "w11", gang=True, task_count=2, one_rack=True)
    assert started_workers(fleet, NOW_S) == [["w10", "w11"]]
    fleet.run_on(fleet.add(NORMAL, task(8)), "w11")
    assert started_workers(fleet, NOW_S) == []


def test_gang_with_a_limit_for_each_worker_keeps_to_it() -> None:
    fleet = Fleet(1, 2)
    step = {"gang": True, "task_count": 2, "per_worker_limit": 1}
    job = fleet.add(NORMAL, task(1, **step))
    unit = next(job.all_units())
    unit.earlier_starts.add(OpenStart(1, "w01", 1), UNTIL_S)
    assert started_workers(fleet, NOW_S) == [["w00", "w01"]]


def test_unit_waits_if_its_worker_is_in_use_until_the_start_is_too_old() -> (
    None
):
    fleet = Fleet(1, 3)
    ended_unit(fleet, "w01")
    fleet.run_on(fleet.add(NORMAL, task(8)), "w01")
    assert started_workers(fleet, NOW_S) == []
    assert len(started_workers(fleet, UNTIL_S)) == 1


def test_unit_that_waits_for_a_start_holds_up_no_other() -> None:
    fleet = Fleet(1, 3)
    ended_unit(fleet, "w01", task_count=3)
    fleet.run_on(fleet.add(NORMAL, task(8)), "w01")
    assert sorted(started_workers(fleet, NOW_S)) == [["w00"], ["w02"]]


def test_unit_does_not_start_again_on_a_worker_to_avoid() -> None:
    fleet = Fleet(1, 3)
    ended_unit(fleet, "w01").avoid.add("w01")
    assert started_workers(fleet, NOW_S) == []


def test_runs_in_a_row_on_the_same_worker_are_limited() -> None:
    starts = EarlierStarts()
    starts.begin_run(NOW_S)
    for run in range(1, REPEAT_LIMIT + 1):
        starts.add(OpenStart(0, "w00", run), UNTIL_S)
        assert starts.bound_workers(NOW_S) == {0: "w00"}
        starts.begin_run(NOW_S)
    starts.add(OpenStart(0, "w00", REPEAT_LIMIT + 1), UNTIL_S)
    assert not starts.bound_workers(NOW_S)


def test_starts_on_several_workers_leave_no_worker_to_repeat() -> None:
    starts = EarlierStarts()
    starts.add(OpenStart(0, "w00", 1), UNTIL_S)
    starts.add(OpenStart(0, "w01", 2), UNTIL_S)
    assert not starts.bound_workers(NOW_S)


def test_start_of_a_task_that_the_unit_lacks_starts_nothing() -> None:
    fleet = Fleet(1, 3)
    unit = ended_unit(fleet, "w01")
    unit.earlier_starts.settle(OpenStart(0, "w01", 1))
    unit.earlier_starts.add(OpenStart(7, "w01", 1), UNTIL_S)
    assert started_workers(fleet, NOW_S) == []


def test_starts_on_a_worker_that_is_gone_are_forgotten() -> None:
    starts = EarlierStarts()
    starts.add(OpenStart(0, "w00", 1), UNTIL_S)
    starts.forget_worker("w00")
    assert not starts.are_open(NOW_S)


def test_row_keeps_the_open_starts_of_units_that_are_not_done() -> None:
    job = Fleet(1, 1).add(NORMAL, task(1, task_count=2))
    for unit in job.all_units():
        unit.run = 1
        unit.earlier_starts.add(OpenStart(0, "w00", 1), UNTIL_S)
    unit.done = True
    read = JobProgress(job.job, 1, 0.0)
    restore_progress(read, encode_progress(job), NOW_S)
    first, second = (unit.earlier_starts for unit in read.all_units())
    assert first.listed() == [OpenStart(0, "w00", 1)]
    assert first.until_s() >= NOW_S + LATE_COMMAND_LIMIT_S
    assert not second.listed()


def test_row_of_an_earlier_version_has_no_open_starts() -> None:
    job = Fleet(1, 1).add(NORMAL, task(1))
    value = encode_progress(job)
    value["steps"] = [fields[:5] for fields in value["steps"]]
    restore_progress(job, value, NOW_S)
    assert not next(job.all_units()).earlier_starts.listed()


@mark.parametrize(
    ("unanswered", "answered", "is_open"),
    [(1, False, False), (2, False, True), (1, True, True), (0, True, False)],
)
def test_listed_run_was_begun_by_one_of_its_starts(
    unanswered: int, answered: bool, is_open: bool
) -> None:
    starts = LateStarts(0.0)
    for _ in range(unanswered):
        starts.begin(KEY, NOW_S)
        starts.leave_open(KEY, NOW_S)
    if answered:
        starts.begin(KEY, NOW_S)
        starts.settle(KEY, answered=True)
    starts.record_listed(KEY)
    assert (starts.until(KEY) > NOW_S) == is_open


def test_starts_of_an_adopted_run_stay_open_when_it_is_listed() -> None:
    starts = LateStarts(0.0)
    starts.adopt(KEY, NOW_S)
    starts.record_listed(KEY)
    assert starts.until(KEY) == NOW_S + LATE_COMMAND_LIMIT_S


def test_refused_start_is_not_open() -> None:
    starts = LateStarts(0.0)
    starts.begin(KEY, NOW_S)
    starts.settle(KEY, answered=False)
    assert starts.until(KEY) == ALWAYS_S

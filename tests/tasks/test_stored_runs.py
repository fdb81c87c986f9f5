"""Runs that another holder has stored replace unstored ones in memory."""

from typing import Any

from damaskstall.platform.types import Value
from damaskstall.tasks.job_rows import restore_progress
from damaskstall.tasks.model import RUNNING, Demand, Step
from damaskstall.tasks.progress import (
    ENDED_LAPSED,
    ENDED_NOT_STARTED,
    JobProgress,
    Unit,
)
from damaskstall.tasks.stored_runs import adopt_stored_runs
from tests.tasks.test_rows import accepted

ATTEMPT_LIMIT = 3
NO_MEMBERS: list[Any] = []


class CountedRuns:
    """Counter of runs that records which are counted, by unit."""

    def __init__(self) -> None:
        """Start without runs."""
        self.workers: dict[tuple[int, int], list[str]] = {}

    def adopt(self, progress: JobProgress, unit: Unit) -> None:
        """Count the runs of a unit."""
        key = (unit.step, unit.first_index)
        self.workers[key] = [member.worker for member in unit.members]

    def release(self, progress: JobProgress, unit: Unit) -> None:
        """Stop counting a unit's runs."""
        self.workers.pop((unit.step, unit.first_index), None)


def one_unit(run: int = 0, worker: str = "w1") -> tuple[JobProgress, Unit]:
    """Return a job with one unit, read from the row with an active run."""
    progress = JobProgress(accepted(Step(1, Demand(1, 1, 1), 1.0)), 1, 0.0)
    if run:
        restore_progress(progress, row_value(run, [[worker, 1, ""]]), 0.0)
    return progress, next(progress.all_units())


def row_value(
    run: int, members: list[Any], failures: int = 0, failed_run: int = 0
) -> Value:
    """Return the row's value of a job with one unit that has runs."""
    unit = [run, failures, failed_run, "", [], members]
    return {"state": RUNNING, "queue": "q", "steps": [["0", {"0": unit}]]}


def begin_unstored_run(
    progress: JobProgress, unit: Unit, counted: CountedRuns
) -> None:
    """Begin a run of which nothing is stored."""
    progress.begin_run(unit, [("w2", 1)], 0.0)
    counted.adopt(progress, unit)


def test_stored_run_below_the_number_in_memory_is_adopted() -> None:
    """Numbers in memory may belong to runs that were never launched."""
    progress, unit = one_unit()
    counted = CountedRuns()
    begin_unstored_run(progress, unit, counted)
    progress.end_member(unit, 0, ENDED_NOT_STARTED, ATTEMPT_LIMIT)
    begin_unstored_run(progress, unit, counted)
    value = row_value(1, [["w1", 1, ""]])
    adopt_stored_runs(progress, value, counted, 0.0)
    assert unit.run == 1
    assert counted.workers == {(0, 0): ["w1"]}


def test_number_and_failures_of_an_ended_stored_run_are_kept() -> None:
    progress, unit = one_unit()
    counted = CountedRuns()
    begin_unstored_run(progress, unit, counted)
    value = row_value(1, NO_MEMBERS, failures=1, failed_run=1)
    adopt_stored_runs(progress, value, counted, 0.0)
    assert (unit.run, unit.failures, unit.failed_run) == (1, 1, 1)
    assert not unit.active
    assert not counted.workers


def test_run_that_was_read_and_has_ended_is_not_adopted_again() -> None:
    progress, unit = one_unit(run=4)
    progress.end_member(unit, 0, ENDED_LAPSED, ATTEMPT_LIMIT)
    counted = CountedRuns()
    value = row_value(4, [["w1", 1, ""]])
    adopt_stored_runs(progress, value, counted, 0.0)
    assert not unit.active
    assert not counted.workers


def test_unstored_run_survives_a_row_without_newer_runs() -> None:
    progress, unit = one_unit(run=4)
    progress.end_member(unit, 0, ENDED_LAPSED, ATTEMPT_LIMIT)
    counted = CountedRuns()
    begin_unstored_run(progress, unit, counted)
    adopt_stored_runs(progress, row_value(4, NO_MEMBERS), counted, 0.0)
    assert unit.run == 5
    assert counted.workers == {(0, 0): ["w2"]}

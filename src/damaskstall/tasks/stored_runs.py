"""Merge the runs that another process has written to a job's row."""

from typing import Protocol

from damaskstall.platform.types import Value
from damaskstall.tasks.job_rows import restore_progress
from damaskstall.tasks.progress import JobProgress, Unit


class RunCounter(Protocol):
    """Counts the runs of units on their workers."""

    def adopt(self, progress: JobProgress, unit: Unit) -> None:
        """Count the runs of a unit that an earlier holder placed."""

    def release(self, progress: JobProgress, unit: Unit) -> None:
        """Stop counting a unit's runs on their workers."""


def adopt_stored_runs(
    progress: JobProgress, value: Value, counter: RunCounter, now_s: float
) -> None:
    """Adopt an earlier holder's runs that are newer than those known."""
    other = JobProgress(progress.job, progress.revision, 0.0)
    restore_progress(other, value, now_s)
    pairs = zip(progress.all_units(), other.all_units(), strict=True)
    for unit, stored in pairs:
        if stored.done and not unit.done:
            unit.done = True
        if stored.run < unit.run or not stored.active or unit.done:
            continue
        if stored.run == unit.run and unit.stored_run == unit.run:
            continue
        counter.release(progress, unit)
        unit.run = stored.run
        unit.stored_run = stored.run
        unit.members = stored.members
        unit.failures = max(unit.failures, stored.failures)
        counter.adopt(progress, unit)

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
    """Adopt the units whose runs in a row's value are newer than those known.

    A run is launched only once it is stored, so the unstored runs of such a
    unit are forgotten, and their numbers are used again.
    """
    other = JobProgress(progress.job, progress.revision, 0.0)
    restore_progress(other, value, now_s)
    pairs = zip(progress.all_units(), other.all_units(), strict=True)
    for unit, stored in pairs:
        unit.done = unit.done or stored.done
        unit.has_begun = unit.has_begun or stored.has_begun
        unit.earlier_starts.merge(stored.earlier_starts)
        for position, record in stored.crash_records.items():
            progress.add_crashes(unit, position, record)
        if stored.failed_run > unit.failed_run:
            unit.failed_run = stored.failed_run
            unit.failures = max(unit.failures, stored.failures)
        if stored.run > unit.stored_run:
            counter.release(progress, unit)
            adopt_unit(unit, stored)
            if unit.active:
                counter.adopt(progress, unit)


def forget_unstored_runs(progress: JobProgress, counter: RunCounter) -> None:
    """Forget the runs that are not stored, which were not launched."""
    for unit in progress.all_units():
        if unit.run > unit.stored_run:
            counter.release(progress, unit)
            unit.members = []
            unit.stopping = False


def adopt_unit(unit: Unit, stored: Unit) -> None:
    """Replace the present run of a unit by the stored one."""
    unit.run = stored.run
    unit.stored_run = stored.run
    unit.adopted_run = stored.run
    unit.members = stored.members
    unit.stopping = False
    unit.started_s = stored.started_s
    unit.avoid |= stored.avoid
    if stored.checkpoint:
        unit.checkpoint = stored.checkpoint

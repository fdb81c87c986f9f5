"""Report runs that have been neither reported nor ended for a while.

A run that waits for its worker, for the store or for the end of a lease looks
the same in the log as one that is at work. This module tells them apart.
"""

from collections.abc import Collection, Iterator
from typing import NamedTuple

from damaskstall.tasks.metrics import NO_LABELS, RUNS_OVERDUE
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.progress import JobProgress, Member, Unit
from damaskstall.tasks.run_log import log_run_overdue
from damaskstall.tasks.run_obstacles import RunStatus

# Workers report their runs twice a second. The limit is above the time in
# which a late command or a short partition resolves itself.
REPORT_LIMIT_S = 5.0
# After a partition many runs are overdue at once; the gauge has their number.
LINES_PER_CHECK = 10


class OverdueRun(NamedTuple):
    """A run without a report or an end, and for how long."""

    unit: Unit
    member: Member
    silent_s: float


class OverdueRuns:
    """The runs that are overdue; logs each of them once."""

    def __init__(self, status: RunStatus) -> None:
        """Start without any overdue run."""
        self.status = status
        self._logged: set[RunKey] = set()

    def check(self, jobs: Collection[JobProgress], now_s: float) -> None:
        """Update the metric from all runs, and log new cases."""
        overdue = dict(find_overdue(jobs, now_s))
        RUNS_OVERDUE.set(NO_LABELS, len(overdue))
        self._logged &= overdue.keys()
        new = [key for key in overdue if key not in self._logged]
        for key in new[:LINES_PER_CHECK]:
            self._logged.add(key)
            run = overdue[key]
            obstacle = self.status.run_obstacle(
                key, run.unit, run.member, now_s
            )
            log_run_overdue(key, run.member, run.silent_s, obstacle)


def find_overdue(
    jobs: Collection[JobProgress], now_s: float
) -> Iterator[tuple[RunKey, OverdueRun]]:
    """Yield each run that was last reported too long ago."""
    for progress in jobs:
        for unit in progress.all_units():
            for position, member in enumerate(unit.members):
                silent_s = now_s - reported_s(unit, member)
                if not member.ended and silent_s >= REPORT_LIMIT_S:
                    key = progress.run_key(unit, position)
                    yield key, OverdueRun(unit, member, silent_s)


def reported_s(unit: Unit, member: Member) -> float:
    """Return when a run was last reported, or else when it was placed."""
    latest_s = member.pace.reported_s
    return unit.started_s if latest_s is None else latest_s

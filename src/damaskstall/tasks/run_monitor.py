"""Monitor running units and find those to restart on other workers."""

from collections.abc import Collection, Iterator
from typing import NamedTuple, Protocol

from damaskstall.tasks.drain_policy import should_move
from damaskstall.tasks.overdue_runs import OverdueRuns
from damaskstall.tasks.progress import JobProgress, Member, Unit
from damaskstall.tasks.run_obstacles import RunStatus
from damaskstall.tasks.run_time_estimator import RunTimeEstimator
from damaskstall.tasks.slowness import (
    find_slowdowns,
    should_restart,
    slow_workers,
)
from damaskstall.tasks.stalls import stalled_members

# Workers report progress twice a second, so checking much more often shows
# nothing new.
CHECK_INTERVAL_S = 0.2


class StopRun(NamedTuple):
    """Decision to stop a run so that it resumes or restarts elsewhere."""

    progress: JobProgress
    unit: Unit
    reason: str


class WorkerStatus(RunStatus, Protocol):
    """State of the workers, with reports of suspected faults."""

    def is_reachable(self, worker: str) -> bool:
        """Return whether a worker is reachable."""

    def leaving_workers(self) -> dict[str, float]:
        """Return the draining workers with the seconds until they leave."""

    def suspect_stalled(self, unit: Unit, members: list[Member]) -> None:
        """Let workers with stalled members back off."""

    def suspect_slow(self, workers: set[str]) -> set[str]:
        """Exclude slow workers from starts; return those in backoff."""


class RunMonitor:
    """Periodic check of all running units."""

    def __init__(
        self, workers: WorkerStatus, estimator: RunTimeEstimator
    ) -> None:
        """Monitor the units on ``workers``."""
        self.workers = workers
        self.estimator = estimator
        self.overdue = OverdueRuns(workers)
        self._checked_s = float("-inf")

    def find_stops(
        self, jobs: Collection[JobProgress], now_s: float
    ) -> list[StopRun]:
        """Return the runs to stop, or none if the last check is recent."""
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return []
        self._checked_s = now_s
        self.overdue.check(jobs, now_s)
        return [
            *self._find_stalled(jobs, now_s),
            *self._find_leaving(jobs, now_s),
            *self._find_slow(jobs, now_s),
        ]

    def _find_stalled(
        self, jobs: Collection[JobProgress], now_s: float
    ) -> Iterator[StopRun]:
        """Yield stalled runs, and report their workers as suspect."""
        for progress in jobs:
            for unit in progress.all_units():
                step = progress.step_of(unit)
                if step.endless or not unit.active:
                    continue
                for member in unit.members:
                    if not self.workers.is_reachable(member.worker):
                        member.pace.record_unreachable(now_s)
                queue = progress.job.queue
                expected_s = self.estimator.task_run_time_s(queue, step)
                members = stalled_members(unit, expected_s, now_s)
                if members:
                    self.workers.suspect_stalled(unit, members)
                    yield StopRun(progress, unit, "the run makes no progress")

    def _find_leaving(
        self, jobs: Collection[JobProgress], now_s: float
    ) -> Iterator[StopRun]:
        """Yield runs to move off workers that leave."""
        leaving = self.workers.leaving_workers()
        if not leaving:
            return
        for progress in jobs:
            for unit in progress.all_units():
                times_left_s = [
                    leaving[w] for w in unit.workers() if w in leaving
                ]
                step = progress.step_of(unit)
                if times_left_s and should_move(
                    unit, step, min(times_left_s), now_s
                ):
                    reason = f"a worker leaves in {min(times_left_s):.1f} s"
                    yield StopRun(progress, unit, reason)

    def _find_slow(
        self, jobs: Collection[JobProgress], now_s: float
    ) -> Iterator[StopRun]:
        """Yield slow runs that would finish sooner on another worker."""
        slowdowns = find_slowdowns(jobs, now_s)
        in_backoff = self.workers.suspect_slow(slow_workers(slowdowns))
        if not in_backoff:
            return
        for each in slowdowns:
            step = each.progress.step_of(each.unit)
            slow = each.member.worker in in_backoff
            if slow and should_restart(each, step):
                reason = (
                    f"the run is {each.factor:.1f} times slower than normal"
                )
                yield StopRun(each.progress, each.unit, reason)

"""Estimate the run times of tasks from declared and observed times.

Declared run times are often far off, by a similar factor for all jobs of a
queue. So each queue's ratio of actual to declared time is learned from the
tasks that complete.
"""

from math import exp, log

from damaskstall.tasks.model import Queue, Step
from damaskstall.tasks.progress import JobProgress

MIN_RUN_TIME_S = 0.05
# Weight of a new sample in the moving average: about the last ten samples
# count.
SMOOTHING_FACTOR = 0.1
# A sample that is off by a larger factor indicates a slow worker, not a
# property of the queue.
RATIO_LIMIT = 8.0


class RunTimeEstimator:
    """Learns each queue's ratio of actual to declared run times."""

    def __init__(self) -> None:
        """Start with a ratio of 1 for each queue."""
        self._log_factor: dict[str, float] = {}
        self._factor: dict[str, float] = {}

    def record_run_time(
        self, queue: str, declared_s: float, ran_s: float
    ) -> None:
        """Record the run time of a completed task."""
        ratio = max(ran_s, MIN_RUN_TIME_S) / max(declared_s, MIN_RUN_TIME_S)
        ratio = min(max(ratio, 1 / RATIO_LIMIT), RATIO_LIMIT)
        log_ratio = self._log_factor.get(queue, 0.0)
        self._log_factor[queue] = log_ratio + SMOOTHING_FACTOR * (
            log(ratio) - log_ratio
        )
        self._factor[queue] = exp(self._log_factor[queue])

    def task_run_time_s(self, queue: str, step: Step) -> float:
        """Return the expected run time of a step's tasks, in seconds."""
        factor = self._factor.get(queue, 1.0)
        return max(step.estimate_s, MIN_RUN_TIME_S) * factor

    def critical_path_s(
        self, progress: JobProgress, occurrence: int, only_remaining: bool
    ) -> float:
        """Return the length of a job's critical path in seconds.

        With ``only_remaining``, steps that are done count as 0 s.
        """
        ends_s: list[float] = []
        for number, step in enumerate(progress.job.declaration.steps):
            start_s = max(ends_s[n] for n in step.after) if step.after else 0.0
            is_done = only_remaining and progress.step_done(occurrence, number)
            duration_s = (
                0.0
                if is_done
                else self.task_run_time_s(progress.job.queue, step)
            )
            ends_s.append(start_s + duration_s)
        return max(ends_s)

    def remaining_s(self, progress: JobProgress, occurrence: int) -> float:
        """Return the length of the critical path of unfinished steps."""
        return self.critical_path_s(progress, occurrence, only_remaining=True)

    def objective_s(self, progress: JobProgress, queue: Queue) -> float:
        """Return the time within which a job should complete."""
        critical_path_s = self.critical_path_s(
            progress, 0, only_remaining=False
        )
        return queue.stretch * critical_path_s + queue.objective_s

    def remaining_core_s(
        self, progress: JobProgress, occurrence: int
    ) -> float:
        """Return the remaining work in core-seconds, accelerators included."""
        total = 0.0
        for number, step in enumerate(progress.job.declaration.steps):
            units = progress.units_of(occurrence, number)
            remaining_units = sum(not unit.done for unit in units)
            seconds = self.task_run_time_s(progress.job.queue, step)
            total += (
                remaining_units * step.unit_size * step.demand.cores * seconds
            )
        return total

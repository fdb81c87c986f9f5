"""Expect how long tasks run, from their declared times and what was seen.

Declared run times are often far off, and alike for the jobs of one queue.
So each queue's ratio of real to declared time is learned from its ends.
"""

from math import exp, log

from damaskstall.tasks.model import Queue, Step
from damaskstall.tasks.progress import JobProgress

SHORTEST_S = 0.05
# Weight of one more end against all before: about the last ten count.
NEW_SHARE = 0.1
# One end that is off by more tells of a slow worker, not of the queue.
FACTOR_LIMIT = 8.0


class Expectations:
    """Learn per queue how far declared run times are off."""

    def __init__(self) -> None:
        """Take declarations at their word."""
        self._log_factor: dict[str, float] = {}

    def learn(self, queue: str, declared_s: float, ran_s: float) -> None:
        """Take in the run time of a task that is done."""
        ratio = max(ran_s, SHORTEST_S) / max(declared_s, SHORTEST_S)
        ratio = min(max(ratio, 1 / FACTOR_LIMIT), FACTOR_LIMIT)
        known = self._log_factor.get(queue, 0.0)
        self._log_factor[queue] = known + NEW_SHARE * (log(ratio) - known)

    def step_s(self, queue: str, step: Step) -> float:
        """Return the run time to expect of a step's tasks, in seconds."""
        factor = exp(self._log_factor.get(queue, 0.0))
        return max(step.estimate_s, SHORTEST_S) * factor

    def chain_s(
        self, progress: JobProgress, occurrence: int, only_left: bool
    ) -> float:
        """Return the longest chain of steps, whole or what is left of it."""
        ends_s: list[float] = []
        for number, step in enumerate(progress.job.declaration.steps):
            begins_s = max((ends_s[n] for n in step.after), default=0.0)
            over = only_left and progress.step_done(occurrence, number)
            own_s = 0.0 if over else self.step_s(progress.job.queue, step)
            ends_s.append(begins_s + own_s)
        return max(ends_s)

    def left_s(self, progress: JobProgress, occurrence: int) -> float:
        """Return the longest chain of steps that are not done."""
        return self.chain_s(progress, occurrence, only_left=True)

    def objective_s(self, progress: JobProgress, queue: Queue) -> float:
        """Return the time within which a job should be over."""
        chain_s = self.chain_s(progress, 0, only_left=False)
        return queue.stretch * chain_s + queue.objective_s

    def left_core_s(self, progress: JobProgress, occurrence: int) -> float:
        """Return the work left in core-seconds, accelerators included."""
        total = 0.0
        for number, step in enumerate(progress.job.declaration.steps):
            units = progress.units_of(occurrence, number)
            left = sum(not unit.done for unit in units)
            seconds = self.step_s(progress.job.queue, step)
            total += left * step.unit_size * step.demand.cores * seconds
        return total

"""Predict how many accelerators the next urgent jobs need."""

from collections import deque
from typing import NamedTuple

from damaskstall.tasks.model import URGENT_PRIORITY, JobDeclaration

# Urgent jobs of this time are counted. It is longer than the waves in which
# they come, and shorter than changes of the load.
WINDOW_S = 6.0


class Arrival(NamedTuple):
    """An urgent job's arrival, and the accelerators of its first steps."""

    arrived_s: float
    accelerators: int


class UrgentLoad:
    """The urgent jobs that arrived over the last seconds."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._arrivals: deque[Arrival] = deque()

    def record_job(
        self, declaration: JobDeclaration, priority: int, now_s: float
    ) -> None:
        """Record a new job's first step, unless the job is not urgent."""
        if priority != URGENT_PRIORITY:
            return
        step = declaration.steps[0]
        self.record(step.task_count * step.demand.accelerators, now_s)

    def record(self, accelerators: int, now_s: float) -> None:
        """Record the arrival of an urgent job."""
        self._arrivals.append(Arrival(now_s, accelerators))

    def expected_accelerators(self, within_s: float, now_s: float) -> float:
        """Return the mean need of the urgent jobs that come ``within_s``."""
        while self._arrivals and (
            now_s - self._arrivals[0].arrived_s > WINDOW_S
        ):
            self._arrivals.popleft()
        total = sum(each.accelerators for each in self._arrivals)
        return total * within_s / WINDOW_S

"""Track the pace of one task's run from the percentages its worker reports.

The pace is the progress in percent per second. Each member of a gang has its
own pace, which depends on its worker; the gang is done when its slowest
member is.
"""

from collections import deque
from typing import NamedTuple

# Workers report whole percentages twice a second; over a shorter interval the
# rounding error would exceed the progress.
SAMPLE_INTERVAL_S = 0.35
SAMPLES_LIMIT = 16
# An older sample does not describe the present pace.
MAX_SAMPLE_AGE_S = 1.0
# Percentages are rounded down, so a pace is computed from a difference of at
# least this much: paces of one run then differ by less than a factor of two.
MIN_DIFFERENCE_PERCENT = 3.0
WHOLE_PERCENT = 100.0
# A member that has finished its own work reports this until its whole gang
# has finished.
LAST_PERCENT = 99.0


class Sample(NamedTuple):
    """Progress of a run at one moment."""

    at_s: float
    percent: float


class PaceHistory:
    """Recent progress samples of one run.

    ``reported_s`` is the time of the last report, None before the first.
    ``changed_s`` is the time at which the percentage last changed or the
    worker was last unreachable.
    """

    __slots__ = ("samples", "first", "percent", "reported_s", "changed_s")

    def __init__(self) -> None:
        """Create a history without samples."""
        self.samples: deque[Sample] = deque(maxlen=SAMPLES_LIMIT)
        self.first: Sample | None = None
        self.percent = 0.0
        self.reported_s: float | None = None
        self.changed_s = 0.0

    def record(self, percent: float, now_s: float) -> None:
        """Record a reported percentage."""
        self.reported_s = now_s
        if self.first is None:
            self.first = Sample(now_s, percent)
            self.changed_s = now_s
        if percent != self.percent:
            self.percent = percent
            self.changed_s = now_s
        if (
            not self.samples
            or now_s - self.samples[-1].at_s >= SAMPLE_INTERVAL_S
        ):
            self.samples.append(Sample(now_s, percent))

    def record_unreachable(self, now_s: float) -> None:
        """Record that the worker is unreachable and reports no progress."""
        self.changed_s = now_s

    def recent_per_s(self, now_s: float, normal_per_s: float) -> float | None:
        """Return the pace between the last samples, or None if unknown.

        They are as far apart as a run with the pace ``normal_per_s`` needs
        for MIN_DIFFERENCE_PERCENT.
        """
        if not self.samples or normal_per_s <= 0:
            return None
        last = self.samples[-1]
        if now_s - last.at_s > MAX_SAMPLE_AGE_S:
            return None
        first_s = last.at_s - MIN_DIFFERENCE_PERCENT / normal_per_s
        for sample in reversed(self.samples):
            if sample is not last and sample.at_s <= first_s:
                return percent_per_s(sample, last)
        return None

    def best_per_s(self) -> float:
        """Return the highest pace between kept samples, 0 if unknown."""
        best_per_s = 0.0
        firsts = iter(self.samples)
        first = next(firsts, None)
        for later in self.samples:
            while (
                first is not None
                and later.percent - first.percent >= MIN_DIFFERENCE_PERCENT
            ):
                best_per_s = max(best_per_s, percent_per_s(first, later))
                first = next(firsts, None)
        return best_per_s

    def remaining_s(self, now_s: float) -> float | None:
        """Return the remaining time of the run at its mean pace, if known."""
        if self.first is None:
            return None
        last = Sample(self.changed_s, self.percent)
        if last.percent <= self.first.percent or last.at_s <= self.first.at_s:
            return None
        remaining_s = (WHOLE_PERCENT - last.percent) / percent_per_s(
            self.first, last
        )
        return max(0.0, remaining_s - (now_s - last.at_s))


def percent_per_s(first: Sample, last: Sample) -> float:
    """Return the pace between two samples, in percent per second."""
    return (last.percent - first.percent) / (last.at_s - first.at_s)

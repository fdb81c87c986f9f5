"""Estimate the response latency of one service."""

MEAN_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
DEVIATIONS = 2.0


class LatencyEstimate:
    """Moving averages of the latency and of its absolute deviation."""

    def __init__(self) -> None:
        """Start without any sample."""
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.has_samples = False

    def record(self, latency_s: float) -> None:
        """Record the latency of one response."""
        if not self.has_samples:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 4
            self.has_samples = True
            return
        difference_s = latency_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * difference_s
        self.deviation_s += DEVIATION_WEIGHT * (
            abs(difference_s) - self.deviation_s
        )

    @property
    def upper_estimate_s(self) -> float:
        """Return a latency that most responses stay below."""
        return self.mean_s + DEVIATIONS * self.deviation_s

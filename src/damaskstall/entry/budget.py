"""Limit retries to a share of the successes."""

BURST_RETRIES = 10.0


class RetryBudget:
    """Earn a part of a retry with each success, up to a burst."""

    def __init__(self, ratio: float) -> None:
        """Start with a full burst; a ratio of 0 allows no retry."""
        self.ratio = ratio
        self.available = BURST_RETRIES if ratio else 0.0
        self.refused = 0

    def earn(self) -> None:
        """Count a success."""
        self.available = min(BURST_RETRIES, self.available + self.ratio)

    def spend(self) -> bool:
        """Return whether a retry is allowed, and count it."""
        if self.available < 1:
            self.refused += 1
            return False
        self.available -= 1
        return True

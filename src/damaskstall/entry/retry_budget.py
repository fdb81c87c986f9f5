"""Limit retries to a ratio of the successful requests."""

RETRY_BURST = 10.0


class RetryBudget:
    """A token bucket of retries, filled by successful requests."""

    def __init__(self, ratio: float) -> None:
        """Start with a full bucket.

        Each success adds ``ratio`` of a retry; a ratio of 0 allows none.
        """
        self.ratio = ratio
        self.available = RETRY_BURST if ratio else 0.0
        self.refused = 0

    def deposit(self) -> None:
        """Add the share of a retry that one success allows."""
        self.available = min(RETRY_BURST, self.available + self.ratio)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if none is available."""
        if self.available < 1:
            self.refused += 1
            return False
        self.available -= 1
        return True

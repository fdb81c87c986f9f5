"""Inject faults into calls to the stand-in platform and limit their rate."""

from random import Random
from typing import NamedTuple

READ_COST = 1
WRITE_COST = 5
BURST_S = 1.0


class FaultRule(NamedTuple):
    """The faults that the services show to some callers.

    ``callers`` are prefixes of caller names; empty means every caller.
    ``lose_answers`` is the share of commits that take effect but whose answer
    is lost.
    """

    callers: tuple[str, ...] = ()
    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0

    def applies_to(self, caller: str) -> bool:
        """Return whether the rule applies to a caller."""
        if not self.callers:
            return True
        return any(caller.startswith(prefix) for prefix in self.callers)


class Faults:
    """The active fault rules and the seeded choice of lost answers."""

    def __init__(self, seed: int) -> None:
        """Start without rules."""
        self.rules: tuple[FaultRule, ...] = ()
        self.random = Random(seed)

    def down(self, caller: str) -> bool:
        """Return whether the services are down for a caller."""
        return any(r.down and r.applies_to(caller) for r in self.rules)

    def delay_s(self, caller: str) -> float:
        """Return the delay of a caller's calls in seconds."""
        return max(
            (r.delay_s for r in self.rules if r.applies_to(caller)),
            default=0.0,
        )

    def loses_answer(self, caller: str) -> bool:
        """Return whether the answer to this commit is lost."""
        share = max(
            (r.lose_answers for r in self.rules if r.applies_to(caller)),
            default=0.0,
        )
        return share > 0 and self.random.random() < share


class RateLimiter:
    """A token bucket that limits the cost of operations per second."""

    def __init__(self, operations_per_s: float) -> None:
        """Start with a full bucket, which holds ``BURST_S`` of operations."""
        self.rate = operations_per_s
        self.available = operations_per_s * BURST_S
        self.updated_s = 0.0
        self.refused = 0

    def take(self, cost: int, now_s: float) -> bool:
        """Take an operation's cost; return False if it exceeds the rate."""
        refill = (now_s - self.updated_s) * self.rate
        self.available = min(self.rate * BURST_S, self.available + refill)
        self.updated_s = now_s
        if self.available < cost:
            self.refused += 1
            return False
        self.available -= cost
        return True

"""Inject faults into the responses of the stand-in backend server."""

from random import Random
from typing import NamedTuple

CROSSED = "crossed"
LATE = "late"
TRUNCATED = "truncated"
TRUNCATED_LENGTH = "truncated_length"
DUPLICATED = "duplicated"
DROPPED = "dropped"
SLOW = "slow"
FAILING = "failing"
HANG = "hang"
KINDS = (
    CROSSED,
    LATE,
    TRUNCATED,
    TRUNCATED_LENGTH,
    DUPLICATED,
    DROPPED,
    SLOW,
    FAILING,
    HANG,
)


class FaultRule(NamedTuple):
    """A rule that injects one kind of fault into a share of the requests.

    ``limit`` is the largest number of faults (negative: no limit).
    ``delay_s`` delays a late response after the run; ``factor`` multiplies
    the run time of a slow request.
    """

    kind: str
    share: float = 1.0
    limit: int = -1
    delay_s: float = 5.0
    factor: float = 10.0


class Faults:
    """The active fault rules and the seeded choice of affected requests."""

    def __init__(self, seed: int) -> None:
        """Start without rules."""
        self.rules: list[FaultRule] = []
        self.random = Random(seed)

    def next_fault(self) -> FaultRule | None:
        """Return the rule for the next request and use up one of its limit.

        Returns None if no rule applies.
        """
        for index, rule in enumerate(self.rules):
            if not rule.limit or self.random.random() >= rule.share:
                continue
            self.rules[index] = rule._replace(limit=rule.limit - 1)
            return rule
        return None

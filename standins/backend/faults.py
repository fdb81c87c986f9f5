"""Decide which answers of the stand-in backend server go wrong."""

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
    """Make a share of the answers go wrong in one way.

    ``limit`` bounds how many (negative: no limit). ``delay_s`` is how much a
    late answer is held back after it ran; ``factor`` is how many times as
    long a slow request runs.
    """

    kind: str
    share: float = 1.0
    limit: int = -1
    delay_s: float = 5.0
    factor: float = 10.0


class Faults:
    """Hold the rules in force and the seeded choice of whom they hit."""

    def __init__(self, seed: int) -> None:
        """Start with no rule."""
        self.rules: list[FaultRule] = []
        self.random = Random(seed)

    def next_fault(self) -> FaultRule | None:
        """Return the rule that the next request meets, and count it."""
        for index, rule in enumerate(self.rules):
            if not rule.limit or self.random.random() >= rule.share:
                continue
            self.rules[index] = rule._replace(limit=rule.limit - 1)
            return rule
        return None

"""Limit how often something may be done for each of some teams."""

from typing import NamedTuple


class Bucket(NamedTuple):
    """The tokens that were left at a time."""

    tokens: float
    at_s: float


class RateLimits:
    """A token bucket for each team, which holds ``burst`` tokens at most."""

    def __init__(self, per_s: float, burst: int) -> None:
        """Start with full buckets."""
        self.per_s = per_s
        self.burst = burst
        self._buckets: dict[str, Bucket] = {}

    def take(self, team: str, now_s: float) -> bool:
        """Take a token of a team; return whether there was one."""
        last = self._buckets.get(team, Bucket(float(self.burst), now_s))
        added = max(0.0, now_s - last.at_s) * self.per_s
        tokens = min(float(self.burst), last.tokens + added)
        allowed = tokens >= 1.0
        self._buckets[team] = Bucket(tokens - allowed, now_s)
        return allowed

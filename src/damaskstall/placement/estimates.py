"""Correct declared run times by the measured run times of each team."""

from math import exp, log
from typing import NamedTuple

SHORTEST_S = 1.0
SMOOTHING_FACTOR = 0.2
SPREAD_FACTOR = 1.0
EXPONENT_LIMIT = 7.0


class Correction(NamedTuple):
    """Mean and variance of log(actual run time / declared run time)."""

    mean: float
    variance: float


class Estimates:
    """Estimates run times from the past errors of each team's declarations."""

    def __init__(self) -> None:
        """Start without corrections: declared run times are used unchanged."""
        self.corrections: dict[str, Correction] = {}

    def record_run_time(
        self, team: str, declared_s: float, ran_s: float
    ) -> None:
        """Record the actual run time of a finished job, in seconds."""
        log_ratio = log(max(ran_s, SHORTEST_S) / max(declared_s, SHORTEST_S))
        known = self.corrections.get(team)
        if known is None:
            self.corrections[team] = Correction(log_ratio, 0.0)
            return
        deviation = log_ratio - known.mean
        mean = known.mean + SMOOTHING_FACTOR * deviation
        raw_variance = (
            known.variance + SMOOTHING_FACTOR * deviation * deviation
        )
        self.corrections[team] = Correction(
            mean, (1 - SMOOTHING_FACTOR) * raw_variance
        )

    def expect_s(self, team: str, declared_s: float) -> float:
        """Return a run time in seconds that most jobs do not exceed.

        It is the declared time, corrected by the errors of the team's earlier
        declarations.
        """
        declared_s = max(declared_s, SHORTEST_S)
        known = self.corrections.get(team)
        if known is None:
            return declared_s
        exponent = known.mean + SPREAD_FACTOR * known.variance**0.5
        limited = max(-EXPONENT_LIMIT, min(EXPONENT_LIMIT, exponent))
        return declared_s * exp(limited)

"""Compute retry delays with exponential backoff and jitter.

The jitter keeps many processes from retrying at the same moment.
"""

from random import Random

BASE_S = 0.2
LIMIT_S = 5.0
DOUBLINGS_LIMIT = 16


def retry_delay_s(tries: int, random: Random) -> float:
    """Return the delay in seconds after a number of failed tries."""
    doubled_s: float = BASE_S * 2.0 ** min(tries, DOUBLINGS_LIMIT)
    return min(LIMIT_S, doubled_s) * random.uniform(0.5, 1.5)

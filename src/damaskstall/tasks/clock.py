"""Monotonic clock that includes the time a machine is suspended."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime

Clock = Callable[[], float]


def boot_time_s() -> float:
    """Return the seconds since the machine booted, suspensions included."""
    return clock_gettime(CLOCK_BOOTTIME)

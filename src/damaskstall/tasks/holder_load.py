"""Measure whether the holder keeps up: its rounds, and its own delay.

A holder that lacks processor time reads answers late, so its workers seem
silent although they answer. Its own delay shows that the cause is here.
"""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from trio import sleep

from damaskstall.events import log
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.events import HOLDER_CAUGHT_UP, HOLDER_DELAYED
from damaskstall.tasks.metrics import (
    HOLDER_DELAY_SECONDS,
    NO_LABELS,
    ROUND_SECONDS,
)

PROBE_INTERVAL_S = 0.05
# Calls of workers time out after 0.25 s.
DELAY_LIMIT_S = 0.2
LINE_INTERVAL_S = 1.0
# The holder has caught up once no delay exceeded the limit for this long.
CAUGHT_UP_S = 3.0
# The metric shows the greatest delay of about this time, so that a scrape does
# not miss it.
PEAK_KEPT_S = 5.0
# A delay is expected again for this long.
RECENT_S = 1.0


class WorkCounts(NamedTuple):
    """How much the holder has to look after."""

    jobs: int
    waiting_units: int
    workers: int


class Delay(NamedTuple):
    """By how much a task that was due ran late, as measured at a time."""

    at_s: float
    delay_s: float


class HolderLoad:
    """The durations of rounds, and the delays of the event loop.

    ``count_work`` is only called when a delay is logged.
    """

    def __init__(self, count_work: Callable[[], WorkCounts]) -> None:
        """Start without a delay."""
        self.count_work = count_work
        self.round_s = 0.0
        # While the holder is delayed: since when, the time of the latest
        # delay above the limit, and the greatest delay.
        self._delayed_since_s: float | None = None
        self._latest_s = 0.0
        self._greatest_s = 0.0
        self._logged_s = float("-inf")
        self._peak_s = 0.0
        self._peak_at_s = float("-inf")
        self._recent: deque[Delay] = deque()

    def record_round(self, took_s: float) -> None:
        """Record the duration of a scheduling round in seconds."""
        self.round_s = took_s
        ROUND_SECONDS.observe(NO_LABELS, took_s)

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record by how many seconds a task that was due ran late."""
        self._update_metric(delay_s, now_s)
        self._recent.append(Delay(now_s, delay_s))
        self._forget_old(now_s)
        if delay_s > DELAY_LIMIT_S:
            self._record_exceeded(delay_s, now_s)
        elif self._delayed_since_s is not None:
            if now_s - self._latest_s >= CAUGHT_UP_S:
                self._log_caught_up(self._delayed_since_s)
                self._delayed_since_s = None

    def recent_delay_s(self, now_s: float) -> float:
        """Return the greatest delay of the last moments in seconds."""
        self._forget_old(now_s)
        return max((each.delay_s for each in self._recent), default=0.0)

    def reset_metrics(self) -> None:
        """Show no delay any more, since this process is not the holder."""
        HOLDER_DELAY_SECONDS.set(NO_LABELS, 0)

    async def probe(self, clock: Clock) -> None:
        """Measure the delay of the event loop at intervals until cancelled."""
        while True:
            began_s = clock()
            await sleep(PROBE_INTERVAL_S)
            now_s = clock()
            delay_s = now_s - began_s - PROBE_INTERVAL_S
            self.record_delay(max(0.0, delay_s), now_s)

    def _forget_old(self, now_s: float) -> None:
        while self._recent and now_s - self._recent[0].at_s > RECENT_S:
            self._recent.popleft()

    def _update_metric(self, delay_s: float, now_s: float) -> None:
        is_old = now_s - self._peak_at_s >= PEAK_KEPT_S
        if delay_s >= self._peak_s or is_old:
            self._peak_s, self._peak_at_s = delay_s, now_s
            HOLDER_DELAY_SECONDS.set(NO_LABELS, delay_s)

    def _record_exceeded(self, delay_s: float, now_s: float) -> None:
        if self._delayed_since_s is None:
            self._delayed_since_s = now_s - delay_s
            self._greatest_s = 0.0
        self._latest_s = now_s
        self._greatest_s = max(self._greatest_s, delay_s)
        if now_s - self._logged_s < LINE_INTERVAL_S:
            return
        self._logged_s = now_s
        counts = self.count_work()
        log(
            HOLDER_DELAYED,
            delay_s=round(delay_s, 3),
            greatest_delay_s=round(self._greatest_s, 3),
            round_s=round(self.round_s, 3),
            jobs=counts.jobs,
            waiting_units=counts.waiting_units,
            workers=counts.workers,
        )

    def _log_caught_up(self, since_s: float) -> None:
        log(
            HOLDER_CAUGHT_UP,
            delayed_s=round(self._latest_s - since_s, 3),
            greatest_delay_s=round(self._greatest_s, 3),
        )

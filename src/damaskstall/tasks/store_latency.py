"""Measure the latency of store calls, and log when the store is slow."""

from damaskstall.events import log
from damaskstall.tasks.events import STORE_FAST, STORE_SLOW
from damaskstall.tasks.metrics import STORE_SECONDS

# The store usually answers in 4 to 10 ms; a call that takes ten times as long
# is slow.
SLOW_CALL_S = 0.1
# Consecutive calls after which the state changes: one slow call can be a
# coincidence, and so can one fast call of a slow store.
CALLS_TO_SWITCH = 3


class StoreLatency:
    """Records call latencies; logs when the store becomes slow or fast."""

    def __init__(self) -> None:
        """Start with a store that is assumed to be fast."""
        self.slow = False
        self._opposite_calls = 0

    def record(self, call: str, took_s: float) -> None:
        """Record the duration of an answered call in seconds."""
        STORE_SECONDS.observe({"call": call}, took_s)
        if (took_s >= SLOW_CALL_S) == self.slow:
            self._opposite_calls = 0
            return
        self._opposite_calls += 1
        if self._opposite_calls < CALLS_TO_SWITCH:
            return
        self._opposite_calls = 0
        self.slow = not self.slow
        event = STORE_SLOW if self.slow else STORE_FAST
        log(event, call=call, took_s=round(took_s, 3))

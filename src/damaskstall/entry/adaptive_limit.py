"""Adapt the number of requests that an entry has in flight at one server.

Entries share a server's slots without coordination. Each one raises its
limit slowly (additive increase) while the limit is reached, and lowers it by
a factor (multiplicative decrease) when the server refuses or its latency
rises. The entries' limits converge to a fair share of the slots, as TCP
connections converge to a share of a link.
"""

MINIMUM_LIMIT = 1.0
REFUSAL_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 2.0
INCREASE_STEP = 0.1
RECENT_WEIGHT = 0.2
BASELINE_RISE = 0.01
CHANGE_INTERVAL_S = 0.1
LOWEST_LATENCY_S = 1e-3
LATENCY_TTL_S = 10.0


class AdaptiveLimit:
    """The limit of one entry's requests in flight at one server.

    It is at least MINIMUM_LIMIT and at most the server's slots.
    """

    def __init__(self, slots: int) -> None:
        """Start at half of the slots."""
        self.slots = slots
        self.value = max(MINIMUM_LIMIT, slots / 2)
        self.latency_s: float | None = None
        self.baseline_s: float | None = None
        self.last_lowered_s = float("-inf")
        self.last_response_s = float("-inf")

    def admits(self, in_flight: int) -> bool:
        """Return whether one more request stays within the limit."""
        return in_flight < int(self.value)

    def load(
        self, in_flight: int, service_mean_s: float, now_s: float
    ) -> float:
        """Return the load with one more request, to compare servers by.

        The load is the number of requests times the latency. It does not
        depend on the limit: a server that returns from an ejection has a low
        limit and needs requests to raise it. A server without a recent
        latency counts with the service's mean latency: if it counted as
        fast, it would attract requests without ever answering one; if it
        counted as slow, it would get none to show a better latency.
        """
        latency_s = self.latency_s or service_mean_s
        if now_s - self.last_response_s > LATENCY_TTL_S:
            latency_s = service_mean_s
        return (in_flight + 1) * max(latency_s, LOWEST_LATENCY_S)

    def record_response(
        self, latency_s: float, in_flight: int, now_s: float
    ) -> None:
        """Adapt to a complete response; ``in_flight`` includes it."""
        if now_s - self.last_response_s > LATENCY_TTL_S:
            self.latency_s = None
        self.last_response_s = now_s
        self._update_latency(latency_s)
        assert self.latency_s is not None and self.baseline_s is not None
        if self.latency_s > SLOW_RATIO * self.baseline_s:
            self._lower(SLOW_FACTOR, now_s)
        elif in_flight >= int(self.value):
            step = INCREASE_STEP / self.value
            self.value = min(float(self.slots), self.value + step)

    def record_refusal(self, now_s: float) -> None:
        """Lower the limit after a refusal."""
        self._lower(REFUSAL_FACTOR, now_s)

    def reset(self) -> None:
        """Lower the limit to a quarter of the slots and discard the latency.

        Called when the server is ejected. A limit that is lower is kept.
        """
        self.value = max(MINIMUM_LIMIT, min(self.value, self.slots / 4))
        self.latency_s = None

    def _update_latency(self, latency_s: float) -> None:
        if self.latency_s is None or self.baseline_s is None:
            self.latency_s = latency_s
            self.baseline_s = self.baseline_s or latency_s
            return
        self.latency_s += RECENT_WEIGHT * (latency_s - self.latency_s)
        # The baseline follows a falling latency fast and a rising one slowly.
        rise = BASELINE_RISE if self.latency_s > self.baseline_s else 0.2
        self.baseline_s += rise * (self.latency_s - self.baseline_s)

    def _lower(self, factor: float, now_s: float) -> None:
        # A burst of refusals lowers the limit only once.
        if now_s - self.last_lowered_s < CHANGE_INTERVAL_S:
            return
        self.last_lowered_s = now_s
        self.value = max(MINIMUM_LIMIT, self.value * factor)

"""Track the state of one backend server as one entry observes it.

A server gets new requests only for a short time after it was last known to
be serving. An entry that was paused or is partitioned from the server
therefore stops sending requests without further action.
"""

from collections.abc import Callable
from typing import Any

from damaskstall.addresses import parse_address
from damaskstall.entry.adaptive_limit import AdaptiveLimit
from damaskstall.entry.connection_pool import ConnectionPool
from damaskstall.entry.events import SERVER_LEAVING, SERVER_RETURNED
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.network import Network
from damaskstall.resources.records import ServerSpec

NEVER = float("-inf")
SERVING_POLLS = 3.0
FAILURES_TO_EJECT = 5
EJECTION_S = 5.0
EJECTION_LIMIT_S = 60.0
PROBE_SUCCESSES = 3


class ServerState:
    """The health, load and connections of one backend server.

    ``leaving_per_health`` is the server's own report that it is leaving,
    ``leaving_per_list`` that of the platform's instance list; ``out`` is
    whether the server's failure domain is out of service. ``last_serving_s``
    is the send time of the latest request or health poll that the server is
    known to have accepted, reset when no connection can be opened. From an
    ejection until it has proved to be healthy, the server is ``probing``: it
    gets one request at a time. ``dispatchers`` are callbacks of the services
    that use the server, to fill a free slot.
    """

    def __init__(
        self, spec: ServerSpec, network: Network, settings: EntrySettings
    ) -> None:
        """Start with a server that is not yet known to be serving."""
        self.spec = spec
        self.name = spec["name"]
        self.address = parse_address(spec["address"])
        self.failure_domain = spec["failure_domain"]
        self.limit = AdaptiveLimit(spec["slots"])
        self.connection_limit = settings.server_connection_limit
        self.pool = ConnectionPool(network, self.address)
        self.set_connection_share(1)
        self.serving_ttl_s = SERVING_POLLS * settings.health_poll_s
        self.in_flight = 0
        self.last_serving_s = NEVER
        self.leaving_per_health = False
        self.leaving_per_list = False
        self.out = False
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = NEVER
        self.probing = False
        self.successes = 0
        self.dispatchers: list[Callable[[float], None]] = []

    @property
    def leaving(self) -> bool:
        """Return whether any source reports that the server is leaving."""
        return self.leaving_per_health or self.leaving_per_list or self.out

    def is_serving(self, now_s: float) -> bool:
        """Return whether the server served recently and is not leaving."""
        if self.leaving:
            return False
        return now_s - self.last_serving_s <= self.serving_ttl_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server is ejected at the given time."""
        return now_s < self.ejected_until_s

    def has_room(self, now_s: float) -> bool:
        """Return whether one more request may be sent to the server."""
        if not self.is_serving(now_s) or self.is_ejected(now_s):
            return False
        if self.probing and (self.in_flight or self.failures):
            return False
        if self.in_flight >= self.pool.limit:
            return False
        return self.limit.admits(self.in_flight)

    def set_connection_share(self, entries: int) -> None:
        """Limit the pool to this entry's share of the server's connections.

        One connection of the share is reserved for the health check.
        """
        part = self.spec["connections"] // entries
        self.pool.limit = max(1, min(self.connection_limit, part) - 1)

    def release(self, now_s: float) -> None:
        """Release a slot and offer it to waiting requests."""
        self.in_flight -= 1
        self.offer_slots(now_s)

    def offer_slots(self, now_s: float) -> None:
        """Let the services that use the server fill its slots, round-robin."""
        if not self.dispatchers:
            return
        self.dispatchers.append(self.dispatchers.pop(0))
        for dispatch in list(self.dispatchers):
            dispatch(now_s)

    def record_leaving(self, leaving: bool) -> None:
        """Record the server's own report of whether it is leaving."""
        if self.leaving_per_health == leaving:
            return
        self.leaving_per_health = leaving
        event = SERVER_LEAVING if leaving else SERVER_RETURNED
        log(event, server=self.name, address=str(self.address))

    def record_serving(self, sent_s: float) -> None:
        """Record that the server accepted a request sent at ``sent_s``."""
        self.last_serving_s = max(self.last_serving_s, sent_s)

    def load(self, service_mean_s: float, now_s: float) -> float:
        """Return the server's load with one more request; 0 if probing."""
        if self.probing:
            # A probing server gets one request at a time, and the lowest
            # load makes sure that it does get it.
            return 0.0
        return self.limit.load(self.in_flight, service_mean_s, now_s)

    def record_response(self, sent_s: float, now_s: float) -> None:
        """Record a complete response to a request sent at ``sent_s``."""
        self.record_serving(sent_s)
        if sent_s < self.ejected_until_s:
            # The request was sent before the ejection ended, so its response
            # does not count for the probing phase.
            return
        self.failures = 0
        self.successes += 1
        self.limit.record_response(now_s - sent_s, self.in_flight, now_s)

    def record_failure(self, sent_s: float) -> None:
        """Record an attempt sent at ``sent_s`` that failed.

        Its response was an error, late, invalid or did not arrive.
        """
        if sent_s >= self.ejected_until_s:
            self.failures += 1

    def record_refusal(self, now_s: float) -> None:
        """Record that the server refused a request without running it."""
        self.limit.record_refusal(now_s)

    def mark_unreachable(self) -> None:
        """Stop using the server until a health poll reaches it again.

        Called when no connection to it could be opened.
        """
        self.last_serving_s = NEVER

    def should_be_ejected(self) -> bool:
        """Return whether too many attempts in a row have failed."""
        return self.failures >= (1 if self.probing else FAILURES_TO_EJECT)

    def eject(self, now_s: float) -> None:
        """Eject the server; the duration doubles with each ejection."""
        self.ejections += 1
        pause_s = EJECTION_S * 2 ** (self.ejections - 1)
        self.ejected_until_s = now_s + min(EJECTION_LIMIT_S, pause_s)
        self.failures = 0
        self.probing = True
        self.successes = 0
        self.limit.reset()

    def has_enough_successes(self) -> bool:
        """Return whether enough attempts succeeded since the last ejection."""
        return self.successes >= PROBE_SUCCESSES

    def end_probing(self) -> None:
        """Return the server to normal use."""
        self.probing = False
        self.failures = 0
        self.ejections = 0

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "name": self.name,
            "address": str(self.address),
            "failure_domain": self.failure_domain,
            "in_flight": self.in_flight,
            "limit": round(self.limit.value, 2),
            "latency_s": self.limit.latency_s,
            "serving": self.is_serving(now_s),
            "leaving": self.leaving,
            "ejected": self.is_ejected(now_s),
            "probing": self.probing,
            "connections": self.pool.open_count,
        }

"""Assign each request of one service a slot at one of its servers.

A request goes to a server in the entry's own failure domain if one there has
a free slot, else to one in another domain. Two such servers are chosen at
random, and the request goes to the less loaded one. If no server has a free
slot, the request waits in its team's queue.
"""

from collections.abc import Awaitable, Callable
from math import ceil
from random import Random
from typing import Any

from trio import current_time, move_on_at, open_nursery, sleep_forever

from damaskstall.entry.ejection import update_ejections
from damaskstall.entry.latency import LatencyEstimate
from damaskstall.entry.metrics import QUEUED, SERVERS
from damaskstall.entry.queue import FairQueue, Waiter
from damaskstall.entry.server_registry import ServerRegistry
from damaskstall.entry.server_state import ServerState
from damaskstall.errors import CallerDisconnectedError, RequestNotRunError
from damaskstall.generated.settings import EntrySettings
from damaskstall.resources.records import BackendServiceSpec

STATUS_BUSY = 429
STATUS_UNAVAILABLE = 503
RETRY_LIMIT_S = 30
LOWEST_LATENCY_S = 1e-4
# The rate of granted slots is averaged over this time, and over several
# latencies: requests that began together end together, with no slot between.
RATE_WINDOW_S = 1.0
RATE_WINDOW_LATENCIES = 3.0

CallerDisconnected = Callable[[], Awaitable[None]]


class ServiceRouter:
    """The servers and the queue of one service."""

    def __init__(
        self, name: str, settings: EntrySettings, random: Random
    ) -> None:
        """Start without servers."""
        self.name = name
        self.settings = settings
        self.random = random
        self.servers: dict[str, ServerState] = {}
        self.queue = FairQueue()
        self.latency = LatencyEstimate()
        self.refused = 0
        self.slots_per_s = 0.0
        self.granted = 0
        self.rate_updated_s = 0.0

    def update(
        self,
        spec: BackendServiceSpec,
        weights: dict[str, float],
        registry: ServerRegistry,
    ) -> None:
        """Apply the declarations of the service and the teams' weights."""
        servers = {s["name"]: registry.get(s) for s in spec["servers"]}
        for name, server in self.servers.items():
            if servers.get(name) is not server:
                server.dispatchers.remove(self.dispatch)
        for name, server in servers.items():
            if self.servers.get(name) is not server:
                server.dispatchers.append(self.dispatch)
        self.servers = servers
        self.queue.weights = weights

    async def acquire(
        self,
        team: str,
        deadline_s: float,
        avoid: frozenset[str],
        caller_disconnected: CallerDisconnected = sleep_forever,
    ) -> ServerState:
        """Acquire a slot for a request and return its server.

        The caller must call ``release`` on the server afterwards. Raises
        RequestNotRunError when the queue is full, the request cannot meet its
        deadline or the service is removed, and CallerDisconnectedError when
        its caller disconnected while it waited.
        """
        now_s = current_time()
        if not len(self.queue):
            server = self.choose(avoid, now_s)
            if server is not None:
                self._assign(server, team)
                return server
        self._check_queue(team, deadline_s, now_s)
        waiter = Waiter(team, deadline_s, avoid)
        self.queue.push(waiter)
        return await self._wait(waiter, caller_disconnected)

    def _assign(self, server: ServerState, team: str) -> None:
        self.queue.charge_slot(team)
        self.granted += 1
        server.in_flight += 1

    async def _wait(
        self, waiter: Waiter, caller_disconnected: CallerDisconnected
    ) -> ServerState:
        try:
            with move_on_at(self._latest_start_s(waiter.deadline_s)):
                await self._wait_decided(waiter, caller_disconnected)
        except BaseException:
            # Release a slot that was granted just before the cancellation.
            if waiter.server is not None:
                waiter.server.release(current_time())
            raise
        finally:
            self.queue.remove(waiter)
        if waiter.server is not None:
            return waiter.server
        if waiter.refusal is not None:
            raise waiter.refusal
        raise self._refusal(
            STATUS_UNAVAILABLE,
            "No slot became free in time for the request's deadline.",
            waiter.team,
        )

    async def _wait_decided(
        self, waiter: Waiter, caller_disconnected: CallerDisconnected
    ) -> None:
        async with open_nursery() as nursery:

            async def watch() -> None:
                await caller_disconnected()
                if not waiter.decided.is_set():
                    waiter.refuse(
                        CallerDisconnectedError(
                            "The caller disconnected while its request "
                            "waited for a slot."
                        )
                    )

            nursery.start_soon(watch)
            await waiter.decided.wait()
            nursery.cancel_scope.cancel()

    def dispatch(self, now_s: float) -> None:
        """Assign free slots to the waiting requests in queue order.

        Requests that can no longer meet their deadline are refused.
        """
        while True:
            waiter = self.queue.peek()
            if waiter is None:
                return
            if self._latest_start_s(waiter.deadline_s) <= now_s:
                self._shed(waiter)
                continue
            server = self.choose(waiter.avoid, now_s)
            if server is None:
                return
            self.queue.remove(waiter)
            self._assign(server, waiter.team)
            waiter.grant(server)

    def close(self) -> None:
        """Unregister from the servers and refuse all waiting requests."""
        for server in self.servers.values():
            server.dispatchers.remove(self.dispatch)
        self.servers = {}
        for queue in list(self.queue.waiting.values()):
            for waiter in list(queue):
                self.queue.remove(waiter)
                waiter.refuse(
                    self._refusal(
                        STATUS_UNAVAILABLE,
                        f"The service {self.name!r} is no longer declared.",
                        waiter.team,
                    )
                )

    def tick(self, now_s: float) -> None:
        """Run the periodic work: ejections, load shedding and dispatch."""
        update_ejections(self.name, list(self.servers.values()), now_s)
        self.update_slot_rate(now_s)
        for queue in list(self.queue.waiting.values()):
            for waiter in list(queue):
                if self._latest_start_s(waiter.deadline_s) > now_s:
                    break
                self._shed(waiter)
        self.dispatch(now_s)

    def choose(
        self, avoid: frozenset[str], now_s: float
    ) -> ServerState | None:
        """Return the server for a request, or None if no slot is free.

        Servers in ``avoid`` are chosen only if no other has a free slot.
        """
        free = [s for s in self.servers.values() if s.has_room(now_s)]
        free = [s for s in free if s.name not in avoid] or free
        own_domain = self.settings.failure_domain
        candidates = [
            s for s in free if s.failure_domain == own_domain
        ] or free
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        first, second = self.random.sample(candidates, 2)
        service_mean_s = self.latency.mean_s
        if second.load(service_mean_s, now_s) < first.load(
            service_mean_s, now_s
        ):
            return second
        return first

    def update_slot_rate(self, now_s: float) -> None:
        """Update the estimate of the slots granted in a second.

        While requests wait, it is a moving average of the measured rate,
        since other services may use the same servers. Otherwise it is the
        rate that the servers' limits and latencies allow. It stays 0, which
        means unknown, until a request has completed.
        """
        elapsed_s = now_s - self.rate_updated_s
        if len(self.queue) and elapsed_s > 0 and self.slots_per_s:
            window_s = max(
                RATE_WINDOW_S, RATE_WINDOW_LATENCIES * self.latency.mean_s
            )
            weight = elapsed_s / (elapsed_s + window_s)
            measured_per_s = self.granted / elapsed_s
            self.slots_per_s += weight * (measured_per_s - self.slots_per_s)
        else:
            self.slots_per_s = self._capacity_slots_per_s(now_s)
        self.rate_updated_s = now_s
        self.granted = 0

    def _capacity_slots_per_s(self, now_s: float) -> float:
        return sum(
            int(server.limit.value)
            / max(server.limit.latency_s, LOWEST_LATENCY_S)
            for server in self.servers.values()
            if server.limit.latency_s is not None
            and server.is_serving(now_s)
            and not server.is_ejected(now_s)
        )

    def wait_s(self, team: str) -> float:
        """Return the estimated wait of one more request of a team."""
        if not self.slots_per_s:
            return 0.0
        ahead = self.queue.length(team) + 1
        return ahead / (self.slots_per_s * self.queue.share(team))

    def update_gauges(self, now_s: float) -> None:
        """Set the gauges of this service to the current state."""
        labels = {"service": self.name}
        usable = sum(
            server.is_serving(now_s) and not server.is_ejected(now_s)
            for server in self.servers.values()
        )
        QUEUED.set(labels, len(self.queue))
        SERVERS.set(labels, usable)

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "servers": [s.dump(now_s) for s in self.servers.values()],
            "queue": self.queue.dump(),
            "refused": self.refused,
        }

    def _check_queue(self, team: str, deadline_s: float, now_s: float) -> None:
        if self.queue.length(team) >= self.settings.queue_limit:
            raise self._refusal(
                STATUS_BUSY,
                f"The request queue of team {team!r} is full.",
                team,
            )
        if now_s + self.wait_s(team) > self._latest_start_s(deadline_s):
            raise self._refusal(
                STATUS_BUSY,
                "The request would miss its deadline after the wait in the "
                "queue.",
                team,
            )

    def _latest_start_s(self, deadline_s: float) -> float:
        return deadline_s - self.latency.upper_estimate_s

    def _shed(self, waiter: Waiter) -> None:
        self.queue.remove(waiter)
        waiter.refuse(
            self._refusal(
                STATUS_UNAVAILABLE,
                "The request can no longer meet its deadline.",
                waiter.team,
            )
        )

    def _refusal(
        self, status: int, message: str, team: str
    ) -> RequestNotRunError:
        self.refused += 1
        wait_s = self.wait_s(team)
        retry_s = min(RETRY_LIMIT_S, max(1, ceil(wait_s)))
        return RequestNotRunError(status, message, retry_s)

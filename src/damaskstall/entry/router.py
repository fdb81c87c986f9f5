"""Give each request of one service a slot at one of its servers.

A request goes to its own failure domain while a server there has room, and
to the others only then. Of two servers drawn at random it takes the less
loaded one. When none has room it waits in its team's queue.
"""

from collections.abc import Awaitable, Callable
from math import ceil
from random import Random
from typing import Any

from trio import current_time, move_on_at, open_nursery, sleep_forever

from damaskstall.entry.ejection import update_ejections
from damaskstall.entry.events import SERVER_LEAVING, SERVER_RETURNED
from damaskstall.entry.measures import QUEUED, SERVERS
from damaskstall.entry.queue import FairQueue, Waiter
from damaskstall.entry.server import ServerState
from damaskstall.errors import CallerLostError, RequestNotRunError
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.network import Network
from damaskstall.resources.records import BackendServiceSpec

STATUS_BUSY = 429
STATUS_UNAVAILABLE = 503
RETRY_LIMIT_S = 30
LOWEST_LATENCY_S = 1e-4

CallerGone = Callable[[], Awaitable[None]]


class ServiceRouter:
    """Hold the servers and the queue of one service."""

    def __init__(
        self,
        name: str,
        network: Network,
        settings: EntrySettings,
        random: Random,
    ) -> None:
        """Start without servers."""
        self.name = name
        self.network = network
        self.settings = settings
        self.random = random
        self.servers: dict[str, ServerState] = {}
        self.queue = FairQueue()
        self.refused = 0
        self.usual_latency_s = 0.0
        self.answers_per_s = 0.0

    def update(
        self, spec: BackendServiceSpec, weights: dict[str, float]
    ) -> list[ServerState]:
        """Follow the declaration; return the servers no longer in it."""
        gone = dict(self.servers)
        for server_spec in spec["servers"]:
            known = gone.get(server_spec["name"])
            if known is not None and known.spec == server_spec:
                del gone[server_spec["name"]]
                continue
            server = ServerState(server_spec, self.network, self.settings)
            self.servers[server.name] = server
        for name, server in gone.items():
            if self.servers[name] is server:
                del self.servers[name]
        self.queue.weights = weights
        return list(gone.values())

    async def acquire(
        self,
        team: str,
        deadline_s: float,
        avoid: frozenset[str],
        caller_gone: CallerGone = sleep_forever,
    ) -> ServerState:
        """Return a server that counts this request as in flight.

        Raises RequestNotRunError when the queue is full or the request
        cannot make its deadline, and CallerLostError when its caller went
        away while it waited.
        """
        now_s = current_time()
        if not len(self.queue):
            server = self.choose(avoid, now_s)
            if server is not None:
                self.queue.count_use(team)
                server.in_flight += 1
                return server
        self._check_queue(team, deadline_s, now_s)
        waiter = Waiter(team, deadline_s, avoid)
        self.queue.push(waiter)
        return await self._wait(waiter, caller_gone)

    async def _wait(
        self, waiter: Waiter, caller_gone: CallerGone
    ) -> ServerState:
        try:
            with move_on_at(self._latest_start_s(waiter.deadline_s)):
                await self._wait_decided(waiter, caller_gone)
        except BaseException:
            # A slot that was granted just before goes to another.
            if waiter.server is not None:
                self.release(waiter.server)
            raise
        finally:
            self.queue.remove(waiter)
        if waiter.server is not None:
            return waiter.server
        if waiter.refusal is not None:
            raise waiter.refusal
        raise self._refusal(
            STATUS_UNAVAILABLE, "No slot came free in time.", waiter.team
        )

    async def _wait_decided(
        self, waiter: Waiter, caller_gone: CallerGone
    ) -> None:
        async with open_nursery() as nursery:

            async def watch() -> None:
                await caller_gone()
                if not waiter.decided.is_set():
                    waiter.refuse(CallerLostError("The caller went away."))

            nursery.start_soon(watch)
            await waiter.decided.wait()
            nursery.cancel_scope.cancel()

    def release(self, server: ServerState) -> None:
        """Give a slot back and pass it on."""
        server.in_flight -= 1
        self.dispatch(current_time())

    def dispatch(self, now_s: float) -> None:
        """Hand free slots to the requests whose turn it is."""
        while True:
            waiter = self.queue.next()
            if waiter is None:
                return
            if self._latest_start_s(waiter.deadline_s) <= now_s:
                self._shed(waiter)
                continue
            server = self.choose(waiter.avoid, now_s)
            if server is None:
                return
            self.queue.remove(waiter)
            self.queue.count_use(waiter.team)
            server.in_flight += 1
            waiter.grant(server)

    def close(self) -> None:
        """Refuse all waiting requests, since the service is gone."""
        for queue in list(self.queue.waiting.values()):
            for waiter in list(queue):
                self.queue.remove(waiter)
                waiter.refuse(
                    self._refusal(
                        STATUS_UNAVAILABLE,
                        f"The service {self.name!r} was removed.",
                        waiter.team,
                    )
                )

    def tick(self, now_s: float) -> None:
        """Eject, shed and dispatch as time passes."""
        update_ejections(self.name, list(self.servers.values()), now_s)
        self.estimate(now_s)
        for queue in list(self.queue.waiting.values()):
            for waiter in list(queue):
                if self._latest_start_s(waiter.deadline_s) > now_s:
                    break
                self._shed(waiter)
        self.dispatch(now_s)

    def choose(
        self, avoid: frozenset[str], now_s: float
    ) -> ServerState | None:
        """Return the server for the next request, or None if all are full."""
        free = [s for s in self.servers.values() if s.has_room(now_s)]
        free = [s for s in free if s.name not in avoid] or free
        here = self.settings.failure_domain
        near = [s for s in free if s.failure_domain == here] or free
        if len(near) <= 1:
            return near[0] if near else None
        first, second = self.random.sample(near, 2)
        if second.load() < first.load():
            return second
        return first

    def note_leaving(self, server: ServerState, leaving: bool) -> None:
        """Take a server's own word whether it leaves."""
        if server.leaving_health == leaving:
            return
        server.leaving_health = leaving
        event = SERVER_LEAVING if leaving else SERVER_RETURNED
        log(event, service=self.name, server=server.name)

    def estimate(self, now_s: float) -> None:
        """Learn how fast the usable servers answer now."""
        seen = [
            (server.limit.latency_s, int(server.limit.value))
            for server in self.servers.values()
            if server.limit.latency_s is not None
            and server.is_serving(now_s)
            and not server.is_ejected(now_s)
        ]
        latencies_s = sorted(latency_s for latency_s, _ in seen)
        self.usual_latency_s = latencies_s[len(seen) // 2] if seen else 0.0
        self.answers_per_s = sum(
            limit / max(latency_s, LOWEST_LATENCY_S)
            for latency_s, limit in seen
        )

    def wait_s(self, team: str) -> float:
        """Return how long one more request of a team would wait."""
        if not self.answers_per_s:
            return 0.0
        ahead = self.queue.length(team) + 1
        return ahead / (self.answers_per_s * self.queue.share(team))

    def measure(self, now_s: float) -> None:
        """Set the gauges of this service."""
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
                STATUS_BUSY, f"The queue of team {team!r} is full.", team
            )
        if now_s + self.wait_s(team) > self._latest_start_s(deadline_s):
            raise self._refusal(
                STATUS_BUSY, "The request would miss its deadline.", team
            )

    def _latest_start_s(self, deadline_s: float) -> float:
        return deadline_s - self.usual_latency_s

    def _shed(self, waiter: Waiter) -> None:
        self.queue.remove(waiter)
        waiter.refuse(
            self._refusal(
                STATUS_UNAVAILABLE,
                "The request can no longer make its deadline.",
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

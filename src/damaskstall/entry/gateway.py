"""Handle callers' requests and forward them to backend servers."""

from collections.abc import Callable
from random import Random
from time import time
from typing import Any

from trio import (
    CancelScope,
    Event,
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.contact_slots import ContactSlots
from damaskstall.entry.attempts import RequestRun
from damaskstall.entry.body import REPLAY_LIMIT_BYTES, read_for_replay
from damaskstall.entry.call import REQUESTS_PREFIX, Call, read_call
from damaskstall.entry.claims import ClaimManager
from damaskstall.entry.events import (
    DRAIN_ENDED,
    DRAIN_STARTED,
    OUTCOME_UNKNOWN,
)
from damaskstall.entry.exchange import ServerResponse, StreamedResponse
from damaskstall.entry.health import (
    SILENT_SERVER_LIMIT,
    InstanceListWatcher,
    poll_server_health,
)
from damaskstall.entry.metrics import (
    CLAIM_WRITES_PENDING,
    IN_FLIGHT,
    REQUEST_SECONDS,
    REQUESTS,
)
from damaskstall.entry.responses import (
    ANSWERED,
    OUTCOME_HEADER,
    TEAM_HEADER,
    identity_headers,
    not_run_response,
    rejected_response,
    unknown_response,
)
from damaskstall.entry.retry_budget import RetryBudget
from damaskstall.entry.router import ServiceRouter
from damaskstall.entry.server_registry import ServerRegistry
from damaskstall.entry.server_state import ServerState
from damaskstall.errors import (
    CallerDisconnectedError,
    ConnectionLostError,
    RequestNotRunError,
    RequestOutcomeUnknownError,
    RequestRejectedError,
)
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.messages import Request, Response
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import InstanceList, TableService

TICK_S = 0.1
DRAIN_RETRY_AFTER_S = 1
STATUS_NOT_RUN = 503


class RequestGateway:
    """The handler of requests to all declared backend services."""

    def __init__(
        self,
        network: Network,
        table: TableService,
        instances: InstanceList,
        config: ConfigStore,
        settings: EntrySettings,
        random: Random | None = None,
        unix_now: Callable[[], float] = time,
    ) -> None:
        """Start without services; ``run`` applies the configuration."""
        self.network = network
        self.config = config
        self.settings = settings
        self.random = random or Random()
        self.servers = ServerRegistry(network, settings)
        self.contact_slots = ContactSlots(
            SILENT_SERVER_LIMIT, SILENT_SERVER_LIMIT
        )
        self.routers: dict[str, ServiceRouter] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.claims = ClaimManager(table, self.random, unix_now)
        self.list_watcher = InstanceListWatcher(instances, settings)
        self.draining = False
        self.in_flight = 0
        self._request_count = 0
        self._run_id = f"{self.random.getrandbits(32):08x}"
        self._idle = Event()
        self._nursery: Nursery | None = None
        self._health_scopes: dict[ServerState, CancelScope] = {}

    async def run(self) -> None:
        """Follow the configuration, servers and claims until cancelled."""
        async with open_nursery() as nursery:
            self._nursery = nursery
            self.apply_config()
            nursery.start_soon(self._apply_config_changes)
            nursery.start_soon(self.list_watcher.run, self.servers)
            nursery.start_soon(self.claims.run)
            while True:
                for router in self.routers.values():
                    router.tick(current_time())
                    router.update_gauges(current_time())
                IN_FLIGHT.set({}, self.in_flight)
                CLAIM_WRITES_PENDING.set({}, self.claims.pending)
                await sleep(TICK_S)

    async def handle(self, request: Request) -> Response:
        """Return the response to one request of a caller.

        Raises ConnectionLostError when the caller has disconnected.
        """
        self._request_count += 1
        request_id = (
            f"{self.settings.instance}-{self._run_id}-{self._request_count}"
        )
        self.in_flight += 1
        started_s = current_time()
        streaming = False
        try:
            response = await self._respond(request, request_id)
            self._record_metrics(request, response, current_time() - started_s)
            if isinstance(response.body, StreamedResponse):
                streaming = True
                response.body.on_end.append(self._end_stream)
            return response
        except CallerDisconnectedError as error:
            raise ConnectionLostError(str(error)) from error
        finally:
            if not streaming:
                self._end_request()

    async def drain(self) -> None:
        """Refuse new requests and return once none is in flight.

        Returns after the drain timeout of the settings in any case.
        """
        log(DRAIN_STARTED, in_flight=self.in_flight)
        self.draining = True
        with move_on_after(self.settings.drain_timeout_s):
            while self.in_flight:
                await self._idle.wait()
        log(DRAIN_ENDED, in_flight=self.in_flight)

    def dump(self) -> dict[str, Any]:
        """Return the full state as JSON values."""
        now_s = current_time()
        return {
            "draining": self.draining,
            "in_flight": self.in_flight,
            "services": {
                name: router.dump(now_s)
                for name, router in self.routers.items()
            },
            "retry_budgets": {
                name: budget.available for name, budget in self.budgets.items()
            },
            "claims": self.claims.dump(),
        }

    def apply_config(self) -> None:
        """Update routers and servers to the declared services and teams."""
        services = self.config.resources("backend_service")
        teams = self.config.resources("team")
        weights = {
            name: float(team["spec"].get("weight", 1.0))
            for name, team in teams.items()
        }
        for name in list(self.routers):
            if name not in services:
                self._remove(name)
        for name, value in services.items():
            if name not in self.routers:
                self._add(name)
            self.routers[name].update(value["spec"], weights, self.servers)
        self._sync_servers()

    async def _apply_config_changes(self) -> None:
        while True:
            await self.config.wait_change()
            self.apply_config()

    def _add(self, name: str) -> None:
        self.routers[name] = ServiceRouter(name, self.settings, self.random)
        self.budgets[name] = RetryBudget(self.settings.retry_budget_ratio)

    def _remove(self, name: str) -> None:
        self.routers.pop(name).close()
        del self.budgets[name]

    def _sync_servers(self) -> None:
        for server in self.servers.drop_unused():
            if server in self._health_scopes:
                self._health_scopes.pop(server).cancel()
        self.list_watcher.update_servers(self.servers)
        for server in self.servers.states.values():
            server.out = self.config.is_out(server.failure_domain)
            if server not in self._health_scopes and self._nursery is not None:
                scope = CancelScope()
                self._health_scopes[server] = scope
                self._nursery.start_soon(self._poll_health, server, scope)

    async def _poll_health(
        self, server: ServerState, scope: CancelScope
    ) -> None:
        with scope:
            await poll_server_health(
                server,
                self.network,
                self.settings,
                self.random,
                self.contact_slots,
            )
        await server.pool.close()

    async def _respond(self, request: Request, request_id: str) -> Response:
        try:
            call = read_call(
                request,
                request_id,
                self.config,
                self.settings,
                current_time(),
            )
            if self.draining:
                raise RequestNotRunError(
                    STATUS_NOT_RUN,
                    "This entry is stopping and takes no new requests.",
                    DRAIN_RETRY_AFTER_S,
                )
            if call.service not in self.routers:
                self.apply_config()
            if call.key and not call.idempotent:
                return await self.claims.run_once(call, self._execute)
            await read_for_replay(call.body, REPLAY_LIMIT_BYTES)
            return answered_response(call, await self._execute(call))
        except RequestRejectedError as error:
            return rejected_response(error, request_id)
        except RequestNotRunError as error:
            response = not_run_response(error, request_id)
            return response._replace(close=self.draining)
        except RequestOutcomeUnknownError as error:
            log(OUTCOME_UNKNOWN, request=request_id, error=str(error))
            return unknown_response(error, request_id)

    async def _execute(self, call: Call) -> ServerResponse:
        router = self.routers[call.service]
        budget = self.budgets[call.service]
        return await RequestRun(call, router, budget, self.random).execute()

    def _record_metrics(
        self, request: Request, response: Response, elapsed_s: float
    ) -> None:
        service = request.path.removeprefix(REQUESTS_PREFIX)
        if service not in self.routers:
            service = ""
        team = request.headers.get(TEAM_HEADER, "")
        if self.config.spec("team", team) is None:
            # Only declared teams become label values, so that callers cannot
            # create an unbounded number of metrics.
            team = ""
        outcome = dict(response.headers).get(OUTCOME_HEADER, "")
        REQUESTS.inc(
            {
                "service": service,
                "team": team,
                "outcome": outcome,
                "status": str(response.status),
            }
        )
        REQUEST_SECONDS.observe({"service": service}, elapsed_s)

    async def _end_stream(self, whole: bool) -> None:
        self._end_request()

    def _end_request(self) -> None:
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()
            self._idle = Event()


def answered_response(call: Call, server_response: ServerResponse) -> Response:
    """Return the caller's response for a backend server's response."""
    headers = server_response.headers + identity_headers(
        call.request_id, ANSWERED
    )
    return Response(server_response.status, server_response.body, headers)

"""Run ``damaskstall-entry``, the front end for callers and operators."""

from os import environ
from sys import argv
from typing import Any

from trio import Nursery, move_on_after, run, sleep

from damaskstall.addresses import Address, parse_address
from damaskstall.entry.gateway import RequestGateway
from damaskstall.events import configure_logs
from damaskstall.generated.settings import ENTRY_SETTINGS, EntrySettings
from damaskstall.http.messages import Handler, Request, Response
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from damaskstall.network import Network, TcpNetwork
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.follower import ConfigFollower, PeerIdentity
from damaskstall.peers.registration import Registration
from damaskstall.placement.config_planner import ConfigPlanner
from damaskstall.platform.http_adapter import HttpInstances, HttpTable
from damaskstall.program import (
    not_found,
    probe_handler,
    readiness_response,
    serve_until_stopped,
)
from damaskstall.resources.api import ResourceApi
from damaskstall.settings import settings_or_exit

PROGRAM = ENTRY_SETTINGS.program
REQUIRED = ("instance", "failure_domain", "platform")
REQUEST_PREFIX = "/v1/requests/"


class Entry:
    """The components of one entry process."""

    def __init__(self, network: Network, settings: EntrySettings) -> None:
        """Create the components; ``start`` runs them."""
        self.network = network
        self.settings = settings
        self.stopping = False
        self.registration: Registration | None = None
        self.drain_state = DrainState()
        platform = parse_address(settings.platform)
        timeout_s = settings.platform_timeout_s
        instance = settings.instance
        table = HttpTable(network, platform, timeout_s, instance)
        self.instances = HttpInstances(network, platform, timeout_s, instance)
        self.config = ConfigStore()
        identity = PeerIdentity(instance, settings.failure_domain, PROGRAM)
        self.follower = ConfigFollower(
            network, table, self.config, identity, settings
        )
        planner = ConfigPlanner(settings.cell_worker_limit)
        self.resources = ResourceApi(
            table,
            self.config,
            settings,
            planner.check_view,
            self.list_instances,
        )
        self.gateway = RequestGateway(
            network, table, self.instances, self.config, settings
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return not self.stopping and self.config.revision > 0

    def dump(self) -> dict[str, Any]:
        """Return the full state of the process as JSON values."""
        return {
            "program": PROGRAM,
            "settings": self.settings._asdict(),
            "stopping": self.stopping,
            "connections": self.drain_state.connections,
            "requests_in_flight": self.drain_state.requests,
            "configuration": self.follower.dump(),
            "resources": self.resources.dump(),
            "requests": self.gateway.dump(),
        }

    async def list_instances(self) -> list[dict[str, Any]]:
        """Return all known processes, after querying the silent ones."""
        return [row._asdict() for row in await self.follower.survey()]

    async def start(self, nursery: Nursery) -> dict[str, Address]:
        """Start all tasks and listeners; return the bound addresses."""
        peer_address = await nursery.start(self.follower.run)
        self.registration = Registration(
            self.instances, self.follower, peer_address
        )
        nursery.start_soon(self.registration.run)
        nursery.start_soon(self.resources.run)
        nursery.start_soon(self.gateway.run)
        address = await self._listen(
            nursery,
            self.handle_caller,
            self.settings.listen,
            self.drain_state,
        )
        operator_address = await self._listen(
            nursery,
            probe_handler(self, self.resources.handle),
            self.settings.operator_listen,
            DrainState(),
        )
        return {
            "listen": address,
            "operator_listen": operator_address,
            "peer_listen": peer_address,
        }

    async def handle_caller(self, request: Request) -> Response:
        """Return the response to a request on the callers' address."""
        if request.path.startswith(REQUEST_PREFIX):
            return await self.gateway.handle(request)
        if request.path == "/readyz":
            return readiness_response(self)
        return await not_found(request)

    async def drain(self) -> None:
        """Finish the requests in flight within the drain timeout.

        First reports not ready and waits for the drain notice time, in which
        connections that the load balancer still opens are served.
        """
        self.stopping = True
        with move_on_after(self.settings.drain_timeout_s):
            if self.registration is not None:
                await self.registration.leave()
            await sleep(self.settings.drain_notice_s)
            self.drain_state.start()
            self.resources.close_watches()
            await self.gateway.drain()
            await self.drain_state.wait_closed()

    async def _listen(
        self,
        nursery: Nursery,
        handler: Handler,
        address: str,
        drain_state: DrainState,
    ) -> Address:
        limits = ServerLimits(
            connections=self.settings.connection_limit,
            read_timeout_s=self.settings.read_timeout_s,
        )
        bound: Address = await nursery.start(
            serve_http,
            handler,
            self.network,
            parse_address(address),
            limits,
            drain_state,
        )
        return bound


def main() -> None:
    """Load the settings and run the entry until it is stopped."""
    settings = settings_or_exit(
        EntrySettings, ENTRY_SETTINGS, argv[1:], environ, REQUIRED
    )
    configure_logs(PROGRAM, settings.log_level, settings.log_json)
    program = Entry(TcpNetwork(), settings)
    run(serve_until_stopped, PROGRAM, settings.instance, program)


if __name__ == "__main__":
    main()

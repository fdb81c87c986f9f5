"""Compose one process, which answers clients and schedules if elected."""

from functools import partial
from time import time
from typing import Any

from trio import Nursery, current_time, move_on_after, sleep

from damaskstall.addresses import Address
from damaskstall.events import log
from damaskstall.http.messages import Request, Response
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from damaskstall.network import Network
from damaskstall.program import not_found, probe_handler
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.config_watcher import ConfigWatcher
from damaskstall.tasks.configuration import Configuration
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.election import Election
from damaskstall.tasks.events import SETTINGS_APPLIED
from damaskstall.tasks.gateway import JobCodec, TaskGateway
from damaskstall.tasks.job_service import JobService
from damaskstall.tasks.metrics import (
    CONFIGURATION_AGE_SECONDS,
    CONFIGURATION_VERSION,
    NO_LABELS,
)
from damaskstall.tasks.node_settings import NodeSettings
from damaskstall.tasks.peer_directory import PeerDirectory
from damaskstall.tasks.peer_table import serve_calls
from damaskstall.tasks.ports import Platform
from damaskstall.tasks.relayed_table import DirectTable, RelayedTable
from damaskstall.tasks.supervision import restart_on_error

# The process may open 4,100 file descriptors. This leaves room for 200 files
# and for the connections of its own calls.
CLIENT_CONNECTION_LIMIT = 3000
PROBE_CONNECTION_LIMIT = 64
# The load balancer probes once a second and removes an instance after two
# failed probes.
BALANCER_NOTICE_S = 2.4
# A configuration is confirmed on demand when it has reached its age limit, so
# one that is a little older may only have met no request.
READINESS_DELAY_S = 1.0
# Time reserved for the process to exit before it is killed.
EXIT_MARGIN_S = 0.8


class Node:
    """One process of the service: its components, listeners and drain."""

    def __init__(
        self,
        network: Network,
        settings: NodeSettings,
        platform: Platform,
        codec: JobCodec,
        clock: Clock,
        unix_s: Clock = time,
    ) -> None:
        """Create the components; none runs yet."""
        self.network = network
        self.stopping = False
        self.peers = PeerDirectory(network, settings, clock)
        self.table = RelayedTable(platform.table, self.peers)
        self.configuration = Configuration(platform)
        self.config_watcher = ConfigWatcher(
            self.configuration,
            self.table,
            self.peers,
            clock,
            lambda: self.settings.configuration_age_limit_s,
        )
        self.context = NodeContext(
            settings,
            platform,
            self.table,
            self.configuration,
            self.config_watcher,
            clock,
            unix_s,
        )
        self.election = Election(self.context, self.peers)
        jobs = JobService(self.context, self.election)
        self.gateway = TaskGateway(self.context, jobs, codec)
        self.clients = DrainState()

    @property
    def settings(self) -> NodeSettings:
        """Return the settings in force."""
        return self.context.settings

    def is_ready(self) -> bool:
        """Return whether the node should get new connections.

        It refuses requests while its configuration is not confirmed.
        """
        age_s = self.configuration.age_s(self.context.clock())
        limit_s = self.settings.configuration_age_limit_s + READINESS_DELAY_S
        return age_s <= limit_s and not self.stopping

    def dump(self) -> dict[str, Any]:
        """Return the full state as JSON values, without API keys."""
        return {
            "instance": self.settings.instance,
            "stopping": self.stopping,
            "state_version": self.configuration.state.version,
            "state_age_s": self.configuration.age_s(self.context.clock()),
            "connections": self.clients.connections,
            "requests": self.clients.requests,
            "store_refuses": self.table.refused,
            "peers": sorted(self.peers.peers),
            "election": self.election.dump(),
        }

    async def start(self, nursery: Nursery) -> dict[str, Address]:
        """Start all tasks and listeners; return the bound addresses."""
        settings = self.settings
        listen = await nursery.start(
            serve_http,
            self.gateway.handle,
            self.network,
            settings.listen,
            ServerLimits(connections=CLIENT_CONNECTION_LIMIT),
            self.clients,
        )
        probes = probe_handler(self, not_found)

        async def answer_probe(request: Request) -> Response:
            self._update_metrics()
            return await probes(request)

        limits = ServerLimits(connections=PROBE_CONNECTION_LIMIT)
        metrics = Address(settings.ip_address, settings.metrics_port)
        bound = {"listen": listen}
        for name, handler, address in (
            ("readiness", self._answer_ready, settings.readiness_listen),
            ("metrics", answer_probe, metrics),
        ):
            bound[name] = await nursery.start(
                serve_http,
                handler,
                self.network,
                address,
                limits,
                DrainState(),
            )
        peer_service = DirectTable(
            self.table, self.config_watcher, self.election.competes
        )
        bound["peers"] = await nursery.start(
            self.network.serve,
            partial(serve_calls, peer_service),
            self.peers.own_address,
        )
        for name, task in (
            ("relay", self.table.run),
            ("peers", partial(self.peers.run, self.table)),
            ("configuration", self.config_watcher.run),
            ("election", self.election.run),
        ):
            nursery.start_soon(restart_on_error, name, task)
        return bound

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings; listeners keep the addresses they have."""
        if settings == self.context.settings:
            return
        self.context.settings = settings
        log(SETTINGS_APPLIED, instance=settings.instance)

    async def drain(self) -> None:
        """Release the lease, wait for the load balancer, drain requests.

        Returns when all requests are answered, or when the grace period is
        almost over.
        """
        self.stopping = True
        end_s = current_time() + self.settings.stop_grace_s - EXIT_MARGIN_S
        await self.election.drain()
        await sleep(BALANCER_NOTICE_S)
        self.clients.start()
        with move_on_after(end_s - current_time()):
            await self.clients.wait_closed()

    def _update_metrics(self) -> None:
        """Set the metrics that change with the time alone."""
        configuration = self.configuration
        age_s = configuration.age_s(self.context.clock())
        if not configuration.known:
            age_s = -1.0
        CONFIGURATION_VERSION.set(NO_LABELS, configuration.state.version)
        CONFIGURATION_AGE_SECONDS.set(NO_LABELS, age_s)

    async def _answer_ready(self, request: Request) -> Response:
        return Response(200 if self.is_ready() else 503)

"""Run ``damaskstall-scheduler``, which holds cells and runs their jobs."""

from os import environ
from sys import argv
from typing import Any

from trio import Nursery, move_on_after, run

from damaskstall.addresses import Address, parse_address
from damaskstall.events import configure_logs
from damaskstall.generated.settings import (
    SCHEDULER_SETTINGS,
    SchedulerSettings,
)
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from damaskstall.network import Network, TcpNetwork
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.follower import ConfigFollower, PeerIdentity
from damaskstall.peers.registration import Registration
from damaskstall.placement.config_planner import ConfigPlanner
from damaskstall.platform.http_adapter import (
    HttpInstances,
    HttpObjects,
    HttpTable,
)
from damaskstall.program import (
    not_found,
    probe_handler,
    serve_until_stopped,
)
from damaskstall.scheduler.service import SchedulerService
from damaskstall.settings import settings_or_exit

PROGRAM = SCHEDULER_SETTINGS.program
REQUIRED = ("instance", "failure_domain", "platform")
OPERATOR_CONNECTION_LIMIT = 64


class Scheduler:
    """The parts of one scheduler process."""

    def __init__(self, network: Network, settings: SchedulerSettings) -> None:
        """Create the parts without starting them."""
        self.network = network
        self.settings = settings
        self.stopping = False
        self.registration: Registration | None = None
        platform = parse_address(settings.platform)
        timeout_s = settings.platform_timeout_s
        instance = settings.instance
        table = HttpTable(network, platform, timeout_s, instance)
        objects = HttpObjects(network, platform, timeout_s, instance)
        self.instances = HttpInstances(network, platform, timeout_s, instance)
        self.config = ConfigStore()
        identity = PeerIdentity(instance, settings.failure_domain, PROGRAM)
        self.follower = ConfigFollower(
            network, table, self.config, identity, settings
        )
        self.planner = ConfigPlanner(settings.cell_worker_limit)
        self.service = SchedulerService(
            network, table, objects, self.config, settings, self.planner
        )

    def is_ready(self) -> bool:
        """Return whether the process may hold cells."""
        return not self.stopping and self.service.is_ready()

    def dump(self) -> dict[str, Any]:
        """Return the state of the process as JSON values."""
        missing = self.planner.plan(self.config).missing
        return {
            "program": PROGRAM,
            "settings": self.settings._asdict(),
            "stopping": self.stopping,
            "configuration": self.follower.dump(),
            "guarantees_missing": [m._asdict() for m in missing],
            "scheduler": self.service.dump(),
        }

    async def start(self, nursery: Nursery) -> dict[str, Address]:
        """Start all tasks and listeners; return the bound addresses."""
        peer_address = await nursery.start(self.follower.run)
        self.registration = Registration(
            self.instances, self.follower, peer_address
        )
        nursery.start_soon(self.registration.run)
        nursery.start_soon(self.service.run)
        operator_address = await nursery.start(
            serve_http,
            probe_handler(self, not_found),
            self.network,
            parse_address(self.settings.operator_listen),
            ServerLimits(connections=OPERATOR_CONNECTION_LIMIT),
            DrainState(),
        )
        return {
            "operator_listen": operator_address,
            "peer_listen": peer_address,
        }

    async def drain(self) -> None:
        """Drain the service and unregister, within ``drain_timeout_s``."""
        self.stopping = True
        with move_on_after(self.settings.drain_timeout_s):
            await self.service.drain()
            if self.registration is not None:
                await self.registration.leave()


def main() -> None:
    """Start the program."""
    settings = settings_or_exit(
        SchedulerSettings, SCHEDULER_SETTINGS, argv[1:], environ, REQUIRED
    )
    configure_logs(PROGRAM, settings.log_level, settings.log_json)
    program = Scheduler(TcpNetwork(), settings)
    run(serve_until_stopped, PROGRAM, settings.instance, program)


if __name__ == "__main__":
    main()

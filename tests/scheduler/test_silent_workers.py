"""A holder whose processor is slow reaches many silent workers."""

from random import Random
from typing import cast

from trio import Nursery, current_time, open_nursery, sleep

from damaskstall.addresses import Address
from damaskstall.contact_slots import ContactSlots
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.http.server import DrainState, serve_http
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.model import Worker
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.worker_session import (
    SILENT_WORKER_LIMIT,
    WorkerSession,
)
from standins.network import MemoryNetwork
from standins.worker.core import WorkerCore
from standins.worker.server import WorkerServer
from tests.scheduler.cluster import LIMITS
from tests.scheduler.test_worker_session import HeldLease, Listener
from tests.tasks.slow_processor import SlowProcessorNetwork
from tests.virtual_time import run_virtual

# The largest failure domain of the target (docs/CAPACITY.md).
WORKERS = 1091
SILENT_WORKERS = 300
CONNECT_S, CALL_S = 0.005, 0.0005
# The target for recovery.
REACHED_LIMIT_S = 12.0


async def start_workers(network: MemoryNetwork, nursery: Nursery) -> list[str]:
    """Start the workers of a failure domain; return their addresses."""
    addresses = []
    for number in range(WORKERS):
        name = f"w{number}"
        server = WorkerServer(WorkerCore(name, 8, seed=3))
        nursery.start_soon(server.run)
        address = await nursery.start(
            serve_http,
            server.handle,
            network.endpoint(name),
            Address("127.0.0.1", 0),
            LIMITS,
            DrainState(),
        )
        addresses.append(str(address))
    return addresses


def open_sessions(
    network: MemoryNetwork, addresses: list[str]
) -> list[WorkerSession]:
    """Return the sessions of one process with a slow processor."""
    config = ConfigStore()
    config.confirmed_s = 0.0
    slow = SlowProcessorNetwork(network.endpoint("s1"), CONNECT_S, CALL_S)
    slots = ContactSlots(SILENT_WORKER_LIMIT, SILENT_WORKER_LIMIT)
    return [
        WorkerSession(
            slow,
            Worker(f"w{number}", address, 8),
            cast(CellLease, HeldLease()),
            config,
            SchedulerSettings(),
            Listener(),
            Random(number),
            slots,
        )
        for number, address in enumerate(addresses)
    ]


async def reach_all(sessions: list[WorkerSession]) -> None:
    """Return once all workers answer; fail after the limit."""
    end_s = current_time() + REACHED_LIMIT_S
    while not all(session.reachable for session in sessions):
        reached = sum(session.reachable for session in sessions)
        assert current_time() < end_s, f"{reached} of {len(sessions)} reached"
        await sleep(0.1)


def test_successor_reaches_a_whole_failure_domain() -> None:
    async def main() -> None:
        network = MemoryNetwork()
        async with open_nursery() as nursery:
            addresses = await start_workers(network, nursery)
            sessions = open_sessions(network, addresses)
            for session in sessions:
                nursery.start_soon(session.run)
            await reach_all(sessions)
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_workers_that_stay_silent_do_not_delay_the_others() -> None:
    """Neither their first contact, nor that with one that returns."""

    async def main() -> None:
        network = MemoryNetwork()
        async with open_nursery() as nursery:
            addresses = await start_workers(network, nursery)
            sessions = open_sessions(network, addresses)
            for number in range(SILENT_WORKERS):
                network.freeze(f"w{number}")
            for session in sessions:
                nursery.start_soon(session.run)
            await reach_all(sessions[SILENT_WORKERS:])
            await sleep(30.0)
            network.thaw("w0")
            await reach_all(sessions[:1])
            assert not sessions[1].reachable
            nursery.cancel_scope.cancel()

    run_virtual(main)

"""Measure what worker exchanges cost a scheduler that holds a cell."""

from random import Random
from time import process_time

from trio import current_time, open_nursery, sleep

from bench.capacity.counting_network import CountingNetwork
from bench.capacity.measurement import Measurement, Values
from bench.capacity.resident_memory import resident_bytes
from bench.capacity.standins import worker_standins
from damaskstall.contact_slots import ContactSlots
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.network import TcpNetwork
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.model import Worker
from damaskstall.platform.types import ChangePage
from damaskstall.scheduler.cell_lease import CellLease, LeaseRow
from damaskstall.scheduler.worker_session import (
    SILENT_WORKER_LIMIT,
    WorkerSession,
)
from standins.platform.memory import MemoryTable, Platform

EXCHANGE_INTERVAL_S = 0.25
WARM_UP_S = 1.0
RUN_S = 3.0
LEASE_TTL_S = 3600.0


class NoOpListener:
    """A listener that ignores what workers report."""

    def on_worker_changed(self, session: WorkerSession) -> None:
        """Do nothing."""


def make_sessions(
    network: CountingNetwork, addresses: tuple[str, ...]
) -> list[WorkerSession]:
    """Return a session for each worker, under a lease that stays valid."""
    table = MemoryTable(Platform(0), "bench")
    row = LeaseRow("bench", 1, LEASE_TTL_S)
    lease = CellLease(table, "fd0/0", row, 1, current_time())
    config = ConfigStore()
    config.apply(ChangePage((), 1, True), current_time())
    settings = SchedulerSettings(worker_exchange_s=EXCHANGE_INTERVAL_S)
    slots = ContactSlots(SILENT_WORKER_LIMIT, SILENT_WORKER_LIMIT)
    return [
        WorkerSession(
            network,
            Worker(f"w{number}", address, 8),
            lease,
            config,
            settings,
            NoOpListener(),
            Random(number),
            slots,
        )
        for number, address in enumerate(addresses)
    ]


async def measure_exchanges(workers: int) -> Values:
    """Exchange with idle workers, as for the renewal of task leases."""
    network = CountingNetwork(TcpNetwork())
    async with worker_standins(workers) as addresses:
        before_bytes = resident_bytes()
        sessions = make_sessions(network, addresses)
        async with open_nursery() as nursery:
            for session in sessions:
                nursery.start_soon(session.run)
            await sleep(WARM_UP_S)
            grown_bytes = resident_bytes() - before_bytes
            first = sum(session.exchanges for session in sessions)
            first_bytes = network.bytes
            started_s = process_time()
            await sleep(RUN_S)
            spent_s = process_time() - started_s
            count = sum(session.exchanges for session in sessions) - first
            moved = network.bytes - first_bytes
            nursery.cancel_scope.cancel()
    return {
        "exchanges": count,
        "cpu_s_per_round": spent_s / count * workers,
        "bytes_per_round": moved / count * workers,
        "resident_bytes": grown_bytes,
    }


WORKER_EXCHANGES = Measurement(
    "worker_exchanges", "workers", (32, 64, 128), measure_exchanges
)

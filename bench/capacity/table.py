"""Measure what a process spends on calls to the table."""

from time import process_time

from bench.capacity.counting import CountingNetwork
from bench.capacity.measures import Measurement, Values
from bench.capacity.standins import platform_standin
from damaskstall.network import TcpNetwork
from damaskstall.platform.http_adapter import HttpTable
from damaskstall.platform.keys import CONFIG_PREFIX
from damaskstall.platform.types import ABSENT, Write

TIMEOUT_S = 5.0
PAGE_LIMIT = 200


async def measure_polls(polls: int) -> Values:
    """Ask for changes where there are none."""
    network = CountingNetwork(TcpNetwork())
    async with platform_standin() as address:
        table = HttpTable(network, address, TIMEOUT_S, "bench")
        await table.changes(CONFIG_PREFIX, 0, PAGE_LIMIT)
        first_bytes = network.bytes
        started_s = process_time()
        for _ in range(polls):
            await table.changes(CONFIG_PREFIX, 0, PAGE_LIMIT)
        spent_s = process_time() - started_s
    return {"cpu_s": spent_s, "bytes": network.bytes - first_bytes}


async def measure_writes(writes: int) -> Values:
    """Renew one row again and again, as a lease is renewed."""
    network = CountingNetwork(TcpNetwork())
    async with platform_standin() as address:
        table = HttpTable(network, address, TIMEOUT_S, "bench")
        value = {"holder": "scheduler-1/abcdef12", "epoch": 7, "ttl_s": 10.0}
        revision = await table.commit(
            (Write("cell/fd0/0", value, ABSENT),), "first"
        )
        first_bytes = network.bytes
        started_s = process_time()
        for number in range(writes):
            write = Write("cell/fd0/0", value, revision)
            revision = await table.commit((write,), f"m{number}")
        spent_s = process_time() - started_s
    return {"cpu_s": spent_s, "bytes": network.bytes - first_bytes}


TABLE_POLLS = Measurement(
    "table_polls", "polls", (100, 200, 400), measure_polls
)
TABLE_WRITES = Measurement(
    "table_writes", "writes", (50, 100, 200), measure_writes
)

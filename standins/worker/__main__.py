"""Run stand-in workers: ``python -m standins.worker``."""

from os import environ
from sys import argv

from trio import Nursery, open_nursery, run

from damaskstall.addresses import Address, parse_address
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from damaskstall.network import TcpNetwork
from damaskstall.program import print_addresses, stop_signal
from damaskstall.settings import settings_or_exit
from standins.settings import WORKER_STANDIN_SETTINGS as FIELDS
from standins.settings import WorkerStandinSettings
from standins.worker.core import WorkerCore
from standins.worker.server import WorkerServer

CONNECTION_LIMIT = 256


async def serve_worker(
    nursery: Nursery, settings: WorkerStandinSettings, index: int
) -> Address:
    """Start serving one worker and return its address."""
    name = settings.name
    if settings.workers > 1:
        name = f"{settings.name}-{index}"
    core = WorkerCore(
        name, settings.accelerators, settings.seed, settings.time_scale
    )
    server = WorkerServer(core)
    first = parse_address(settings.listen)
    port = first.port + index if first.port else 0
    nursery.start_soon(server.run)
    address: Address = await nursery.start(
        serve_http,
        server.handle,
        TcpNetwork(),
        Address(first.host, port),
        ServerLimits(connections=CONNECTION_LIMIT, idle_timeout_s=3600),
        DrainState(),
    )
    return address


async def serve(settings: WorkerStandinSettings) -> None:
    """Serve all workers until a stop signal arrives."""
    async with stop_signal() as stop, open_nursery() as nursery:
        addresses = [
            await serve_worker(nursery, settings, index)
            for index in range(settings.workers)
        ]
        print_addresses(
            listen=addresses[0],
            workers=",".join(str(address) for address in addresses),
        )
        await stop.wait()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Read the settings and run the workers."""
    settings = settings_or_exit(
        WorkerStandinSettings, FIELDS, argv[1:], environ, ("name",)
    )
    run(serve, settings)


if __name__ == "__main__":
    main()

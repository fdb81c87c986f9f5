"""Run the stand-in platform as ``python -m standins.platform``."""

from os import environ
from sys import argv

from trio import open_nursery, run

from damaskstall.addresses import parse_address
from damaskstall.http.server import (
    DrainState,
    ServerLimits,
    serve_http,
)
from damaskstall.network import TcpNetwork
from damaskstall.program import print_addresses, stop_signal
from damaskstall.settings import settings_or_exit
from standins.platform.faults import RateLimiter
from standins.platform.memory import Platform
from standins.platform.server import PlatformServer
from standins.settings import PLATFORM_STANDIN_SETTINGS as FIELDS
from standins.settings import PlatformStandinSettings

CONNECTION_LIMIT = 20_000


async def serve(settings: PlatformStandinSettings) -> None:
    """Serve until the process receives a stop signal."""
    server = PlatformServer(
        Platform(settings.seed),
        RateLimiter(settings.operations_per_s),
        settings.list_lag_s,
    )
    limits = ServerLimits(connections=CONNECTION_LIMIT, idle_timeout_s=3600)
    async with stop_signal() as stop, open_nursery() as nursery:
        address = await nursery.start(
            serve_http,
            server.handle,
            TcpNetwork(),
            parse_address(settings.listen),
            limits,
            DrainState(),
        )
        print_addresses(listen=address)
        await stop.wait()
        nursery.cancel_scope.cancel()


def main() -> None:
    """Run the program."""
    settings = settings_or_exit(
        PlatformStandinSettings, FIELDS, argv[1:], environ
    )
    run(serve, settings)


if __name__ == "__main__":
    main()

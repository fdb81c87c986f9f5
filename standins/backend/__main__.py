"""Run the stand-in backend server: ``python -m standins.backend``."""

from os import environ
from sys import argv

from trio import move_on_after, open_nursery, run, sleep

from damaskstall.addresses import Address, parse_address
from damaskstall.errors import PlatformError
from damaskstall.network import TcpNetwork
from damaskstall.platform.http_adapter import HttpInstances
from damaskstall.platform.types import InstanceRecord
from damaskstall.program import print_addresses, stop_signal
from damaskstall.settings import settings_or_exit
from standins.backend.core import BackendCore
from standins.backend.server import BackendServer
from standins.settings import BACKEND_STANDIN_SETTINGS as FIELDS
from standins.settings import BackendStandinSettings

ROLE = "backend_server"
PLATFORM_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 10.0
LEAVE_CHECK_S = 0.05


async def register(
    settings: BackendStandinSettings, address: Address, leaving: bool
) -> None:
    """Register the server in the instance list of the platform.

    Does nothing if the settings name no platform.
    """
    if not settings.platform:
        return
    platform = parse_address(settings.platform)
    instances = HttpInstances(
        TcpNetwork(), platform, PLATFORM_TIMEOUT_S, settings.name
    )
    record = InstanceRecord(
        settings.name, ROLE, settings.failure_domain, str(address), leaving
    )
    try:
        await instances.register(record)
    except PlatformError:
        # A backend server also serves while the instance list is down.
        return


async def serve(settings: BackendStandinSettings) -> None:
    """Serve until a stop signal, then drain.

    Returns once no request runs or LEAVE_TIMEOUT_S has passed.
    """
    core = BackendCore(settings)
    server = BackendServer(core)
    async with stop_signal() as stop, open_nursery() as nursery:
        address = await nursery.start(
            server.serve, TcpNetwork(), parse_address(settings.listen)
        )
        print_addresses(listen=address)
        await register(settings, address, leaving=False)
        await stop.wait()
        core.leaving = True
        await register(settings, address, leaving=True)
        with move_on_after(LEAVE_TIMEOUT_S):
            while core.running:
                await sleep(LEAVE_CHECK_S)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Read the settings and run the server."""
    settings = settings_or_exit(
        BackendStandinSettings, FIELDS, argv[1:], environ
    )
    run(serve, settings)


if __name__ == "__main__":
    main()

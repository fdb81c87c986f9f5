"""An entry whose processor is slow reaches many silent servers."""

from random import Random

from trio import current_time, open_nursery, sleep

from damaskstall.addresses import Address
from damaskstall.contact_slots import ContactSlots
from damaskstall.entry.health import SILENT_SERVER_LIMIT, poll_server_health
from damaskstall.entry.server_state import ServerState
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.messages import Request, Response, json_response
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from standins.network import MemoryNetwork
from tests.tasks.slow_processor import SlowProcessorNetwork
from tests.virtual_time import run_virtual

SERVERS = 1000
CONNECT_S, CALL_S = 0.005, 0.0005
# The target for recovery.
REACHED_LIMIT_S = 12.0
LIMITS = ServerLimits(connections=8)


async def answer_health(request: Request) -> Response:
    """Answer as a server that serves."""
    return json_response(200, {"state": "serving"})


def test_entry_with_a_slow_processor_reaches_all_servers() -> None:
    async def main() -> None:
        network = MemoryNetwork()
        slow = SlowProcessorNetwork(network.endpoint("e0"), CONNECT_S, CALL_S)
        settings = EntrySettings()
        slots = ContactSlots(SILENT_SERVER_LIMIT, SILENT_SERVER_LIMIT)
        servers = []
        async with open_nursery() as nursery:
            for number in range(SERVERS):
                name = f"b{number}"
                address = await nursery.start(
                    serve_http,
                    answer_health,
                    network.endpoint(name),
                    Address("127.0.0.1", 0),
                    LIMITS,
                    DrainState(),
                )
                server = ServerState(
                    {
                        "name": name,
                        "address": str(address),
                        "failure_domain": "north",
                        "slots": 4,
                        "connections": 8,
                    },
                    slow,
                    settings,
                )
                servers.append(server)
            for number, server in enumerate(servers):
                nursery.start_soon(
                    poll_server_health,
                    server,
                    slow,
                    settings,
                    Random(number),
                    slots,
                )
            end_s = current_time() + REACHED_LIMIT_S
            reached = 0
            while reached < SERVERS:
                assert current_time() < end_s, f"{reached} servers reached"
                await sleep(0.1)
                now_s = current_time()
                reached = sum(each.is_serving(now_s) for each in servers)
            nursery.cancel_scope.cancel()

    run_virtual(main)

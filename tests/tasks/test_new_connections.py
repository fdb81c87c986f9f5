"""A new connection may lead to a worker's next incarnation."""

from functools import partial

from trio import open_nursery, run, sleep

from damaskstall.addresses import Address
from damaskstall.http.client import HttpClient
from damaskstall.http.messages import Request, Response
from damaskstall.http.server import DrainState, ServerLimits, serve_http
from damaskstall.network import TcpNetwork
from tests.tasks.session_fakes import (
    DEMAND,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
)
from tests.virtual_time import run_virtual

KEY = run_key(0)
ANY = Address("127.0.0.1", 0)
LIMITS = ServerLimits(connections=8, idle_timeout_s=60.0)


def test_end_is_not_acknowledged_over_a_new_connection() -> None:
    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            session.reserve(KEY, DEMAND)
            await session.launch(KEY, "", "")
            worker.connected = False
            worker.end_run(KEY)
            await sleep(2.0)
            assert not any(worker.acknowledged)
            worker.connected = True
            await sleep(2.0)
            assert any(worker.acknowledged)
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_commands_after_a_silence_use_new_connections() -> None:
    """Those of before lead to an incarnation that may have ended."""

    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            session.reserve(KEY, DEMAND)
            await session.launch(KEY, "", "")
            worker.loses_answers = True
            await sleep(2.0)
            assert worker.reconnects == 1
            session.begin_incarnation(2, "list of workers")
            assert worker.reconnects == 2
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def answer(request: Request) -> Response:
    """Answer a request with an empty body."""
    return Response(200)


async def check_client() -> None:
    """Check a client before, during and after the life of its server."""
    async with open_nursery() as nursery:
        serve = partial(serve_http, answer, TcpNetwork(), ANY, LIMITS)
        address = await nursery.start(serve, DrainState())
        client = HttpClient(TcpNetwork(), address, 5.0)
        assert not client.is_connected()
        await client.call("POST", "/hold")
        assert client.is_connected()
        nursery.cancel_scope.cancel()
    assert not client.is_connected()
    await client.close()


def test_client_is_connected_until_its_server_ends() -> None:
    run(check_client)

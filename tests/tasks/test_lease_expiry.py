"""A silent worker's runs end only once its lease has certainly expired."""

from collections.abc import Awaitable, Callable

from trio import open_nursery, sleep

from damaskstall.addresses import Address
from damaskstall.platform.worker_client import HttpWorkerClient
from damaskstall.tasks.ports import StartRequest
from damaskstall.tasks.worker_pool import ANSWER_LIMIT_S
from damaskstall.tasks.worker_session import WorkerSession
from standins.network import MemoryNetwork
from standins.operators.run_history import RunHistory
from standins.operators.worker import StandinWorker
from tests.tasks.session_fakes import (
    DEMAND,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
    worker_info,
)
from tests.virtual_time import run_virtual

Body = Callable[[WorkerSession, FakeWorker, RecordingOwner], Awaitable[None]]


def run_session(body: Body, clock_rate: float = 1.0) -> None:
    """Run a test's body beside a session with a worker."""

    async def main() -> None:
        worker, owner = FakeWorker(clock_rate), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            await body(session, worker, owner)
            nursery.cancel_scope.cancel()

    run_virtual(main)


async def launch(session: WorkerSession, index: int) -> None:
    """Start a run through a session."""
    key = run_key(index)
    session.reserve(key, DEMAND)
    await session.launch(key, "payload", "")


async def wait_end(owner: RecordingOwner, index: int) -> None:
    """Wait until the end of a run is recorded."""
    for _ in range(5000):
        if owner.ended(run_key(index)) is not None:
            return
        await sleep(0.01)
    raise AssertionError("The run has no end.")


def test_late_start_extends_the_lease_of_a_silent_worker() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        await launch(session, 1)
        worker.loses_answers = True
        await sleep(9.5)
        await launch(session, 2)
        await wait_end(owner, 1)
        assert not worker.lease_lasts(), "ended while the lease lasts"

    run_session(body, clock_rate=0.98)


def test_answer_of_another_worker_does_not_end_runs() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        await launch(session, 1)
        worker.replaced = True
        await sleep(1.0)
        assert worker.lease_lasts()
        assert not owner.ends, "ended by an answer of another worker"
        assert not session.usable()
        worker.replaced = False
        await sleep(1.0)
        assert session.usable()

    run_session(body)


def test_start_that_reaches_another_worker_ends_only_that_run() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        await launch(session, 1)
        worker.replaced = True
        await launch(session, 2)
        assert [end.key for end in owner.ends] == [run_key(2)]
        assert not session.usable()

    run_session(body)


def test_runs_of_a_replaced_worker_end_with_their_lease() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        await launch(session, 1)
        worker.replaced = True
        await wait_end(owner, 1)
        assert not worker.lease_lasts()

    run_session(body, clock_rate=0.98)


def test_client_follows_the_address_of_its_worker() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        session.update(worker_info(host="10.1.0.0"))
        assert not worker.followed
        moved = worker_info(host="10.1.0.9")
        session.update(moved)
        assert worker.followed == [moved]

    run_session(body)


def test_worker_whose_runs_have_lapsed_is_used_once_it_answers() -> None:
    async def body(
        session: WorkerSession, worker: FakeWorker, owner: RecordingOwner
    ) -> None:
        await launch(session, 1)
        worker.loses_answers = True
        await wait_end(owner, 1)
        worker.running.clear()
        worker.loses_answers = False
        await sleep(3.0)
        assert session.usable()

    run_session(body)


def test_deadline_of_a_start_is_not_rounded_up() -> None:
    async def main() -> None:
        network, history = MemoryNetwork(), RunHistory()
        history.jobs["job"] = {"steps": [{"count": 1}]}
        address = Address("10.1.0.0", 8080)
        worker = StandinWorker(network, history, "w00", address, "r0-0", {})
        client = HttpWorkerClient(
            network.endpoint("n0"), worker_info(), lambda: ANSWER_LIMIT_S
        )
        async with open_nursery() as nursery:
            await nursery.start(worker.run)
            not_after_s = worker.clock_s() + 1.0006
            request = StartRequest(1, run_key(0), "", not_after_s, "")
            await client.start(request)
            assert worker.lease_until_s <= not_after_s
            nursery.cancel_scope.cancel()

    run_virtual(main)

"""A session ends and starts only what it may, with a scripted worker."""

from trio import current_time, open_nursery, sleep

from damaskstall.contact_slots import ContactSlots
from damaskstall.tasks.fencing import FencingTokens
from damaskstall.tasks.model import Demand, RunKey, TaskKey, WorkerInfo
from damaskstall.tasks.ports import (
    EndReport,
    LeaseRenewal,
    StartRequest,
    WorkerReport,
)
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.session_fakes import RecordingOwner
from tests.virtual_time import run_virtual

LISTED_ENDS_LIMIT = 500
DEMAND = Demand(1000, 1000, 1)


class ScriptedWorker:
    """Worker without runs that lists its ends, a limited number at a time."""

    def __init__(self, ended: list[EndReport]) -> None:
        """List the ends that are not yet acknowledged."""
        self.ended = ended
        self.incarnation = 1
        self.started: list[RunKey] = []

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Forget the acknowledged ends; return the first of the others."""
        await sleep(0.1)
        self.ended = [
            end for end in self.ended if end.number > request.acknowledged_end
        ]
        listed = tuple(self.ended[:LISTED_ENDS_LIMIT])
        return WorkerReport(
            current_time() + 100.0, self.incarnation, (), listed
        )

    def is_connected(self) -> bool:
        """Return that the connection is open."""
        return True

    async def start(self, request: StartRequest) -> float:
        """Record a start."""
        self.started.append(request.key)
        return current_time() + 100.0

    async def stop(self, token: int, key: RunKey) -> None:
        """Ignore a stop."""

    def follow(self, worker: WorkerInfo) -> None:
        """Stay at the address."""

    def reconnect(self) -> None:
        """Keep the connection."""

    async def close(self) -> None:
        """Do nothing."""


def run_key(index: int) -> RunKey:
    """Return the first run of a task."""
    return RunKey(TaskKey("0" * 16, 0, 0, index), 1)


def open_session(
    worker: ScriptedWorker, owner: RecordingOwner
) -> WorkerSession:
    """Return a session with a worker."""
    info = WorkerInfo(
        name="w1",
        service="svc",
        host="10.0.0.1",
        port=80,
        failure_domain="fd0",
        rack="r0",
        labels=frozenset(),
        capacity=Demand(64000, 64000, 8),
        leaving=False,
        checks_capacity=False,
        incarnation=1,
    )
    tokens = FencingTokens(1)
    return WorkerSession(
        info, worker, owner, tokens, 10.0, current_time, ContactSlots()
    )


def test_run_missing_from_a_partial_list_of_ends_has_not_lapsed() -> None:
    async def main() -> None:
        last = LISTED_ENDS_LIMIT
        ended = [
            EndReport(index + 1, run_key(index), "done", "")
            for index in range(last + 1)
        ]
        owner = RecordingOwner()
        session = open_session(ScriptedWorker(ended), owner)
        session.adopt(run_key(last), DEMAND, settled=True)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await sleep(1.0)
            nursery.cancel_scope.cancel()
        assert owner.outcomes(run_key(last)) == ["done"]

    run_virtual(main)


def test_run_is_not_started_after_the_lease_was_lost() -> None:
    """A suspended holder may resume between the write and the start."""

    async def main() -> None:
        worker, owner = ScriptedWorker([]), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await sleep(0.5)
            for may_renew in (True, False):
                owner.may_renew = may_renew
                key = run_key(int(may_renew))
                session.reserve(key, DEMAND)
                await session.launch(key, "", "")
            nursery.cancel_scope.cancel()
        assert worker.started == [run_key(1)]

    run_virtual(main)


def test_ends_of_the_next_incarnation_are_not_acknowledged_unread() -> None:
    """Ends that are stored late were numbered by an earlier incarnation."""

    async def main() -> None:
        worker = ScriptedWorker([EndReport(7, run_key(0), "done", "")])
        owner = RecordingOwner(store_s=0.2)
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await sleep(0.15)
            assert owner.outcomes(run_key(0))
            worker.incarnation = 2
            worker.ended = [EndReport(1, run_key(1), "done", "")]
            session.update(session.worker._replace(incarnation=2))
            await sleep(1.0)
            nursery.cancel_scope.cancel()
        assert owner.outcomes(run_key(1))

    run_virtual(main)

"""A session tells the incarnations of its worker apart."""

from collections.abc import Awaitable, Callable
from contextlib import suppress

from trio import (
    WouldBlock,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from damaskstall.contact_slots import ContactSlots
from damaskstall.errors import CommandOutcomeUnknownError, FencedError
from damaskstall.tasks.expected_runs import LISTED_AFTER_S
from damaskstall.tasks.fencing import (
    EPOCH_SPACING,
    FencingTokens,
    next_epoch,
)
from damaskstall.tasks.model import Demand, RunKey, TaskKey, WorkerInfo
from damaskstall.tasks.ports import (
    REPLACED,
    UNSEEN,
    EndReport,
    LeaseRenewal,
    RunReport,
    StartRequest,
    WorkerReport,
)
from damaskstall.tasks.worker_lease import LATE_COMMAND_LIMIT_S
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.session_fakes import RecordingOwner
from tests.virtual_time import run_virtual

EPOCH = 7
LEASE_S = 10.0
DEMAND = Demand(1000, 1024, 1)
KEY = RunKey(TaskKey("job", 0, 0, 0), 1)


def worker_info(incarnation: int) -> WorkerInfo:
    """Return the entry of an incarnation of a worker."""
    capacity = Demand(64000, 262144, 8)
    return WorkerInfo(
        "w00",
        "svc",
        "10.1.0.0",
        8080,
        "fd0",
        "r0-0",
        frozenset(),
        capacity,
        False,
        False,
        incarnation,
    )


class ScriptedWorker:
    """A worker whose answers the test sends, one for each renewal."""

    def __init__(self) -> None:
        """Record no call yet."""
        self.renewals: list[LeaseRenewal] = []
        self.starts: list[StartRequest] = []
        self.start_clock_s = 0.0
        self.start_takes_s = 0.0
        self.silent = False
        self._send, self._receive = open_memory_channel[WorkerReport](100)

    def report(
        self,
        clock_s: float,
        incarnation: int,
        running: tuple[RunKey, ...] = (),
        ended: tuple[EndReport, ...] = (),
    ) -> None:
        """Answer the oldest renewal that waits, or else the next."""
        runs = tuple(RunReport(key, "", 0.0) for key in running)
        report = WorkerReport(clock_s, incarnation, runs, ended)
        self._send.send_nowait(report)

    def forget_reports(self) -> None:
        """Drop the answers that nothing has asked for."""
        with suppress(WouldBlock):
            while True:
                self._receive.receive_nowait()

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Return the next report of the script."""
        self.renewals.append(request)
        if self.silent:
            raise CommandOutcomeUnknownError("The worker is silent.")
        return await self._receive.receive()

    def is_connected(self) -> bool:
        """Return that the connection is open."""
        return True

    async def start(self, request: StartRequest) -> float:
        """Answer with the clock of the script, or refuse a lower token."""
        self.starts.append(request)
        await sleep(self.start_takes_s)
        if self.silent:
            raise CommandOutcomeUnknownError("The worker is silent.")
        if self.renewals[-1].token > request.token:
            raise FencedError("The token is lower than an accepted one.")
        return self.start_clock_s

    async def stop(self, token: int, key: RunKey) -> None:
        """Carry out nothing."""

    def follow(self, worker: WorkerInfo) -> None:
        """Keep the script."""

    def reconnect(self) -> None:
        """Keep the script."""

    async def close(self) -> None:
        """Close nothing."""


Body = Callable[
    [WorkerSession, ScriptedWorker, RecordingOwner], Awaitable[None]
]


def run_session(body: Body) -> None:
    """Run a test's body beside a session with one run of incarnation 1."""

    async def main() -> None:
        worker = ScriptedWorker()
        owner = RecordingOwner(may_step_down=True)
        session = WorkerSession(
            worker_info(1),
            worker,
            owner,
            FencingTokens(EPOCH),
            LEASE_S,
            current_time,
            ContactSlots(),
        )
        session.adopt(KEY, DEMAND, settled=True)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            worker.report(1000.0, 1, (KEY,))
            await sleep(0.1)
            await body(session, worker, owner)
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_report_of_the_earlier_incarnation_is_passed_over() -> None:
    """It may arrive after the list has shown the newer incarnation."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        session.update(worker_info(2))
        worker.report(1001.0, 1)
        await sleep(0.1)
        assert not session.usable()
        worker.report(5.0, 2, (KEY,))
        await sleep(0.1)
        assert session.usable()
        assert not owner.ends

    run_session(body)


def test_answer_of_the_next_incarnation_to_a_start_ends_no_run() -> None:
    """A report of the earlier one may still arrive, with a later clock."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(KEY.task, 2)
        session.reserve(key, DEMAND)
        worker.start_clock_s = 5.0
        await session.launch(key, "", "")
        worker.report(1001.0, 1, (KEY,))
        await sleep(0.1)
        assert not owner.ends
        worker.report(5.2, 2, (key,))
        await sleep(0.1)
        assert [end.key for end in owner.ends] == [KEY]

    run_session(body)


def test_first_renewal_after_a_reboot_carries_a_higher_token() -> None:
    """It acknowledges no end and extends no lease by the earlier clock."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        other = RunKey(TaskKey("job", 0, 0, 1), 1)
        end = EndReport(3, other, "done", "")
        worker.report(1001.0, 1, (KEY,), (end,))
        worker.report(1002.0, 1, (KEY,))
        await sleep(0.1)
        worker.report(5.0, 2)
        await sleep(0.1)
        first = worker.renewals[-1]
        assert first.token > worker.renewals[-2].token
        assert first.acknowledged_end == 0
        assert first.lease_until_s == 0.0

    run_session(body)


def test_end_is_acknowledged_only_until_that_is_answered() -> None:
    """A repeated acknowledgement could reach another incarnation."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        other = RunKey(TaskKey("job", 0, 0, 1), 1)
        end = EndReport(3, other, "done", "")
        worker.report(1001.0, 1, (KEY,), (end,))
        await sleep(0.1)
        assert worker.renewals[-1].acknowledged_end == 3
        worker.report(1002.0, 1, (KEY,))
        await sleep(0.1)
        assert worker.renewals[-1].acknowledged_end == 0

    run_session(body)


def test_run_that_was_not_launched_survives_a_reboot() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(TaskKey("job", 0, 0, 1), 1)
        session.reserve(key, DEMAND)
        worker.report(5.0, 2)
        worker.report(5.1, 2)
        await sleep(0.1)
        assert [end.key for end in owner.ends] == [KEY]
        session.update(worker_info(2))
        worker.start_clock_s = 5.2
        await session.launch(key, "", "")
        assert [request.key for request in worker.starts] == [key]

    run_session(body)


def test_reboot_under_a_run_that_no_list_has_shown_is_no_proof() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(TaskKey("job", 0, 0, 1), 1)
        session.reserve(key, DEMAND)
        session.expected.add_launched(key, not_after_s=2000.0)
        session.expected.mark_sent(key, current_time())
        await sleep(LISTED_AFTER_S)
        for clock_s in (1002.0, 1003.0):
            worker.report(clock_s, 1, (KEY,))
            await sleep(0.1)
        worker.report(5.0, 2)
        worker.report(5.1, 2)
        await sleep(0.1)
        evidence = {end.key: end.evidence for end in owner.ends}
        assert evidence == {KEY: REPLACED, key: UNSEEN}

    run_session(body)


def test_no_run_is_launched_by_the_clock_of_an_earlier_incarnation() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(TaskKey("job", 0, 0, 1), 1)
        session.reserve(key, DEMAND)
        session.update(worker_info(2))
        await session.launch(key, "", "")
        assert not worker.starts
        assert [end.how for end in owner.ends] == ["not_started"]
        assert key not in session.load.runs

    run_session(body)


def test_end_of_the_earlier_incarnation_is_not_acknowledged_later() -> None:
    """The worker may start again while the end is being stored."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        owner.store_s = 0.2
        other = RunKey(TaskKey("job", 0, 0, 1), 1)
        end = EndReport(3, other, "done", "")
        worker.report(1001.0, 1, (KEY,), (end,))
        await sleep(0.1)
        session.update(worker_info(2))
        await sleep(0.2)
        worker.report(5.0, 2, (KEY,))
        await sleep(0.1)
        tokens = {request.token for request in worker.renewals}
        assert [
            request.acknowledged_end
            for request in worker.renewals
            if request.token == max(tokens)
        ] == [0, 0]

    run_session(body)


def test_refusal_of_an_earlier_token_does_not_end_the_holder() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(TaskKey("job", 0, 0, 1), 1)
        session.reserve(key, DEMAND)
        worker.start_takes_s = 0.1
        async with open_nursery() as nursery:
            nursery.start_soon(session.launch, key, "", "")
            await sleep(0.05)
            worker.report(5.0, 2)
            worker.report(5.1, 2, (KEY, key))
        await sleep(0.1)
        assert not owner.stepped_down
        assert not owner.ends

    run_session(body)


def test_holder_ends_once_it_has_used_all_its_tokens() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        session.tokens.current = EPOCH + EPOCH_SPACING - 2
        worker.report(5.0, 2, (KEY,))
        worker.report(5.1, 2, (KEY,))
        await sleep(0.1)
        assert not owner.stepped_down
        worker.report(3.0, 3)
        await sleep(0.1)
        assert owner.stepped_down
        assert session.token < next_epoch(EPOCH, 0)

    run_session(body)


def test_number_that_appears_late_shows_another_incarnation() -> None:
    """The clock of the next incarnation may already be higher."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        worker.report(5.0, 0, (KEY,))
        worker.report(5.1, 0, (KEY,))
        await sleep(0.1)
        token = session.token
        worker.report(6.0, 2, (KEY,))
        await sleep(0.1)
        assert session.token > token
        assert not session.usable()

    run_session(body)


def test_no_end_is_acknowledged_right_after_a_silence() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        other = RunKey(TaskKey("job", 0, 0, 1), 1)
        end = EndReport(3, other, "done", "")
        worker.silent = True
        worker.report(1001.0, 1, (KEY,), (end,))
        await sleep(0.05)
        assert worker.renewals[-1].acknowledged_end == 3
        worker.silent = False
        await sleep(0.2)
        assert worker.renewals[-1].acknowledged_end == 0
        worker.report(1002.0, 1, (KEY,), (end,))
        await sleep(0.1)
        assert worker.renewals[-1].acknowledged_end == 3

    run_session(body)


def test_session_opened_again_has_a_higher_token() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        token = session.token
        session.release(KEY)
        session.update(None)
        for second in range(round(LATE_COMMAND_LIMIT_S) + 1):
            worker.report(1001.0 + second, 1)
            await sleep(1.0)
        assert session.closed
        assert session.tokens.current > token

    run_session(body)


def test_start_is_not_repeated_to_the_next_incarnation() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        key = RunKey(TaskKey("job", 0, 0, 1), 1)
        session.reserve(key, DEMAND)
        async with open_nursery() as nursery:
            worker.silent = True
            nursery.start_soon(session.launch, key, "", "")
            await sleep(0.05)
            worker.silent = False
            session.update(worker_info(2))
        assert len(worker.starts) == 1
        assert not owner.ends

    run_session(body)


def test_idle_worker_that_was_born_earlier_by_its_clock_is_used_again() -> (
    None
):
    """A machine's Unix clock may be set back before its worker restarts."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        session.release(KEY)
        session.update(worker_info(5))
        for second in range(round(LATE_COMMAND_LIMIT_S) + 3):
            worker.report(1001.0 + second, 5)
            await sleep(1.0)
        assert session.usable()
        worker.forget_reports()
        calls = len(worker.renewals)
        await sleep(5.0)
        assert len(worker.renewals) == calls
        token = session.token
        session.update(worker_info(3))
        assert not session.usable()
        worker.report(1.0, 3)
        worker.report(1.1, 3)
        await sleep(3.0)
        assert session.usable()
        assert session.token > token

    run_session(body)


def test_idle_worker_whose_entry_stays_outdated_is_seldom_called() -> None:
    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        session.release(KEY)
        for second in range(round(LATE_COMMAND_LIMIT_S) + 3):
            worker.report(1001.0 + second, 2)
            await sleep(1.0)
        worker.forget_reports()
        calls = len(worker.renewals)
        for second in range(10):
            worker.report(1100.0 + second, 2)
        await sleep(10.0)
        assert not session.usable()
        assert len(worker.renewals) <= calls + 10

    run_session(body)

"""A session does not call a worker without a pause."""

from pytest import MonkeyPatch
from trio import sleep

from damaskstall.tasks.ports import EndReport, LeaseRenewal, WorkerReport
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.session_fakes import RecordingOwner
from tests.tasks.test_worker_incarnations import (
    KEY,
    ScriptedWorker,
    run_session,
)


def test_end_that_is_no_longer_listed_does_not_cause_a_storm(
    monkeypatch: MonkeyPatch,
) -> None:
    """The worker started again without a sign before its end was stored."""

    async def body(
        session: WorkerSession, worker: ScriptedWorker, owner: RecordingOwner
    ) -> None:
        await sleep(13.0)
        calls: list[LeaseRenewal] = []
        clock_s = [1060.0]

        async def renew(request: LeaseRenewal) -> WorkerReport:
            calls.append(request)
            await sleep(0.002 + request.wait_s)
            clock_s[0] += 0.002 + request.wait_s
            return WorkerReport(clock_s[0], 1, (), ())

        owner.store_s = 60.0
        worker.report(1020.0, 1, ended=(EndReport(1, KEY, "done", ""),))
        session.wake()
        await sleep(1.0)
        monkeypatch.setattr(worker, "renew_lease", renew)
        worker.report(1040.0, 1)
        await sleep(10.0)
        assert len(calls) <= 100, f"{len(calls)} calls in 10 s"

    run_session(body)

"""Workers that do not answer do not keep a holder from reaching the others."""

from trio import current_time, open_nursery, sleep

from damaskstall.contact_slots import ContactSlots
from damaskstall.tasks.fencing import FencingTokens
from damaskstall.tasks.ports import EndReport
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.session_fakes import (
    LEASE_S,
    FakeWorker,
    RecordingOwner,
    run_key,
    worker_info,
)
from tests.virtual_time import run_virtual

WORKERS = 176
SILENT_WORKERS = 100
# Urgent work must begin within 2.7 s, after a take-over of about 1 s.
REACHED_LIMIT_S = 1.5


def open_sessions(
    workers: list[FakeWorker], owner: RecordingOwner
) -> list[WorkerSession]:
    """Return sessions with workers that share the slots of one holder."""
    slots, tokens = ContactSlots(), FencingTokens(1)
    return [
        WorkerSession(
            worker_info(f"w{number:03}"),
            worker,
            owner,
            tokens,
            LEASE_S,
            current_time,
            slots,
        )
        for number, worker in enumerate(workers)
    ]


def test_slow_store_does_not_delay_first_contacts() -> None:
    async def main() -> None:
        workers = [FakeWorker() for _ in range(WORKERS)]
        for number, worker in enumerate(workers):
            worker.ended = [EndReport(1, run_key(number), "done", "")]
        sessions = open_sessions(workers, RecordingOwner(store_s=5.0))
        async with open_nursery() as nursery:
            for session in sessions:
                nursery.start_soon(session.run, nursery)
            await sleep(0.3)
            assert all(session.fenced for session in sessions)
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_silent_workers_do_not_delay_the_others_for_long() -> None:
    """Neither their first contact, nor the next one after a lost answer."""

    async def main() -> None:
        workers = [FakeWorker() for _ in range(WORKERS)]
        for worker in workers[:SILENT_WORKERS]:
            worker.loses_answers = True
        sessions = open_sessions(workers, RecordingOwner())
        live = sessions[SILENT_WORKERS:]
        async with open_nursery() as nursery:
            for session in sessions:
                nursery.start_soon(session.run, nursery)
            await sleep(REACHED_LIMIT_S)
            assert all(session.fenced for session in live)
            workers[-1].loses_answers = True
            live[-1].reserve(run_key(0), worker_info().capacity)
            live[-1].wake()
            while live[-1].reachable:
                await sleep(0.01)
            workers[-1].loses_answers = False
            await sleep(0.5)
            assert live[-1].reachable
            nursery.cancel_scope.cancel()

    run_virtual(main)

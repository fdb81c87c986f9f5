"""The window of a start holds on the clock of a worker that was idle."""

from trio import open_nursery, sleep

from damaskstall.errors import CommandRefusedError
from damaskstall.tasks.ports import LeaseRenewal, StartRequest, WorkerReport
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import GANG, job_id
from tests.tasks.run_checker import check_finished_once, check_runs
from tests.tasks.session_fakes import (
    DEMAND,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
)
from tests.tasks.slow_processor import use_processor
from tests.virtual_time import run_virtual


class LateReadWorker(FakeWorker):
    """A worker whose next answer is read ``late_s`` seconds late.

    It refuses a start after its window, as workers do.
    """

    late_s = 0.0

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Renew the lease; the answer is read late once."""
        report = await super().renew_lease(request)
        late_s, self.late_s = self.late_s, 0.0
        use_processor(late_s)
        return report

    async def start(self, request: StartRequest) -> float:
        """Start a run, unless its window has ended."""
        if self.clock_s() > request.not_after_s:
            raise CommandRefusedError("The window has ended.", "late")
        return await super().start(request)


def test_gang_with_a_slow_clock_stops_in_time_after_long_idleness() -> None:
    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.clock_rate = 0.98
        await sleep(300.0)
        cluster.workers["w00"].order_delays_s = [5.0] * 12
        await cluster.submit(job_id(1), [GANG], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario, racks=1)


def test_run_that_ends_while_the_clock_is_read_is_not_started() -> None:
    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            await sleep(60.0)
            worker.loses_answers = True
            session.reserve(run_key(1), DEMAND)
            nursery.start_soon(session.launch, run_key(1), "payload", "")
            await sleep(0.1)
            session.release(run_key(1))
            await sleep(2.0)
            assert not worker.running
            assert run_key(1) not in session.expected
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_run_on_a_worker_known_to_be_silent_ends_with_its_window() -> None:
    """No start was sent, so none can be carried out late."""

    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            worker.loses_answers = True
            session.reserve(run_key(0), DEMAND)
            session.wake()
            await sleep(1.0)
            assert not session.reachable
            session.reserve(run_key(1), DEMAND)
            await session.launch(run_key(1), "payload", "")
            assert owner.outcomes(run_key(1)) == ["not_started"]
            assert not worker.running
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_late_reading_of_the_clock_does_not_shorten_the_next_windows() -> None:
    """The reading is not repeated while the worker is idle."""

    async def main() -> None:
        worker, owner = LateReadWorker(), RecordingOwner()
        session = open_session(worker, owner)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            # The last answer before the worker counts as idle.
            await sleep(11.7)
            worker.late_s = 2.0
            await sleep(3.0)
            assert not worker.late_s
            session.reserve(run_key(1), DEMAND)
            await session.launch(run_key(1), "payload", "")
            assert run_key(1) in worker.running
            assert owner.outcomes(run_key(1)) == []
            nursery.cancel_scope.cancel()

    run_virtual(main)

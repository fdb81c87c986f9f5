"""Define what a session with a worker asks of the scheduler."""

from typing import Protocol

from damaskstall.tasks.model import RunKey, WorkerInfo
from damaskstall.tasks.ports import EndReport, RunReport


class SessionOwner(Protocol):
    """Receiver of the events of a session; decides what may run."""

    def should_continue(self, worker: str, key: RunKey) -> bool:
        """Return whether a run on a worker should continue."""

    def may_renew_leases(self) -> bool:
        """Return whether the leases of runs may be renewed."""

    def may_start_runs(self) -> bool:
        """Return whether start commands may be sent."""

    def knows_places(self) -> bool:
        """Return whether it is known where tasks may start at present."""

    def may_use(self, worker: WorkerInfo) -> bool:
        """Return whether tasks may start on a worker, as far as is known."""

    def record_started(self, key: RunKey) -> None:
        """Record that a worker has started a run, which may not be present."""

    def record_settled(self, key: RunKey) -> None:
        """Record that each start of a run was answered.

        None of them can be carried out late any more.
        """

    def record_open_start(
        self, worker: str, key: RunKey, until_s: float
    ) -> None:
        """Record that a start of a run that is over is still open.

        Its worker may carry it out yet. Unless it is settled earlier, a run
        of it may exist until ``until_s``.
        """

    def settle_open_start(self, worker: str, key: RunKey) -> None:
        """Record that no run of a start can exist any more."""

    def forget_open_starts(self, worker: str) -> None:
        """Record that a worker will certainly not start again."""

    def record_running(self, worker: str, report: RunReport) -> None:
        """Record that a run is running, with its progress."""

    def record_end(self, worker: str, end: EndReport) -> None:
        """Record that a run has ended, or has never started."""

    def record_crash(self, worker: str, key: RunKey, evidence: str) -> None:
        """Record that the worker of a run that has ended had crashed."""

    async def wait_ends_stored(self, job_ids: set[str]) -> None:
        """Return once each end recorded so far of some jobs is stored."""

    def request_decision(self) -> None:
        """Request a scheduling round: a worker may have free capacity."""

    def step_down(self) -> None:
        """End this holder: a worker has a higher token, or none is left."""

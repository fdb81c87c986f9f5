"""Track one attempt to run a job's gang and derive its outcome."""

from typing import NamedTuple

from trio import Event

from damaskstall.placement.model import Block
from damaskstall.resources.records import JobSpec
from damaskstall.scheduler.job_crashes import WorkerLosses
from damaskstall.scheduler.worker_protocol import (
    TASK_FAILED,
    TASK_PREPARED,
    TASK_RUNNING,
    TASK_SUCCEEDED,
    TaskKey,
    TaskReport,
)
from damaskstall.scheduler.worker_session import WorkerSession

SUCCEEDED = "succeeded"
FAILED = "failed"
CANCELLED = "cancelled"
PREEMPTED = "preempted"
TAKEN_OUT = "taken out"
NOT_STARTED = "not started"
LOST = "lost"

PLACED = "placed"
STARTING = "starting"
RUNNING = "running"
ENDING = "ending"


class Outcome(NamedTuple):
    """How an attempt ended or is to be ended, and because of which worker."""

    kind: str
    reason: str
    worker: str = ""


class Attempt:
    """One attempt to run a job: its block, workers, phase and stop request."""

    def __init__(
        self,
        name: str,
        number: int,
        spec: JobSpec,
        block: Block,
        sessions: tuple[WorkerSession | None, ...],
        workers: tuple[str, ...],
    ) -> None:
        """Create an attempt; a worker removed from the cell has no session."""
        self.name = name
        self.number = number
        self.spec = spec
        self.block = block
        self.sessions = sessions
        self.workers = workers
        self.phase = PLACED
        self.adopted = False
        self.started_s = 0.0
        self.stop: Outcome | None = None
        self.in_policy = False
        # The incarnation of each task's worker, "" if it is not known yet.
        self.boots = tuple(s.boot if s else "" for s in sessions)
        # Tasks whose worker may have accepted the run command.
        self.maybe_ran: set[int] = set()
        self._changed = Event()

    def key(self, task: int) -> TaskKey:
        """Return the key of a task: job, attempt number and task number."""
        return (self.name, self.number, task)

    def report(self, task: int) -> TaskReport | None:
        """Return the last report on a task, or None."""
        session = self.sessions[task]
        if session is None:
            return None
        return session.tasks.get(self.key(task))

    def reports(self) -> list[TaskReport | None]:
        """Return the last reports on all tasks, in order."""
        return [self.report(task) for task in range(len(self.workers))]

    def request_stop(self, outcome: Outcome) -> None:
        """Request a stop of the attempt; the first request is kept."""
        if self.stop is None:
            self.stop = outcome
            self.wake()

    def wake(self) -> None:
        """Wake the task that runs the attempt."""
        self._changed.set()
        self._changed = Event()

    async def wait_change(self) -> None:
        """Wait until ``wake`` is called."""
        await self._changed.wait()

    def has_expired(self, task: int, now_s: float) -> bool:
        """Return whether a silent worker's task lease certainly expired."""
        session = self.sessions[task]
        return session is not None and now_s >= session.tasks_expire_s

    def check_outcome(self, now_s: float) -> Outcome | None:
        """Return the outcome of a running attempt, or None while it runs."""
        succeeded = 0
        for task, worker in enumerate(self.workers):
            report = self.report(task)
            if report is not None and report.state == TASK_SUCCEEDED:
                succeeded += 1
                continue
            problem = self._task_problem(task, report, now_s)
            if problem is not None:
                return problem._replace(worker=worker)
        if succeeded == len(self.workers):
            return Outcome(SUCCEEDED, "")
        return None

    def _task_problem(
        self, task: int, report: TaskReport | None, now_s: float
    ) -> Outcome | None:
        session = self.sessions[task]
        worker = self.workers[task]
        if session is None or not session.fenced:
            if self.has_expired(task, now_s):
                return Outcome(LOST, f"The worker {worker} is unreachable.")
            return None
        if report is None and not session.reachable:
            # Its last report may be out of date: wait for the next answer.
            if now_s >= session.tasks_expire_s:
                return Outcome(LOST, f"The worker {worker} is unreachable.")
            return None
        if report is None:
            return Outcome(
                LOST, f"The worker {worker} does not list the task."
            )
        if report.state == TASK_FAILED:
            return Outcome(
                FAILED, f"The task on {worker} failed: {report.detail}."
            )
        if report.state == TASK_RUNNING:
            if not session.reachable and now_s >= session.tasks_expire_s:
                return Outcome(LOST, f"The worker {worker} is unreachable.")
            return None
        if report.state == TASK_PREPARED:
            return Outcome(LOST, f"The task on {worker} did not start.")
        return Outcome(LOST, f"The task on {worker} was {report.state}.")

    def worker_losses(self) -> WorkerLosses:
        """Return under which tasks a worker has started again since.

        It does not count if the task can't have run there.
        """
        tasks = range(len(self.workers))
        started = frozenset(tasks if self.adopted else self.maybe_ran)
        crashed = frozenset(
            task
            for task in started
            if self._has_restarted(self.sessions[task], self.boots[task])
        )
        return WorkerLosses(len(tasks), started, crashed)

    def _has_restarted(self, session: WorkerSession | None, boot: str) -> bool:
        return session is not None and boot != "" and session.boot != boot

    def provably_never_ran(self) -> bool:
        """Return whether it is certain that no task of the attempt has run."""
        if not self.adopted:
            return not self.maybe_ran
        reports = self.reports()
        return all(r is not None and not r.ran for r in reports)

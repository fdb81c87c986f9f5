"""Send a run's start command to its worker until it is answered."""

from typing import Protocol

from trio import CapacityLimiter, sleep

from damaskstall.errors import (
    CommandError,
    CommandFaultError,
    CommandNotSentError,
    CommandOutcomeUnknownError,
    CommandRefusedError,
    FencedError,
    WorkerReplacedError,
)
from damaskstall.events import log
from damaskstall.tasks.capacity import WorkerLoad
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.events import RUN_REFUSED
from damaskstall.tasks.expected_runs import ExpectedRuns
from damaskstall.tasks.late_starts import LateStarts
from damaskstall.tasks.model import RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    NOT_LAUNCHED,
    REFUSED,
    StartRequest,
    WorkerClient,
)
from damaskstall.tasks.progress import ENDED_NOT_STARTED
from damaskstall.tasks.run_log import LaunchRecord, log_run_launched
from damaskstall.tasks.session_owner import SessionOwner
from damaskstall.tasks.worker_health import WorkerHealth
from damaskstall.tasks.worker_lease import WorkerLease

# A command may be carried out up to 12 s late, so each start command has this
# window on the worker's clock, after which the worker does not carry it out.
# The members of a gang wait 3 s for each other. The window is well under that,
# so that a gang with a lost start is stopped before its members time out.
START_WINDOW_S = 1.5
RETRY_S = 0.1


class LaunchTarget(Protocol):
    """The session with the worker that is to start a run."""

    worker: WorkerInfo
    client: WorkerClient
    owner: SessionOwner
    clock: Clock
    load: WorkerLoad
    lease: WorkerLease
    health: WorkerHealth
    expected: ExpectedRuns
    late_starts: LateStarts
    token: int
    incarnation: int
    reachable: bool
    command_slots: CapacityLimiter

    def wake(self) -> None:
        """Wake the session to renew the lease if runs need it."""

    def worker_clock_s(self) -> float:
        """Return the estimated present time on the worker's clock."""

    def entry_is_outdated(self) -> bool:
        """Return whether the entry is that of an earlier incarnation."""

    async def refresh_clock(self) -> None:
        """Wait a moment for a reading of the clock if the last one is old."""

    def end_run(self, key: RunKey, how: str, evidence: str) -> None:
        """Record the end of a run that the worker does not list."""

    def report_open_start(self, key: RunKey) -> None:
        """Report a start of an ended run that may still be carried out."""

    def handle_fenced(self, token: int) -> None:
        """Handle the refusal of a command because of its token."""

    def record_no_answer(self, error: str) -> None:
        """Record that the worker did not answer."""

    def begin_incarnation(self, incarnation: int, source: str) -> None:
        """Begin anew with another incarnation of the worker."""


class RunLaunch:
    """The start command of one run, and its repeats."""

    def __init__(self, target: LaunchTarget, key: RunKey) -> None:
        """Prepare a launch; nothing is sent yet."""
        self.target = target
        self.key = key
        self.attempts = 0
        self.unanswered = 0
        self.met_fault = False
        self.started_s = target.clock()
        self.token = target.token
        self.incarnation = target.incarnation

    async def run(self, payload: str, checkpoint: str) -> None:
        """Start the run; retry until it is answered or its window ends."""
        target = self.target
        await target.refresh_clock()
        if self.key not in target.load.runs:
            return
        if not target.lease.clock_known or target.entry_is_outdated():
            target.end_run(self.key, ENDED_NOT_STARTED, NOT_LAUNCHED)
            return
        known_clock_s = target.lease.clock_s
        not_after_s = target.worker_clock_s() + START_WINDOW_S
        target.expected.add_launched(self.key, not_after_s)
        self.token = target.token
        self.incarnation = target.incarnation
        request = StartRequest(
            self.token, self.key, payload, not_after_s, checkpoint
        )
        target.wake()
        while target.worker_clock_s() < not_after_s and not self.met_fault:
            try:
                async with target.command_slots:
                    if not self._should_send(request):
                        self._log("not needed")
                        return
                    unfit = self._unfit_reason()
                    if unfit:
                        self._give_up(unfit)
                        return
                    self.attempts += 1
                    clock_s = await self._send(request)
            except CommandNotSentError:
                await sleep(RETRY_S)
                continue
            except CommandOutcomeUnknownError:
                self.unanswered += 1
                await sleep(RETRY_S)
                continue
            except (
                FencedError,
                WorkerReplacedError,
                CommandRefusedError,
            ) as error:
                self._log(type(error).__name__)
                self._handle_refusal(request, error)
                return
            self._handle_answer(request, clock_s, known_clock_s)
            return
        self._log("no answer")
        if not target.expected.may_have_started(self.key):
            target.end_run(self.key, ENDED_NOT_STARTED, NOT_LAUNCHED)

    def _log(self, outcome: str) -> None:
        record = LaunchRecord(
            outcome,
            self.attempts,
            self.unanswered,
            self.incarnation,
            self.token,
            round(self.target.clock() - self.started_s, 3),
        )
        log_run_launched(self.target.worker.name, self.key, record)

    def _should_send(self, request: StartRequest) -> bool:
        """Return whether the start is still needed by this incarnation."""
        target = self.target
        if request.token != target.token or self.key not in target.expected:
            return False
        if not target.owner.may_start_runs():
            return False
        return target.owner.should_continue(target.worker.name, self.key)

    def _unfit_reason(self) -> str:
        """Return why the worker may get no start any more, or ""."""
        target = self.target
        if not target.owner.may_use(target.worker):
            return "the worker is not used any more"
        if not target.load.fits(target.worker):
            return "the capacity has shrunk"
        return ""

    def _give_up(self, reason: str) -> None:
        """Send no start to a worker that has become unfit meanwhile.

        After an attempt without an answer, the worker's lists show whether
        the run exists.
        """
        self._log(reason)
        if not self.unanswered:
            self.target.end_run(self.key, ENDED_NOT_STARTED, NOT_LAUNCHED)

    async def _send(self, request: StartRequest) -> float:
        """Send the start; it may be carried out late unless it is answered.

        Returns the time on the worker's clock. Raises CommandNotSentError
        while the worker does not answer renewals, whose next answer shows
        whether it has started again, and while it is not known where tasks may
        start.
        """
        target = self.target
        if not target.reachable:
            raise CommandNotSentError("The worker does not answer.")
        if not target.owner.knows_places():
            raise CommandNotSentError("It is not known where tasks may start.")
        target.late_starts.begin(self.key, target.clock())
        target.lease.extend_expiry(request.not_after_s)
        was_sent = target.expected.mark_sent(self.key, target.clock())
        try:
            clock_s = await target.client.start(request)
        except CommandOutcomeUnknownError as error:
            if isinstance(error, CommandFaultError):
                # The next try and the next runs would meet it too.
                self.met_fault = True
                target.health.record_unhealthy(self.started_s, target.clock())
            target.late_starts.leave_open(self.key, target.clock())
            target.expected.mark_unanswered(self.key)
            if self.key not in target.load.runs:
                # The worker has listed its end meanwhile.
                target.report_open_start(self.key)
            raise
        except CommandError:
            target.late_starts.settle(self.key, answered=False)
            if not was_sent:
                target.expected.mark_not_sent(self.key)
            raise
        target.late_starts.settle(self.key, answered=True)
        return clock_s

    def _handle_answer(
        self, request: StartRequest, clock_s: float, known_clock_s: float
    ) -> None:
        """Record that the start was carried out at a time on the clock.

        A time before the known one is that of another incarnation.
        """
        self._log("answered")
        target = self.target
        target.health.record_started(self.started_s)
        target.owner.record_started(self.key)
        if request.token != target.token:
            return
        if clock_s < known_clock_s:
            target.begin_incarnation(0, "start command")
        else:
            target.expected.confirm(self.key, clock_s)
        if not self.unanswered:
            target.owner.record_settled(self.key)

    def _handle_refusal(self, request: StartRequest, error: Exception) -> None:
        """Handle the worker's refusal to start the run.

        An earlier attempt without an answer may have been carried out. Then
        only the worker's lists show whether the run exists. If another worker
        answers, this one has not received the command, and may run on at
        another address.
        """
        target = self.target
        if isinstance(error, FencedError):
            target.handle_fenced(request.token)
            return
        if isinstance(error, WorkerReplacedError):
            target.record_no_answer(str(error))
        elif isinstance(error, CommandRefusedError):
            log(
                RUN_REFUSED,
                job=self.key.task.job_id,
                worker=target.worker.name,
                run=self.key.run,
                reason=error.reason,
            )
            if not error.reason:
                target.health.record_refused(self.started_s, target.clock())
        if not self.unanswered:
            target.end_run(self.key, ENDED_NOT_STARTED, REFUSED)

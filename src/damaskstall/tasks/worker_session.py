"""Manage one worker: renew its lease, start and stop runs, record their ends.

The worker's lists of runs are authoritative. A run occupies capacity from
before its start command is sent until the worker lists its end, the lists show
that it never started, or its lease has certainly expired.
"""

from typing import NamedTuple, Protocol

from trio import CapacityLimiter, Event, Nursery, move_on_after, sleep

from damaskstall.errors import (
    CommandNotSentError,
    CommandOutcomeUnknownError,
    CommandRefusedError,
    FencedError,
    WorkerReplacedError,
)
from damaskstall.events import log
from damaskstall.tasks.capacity import FreeCapacity, WorkerLoad
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.events import (
    RUN_REFUSED,
    RUNS_LAPSED,
    RUNS_UNCOUNTED,
    TASK_WORKER_FENCED,
    TASK_WORKER_GONE,
    TASK_WORKER_LOST,
    TASK_WORKER_REPLACED,
)
from damaskstall.tasks.model import Demand, RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    LEASE_EXPIRED,
    MACHINE_DOWN,
    MISSING,
    REFUSED,
    REPLACED,
    EndReport,
    LeaseRenewal,
    RunReport,
    StartRequest,
    WorkerClient,
    WorkerReport,
)
from damaskstall.tasks.progress import ENDED_LAPSED, ENDED_NOT_STARTED
from damaskstall.tasks.run_log import log_run_launched
from damaskstall.tasks.worker_health import WorkerHealth

# A worker can be asked to delay its answer by up to 2 s. A shorter wait
# detects a lost answer or a stalled run sooner, but each call to a worker
# costs 0.0003 of the value of a request.
RENEWAL_WAIT_S = 0.5
# A command may be carried out up to 12 s late, so each start command has this
# window on the worker's clock, after which the worker does not carry it out.
# The members of a gang wait 3 s for each other. The window is well under that,
# so that a gang with a lost start is stopped before its members time out.
START_WINDOW_S = 1.5
# A worker's clock may be 2% slow, and a worker that resumes after a suspension
# kills expired runs up to 300 ms late.
CLOCK_RATE_LIMIT = 1.02
EXPIRY_MARGIN_S = 0.4
RETRY_S = 0.1
# A listed worker that is silent and has no runs is called less often, since
# the platform charges for each call to a worker.
IDLE_RETRY_S = 1.0
STOP_RETRY_S = 0.4
# Concurrent commands to one worker; each needs a connection.
CONCURRENT_COMMAND_LIMIT = 2
# An earlier holder renews the leases of runs until its own lease expires, and
# for this long afterwards during an outage of the store.
OUTAGE_RENEWAL_LIMIT_S = 10.0
# Maximum wait until the listed ends are stored. While the store accepts no
# write, ends are not acknowledged and the worker lists them again.
STORE_WAIT_LIMIT_S = 0.3
# Maximum number of ends in one report.
LISTED_ENDS_LIMIT = 500


def lease_limit_s(lease_s: float) -> float:
    """Return the longest time that a worker's lease lasts on this clock."""
    return lease_s * CLOCK_RATE_LIMIT + EXPIRY_MARGIN_S


class SessionOwner(Protocol):
    """Receiver of the events of a session; decides what may run."""

    def should_continue(self, key: RunKey) -> bool:
        """Return whether a run should continue."""

    def may_renew_leases(self) -> bool:
        """Return whether the leases of runs may be renewed."""

    def record_running(self, worker: str, report: RunReport) -> None:
        """Record that a run is running, with its progress."""

    def record_end(self, worker: str, end: EndReport) -> None:
        """Record that a run has ended, or has never started."""

    async def wait_ends_stored(self) -> None:
        """Return once every end recorded so far is in the table."""

    def request_decision(self) -> None:
        """Request a scheduling round: a worker may have free capacity."""

    def step_down(self) -> None:
        """End this holder: the worker has accepted a higher epoch."""


class ExpectedRun(NamedTuple):
    """Time after which a worker's lists must contain a launched run.

    ``not_after_s`` is on the worker's clock. If lists of a later time lack
    the run, it has ended or never started. A confirmed run was listed, or its
    start was answered, at ``not_after_s``.
    """

    not_after_s: float
    confirmed: bool


class WorkerSession:
    """State of one worker under one holder, and the calls to it."""

    def __init__(
        self,
        worker: WorkerInfo,
        client: WorkerClient,
        owner: SessionOwner,
        epoch: int,
        lease_s: float,
        clock: Clock,
    ) -> None:
        """Start a session with a worker as the holder of an epoch."""
        self.worker = worker
        self.client = client
        self.owner = owner
        self.epoch = epoch
        self.lease_s = lease_s
        self.clock = clock
        self.load = WorkerLoad()
        self.health = WorkerHealth()
        self.expected: dict[RunKey, ExpectedRun] = {}
        # Whether the worker has accepted this holder's epoch.
        self.fenced = False
        self.reachable = False
        self.listed = True
        # A run that is listed but not counted was started by an earlier
        # holder and is not in the rows that were read. It is stopped; until
        # then it uses an unknown part of the worker's capacity.
        self.has_unknown_runs = False
        self.closed = False
        self.incarnation = 0
        self.acknowledged_end = 0
        # The newest end that was listed, and the newest whose acknowledgement
        # was sent: the worker keeps the ends between them.
        self._newest_end = 0
        self._sent_end = 0
        self.answered = Event()
        self.clock_known = False
        self._clock_s = 0.0
        self._clock_read_s = 0.0
        self._lease_until_s = 0.0
        started_s = clock()
        self._entry_read_s = started_s
        # Until the worker answers, an earlier holder's last renewal applies.
        self._lease_expiry_s = (
            started_s + OUTAGE_RENEWAL_LIMIT_S + lease_limit_s(self.lease_s)
        )
        self._stop_sent_s: dict[RunKey, float] = {}
        self._command_slots = CapacityLimiter(CONCURRENT_COMMAND_LIMIT)
        self._wake = Event()
        self._nursery: Nursery | None = None

    def usable(self) -> bool:
        """Return whether new runs may go to the worker."""
        return (
            self.fenced
            and self.reachable
            and not self.closed
            and not self.has_unknown_runs
            and self.listed
            and not self.worker.leaving
            and self.health.may_start(self.clock())
        )

    def available_capacity(self) -> FreeCapacity:
        """Return the free capacity of the worker."""
        return self.load.free_capacity(self.worker)

    def worker_clock_s(self) -> float:
        """Return the estimated present time on the worker's clock."""
        return self._clock_s + (self.clock() - self._clock_read_s)

    def adopt(self, key: RunKey, demand: Demand) -> None:
        """Count a run that an earlier holder may have started."""
        self.load.add(key, demand)
        self.expected[key] = ExpectedRun(float("-inf"), False)

    def reserve(self, key: RunKey, demand: Demand) -> None:
        """Count a run that is about to be launched."""
        self.load.add(key, demand)

    def release(self, key: RunKey) -> None:
        """Stop counting a run; request a decision if it was counted."""
        self.expected.pop(key, None)
        self._stop_sent_s.pop(key, None)
        if self.load.remove(key):
            self.owner.request_decision()

    async def run(self, nursery: Nursery) -> None:
        """Renew the lease and record ends until the worker is removed."""
        self._nursery = nursery
        while True:
            if not self.load.runs and not self.listed:
                self.closed = True
                await self.client.close()
                return
            if self.clock_known and self._is_idle():
                await self._wake.wait()
                continue
            if not self.owner.may_renew_leases():
                await sleep(RETRY_S)
                continue
            if not await self._renew_lease_once():
                await sleep(RETRY_S if self.load.runs else IDLE_RETRY_S)

    async def launch(self, key: RunKey, payload: str, checkpoint: str) -> None:
        """Start a run; retry until it is answered or its window has ended."""
        first_s = self.worker_clock_s()
        not_after_s = first_s + START_WINDOW_S
        self.expected[key] = ExpectedRun(not_after_s, False)
        request = StartRequest(
            self.epoch, key, payload, not_after_s, checkpoint
        )
        self.wake()
        attempts = unanswered = 0

        def log_launched(outcome: str) -> None:
            log_run_launched(
                self.worker.name, key, outcome, attempts, unanswered
            )

        while self.worker_clock_s() < not_after_s:
            if key not in self.expected or not self.owner.should_continue(key):
                log_launched("not needed")
                return
            if not self.owner.may_renew_leases():
                log_launched("lease lost")
                return
            attempts += 1
            try:
                async with self._command_slots:
                    clock_s = await self.client.start(request)
            except (CommandNotSentError, CommandOutcomeUnknownError) as error:
                unanswered += isinstance(error, CommandOutcomeUnknownError)
                await sleep(RETRY_S)
                continue
            except (
                FencedError,
                WorkerReplacedError,
                CommandRefusedError,
            ) as error:
                log_launched(type(error).__name__)
                self._handle_start_refusal(key, error, unanswered > 0)
                return
            log_launched("answered")
            self.health.record_started()
            if key in self.expected:
                self.expected[key] = ExpectedRun(clock_s, True)
            return
        log_launched("no answer")

    def _handle_start_refusal(
        self, key: RunKey, error: Exception, unanswered: bool
    ) -> None:
        """Handle a worker's refusal to start a run.

        An earlier attempt without an answer may have been carried out. Then
        only the worker's lists show whether the run exists.
        """
        if isinstance(error, FencedError):
            self.owner.step_down()
        elif isinstance(error, WorkerReplacedError):
            self._reset_incarnation(0, "start command")
        elif isinstance(error, CommandRefusedError):
            log(
                RUN_REFUSED,
                job=key.task.job_id,
                worker=self.worker.name,
                run=key.run,
                reason=error.reason,
            )
            if not error.reason:
                self.health.record_refused(self.clock())
            if not unanswered:
                self._end(key, ENDED_NOT_STARTED, REFUSED)

    def stop(self, key: RunKey) -> None:
        """Send a stop command for a run, unless one was sent a moment ago.

        The worker lists the run's end once it has stopped.
        """
        self.load.mark_stopping(key)
        now_s = self.clock()
        if now_s - self._stop_sent_s.get(key, -STOP_RETRY_S) < STOP_RETRY_S:
            return
        self._stop_sent_s[key] = now_s
        assert self._nursery is not None
        self._nursery.start_soon(self._send_stop, key)
        self.wake()

    def leaves_in_s(self) -> float | None:
        """Return the minimum time until the worker leaves, if it does."""
        if self.worker.leaves_in_s is None:
            return None
        passed_s = self.clock() - self._entry_read_s
        return max(0.0, self.worker.leaves_in_s - passed_s)

    def record_machine_down(self) -> None:
        """Record that the worker's machine is down: end all its runs.

        Does nothing while the worker answers.
        """
        if self.reachable or not self.load.runs:
            return
        log(
            TASK_WORKER_GONE, worker=self.worker.name, runs=len(self.load.runs)
        )
        self._end_all(MACHINE_DOWN)

    def wake(self) -> None:
        """Wake the session to renew the lease if runs need it."""
        self._wake.set()
        self._wake = Event()

    def update(self, worker: WorkerInfo | None) -> None:
        """Apply the worker's entry in the list, None if it has none."""
        self.listed = worker is not None
        if worker is not None:
            if worker is not self.worker:
                self._entry_read_s = self.clock()
            self.worker = worker
            if self.incarnation and worker.incarnation > self.incarnation:
                self._reset_incarnation(worker.incarnation, "list of workers")
        self.wake()

    async def _renew_lease_once(self) -> bool:
        """Send one renewal; return whether the worker answered."""
        if self.clock_known and self.reachable:
            # A silent worker's lease is not renewed, so that it expires.
            self._lease_until_s = self.worker_clock_s() + self.lease_s
        until_s = self._lease_until_s
        has_runs = bool(self.load.runs) or self.has_unknown_runs
        may_wait = self.clock_known and self.reachable and has_runs
        wait_s = RENEWAL_WAIT_S if may_wait else 0.0
        request = LeaseRenewal(
            self.epoch, until_s, self.acknowledged_end, wait_s
        )
        self._extend_lease_expiry(until_s)
        try:
            report = await self.client.renew_lease(request)
        except FencedError:
            self.owner.step_down()
            return False
        except WorkerReplacedError:
            self._reset_incarnation(0, "lease renewal")
            return False
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
        ) as error:
            self._record_no_answer(str(error))
            return False
        self._sent_end = max(self._sent_end, request.acknowledged_end)
        await self._apply_report(report)
        return True

    def _is_idle(self) -> bool:
        """Return whether the worker need not be called.

        It answers, no run is left and all ends are acknowledged.
        """
        if not self.reachable or self.load.runs or self.has_unknown_runs:
            return False
        return self._sent_end >= self._newest_end

    def _extend_lease_expiry(self, until_s: float) -> None:
        """Extend the time after which a silent worker's lease has expired."""
        if not self.clock_known:
            return
        left_s = until_s - self._clock_s
        expiry_s = (
            self._clock_read_s + left_s * CLOCK_RATE_LIMIT + EXPIRY_MARGIN_S
        )
        self._lease_expiry_s = max(self._lease_expiry_s, expiry_s)

    async def _apply_report(self, report: WorkerReport) -> None:
        if self.incarnation and report.incarnation != self.incarnation:
            self._reset_incarnation(report.incarnation, "report")
        elif self.clock_known and report.clock_s < self._clock_s:
            # A newer answer arrived before this one.
            return
        self.incarnation = report.incarnation
        self._clock_s = report.clock_s
        self._clock_read_s = self.clock()
        if not self.clock_known:
            log(TASK_WORKER_FENCED, worker=self.worker.name, epoch=self.epoch)
            self._lease_expiry_s = self._clock_read_s + lease_limit_s(
                self.lease_s
            )
            self.clock_known = True
            self.answered.set()
        self.fenced = True
        if not self.reachable:
            self.reachable = True
            self.owner.request_decision()
        self._apply_run_lists(report)
        if report.ended:
            newest = max(end.number for end in report.ended)
            self._newest_end = max(self._newest_end, newest)
            with move_on_after(STORE_WAIT_LIMIT_S):
                await self.owner.wait_ends_stored()
                # Another incarnation numbers its ends anew.
                if self.incarnation == report.incarnation:
                    self.acknowledged_end = max(self.acknowledged_end, newest)

    def _apply_run_lists(self, report: WorkerReport) -> None:
        listed = set()
        self._check_unknown_runs(report)
        for run in report.running:
            listed.add(run.key)
            if run.key in self.expected:
                self.expected[run.key] = ExpectedRun(report.clock_s, True)
            if self.owner.should_continue(run.key):
                self.owner.record_running(self.worker.name, run)
            else:
                self.stop(run.key)
        for end in report.ended:
            listed.add(end.key)
            if end.number > self.acknowledged_end:
                self.release(end.key)
                self.owner.record_end(self.worker.name, end)
        if len(report.ended) >= LISTED_ENDS_LIMIT:
            # The ends of other runs are listed once these are acknowledged.
            return
        for key, expected in list(self.expected.items()):
            if key in listed or report.clock_s <= expected.not_after_s:
                continue
            outcome = ENDED_LAPSED if expected.confirmed else ENDED_NOT_STARTED
            self._end(key, outcome, MISSING)

    def _check_unknown_runs(self, report: WorkerReport) -> None:
        """Set ``has_unknown_runs`` from a report, and log new cases."""
        had_unknown_runs = self.has_unknown_runs
        self.has_unknown_runs = any(
            run.key not in self.load.runs for run in report.running
        )
        if self.has_unknown_runs and not had_unknown_runs:
            log(
                RUNS_UNCOUNTED,
                worker=self.worker.name,
                epoch=self.epoch,
                runs=len(report.running),
                counted=len(self.load.runs),
            )
        if had_unknown_runs and not self.has_unknown_runs:
            self.owner.request_decision()

    def _record_no_answer(self, error: str) -> None:
        if self.reachable or not self.answered.is_set():
            log(TASK_WORKER_LOST, worker=self.worker.name, error=error)
        self.reachable = False
        self.answered.set()
        if self.clock() > self._lease_expiry_s and self.load.runs:
            log(
                RUNS_LAPSED,
                worker=self.worker.name,
                runs=len(self.load.runs),
            )
            self._end_all(LEASE_EXPIRED)

    def _reset_incarnation(self, incarnation: int, source: str) -> None:
        """End all runs and begin anew with another incarnation of the worker.

        An ``incarnation`` of 0 means that its number is not known yet.
        """
        log(
            TASK_WORKER_REPLACED,
            worker=self.worker.name,
            incarnation=incarnation,
            earlier_incarnation=self.incarnation,
            source=source,
            runs=len(self.load.runs),
        )
        self.incarnation = incarnation
        self.acknowledged_end = 0
        self._newest_end = 0
        self._sent_end = 0
        self.clock_known = False
        self.fenced = False
        self._lease_until_s = 0.0
        self._end_all(REPLACED)

    def _end_all(self, evidence: str) -> None:
        for key in list(self.load.runs):
            self._end(key, ENDED_LAPSED, evidence)

    def _end(self, key: RunKey, how: str, evidence: str) -> None:
        """Record the end of a run that the worker does not list."""
        self.release(key)
        end = EndReport(0, key, how, "", evidence)
        self.owner.record_end(self.worker.name, end)

    async def _send_stop(self, key: RunKey) -> None:
        try:
            async with self._command_slots:
                await self.client.stop(self.epoch, key)
        except FencedError:
            self.owner.step_down()
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
            WorkerReplacedError,
        ):
            # The stop is sent again while the worker still lists the run.
            return

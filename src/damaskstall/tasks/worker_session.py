"""Manage one worker: renew its lease, start and stop runs, record their ends.

The worker's lists of runs are authoritative. A run occupies capacity from
before its start command is sent until the worker lists its end, the lists show
that it never started, or its lease has certainly expired.
"""

from trio import CapacityLimiter, Event, Nursery, move_on_after, sleep

from damaskstall.errors import (
    CommandError,
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
from damaskstall.tasks.expected_runs import ALWAYS_S, ExpectedRuns
from damaskstall.tasks.fencing import FencingTokens
from damaskstall.tasks.model import Demand, RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    LEASE_EXPIRED,
    MACHINE_DOWN,
    NOT_LAUNCHED,
    REFUSED,
    EndReport,
    LeaseRenewal,
    StartRequest,
    WorkerClient,
    WorkerReport,
)
from damaskstall.tasks.progress import ENDED_LAPSED, ENDED_NOT_STARTED
from damaskstall.tasks.run_log import log_run_launched
from damaskstall.tasks.session_owner import SessionOwner
from damaskstall.tasks.worker_health import WorkerHealth
from damaskstall.tasks.worker_lease import (
    LATE_COMMAND_LIMIT_S,
    WorkerLease,
    lease_limit_s,
)

# A worker can be asked to delay its answer by up to 2 s. A shorter wait
# detects a lost answer or a stalled run sooner, but each call to a worker
# costs 0.0003 of the value of a request.
RENEWAL_WAIT_S = 0.5
# A command may be carried out up to 12 s late, so each start command has this
# window on the worker's clock, after which the worker does not carry it out.
# The members of a gang wait 3 s for each other. The window is well under that,
# so that a gang with a lost start is stopped before its members time out.
START_WINDOW_S = 1.5
RETRY_S = 0.1
# A listed worker that is silent and has no runs is called less often, since
# the platform charges for each call to a worker.
IDLE_RETRY_S = 1.0
STOP_RETRY_S = 0.4
# A worker lists at most this many ends in one answer, the oldest first.
LISTED_ENDS_LIMIT = 500
# Concurrent commands to one worker; each needs a connection.
CONCURRENT_COMMAND_LIMIT = 2
# Maximum wait until the listed ends are stored. While the store accepts no
# write, ends are not acknowledged and the worker lists them again.
STORE_WAIT_LIMIT_S = 0.3


class WorkerSession:
    """State of one worker under one holder, and the calls to it."""

    def __init__(
        self,
        worker: WorkerInfo,
        client: WorkerClient,
        owner: SessionOwner,
        tokens: FencingTokens,
        lease_s: float,
        clock: Clock,
    ) -> None:
        """Start a session with a worker as the holder of some tokens."""
        self.worker = worker
        self.client = client
        self.owner = owner
        self.tokens = tokens
        # The token of all commands to the worker's present incarnation.
        self.token = tokens.current
        self.clock = clock
        self.load = WorkerLoad()
        self.health = WorkerHealth()
        self.expected = ExpectedRuns()
        # Whether the worker has accepted the present token.
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
        started_s = clock()
        self.lease = WorkerLease(lease_s, started_s)
        self._entry_read_s = started_s
        # The start of the present silence, if the worker is not reachable.
        self.silent_since_s = started_s
        # Until then the worker may carry out a start that was not answered,
        # of this or an earlier holder. It is called, so that it accepts a
        # higher token soon after it has started again.
        self._late_start_until_s = started_s + LATE_COMMAND_LIMIT_S
        # By run, the time until which a start that was not answered may be
        # carried out, also by the worker's next incarnation.
        self._late_starts: dict[RunKey, float] = {}
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
            and not self._entry_is_outdated()
            and not self.worker.leaving
            and self.health.may_start(self.clock())
        )

    def available_capacity(self) -> FreeCapacity:
        """Return the free capacity of the worker."""
        return self.load.free_capacity(self.worker)

    def worker_clock_s(self) -> float:
        """Return the estimated present time on the worker's clock."""
        return self.lease.worker_clock_s(self.clock())

    def adopt(self, key: RunKey, demand: Demand) -> None:
        """Count a run that an earlier holder may have started."""
        self.load.add(key, demand)
        self.expected.add_adopted(key)

    def reserve(self, key: RunKey, demand: Demand) -> None:
        """Count a run that is about to be launched."""
        self.load.add(key, demand)
        if not self.lease.clock_is_recent(self.clock()):
            self.wake()

    def release(self, key: RunKey) -> None:
        """Stop counting a run; request a decision if it was counted."""
        self.expected.remove(key)
        self._stop_sent_s.pop(key, None)
        self._late_starts.pop(key, None)
        if self.load.remove(key):
            self.owner.request_decision()

    async def run(self, nursery: Nursery) -> None:
        """Renew the lease and record ends until the worker is removed."""
        self._nursery = nursery
        while True:
            if not self.listed and not self._may_have_runs():
                self.closed = True
                # A later session with this worker has a higher token.
                self._advance_token()
                await self.client.close()
                return
            if self.lease.clock_known and self.reachable and self._is_idle():
                await self._wake.wait()
                continue
            if not self.owner.may_renew_leases():
                await sleep(RETRY_S)
                continue
            if not await self._renew_lease_once():
                urgent = bool(self.load.runs)
                urgent = urgent or (self.listed and self._may_have_runs())
                await sleep(RETRY_S if urgent else IDLE_RETRY_S)

    async def launch(self, key: RunKey, payload: str, checkpoint: str) -> None:
        """Start a run; retry until it is answered or its window has ended."""
        await self._refresh_clock()
        if key not in self.load.runs:
            return
        if not self.lease.clock_known or self._entry_is_outdated():
            self._end(key, ENDED_NOT_STARTED, NOT_LAUNCHED)
            return
        known_clock_s = self.lease.clock_s
        not_after_s = self.worker_clock_s() + START_WINDOW_S
        self.expected.add_launched(key, not_after_s)
        request = StartRequest(
            self.token, key, payload, not_after_s, checkpoint
        )
        self.wake()
        attempts = unanswered = 0

        def log_launched(outcome: str) -> None:
            log_run_launched(
                self.worker.name, key, outcome, attempts, unanswered
            )

        while self.worker_clock_s() < not_after_s:
            try:
                async with self._command_slots:
                    if not self._should_send(request):
                        log_launched("not needed")
                        return
                    attempts += 1
                    clock_s = await self._send_start(request)
            except CommandNotSentError:
                await sleep(RETRY_S)
                continue
            except CommandOutcomeUnknownError:
                unanswered += 1
                await sleep(RETRY_S)
                continue
            except (
                FencedError,
                WorkerReplacedError,
                CommandRefusedError,
            ) as error:
                log_launched(type(error).__name__)
                self._handle_start_refusal(request, error, unanswered > 0)
                return
            log_launched("answered")
            self.health.record_started()
            if request.token == self.token:
                self._confirm_start(key, clock_s, known_clock_s)
            return
        log_launched("no answer")

    async def _refresh_clock(self) -> None:
        """Wait a moment for a reading of the clock if the last one is old."""
        if not self.lease.clock_is_recent(self.clock()):
            self.wake()
            await self.lease.wait_clock_read()

    def _should_send(self, request: StartRequest) -> bool:
        """Return whether a start is still needed by this incarnation."""
        if request.token != self.token or request.key not in self.expected:
            return False
        if not self.owner.may_start_runs():
            return False
        return self.owner.should_continue(request.key)

    async def _send_start(self, request: StartRequest) -> float:
        """Send a start; it may be carried out late unless it is answered.

        Raises CommandNotSentError while the worker does not answer renewals,
        whose next answer shows whether it has started again.
        """
        if not self.reachable:
            raise CommandNotSentError("The worker does not answer.")
        earlier_s = self._late_starts.get(request.key, ALWAYS_S)
        self._expect_late_start(request.key)
        self.lease.extend_expiry(request.not_after_s)
        try:
            clock_s = await self.client.start(request)
        except CommandOutcomeUnknownError:
            self._expect_late_start(request.key)
            raise
        except CommandError:
            self._late_starts[request.key] = earlier_s
            raise
        self._late_starts[request.key] = earlier_s
        return clock_s

    def _expect_late_start(self, key: RunKey) -> None:
        """Note that a start may be carried out late from now on."""
        until_s = self.clock() + LATE_COMMAND_LIMIT_S
        self._late_starts[key] = until_s
        self._late_start_until_s = until_s

    def _confirm_start(
        self, key: RunKey, clock_s: float, known_clock_s: float
    ) -> None:
        """Record that a start was carried out at a time on the clock.

        A time before the known one is that of another incarnation.
        """
        if clock_s < known_clock_s:
            self._begin_incarnation(0, "start command")
        else:
            self.expected.confirm(key, clock_s)

    def _handle_start_refusal(
        self, request: StartRequest, error: Exception, unanswered: bool
    ) -> None:
        """Handle a worker's refusal to start a run.

        An earlier attempt without an answer may have been carried out. Then
        only the worker's lists show whether the run exists. If another worker
        answers, this one has not received the command, and may run on at
        another address.
        """
        key = request.key
        if isinstance(error, FencedError):
            self._handle_fenced(request.token)
        elif isinstance(error, WorkerReplacedError):
            self._record_no_answer(str(error))
            if not unanswered:
                self._end(key, ENDED_NOT_STARTED, REFUSED)
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

    def record_machine_down(
        self, since_s: float, replaced: bool = False
    ) -> None:
        """Record that the worker has ended: end its runs.

        Does nothing if the worker has answered since ``since_s``, the start of
        the silence in which its end was observed. Unless another worker has
        ``replaced`` it on its machine, it may start again, so the runs that
        its next incarnation may start late are kept.
        """
        if self.reachable or self.silent_since_s != since_s:
            return
        runs = list(self.load.runs) if replaced else self._settled_runs(0.0)
        if not runs:
            return
        log(TASK_WORKER_GONE, worker=self.worker.name, runs=len(runs))
        self._end_runs(runs, MACHINE_DOWN)

    def wake(self) -> None:
        """Wake the session to renew the lease if runs need it."""
        self._wake.set()
        self._wake = Event()

    def update(self, worker: WorkerInfo | None) -> None:
        """Apply the worker's entry in the list, None if it has none."""
        self.listed = worker is not None
        listed = self.worker.incarnation
        if worker is not None:
            if worker is not self.worker:
                self._entry_read_s = self.clock()
            self._follow_address(worker)
            self.worker = worker
            if worker.incarnation > max(listed, self.incarnation):
                self._begin_incarnation(worker.incarnation, "list of workers")
        self.wake()

    def _entry_is_outdated(self) -> bool:
        """Return whether the entry is that of an earlier incarnation.

        The present one may have another capacity and other labels.
        """
        listed = self.worker.incarnation
        return 0 < listed < self.incarnation

    def _follow_address(self, worker: WorkerInfo) -> None:
        """Call the worker where its entry says, if that has changed."""
        earlier = (self.worker.host, self.worker.port)
        if (worker.host, worker.port) != earlier:
            self.client.follow(worker)

    async def _renew_lease_once(self) -> bool:
        """Send one renewal; return whether the worker answered."""
        now_s = self.clock()
        answers = self.lease.clock_known and self.reachable
        if answers:
            # A silent worker's lease is not renewed, so that it expires.
            self.lease.renew(now_s)
        may_wait = answers and self._may_have_runs()
        may_wait = may_wait and self.lease.clock_is_recent(now_s)
        request = LeaseRenewal(
            self.token,
            self.lease.until_s,
            self._next_acknowledgement(),
            RENEWAL_WAIT_S if may_wait else 0.0,
        )
        self.lease.extend_expiry(request.lease_until_s)
        try:
            report = await self.client.renew_lease(request)
        except FencedError:
            self._handle_fenced(request.token)
            return False
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
            WorkerReplacedError,
        ) as error:
            self._record_no_answer(str(error))
            return False
        if request.token != self.token:
            # It was sent before another incarnation was known.
            return True
        self._sent_end = max(self._sent_end, request.acknowledged_end)
        await self._apply_report(report)
        return True

    def _next_acknowledgement(self) -> int:
        """Return the newest end to acknowledge, 0 if there is none.

        An acknowledgement is neither repeated once it was answered nor sent
        after a silence: the next incarnation numbers its ends anew.
        """
        if not self.reachable or self.acknowledged_end <= self._sent_end:
            return 0
        return self.acknowledged_end

    def _may_have_runs(self) -> bool:
        """Return whether the worker may have runs, or may yet start one."""
        if self.load.runs or self.has_unknown_runs:
            return True
        return self.clock() < self._late_start_until_s

    def _is_idle(self) -> bool:
        """Return whether no run may exist and all ends are acknowledged."""
        if self._may_have_runs():
            return False
        return self._sent_end >= self._newest_end

    async def _apply_report(self, report: WorkerReport) -> None:
        if self._is_from_another_incarnation(report):
            # Only lists that follow a renewal with a higher token are final.
            self._begin_incarnation(report.incarnation, "report")
            return
        self.incarnation = report.incarnation
        if not self.lease.clock_known:
            log(TASK_WORKER_FENCED, worker=self.worker.name, epoch=self.token)
            self.answered.set()
        self.lease.record_clock(report.clock_s, self.clock())
        self.fenced = True
        if not self.reachable:
            self.reachable = True
            self.owner.request_decision()
        self._apply_run_lists(report)
        self._newest_end = max((end.number for end in report.ended), default=0)
        if report.ended:
            newest = max(end.number for end in report.ended)
            with move_on_after(STORE_WAIT_LIMIT_S):
                token = self.token
                await self.owner.wait_ends_stored()
                if token == self.token:
                    self.acknowledged_end = max(self.acknowledged_end, newest)

    def _is_from_another_incarnation(self, report: WorkerReport) -> bool:
        """Return whether a report can not be from the known incarnation.

        It differs in number, has a lower clock, or lists an end up to the
        number whose acknowledgement was answered. Renewals are sent one after
        another, so no report overtakes another.
        """
        if not self.lease.clock_known:
            return False
        if report.incarnation != self.incarnation:
            return True
        if report.clock_s < self.lease.clock_s:
            return True
        return any(end.number <= self._sent_end for end in report.ended)

    def _apply_run_lists(self, report: WorkerReport) -> None:
        listed = set()
        self._check_unknown_runs(report)
        for run in report.running:
            listed.add(run.key)
            self.expected.confirm(run.key, report.clock_s)
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
            # The ends of runs that are not listed may follow.
            return
        for key, missing in self.expected.missing(report.clock_s, listed):
            self._end(key, missing.outcome, missing.evidence)

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
                epoch=self.token,
                runs=len(report.running),
                counted=len(self.load.runs),
            )
        if had_unknown_runs and not self.has_unknown_runs:
            self.owner.request_decision()

    def _record_no_answer(self, error: str) -> None:
        if self.reachable or not self.answered.is_set():
            log(TASK_WORKER_LOST, worker=self.worker.name, error=error)
        if self.reachable:
            self.silent_since_s = self.clock()
        self.reachable = False
        self.answered.set()
        if self.clock() <= self.lease.expires_s:
            return
        runs = self._settled_runs(lease_limit_s(self.lease.lease_s))
        if runs:
            log(RUNS_LAPSED, worker=self.worker.name, runs=len(runs))
            self._end_runs(runs, LEASE_EXPIRED)

    def _begin_incarnation(self, incarnation: int, source: str) -> None:
        """Begin anew with another incarnation of the worker.

        An ``incarnation`` of 0 means that its number is not known yet. The
        higher token keeps commands to the earlier incarnation from being
        carried out by this one. Once it has accepted the token, its lists
        show which of the runs it has.
        """
        log(
            TASK_WORKER_REPLACED,
            worker=self.worker.name,
            incarnation=incarnation,
            earlier_incarnation=self.incarnation,
            source=source,
            runs=len(self.load.runs),
        )
        self._advance_token()
        self.incarnation = incarnation
        self.acknowledged_end = 0
        self._newest_end = 0
        self._sent_end = 0
        self.fenced = False
        self.lease.begin_incarnation(self.clock())
        self.expected.expect_in_next_lists()
        self.wake()

    def _advance_token(self) -> None:
        """Use the next token of this holder, which ends if none is left."""
        if not self.tokens.advance():
            self.owner.step_down()
        self.token = self.tokens.current

    def _handle_fenced(self, token: int) -> None:
        """Handle the refusal of a command because of its token."""
        if token == self.token:
            self.owner.step_down()

    def _settled_runs(self, lease_s: float) -> list[RunKey]:
        """Return the runs that no start can begin or continue any more.

        A start that is carried out late gives its run a lease of ``lease_s``.
        """
        now_s = self.clock()
        return [
            key
            for key in self.load.runs
            if now_s >= self._late_starts.get(key, ALWAYS_S) + lease_s
        ]

    def _end_runs(self, runs: list[RunKey], evidence: str) -> None:
        for key in runs:
            self._end(key, ENDED_LAPSED, evidence)

    def _end(self, key: RunKey, how: str, evidence: str) -> None:
        """Record the end of a run that the worker does not list."""
        self.release(key)
        end = EndReport(0, key, how, "", evidence)
        self.owner.record_end(self.worker.name, end)

    async def _send_stop(self, key: RunKey) -> None:
        token = self.token
        try:
            async with self._command_slots:
                await self.client.stop(token, key)
        except FencedError:
            self._handle_fenced(token)
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
            WorkerReplacedError,
        ):
            # The stop is sent again while the worker still lists the run.
            return

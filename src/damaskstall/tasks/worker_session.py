"""Manage one worker: renew its lease, start and stop runs, record their ends.

The worker's lists of runs are authoritative. A run occupies capacity from
before its start command is sent until the worker lists its end, the lists show
that it never started, or its lease has certainly expired.
"""

from collections import deque
from collections.abc import Sequence, Set
from typing import NamedTuple

from trio import CapacityLimiter, Event, Nursery, move_on_after, sleep

from damaskstall.contact_slots import ContactSlots
from damaskstall.containment import record_failure
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
from damaskstall.tasks.crash_evidence import WorkerCrash
from damaskstall.tasks.events import (
    RUNS_LAPSED,
    RUNS_UNCOUNTED,
    TASK_WORKER_FENCED,
    TASK_WORKER_LOST,
    TASK_WORKER_REPLACED,
)
from damaskstall.tasks.expected_runs import ExpectedRuns
from damaskstall.tasks.fencing import FencingTokens
from damaskstall.tasks.late_starts import LateStarts
from damaskstall.tasks.machine_evidence import MACHINE_EMPTY, EndedWorker
from damaskstall.tasks.model import Demand, RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    CRASH_EVIDENCE,
    LEASE_EXPIRED,
    MACHINE_DOWN,
    NOT_LAUNCHED,
    OUTAGE,
    REPLACED,
    UNOBSERVED,
    UNSEEN,
    WORKER_LEFT,
    EndReport,
    LeaseRenewal,
    WorkerClient,
    WorkerReport,
)
from damaskstall.tasks.progress import (
    ENDED_DONE,
    ENDED_FAILED,
    ENDED_LAPSED,
    ENDED_NOT_STARTED,
)
from damaskstall.tasks.run_launch import RunLaunch
from damaskstall.tasks.run_log import log_run_found, log_worker_lost
from damaskstall.tasks.session_owner import SessionOwner
from damaskstall.tasks.worker_flags import (
    CLOSED,
    IN_BACKOFF,
    LEAVING,
    NOT_FENCED,
    NOT_LISTED,
    OUTDATED_ENTRY,
    UNKNOWN_RUNS,
    UNREACHABLE,
)
from damaskstall.tasks.worker_health import WorkerHealth
from damaskstall.tasks.worker_lease import WorkerLease, lease_limit_s

# A worker can be asked to delay its answer by up to 2 s. A shorter wait
# detects a lost answer or a stalled run sooner, but each call to a worker
# costs 0.0003 of the value of a request.
RENEWAL_WAIT_S = 0.5
RETRY_S = 0.1
# A listed worker that is silent and has no runs is called less often, since
# the platform charges for each call to a worker.
IDLE_RETRY_S = 1.0
STOP_RETRY_S = 0.4
# Pause after an unexpected error in the work for a worker.
FAILURE_PAUSE_S = 1.0
# A worker that lists an end answers at once, however long it may wait.
HELD_ENDS_PAUSE_S = 0.25
# A worker lists at most this many ends in one answer, the oldest first.
LISTED_ENDS_LIMIT = 500
# Concurrent commands to one worker; each needs a connection.
CONCURRENT_COMMAND_LIMIT = 2
# Maximum wait until the listed ends are stored. While the store accepts no
# write, ends are not acknowledged and the worker lists them again.
STORE_WAIT_LIMIT_S = 0.3
# The list of machines may be unavailable for longer than a lease lasts.
LAPSED_RUNS_KEPT_S = 30.0
# The newest crash of a worker, and the one before.
KEPT_CRASHES = 2


class Answer(NamedTuple):
    """Whether a worker has answered a renewal, and its report.

    The report is None if it is that of an earlier incarnation.
    """

    arrived: bool
    report: WorkerReport | None


NO_ANSWER = Answer(False, None)


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
        contact_slots: ContactSlots,
    ) -> None:
        """Start a session with a worker as the holder of some tokens.

        ``contact_slots`` limits the calls to silent workers that the sessions
        of one holder make at once.
        """
        self.worker = worker
        self.client = client
        self.owner = owner
        self.tokens = tokens
        # The token of all commands to the worker's present incarnation.
        self.token = tokens.current
        self.clock = clock
        self.contact_slots = contact_slots
        # How many calls in a row were not answered. A new session counts like
        # one whose worker has just stopped answering.
        self._silent_calls = 1
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
        # Whether some of the listed ends are not to be acknowledged yet.
        self.holds_ends_back = False
        self.answered = Event()
        started_s = clock()
        self.lease = WorkerLease(lease_s, started_s)
        self._entry_read_s = started_s
        # The start of the present silence, if the worker is not reachable.
        self.silent_since_s = started_s
        # Whether the whole failure domain or rack was down in this silence.
        self.in_outage = False
        # When the worker last crashed, as far as this holder knows.
        self.crashed_s = float("-inf")
        # The last crashes, and whether the newest is that of this silence.
        self.crashes: deque[WorkerCrash] = deque(maxlen=KEPT_CRASHES)
        self._has_noted_crash = False
        # Whether the worker has answered this holder.
        self.heard = False
        # The runs that lapsed in this silence, and whether each was unseen;
        # until the given time a crash is still attributed to them.
        self._lapsed_runs: dict[RunKey, bool] = {}
        self._judged_until_s = started_s
        self.late_starts = LateStarts(started_s)
        # Whether the worker's present incarnation is not the one that the
        # starts so far were sent to, and has not accepted a higher token yet.
        self._has_restarted = False
        # Until when the starts of ended runs may be carried out.
        self._open_starts: dict[RunKey, float] = {}
        self._stop_sent_s: dict[RunKey, float] = {}
        self.command_slots = CapacityLimiter(CONCURRENT_COMMAND_LIMIT)
        self._wake = Event()
        self._nursery: Nursery | None = None

    def usable(self) -> bool:
        """Return whether new runs may go to the worker."""
        return not self.unusable_reasons()

    def is_resting(self) -> bool:
        """Return whether only a backoff keeps new runs from the worker."""
        return self.unusable_reasons() == (IN_BACKOFF,)

    def may_probe(self) -> bool:
        """Return whether one unit may go to the worker, in backoff."""
        return self.is_resting() and self.health.may_probe(self.clock())

    def unusable_reasons(self) -> tuple[str, ...]:
        """Return the names of what keeps new runs from the worker."""
        found = []
        if not self.fenced:
            found.append(NOT_FENCED)
        if not self.reachable:
            found.append(UNREACHABLE)
        if self.closed:
            found.append(CLOSED)
        if self.has_unknown_runs:
            found.append(UNKNOWN_RUNS)
        if not self.listed:
            found.append(NOT_LISTED)
        if self.entry_is_outdated():
            found.append(OUTDATED_ENTRY)
        if self.worker.leaving:
            found.append(LEAVING)
        if not self.health.may_start(self.clock()):
            found.append(IN_BACKOFF)
        return tuple(found)

    def available_capacity(self) -> FreeCapacity:
        """Return the free capacity of the worker."""
        return self.load.free_capacity(self.worker)

    def worker_clock_s(self) -> float:
        """Return the estimated present time on the worker's clock."""
        return self.lease.worker_clock_s(self.clock())

    def adopt(self, key: RunKey, demand: Demand, settled: bool) -> None:
        """Count a run that an earlier holder may have started.

        Unless it is ``settled``, a start that the earlier holder sent up to
        now may still be carried out late.
        """
        self.load.add(key, demand)
        self.expected.add_adopted(key)
        if not settled:
            self.late_starts.adopt(key, self.clock())

    def reserve(self, key: RunKey, demand: Demand) -> None:
        """Count a run that is about to be launched."""
        self.load.add(key, demand)
        self.health.record_placed(self.clock())
        if not self.lease.clock_is_precise(self.clock()):
            self.lease.clock_wanted = True
            self.wake()

    def release(self, key: RunKey) -> None:
        """Stop counting a run; request a decision if it was counted."""
        self.expected.remove(key)
        self._stop_sent_s.pop(key, None)
        if self.load.remove(key):
            self.report_open_start(key)
            self.owner.request_decision()

    def report_open_start(self, key: RunKey) -> None:
        """Report a start of an ended run that may still be carried out."""
        until_s = self.late_starts.until(key)
        if until_s > self.clock():
            self._note_open_start(key, until_s)

    def adopt_open_start(self, key: RunKey) -> None:
        """Expect that a start of an earlier holder may be carried out."""
        self.late_starts.adopt(key, self.clock())
        self._open_starts[key] = self.late_starts.until(key)

    def _note_open_start(self, key: RunKey, until_s: float) -> None:
        """Note a start that may be carried out until a time.

        Unless the worker answers by then, its run may last for a lease more.
        """
        self._open_starts[key] = until_s
        limit_s = lease_limit_s(self.lease.lease_s)
        self.owner.record_open_start(self.worker.name, key, until_s + limit_s)

    def _settle_open_starts(
        self, running: Set[RunKey], requested_s: float
    ) -> None:
        """Settle the starts of which the lists of a renewal show no run.

        It was sent at ``requested_s``, after the starts were too old.
        """
        for key, until_s in list(self._open_starts.items()):
            if requested_s >= until_s and key not in running:
                del self._open_starts[key]
                self.owner.settle_open_start(self.worker.name, key)

    async def run(self, nursery: Nursery) -> None:
        """Renew the lease and record ends until the worker is removed."""
        self._nursery = nursery
        while True:
            if self._may_close():
                self.closed = True
                # A later session with this worker has a higher token.
                self._advance_token()
                await self.client.close()
                return
            if self.lease.clock_known and self.reachable and self._is_idle():
                if not self.entry_is_outdated():
                    await self._wake.wait()
                    continue
                # Its next answer tells which incarnation it is.
                await sleep(IDLE_RETRY_S)
            if not await self._renew_or_contain():
                urgent = bool(self.load.runs)
                urgent = urgent or (self.listed and self._may_have_runs())
                await sleep(RETRY_S if urgent else IDLE_RETRY_S)
            elif self.holds_ends_back:
                await sleep(HELD_ENDS_PAUSE_S)

    async def launch(self, key: RunKey, payload: str, checkpoint: str) -> None:
        """Start a run; retry until it is answered or its window has ended."""
        await RunLaunch(self, key).run(payload, checkpoint)

    async def refresh_clock(self) -> None:
        """Wait a moment for a reading of the clock if the last one is old."""
        if not self.lease.clock_is_precise(self.clock()):
            self.lease.clock_wanted = True
            self.wake()
            await self.lease.wait_clock_read()

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
        self, since_s: float, found: EndedWorker = MACHINE_EMPTY
    ) -> None:
        """Record that the worker has ended: end its runs.

        Does nothing if the worker has answered since ``since_s``, the start of
        the silence in which its end was observed. Unless another worker has
        replaced it on its machine, it may start again, so the runs that its
        next incarnation may start late are kept.
        """
        if self.reachable or self.silent_since_s != since_s:
            return
        self.in_outage = self.in_outage or found.in_outage
        self._record_loss(self._loss_evidence(MACHINE_DOWN))
        runs = self._settled_runs(0.0)
        if found.replaced:
            runs = list(self.load.runs)
            self.late_starts.clear()
            self._open_starts.clear()
            self.owner.forget_open_starts(self.worker.name)
        else:
            self._settle_open_starts(frozenset(), self.clock())
        if not runs:
            return
        evidence = self._loss_evidence(MACHINE_DOWN)
        log_worker_lost(self.worker.name, runs, evidence)
        self._end_runs(runs, evidence)

    def has_lapsed_runs(self) -> bool:
        """Return whether runs lapsed here whose worker may have crashed."""
        return bool(self._lapsed_runs) and self.clock() < self._judged_until_s

    def _record_loss(self, evidence: str) -> None:
        """Note a crash, and report the runs that lapsed in its silence."""
        runs, self._lapsed_runs = self._lapsed_runs, {}
        if evidence in CRASH_EVIDENCE:
            self.crashed_s = self.clock()
            self._note_crash(frozenset({*self.load.runs, *runs}))
            for key, unseen in runs.items():
                found = UNSEEN if unseen else evidence
                self.owner.record_crash(self.worker.name, key, found)

    def _note_crash(self, runs: frozenset[RunKey]) -> None:
        """Note a crash once, however often it is noticed."""
        if self._has_noted_crash:
            return
        self._has_noted_crash = True
        crash = WorkerCrash(self.worker.name, self.clock(), runs)
        self.crashes.append(crash)

    def _loss_evidence(self, evidence: str) -> str:
        """Return why the worker's runs ended if it did not just crash."""
        if self.worker.leaving:
            return WORKER_LEFT
        if self.in_outage:
            return OUTAGE
        if not self.heard:
            return UNOBSERVED
        return evidence

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
            if worker.incarnation > max(listed, self.incarnation):
                self.begin_incarnation(worker.incarnation, "list of workers")
            self.worker = worker
        self.wake()

    def entry_is_outdated(self) -> bool:
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

    async def _renew_or_contain(self) -> bool:
        """Renew the lease; an unexpected error counts as a silence.

        The other workers are still used. The lists of this one are read
        again after a pause, and no end in them was acknowledged.
        """
        try:
            return await self._renew_lease()
        except Exception as error:
            record_failure("worker", self.worker.name, error)
            self.record_no_answer(f"unexpected error: {error!r}")
            await sleep(FAILURE_PAUSE_S)
            return False

    async def _renew_lease(self) -> bool:
        """Renew the lease if that is allowed; return whether it was answered.

        Only the call to a silent worker takes a slot, not the wait until the
        ends in its answer are stored.
        """
        requested_s = self.clock()
        if self.reachable:
            answer = await self._send_renewal()
        else:
            async with self.contact_slots.of(self._silent_calls):
                answer = await self._send_renewal()
        if answer.report is not None:
            await self._apply_report(answer.report, requested_s)
        return answer.arrived

    async def _send_renewal(self) -> Answer:
        """Send one renewal of the lease."""
        if not self.owner.may_renew_leases():
            return NO_ANSWER
        now_s = self.clock()
        answers = self.lease.clock_known and self.reachable
        if answers:
            # A silent worker's lease is not renewed, so that it expires.
            self.lease.renew(now_s)
        may_wait = answers and self._may_have_runs()
        may_wait = may_wait and self.lease.clock_is_recent(now_s)
        may_wait = may_wait and not self.lease.clock_wanted
        request = LeaseRenewal(
            self.token,
            self.lease.until_s,
            self._next_acknowledgement(),
            RENEWAL_WAIT_S if may_wait else 0.0,
        )
        self.lease.extend_expiry(request.lease_until_s)
        self.lease.record_sent(now_s, request.wait_s)
        try:
            report = await self.client.renew_lease(request)
        except FencedError:
            self.handle_fenced(request.token)
            return NO_ANSWER
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
            WorkerReplacedError,
        ) as error:
            self._silent_calls += 1
            self.record_no_answer(str(error))
            return NO_ANSWER
        self._silent_calls = 0
        if request.token != self.token:
            # It was sent before another incarnation was known.
            return Answer(True, None)
        self._sent_end = max(self._sent_end, request.acknowledged_end)
        return Answer(True, report)

    def _next_acknowledgement(self) -> int:
        """Return the newest end to acknowledge, 0 if there is none.

        An acknowledgement is neither repeated once it was answered nor sent
        after a silence or over a new connection: the next incarnation numbers
        its ends anew.
        """
        if not self.reachable or self.acknowledged_end <= self._sent_end:
            return 0
        if not self.client.is_connected():
            return 0
        return self.acknowledged_end

    def _may_have_runs(self) -> bool:
        """Return whether the worker may have runs, or may yet start one."""
        if self.load.runs or self.has_unknown_runs:
            return True
        limit_s = lease_limit_s(self.lease.lease_s)
        now_s = self.clock()
        if any(now_s < u + limit_s for u in self._open_starts.values()):
            return True
        return now_s < self.late_starts.until_s

    def _may_close(self) -> bool:
        """Return whether nothing more is to be learnt about the worker."""
        if self.listed or self._may_have_runs():
            return False
        return not self.has_lapsed_runs()

    def _is_idle(self) -> bool:
        """Return whether no run may exist and all ends are acknowledged."""
        if self._may_have_runs():
            return False
        return self._sent_end >= self._newest_end

    async def _apply_report(
        self, report: WorkerReport, requested_s: float
    ) -> None:
        if self._is_from_another_incarnation(report):
            # Only lists that follow a renewal with a higher token are final.
            self.begin_incarnation(report.incarnation, "report")
            return
        self.incarnation = report.incarnation
        if not self.heard:
            self._inherit_ends(report.ended)
        self.heard = True
        if not self.lease.clock_known:
            log(TASK_WORKER_FENCED, worker=self.worker.name, epoch=self.token)
            self.answered.set()
        self.lease.record_clock(report.clock_s, self.clock())
        self.fenced = True
        if self._has_restarted:
            # It refuses all commands with an earlier token.
            self._has_restarted = False
            self.late_starts.clear()
            self._open_starts = dict.fromkeys(self._open_starts, requested_s)
        self._has_noted_crash = False
        if not self.reachable:
            self.reachable = True
            self._lapsed_runs = {}
            self.owner.request_decision()
        self._apply_run_lists(report, requested_s)
        self._newest_end = max((end.number for end in report.ended), default=0)
        self.holds_ends_back = False
        if report.ended:
            newest = self._newest_to_acknowledge(report.ended)
            self.holds_ends_back = newest < self._newest_end
            job_ids = {end.key.task.job_id for end in report.ended}
            with move_on_after(STORE_WAIT_LIMIT_S):
                token = self.token
                await self.owner.wait_ends_stored(job_ids)
                if token == self.token:
                    self.acknowledged_end = max(self.acknowledged_end, newest)

    def _inherit_ends(self, ended: Sequence[EndReport]) -> None:
        """Expect late starts of the runs that ended under an earlier holder.

        It may have kept their ends from being acknowledged for that reason.
        """
        for end in ended:
            if end.key not in self.load.runs:
                self.late_starts.adopt(end.key, self.clock())

    def _newest_to_acknowledge(self, ended: Sequence[EndReport]) -> int:
        """Return the newest listed end up to which none is to be kept yet.

        The acknowledgement of an outcome states that its task does not run
        again, so it waits until no start of the run can be carried out. A full
        list may hide newer ends, so that none of it is kept.
        """
        if len(ended) >= LISTED_ENDS_LIMIT:
            return max(end.number for end in ended)
        now_s = self.clock()
        newest = 0
        for end in sorted(ended, key=lambda each: each.number):
            is_outcome = end.how in (ENDED_DONE, ENDED_FAILED)
            if is_outcome and self.late_starts.until(end.key) > now_s:
                break
            newest = end.number
        return newest

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

    def _apply_run_lists(
        self, report: WorkerReport, requested_s: float
    ) -> None:
        listed = set()
        self._check_unknown_runs(report)
        for run in report.running:
            listed.add(run.key)
            self.owner.record_started(run.key)
            self.late_starts.record_listed(run.key)
            if self.expected.confirm(run.key, report.clock_s):
                log_run_found(
                    self.worker.name, run.key, report.incarnation, self.token
                )
            if self.owner.should_continue(self.worker.name, run.key):
                self.owner.record_running(self.worker.name, run)
            else:
                self.stop(run.key)
        for end in report.ended:
            listed.add(end.key)
            self.late_starts.record_listed(end.key)
            if end.number > self.acknowledged_end:
                self.release(end.key)
                self.owner.record_end(self.worker.name, end)
        if len(report.ended) >= LISTED_ENDS_LIMIT:
            # The ends of runs that are not listed may follow.
            return
        running = {run.key for run in report.running}
        for key in running - self.load.runs.keys():
            until_s = max(self.late_starts.until(key), self.clock())
            self._note_open_start(key, until_s)
        self._settle_open_starts(running, requested_s)
        self.expected.record_lists(listed, requested_s)
        for key, missing in self.expected.missing(report.clock_s, listed):
            self.end_run(key, missing.outcome, missing.evidence)

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

    def record_no_answer(self, error: str) -> None:
        """Record a silence; end runs whose leases have certainly expired."""
        if self.reachable or not self.answered.is_set():
            log(TASK_WORKER_LOST, worker=self.worker.name, error=error)
        if self.reachable:
            # The worker may start again, which breaks its connections.
            self.client.reconnect()
            self.silent_since_s = self.clock()
            self.in_outage = False
        self.reachable = False
        self.answered.set()
        if self.clock() <= self.lease.expires_s:
            return
        # Uncounted runs have lapsed too; the next lists show any others.
        self.has_unknown_runs = False
        runs = self._settled_runs(lease_limit_s(self.lease.lease_s))
        if runs:
            log(RUNS_LAPSED, worker=self.worker.name, runs=len(runs))
            sent = [k for k in runs if self.expected.may_have_started(k)]
            self._lapsed_runs |= {
                key: self.expected.is_unseen(key) for key in sent
            }
            self._judged_until_s = self.clock() + LAPSED_RUNS_KEPT_S
            self._end_runs(runs, LEASE_EXPIRED)

    def begin_incarnation(self, incarnation: int, source: str) -> None:
        """Begin anew with another incarnation of the worker.

        An ``incarnation`` of 0 means that its number is not known yet. The
        higher token keeps commands to the earlier incarnation from being
        carried out by this one. Once it has accepted the token, its lists
        show which of the runs it has.
        """
        evidence = self._loss_evidence(REPLACED)
        self._record_loss(evidence)
        log(
            TASK_WORKER_REPLACED,
            worker=self.worker.name,
            incarnation=incarnation,
            earlier_incarnation=self.incarnation,
            source=source,
            evidence=evidence,
            runs=len(self.load.runs),
        )
        self._advance_token()
        self.incarnation = incarnation
        self.acknowledged_end = 0
        self._newest_end = 0
        self._sent_end = 0
        self.fenced = False
        self._has_restarted = True
        self.client.reconnect()
        self.lease.begin_incarnation(self.clock())
        self.expected.expect_in_next_lists(evidence)
        self.wake()

    def _advance_token(self) -> None:
        """Use the next token of this holder, which ends if none is left."""
        if not self.tokens.advance():
            self.owner.step_down()
        self.token = self.tokens.current

    def handle_fenced(self, token: int) -> None:
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
            if now_s >= self.late_starts.until(key) + lease_s
        ]

    def _end_runs(self, runs: list[RunKey], evidence: str) -> None:
        for key in runs:
            if self.expected.may_have_started(key):
                found = self.expected.loss_evidence(key, evidence)
                self.end_run(key, ENDED_LAPSED, found)
            else:
                self.end_run(key, ENDED_NOT_STARTED, NOT_LAUNCHED)

    def end_run(self, key: RunKey, how: str, evidence: str) -> None:
        """Record the end of a run that the worker does not list."""
        self.release(key)
        end = EndReport(0, key, how, "", evidence)
        self.owner.record_end(self.worker.name, end)

    async def _send_stop(self, key: RunKey) -> None:
        token = self.token
        try:
            async with self.command_slots:
                await self.client.stop(token, key)
        except FencedError:
            self.handle_fenced(token)
        except (
            CommandNotSentError,
            CommandOutcomeUnknownError,
            CommandRefusedError,
            WorkerReplacedError,
        ):
            # The stop is sent again while the worker still lists the run.
            return

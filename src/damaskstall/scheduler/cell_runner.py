"""Schedule the jobs of one cell while its lease is held."""

from typing import Any

from trio import Event, Nursery, current_time, move_on_after, open_nursery

from damaskstall.errors import LeaseLostError, TableUnavailableError
from damaskstall.events import log
from damaskstall.placement.model import (
    Block,
    Cell,
    Preempt,
    RunningJob,
    Start,
)
from damaskstall.resources.records import JOB_PLACED, JOB_QUEUED
from damaskstall.scheduler.attempt import (
    CANCELLED,
    ENDING,
    FAILED,
    NOT_STARTED,
    PREEMPTED,
    RUNNING,
    STARTING,
    SUCCEEDED,
    TAKEN_OUT,
    Attempt,
    Outcome,
)
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.cell_queue import CellQueue, queued_job
from damaskstall.scheduler.cell_workers import CellWorkers
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.events import (
    JOB_ADOPTED,
    JOB_ENDED,
    JOB_REQUEUED,
)
from damaskstall.scheduler.gang_runner import GangRunner
from damaskstall.scheduler.job_cache import JobEntry
from damaskstall.scheduler.job_status import PLACED_STATES
from damaskstall.scheduler.metrics import ATTEMPTS, JOBS_ENDED
from damaskstall.scheduler.queue_updates import QueueUpdates
from damaskstall.scheduler.worker_protocol import ACK, STOP, Command
from damaskstall.scheduler.worker_session import WorkerSession


class CellRunner:
    """Places jobs on the workers of one cell and runs their attempts."""

    def __init__(
        self, context: SchedulerContext, lease: CellLease, cell: Cell
    ) -> None:
        """Prepare to schedule a cell under its lease."""
        self.context = context
        self.lease = lease
        self.cell = cell
        self.policy = context.planner.make_policy(cell)
        self.queue = CellQueue(context, cell, self.policy)
        self.workers = CellWorkers(context, lease, cell, self)
        self.queue_updates = QueueUpdates(context, cell.name)
        self.gang_runner = GangRunner(
            lease,
            context.transitions,
            context.objects,
            context.settings,
            context.random,
            context.unix_s,
        )
        self.attempts: dict[str, Attempt] = {}
        self.draining = False
        self.is_open = True
        # A dictionary keeps the order in which the rows changed.
        self._changed_jobs: dict[str, None] = {}
        self._config_changed = True
        self._no_start_until_s = 0.0
        self._start_delays = 0
        self._wake = Event()
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Schedule until cancelled; first adopt the jobs that already run."""
        job_cache = self.context.job_cache
        job_cache.listeners.append(self)
        try:
            await job_cache.wait_revision(self.lease.acquired_revision)
            await self.workers.load_quarantines()
            async with open_nursery() as nursery:
                self._nursery = nursery
                self._apply_config()
                self._process_changed_jobs()
                self.workers.start(nursery)
                nursery.start_soon(self.queue_updates.run)
                nursery.start_soon(self._watch_config)
                await self._decide_forever()
        finally:
            job_cache.listeners.remove(self)
            ATTEMPTS.set({"cell": self.cell.name}, 0)

    def on_job_changed(self, name: str) -> None:
        """Record that a job's entry changed or was removed."""
        self._changed_jobs[name] = None
        self._wake.set()

    def on_worker_changed(self, session: WorkerSession) -> None:
        """Handle a worker's new answer, or that it became unreachable."""
        for attempt in self.attempts.values():
            if session in attempt.sessions:
                attempt.wake()
        if session.reachable:
            self._stop_unknown_tasks(session)
        self._wake.set()

    async def drain(self) -> None:
        """Start no more jobs; wait until every attempt is running."""
        self.draining = True
        while any(a.phase != RUNNING for a in self.attempts.values()):
            await self._wake.wait()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        now_s = current_time()
        return {
            "cell": self.cell.name,
            "epoch": self.lease.epoch,
            "lease_left_s": self.lease.expires_s - now_s,
            "open": self.is_open,
            "workers": self.workers.dump(now_s),
            "attempts": {
                name: {
                    "attempt": attempt.number,
                    "phase": attempt.phase,
                    "workers": attempt.workers,
                    "block": attempt.block,
                    "stop": attempt.stop.reason if attempt.stop else "",
                }
                for name, attempt in self.attempts.items()
            },
            "queue": {
                name: self.policy.explain(name, now_s)._asdict()
                for name in sorted(self.queue.admitted)
            },
        }

    async def _watch_config(self) -> None:
        while True:
            await self.context.config.wait_change()
            self._config_changed = True
            self._wake.set()

    async def _decide_forever(self) -> None:
        while True:
            self._wake = Event()
            self._step(current_time())
            with move_on_after(self.context.settings.decision_interval_s):
                await self._wake.wait()

    def _step(self, now_s: float) -> None:
        self._apply_config()
        self._process_changed_jobs()
        self._apply_take_out(now_s)
        self.workers.update(self.policy, now_s)
        for entry in self.queue.pop_due(now_s):
            self._admit(entry, now_s)
        if self._may_start(now_s):
            for decision in self.policy.decide(now_s):
                if isinstance(decision, Start):
                    self._start(decision)
                else:
                    self._preempt(decision)
        self.queue_updates.record_wait_reasons(self.queue, now_s)
        ATTEMPTS.set({"cell": self.cell.name}, len(self.attempts))

    def _may_start(self, now_s: float) -> bool:
        """Return whether jobs may be started at all.

        Without a fresh configuration the start deadline has passed, and every
        worker would refuse to run a task.
        """
        if self.draining or not self.is_open or now_s < self._no_start_until_s:
            return False
        permit_s = self.context.settings.start_permit_ttl_s
        fresh = self.context.config.age_s(now_s) < permit_s
        return fresh and self.lease.may_decide(now_s)

    def _apply_config(self) -> None:
        """Pass guarantees and weights to the policy if they have changed."""
        if not self._config_changed:
            return
        self._config_changed = False
        config = self.context.config
        guarantees = self.context.planner.guarantees(config)
        self.policy.set_guarantees(guarantees.get(self.cell.name, ()))
        weights = {
            name: float(value["spec"]["weight"])
            for name, value in config.resources("team").items()
        }
        self.policy.set_weights(weights)
        self.queue.clear_ranks()
        self.queue_updates.clear_unschedulable_reasons()
        # The claim order may have changed for every waiting job.
        self._changed_jobs.update(
            dict.fromkeys(self.context.job_cache.entries)
        )

    def _apply_take_out(self, now_s: float) -> None:
        """Close the cell while its failure domain is out; stop its jobs."""
        is_out = self.context.config.is_out(self.cell.failure_domain)
        if self.is_open == is_out:
            self.is_open = not is_out
            self.policy.set_open(self.is_open)
        if not is_out:
            return
        domain = self.cell.failure_domain
        for attempt in self.attempts.values():
            # A started job that cannot restart elsewhere may finish here.
            started = attempt.phase in (STARTING, RUNNING)
            if attempt.spec["restartable"] or not started:
                attempt.request_stop(
                    Outcome(TAKEN_OUT, f"{domain} was taken out of service.")
                )

    def _process_changed_jobs(self) -> None:
        changed_jobs, self._changed_jobs = self._changed_jobs, {}
        for name in changed_jobs:
            self._process_job(name)

    def _process_job(self, name: str) -> None:
        """Update the queue and the attempts from a job's row."""
        entry = self.context.job_cache.entries.get(name)
        attempt = self.attempts.get(name)
        if entry is None:
            self.queue.remove_job(name)
            if attempt is not None:
                attempt.request_stop(
                    Outcome(CANCELLED, "The job's row was removed.")
                )
            return
        if entry.status["state"] == JOB_QUEUED:
            if attempt is None:
                self._process_queued(entry)
            return
        self.queue.remove_job(name)
        if attempt is not None:
            if entry.status["cancel_requested"]:
                attempt.request_stop(
                    Outcome(CANCELLED, "The job was cancelled on request.")
                )
            return
        if self._is_placed_here(entry):
            self._adopt(entry)

    def _process_queued(self, entry: JobEntry) -> None:
        if entry.status["cancel_requested"]:
            self.queue.remove_job(entry.name)
            if self.queue.rank(entry) is not None:
                self.queue_updates.end_cancelled(entry.name)
            return
        self.queue.schedule_admission(entry)

    def _is_placed_here(self, entry: JobEntry) -> bool:
        if entry.status["state"] not in PLACED_STATES:
            return False
        return entry.status["cell"] == self.cell.name

    def _admit(self, entry: JobEntry, now_s: float) -> None:
        """Add a due job to the policy, or end a job that can never run."""
        if entry.status["state"] != JOB_QUEUED or entry.name in self.attempts:
            return
        reason = self.queue_updates.unschedulable_reason(entry)
        if not reason:
            self.queue.admit(entry, now_s)
        elif self.context.config.confirmed_s < entry.seen_s:
            # The configuration was last confirmed before the job was seen: a
            # newer one may declare workers for it.
            self.queue.defer(entry, now_s)
        else:
            self.queue_updates.end_unschedulable(entry.name, reason)

    def _start(self, decision: Start) -> None:
        entry = self.context.job_cache.entries.get(decision.job)
        self.queue.mark_started(decision.job)
        if entry is None or entry.status["state"] != JOB_QUEUED:
            self.policy.release(decision.job, current_time(), None)
            return
        block = decision.block
        block_workers = self.cell.workers[block.first_worker :][: block.hosts]
        workers = tuple(worker.name for worker in block_workers)
        attempt = Attempt(
            entry.name,
            entry.status["attempt"] + 1,
            entry.spec,
            block,
            self.workers.sessions_of(workers),
            workers,
        )
        attempt.in_policy = True
        self.attempts[entry.name] = attempt
        self._spawn(attempt, decision.guaranteed)

    def _spawn(self, attempt: Attempt, guaranteed: bool) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._run_attempt, attempt, guaranteed)

    def _preempt(self, decision: Preempt) -> None:
        attempt = self.attempts.get(decision.job)
        if attempt is not None:
            attempt.request_stop(Outcome(PREEMPTED, decision.reason))

    def _adopt(self, entry: JobEntry) -> None:
        """Adopt a job that an earlier holder placed in this cell."""
        status = entry.status
        block = Block(*status["block"])
        workers = tuple(status["tasks"])
        attempt = Attempt(
            entry.name,
            status["attempt"],
            entry.spec,
            block,
            self.workers.sessions_of(workers),
            workers,
        )
        attempt.adopted = True
        if status["state"] == JOB_PLACED:
            attempt.request_stop(
                Outcome(
                    NOT_STARTED,
                    "The cell's lease changed holder before the job ran.",
                )
            )
        else:
            attempt.phase = RUNNING
            self._adopt_into_policy(attempt, entry)
        if status["cancel_requested"]:
            attempt.request_stop(
                Outcome(CANCELLED, "The job was cancelled on request.")
            )
        self.attempts[entry.name] = attempt
        log(JOB_ADOPTED, job=entry.name, cell=self.cell.name)
        self._spawn(attempt, status["guaranteed"])

    def _adopt_into_policy(self, attempt: Attempt, entry: JobEntry) -> None:
        first = self.workers.index_of(attempt.workers)
        if first is None:
            return
        attempt.block = attempt.block._replace(first_worker=first)
        now_s = current_time()
        now_unix_s = self.context.unix_s()
        ran_s = max(0.0, now_unix_s - entry.status["started_unix_s"])
        attempt.started_s = now_s - ran_s
        attempt.in_policy = True
        self.policy.adopt(
            RunningJob(
                queued_job(
                    entry,
                    now_s,
                    now_unix_s,
                    True,
                    self.queue.worker_accelerators,
                ),
                attempt.block,
                attempt.started_s,
                entry.status["guaranteed"],
                False,
            )
        )

    async def _run_attempt(self, attempt: Attempt, guaranteed: bool) -> None:
        """Run an attempt from placing the job to writing its end."""
        try:
            outcome: Outcome | None
            if attempt.adopted:
                outcome = None
                if attempt.phase != RUNNING:
                    outcome = attempt.stop
            else:
                if not await self.gang_runner.place(attempt, guaranteed):
                    return
                outcome = await self.gang_runner.launch(attempt)
            if outcome is None:
                outcome = await self.gang_runner.watch(attempt)
            attempt.phase = ENDING
            await self._end_attempt(attempt, outcome)
        except TableUnavailableError:
            self._delay_starts()
        except LeaseLostError:
            # The renewal task gets the same error and cancels the cell.
            await Event().wait()
        finally:
            self._remove_attempt(attempt)

    async def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        was_running = outcome.kind in (FAILED, SUCCEEDED)
        if outcome.kind == FAILED:
            await self.workers.record_task_failure(
                attempt.name, outcome.worker
            )
        status = await self.gang_runner.finish(attempt, outcome)
        self._start_delays = 0
        if status is None:
            return
        state = status["state"]
        if state == JOB_QUEUED:
            log(JOB_REQUEUED, job=attempt.name, reason=outcome.reason)
            return
        if was_running and outcome.kind == SUCCEEDED:
            self.workers.health.record_success(attempt.name, attempt.workers)
        self.workers.health.forget_job(attempt.name)
        JOBS_ENDED.inc({"state": state})
        log(JOB_ENDED, job=attempt.name, state=state, reason=status["reason"])

    def _remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt, free its block and process the row again."""
        del self.attempts[attempt.name]
        if attempt.in_policy:
            now_s = current_time()
            ran_s = now_s - attempt.started_s if attempt.started_s else None
            self.policy.release(attempt.name, now_s, ran_s)
        self._changed_jobs[attempt.name] = None
        self._wake.set()

    def _delay_starts(self) -> None:
        """Delay further starts after the table accepted no write."""
        delay_s = retry_delay_s(self._start_delays, self.context.random)
        self._start_delays += 1
        self._no_start_until_s = current_time() + delay_s

    def _stop_unknown_tasks(self, session: WorkerSession) -> None:
        """Stop active tasks that belong to no attempt; acknowledge others."""
        for key, report in session.tasks.items():
            attempt = self.attempts.get(key[0])
            if attempt is not None and attempt.number == key[1]:
                continue
            session.enqueue(Command(STOP if report.is_active else ACK, key))

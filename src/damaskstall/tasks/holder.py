"""Schedule all jobs of the service for as long as the lease is held."""

from collections.abc import Sequence
from functools import partial
from typing import Any

from trio import (
    CancelScope,
    Event,
    Nursery,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.containment import contained, record_failure
from damaskstall.events import log
from damaskstall.platform.types import Row, Value
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.tasks.claims import no_claims
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.crash_evidence import WorkerCrash
from damaskstall.tasks.earlier_starts import OpenStart
from damaskstall.tasks.events import (
    HOLDER_READY,
    PROGRESS_CONFLICT,
)
from damaskstall.tasks.faulty_inputs import (
    NOTHING_FAULTY,
    FaultyInputs,
    Search,
    SetAside,
)
from damaskstall.tasks.holder_load import HolderLoad, WorkCounts
from damaskstall.tasks.job_reader import JobReader, ReadJobs
from damaskstall.tasks.job_rows import (
    CANCEL_TABLE,
    JOB_TABLE,
    encode_progress,
    job_id_of,
    progress_row_key,
    withdrawn_unix_s,
)
from damaskstall.tasks.machine_list_poller import MachineListPoller
from damaskstall.tasks.model import QUEUED, Demand, RunKey, WorkerInfo
from damaskstall.tasks.policy import (
    Decision,
    RoundResult,
    StartUnit,
    decide,
)
from damaskstall.tasks.ports import (
    NOT_LAUNCHED,
    EndReport,
    RunReport,
)
from damaskstall.tasks.progress import (
    ENDED_DONE,
    ENDED_NOT_STARTED,
    JobProgress,
    Member,
    Unit,
)
from damaskstall.tasks.progress_writer import ProgressWriter
from damaskstall.tasks.reservations import NOTHING_KEPT
from damaskstall.tasks.run_ends import (
    RunEnds,
    find_present_run,
    find_run,
    find_task,
)
from damaskstall.tasks.run_log import (
    log_claim_lost,
    log_job_ended,
    log_start_open,
    log_unit_started,
    log_unit_stopped,
)
from damaskstall.tasks.run_monitor import RunMonitor
from damaskstall.tasks.run_time_estimator import RunTimeEstimator
from damaskstall.tasks.scheduling_input import (
    UNKNOWN_TERMS,
    SchedulingInput,
)
from damaskstall.tasks.stored_runs import (
    adopt_stored_runs,
    forget_unstored_runs,
)
from damaskstall.tasks.supervision import restart_on_error
from damaskstall.tasks.sweeper import Sweeper
from damaskstall.tasks.urgent_load import UrgentLoad
from damaskstall.tasks.wait_reasons import LEASE_NOT_HELD, PLACES_UNCONFIRMED
from damaskstall.tasks.waiting_units import RoundView, WaitingUnits
from damaskstall.tasks.worker_lease import OUTAGE_RENEWAL_LIMIT_S
from damaskstall.tasks.worker_pool import WorkerPool

# Changes within this time are handled by one scheduling round.
DECISION_BATCH_S = 0.01
# The pause after a round, as a multiple of its duration. Nothing else runs
# during a round, and the answers of workers must be read in time.
PAUSE_PER_ROUND = 1.0
# A round also runs without a change, since the order of waiting work depends
# on time.
DECISION_INTERVAL_S = 0.5
# Workers answer within a few milliseconds. Scheduling does not wait longer for
# one that does not: it is not used until it has accepted the epoch.
FENCE_WAIT_S = 0.1


class TaskHolder:
    """Scheduler under one lease: decides, launches runs, writes progress."""

    def __init__(self, context: NodeContext, lease: CellLease) -> None:
        """Create the parts; nothing is read yet."""
        self.context = context
        self.lease = lease
        self.jobs: dict[str, JobProgress] = {}
        self.reader = JobReader(context.table, context.clock, context.unix_s)
        self.pool = WorkerPool(context, self, lease.epoch)
        self.writer = ProgressWriter(context.table, self, lease.epoch)
        self.sweeper = Sweeper(context)
        self.estimator = RunTimeEstimator()
        self.claims = no_claims()
        self.urgent_load = UrgentLoad()
        self.ends = RunEnds(self.jobs, self)
        self.monitor = RunMonitor(self.pool, self.estimator)
        self.own_load = HolderLoad(self._count_work)
        self.waiting_units = WaitingUnits()
        self.kept = NOTHING_KEPT
        self.set_aside = SetAside()
        # What made this holder fail, if that was found.
        self.faulty = NOTHING_FAULTY
        self.scope = CancelScope()
        self.ready = False
        self._wake = Event()
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Schedule until cancelled or until a newer holder is found.

        After an unexpected error ``faulty`` has the inputs that caused it.
        """
        try:
            await self._run()
        except Exception:
            self.faulty = self._find_faulty_inputs()
            raise

    async def _run(self) -> None:
        with self.scope:
            async with open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(
                    restart_on_error,
                    "own load",
                    partial(self.own_load.probe, self.context.clock),
                )
                await self._load(nursery)
                self.writer.start(nursery)
                for table, handle in (
                    (JOB_TABLE, self._add_job),
                    (CANCEL_TABLE, self._apply_cancellation),
                ):
                    follow = partial(
                        self.reader.follow, table, handle, self._resync
                    )
                    nursery.start_soon(restart_on_error, table, follow)
                poller = MachineListPoller(self.context.platform, self.pool)
                for name, task in (
                    ("worker list", partial(self.pool.follow, nursery)),
                    ("machine list", poller.run),
                    ("configuration changes", self._follow_state),
                    ("sweeper", self.sweeper.run),
                ):
                    nursery.start_soon(restart_on_error, name, task)
                await self.pool.wait_answered(FENCE_WAIT_S)
                self.ready = True
                log(
                    HOLDER_READY,
                    epoch=self.lease.epoch,
                    jobs=len(self.jobs),
                    workers=len(self.pool.sessions),
                )
                await self._decide_forever()

    def waiting_counts(self) -> dict[str, int]:
        """Return by queue the number of jobs of which no task has begun."""
        counts: dict[str, int] = {}
        for progress in self.jobs.values():
            if progress.state() == QUEUED:
                queue = progress.job.queue
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "epoch": self.lease.epoch,
            "ready": self.ready,
            "jobs": {
                name: progress.state() for name, progress in self.jobs.items()
            },
            "workers": self.pool.dump(),
        }

    # Callbacks of the worker sessions.

    def should_continue(self, worker: str, key: RunKey) -> bool:
        """Return whether a run on a worker should continue.

        A run of that number that another holder has placed on that worker may
        be in the job's row until the present run is stored.
        """
        found = find_run(self.jobs, key)
        if found is None:
            return False
        progress, unit, position = found
        if progress.cancelled or progress.failed or unit.stopping:
            return False
        if unit.superseded:
            return False
        member = unit.members[position]
        if member.worker != worker and unit.stored_run == key.run:
            return False
        return not member.ended

    def demand_of(self, key: RunKey) -> Demand | None:
        """Return the demand of a current run, or None if it has ended."""
        found = find_run(self.jobs, key)
        if found is None:
            return None
        progress, unit, _ = found
        return progress.step_of(unit).demand

    def own_delay_s(self) -> float:
        """Return by how many seconds this process has lately run late."""
        return self.own_load.recent_delay_s(self.context.clock())

    def workers_set_aside(self) -> frozenset[str]:
        """Return the workers that no holder uses for a time."""
        return self.set_aside.at(self.context.unix_s()).workers

    def may_renew_leases(self) -> bool:
        """Return whether the leases of runs may be renewed.

        They are renewed during an outage of the store for a bounded time.
        """
        return self.lease.may_renew_tasks(
            self.context.clock(), OUTAGE_RENEWAL_LIMIT_S
        )

    def may_start_runs(self) -> bool:
        """Return whether start commands may be sent.

        A successor that may exist does not know of them.
        """
        return self.lease.is_held(self.context.clock())

    def knows_places(self) -> bool:
        """Return whether evacuations and workers were confirmed lately.

        Otherwise a failure domain may have been evacuated, or a worker may
        have reported that it leaves, for longer than starts may go there.
        """
        now_s = self.context.clock()
        settings = self.context.settings
        evacuations_age_s = self.context.configuration.age_s(now_s)
        workers_age_s = self.pool.worker_list.age_s(now_s)
        return (
            evacuations_age_s <= settings.evacuation_s
            and workers_age_s <= settings.worker_drain_s
        )

    def may_use(self, worker: WorkerInfo) -> bool:
        """Return whether a worker stays, in a domain that is in service."""
        evacuated = self.context.configuration.evacuated
        return not worker.leaving and worker.failure_domain not in evacuated

    def record_started(self, key: RunKey) -> None:
        """Record that a worker has started a run, also if it is not present.

        A run of another number or place is stopped, but its task has begun.
        """
        found = find_task(self.jobs, key.task)
        if found is None:
            return
        progress, unit, _ = found
        if progress.record_begun(unit):
            self.schedule_write(progress)

    def record_settled(self, key: RunKey) -> None:
        """Record that no start of a run can be carried out late any more.

        A successor then needs no proof that the run has ended but its worker.
        """
        found = find_run(self.jobs, key)
        if found is None:
            return
        progress, unit, position = found
        unit.members[position].settled = True
        self.schedule_write(progress)

    def record_open_start(
        self, worker: str, key: RunKey, until_s: float
    ) -> None:
        """Keep a unit from running elsewhere while a start of it is open."""
        found = find_task(self.jobs, key.task)
        if found is None:
            return
        progress, unit, position = found
        if unit.done:
            return
        start = OpenStart(position, worker, key.run)
        if start not in unit.earlier_starts.listed():
            log_start_open(worker, key, until_s - self.context.clock())
            self.schedule_write(progress)
        unit.earlier_starts.add(start, until_s)

    def settle_open_start(self, worker: str, key: RunKey) -> None:
        """Record that no run of a start can exist any more."""
        found = find_task(self.jobs, key.task)
        if found is None:
            return
        progress, unit, position = found
        unit.earlier_starts.settle(OpenStart(position, worker, key.run))
        # A successor would wait for the start once more.
        self.schedule_write(progress)

    def forget_open_starts(self, worker: str) -> None:
        """Record that a worker will certainly not start again."""
        for progress in self.jobs.values():
            for unit in progress.all_units():
                unit.earlier_starts.forget_worker(worker)

    def record_running(self, worker: str, report: RunReport) -> None:
        """Record that a run is running, with its progress."""
        found = find_present_run(self.jobs, worker, report.key)
        if found is None:
            return
        _, unit, position = found
        member = unit.members[position]
        member.confirmed = True
        member.reported_s = self.context.clock()
        member.pace.record(report.percent, self.context.clock())
        if report.checkpoint:
            unit.checkpoint = report.checkpoint

    def record_end(self, worker: str, end: EndReport) -> None:
        """Record that a run has ended, or has never started."""
        self.ends.record(worker, end)

    def record_crash(self, worker: str, key: RunKey, evidence: str) -> None:
        """Record that the worker of a run that has ended had crashed."""
        self.ends.record_late_crash(worker, key, evidence)

    async def wait_ends_stored(self, job_ids: set[str]) -> None:
        """Return once each end recorded so far of some jobs is stored."""
        await self.ends.settle_all()
        waiting = [
            (progress, progress.changes)
            for progress in map(self.jobs.get, job_ids)
            if progress is not None
            and progress.stored_changes < progress.changes
        ]
        for progress, count in waiting:
            await self.writer.wait_stored(progress, count)

    def request_decision(self) -> None:
        """Request a scheduling round: a worker may have free capacity."""
        self._wake.set()

    def step_down(self) -> None:
        """End this holder: a worker has a higher token, or none is left."""
        self.lease.lost = True
        self.scope.cancel()

    # Callbacks of the progress writer; it calls the second after a conflict.

    def may_write(self) -> bool:
        """Return whether the lease is certainly held.

        A holder that may have been replaced does not know which runs its
        successor has started, or which leases of workers it has renewed.
        """
        return self.lease.is_held(self.context.clock())

    def merge_stored_row(
        self, progress: JobProgress, value: Value | None, revision: int
    ) -> None:
        """Merge the state that another process wrote to a job's row.

        A job without a row is dropped. Its launched runs are counted until
        their workers list their ends.
        """
        if value is None:
            self.jobs.pop(progress.job_id, None)
            forget_unstored_runs(progress, self.pool)
            return
        log(PROGRESS_CONFLICT, job=progress.job_id, revision=revision)
        progress.revision = revision
        if value.get("cancelled"):
            self._cancel(progress)
        adopt_stored_runs(progress, value, self.pool, self.context.clock())
        if value.get("failed") and not progress.failed:
            progress.failed = True
            self.stop_all(progress, "the job has failed")
        self.stop_superseded(progress)
        self.schedule_write(progress)

    # Loading jobs and watching for changes.

    async def _load(self, nursery: Nursery) -> None:
        """Read all jobs and workers; retry until that succeeds."""
        while not await self.pool.worker_list.read_all():
            await sleep(DECISION_BATCH_S * 10)
        loaded = await self.reader.load()
        self._schedule_row_removal(self.reader.finished)
        # An end is acknowledged to its worker once all known jobs' rows are
        # written, so no worker is called before all jobs are known.
        self.pool.open_sessions(nursery)
        for progress in loaded:
            self._add_or_leave_alone(progress)

    def _add_or_leave_alone(self, progress: JobProgress) -> None:
        """Add a job; an unexpected error leaves that one alone."""
        try:
            self._add_read_job(progress)
        except Exception as error:
            record_failure("job", progress.job_id, error)
            self.jobs.pop(progress.job_id, None)

    def _add_read_job(self, progress: JobProgress) -> None:
        """Add a job as its row shows it, and count its runs."""
        self.jobs[progress.job_id] = progress
        for unit in progress.all_units():
            self.pool.adopt(progress, unit)
        self._follow_terms(progress)
        self._wake.set()

    async def _follow_state(self) -> None:
        while True:
            for progress in list(self.jobs.values()):
                self._follow_terms(progress)
            self._wake.set()
            await self.context.configuration.wait_change()

    def _follow_terms(self, progress: JobProgress) -> None:
        """Give a job the terms of its queue, and store them if they changed.

        A job whose queue was removed keeps its last terms. If an earlier
        version stored none, those that this process has seen are used.
        """
        configuration = self.context.configuration
        name = progress.job.queue
        queue = configuration.queues.get(name)
        if queue is None and progress.terms is None:
            queue = configuration.seen_queues.get(name)
        terms = progress.terms if queue is None else queue.terms
        had_failed = progress.failed
        if terms is None or not progress.set_terms(terms):
            return
        if progress.failed and not had_failed:
            self.stop_all(progress, "the job has failed")
        self.schedule_write(progress)

    def _add_job(self, row: Row) -> None:
        withdrawn_s = withdrawn_unix_s(row.value)
        if withdrawn_s is not None:
            self.sweeper.add_finished_job(job_id_of(row.key), withdrawn_s)
            return
        progress = self.reader.decode_new_job(row)
        if progress is not None and not self.is_known(progress.job_id):
            self.jobs[progress.job_id] = progress
            self._follow_terms(progress)
            if progress.terms is not None:
                self.urgent_load.record_job(
                    progress.job.declaration,
                    progress.terms.priority,
                    self.context.clock(),
                )
            self._wake.set()

    def is_known(self, job_id: str) -> bool:
        """Return whether a job is in memory, or has finished.

        Rows that were read before a job finished may be handled afterwards.
        """
        return job_id in self.jobs or job_id in self.sweeper.finished

    def _apply_cancellation(self, row: Row) -> None:
        """Cancel the job that a cancellation row names.

        The job's row may arrive later than its cancellation, since the two
        tables are watched separately. Then the first write of the job's
        progress meets a conflict, and the cancellation is read from its row.
        """
        progress = self.jobs.get(job_id_of(row.key))
        if progress is not None and row.value is not None:
            progress.revision = max(progress.revision, row.revision)
            self._cancel(progress)

    def _schedule_row_removal(self, finished: dict[str, float | None]) -> None:
        for job_id, over_unix_s in finished.items():
            self.sweeper.add_finished_job(job_id, over_unix_s)

    def _resync(self, read: ReadJobs) -> None:
        """Merge the jobs that were read again after changes were missed."""
        for job_id, over_unix_s in read.finished.items():
            if job_id not in self.jobs:
                self.sweeper.add_finished_job(job_id, over_unix_s)
        for progress in read.unfinished:
            if not self.is_known(progress.job_id):
                self._add_or_leave_alone(progress)
            elif progress.cancelled and progress.job_id in self.jobs:
                self._cancel(self.jobs[progress.job_id])

    def _cancel(self, progress: JobProgress) -> None:
        if progress.cancelled:
            return
        progress.cancelled = True
        self.stop_all(progress, "the job was cancelled")
        self.schedule_write(progress)

    # Scheduling rounds.

    async def _decide_forever(self) -> None:
        while True:
            self._wake = Event()
            began_s = self.context.clock()
            self._remove_finished_jobs()
            self.pool.end_expired_orphans()
            now_s = self.context.clock()
            for stop in self.monitor.find_stops(self._used_jobs(), now_s):
                self.stop_unit(*stop)
            if not self._decision_obstacle(now_s):
                self._apply_round(decide(self._scheduling_input(), now_s))
            if self.waiting_units.is_due(now_s):
                # It only explains why units wait.
                with contained("explanation", ""):
                    self.waiting_units.check(self._round_view(now_s), now_s)
            took_s = self.context.clock() - began_s
            self.own_load.record_round(took_s)
            with move_on_after(DECISION_INTERVAL_S):
                await self._wake.wait()
            await sleep(max(DECISION_BATCH_S, took_s * PAUSE_PER_ROUND))

    def _decision_obstacle(self, now_s: float) -> str:
        """Return why nothing may be decided at present, or ""."""
        if not self.lease.may_decide(now_s):
            return LEASE_NOT_HELD
        return "" if self.knows_places() else PLACES_UNCONFIRMED

    def _round_view(self, now_s: float) -> RoundView:
        """Return what explains why units wait after this round."""
        evacuated = self.context.configuration.evacuated
        return RoundView(
            self._scheduling_input(),
            self.pool.worker_states(evacuated),
            self.kept,
            self._decision_obstacle(now_s),
        )

    def _count_work(self) -> WorkCounts:
        now_s = self.context.clock()
        waiting_units = sum(
            len(units)
            for progress in self.jobs.values()
            for units in progress.waiting_steps(now_s)
        )
        return WorkCounts(
            len(self.jobs), waiting_units, len(self.pool.sessions)
        )

    def _used_jobs(self) -> list[JobProgress]:
        """Return the jobs that are not set aside."""
        aside = self.set_aside.at(self.context.unix_s()).jobs
        if not aside:
            return list(self.jobs.values())
        return [
            progress
            for job_id, progress in self.jobs.items()
            if job_id not in aside
        ]

    def _is_set_aside(self, progress: JobProgress) -> bool:
        aside = self.set_aside.at(self.context.unix_s())
        return progress.job_id in aside.jobs

    def _find_faulty_inputs(self) -> FaultyInputs:
        """Return the jobs and workers with which a round meets an error."""
        aside = self.set_aside.at(self.context.unix_s())
        jobs = [name for name in self.jobs if name not in aside.jobs]
        workers = list(self.pool.sessions)
        search = Search(self._plays_round, self.context.clock)
        return search.run(jobs, workers)

    def _plays_round(
        self, jobs: Sequence[str], workers: Sequence[str]
    ) -> bool:
        """Return whether a round with some of the input meets no error.

        Nothing that it decides is carried out.
        """
        now_s = self.context.clock()
        used = [self.jobs[name] for name in jobs if name in self.jobs]
        inputs = self._scheduling_input()
        inputs = inputs._replace(jobs=used, claims=no_claims())
        inputs = inputs.with_workers(frozenset(workers))
        try:
            monitor = RunMonitor(self.pool, self.estimator)
            monitor.find_stops(used, now_s)
            decide(inputs, now_s)
            for progress in used:
                progress.is_finished()
                encode_progress(progress)
        except Exception:
            return False
        return True

    def _scheduling_input(self) -> SchedulingInput:
        configuration = self.context.configuration
        return SchedulingInput(
            self._used_jobs(),
            configuration.queues,
            {
                team.name: team.guaranteed_accelerators
                for team in configuration.state.teams
            },
            self.pool.free_capacities(configuration.evacuated),
            self.estimator,
            self.claims,
            self.urgent_load,
            self.pool.backoff_capacities(configuration.evacuated),
            self.pool.crashed_workers(),
            self.pool.resting_capacities(configuration.evacuated),
            self.pool.reachable_capacities(),
            self.writer.failing_parts(),
        )

    def _apply_round(self, result: RoundResult) -> None:
        """Carry out the decisions of a round; keep what the next needs."""
        self.claims = result.claims
        self.kept = result.kept
        for loss in result.lost_claims:
            log_claim_lost(loss)
        for decision in result.decisions:
            self._apply(decision)

    def _apply(self, decision: Decision) -> None:
        if isinstance(decision, StartUnit):
            self._start_unit(decision)
            return
        self.stop_unit(decision.progress, decision.unit, decision.reason)

    def _start_unit(self, decision: StartUnit) -> None:
        progress, unit = decision.progress, decision.unit
        demand = progress.step_of(unit).demand
        placed = [
            (name, self.pool.sessions[name].incarnation)
            for name in decision.workers
        ]
        progress.begin_run(unit, placed, self.context.clock())
        for position, name in enumerate(decision.workers):
            key = progress.run_key(unit, position)
            self.pool.sessions[name].reserve(key, demand)
        log_unit_started(progress, unit, decision.workers)
        count = self.schedule_write(progress)
        assert self._nursery is not None
        self._nursery.start_soon(self._launch, progress, unit, count)

    async def _launch(
        self, progress: JobProgress, unit: Unit, count: int
    ) -> None:
        """Start all tasks of a unit's run, once its placement is stored."""
        members, run = unit.members, unit.run
        await self.writer.wait_stored(progress, count)
        if unit.members is not members:
            return
        unit.stored_run = run
        if unit.stopping or progress.cancelled or progress.failed:
            self._end_unlaunched_run(progress, unit, members)
            return
        async with open_nursery() as nursery:
            for position, member in enumerate(members):
                session = self.pool.sessions.get(member.worker)
                key = progress.run_key(unit, position)
                if session is None:
                    self._record_not_launched(member.worker, key)
                    continue
                nursery.start_soon(
                    partial(
                        session.launch,
                        key,
                        progress.job.declaration.payload,
                        unit.checkpoint,
                    )
                )

    def _end_unlaunched_run(
        self, progress: JobProgress, unit: Unit, members: list[Member]
    ) -> None:
        """End a run that was stopped before any of its tasks was started."""
        self.pool.release(progress, unit)
        keys = [
            (member.worker, progress.run_key(unit, position))
            for position, member in enumerate(members)
        ]
        for worker, key in keys:
            self._record_not_launched(worker, key)

    def _record_not_launched(self, worker: str, key: RunKey) -> None:
        """Record the end of a run for which no command was sent."""
        end = EndReport(0, key, ENDED_NOT_STARTED, "", NOT_LAUNCHED)
        self.record_end(worker, end)

    def stop_all(self, progress: JobProgress, reason: str) -> None:
        """Stop all runs of a job."""
        for unit in progress.all_units():
            if unit.active:
                self.stop_unit(progress, unit, reason)

    def stop_superseded(self, progress: JobProgress) -> None:
        """Stop the runs of tasks that are done by another run."""
        for unit in progress.all_units():
            if unit.superseded:
                self.stop_unit(progress, unit, "the task is done")

    def stop_unit(
        self, progress: JobProgress, unit: Unit, reason: str
    ) -> None:
        """Stop a unit's present run."""
        if not unit.stopping:
            unit.stopping = True
            log_unit_stopped(progress, unit, reason)
        self.pool.stop(progress, unit)

    def _remove_finished_jobs(self) -> None:
        for progress in self._used_jobs():
            stored = progress.stored_changes == progress.changes
            if progress.is_finished() and stored:
                log_job_ended(progress)
                job_id = progress.job_id
                self.sweeper.add_finished_job(job_id, progress.over_unix_s)
                del self.jobs[job_id]

    def schedule_write(self, progress: JobProgress) -> int:
        """Queue a job's progress for writing; return its change number.

        That of a job that is set aside is written with its next change
        afterwards; until then no end of its runs is acknowledged.
        """
        if progress.over_unix_s is None and progress.is_finished():
            progress.over_unix_s = self.context.unix_s()
        count = progress.count_change()
        if not self._is_set_aside(progress):
            self.writer.add(progress)
        self._wake.set()
        return count

    async def refresh_job(self, job_id: str) -> None:
        """Read a job's row, and merge what another process has written."""
        progress = self.jobs.get(job_id)
        if progress is None:
            read = await self.reader.read_job(job_id)
            if read is not None and not self.is_known(job_id):
                self._add_read_job(read)
            return
        row = await self.context.table.read(progress_row_key(job_id))
        if row is None or row.value is None:
            return
        if row.revision > progress.revision and job_id in self.jobs:
            self.merge_stored_row(progress, row.value, row.revision)

    def attempt_limit(self, progress: JobProgress) -> int:
        """Return after how many failures of a task its job fails."""
        terms = progress.terms or UNKNOWN_TERMS
        return terms.attempt_limit

    def run_age_s(self, unit: Unit) -> float:
        """Return the time since a unit's present run was placed."""
        return self.context.clock() - unit.started_s

    def is_lost_alone(self, worker: str, progress: JobProgress) -> bool:
        """Return whether a worker that ran a job's tasks was lost alone."""
        accepted_unix_s = progress.job.accepted_unix_s
        return self.pool.has_older_peer(worker, accepted_unix_s)

    def recent_crashes(self) -> list[WorkerCrash]:
        """Return the last crashes of each worker."""
        return self.pool.recent_crashes()

    def has_restarted(self, worker: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a worker has answered."""
        return self.pool.has_restarted(worker, incarnation)

    def now_s(self) -> float:
        """Return the present time on the local clock."""
        return self.context.clock()

    def record_outcome(
        self, worker: str, progress: JobProgress, unit: Unit, how: str
    ) -> None:
        """Learn from the outcome of a present run."""
        self.pool.record_run_outcome(worker, progress.job, how, unit.started_s)
        # A later run may resume from a checkpoint and so take less time.
        if how != ENDED_DONE or unit.run > 1:
            return
        step = progress.step_of(unit)
        ran_s = self.context.clock() - unit.started_s
        self.estimator.record_run_time(
            progress.job.queue, step.estimate_s, ran_s
        )

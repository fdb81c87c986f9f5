"""Record the ends of runs in the progress of their jobs."""

from typing import Protocol

from damaskstall.tasks.crash_evidence import WorkerCrash, is_doubtful
from damaskstall.tasks.isolation import was_isolated
from damaskstall.tasks.model import RunKey, TaskKey
from damaskstall.tasks.ports import (
    CRASH_EVIDENCE,
    MISSING,
    OUTAGE,
    REPORTED,
    UNOBSERVED,
    UNSEEN,
    EndReport,
)
from damaskstall.tasks.progress import (
    ENDED_DONE,
    ENDED_LAPSED,
    ENDED_NOT_STARTED,
    JobProgress,
    Member,
    Unit,
)
from damaskstall.tasks.run_log import (
    log_crash_counted,
    log_end_unmatched,
    log_run_ended,
)
from damaskstall.tasks.unmatched_ends import UnmatchedEnds

# A worker lists an end again until it is acknowledged. Only the first time is
# logged, unless more ends than this were logged since.
LOGGED_ENDS_LIMIT = 1000

# Evidence that the worker of a run was lost, by a crash or with others.
LOSS_EVIDENCE = CRASH_EVIDENCE | {UNOBSERVED, OUTAGE}

Jobs = dict[str, JobProgress]
# A job, one of its units and a position in the unit.
FoundTask = tuple[JobProgress, Unit, int]


def find_task(jobs: Jobs, task: TaskKey) -> FoundTask | None:
    """Return the job, the unit and the position of a task."""
    progress = jobs.get(task.job_id)
    found = progress.find(task) if progress is not None else None
    if progress is None or found is None:
        return None
    return progress, *found


def find_run(jobs: Jobs, key: RunKey) -> FoundTask | None:
    """Return the job, the unit and the position of a current run."""
    found = find_task(jobs, key.task)
    if found is None:
        return None
    _, unit, position = found
    if unit.run != key.run or position >= len(unit.members):
        return None
    return found


def find_present_run(jobs: Jobs, worker: str, key: RunKey) -> FoundTask | None:
    """Return where a run belongs if it is present on a worker."""
    found = find_run(jobs, key)
    if found is None:
        return None
    _, unit, position = found
    member = unit.members[position]
    if member.worker != worker or member.ended:
        return None
    return found


def is_unanswered(unit: Unit, member: Member) -> bool:
    """Return whether an adopted run may never have started."""
    return unit.run == unit.adopted_run and not member.settled


class JobOwner(Protocol):
    """Holder of the jobs, which acts on what an end implies."""

    def is_known(self, job_id: str) -> bool:
        """Return whether a job is in memory, or has finished."""

    async def refresh_job(self, job_id: str) -> None:
        """Read a job's row, and merge what another process has written."""

    def attempt_limit(self, progress: JobProgress) -> int:
        """Return after how many failures of a task its job fails."""

    def run_age_s(self, unit: Unit) -> float:
        """Return the time since a unit's present run was placed."""

    def is_lost_alone(self, worker: str, progress: JobProgress) -> bool:
        """Return whether a worker that ran a job's tasks was lost alone.

        If it is not certain that workers beside it went on, return False.
        """

    def recent_crashes(self) -> list[WorkerCrash]:
        """Return the last crashes of each worker, with those of its runs."""

    def now_s(self) -> float:
        """Return the present time on the local clock."""

    def has_restarted(self, worker: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a worker has answered."""

    def record_started(self, key: RunKey) -> None:
        """Record that a worker has started a run, which may not be present."""

    def record_outcome(
        self, worker: str, progress: JobProgress, unit: Unit, how: str
    ) -> None:
        """Learn from the outcome of a present run."""

    def stop_unit(
        self, progress: JobProgress, unit: Unit, reason: str
    ) -> None:
        """Stop a unit's present run."""

    def stop_all(self, progress: JobProgress, reason: str) -> None:
        """Stop all runs of a job."""

    def stop_superseded(self, progress: JobProgress) -> None:
        """Stop the runs of tasks that are done by another run."""

    def schedule_write(self, progress: JobProgress) -> int:
        """Queue a job's progress for writing; return its change number."""


class RunEnds:
    """Recorder of the ends of runs in the progress of their jobs."""

    def __init__(self, jobs: Jobs, owner: JobOwner) -> None:
        """Record for the owner of ``jobs``."""
        self.jobs = jobs
        self.owner = owner
        self.unmatched = UnmatchedEnds(owner.refresh_job, self._settle)
        self._logged: dict[tuple[str, RunKey], None] = {}

    def record(self, worker: str, end: EndReport) -> None:
        """Record that a run has ended, or has never started.

        The end of a run that may be in an unread row is kept until
        ``settle_all`` has read the row.
        """
        if end.evidence == REPORTED and self._may_be_unread(worker, end.key):
            self.unmatched.add(worker, end)
        else:
            self._settle(worker, end)

    async def settle_all(self) -> None:
        """Return once the effect of each end kept so far is recorded."""
        await self.unmatched.settle_all()

    def _settle(self, worker: str, end: EndReport) -> None:
        """Record the effect of an end on the known state of its job."""
        if end.evidence == REPORTED:
            self.owner.record_started(end.key)
        found = find_present_run(self.jobs, worker, end.key)
        if found is None:
            self._record_late_end(worker, end)
            return
        progress, unit, position = found
        member = unit.members[position]
        end = self._with_restart(worker, end, unit, member)
        if end.checkpoint:
            unit.checkpoint = end.checkpoint
        if end.how != ENDED_NOT_STARTED:
            unit.ended_s = unit.started_s + self.owner.run_age_s(unit)
        ran_s = unit.observed_s(member)
        progress.end_member(
            unit, position, end.how, self.owner.attempt_limit(progress)
        )
        log_run_ended(worker, end)
        if self._is_crash(worker, progress, end.evidence):
            doubtful = self._is_doubtful(worker, end.key.task, end.evidence)
            doubtful = doubtful or is_unanswered(unit, member)
            self._count_crash(found, end.key.run, ran_s, doubtful)
        if end.evidence in LOSS_EVIDENCE:
            self._hold(found)
        if end.evidence == REPORTED:
            self._mark_logged(worker, end.key)
        self.owner.record_outcome(worker, progress, unit, end.how)
        if end.how != ENDED_DONE and unit.active and not unit.done:
            self.owner.stop_unit(
                progress, unit, f"a task ended with outcome {end.how}"
            )
        if progress.failed:
            self.owner.stop_all(progress, "the job has failed")
        self.owner.schedule_write(progress)

    def _with_restart(
        self, worker: str, end: EndReport, unit: Unit, member: Member
    ) -> EndReport:
        """Return the end of an adopted run whose worker has started again.

        The lists of a worker that answers this holder only as its next
        incarnation lack all runs of the one before.
        """
        if end.evidence != MISSING or unit.run != unit.adopted_run:
            return end
        if not self.owner.has_restarted(worker, member.incarnation):
            return end
        return end._replace(how=ENDED_LAPSED, evidence=UNOBSERVED)

    def _is_crash(
        self, worker: str, progress: JobProgress, evidence: str
    ) -> bool:
        """Return whether a run ended because its worker crashed."""
        if evidence == UNOBSERVED:
            return self.owner.is_lost_alone(worker, progress)
        return evidence in CRASH_EVIDENCE

    def _is_doubtful(self, worker: str, task: TaskKey, evidence: str) -> bool:
        """Return whether a worker may well have crashed without a task."""
        if evidence == UNSEEN:
            return True
        others = [
            crash
            for crash in self.owner.recent_crashes()
            if not self._explains(crash, task)
        ]
        return is_doubtful(worker, others, self.owner.now_s())

    def _explains(self, crash: WorkerCrash, task: TaskKey) -> bool:
        """Return whether a task, or one isolated then, was on a worker."""
        for key in crash.runs:
            if key.task == task:
                return True
            found = find_task(self.jobs, key.task)
            if found is None:
                continue
            _, unit, position = found
            if was_isolated(unit, position, key.run):
                return True
        return False

    def record_late_crash(
        self, worker: str, key: RunKey, evidence: str
    ) -> None:
        """Record that the worker of a run that has ended had crashed."""
        found = find_task(self.jobs, key.task)
        if found is None:
            return
        progress, _, _ = found
        doubtful = self._is_doubtful(worker, key.task, evidence)
        self._count_crash(found, key.run, 0.0, doubtful)
        if progress.failed:
            self.owner.stop_all(progress, "the job has failed")
        self.owner.schedule_write(progress)

    def _count_crash(
        self, found: FoundTask, run: int, ran_s: float, doubtful: bool
    ) -> None:
        progress, unit, position = found
        if progress.record_crash(unit, position, run, ran_s, doubtful):
            log_crash_counted(progress, unit, position, run)

    def _hold(self, found: FoundTask) -> None:
        """Hold a unit back if its worker may be lost with others."""
        progress, unit, position = found
        endless = progress.step_of(unit).endless
        held_s = unit.crash_record(position).hold_s(endless)
        held_until_s = self.owner.now_s() + held_s
        unit.held_until_s = max(unit.held_until_s, held_until_s)

    def _record_late_end(self, worker: str, end: EndReport) -> None:
        """Record the end of a run that is not, or no longer, present."""
        found = find_task(self.jobs, end.key.task)
        if found is None:
            self._log_unmatched(worker, end, None)
            return
        progress, unit, _ = found
        if unit.run != end.key.run:
            self._log_unmatched(worker, end, unit.run)
        limit = self.owner.attempt_limit(progress)
        if not progress.record_late_end(unit, end.key.run, end.how, limit):
            return
        log_run_ended(worker, end)
        if progress.failed:
            self.owner.stop_all(progress, "the job has failed")
        self.owner.stop_superseded(progress)
        self.owner.schedule_write(progress)

    def _log_unmatched(
        self, worker: str, end: EndReport, present_run: int | None
    ) -> None:
        """Log the end of a run that is not present, unless it was logged."""
        if self._mark_logged(worker, end.key):
            log_end_unmatched(worker, end, present_run)

    def _mark_logged(self, worker: str, key: RunKey) -> bool:
        """Remember that an end is logged; return whether that is new."""
        if (worker, key) in self._logged:
            return False
        self._logged[worker, key] = None
        if len(self._logged) > LOGGED_ENDS_LIMIT:
            del self._logged[next(iter(self._logged))]
        return True

    def _may_be_unread(self, worker: str, key: RunKey) -> bool:
        """Return whether only the row of a job may contain a run."""
        if find_present_run(self.jobs, worker, key) is not None:
            return False
        progress = self.jobs.get(key.task.job_id)
        if progress is None:
            return not self.owner.is_known(key.task.job_id)
        found = progress.find(key.task)
        return found is not None and key.run > found[0].stored_run

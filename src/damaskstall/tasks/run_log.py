"""Log and count starts, stops and ends of units, runs and jobs."""

from typing import NamedTuple

from damaskstall.events import Field, log
from damaskstall.tasks.claims import ClaimLoss
from damaskstall.tasks.events import (
    CLAIM_LOST,
    CRASH_COUNTED,
    END_UNMATCHED,
    RUN_ENDED,
    RUN_FOUND,
    RUN_LAUNCHED,
    RUN_OVERDUE,
    START_OPEN,
    TASK_JOB_ENDED,
    TASK_WORKER_GONE,
    UNIT_STARTED,
    UNIT_STOPPED,
)
from damaskstall.tasks.metrics import (
    ENDS_UNMATCHED,
    NO_LABELS,
    RUNS_ENDED,
    UNITS_STARTED,
    WORKERS_LOST,
)
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.ports import EndReport
from damaskstall.tasks.progress import JobProgress, Member, Unit
from damaskstall.tasks.run_obstacles import RunObstacle

# Maximum number of runs that the log names for one lost worker.
LISTED_RUNS_LIMIT = 16


def log_unit_started(
    progress: JobProgress, unit: Unit, workers: list[str]
) -> None:
    """Log and count the start of a unit's next run on its workers."""
    UNITS_STARTED.inc(NO_LABELS)
    log(
        UNIT_STARTED,
        job=progress.job_id,
        step=unit.step,
        index=unit.first_index,
        run=unit.run,
        workers=",".join(workers),
    )


def log_unit_stopped(progress: JobProgress, unit: Unit, reason: str) -> None:
    """Log that a unit's run is being stopped, with its progress."""
    log(
        UNIT_STOPPED,
        job=progress.job_id,
        step=unit.step,
        index=unit.first_index,
        run=unit.run,
        percent=unit.percent,
        reason=reason,
    )


def log_claim_lost(loss: ClaimLoss) -> None:
    """Log that a worker claimed for a unit was given up, and why."""
    log(
        CLAIM_LOST,
        job=loss.progress.job_id,
        step=loss.unit.step,
        index=loss.unit.first_index,
        worker=loss.worker,
        reason=loss.reason,
    )


def run_fields(key: RunKey) -> dict[str, Field]:
    """Return the log fields that identify a run."""
    return {
        "job": key.task.job_id,
        "step": key.task.step,
        "index": key.task.task_index,
        "run": key.run,
    }


def log_run_ended(worker: str, end: EndReport) -> None:
    """Log and count the end of one task's run."""
    RUNS_ENDED.inc({"how": end.how, "evidence": end.evidence})
    log(
        RUN_ENDED,
        **run_fields(end.key),
        worker=worker,
        how=end.how,
        evidence=end.evidence,
    )


def log_end_unmatched(
    worker: str, end: EndReport, present_run: int | None
) -> None:
    """Log the end of a run that is not present in its task.

    ``present_run`` is None if the job is unknown.
    """
    ENDS_UNMATCHED.inc({"how": end.how})
    log(
        END_UNMATCHED,
        **run_fields(end.key),
        worker=worker,
        how=end.how,
        evidence=end.evidence,
        present_run=present_run,
    )


class LaunchRecord(NamedTuple):
    """The start commands of one run to one incarnation of its worker.

    ``attempts`` counts those that were sent, ``unanswered`` those of them
    without an answer. The incarnation is the one known when the first was
    sent, ``took_s`` the time from then on.
    """

    outcome: str
    attempts: int
    unanswered: int
    incarnation: int
    token: int
    took_s: float


def log_run_launched(worker: str, key: RunKey, record: LaunchRecord) -> None:
    """Log the outcome of a run's start command and of its repeats."""
    log(RUN_LAUNCHED, **run_fields(key), worker=worker, **record._asdict())


def log_run_found(
    worker: str, key: RunKey, incarnation: int, token: int
) -> None:
    """Log that a run is listed of which a start command had no answer."""
    log(
        RUN_FOUND,
        **run_fields(key),
        worker=worker,
        incarnation=incarnation,
        token=token,
    )


def log_start_open(worker: str, key: RunKey, left_s: float) -> None:
    """Log that a start of an ended run is open for the time that is left."""
    log(START_OPEN, **run_fields(key), worker=worker, left_s=round(left_s, 3))


def log_worker_lost(worker: str, runs: list[RunKey], evidence: str) -> None:
    """Log and count a worker that has ended, with the runs it had."""
    WORKERS_LOST.inc({"evidence": evidence})
    log(
        TASK_WORKER_GONE,
        worker=worker,
        evidence=evidence,
        runs=len(runs),
        tasks=",".join(run_name(key) for key in runs[:LISTED_RUNS_LIMIT]),
    )


def log_crash_counted(
    progress: JobProgress, unit: Unit, position: int, run: int
) -> None:
    """Log that a worker crashed under a run of the task at a position."""
    record = unit.crash_record(position)
    log(
        CRASH_COUNTED,
        job=progress.job_id,
        step=unit.step,
        index=unit.first_index + position,
        run=run,
        crashes=len(record.crashed),
        doubtful=len(record.doubtful),
        given_up=progress.failed,
    )


def run_name(key: RunKey) -> str:
    """Return the short name of a run: JOB.OCCURRENCE.STEP.INDEX#RUN."""
    task = key.task
    name = f"{task.job_id}.{task.occurrence}.{task.step}.{task.task_index}"
    return f"{name}#{key.run}"


def log_run_overdue(
    key: RunKey, member: Member, silent_s: float, obstacle: RunObstacle
) -> None:
    """Log that nothing was heard of a run for ``silent_s``."""
    left_s = obstacle.left_s
    log(
        RUN_OVERDUE,
        **run_fields(key),
        worker=member.worker,
        silent_s=round(silent_s, 1),
        confirmed=member.confirmed,
        waits_for=obstacle.waits_for,
        left_s=None if left_s is None else round(left_s, 1),
    )


def log_job_ended(progress: JobProgress) -> None:
    """Log that a job has reached its final state."""
    log(
        TASK_JOB_ENDED,
        job=progress.job_id,
        queue=progress.job.queue,
        state=progress.state(),
    )

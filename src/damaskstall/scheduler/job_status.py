"""Compute the next status of a job, without writing it."""

from damaskstall.resources.records import (
    JOB_CANCELLED,
    JOB_FAILED,
    JOB_PLACED,
    JOB_QUEUED,
    JOB_RUNNING,
    JOB_SUCCEEDED,
    JobSpec,
    JobStatus,
)
from damaskstall.scheduler.attempt import (
    CANCELLED,
    FAILED,
    LOST,
    NOT_STARTED,
    SUCCEEDED,
    Attempt,
    Outcome,
)
from damaskstall.scheduler.job_crashes import (
    WorkerLosses,
    find_given_up,
    with_losses,
)

DIFFERENT_WORKERS_LIMIT = 3
# A job gets whole workers after this number of crashes under one of its tasks,
# so that the next ones have only one explanation.
ISOLATION_CRASHES = 2
PLACED_STATES = frozenset({JOB_PLACED, JOB_RUNNING})


def is_attempt(status: JobStatus, number: int, cell: str) -> bool:
    """Return whether a status still shows an attempt of a cell."""
    if status["state"] not in PLACED_STATES:
        return False
    return status["attempt"] == number and status["cell"] == cell


def may_place(status: JobStatus, number: int) -> bool:
    """Return whether a status allows placing an attempt of this number."""
    if status["state"] != JOB_QUEUED or status["cancel_requested"]:
        return False
    return status["attempt"] == number - 1


def placed_status(
    status: JobStatus,
    attempt: Attempt,
    cell: str,
    epoch: int,
    guaranteed: bool,
) -> JobStatus:
    """Return the status of a job that is placed on a block."""
    return JobStatus(
        **{
            **status,
            "state": JOB_PLACED,
            "reason": "",
            "attempt": attempt.number,
            "cell": cell,
            "epoch": epoch,
            "tasks": list(attempt.workers),
            "block": list(attempt.block),
            "guaranteed": guaranteed,
        }
    )


def running_status(status: JobStatus, now_unix_s: float) -> JobStatus:
    """Return the status of a job that is about to run."""
    started_s = status["started_unix_s"] or now_unix_s
    return JobStatus(
        **{**status, "state": JOB_RUNNING, "started_unix_s": started_s}
    )


def final_status(
    status: JobStatus,
    spec: JobSpec,
    outcome: Outcome,
    never_ran: bool,
    losses: WorkerLosses,
    checkpoint: str,
    result: str,
    now_unix_s: float,
) -> JobStatus:
    """Return the status of a job whose attempt has ended.

    The job is queued again unless it has ended or may not be retried.
    """
    failed_workers = list(status["failed_workers"])
    if outcome.kind == FAILED:
        failed_workers.append(outcome.worker)
    changed = JobStatus(**{**status, "failed_workers": failed_workers})
    changed = with_losses(changed, status["attempt"], losses)
    if outcome.kind == SUCCEEDED:
        done = ended_status(changed, JOB_SUCCEEDED, "", now_unix_s)
        return JobStatus(**{**done, "result": result})
    if outcome.kind == CANCELLED or status["cancel_requested"]:
        reason = "The job was cancelled on request."
        return ended_status(changed, JOB_CANCELLED, reason, now_unix_s)
    problem = no_retry_reason(changed, spec, outcome, never_ran)
    if problem:
        return ended_status(changed, JOB_FAILED, problem, now_unix_s)
    return requeued_status(changed, outcome.reason, checkpoint)


def no_retry_reason(
    status: JobStatus, spec: JobSpec, outcome: Outcome, never_ran: bool
) -> str:
    """Return why no further attempt may be made, or an empty string."""
    if outcome.kind == FAILED:
        return no_retry_reason_after_failure(status, spec, outcome)
    task = find_given_up(status)
    if task is not None:
        return (
            f"{outcome.reason} Workers crashed repeatedly under task {task}."
        )
    if spec["restartable"] or never_ran:
        return ""
    if outcome.kind in (LOST, NOT_STARTED):
        return (
            f"{outcome.reason} The job's outcome is unknown, "
            "and it is not restartable."
        )
    return (
        f"{outcome.reason} The job was stopped before its end, "
        "and it is not restartable."
    )


def no_retry_reason_after_failure(
    status: JobStatus, spec: JobSpec, outcome: Outcome
) -> str:
    """Return why a failed job is not retried, or an empty string."""
    failed = status["failed_workers"]
    if not spec["restartable"]:
        return outcome.reason
    different = len(set(failed))
    if different >= DIFFERENT_WORKERS_LIMIT:
        return f"{outcome.reason} The job failed on {different} workers."
    if len(failed) >= max(1, spec["max_attempts"]):
        return f"{outcome.reason} The job failed {len(failed)} times."
    return ""


def requeued_status(
    status: JobStatus, reason: str, checkpoint: str
) -> JobStatus:
    """Return the status of a job that is queued again."""
    return JobStatus(
        **{
            **status,
            "state": JOB_QUEUED,
            "reason": reason,
            "cell": "",
            "epoch": 0,
            "tasks": [],
            "block": [],
            "guaranteed": False,
            "checkpoint": checkpoint or status["checkpoint"],
        }
    )


def ended_status(
    status: JobStatus, state: str, reason: str, now_unix_s: float
) -> JobStatus:
    """Return the status of a job that has ended."""
    return JobStatus(
        **{
            **status,
            "state": state,
            "reason": reason,
            "ended_unix_s": now_unix_s,
        }
    )

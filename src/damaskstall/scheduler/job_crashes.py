"""Keep the crashes of workers under each task of a job in its status."""

from typing import NamedTuple

from damaskstall.crash_record import CrashRecord
from damaskstall.resources.records import JobStatus, TaskCrashes


class WorkerLosses(NamedTuple):
    """The tasks of an attempt that may have run, and whose worker crashed."""

    tasks: int
    started: frozenset[int]
    crashed: frozenset[int]


def crash_records(status: JobStatus, tasks: int) -> list[CrashRecord]:
    """Return the crash record of each task.

    Processes of earlier versions only count the attempts under which a worker
    crashed. Such a crash counts against each task, as a doubtful one.
    """
    count = status.get("crashes", 0)
    stored = status.get("task_crashes", [])
    if count == max((len(each["crashed"]) for each in stored), default=0):
        return [CrashRecord(**each) for each in stored] or [
            CrashRecord() for _ in range(tasks)
        ]
    earlier = range(-count, 0)
    doubtful = earlier if tasks > 1 else ()
    return [CrashRecord(earlier, doubtful) for _ in range(tasks)]


def with_losses(
    status: JobStatus, attempt: int, losses: WorkerLosses
) -> JobStatus:
    """Return the status with the losses of an attempt that has ended."""
    if not losses.crashed and "crashes" not in status:
        return status
    records = crash_records(status, losses.tasks)
    for task in losses.started:
        if task in losses.crashed:
            records[task].record_crash(attempt, 0.0, doubtful=False)
        else:
            records[task].record_harmless(attempt)
    return JobStatus(
        **{
            **status,
            "crashes": max(len(record.crashed) for record in records),
            "task_crashes": [encode_record(record) for record in records],
        }
    )


def encode_record(record: CrashRecord) -> TaskCrashes:
    """Return a task's record as a part of the status."""
    return TaskCrashes(
        crashed=sorted(record.crashed),
        doubtful=sorted(record.doubtful),
        harmless=sorted(record.harmless),
    )


def find_given_up(status: JobStatus) -> int | None:
    """Return the first task that is not to be started again, if any."""
    for task, record in enumerate(crash_records(status, 0)):
        if record.is_given_up():
            return task
    return None

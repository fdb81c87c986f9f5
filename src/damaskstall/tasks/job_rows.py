"""Encode jobs and their progress as rows of the table, and decode them.

A job has two rows in the same part of their tables, written in one
transaction when the job is accepted: its declaration, which never changes,
and its progress. A cancellation adds a third, small row to a table of its own,
which the holder watches.

The cancellation of an ID without a job puts a withdrawal in the place of the
declaration. A submission whose write is still on its way then meets a row
where it expects none, however late it is performed.
"""

from typing import Any
from zlib import crc32

from damaskstall.errors import ValidationError
from damaskstall.platform.types import Value
from damaskstall.tasks.crash_rows import (
    decode_crash_records,
    encode_crash_records,
    encode_unit_crashes,
)
from damaskstall.tasks.earlier_starts import OpenStart
from damaskstall.tasks.job_validation import number_problems
from damaskstall.tasks.model import (
    CANCELLED,
    COMPLETED,
    FAILED,
    QUEUED,
    AcceptedJob,
    Demand,
    JobDeclaration,
    JobTerms,
    Schedule,
    Step,
)
from damaskstall.tasks.progress import (
    JobProgress,
    Member,
    Unit,
    is_reported,
)
from damaskstall.tasks.worker_lease import LATE_COMMAND_LIMIT_S

JOB_TABLE = "job"
PROGRESS_TABLE = "progress"
CANCEL_TABLE = "cancel"
# Position of a part of a stored step.
BEGUN_UNITS = 7
# Number of parts (partitions) of each table. A part commits one transaction
# after another, 5 ms each: eight parts commit 1,600 a second, twice what the
# whole store accepts.
PART_COUNT = 8


def part_of(job_id: str) -> str:
    """Return the name of the part that contains a job's rows."""
    return f"{crc32(job_id.encode()) % PART_COUNT:02d}"


def all_parts() -> list[str]:
    """Return the names of all parts."""
    return [f"{number:02d}" for number in range(PART_COUNT)]


def part_prefix(table: str, part: str) -> str:
    """Return the common prefix of the keys of one part of a table."""
    return f"{table}@{part}/"


def job_row_key(job_id: str) -> str:
    """Return the key of the row with a job's declaration."""
    return part_prefix(JOB_TABLE, part_of(job_id)) + job_id


def progress_row_key(job_id: str) -> str:
    """Return the key of the row with a job's progress."""
    return part_prefix(PROGRESS_TABLE, part_of(job_id)) + job_id


def cancel_row_key(job_id: str) -> str:
    """Return the key of the row that marks a job as cancelled."""
    return part_prefix(CANCEL_TABLE, part_of(job_id)) + job_id


def job_id_of(key: str) -> str:
    """Return the job ID in a row's key."""
    return key.rpartition("/")[2]


def encode_job(job: AcceptedJob) -> Value:
    """Return the value of the row with a job's declaration."""
    value: Value = {
        "queue": job.queue,
        "service": job.service,
        "team": job.team,
        "accepted_unix_s": job.accepted_unix_s,
        "payload": job.declaration.payload,
        "steps": [encode_step(step) for step in job.declaration.steps],
    }
    if job.declaration.schedule is not None:
        value["schedule"] = list(job.declaration.schedule)
    if job.terms is not None:
        value["terms"] = list(job.terms)
    return value


def encode_withdrawal(now_unix_s: float) -> Value:
    """Return the row of an ID that was cancelled before it had a job."""
    return {"withdrawn_unix_s": now_unix_s}


def withdrawn_unix_s(value: Value | None) -> float | None:
    """Return when the ID of a job's row was withdrawn, None if it was not."""
    if value is None or "withdrawn_unix_s" not in value:
        return None
    return float(value["withdrawn_unix_s"])


def encode_step(step: Step) -> Value:
    """Return a step as JSON, without the fields that have their default."""
    value = step._asdict()
    value["demand"] = list(step.demand)
    value["after"] = list(step.after)
    defaults = Step._field_defaults
    return {
        name: field
        for name, field in value.items()
        if name not in defaults or field not in (defaults[name], [])
    }


def decode_job(job_id: str, value: Value) -> AcceptedJob:
    """Return the job that a row describes; raise ValidationError."""
    steps = tuple(decode_step(step) for step in value["steps"])
    schedule = Schedule(*value["schedule"]) if "schedule" in value else None
    declaration = JobDeclaration(value["payload"], steps, schedule)
    # Earlier versions accepted numbers that cannot be scheduled.
    problems = number_problems(declaration)
    if problems:
        raise ValidationError(tuple(problems))
    return AcceptedJob(
        job_id,
        value["queue"],
        value["service"],
        value["team"],
        value["accepted_unix_s"],
        declaration,
        decode_terms(value),
    )


def decode_terms(value: Value) -> JobTerms | None:
    """Return the terms in a row of a job, None if it has none."""
    if "terms" not in value:
        return None
    priority, attempt_limit, stretch, objective_s = value["terms"]
    return JobTerms(
        int(priority), int(attempt_limit), float(stretch), float(objective_s)
    )


def decode_step(value: Value) -> Step:
    """Return the step that a value describes."""
    fields = dict(value)
    fields["demand"] = Demand(*fields["demand"])
    fields["after"] = tuple(fields.get("after", ()))
    return Step(**fields)


def new_progress_value(queue: str) -> Value:
    """Return the progress value of a job of which no task has run."""
    return {"state": QUEUED, "queue": queue, "steps": []}


def mark_cancelled(value: Value) -> Value:
    """Return a progress value marked as cancelled.

    The value of a job that has completed or failed is returned unchanged.
    """
    if value["state"] in (COMPLETED, FAILED):
        return value
    return {**value, "state": CANCELLED, "cancelled": True}


def encode_progress(progress: JobProgress) -> Value:
    """Return the value of a job's progress row."""
    value: Value = {
        "state": progress.state(),
        "queue": progress.job.queue,
        "steps": [encode_units(units) for units in progress.units],
    }
    if progress.cancelled:
        value["cancelled"] = True
    if progress.failed:
        value["failed"] = True
    if progress.over_unix_s is not None:
        value["over_unix_s"] = progress.over_unix_s
    if progress.terms is not None and progress.terms != progress.job.terms:
        value["terms"] = list(progress.terms)
    return value


def encode_units(units: list[Unit]) -> list[Any]:
    """Return the units of one step as a bit set and their further state.

    The hexadecimal bit set marks the units that are done. The mapping after it
    has an entry by index for each unit with a run, unless it is done and no
    run may exist, and the next one a bit set of the settled members of each
    unit that has any. Two more have the crashes under each unfinished unit for
    older versions (see crash_rows.py), and a fifth the starts of its earlier
    runs that may still be carried out. Then come the crash records by task,
    and a bit set of the units that have begun. Rows of older versions lack the
    last ones.
    """
    done = sum(1 << number for number, unit in enumerate(units) if unit.done)
    unfinished = {
        str(number): encode_unit(unit)
        for number, unit in enumerate(units)
        if unit.active or (unit.run and not unit.done)
    }
    settled = {
        str(number): f"{settled_members(unit):x}"
        for number, unit in enumerate(units)
        if settled_members(unit)
    }
    begun = sum(
        1 << number for number, unit in enumerate(units) if unit.has_begun
    )
    crashed, doubtful = encode_unit_crashes(units)
    open_starts = {
        str(number): [list(start) for start in unit.earlier_starts.listed()]
        for number, unit in enumerate(units)
        if unit.earlier_starts.listed() and not unit.done
    }
    return [
        f"{done:x}",
        unfinished,
        settled,
        crashed,
        doubtful,
        open_starts,
        encode_crash_records(units),
        f"{begun:x}",
    ]


def settled_members(unit: Unit) -> int:
    """Return a bit set of the members whose starts were all answered."""
    return sum(
        1 << position
        for position, member in enumerate(unit.members)
        if member.settled
    )


def encode_unit(unit: Unit) -> list[Any]:
    """Return the state that the next holder needs to continue a unit."""
    members = [
        [member.worker, member.incarnation, member.ended]
        for member in unit.members
    ]
    return [
        unit.run,
        unit.failures,
        unit.failed_run,
        unit.checkpoint,
        sorted(unit.avoid),
        members,
    ]


def restore_progress(
    progress: JobProgress, value: Value, now_s: float
) -> None:
    """Set the state of a job and its units to that of a progress value."""
    progress.cancelled = bool(value.get("cancelled"))
    progress.failed = bool(value.get("failed"))
    progress.terms = decode_terms(value) or progress.job.terms
    for units, stored in zip(progress.units, value["steps"], strict=False):
        restore_units(units, stored, now_s)
        open_starts = stored[5] if len(stored) > 5 else {}
        for number, starts in open_starts.items():
            for position, worker, run in starts:
                units[int(number)].earlier_starts.add(
                    OpenStart(int(position), str(worker), int(run)),
                    now_s + LATE_COMMAND_LIMIT_S,
                )
        restore_crashes(progress, units, stored, now_s)
        restore_begun(units, stored)


def restore_crashes(
    progress: JobProgress, units: list[Unit], stored: list[Any], now_s: float
) -> None:
    """Set the crash records of one step's tasks to their stored state."""
    size = progress.step_of(units[0]).unit_size
    for found in decode_crash_records(units, size, stored):
        number, position, record = found
        unit = units[number]
        progress.add_crashes(unit, position, record)
        # Which workers have crashed lately is not known.
        held_until_s = now_s + record.hold_s(endless=False)
        unit.held_until_s = max(unit.held_until_s, held_until_s)


def restore_begun(units: list[Unit], stored: list[Any]) -> None:
    """Set which units of one step have begun, once the rest is restored.

    The row of an older version does not tell. There, only those have certainly
    begun of which the row has a trace of a run.
    """
    if len(stored) > BEGUN_UNITS:
        begun = int(stored[BEGUN_UNITS], 16)
        for number, unit in enumerate(units):
            unit.has_begun = bool(begun >> number & 1)
        return
    for unit in units:
        unit.has_begun = has_trace_of_run(unit)


def has_trace_of_run(unit: Unit) -> bool:
    """Return whether a restored unit shows that a task of it has started."""
    if unit.done or unit.failures or unit.checkpoint:
        return True
    return any(
        member.settled or is_reported(member.ended) for member in unit.members
    )


def restore_units(units: list[Unit], stored: list[Any], now_s: float) -> None:
    """Set the units of one step to their stored state."""
    done, unfinished = int(stored[0], 16), stored[1]
    settled = stored[2] if len(stored) > 2 else {}
    for number, unit in enumerate(units):
        unit.done = bool(done >> number & 1)
        fields = unfinished.get(str(number))
        if fields is not None:
            restore_unit(unit, fields, now_s)
        bits = int(settled.get(str(number), "0"), 16)
        for position, member in enumerate(unit.members):
            member.settled = bool(bits >> position & 1)


def restore_unit(unit: Unit, fields: list[Any], now_s: float) -> None:
    """Set one unit to its stored state."""
    run, failures, failed_run, checkpoint, avoid, members = fields
    unit.run = run
    unit.stored_run = run
    unit.adopted_run = run
    unit.failures = failures
    unit.failed_run = failed_run
    unit.checkpoint = checkpoint
    unit.avoid = set(avoid)
    unit.members = []
    unit.started_s = now_s
    unit.ended_s = now_s
    for worker, incarnation, ended in members:
        member = Member(worker, incarnation)
        member.ended = ended
        unit.members.append(member)

"""Validate submitted jobs before they are accepted."""

from collections.abc import Iterator
from typing import NamedTuple

from damaskstall.bounds import range_problem, shown
from damaskstall.errors import (
    FieldProblem,
    UnsupportedJobError,
    ValidationError,
)
from damaskstall.tasks.model import JobDeclaration, Queue, Schedule, Step

# A job's progress row has one entry per task; 2,000 entries stay below the
# 64 KiB limit of a row in the platform's table.
TASK_LIMIT = 2000
STEP_LIMIT = 64
PAYLOAD_LIMIT_BYTES = 4000
# Larger than any worker or wait, and small enough that no sum or product of
# such numbers overflows.
AMOUNT_LIMIT = 10**9
ESTIMATE_LIMIT_S = 10.0**9
# The last second of the year 9999.
UNIX_LIMIT_S = 253_402_300_799.0
LABEL_LIMIT = 200
JOB_ID_LENGTH = 16
JOB_ID_DIGITS = frozenset("0123456789abcdef")


def is_job_id(text: str) -> bool:
    """Return whether a text has the format of a job ID."""
    return len(text) == JOB_ID_LENGTH and JOB_ID_DIGITS.issuperset(text)


def check_declaration(declaration: JobDeclaration) -> None:
    """Raise ValidationError with all problems of a job declaration."""
    problems = payload_problems(declaration.payload)
    if not 0 < len(declaration.steps) <= STEP_LIMIT:
        problems.append(
            FieldProblem(
                "steps",
                f"A job must have 1 to {STEP_LIMIT} steps, "
                f"not {len(declaration.steps)}.",
            )
        )
    for number, step in enumerate(declaration.steps):
        problems += step_problems(number, step)
    problems += number_problems(declaration)
    tasks = sum(step.task_count for step in declaration.steps)
    tasks *= declaration.occurrences
    if tasks > TASK_LIMIT:
        problems.append(
            FieldProblem(
                "steps",
                f"A job may have at most {TASK_LIMIT} tasks, "
                f"not {shown(tasks)}.",
            )
        )
    if problems:
        raise ValidationError(tuple(problems))


def check_supported(queue: Queue) -> None:
    """Raise UnsupportedJobError if the jobs of a queue cannot be run."""
    if queue.needs_ticket:
        raise UnsupportedJobError(
            f"The queue {queue.name} needs tickets, which are not supported."
        )


def payload_problems(payload: str) -> list[FieldProblem]:
    """Return the problems of the payload that is passed to the tasks."""
    size_bytes = len(payload.encode("utf-8", "surrogatepass"))
    if size_bytes <= PAYLOAD_LIMIT_BYTES:
        return []
    message = (
        f"The payload has {size_bytes} bytes; "
        f"at most {PAYLOAD_LIMIT_BYTES} are allowed."
    )
    return [FieldProblem("payload", message)]


def step_problems(number: int, step: Step) -> list[FieldProblem]:
    """Return the problems of one step."""
    path = f"steps[{number}]"
    problems = []
    if step.task_count < 1:
        problems.append(
            FieldProblem(
                f"{path}.task_count",
                "A step must have at least 1 task, "
                f"not {shown(step.task_count)}.",
            )
        )
    for name in ("data_rack", "required_label"):
        label = getattr(step, name)
        if len(label) > LABEL_LIMIT:
            problems.append(
                FieldProblem(
                    f"{path}.{name}",
                    f"The value has {len(label)} characters; "
                    f"at most {LABEL_LIMIT} are allowed.",
                )
            )
    if len(step.after) > STEP_LIMIT:
        problems.append(
            FieldProblem(
                f"{path}.after",
                f"A step may follow at most {STEP_LIMIT} others, "
                f"not {len(step.after)}.",
            )
        )
        return problems
    for earlier in step.after:
        if not 0 <= earlier < number:
            problems.append(
                FieldProblem(
                    f"{path}.after",
                    f"Step {shown(earlier)} does not precede step {number}.",
                )
            )
    return problems


class BoundedNumber(NamedTuple):
    """A number of a declaration with its path and its range."""

    path: str
    value: float
    low: float
    high: float


def number_problems(declaration: JobDeclaration) -> list[FieldProblem]:
    """Return the problems of all numbers that are out of their range."""
    found = []
    for number in bounded_numbers(declaration):
        problem = range_problem(number.value, number.low, number.high)
        if problem:
            found.append(FieldProblem(number.path, problem))
    return found


def bounded_numbers(declaration: JobDeclaration) -> Iterator[BoundedNumber]:
    """Yield the numbers of a declaration other than counts of tasks."""
    for number, step in enumerate(declaration.steps):
        path = f"steps[{number}]"
        amounts = {
            **step.demand._asdict(),
            "per_worker_limit": step.per_worker_limit,
            "absent_limit": step.absent_limit,
        }
        for name, amount in amounts.items():
            yield BoundedNumber(f"{path}.{name}", amount, 0, AMOUNT_LIMIT)
        yield BoundedNumber(
            f"{path}.estimate_s", step.estimate_s, 0, ESTIMATE_LIMIT_S
        )
    if declaration.schedule is not None:
        yield from schedule_numbers(declaration.schedule)


def schedule_numbers(schedule: Schedule) -> Iterator[BoundedNumber]:
    """Yield the times of a schedule."""
    for name in ("first_unix_s", "interval_s"):
        value = getattr(schedule, name)
        yield BoundedNumber(f"schedule.{name}", value, 0, UNIX_LIMIT_S)

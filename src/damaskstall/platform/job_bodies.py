"""Decode the bodies of clients' requests for jobs, and encode answers."""

from typing import Any

from damaskstall.bounds import shown
from damaskstall.errors import (
    DECODE_ERRORS,
    FieldProblem,
    UnsupportedJobError,
    ValidationError,
)
from damaskstall.http.messages import parse_json
from damaskstall.tasks.model import Demand, JobDeclaration, Schedule, Step

DEADLINE_HEADER = "damaskstall-deadline-milliseconds"
# Longer texts of digits state no useful deadline.
DEADLINE_DIGITS = 12
MILLISECONDS_PER_S = 1000
UNSUPPORTED_STEP_FIELDS = ("fills",)


class JobBodyCodec:
    """Implementation of ``JobCodec`` for the platform's bodies."""

    def deadline_s(self, headers: dict[str, str]) -> float | None:
        """Return the client's deadline in seconds, or None without one."""
        text = headers.get(DEADLINE_HEADER, "")
        if not text.isdecimal() or len(text) > DEADLINE_DIGITS:
            return None
        return int(text) / MILLISECONDS_PER_S

    def declaration(self, body: bytes) -> JobDeclaration:
        """Return the job declared in a body; raise ValidationError."""
        try:
            value = parse_json(body)
            return JobDeclaration(
                read(value, "specification", str),
                tuple(decode_step(step) for step in value["steps"]),
                decode_schedule(value),
            )
        except DECODE_ERRORS as error:
            problem = FieldProblem("body", f"The body is not a job: {error}")
            raise ValidationError((problem,)) from error

    def state(self, state: str) -> object:
        """Return the answer body with a job's state."""
        return {"state": state}

    def waiting(self, count: int) -> object:
        """Return the answer body with the number of waiting jobs."""
        return {"waiting": count}


def decode_schedule(value: Any) -> Schedule | None:
    """Return a job's schedule, or None for a job that runs once, at once."""
    occurrences = read(value, "repetitions", int)
    if occurrences < 1:
        return None
    return Schedule(
        occurrences,
        read_s(value, "first_run_ms"),
        read_s(value, "interval_ms"),
    )


def decode_step(value: Any) -> Step:
    """Return the step that a JSON value describes."""
    refuse_unsupported(value, UNSUPPORTED_STEP_FIELDS)
    return Step(
        task_count=read(value, "count", int),
        demand=Demand(
            read(value, "cpu", int),
            read(value, "task_memory_mb", int),
            read(value, "gpus", int),
        ),
        estimate_s=read_s(value, "estimate_ms"),
        after=decode_after(value.get("after", ())),
        gang=read(value, "gang", bool),
        one_rack=read(value, "same_rack", bool),
        checkpoints=read(value, "checkpointing", bool),
        data_rack=read(value, "affinity", str),
        required_label=read(value, "requirements", str),
        per_worker_limit=read(value, "anti_affinity", int),
        may_copy=read(value, "speculative", bool),
        endless=read(value, "long_running", bool),
        absent_limit=read(value, "may_miss", int),
    )


def read(value: Any, name: str, kind: type) -> Any:
    """Return a field of a type, or the type's empty value if it is missing.

    Raises TypeError for a field of another type.
    """
    field = value.get(name, kind())
    if type(field) is not kind:
        raise TypeError(f"the field {name} cannot be {shown(field)}")
    return field


def decode_after(value: Any) -> tuple[int, ...]:
    """Return the numbers of the earlier steps that a step waits for."""
    numbers = tuple(value)
    for number in numbers:
        if type(number) is not int:
            raise TypeError(f"the field after cannot have {shown(number)}")
    return numbers


def read_s(value: Any, name: str) -> float:
    """Return a field in milliseconds as seconds.

    Raises ValueError for a number that no time in seconds can represent.
    """
    milliseconds = read(value, name, int)
    try:
        return float(milliseconds / MILLISECONDS_PER_S)
    except OverflowError as error:
        raise ValueError(
            f"the field {name} is out of range: {shown(milliseconds)}"
        ) from error


def refuse_unsupported(value: Any, names: tuple[str, ...]) -> None:
    """Raise UnsupportedJobError if a step sets one of the fields."""
    if not isinstance(value, dict):
        raise TypeError(f"a step must be an object, not {shown(value)}")
    for name in names:
        if value.get(name):
            raise UnsupportedJobError(
                f"The field {name} of a step is not supported."
            )

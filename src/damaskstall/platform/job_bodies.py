"""Decode the bodies of clients' requests for jobs, and encode answers."""

from typing import Any

from damaskstall.errors import (
    DECODE_ERRORS,
    FieldProblem,
    UnsupportedJobError,
    ValidationError,
)
from damaskstall.http.messages import parse_json
from damaskstall.tasks.model import Demand, JobDeclaration, Schedule, Step

DEADLINE_HEADER = "damaskstall-deadline-milliseconds"
MILLISECONDS_PER_S = 1000
UNSUPPORTED_STEP_FIELDS = ("fills",)


class JobBodyCodec:
    """Implementation of ``JobCodec`` for the platform's bodies."""

    def deadline_s(self, headers: dict[str, str]) -> float | None:
        """Return the client's deadline in seconds, or None without one."""
        text = headers.get(DEADLINE_HEADER, "")
        if not text.isdecimal():
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
        read(value, "first_run_ms", int) / MILLISECONDS_PER_S,
        read(value, "interval_ms", int) / MILLISECONDS_PER_S,
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
        estimate_s=read(value, "estimate_ms", int) / MILLISECONDS_PER_S,
        after=tuple(int(number) for number in value.get("after", ())),
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
        raise TypeError(f"the field {name} cannot be {field!r}")
    return field


def refuse_unsupported(value: Any, names: tuple[str, ...]) -> None:
    """Raise UnsupportedJobError if a step sets one of the fields."""
    if not isinstance(value, dict):
        raise TypeError(f"a step must be an object, not {value!r}")
    for name in names:
        if value.get(name):
            raise UnsupportedJobError(
                f"The field {name} of a step is not supported."
            )

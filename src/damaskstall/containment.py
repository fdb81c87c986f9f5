"""Contain an unexpected error to the piece of work that met it.

Such work serves one connection, worker, job, peer or row, and the others go
on without it. Each contained error is a fault of this program, so it is logged
with its place and counted, and tests fail on it unless they expect it.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from traceback import extract_tb

from damaskstall.events import WORK_FAILED, log
from damaskstall.metrics import Counter

FAILURES = Counter(
    "damaskstall_work_failures",
    "Pieces of work that an unexpected error ended, by kind.",
)


@contextmanager
def contained(work: str, key: str) -> Iterator[None]:
    """End a piece of work at an unexpected error, which is recorded.

    ``work`` is one of a few kinds, and ``key`` tells which piece it was.
    """
    try:
        yield
    except Exception as error:
        record_failure(work, key, error)


def record_failure(work: str, key: str, error: Exception) -> None:
    """Log and count an unexpected error that ended a piece of work."""
    FAILURES.inc({"work": work})
    cause = first_cause(error)
    log(
        WORK_FAILED,
        work=work,
        key=key,
        error=repr(cause),
        place=place_of(cause),
    )


def first_cause(error: BaseException) -> BaseException:
    """Return the first error in a group, or the error itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def place_of(error: BaseException) -> str:
    """Return the file, line and function in which an error was raised."""
    frames = extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{Path(frame.filename).name}:{frame.lineno} {frame.name}"

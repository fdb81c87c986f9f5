"""Encode the crash records of a step's tasks, and decode them.

Tasks with equal records share an entry, since a loss of power leaves the same
in all of them. Older versions have one record for each unit: a gang's is that
of all of its tasks.
"""

from collections.abc import Iterator
from itertools import groupby
from math import ceil
from typing import Any, NamedTuple

from damaskstall.crash_record import (
    OUTLIVED_FACTOR,
    OUTLIVED_S,
    CrashRecord,
)
from damaskstall.tasks.progress import Unit

# Position of the parts of a stored step.
UNIT_CRASHES = 3
UNIT_DOUBTS = 4
TASK_RECORDS = 6


class RecordFields(NamedTuple):
    """The fields of a crash record, with the numbers of runs in order."""

    crashed: tuple[int, ...]
    doubtful: tuple[int, ...]
    unobserved: tuple[int, ...]
    harmless: tuple[int, ...]
    longest_s: int | None


class TaskRecord(NamedTuple):
    """The crash record of the task at a position of a unit."""

    unit_number: int
    position: int
    record: CrashRecord


def encode_crash_records(units: list[Unit]) -> list[Any]:
    """Return the records of all unfinished tasks, those alike together.

    An entry has ranges of task indices and then the fields of the record.
    """
    indices: dict[RecordFields, list[int]] = {}
    for unit in units:
        if unit.done:
            continue
        for position, record in sorted(unit.crash_records.items()):
            index = unit.first_index + position
            indices.setdefault(fields_of(record), []).append(index)
    return [
        [encode_indices(found), *map(list, fields[:-1]), fields.longest_s]
        for fields, found in indices.items()
    ]


def fields_of(record: CrashRecord) -> RecordFields:
    """Return the fields of a record."""
    return RecordFields(
        tuple(sorted(record.crashed)),
        tuple(sorted(record.doubtful)),
        tuple(sorted(record.unobserved)),
        tuple(sorted(record.harmless)),
        stored_duration_s(record.longest_s),
    )


def stored_duration_s(longest_s: float | None) -> int | None:
    """Return a duration rounded up, 0 if it is too short to matter."""
    if longest_s is None:
        return None
    if OUTLIVED_FACTOR * longest_s <= OUTLIVED_S:
        return 0
    return ceil(longest_s)


def encode_indices(indices: list[int]) -> str:
    """Return ascending indices as ranges, for example ``0-3,7``."""
    ranges = []
    for _, group in groupby(
        enumerate(indices), lambda pair: pair[1] - pair[0]
    ):
        run = [index for _, index in group]
        ranges.append(f"{run[0]}-{run[-1]}" if len(run) > 1 else f"{run[0]}")
    return ",".join(ranges)


def decode_indices(text: str) -> Iterator[int]:
    """Yield the indices in ranges; raise ValueError if they are none."""
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def encode_unit_crashes(
    units: list[Unit],
) -> tuple[dict[str, list[int]], dict[str, list[int]]]:
    """Return the crashed and the doubtful runs by unit, for older versions.

    Of a gang these are the runs of the task with the most crashes: an older
    version then starts a task that crashes its workers no more often, and
    gives up no gang for crashes that no task has in common.
    """
    crashed: dict[str, list[int]] = {}
    doubtful: dict[str, list[int]] = {}
    for number, unit in enumerate(units):
        if unit.done or not unit.is_suspected:
            continue
        records = unit.crash_records.values()
        worst = max(records, key=lambda record: len(record.crashed))
        crashed[str(number)] = sorted(worst.crashed)
        if worst.doubtful:
            doubtful[str(number)] = sorted(worst.doubtful)
    return crashed, doubtful


def decode_crash_records(
    units: list[Unit], unit_size: int, stored: list[Any]
) -> Iterator[TaskRecord]:
    """Yield the records of a stored step, whose units are restored."""
    if len(stored) <= TASK_RECORDS:
        yield from decode_unit_crashes(units, unit_size, stored)
        return
    for indices, *fields in stored[TASK_RECORDS]:
        for index in decode_indices(indices):
            number, position = divmod(index, unit_size)
            yield TaskRecord(number, position, CrashRecord(*fields))


def decode_unit_crashes(
    units: list[Unit], unit_size: int, stored: list[Any]
) -> Iterator[TaskRecord]:
    """Yield the records in the row of an older version.

    It does not tell under which task of a gang a worker crashed, so the crash
    counts against each of them, as a doubtful one.
    """
    crashed = stored[UNIT_CRASHES] if len(stored) > UNIT_CRASHES else {}
    doubtful = stored[UNIT_DOUBTS] if len(stored) > UNIT_DOUBTS else {}
    for name, runs in crashed.items():
        number = int(name)
        doubts = doubtful.get(name, ()) if unit_size == 1 else runs
        for position in range(unit_size):
            record = CrashRecord(runs, doubts, longest_s=None)
            for run in ended_runs(units[number]):
                record.record_unobserved(run)
            yield TaskRecord(number, position, record)


def ended_runs(unit: Unit) -> range:
    """Return the numbers of a unit's runs that have certainly ended."""
    return range(1, unit.run if unit.active else unit.run + 1)

"""Keep apart the units under which workers have crashed.

A task may crash each worker that starts it. Which of the tasks on a crashed
worker did so is not known. So units under which a worker has crashed are kept
apart from one another where possible, and start where no worker has crashed
lately, since a worker may also crash repeatedly by itself. After two crashes,
a unit only starts on such workers without other runs, and nothing starts there
for a while: a crash then ends no work of others and has only one explanation.
If no such worker becomes idle for some time, the unit starts elsewhere.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.crash_record import CrashRecord
from damaskstall.tasks.model import Step
from damaskstall.tasks.progress import JobProgress, Unit

ISOLATION_CRASHES = 2
# Nothing else starts beside an isolated run for this long.
ISOLATION_S = 5.0
# The longest wait for workers without other runs since the unit's last run, or
# since it was held back.
ISOLATION_WAIT_S = 10.0
# An endless step serves its users continuously.
ENDLESS_ISOLATION_WAIT_S = 2.0


class SuspectWorkers(NamedTuple):
    """Workers on which suspected units run, and those kept for them alone."""

    shared: set[str]
    isolated: set[str]


def needs_isolation(unit: Unit) -> bool:
    """Return whether a task of a unit is to be kept apart from other runs."""
    return any(is_isolated(record) for record in unit.crash_records.values())


def is_isolated(record: CrashRecord) -> bool:
    """Return whether a task is to be kept apart from other runs."""
    return len(record.crashed) >= ISOLATION_CRASHES


def isolated_positions(unit: Unit) -> list[int]:
    """Return the positions of the tasks to be kept apart from other runs."""
    return [
        position
        for position, record in unit.crash_records.items()
        if is_isolated(record)
    ]


def suspected_positions(unit: Unit) -> list[int]:
    """Return the positions of the tasks under which a worker has crashed."""
    return [
        position
        for position, record in unit.crash_records.items()
        if record.crashed
    ]


def was_isolated(unit: Unit, position: int, run: int) -> bool:
    """Return whether a task was kept apart from all others in a run."""
    record = unit.crash_records.get(position)
    if record is None:
        return False
    earlier = [crashed for crashed in record.crashed if crashed < run]
    return len(earlier) >= ISOLATION_CRASHES


def waits_for_idle_workers(unit: Unit, step: Step, now_s: float) -> bool:
    """Return whether a unit only starts on workers without other runs."""
    if not needs_isolation(unit):
        return False
    limit_s = ENDLESS_ISOLATION_WAIT_S if step.endless else ISOLATION_WAIT_S
    return now_s - max(unit.ended_s, unit.held_until_s) < limit_s


def find_suspect_workers(
    jobs: Iterable[JobProgress], now_s: float
) -> SuspectWorkers:
    """Return the workers of the suspected units that run."""
    found = SuspectWorkers(set(), set())
    for progress in jobs:
        for unit in progress.suspects:
            found.shared.update(running_on(unit, suspected_positions(unit)))
            if now_s - unit.started_s < ISOLATION_S:
                isolated = running_on(unit, isolated_positions(unit))
                found.isolated.update(isolated)
    return found


def running_on(unit: Unit, positions: Iterable[int]) -> set[str]:
    """Return the workers of those tasks whose run may exist."""
    if not unit.members:
        return set()
    members = (unit.members[position] for position in positions)
    return {member.worker for member in members if not member.ended}

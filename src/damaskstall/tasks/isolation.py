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
    """Return whether a unit is to be kept apart from all other runs."""
    return len(unit.crashed_runs) >= ISOLATION_CRASHES


def was_isolated(unit: Unit, run: int) -> bool:
    """Return whether a unit was kept apart from all others in a run."""
    earlier = [crashed for crashed in unit.crashed_runs if crashed < run]
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
            found.shared.update(unit.workers())
            is_recent = now_s - unit.started_s < ISOLATION_S
            if is_recent and needs_isolation(unit):
                found.isolated.update(unit.workers())
    return found

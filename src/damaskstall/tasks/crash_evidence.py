"""Judge whether the crashes of workers tell against the tasks they ran.

Workers also crash for reasons of their own. A crash under a task is doubtful
if the lists of its worker had lacked the run since its start was sent, if the
worker crashed before without the task, or if other workers without the task
crash at about the same time. A doubtful crash counts for isolation as any
other does, but more of them are needed to give a task up. However doubtful its
crashes are, a task whose workers crash is started at most twice after the
third one. So it is then held back for a moment, until others may have ceased
to crash.
"""

from collections.abc import Set
from typing import NamedTuple

from damaskstall.tasks.model import RunKey

# A task is given up once this many workers have crashed under it, the last
# ones while it ran apart from others (see isolation.py).
CRASH_LIMIT = 4
# A task under which this many workers have crashed is started at most
# STARTS_AFTER_CRASHES times more if that crashes its worker again.
BUDGET_CRASHES = 3
STARTS_AFTER_CRASHES = 2
# Crashes of other workers within this time have a common cause, or show that
# workers crash often.
NEAR_S = 3.0
# A worker that crashed without a task is suspected itself for this long.
WORKER_MEMORY_S = 30.0
# How long a task is held back, and one of an endless step. Both leave time to
# start it before it counts as waiting, after 3 s, or 3 s that begin 6 s after
# its last run.
HOLD_S = 2.0
ENDLESS_HOLD_S = 6.0


class WorkerCrash(NamedTuple):
    """A crash of a worker, when it was noticed, and the runs on it."""

    worker: str
    noticed_s: float
    runs: frozenset[RunKey]


def is_doubtful(
    worker: str, crashes_without_task: list[WorkerCrash], now_s: float
) -> bool:
    """Return whether a worker probably crashed for another reason.

    The crashes are those of all workers under which the task did not run.
    """
    return any(
        now_s - crash.noticed_s
        <= (WORKER_MEMORY_S if crash.worker == worker else NEAR_S)
        for crash in crashes_without_task
    )


class RunRecord(NamedTuple):
    """The numbers of a task's runs, by what is known of their workers.

    ``newest`` is the number of the newest run, which has ended. ``crashed``
    has the runs under which a worker crashed, ``doubtful`` those of them that
    tell little, ``unstarted`` the runs that never started, and ``harmless``
    those after which their workers were up. Any other run may have crashed its
    worker unnoticed.
    """

    newest: int
    crashed: Set[int]
    doubtful: Set[int] = frozenset()
    unstarted: Set[int] = frozenset()
    harmless: Set[int] = frozenset()


def is_given_up(runs: RunRecord) -> bool:
    """Return whether a task is not to be started again."""
    if len(runs.crashed) < BUDGET_CRASHES:
        return False
    if len(runs.crashed - runs.doubtful) >= CRASH_LIMIT:
        return True
    newest = max(runs.newest, *runs.crashed)
    started = set(range(1, newest + 1)) - (runs.unstarted - runs.crashed)
    lost = sorted(started - (runs.harmless - runs.crashed))
    third = lost[BUDGET_CRASHES - 1]
    further_starts = [number for number in started if number > third]
    return len(further_starts) >= STARTS_AFTER_CRASHES


def hold_s(crashed: Set[int], doubtful: Set[int], endless: bool) -> float:
    """Return how long a task is held back once its worker is lost."""
    if len(crashed) < BUDGET_CRASHES or max(crashed) not in doubtful:
        return 0.0
    return ENDLESS_HOLD_S if endless else HOLD_S

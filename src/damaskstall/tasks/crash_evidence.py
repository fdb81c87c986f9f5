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

from typing import NamedTuple

from damaskstall.tasks.model import RunKey

# Crashes of other workers within this time have a common cause, or show that
# workers crash often.
NEAR_S = 3.0
# A worker that crashed without a task is suspected itself for this long.
WORKER_MEMORY_S = 30.0


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

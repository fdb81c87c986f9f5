"""Claim for an urgent unit the capacity that preemption frees for it.

A preempted run ends only some rounds after it was chosen. Until then the
freed capacity is claimed, so that no other unit is started there and the next
round does not choose other runs for the same unit. A claim is part of the
input and of the result of a round. A new holder begins without claims: the
runs that its predecessor was stopping end or are chosen again.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.packing import CapacityPlan, PlacementRequest, may_run
from damaskstall.tasks.progress import JobProgress, Unit

# A claimed worker that does not answer for this long is given up. An answer
# that is lost or late once takes less.
SILENCE_LIMIT_S = 0.5
# A stop takes at most 0.2 s and is repeated after 0.4 s. Capacity that is not
# free by then is claimed on another worker.
FREED_LIMIT_S = 1.0
# How much work a unit without a guarantee may preempt in all, as a multiple
# of its own cores. Victims may be larger than the unit.
PREEMPTION_FACTOR = 2.0


class UnitKey(NamedTuple):
    """Identifier of a unit over several rounds."""

    job_id: str
    occurrence: int
    step: int
    first_index: int


class ClaimedTask(NamedTuple):
    """Capacity for one task of a unit, claimed on a worker.

    ``silent_since_s`` is the time of the first of the latest rounds in which
    the worker was not usable, None if it was usable in the last one.
    """

    worker: str
    claimed_s: float
    silent_since_s: float | None = None


class Claim(NamedTuple):
    """The claimed capacity of one unit, with an entry for each task."""

    tasks: tuple[ClaimedTask, ...]

    @property
    def workers(self) -> list[str]:
        """Return the worker of each task."""
        return [task.worker for task in self.tasks]


class Claims(NamedTuple):
    """All claims, and how many cores were preempted for each unit in all."""

    by_unit: dict[UnitKey, Claim]
    preempted_cores: dict[UnitKey, float]


class ClaimLoss(NamedTuple):
    """A claimed worker that was given up, and why."""

    progress: JobProgress
    unit: Unit
    worker: str
    reason: str


def no_claims() -> Claims:
    """Return the claims with which a holder begins."""
    return Claims({}, {})


def key_of(progress: JobProgress, unit: Unit) -> UnitKey:
    """Return the key of a unit."""
    return UnitKey(
        progress.job_id, unit.occurrence, unit.step, unit.first_index
    )


def new_claim(workers: Iterable[str], now_s: float) -> Claim:
    """Return a claim on a worker for each task, made now."""
    return Claim(tuple(ClaimedTask(worker, now_s) for worker in workers))


def observe(claim: Claim, plan: CapacityPlan, now_s: float) -> Claim:
    """Return a claim with the silences of its workers up to this round."""
    return Claim(
        tuple(observe_task(task, plan, now_s) for task in claim.tasks)
    )


def observe_task(
    task: ClaimedTask, plan: CapacityPlan, now_s: float
) -> ClaimedTask:
    """Return a claimed task with the silence of its worker."""
    if task.worker in plan.workers:
        return task._replace(silent_since_s=None)
    if task.silent_since_s is None:
        return task._replace(silent_since_s=now_s)
    return task


def loss_reason(
    task: ClaimedTask,
    placement: PlacementRequest,
    plan: CapacityPlan,
    plan_after_stops: CapacityPlan,
    now_s: float,
) -> str:
    """Return why a claimed task's worker has to be given up, or "".

    The plans contain the capacity that the claim holds. An unusable worker
    is not in them.
    """
    if task.silent_since_s is not None:
        silent_s = now_s - task.silent_since_s
        return "the worker is silent" if silent_s >= SILENCE_LIMIT_S else ""
    if not may_run(placement, plan.workers[task.worker]):
        return "the worker leaves"
    if task.worker in placement.avoid:
        return "the unit failed there"
    if min(plan_after_stops.free[task.worker]) < 0:
        return "the worker's capacity is used"
    is_free = min(plan.free[task.worker]) >= 0
    if not is_free and now_s - task.claimed_s >= FREED_LIMIT_S:
        return "the capacity was not freed in time"
    return ""


def is_expired(claim: Claim, now_s: float) -> bool:
    """Return whether the run that is to move there has not ended in time."""
    return any(now_s - task.claimed_s >= FREED_LIMIT_S for task in claim.tasks)


def is_ready(claim: Claim, plan: CapacityPlan) -> bool:
    """Return whether a claim's capacity is free.

    The plan contains the capacity that the claim holds.
    """
    return all(
        worker in plan.free and min(plan.free[worker]) >= 0
        for worker in claim.workers
    )

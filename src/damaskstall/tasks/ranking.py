"""Rank waiting units.

Units covered by a team's guarantee come first, since all of them must begin at
once. Among them, those whose tasks need more accelerators precede the others,
whose smaller tasks still fit into the capacity that is left. Next come the
other units of priority 0, then the rest by priority. Within one priority, jobs
that can still meet their objective come before those that cannot, and jobs
with less remaining work before those with more.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.model import URGENT_PRIORITY, Queue, Step
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.scheduling_input import (
    SchedulingInput,
    queue_of,
)

# A job that completes within three times its objective still earns the payoff
# for late jobs.
LATE_FACTOR = 3.0


class Batch(NamedTuple):
    """The waiting units of one step, which all have the same rank."""

    progress: JobProgress
    units: list[Unit]
    step: Step
    queue: Queue
    guaranteed: bool


def waiting_batches(
    inputs: SchedulingInput, covered: set[str], now_s: float
) -> list[Batch]:
    """Return the units that may start, in the order to place them."""
    found = []
    for progress in filter(inputs.may_start, inputs.jobs):
        queue = queue_of(inputs, progress)
        guaranteed = progress.job_id in covered
        for units in progress.waiting_steps(now_s):
            step = progress.step_of(units[0])
            found.append(Batch(progress, units, step, queue, guaranteed))
    found.sort(key=lambda batch: rank(inputs, batch, now_s))
    return found


def rank(
    inputs: SchedulingInput, batch: Batch, now_s: float
) -> tuple[float, ...]:
    """Return the sort key of a batch; lower keys come first."""
    progress, queue = batch.progress, batch.queue
    estimator = inputs.estimator
    objective_s = estimator.objective_s(progress, queue)
    occurrence = batch.units[0].occurrence
    due_s = progress.due_s(occurrence)
    slack_s = slack_within(objective_s, inputs, batch, now_s)
    late_slack_s = slack_s + (LATE_FACTOR - 1) * objective_s
    if slack_s >= 0:
        lateness = 0
    else:
        lateness = 1 if late_slack_s >= 0 else 2
    return (
        -batch.step.demand.accelerators if batch.guaranteed else 1,
        queue.priority,
        lateness,
        estimator.remaining_core_s(progress, occurrence),
        due_s,
        batch.units[0].step,
    )


def slack_of(inputs: SchedulingInput, batch: Batch, now_s: float) -> float:
    """Return for how long a job can still wait and meet its objective.

    The time is negative if the job can no longer meet it.
    """
    objective_s = inputs.estimator.objective_s(batch.progress, batch.queue)
    return slack_within(objective_s, inputs, batch, now_s)


def slack_within(
    objective_s: float, inputs: SchedulingInput, batch: Batch, now_s: float
) -> float:
    """Return for how long a job can still wait and meet an objective."""
    occurrence = batch.units[0].occurrence
    remaining_s = inputs.estimator.remaining_s(batch.progress, occurrence)
    return batch.progress.due_s(occurrence) + objective_s - remaining_s - now_s


def covered_jobs(inputs: SchedulingInput) -> set[str]:
    """Return the IDs of the urgent jobs that team guarantees cover.

    A team's jobs are covered in order of acceptance, as long as their total
    need stays within the team's guaranteed accelerators.
    """
    needed: dict[str, int] = {}
    covered: set[str] = set()
    for progress in by_arrival(inputs.jobs):
        if queue_of(inputs, progress).priority != URGENT_PRIORITY:
            continue
        team = progress.job.team
        needed[team] = needed.get(team, 0) + accelerators_left(progress)
        if needed[team] <= inputs.guarantees.get(team, 0):
            covered.add(progress.job_id)
    return covered


def by_arrival(jobs: Iterable[JobProgress]) -> list[JobProgress]:
    """Return jobs in the order of their acceptance."""
    return sorted(jobs, key=lambda progress: progress.job.accepted_unix_s)


def accelerators_left(progress: JobProgress) -> int:
    """Return the accelerators that a job's unfinished units need in total.

    Only the first unfinished occurrence of a job with a schedule counts.
    """
    first = min(
        (u.occurrence for u in progress.all_units() if not u.done), default=0
    )
    return sum(
        progress.step_of(unit).unit_accelerators
        for unit in progress.all_units()
        if not unit.done and unit.occurrence == first
    )

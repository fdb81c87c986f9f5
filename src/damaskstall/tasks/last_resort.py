"""Decide when a unit may use workers in backoff.

A backoff is a preference: other workers are used first, but a job that finds
no capacity on them must not wait for the end of a backoff, which may be in
error. So a unit may use a worker in backoff after a bounded wait if nothing of
its job runs, or if it is endless. A unit that has only one attempt left waits
longer, since its job fails if the worker does.

Backoffs, reservations, headroom and isolation each keep a unit from capacity
for a bounded time, but one may follow another. So there is one limit for all
of them: after it, a unit beside ample free capacity may start against each of
these preferences.
"""

from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.ranking import Batch

LAST_RESORT_WAIT_S = 1.0
LAST_ATTEMPT_WAIT_S = 2.0
# The platform requires that a job with ample free capacity begins within 3 s.
PREFERENCES_WAIT_S = 2.0
# A worker lists its runs twice a second; one that was not listed for this time
# may be over.
LISTED_S = 1.5


def may_use_backoff(batch: Batch, unit: Unit, now_s: float) -> bool:
    """Return whether a waiting unit may use workers in backoff."""
    if not batch.step.endless and batch.progress.has_active_units():
        return False
    waited_s = now_s - waiting_since_s(batch.progress, unit)
    return waited_s >= last_resort_wait_s(batch, unit)


def is_overdue(batch: Batch, unit: Unit, now_s: float) -> bool:
    """Return whether a unit has waited too long for its preferences.

    A unit that is not endless is only overdue if nothing of its job works.
    """
    if not batch.step.endless and is_at_work(batch.progress, now_s):
        return False
    return now_s - waiting_since_s(batch.progress, unit) >= PREFERENCES_WAIT_S


def is_at_work(progress: JobProgress, now_s: float) -> bool:
    """Return whether a run of a job was placed or listed a moment ago."""
    return any(
        now_s - max(unit.started_s, member.reported_s) < LISTED_S
        for unit in progress.all_units()
        for member in unit.members
        if not member.ended
    )


def waiting_since_s(progress: JobProgress, unit: Unit) -> float:
    """Return when a unit's last run ended, or its turn came if later.

    A run that was never started does not count.
    """
    since_s = max(progress.due_s(unit.occurrence), unit.ended_s)
    for number in progress.step_of(unit).after:
        earlier = progress.units_of(unit.occurrence, number)
        since_s = max(since_s, *(each.ended_s for each in earlier))
    return since_s


def last_resort_wait_s(batch: Batch, unit: Unit) -> float:
    """Return for how long a unit waits for workers without a backoff."""
    is_last_attempt = unit.failures + 1 >= batch.queue.attempt_limit
    must_begin = batch.guaranteed and not unit.has_begun
    if is_last_attempt and not must_begin:
        return LAST_ATTEMPT_WAIT_S
    return LAST_RESORT_WAIT_S

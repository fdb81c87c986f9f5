"""Detect slow workers, and runs that would finish sooner on another worker.

Some workers take four to seven times as long for a while, although the
platform lists them as ready. Declared run times are too inaccurate to detect
this. A run is compared with its own earlier pace and with the pace of the
other tasks of its step, which are identical.
"""

from collections.abc import Iterable
from statistics import median_high
from typing import NamedTuple

from damaskstall.tasks.model import Step
from damaskstall.tasks.pace import WHOLE_PERCENT
from damaskstall.tasks.progress import JobProgress, Member, Unit
from damaskstall.tasks.stalls import is_confirmed_running

# Run times within a step vary by 0.3 of their length, and between failure
# domains by a factor of 1.3; a slow worker takes four times as long or more.
SLOW_FACTOR = 2.5
# A worker is not slow if any of its runs has a factor below this.
HEALTHY_FACTOR = 1.6
# Minimum number of tasks with a known pace from which a step's usual pace is
# computed.
MIN_PACED_TASKS = 2
# From this percentage on, the pace of a run is not compared: a run stays at 99
# percent until it ends, so its final paces are too low.
COMPARED_PERCENT_LIMIT = 95.0
# One percent in 20 s; this lower bound only avoids a division by zero.
MIN_PERCENT_PER_S = 0.05
# A run is restarted only if its remaining time exceeds that of a restart by
# this factor, since paces are imprecise.
MIN_GAIN_FACTOR = 1.3
# Workers are slow or stalled for 5 to 7 s, so a run that stays there returns
# to its normal pace after about this time.
SLOWDOWN_DURATION_S = 5.0
# A restart takes a stop, a decision and a start in addition.
RESTART_COST_S = 0.5


class Slowdown(NamedTuple):
    """The factor by which one member's run is slower than normal."""

    progress: JobProgress
    unit: Unit
    member: Member
    factor: float
    normal_per_s: float


def find_slowdowns(
    jobs: Iterable[JobProgress], now_s: float
) -> list[Slowdown]:
    """Return the slowdown of each run for which it is known."""
    found = []
    for progress in jobs:
        for units in progress.units:
            running = [
                u for u in units if is_confirmed_running(u) and not u.done
            ]
            usual_per_s = step_pace(running)
            for unit in running:
                for member in unit.members:
                    best_per_s = member.pace.best_per_s()
                    normal_per_s = max(usual_per_s, best_per_s)
                    factor = slowdown(member, normal_per_s, now_s)
                    if factor is not None:
                        found.append(
                            Slowdown(
                                progress, unit, member, factor, normal_per_s
                            )
                        )
    return found


def step_pace(units: list[Unit]) -> float:
    """Return the usual pace of a step's tasks, 0 if unknown."""
    paces = [m.pace.best_per_s() for unit in units for m in unit.members]
    known = [pace for pace in paces if pace > 0]
    return median_high(known) if len(known) >= MIN_PACED_TASKS else 0.0


def slowdown(
    member: Member, normal_per_s: float, now_s: float
) -> float | None:
    """Return the factor by which a run is slower than normal, if known."""
    recent_per_s = member.pace.recent_per_s(now_s, normal_per_s)
    if member.ended or member.pace.percent >= COMPARED_PERCENT_LIMIT:
        return None
    if recent_per_s is None:
        return None
    return normal_per_s / max(recent_per_s, MIN_PERCENT_PER_S)


def slow_workers(slowdowns: list[Slowdown]) -> set[str]:
    """Return the workers with a slow run and no run at normal pace."""
    by_worker: dict[str, list[float]] = {}
    for each in slowdowns:
        by_worker.setdefault(each.member.worker, []).append(each.factor)
    return {
        worker
        for worker, factors in by_worker.items()
        if max(factors) >= SLOW_FACTOR and min(factors) >= HEALTHY_FACTOR
    }


def should_restart(each: Slowdown, step: Step) -> bool:
    """Return whether a slow run would finish sooner on another worker."""
    if step.endless or each.factor < SLOW_FACTOR:
        return False
    remaining_percent = WHOLE_PERCENT - each.member.pace.percent
    normal_s = remaining_percent / each.normal_per_s
    remaining_s = min(normal_s * each.factor, SLOWDOWN_DURATION_S + normal_s)
    restart_percent = remaining_percent if step.checkpoints else WHOLE_PERCENT
    restart_s = restart_percent / each.normal_per_s + RESTART_COST_S
    return remaining_s > MIN_GAIN_FACTOR * restart_s

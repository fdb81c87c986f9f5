"""Log for units that could start and wait why they do not run."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.events import log
from damaskstall.tasks.claims import key_of
from damaskstall.tasks.events import UNIT_WAITING
from damaskstall.tasks.metrics import (
    LONGEST_WAIT_SECONDS,
    NO_LABELS,
    WORKERS_BY_FLAG,
)
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.reservations import KeptCapacity
from damaskstall.tasks.scheduling_input import SchedulingInput, queue_of
from damaskstall.tasks.wait_reasons import (
    EARLIER_START,
    STORE_FAILING,
    WaitingUnit,
    WaitReason,
    WorkerState,
    explain_wait,
)
from damaskstall.tasks.worker_flags import ALL_FLAGS

CHECK_INTERVAL_S = 1.0
# Jobs that no other work hinders start within a few rounds.
WAIT_LIMIT_S = 3.0
LINES_PER_CHECK = 3
STEP_LINE_INTERVAL_S = 5.0
# The label of the metric for workers without a flag.
NO_FLAG = "none"


class RoundView(NamedTuple):
    """What a check needs to know after a round.

    ``obstacle`` is why no round was held, empty if one was.
    """

    inputs: SchedulingInput
    workers: list[WorkerState]
    kept: KeptCapacity
    obstacle: str


class WaitStart(NamedTuple):
    """When a unit began to wait, after how many runs."""

    run: int
    since_s: float


class WaitingStep(NamedTuple):
    """The waiting units of a step, and the one that waits longest."""

    progress: JobProgress
    units: list[Unit]
    longest: Unit
    since_s: float


StepKey = tuple[str, int, int]


class WaitingUnits:
    """The units that could start, and since when they wait."""

    def __init__(self) -> None:
        """Start without any waiting unit."""
        self._starts: dict[Unit, WaitStart] = {}
        self._logged_s: dict[StepKey, float] = {}
        self._checked_s = float("-inf")

    def is_due(self, now_s: float) -> bool:
        """Return whether the last check was some time ago."""
        return now_s - self._checked_s >= CHECK_INTERVAL_S

    def check(self, view: RoundView, now_s: float) -> None:
        """Update the metrics, and log some of the steps that wait long."""
        self._checked_s = now_s
        steps = self._find_steps(view.inputs.jobs, now_s)
        first_s = min((step.since_s for step in steps), default=now_s)
        LONGEST_WAIT_SECONDS.set(NO_LABELS, now_s - first_s)
        count_workers(view.workers)
        for step in self._steps_to_log(view.inputs, steps, now_s):
            log_waiting(step, explain(view, step, now_s), now_s)

    def reset_metrics(self) -> None:
        """Show nothing any more, since this process is not the holder."""
        LONGEST_WAIT_SECONDS.set(NO_LABELS, 0)
        count_workers(())

    def _find_steps(
        self, jobs: Iterable[JobProgress], now_s: float
    ) -> list[WaitingStep]:
        """Return the steps with waiting units; forget all other units."""
        starts: dict[Unit, WaitStart] = {}
        steps = []
        for progress in jobs:
            for units in progress.waiting_steps(now_s):
                for unit in units:
                    start = self._starts.get(unit)
                    if start is None or start.run != unit.run:
                        since_s = waiting_since_s(progress, unit, now_s)
                        start = WaitStart(unit.run, since_s)
                    starts[unit] = start
                longest = min(units, key=lambda each: starts[each].since_s)
                steps.append(
                    WaitingStep(
                        progress, units, longest, starts[longest].since_s
                    )
                )
        self._starts = starts
        return steps

    def _steps_to_log(
        self, inputs: SchedulingInput, steps: list[WaitingStep], now_s: float
    ) -> list[WaitingStep]:
        """Return the steps to log now, the most urgent first."""
        self._logged_s = {
            key: logged_s
            for key, logged_s in self._logged_s.items()
            if now_s - logged_s < STEP_LINE_INTERVAL_S
        }
        found = [
            step
            for step in steps
            if now_s - step.since_s >= WAIT_LIMIT_S
            and step_key(step) not in self._logged_s
        ]
        found.sort(
            key=lambda step: (
                queue_of(inputs, step.progress).priority,
                step.since_s,
            )
        )
        chosen = found[:LINES_PER_CHECK]
        for step in chosen:
            self._logged_s[step_key(step)] = now_s
        return chosen


def step_key(step: WaitingStep) -> StepKey:
    """Return the key of a step's occurrence."""
    unit = step.longest
    return step.progress.job_id, unit.occurrence, unit.step


def waiting_since_s(progress: JobProgress, unit: Unit, now_s: float) -> float:
    """Return since when a unit waits that was not known to wait before.

    The time at which an earlier step or run has ended is not kept.
    """
    if unit.run or progress.step_of(unit).after:
        return now_s
    return progress.due_s(unit.occurrence)


def count_workers(workers: Iterable[WorkerState]) -> None:
    """Set the metric of workers by flag."""
    counts = Counter(
        flag for state in workers for flag in state.flags or (NO_FLAG,)
    )
    for flag in (*ALL_FLAGS, NO_FLAG):
        WORKERS_BY_FLAG.set({"flag": flag}, counts[flag])


def explain(view: RoundView, step: WaitingStep, now_s: float) -> WaitReason:
    """Return why the unit of a step that waits longest does not run."""
    if view.obstacle:
        return WaitReason(view.obstacle)
    progress, unit = step.progress, step.longest
    if not view.inputs.may_start(progress):
        return WaitReason(STORE_FAILING)
    if unit.earlier_starts.are_open(now_s):
        return WaitReason(EARLIER_START)
    queue = queue_of(view.inputs, progress)
    waiting = WaitingUnit(
        progress,
        unit,
        queue,
        view.inputs.estimator.task_run_time_s(
            queue.name, progress.step_of(unit)
        ),
        key_of(progress, unit) in view.inputs.claims.by_unit,
    )
    return explain_wait(waiting, view.workers, view.kept)


def log_waiting(step: WaitingStep, why: WaitReason, now_s: float) -> None:
    """Log that a step waits, and why."""
    unit = step.longest
    demand = step.progress.step_of(unit).demand
    log(
        UNIT_WAITING,
        job=step.progress.job_id,
        step=unit.step,
        index=unit.first_index,
        occurrence=unit.occurrence,
        units=len(step.units),
        waited_s=round(now_s - step.since_s, 1),
        queue=step.progress.job.queue,
        tasks=step.progress.step_of(unit).unit_size,
        cpu_millicores=demand.cpu_millicores,
        memory_mb=demand.memory_mb,
        accelerators=demand.accelerators,
        reason=why.reason,
        eligible=why.eligible,
        usable=why.usable,
        unusable=" ".join(f"{flag}={count}" for flag, count in why.flags),
        free_cpu_millicores=why.free.cpu_millicores,
        free_memory_mb=why.free.memory_mb,
        free_accelerators=why.free.accelerators,
    )

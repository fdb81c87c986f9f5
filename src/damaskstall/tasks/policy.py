"""Decide which waiting units start, where, and what is stopped for them.

Pure code: the present time is an argument, and nothing is sent or stored.

Order: work that a team's guarantee covers, other work of priority 0, then by
priority. Within one priority, jobs that can still meet their objective come
before those that cannot, and what earns most for the accelerator time it
takes comes first.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.tasks.capacity import Room
from damaskstall.tasks.expectations import Expectations
from damaskstall.tasks.model import Queue, Step
from damaskstall.tasks.packing import Placing, RoomPlan, place_unit
from damaskstall.tasks.preemption import Victim, find_clearing
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.reservations import (
    Ending,
    Reservation,
    open_plan,
    reserve,
)
from damaskstall.tasks.stalls import left_of_run_s

URGENT_PRIORITY = 0
# Below every priority that a queue may have (the pages name 0 to 2).
LAST_PRIORITY = 1000
# A job that ends up to three objectives late still earns its late payoff
# (RULES, Payoff).
LATE_FACTOR = 3.0
# Units for which room is kept, a round. Room that is kept idles, so only the
# first units in order get some, and only if they fit before long: within
# their own run time, or 2 s.
RESERVATIONS_LIMIT = 2
RESERVATION_FLOOR_S = 2.0
# Time that a stop takes at most (bounds, stop_ms).
STOP_S = 0.2
# Time that a start from a checkpoint takes (bounds, restore_ms).
RESTORE_S = 0.1
# Blocked units for which room is looked for by stopping others, a round:
# more than a few would only be planned on guesses.
CLEARINGS_LIMIT = 8


class Candidate(NamedTuple):
    """Hold a waiting unit with what its order depends on."""

    progress: JobProgress
    unit: Unit
    step: Step
    queue: Queue
    guaranteed: bool


class StartUnit(NamedTuple):
    """Start a unit's next run, with one worker for each task."""

    progress: JobProgress
    unit: Unit
    workers: list[str]


class StopUnit(NamedTuple):
    """Stop a unit's run, for the unit of another job."""

    progress: JobProgress
    unit: Unit
    for_job: str


Decision = StartUnit | StopUnit


class Situation(NamedTuple):
    """Hold all that one round of decisions depends on."""

    jobs: list[JobProgress]
    queues: dict[str, Queue]
    guarantees: dict[str, int]
    rooms: list[Room]
    expectations: Expectations


def decide(situation: Situation, now_s: float) -> list[Decision]:
    """Return what to start and what to stop, in order."""
    return Round(situation, now_s).decide()


class Round:
    """Hold one round of decisions."""

    def __init__(self, situation: Situation, now_s: float) -> None:
        """Plan from the room that is free now."""
        self.situation = situation
        self.now_s = now_s
        self.plan = RoomPlan(situation.rooms)
        self.soon = self.plan.copy()
        for room in situation.rooms:
            self.soon.free[room.worker.name] = room.soon_free
        self.decisions: list[Decision] = []
        self.covered = covered_jobs(situation)
        self.stopped: set[int] = set()
        self.clearings = 0
        self.reservations: list[Reservation] = []
        self.endings: list[Ending] | None = None

    def decide(self) -> list[Decision]:
        """Go through the waiting units in order."""
        blocked: set[tuple[str, int, int]] = set()
        for candidate in self._ordered():
            unit = candidate.unit
            place = (candidate.progress.job_id, unit.occurrence, unit.step)
            if place in blocked:
                # Its units are alike: where one does not fit, none does.
                continue
            if not self._try_place(candidate):
                blocked.add(place)
        return self.decisions

    def _ordered(self) -> list[Candidate]:
        found = []
        for progress in self.situation.jobs:
            queue = queue_of(self.situation, progress)
            for unit in progress.waiting_units(self.now_s):
                found.append(
                    Candidate(
                        progress,
                        unit,
                        progress.step_of(unit),
                        queue,
                        progress.job_id in self.covered,
                    )
                )
        return sorted(found, key=self._rank)

    def _rank(self, candidate: Candidate) -> tuple[float, ...]:
        progress, queue = candidate.progress, candidate.queue
        expectations = self.situation.expectations
        objective_s = expectations.objective_s(progress, queue)
        occurrence = candidate.unit.occurrence
        left_s = expectations.left_s(progress, occurrence)
        due_s = progress.due_s(occurrence)
        slack_s = due_s + objective_s - left_s - self.now_s
        late_slack_s = slack_s + (LATE_FACTOR - 1) * objective_s
        if slack_s >= 0:
            lateness = 0
        else:
            lateness = 1 if late_slack_s >= 0 else 2
        return (
            0 if candidate.guaranteed else 1,
            queue.priority,
            lateness,
            expectations.left_core_s(progress, occurrence),
            due_s,
            candidate.unit.step,
        )

    def _try_place(self, candidate: Candidate) -> bool:
        placing = self._placing(candidate)
        expected_s = self.situation.expectations.step_s(
            candidate.queue.name, candidate.step
        )
        plan = self.plan
        if candidate.queue.priority != URGENT_PRIORITY:
            plan = open_plan(self.plan, self.reservations, expected_s)
        workers = place_unit(plan, placing)
        if workers is not None:
            self._claim(candidate, workers)
            self.decisions.append(
                StartUnit(candidate.progress, candidate.unit, workers)
            )
            return True
        if candidate.queue.priority == URGENT_PRIORITY:
            return self._try_clear(candidate, placing)
        self._try_reserve(placing, expected_s)
        return False

    def _try_reserve(self, placing: Placing, expected_s: float) -> None:
        """Keep room for one of the first units that find none."""
        if len(self.reservations) >= RESERVATIONS_LIMIT:
            return
        limit_s = max(RESERVATION_FLOOR_S, expected_s)
        found = reserve(self.plan, placing, self._endings(), limit_s)
        if found is not None:
            self.reservations.append(found)

    def _endings(self) -> list[Ending]:
        """Return the running units with what is left of them."""
        if self.endings is None:
            self.endings = [
                Ending(
                    tuple(m.worker for m in unit.members if not m.ended),
                    progress.step_of(unit).demand,
                    self._left_of_run_s(progress, unit),
                )
                for progress in self.situation.jobs
                for unit in progress.all_units()
                if unit.active
            ]
        return self.endings

    def _left_of_run_s(self, progress: JobProgress, unit: Unit) -> float:
        """Return how long a run goes on, by its pace or its declared time."""
        if unit.stopping or unit.done:
            return STOP_S
        left_s = left_of_run_s(unit, self.now_s)
        if left_s is None:
            step = progress.step_of(unit)
            queue = progress.job.queue
            whole_s = self.situation.expectations.step_s(queue, step)
            return max(STOP_S, whole_s - (self.now_s - unit.started_s))
        return left_s

    def _try_clear(self, candidate: Candidate, placing: Placing) -> bool:
        """Make room by stopping work, or wait for what is being stopped.

        Returns whether the unit has its room, now or soon.
        """
        workers = place_unit(self.soon, placing)
        if workers is not None:
            self._claim(candidate, workers)
            return True
        if self.clearings >= CLEARINGS_LIMIT:
            return False
        self.clearings += 1
        clearing = find_clearing(self.soon, placing, self._victims(candidate))
        if clearing is None:
            return False
        for victim in clearing.victims:
            self.stopped.add(id(victim.unit))
            self.decisions.append(
                StopUnit(
                    victim.progress, victim.unit, candidate.progress.job_id
                )
            )
            for worker in victim.shares:
                self.soon.give(worker, victim.demand)
        self._claim(candidate, clearing.workers)
        return True

    def _claim(self, candidate: Candidate, workers: list[str]) -> None:
        for worker in workers:
            self.plan.take(worker, candidate.step.demand)
            self.soon.take(worker, candidate.step.demand)

    def _placing(self, candidate: Candidate) -> Placing:
        present: dict[str, int] = {}
        if candidate.step.per_worker_limit:
            present = self._present(candidate)
        return Placing(
            candidate.step,
            candidate.progress.job.service,
            frozenset(candidate.unit.avoid),
            present,
        )

    def _present(self, candidate: Candidate) -> dict[str, int]:
        """Count the tasks of a step on each worker, planned ones included."""
        counts: dict[str, int] = {}
        unit = candidate.unit
        units = candidate.progress.units_of(unit.occurrence, unit.step)
        for unit in units:
            for member in unit.members:
                if not member.ended:
                    counts[member.worker] = counts.get(member.worker, 0) + 1
        for decision in self.decisions:
            if not isinstance(decision, StartUnit):
                continue
            if decision.unit in units:
                for worker in decision.workers:
                    counts[worker] = counts.get(worker, 0) + 1
        return counts

    def _victims(self, candidate: Candidate) -> list[Victim]:
        """Return the running units that may be stopped for a candidate."""
        victims = []
        for progress in self.situation.jobs:
            queue = queue_of(self.situation, progress)
            if not self._may_stop(candidate, progress, queue.priority):
                continue
            for unit in progress.all_units():
                if not unit.active or unit.stopping or unit.done:
                    continue
                if progress.step_of(unit).endless:
                    # It serves users of its own all the time.
                    continue
                if id(unit) in self.stopped:
                    continue
                victims.append(self._victim(progress, unit))
        return victims

    def _may_stop(
        self, candidate: Candidate, progress: JobProgress, priority: int
    ) -> bool:
        if priority > candidate.queue.priority:
            return True
        if progress.job_id in self.covered:
            return False
        # Urgent work beyond its team's guarantee gives way to urgent work
        # that is covered by one.
        return candidate.guaranteed

    def _victim(self, progress: JobProgress, unit: Unit) -> Victim:
        step = progress.step_of(unit)
        shares = tuple(
            member.worker for member in unit.members if not member.ended
        )
        ran_s = self.now_s - unit.started_s
        if step.checkpoints:
            # A stop saves what was done; the next start restores it.
            ran_s = min(ran_s, RESTORE_S)
        cost = ran_s * step.demand.cores * step.unit_size
        return Victim(progress, unit, step.demand, shares, cost)


def queue_of(situation: Situation, progress: JobProgress) -> Queue:
    """Return a job's queue; one that is not known any more comes last."""
    job = progress.job
    queue = situation.queues.get(job.queue)
    if queue is not None:
        return queue
    return Queue(job.queue, "", "", job.service, LAST_PRIORITY, 0, 1, 0, False)


def covered_jobs(situation: Situation) -> set[str]:
    """Return the urgent jobs that their teams' guarantees cover.

    A team's jobs are covered in order of arrival, as long as all they need
    stays within the team's guaranteed accelerators.
    """
    needed: dict[str, int] = {}
    covered: set[str] = set()
    for progress in by_arrival(situation.jobs):
        if queue_of(situation, progress).priority != URGENT_PRIORITY:
            continue
        team = progress.job.team
        needed[team] = needed.get(team, 0) + accelerators_left(progress)
        if needed[team] <= situation.guarantees.get(team, 0):
            covered.add(progress.job_id)
    return covered


def by_arrival(jobs: Iterable[JobProgress]) -> list[JobProgress]:
    """Return jobs in the order in which they were accepted."""
    return sorted(jobs, key=lambda progress: progress.job.accepted_unix_s)


def accelerators_left(progress: JobProgress) -> int:
    """Return the accelerators that a job's unfinished units need at once.

    Of a job with a schedule only the first unfinished occurrence counts.
    """
    first = min(
        (u.occurrence for u in progress.all_units() if not u.done), default=0
    )
    return sum(
        progress.step_of(unit).unit_accelerators
        for unit in progress.all_units()
        if not unit.done and unit.occurrence == first
    )

"""Decide which waiting units start, on which workers, and what they preempt.

The code is free of side effects: the present time is an argument, and nothing
is sent or stored. ``ranking.py`` defines the order of the units.
"""

from math import inf
from typing import NamedTuple

from damaskstall.tasks.capacity import is_mostly_free
from damaskstall.tasks.claims import (
    PREEMPTION_FACTOR,
    Claim,
    ClaimedTask,
    ClaimLoss,
    Claims,
    UnitKey,
    is_expired,
    is_ready,
    key_of,
    loss_reason,
    new_claim,
    observe,
)
from damaskstall.tasks.defragmentation import (
    MOVE_SEARCH_LIMIT,
    MOVE_WAIT_S,
    MOVED_TASKS_LIMIT,
    ROOM_CHECKS_LIMIT,
    Clearance,
    Move,
    best_clearance,
    endless_victims,
    first_moves,
    has_room,
    hosts_of_endless,
    movable_units,
    task_count,
)
from damaskstall.tasks.isolation import (
    find_suspect_workers,
    isolated_positions,
    needs_isolation,
    suspected_positions,
    waits_for_idle_workers,
)
from damaskstall.tasks.last_resort import (
    is_overdue,
    may_use_backoff,
    waiting_since_s,
)
from damaskstall.tasks.model import URGENT_PRIORITY, Demand, Step
from damaskstall.tasks.packing import (
    CapacityPlan,
    Misfits,
    PlacementRequest,
    across_racks,
    kind_of,
    may_run,
    needs_one_rack,
    pack_some,
    place_bound,
    place_unit,
    racks_by_free,
)
from damaskstall.tasks.preemption import (
    GroupKey,
    PreemptionSearch,
    Victim,
    find_preemption,
    victims_by_worker,
)
from damaskstall.tasks.progress import JobProgress, Unit
from damaskstall.tasks.ranking import (
    Batch,
    covered_jobs,
    slack_of,
    waiting_batches,
)
from damaskstall.tasks.reservations import (
    NOTHING_KEPT,
    ExpectedEnd,
    KeptCapacity,
    Reservation,
    plan_without_reserved,
    reserve,
)
from damaskstall.tasks.scheduling_input import (
    SchedulingInput,
    queue_of,
)
from damaskstall.tasks.stalls import remaining_run_s

# Maximum number of reservations per round. Reserved capacity idles, so only
# the first units in order get a reservation, and only if they will fit within
# their own run time or 2 s, whichever is longer. It is 2 s at most while under
# half of the capacity is in use: other units have more than enough then, and
# must not wait for longer.
RESERVATIONS_LIMIT = 2
RESERVATION_FLOOR_S = 2.0
# Nothing relies on the end of a run that has exceeded its expected run time by
# more than this.
OVERDUE_LIMIT_S = 2.0
# The platform guarantees that a stop takes at most 0.2 s.
STOP_TIME_S = 0.2
# The platform guarantees that a start from a checkpoint takes at most 0.1 s.
RESTORE_TIME_S = 0.1
# Maximum number of blocked units per round for which preemption is attempted;
# a plan for more than a few would depend on too many uncertain predictions.
PREEMPTION_SEARCH_LIMIT = 8
# An urgent unit waits for runs that end by themselves, since the work of a
# preempted run is lost. It waits for at most half of its slack, as expected
# ends are only rough, and for at most WAIT_LIMIT_S. Once a job is older than
# WAIT_AGE_LIMIT_S, preemption is immediate: the platform requires that a job
# that is covered by a guarantee begins within 2.7 s of its acceptance.
WAIT_SHARE = 0.5
WAIT_LIMIT_S = 0.8
WAIT_AGE_LIMIT_S = 1.0
# Capacity is kept free for the urgent jobs that come within this time: work
# that began there would be preempted soon.
HEADROOM_S = 0.7
# Other units may use it after this time if most of their service is free.
HEADROOM_WAIT_S = 2.0
# Each earlier run of a unit multiplies the cost of stopping it, so that no
# unit is preempted again and again while others are at hand.
REPEAT_FACTOR = 3.0
COUNTED_REPEATS_LIMIT = 6
# The running units that a guaranteed unit may preempt if nothing else frees
# enough.
ENDLESS = "endless"
SMALLER = "smaller"

KEPT_HEADROOM = -1


class StartUnit(NamedTuple):
    """Decision to start a unit's next run, with one worker for each task."""

    progress: JobProgress
    unit: Unit
    workers: list[str]


class StopUnit(NamedTuple):
    """Decision to stop a unit's run for a unit of another job.

    A unit that ``moves`` goes on at once on other workers.
    """

    progress: JobProgress
    unit: Unit
    for_job: str
    moves: bool = False

    @property
    def reason(self) -> str:
        """Return why the run is stopped, for the log."""
        if self.moves:
            return f"moved to make room for job {self.for_job}"
        return f"preempted for job {self.for_job}"


Decision = StartUnit | StopUnit


class RoundResult(NamedTuple):
    """What one round decides: starts and stops in order, and the claims.

    ``kept`` only serves to explain why units wait.
    """

    decisions: list[Decision]
    claims: Claims
    lost_claims: list[ClaimLoss]
    kept: KeptCapacity = NOTHING_KEPT


class UnitShape(NamedTuple):
    """The properties of a unit that determine whether it fits.

    ``held`` has the indices of the reservations that the unit must respect,
    and ``KEPT_HEADROOM`` if it must not use the capacity for urgent jobs.
    A unit that is to run ``alone`` needs workers without other runs.
    """

    service: str
    required_label: str
    demand: Demand
    unit_size: int
    in_one_rack: bool
    held: tuple[int, ...]
    alone: bool


def is_interchangeable(unit: Unit) -> bool:
    """Return whether a unit may start wherever others of its step may."""
    return not unit.avoid and not unit.is_suspected


def decide(inputs: SchedulingInput, now_s: float) -> RoundResult:
    """Return the units to start and to stop, and the claims that remain."""
    return SchedulingRound(inputs, now_s).decide()


class SchedulingRound:
    """One round of scheduling decisions."""

    def __init__(self, inputs: SchedulingInput, now_s: float) -> None:
        """Start a plan with the capacity that is free now."""
        self.inputs = inputs
        self.now_s = now_s
        self.plan = CapacityPlan(inputs.free_capacities)
        self.plan_after_stops = self.plan.copy()
        for capacity in inputs.free_capacities:
            self.plan_after_stops.free[capacity.worker.name] = (
                capacity.free_after_stops
            )
        self.suspects = find_suspect_workers(inputs.jobs, now_s)
        # The free capacity of isolated workers, now and after stops.
        self.closed: dict[str, tuple[Demand, Demand]] = {}
        for worker in self.suspects.isolated:
            self._close(worker)
        self.decisions: list[Decision] = []
        self.claims: dict[UnitKey, Claim] = {}
        # The jobs of which waiting units have claims from earlier rounds.
        self.claimed_jobs: set[str] = set()
        self.lost_claims: list[ClaimLoss] = []
        self.preempted_cores: dict[UnitKey, float] = {}
        self.covered = covered_jobs(inputs)
        self.stopped: set[int] = set()
        self.preemption_searches = 0
        self.move_searches = 0
        self.room_checks = 0
        self.moved_tasks = 0
        self.movable: list[Victim] | None = None
        # The units for which no moves were found, and the steps of those that
        # have a limit per worker.
        self.unmovable = Misfits()
        self.unmovable_steps: set[GroupKey] = set()
        self.unplaceable: set[UnitShape] = set()
        # The workers in backoff that may still get a unit in this round, and
        # the shapes that do not fit with them either.
        self.probes = {
            each.worker.name: each
            for each in inputs.backoff_capacities
            if each.worker.name not in self.suspects.isolated
        }
        self.unplaceable_in_backoff: set[UnitShape] = set()
        # All workers in backoff, for overdue units, the shapes of these that
        # do not fit with them either, and the jobs that start something.
        self.resting = {
            each.worker.name: each
            for each in inputs.resting_capacities
            if each.worker.name not in self.suspects.isolated
        }
        self.unplaceable_overdue: set[UnitShape] = set()
        self.started_jobs: set[str] = set()
        # Time limits within which no reservation was found, by shape.
        self.unreservable_s: dict[UnitShape, float] = {}
        self.running: list[tuple[JobProgress, Unit]] | None = None
        self.running_endless: list[tuple[JobProgress, Unit]] | None = None
        # The workers that endless tasks are to fill first.
        self.endless_hosts: set[str] | None = None
        self.stoppable: list[Victim] | None = None
        # By the priority of a queue, and whether a guarantee covers the job.
        self.preemptable: dict[tuple[int, bool], set[str]] = {}
        self.reservations: list[Reservation] = []
        self.headroom = Reservation({}, HEADROOM_S)
        self.mostly_free: dict[str, bool] = {}
        self.unreserved: dict[tuple[int, ...], CapacityPlan] = {}
        self.expected_ends: list[ExpectedEnd] | None = None

    def decide(self) -> RoundResult:
        """Decide on the waiting units in order; return the decisions."""
        batches = waiting_batches(self.inputs, self.covered, self.now_s)
        self._renew_claims(batches)
        urgent = [b for b in batches if b.queue.priority == URGENT_PRIORITY]
        for batch in urgent:
            self._decide_batch(batch)
        self.headroom = self._keep_headroom()
        for batch in batches[len(urgent) :]:
            self._decide_batch(batch)
        claims = Claims(self.claims, self.preempted_cores)
        return RoundResult(
            self.decisions, claims, self.lost_claims, self._kept_capacity()
        )

    def _kept_capacity(self) -> KeptCapacity:
        """Return what is left free, and what was kept from units."""
        return KeptCapacity(
            self.plan.free,
            self.reservations,
            self.headroom,
            {worker: free for worker, (free, _) in self.closed.items()},
        )

    def _decide_batch(self, batch: Batch) -> None:
        """Place a step's units until one cannot be placed.

        Units with a claim come first. Units without workers to avoid are
        interchangeable and come before the others, and units that need
        isolation come last. A unit that must not run elsewhere is not waited
        for.
        """
        units = []
        for unit in batch.units:
            if self._is_bound(unit):
                self._start_again(batch, unit)
            else:
                units.append(unit)
        if batch.progress.job_id in self.claimed_jobs:
            units = [u for u in units if not self._follow_claim(batch, u)]
        if batch.step.gang or batch.step.per_worker_limit:
            waiting = sorted(units, key=needs_isolation)
        else:
            identical = [u for u in units if is_interchangeable(u)]
            others = [u for u in units if not is_interchangeable(u)]
            others.sort(key=needs_isolation)
            placed = self._place_identical(batch, identical)
            waiting = identical[placed:] + others
        for unit in waiting:
            if not self._try_place(batch, unit):
                return

    def _is_bound(self, unit: Unit) -> bool:
        """Return whether tasks of a unit may only run where they ran."""
        return unit.earlier_starts.are_open(self.now_s)

    def _start_again(self, batch: Batch, unit: Unit) -> None:
        """Start a unit with the workers of its open starts, if it fits."""
        bound = unit.earlier_starts.bound_workers(self.now_s)
        if not bound or unit.avoid.intersection(bound.values()):
            return
        placement = self._placement_request(batch, unit)
        plan, _ = self._available_plan(batch, placement.alone)
        workers = place_bound(plan, placement, bound)
        if workers is not None:
            self._start(batch, unit, workers)

    def _place_identical(self, batch: Batch, units: list[Unit]) -> int:
        """Start interchangeable units while they fit; return how many."""
        if not units:
            return 0
        plan, shape = self._available_plan(batch)
        if shape in self.unplaceable:
            return 0
        placement = self._placement_request(batch, units[0])
        workers = pack_some(plan, placement, plan.free, len(units))
        for unit, worker in zip(units, workers, strict=False):
            self._start(batch, unit, [worker])
        return len(workers)

    def _try_place(self, batch: Batch, unit: Unit) -> bool:
        """Start a unit, preempt other units for it, or reserve capacity.

        Return whether the unit has capacity, now or soon.
        """
        placement = self._placement_request(batch, unit)
        plan, shape = self._available_plan(batch, placement.alone)
        # Free capacity only shrinks during a round, so a shape that did not
        # fit is not tried again. With a limit per worker, units of the same
        # shape differ, so each of them is tried.
        if batch.step.per_worker_limit or shape not in self.unplaceable:
            workers = place_unit(plan, placement)
            if workers is not None:
                self._start(batch, unit, workers)
                return True
            if not batch.step.per_worker_limit:
                self.unplaceable.add(shape)
        if batch.step.endless and shape.held:
            workers = self._place_on_reserved(placement)
            if workers is not None:
                self._start(batch, unit, workers)
                return True
        is_urgent = batch.queue.priority == URGENT_PRIORITY
        if is_urgent and not needs_isolation(unit):
            if self._place_urgent(batch, unit, placement):
                return True
            if self._place_in_backoff(batch, unit, placement):
                return True
            return self._make_room(batch, unit, placement)
        if self._place_in_backoff(batch, unit, placement):
            return True
        return self._reserve_or_relax(batch, unit, placement, shape)

    def _reserve_or_relax(
        self,
        batch: Batch,
        unit: Unit,
        placement: PlacementRequest,
        shape: UnitShape,
    ) -> bool:
        """Reserve capacity for a unit, or start it against its preferences.

        Return whether it was started, or others are moved for it.
        """
        if self._try_reserve(batch, placement, shape):
            return False
        if self._may_relax(batch):
            if placement.alone:
                return self._place_beside_others(batch, unit)
            if self._place_across_racks(batch, unit, placement):
                return True
        return self._make_room(batch, unit, placement)

    def _place_on_reserved(
        self, placement: PlacementRequest
    ) -> list[str] | None:
        """Return workers for an endless unit, also with reserved capacity.

        Return None unless there is free capacity for two such units: an
        endless unit uses its capacity for good, whenever it starts.
        """
        needed = 2 * placement.step.unit_size
        found = pack_some(self.plan, placement, self.plan.free, needed)
        if len(found) < needed:
            return None
        return place_unit(self.plan, placement)

    def _may_relax(self, batch: Batch) -> bool:
        """Return whether a unit's preferences yield if it cannot be placed.

        While most capacity is in use, only an endless unit does not wait.
        """
        service = batch.progress.job.service
        return batch.step.endless or self._is_mostly_free(service)

    def _place_beside_others(self, batch: Batch, unit: Unit) -> bool:
        """Start a unit for which no worker becomes idle beside other runs.

        It goes where least is in use, and waits while a worker is kept for
        another suspected unit.
        """
        placement = self._placement_request(batch, unit)
        usable = self.plan.workers
        kept = [usable[name] for name in self.closed if name in usable]
        if any(may_run(placement, worker) for worker in kept):
            return False
        placement = placement._replace(
            alone=False, spread=True, prefer=frozenset()
        )
        plan, _ = self._available_plan(batch)
        workers = place_unit(plan, placement)
        if workers is None:
            return self._place_across_racks(batch, unit, placement)
        self._start(batch, unit, workers)
        return True

    def _place_across_racks(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Start a gang for which no rack has capacity in several racks."""
        if not needs_one_rack(self.plan, placement):
            return False
        plan, _ = self._available_plan(batch)
        workers = place_unit(plan, across_racks(placement))
        if workers is None:
            return False
        self._start(batch, unit, workers)
        return True

    def _place_in_backoff(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Start a unit as a last resort with workers in backoff.

        Return whether it fits and has waited long enough.
        """
        if self._place_with_probes(batch, unit, placement):
            return True
        return self._place_overdue(batch, unit, placement)

    def _place_overdue(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Start a unit that has waited too long against its preferences.

        Return whether it fits. Unless its step is endless, nothing else of
        its job may work, and under half of the service may be in use. Where
        that is so and there is capacity for two such units, it is not kept for
        others.
        """
        if not is_overdue(batch, unit, self.now_s):
            return False
        mostly_free = self._is_mostly_free(batch.progress.job.service)
        if not mostly_free and not batch.step.endless:
            return False
        job_id = batch.progress.job_id
        if not batch.step.endless and job_id in self.started_jobs:
            return False
        plan, shape = self._available_plan(batch, placement.alone)
        if shape in self.unplaceable_overdue:
            return False
        workers = self._find_overdue(plan, placement, mostly_free)
        if workers is None and not unit.is_suspected:
            workers = self._place_beside_isolated(placement)
        if workers is None:
            if not batch.step.per_worker_limit:
                self.unplaceable_overdue.add(shape)
            return False
        self._start(batch, unit, workers)
        return True

    def _find_overdue(
        self,
        available: CapacityPlan,
        placement: PlacementRequest,
        may_use_kept: bool,
    ) -> list[str] | None:
        """Return workers for an overdue unit, also those in backoff."""
        plan = self.plan.with_backoff(self.resting.values())
        loose = across_racks(placement)._replace(
            alone=False, spread=placement.alone
        )
        needed = 2 * placement.step.unit_size
        fitting = pack_some(plan, loose, plan.free, needed)
        if not may_use_kept or len(fitting) < needed:
            plan = available.with_backoff(self.resting.values())
        for tried in (placement, across_racks(placement), loose):
            workers = place_unit(plan, tried)
            if workers is not None:
                return workers
        return None

    def _place_beside_isolated(
        self, placement: PlacementRequest
    ) -> list[str] | None:
        """Return workers for an overdue unit, also those kept for others.

        The crash of such a worker counts against the unit too, so it must not
        be suspected itself.
        """
        if not self.closed:
            return None
        plan = self.plan.with_backoff(self.resting.values())
        for worker, (free, _) in self.closed.items():
            plan.release(worker, free)
        return place_unit(plan, across_racks(placement))

    def _place_with_probes(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Start a unit with workers in backoff that may get one unit each.

        Return whether it fits and has waited long enough. Their runs may
        fail, so none of them gets more.
        """
        if not self.probes or not may_use_backoff(batch, unit, self.now_s):
            return False
        plan, shape = self._available_plan(batch, placement.alone)
        if shape in self.unplaceable_in_backoff:
            return False
        plan = plan.with_backoff(self.probes.values())
        workers = place_unit(plan, placement)
        if workers is None and batch.guaranteed and batch.step.one_rack:
            workers = place_unit(plan, across_racks(placement))
        if workers is None:
            if not batch.step.per_worker_limit:
                self.unplaceable_in_backoff.add(shape)
            return False
        self._start(batch, unit, workers)
        return True

    def _is_mostly_free(self, service: str) -> bool:
        """Return whether under half of a service was in use at the start."""
        found = self.mostly_free.get(service)
        if found is None:
            found = is_mostly_free(self.inputs.reachable_capacities, service)
            self.mostly_free[service] = found
        return found

    def _start(self, batch: Batch, unit: Unit, workers: list[str]) -> None:
        self._allocate(batch, workers)
        if batch.step.endless:
            self._hosts_of_endless().update(workers)
        self.started_jobs.add(batch.progress.job_id)
        for position in suspected_positions(unit):
            self.suspects.shared.add(workers[position])
        for position in isolated_positions(unit):
            self._close(workers[position])
        self.decisions.append(StartUnit(batch.progress, unit, workers))

    def _expected_s(self, batch: Batch) -> float:
        return self.inputs.estimator.task_run_time_s(
            batch.queue.name, batch.step
        )

    def _close(self, worker: str) -> None:
        """Let nothing else start on a worker in this round."""
        if worker not in self.closed:
            free = self.plan.close(worker)
            self.closed[worker] = free, self.plan_after_stops.close(worker)

    def _open(self, worker: str) -> None:
        """Let units start again on a worker that was closed."""
        free, free_after_stops = self.closed.pop(worker)
        self.plan.release(worker, free)
        self.plan_after_stops.release(worker, free_after_stops)

    def _open_closed_workers(self) -> bool:
        """Let units start on closed workers; return if there are any."""
        closed = list(self.closed)
        for worker in closed:
            self._open(worker)
        return bool(closed)

    def _available_plan(
        self, batch: Batch, alone: bool = False
    ) -> tuple[CapacityPlan, UnitShape]:
        """Return the capacity that a step's units may use, and their shape."""
        held: list[int] = []
        if batch.queue.priority != URGENT_PRIORITY:
            expected_s = self._expected_s(batch)
            held = [
                number
                for number, each in enumerate(self.reservations)
                if each.after_s < expected_s
            ]
            if HEADROOM_S < expected_s and not self._may_use_headroom(batch):
                held.append(KEPT_HEADROOM)
        step = batch.step
        shape = UnitShape(
            batch.progress.job.service,
            step.required_label,
            step.demand,
            step.unit_size,
            step.gang and step.one_rack,
            tuple(held),
            alone,
        )
        return self._unreserved_plan(shape.held), shape

    def _unreserved_plan(self, held: tuple[int, ...]) -> CapacityPlan:
        """Return the plan without the reservations that must be respected."""
        plan = self.unreserved.get(held)
        if plan is None:
            kept = [
                (
                    self.headroom
                    if number == KEPT_HEADROOM
                    else self.reservations[number]
                )
                for number in held
            ]
            plan = plan_without_reserved(self.plan, kept)
            self.unreserved[held] = plan
        return plan

    def _may_use_headroom(self, batch: Batch) -> bool:
        """Return whether a batch has waited too long beside free capacity."""
        since_s = waiting_since_s(batch.progress, batch.units[0])
        if self.now_s - since_s < HEADROOM_WAIT_S:
            return False
        return self._is_mostly_free(batch.progress.job.service)

    def _keep_headroom(self) -> Reservation:
        """Keep free capacity for the urgent jobs that come next.

        Workers with more free accelerators are kept first, rack by rack, so
        that gangs fit there.
        """
        needed = self.inputs.urgent_load.expected_accelerators(
            HEADROOM_S, self.now_s
        )
        kept: dict[str, Demand] = {}
        free = self.plan.free
        for rack in reversed(racks_by_free(self.plan, 0)):
            names = self.plan.racks[rack]
            for name in sorted(names, key=lambda n: -free[n].accelerators):
                if needed <= 0 or free[name].accelerators <= 0:
                    break
                kept[name] = free[name]
                needed -= free[name].accelerators
        return Reservation(kept, HEADROOM_S)

    def _try_reserve(
        self, batch: Batch, placement: PlacementRequest, shape: UnitShape
    ) -> bool:
        """Reserve capacity for one of the first units that do not fit.

        Return False if it is known that the unit will not fit in time.
        """
        limit_s = RESERVATION_FLOOR_S
        if not self._may_relax(batch):
            limit_s = max(limit_s, self._expected_s(batch))
        if self.unreservable_s.get(shape, 0.0) >= limit_s:
            return False
        is_full = len(self.reservations) >= RESERVATIONS_LIMIT
        if is_full and not self._may_relax(batch):
            return True
        found = reserve(self.plan, placement, self._expected_ends(), limit_s)
        if found is None:
            self.unreservable_s[shape] = limit_s
            return False
        if not is_full:
            self.reservations.append(found)
        return True

    def _expected_ends(self) -> list[ExpectedEnd]:
        """Return the expected ends of the running units, the first first."""
        if self.expected_ends is None:
            ends = (
                ExpectedEnd(
                    unit.workers(),
                    progress.step_of(unit).demand,
                    self._remaining_run_s(progress, unit),
                )
                for progress, unit in self._running()
            )
            self.expected_ends = sorted(ends, key=lambda e: e.remaining_s)
        return self.expected_ends

    def _running(self) -> list[tuple[JobProgress, Unit]]:
        """Return the units that run at the start of the round."""
        if self.running is None:
            self.running = [
                (progress, unit)
                for progress in self.inputs.jobs
                for unit in progress.all_units()
                if unit.members
            ]
        return self.running

    def _remaining_run_s(self, progress: JobProgress, unit: Unit) -> float:
        """Return the remaining time of a run, by its pace or its estimate.

        It is infinite if the run never ends by itself, or if it is overdue
        and shows no pace.
        """
        if unit.stopping or unit.done:
            return STOP_TIME_S
        step = progress.step_of(unit)
        if step.endless:
            return inf
        remaining_s = remaining_run_s(unit, self.now_s)
        if remaining_s is not None:
            return remaining_s
        queue = progress.job.queue
        whole_s = self.inputs.estimator.task_run_time_s(queue, step)
        remaining_s = whole_s - (self.now_s - unit.started_s)
        if remaining_s < -OVERDUE_LIMIT_S:
            return inf
        return max(STOP_TIME_S, remaining_s)

    def _place_urgent(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Find capacity for an urgent unit; return whether it was found.

        The capacity may still be in use by runs that end soon. For a job that
        is covered by its team's guarantee, a gang for which no rack has
        capacity in time is spread over several racks, where it runs slower.
        """
        if self._try_preempt(batch, unit, placement):
            return True
        if batch.guaranteed or self._may_relax(batch):
            if self._place_across_racks(batch, unit, placement):
                return True
        return batch.guaranteed and self._reclaim(batch, unit, placement)

    def _reclaim(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Find capacity that a guarantee covers; return whether it was found.

        Less urgent units lose their claims first. Endless units are moved or
        preempted if nothing else frees enough, then covered units with smaller
        tasks. Then uncovered units lose their claims, and at last the
        isolation of suspected units ends.
        """
        if self._drop_uncovered_claims(urgent=False):
            return self._place_urgent(batch, unit, placement)
        if needs_one_rack(self.plan, placement):
            placement = across_racks(placement)
            if self._try_preempt(batch, unit, placement):
                return True
        if self._reclaim_from_endless(batch, unit, placement):
            return True
        if self._try_preempt(batch, unit, placement, SMALLER):
            return True
        if not self._drop_uncovered_claims(urgent=True):
            if not self._open_closed_workers():
                return False
        return self._place_urgent(batch, unit, placement)

    def _reclaim_from_endless(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Move or preempt endless units for a unit, as their limits allow."""
        if self._make_room(batch, unit, placement):
            return True
        if not self._preemptable_endless(batch):
            return False
        return self._try_preempt(batch, unit, placement, ENDLESS)

    def _try_preempt(
        self,
        batch: Batch,
        unit: Unit,
        placement: PlacementRequest,
        added: str = "",
    ) -> bool:
        """Preempt runs for a unit, or wait for runs that end in time.

        Return whether the unit has capacity, now or soon.
        """
        workers = place_unit(self.plan_after_stops, placement)
        if workers is not None:
            self._claim(batch, unit, new_claim(workers, self.now_s))
            return True
        if self._wait_for_ends(batch, placement):
            return True
        if not self._may_preempt(batch, unit):
            return False
        victims = self._victims(batch, added)
        if added == ENDLESS:
            victims += self._preemptable_endless(batch)
        chosen = find_preemption(self.plan_after_stops, placement, victims)
        if chosen is None:
            return False
        self._stop_victims(batch, unit, chosen.victims)
        self._claim(batch, unit, new_claim(chosen.workers, self.now_s))
        return True

    def _may_preempt(self, batch: Batch, unit: Unit) -> bool:
        """Return whether to search for runs to stop for a unit.

        The number of searches is limited for each round, and the preempted
        work for each unit that no guarantee covers.
        """
        if self.preemption_searches >= PREEMPTION_SEARCH_LIMIT:
            return False
        self.preemption_searches += 1
        if batch.guaranteed:
            return True
        key = key_of(batch.progress, unit)
        cores = batch.step.demand.cores * batch.step.unit_size
        limit_cores = PREEMPTION_FACTOR * cores
        return self.preempted_cores.get(key, 0.0) < limit_cores

    def _stop_victims(
        self, batch: Batch, unit: Unit, victims: list[Victim]
    ) -> None:
        key = key_of(batch.progress, unit)
        for victim in victims:
            self._stop(batch, victim, moves=False)
            cores = victim.demand.cores * len(victim.task_workers)
            earlier_cores = self.preempted_cores.get(key, 0.0)
            self.preempted_cores[key] = earlier_cores + cores

    def _stop(self, batch: Batch, victim: Victim, moves: bool) -> None:
        self.stopped.add(id(victim.unit))
        self.movable = None
        self.decisions.append(
            StopUnit(
                victim.progress, victim.unit, batch.progress.job_id, moves
            )
        )
        for worker in victim.task_workers:
            self.plan_after_stops.release(worker, victim.demand)

    # Moves of endless units.

    def _make_room(
        self, batch: Batch, unit: Unit, placement: PlacementRequest
    ) -> bool:
        """Move endless units to other workers if a unit then fits.

        Return whether the unit is to start where they were. If a step's limit
        allows fewer moves at once than the unit needs, the others follow in
        later rounds.
        """
        if placement.alone or not self._movable_units():
            return False
        since_s = waiting_since_s(batch.progress, unit)
        if not batch.guaranteed and self.now_s - since_s < MOVE_WAIT_S:
            return False
        plan, _ = self._available_plan(batch)
        found = self._find_clearance(batch, plan, placement)
        if found is None:
            return False
        moves = first_moves(found.moves, self.stopped)
        is_whole = len(moves) == len(found.moves)
        if not is_whole and self._moves_are_under_way():
            return False
        if self.moved_tasks + task_count(moves) > MOVED_TASKS_LIMIT:
            return False
        for move in moves:
            self._move(batch, move)
        if is_whole:
            self._claim(batch, unit, new_claim(found.workers, self.now_s))
        return is_whole

    def _find_clearance(
        self, batch: Batch, plan: CapacityPlan, placement: PlacementRequest
    ) -> Clearance | None:
        """Return the moves that make room for a unit, or None.

        A gang is spread over racks if no rack can be cleared. The number of
        searches is limited for each round.
        """
        kind, size = kind_of(plan, placement), placement.step.unit_size
        if self.move_searches >= MOVE_SEARCH_LIMIT:
            return None
        if self.room_checks >= ROOM_CHECKS_LIMIT:
            return None
        unit = batch.units[0]
        group = batch.progress.job_id, unit.occurrence, unit.step
        if group in self.unmovable_steps:
            return None
        if self.unmovable.covers(kind, size, 0.0):
            return None
        found = None
        self.room_checks += 1
        movable = self._movable_units()
        if has_room(plan, placement, movable) and not place_unit(
            self.plan, placement
        ):
            self.move_searches += 1
            requests = [placement]
            if kind.in_one_rack and self._may_relax(batch):
                requests.append(across_racks(placement))
            found = best_clearance(plan, requests, movable, self._request_of)
        if found is None and placement.step.per_worker_limit:
            self.unmovable_steps.add(group)
        elif found is None:
            self.unmovable.add(kind, size, 0.0)
        return found

    def _movable_units(self) -> list[Victim]:
        """Return the endless units that may be stopped to run elsewhere."""
        if self.movable is None:
            self.movable = movable_units(
                self._running_endless(), self.stopped, self.now_s
            )
        return self.movable

    def _running_endless(self) -> list[tuple[JobProgress, Unit]]:
        """Return the endless units that run at the start of the round."""
        if self.running_endless is None:
            self.running_endless = [
                (progress, unit)
                for progress, unit in self._running()
                if progress.step_of(unit).endless
            ]
        return self.running_endless

    def _moves_are_under_way(self) -> bool:
        """Return whether an endless unit is being stopped."""
        return any(
            unit.stopping or id(unit) in self.stopped
            for _, unit in self._running_endless()
        )

    def _move(self, batch: Batch, move: Move) -> None:
        """Stop a unit, and hold the room where it is to go on."""
        victim = move.victim
        self.moved_tasks += len(move.workers)
        self._stop(batch, victim, moves=True)
        key = key_of(victim.progress, victim.unit)
        claim = new_claim(move.workers, self.now_s)
        self._hold(key, claim, victim.demand)

    def _request_of(self, victim: Victim) -> PlacementRequest:
        """Return the constraints on where a unit to move goes on."""
        progress, unit = victim.progress, victim.unit
        step = progress.step_of(unit)
        counts: dict[str, int] = {}
        if step.per_worker_limit:
            counts = self._count_tasks(progress, unit)
            for worker in victim.task_workers:
                counts[worker] -= 1
        return PlacementRequest(
            step,
            progress.job.service,
            frozenset(unit.avoid),
            counts,
            prefer=self._hosts_of_endless(),
        )

    def _preemptable_endless(self, batch: Batch) -> list[Victim]:
        """Return the endless units that a guaranteed unit may preempt."""
        return [
            victim
            for victim in endless_victims(
                self._running_endless(), self.stopped
            )
            if self._may_stop(batch, victim.progress)
        ]

    # Claims.

    def _renew_claims(self, batches: list[Batch]) -> None:
        """Hold the capacity of the claims whose units still wait."""
        before = self.inputs.claims
        keys = before.by_unit.keys() | before.preempted_cores.keys()
        job_ids = {key.job_id for key in keys}
        for batch in batches:
            if batch.progress.job_id not in job_ids:
                continue
            for unit in batch.units:
                key = key_of(batch.progress, unit)
                if key in before.preempted_cores:
                    self.preempted_cores[key] = before.preempted_cores[key]
                claim = before.by_unit.get(key)
                if claim is not None and not self._is_bound(unit):
                    claim = observe(claim, self.plan, self.now_s)
                    self._claim(batch, unit, claim)
        self.claimed_jobs = {key.job_id for key in self.claims}
        if before.by_unit.keys() - self.claims.keys():
            self._renew_claims_of_moves()

    def _renew_claims_of_moves(self) -> None:
        """Hold the claims of units that are stopped to run elsewhere."""
        for progress, unit in self._running_endless():
            if not unit.stopping or progress.cancelled or progress.failed:
                continue
            key = key_of(progress, unit)
            claim = self.inputs.claims.by_unit.get(key)
            if claim is None or is_expired(claim, self.now_s):
                continue
            claim = observe(claim, self.plan, self.now_s)
            self._hold(key, claim, progress.step_of(unit).demand)

    def _claim(self, batch: Batch, unit: Unit, claim: Claim) -> None:
        """Hold a claim's capacity, so that no other unit uses it."""
        key = key_of(batch.progress, unit)
        self._hold(key, claim, batch.step.demand)

    def _hold(self, key: UnitKey, claim: Claim, demand: Demand) -> None:
        self.claims[key] = claim
        for worker in claim.workers:
            if worker in self.closed:
                self._open(worker)
            if worker in self.plan.workers:
                self.plan.allocate(worker, demand)
                self.plan_after_stops.allocate(worker, demand)

    def _release_claim(self, key: UnitKey, claim: Claim, step: Step) -> None:
        """End a claim; its capacity is available again."""
        del self.claims[key]
        for worker in claim.workers:
            self.plan.release(worker, step.demand)
            self.plan_after_stops.release(worker, step.demand)

    def _follow_claim(self, batch: Batch, unit: Unit) -> bool:
        """Start a unit with a claim, or go on waiting for the capacity.

        Return False if the unit has no claim, or no longer.
        """
        key = key_of(batch.progress, unit)
        claim = self.claims.get(key)
        if claim is None:
            return False
        if needs_isolation(unit):
            self._release_claim(key, claim, batch.step)
            return False
        if is_ready(claim, self.plan):
            # The unit's run takes over the capacity that the claim held.
            del self.claims[key]
            start = StartUnit(batch.progress, unit, claim.workers)
            self.decisions.append(start)
            return True
        placement = self._placement_request(batch, unit)
        failed_on = placement._replace(avoid=frozenset(unit.avoid))
        lost = self._find_losses(batch, unit, claim, failed_on)
        kept = Claim(tuple(t for t in claim.tasks if t not in lost))
        self._release_claim(key, claim, batch.step)
        for task in lost:
            self._distrust_stops(task.worker)
        plan, _ = self._available_plan(batch, placement.alone)
        workers = place_unit(plan, placement)
        if workers is not None:
            self._start(batch, unit, workers)
            return True
        self._claim(batch, unit, kept)
        if not lost:
            return True
        is_urgent = batch.queue.priority == URGENT_PRIORITY
        if is_urgent and self._replace_lost(
            batch, unit, kept, lost, placement
        ):
            return True
        self._release_claim(key, kept, batch.step)
        return False

    def _find_losses(
        self,
        batch: Batch,
        unit: Unit,
        claim: Claim,
        placement: PlacementRequest,
    ) -> list[ClaimedTask]:
        """Return the claimed tasks whose workers have to be given up."""
        lost = []
        for task in claim.tasks:
            reason = loss_reason(
                task, placement, self.plan, self.plan_after_stops, self.now_s
            )
            if reason:
                lost.append(task)
                self.lost_claims.append(
                    ClaimLoss(batch.progress, unit, task.worker, reason)
                )
        return lost

    def _distrust_stops(self, worker: str) -> None:
        """Expect no capacity from the stops on a worker in this round."""
        if worker in self.plan.free:
            self.plan_after_stops.free[worker] = self.plan.free[worker]

    def _replace_lost(
        self,
        batch: Batch,
        unit: Unit,
        kept: Claim,
        lost: list[ClaimedTask],
        placement: PlacementRequest,
    ) -> bool:
        """Claim other workers for the lost tasks of a claim.

        Return whether there are any. The tasks that are kept stay.
        """
        names = self._names_beside(kept, placement)
        names -= {task.worker for task in lost}
        if not kept.tasks or not names or not self._may_preempt(batch, unit):
            return False
        victims = self._victims(batch)
        search = PreemptionSearch(
            self.plan_after_stops, placement, victims_by_worker(victims)
        )
        chosen = search.search(sorted(names), len(lost))
        if chosen is None:
            return False
        self._stop_victims(batch, unit, chosen.victims)
        added = new_claim(chosen.workers, self.now_s)
        self._release_claim(key_of(batch.progress, unit), kept, batch.step)
        self._claim(batch, unit, Claim(kept.tasks + added.tasks))
        return True

    def _names_beside(
        self, kept: Claim, placement: PlacementRequest
    ) -> set[str]:
        """Return the workers on which the rest of a claimed unit may run.

        A gang that is in one rack so far stays there.
        """
        racks = {
            self.plan.workers[worker].rack
            for worker in kept.workers
            if worker in self.plan.workers
        }
        if len(racks) == 1 and needs_one_rack(self.plan, placement):
            return set(self.plan.racks[racks.pop()])
        return set(self.plan.workers)

    def _drop_uncovered_claims(self, urgent: bool) -> bool:
        """End the claims of units that no guarantee covers.

        Return whether there were any. Claims of urgent units end only if
        ``urgent`` is set.
        """
        claims = [key for key in self.claims if key.job_id not in self.covered]
        if not claims:
            return False
        jobs = {progress.job_id: progress for progress in self.inputs.jobs}
        found = [
            key
            for key in claims
            if urgent
            or queue_of(self.inputs, jobs[key.job_id]).priority
            != URGENT_PRIORITY
        ]
        for key in found:
            step = jobs[key.job_id].job.declaration.steps[key.step]
            self._release_claim(key, self.claims[key], step)
        return bool(found)

    def _wait_for_ends(
        self, batch: Batch, placement: PlacementRequest
    ) -> bool:
        """Reserve capacity for an urgent unit if enough runs end in time.

        Return whether that is the case.
        """
        age_s = self.now_s - batch.progress.due_s(batch.units[0].occurrence)
        slack_s = slack_of(self.inputs, batch, self.now_s)
        limit_s = min(WAIT_LIMIT_S, WAIT_SHARE * slack_s)
        if age_s >= WAIT_AGE_LIMIT_S or limit_s <= 0:
            return False
        found = reserve(
            self.plan_after_stops, placement, self._expected_ends(), limit_s
        )
        if found is None:
            return False
        for worker, demand in found.kept.items():
            self.plan.allocate(worker, demand)
            self.plan_after_stops.allocate(worker, demand)
        return True

    def _allocate(self, batch: Batch, workers: list[str]) -> None:
        for worker in workers:
            if worker not in self.plan.workers:
                self._allocate_resting(worker, batch.step.demand)
                continue
            self.plan.allocate(worker, batch.step.demand)
            self.plan_after_stops.allocate(worker, batch.step.demand)

    def _allocate_resting(self, worker: str, demand: Demand) -> None:
        """Allocate the demand of a task on a worker in backoff."""
        self.probes.pop(worker, None)
        capacity = self.resting.get(worker)
        if capacity is not None:
            free = capacity.free.minus(demand)
            self.resting[worker] = capacity._replace(free=free)

    def _placement_request(self, batch: Batch, unit: Unit) -> PlacementRequest:
        task_counts: dict[str, int] = {}
        if batch.step.per_worker_limit:
            task_counts = self._count_tasks(batch.progress, unit)
        avoid = frozenset(unit.avoid)
        if unit.is_suspected:
            avoid |= self.suspects.shared
            avoid |= self.inputs.crashed_workers
        return PlacementRequest(
            batch.step,
            batch.progress.job.service,
            avoid,
            task_counts,
            waits_for_idle_workers(unit, batch.step, self.now_s),
            self.inputs.crashed_workers,
            prefer=(
                self._hosts_of_endless() if batch.step.endless else frozenset()
            ),
        )

    def _hosts_of_endless(self) -> set[str]:
        """Return the workers that endless tasks should fill first."""
        if self.endless_hosts is None:
            self.endless_hosts = hosts_of_endless(
                self.plan, self._running_endless()
            )
        return self.endless_hosts

    def _count_tasks(
        self, progress: JobProgress, unit: Unit
    ) -> dict[str, int]:
        """Return a step's tasks per worker, including those just started.

        The tasks that are to start on claimed capacity count as well.
        """
        counts: dict[str, int] = {}
        units = progress.units_of(unit.occurrence, unit.step)
        for unit in units:
            for member in unit.members:
                if not member.ended:
                    counts[member.worker] = counts.get(member.worker, 0) + 1
        for sibling in units:
            claim = self.claims.get(key_of(progress, sibling))
            for worker in claim.workers if claim else ():
                counts[worker] = counts.get(worker, 0) + 1
        for decision in self.decisions:
            if not isinstance(decision, StartUnit):
                continue
            if decision.progress is progress and decision.unit in units:
                for worker in decision.workers:
                    counts[worker] = counts.get(worker, 0) + 1
        return counts

    def _victims(self, batch: Batch, added: str = "") -> list[Victim]:
        """Return the running units that a batch's unit may preempt.

        With ``SMALLER`` added, they include covered units whose tasks need
        fewer accelerators. Those can be placed again on workers with too few
        free accelerators for this unit, and never preempt it in turn.
        """
        allowed = self._preemptable_jobs(batch)
        limit = batch.step.demand.accelerators if added == SMALLER else 0
        return [
            victim
            for victim in self._stoppable()
            if id(victim.unit) not in self.stopped
            and (
                victim.progress.job_id in allowed
                or victim.demand.accelerators < limit
            )
        ]

    def _preemptable_jobs(self, batch: Batch) -> set[str]:
        """Return the IDs of the jobs that a batch's units may preempt."""
        key = batch.queue.priority, batch.guaranteed
        if key not in self.preemptable:
            self.preemptable[key] = {
                progress.job_id
                for progress in self.inputs.jobs
                if self._may_stop(batch, progress)
            }
        return self.preemptable[key]

    def _stoppable(self) -> list[Victim]:
        """Return the units that run and are not endless or being stopped.

        An endless step serves its users continuously.
        """
        if self.stoppable is None:
            self.stoppable = [
                self._victim(progress, unit)
                for progress, unit in self._running()
                if not unit.stopping
                and not unit.done
                and not progress.step_of(unit).endless
            ]
        return self.stoppable

    def _may_stop(self, batch: Batch, progress: JobProgress) -> bool:
        """Return whether a batch's units may preempt a job's units."""
        priority = queue_of(self.inputs, progress).priority
        if priority > batch.queue.priority:
            return True
        if progress.job_id in self.covered:
            return False
        # Urgent work beyond its team's guarantee is preempted for urgent work
        # that is covered by a guarantee.
        return batch.guaranteed

    def _victim(self, progress: JobProgress, unit: Unit) -> Victim:
        step = progress.step_of(unit)
        repeats = min(unit.run - 1, COUNTED_REPEATS_LIMIT)
        ran_s = self.now_s - unit.started_s
        if step.checkpoints:
            # A stop writes a checkpoint, from which the next start resumes.
            ran_s = min(ran_s, RESTORE_TIME_S)
        cost = ran_s * step.demand.cores * step.unit_size
        cost *= REPEAT_FACTOR**repeats
        return Victim(progress, unit, step.demand, unit.workers(), cost)

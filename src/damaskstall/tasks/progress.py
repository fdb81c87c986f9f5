"""Track the progress of jobs, unit by unit.

The classes here are the in-memory state of the holder. ``job_rows.py`` encodes
the part of it that must outlive the holder as the value of the job's row.
"""

from collections.abc import Iterator

from damaskstall.crash_record import CrashRecord
from damaskstall.tasks.earlier_starts import EarlierStarts
from damaskstall.tasks.model import (
    CANCELLED,
    COMPLETED,
    FAILED,
    FINAL_STATES,
    QUEUED,
    RUNNING,
    AcceptedJob,
    JobTerms,
    RunKey,
    Step,
    TaskKey,
)
from damaskstall.tasks.pace import PaceHistory

# Outcomes of the run of one task, as the worker reports them. Any other
# outcome only means that the task has to run again.
ENDED_DONE = "done"
ENDED_FAILED = "failed"
# The run's lease expired, or its worker ended or no longer lists the run.
ENDED_LAPSED = "lapsed"
# The run never started, so it does not count as an attempt.
ENDED_NOT_STARTED = "not_started"


def is_reported(how: str) -> bool:
    """Return whether an outcome can only be known from a run's worker."""
    return how not in ("", ENDED_LAPSED, ENDED_NOT_STARTED)


class Member:
    """One task of a unit's present run.

    ``worker`` and ``incarnation`` identify the worker on which the run was
    placed. ``ended`` is the outcome, empty while the run may exist.
    ``confirmed`` states that the worker has reported the run as running, and
    ``settled`` that it has answered each start command of the run, so that
    none can be carried out late. ``reported_s`` is when the worker last
    reported the run as running, on the local clock.
    """

    __slots__ = (
        "worker",
        "incarnation",
        "ended",
        "confirmed",
        "settled",
        "reported_s",
        "pace",
    )

    def __init__(self, worker: str, incarnation: int) -> None:
        """Create a member whose run is placed on a worker."""
        self.worker = worker
        self.incarnation = incarnation
        self.ended = ""
        self.confirmed = False
        self.settled = False
        self.reported_s = float("-inf")
        self.pace = PaceHistory()


class Unit:
    """The state of one unit.

    ``run`` is the number of the newest run, 0 before the first, and
    ``failed_run`` that of the newest run that failed. ``stored_run`` is the
    newest run known to be in the table; a later one has not been launched.
    ``members`` is empty while no run may exist. ``stopping`` states that the
    run is being stopped, and ``has_begun`` that a worker has started a task of
    the unit: it answered a start, listed a run or reported its end.
    ``ended_s`` is when a member of a run that had started last ended, as far
    as this holder knows.
    ``avoid`` names workers on which a run failed or stalled, and
    ``crash_records`` has by position the tasks whose worker may have crashed;
    ``adopted_run`` is the newest run that another holder placed. The unit is
    not started before ``held_until_s``.
    ``earlier_starts`` has the starts of ended runs that may be carried out.
    """

    __slots__ = (
        "occurrence",
        "step",
        "first_index",
        "run",
        "stored_run",
        "failures",
        "failed_run",
        "checkpoint",
        "done",
        "members",
        "stopping",
        "started_s",
        "ended_s",
        "avoid",
        "crash_records",
        "adopted_run",
        "held_until_s",
        "has_begun",
        "earlier_starts",
    )

    def __init__(self, occurrence: int, step: int, first_index: int) -> None:
        """Create a unit without runs."""
        self.occurrence = occurrence
        self.step = step
        self.first_index = first_index
        self.run = 0
        self.stored_run = 0
        self.failures = 0
        self.failed_run = 0
        self.checkpoint = ""
        self.done = False
        self.members: list[Member] = []
        self.stopping = False
        self.started_s = 0.0
        self.ended_s = 0.0
        self.avoid: set[str] = set()
        self.crash_records: dict[int, CrashRecord] = {}
        self.adopted_run = 0
        self.held_until_s = float("-inf")
        self.has_begun = False
        self.earlier_starts = EarlierStarts()

    @property
    def active(self) -> bool:
        """Return whether a run of the unit may exist."""
        return bool(self.members)

    @property
    def superseded(self) -> bool:
        """Return whether another run than the present one is done.

        The present run is then stopped. A run of which any member is done
        ends by itself.
        """
        if not self.done or not self.active:
            return False
        return all(m.ended != ENDED_DONE for m in self.members)

    @property
    def percent(self) -> float:
        """Return the percentage of the run, that of its slowest member."""
        return min((m.pace.percent for m in self.members), default=0.0)

    @property
    def is_suspected(self) -> bool:
        """Return whether a worker has crashed under any of the tasks."""
        return any(record.crashed for record in self.crash_records.values())

    def crash_record(self, position: int) -> CrashRecord:
        """Return the record of the task at a position, created if needed."""
        return self.crash_records.setdefault(position, CrashRecord())

    def observed_s(self, member: Member) -> float:
        """Return how long a member's run is known to have lasted."""
        return max(0.0, member.reported_s - self.started_s)

    def workers(self) -> tuple[str, ...]:
        """Return the worker of each task whose run may exist."""
        return tuple(m.worker for m in self.members if not m.ended)


class JobProgress:
    """One accepted job and the state of its units.

    ``revision`` is the revision of the job's row as last read or written.
    ``changes`` counts the changes in memory, and ``stored_changes`` how many
    of them the row contains. ``terms`` are the last ones of its queue, None if
    they are not known.
    """

    def __init__(
        self,
        job: AcceptedJob,
        revision: int,
        accepted_s: float,
        first_due_s: float | None = None,
    ) -> None:
        """Create the progress of a job without runs.

        The times are on the local clock; ``first_due_s`` is when the first
        occurrence of a job with a schedule is due.
        """
        self.job = job
        self.terms = job.terms
        self.revision = revision
        self.accepted_s = accepted_s
        self.cancelled = False
        self.failed = False
        # Unix time at which the job finished, None before.
        self.over_unix_s: float | None = None
        # The units under which a worker has crashed.
        self.suspects: list[Unit] = []
        self.changes = 0
        self.stored_changes = 0
        self.first_due_s = accepted_s if first_due_s is None else first_due_s
        # The steps of the first occurrence, then those of the next, and so on.
        self.units = [
            make_units(occurrence, number, step)
            for occurrence in range(job.declaration.occurrences)
            for number, step in enumerate(job.declaration.steps)
        ]

    @property
    def job_id(self) -> str:
        """Return the ID of the job."""
        return self.job.job_id

    def step_of(self, unit: Unit) -> Step:
        """Return the step that a unit belongs to."""
        return self.job.declaration.steps[unit.step]

    def all_units(self) -> Iterator[Unit]:
        """Yield every unit of every step."""
        for units in self.units:
            yield from units

    def task_key(self, unit: Unit, position: int) -> TaskKey:
        """Return the key of one member's task."""
        index = unit.first_index + position
        return TaskKey(self.job_id, unit.occurrence, unit.step, index)

    def run_key(self, unit: Unit, position: int) -> RunKey:
        """Return the key of one member's present run."""
        return RunKey(self.task_key(unit, position), unit.run)

    def find(self, task: TaskKey) -> tuple[Unit, int] | None:
        """Return the unit of a task and its position there, if it exists."""
        steps = self.job.declaration.steps
        if not 0 <= task.step < len(steps):
            return None
        if not 0 <= task.occurrence < self.job.declaration.occurrences:
            return None
        units = self.units_of(task.occurrence, task.step)
        step = steps[task.step]
        if not 0 <= task.task_index < step.task_count:
            return None
        if step.gang:
            return units[0], task.task_index
        return units[task.task_index], 0

    def units_of(self, occurrence: int, step: int) -> list[Unit]:
        """Return the units of a step in one occurrence."""
        return self.units[occurrence * len(self.job.declaration.steps) + step]

    def due_s(self, occurrence: int) -> float:
        """Return when an occurrence is due, on the local clock."""
        schedule = self.job.declaration.schedule
        if schedule is None:
            return self.first_due_s
        return self.first_due_s + occurrence * schedule.interval_s

    def step_done(self, occurrence: int, number: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(unit.done for unit in self.units_of(occurrence, number))

    def waiting_steps(self, now_s: float) -> Iterator[list[Unit]]:
        """Yield, by step, the units that are due, unblocked and not running.

        A step without such units is skipped.
        """
        if self.cancelled or self.failed:
            return
        for units in self.units:
            occurrence = units[0].occurrence
            if now_s < self.due_s(occurrence):
                return
            waiting = [
                unit
                for unit in units
                if not (unit.done or unit.members)
                and now_s >= unit.held_until_s
            ]
            if not waiting:
                continue
            after = self.step_of(units[0]).after
            if all(self.step_done(occurrence, n) for n in after):
                yield waiting

    def state(self) -> str:
        """Return the job's state as clients see it."""
        if all(unit.done for unit in self.all_units()):
            return COMPLETED
        if self.cancelled:
            return CANCELLED
        if self.failed:
            return FAILED
        if any(unit.has_begun for unit in self.all_units()):
            return RUNNING
        return QUEUED

    def is_finished(self) -> bool:
        """Return whether the job is in a final state and no run may exist."""
        if self.state() not in FINAL_STATES:
            return False
        return not self.has_active_units()

    def has_active_units(self) -> bool:
        """Return whether a run of any unit may exist."""
        return any(unit.active for unit in self.all_units())

    def count_change(self) -> int:
        """Count a change that is not yet in the row; return its number."""
        self.changes += 1
        return self.changes

    def begin_run(
        self, unit: Unit, workers: list[tuple[str, int]], now_s: float
    ) -> None:
        """Begin a unit's next run on workers, given as (name, incarnation)."""
        unit.run += 1
        unit.members = [Member(*worker) for worker in workers]
        unit.stopping = False
        unit.started_s = now_s
        unit.earlier_starts.begin_run(now_s)
        self.count_change()

    def record_begun(self, unit: Unit) -> bool:
        """Record that a task of a unit has started; return whether it is new.

        That a run was placed, or has lapsed, does not show it: its start may
        have been refused or lost.
        """
        if unit.has_begun:
            return False
        unit.has_begun = True
        self.count_change()
        return True

    def end_member(
        self, unit: Unit, position: int, how: str, attempt_limit: int
    ) -> bool:
        """Record a member's outcome; return whether it was unknown before.

        A gang is done as soon as one of its members is.
        """
        member = unit.members[position]
        if member.ended:
            return False
        member.ended = how
        endless = self.step_of(unit).endless
        if is_reported(how):
            unit.has_begun = True
        if how == ENDED_DONE and not endless:
            unit.done = True
        if how == ENDED_FAILED and not endless:
            unit.avoid.add(member.worker)
            self._count_failure(unit, unit.run, attempt_limit)
        self._record_end(unit, position, how)
        if all(other.ended for other in unit.members):
            unit.members = []
            unit.stopping = False
            self._give_up_suspect(unit)
        self.count_change()
        return True

    def set_terms(self, terms: JobTerms) -> bool:
        """Set the job's terms; return whether they or its state changed.

        The job fails if a task has failed as often as they allow.
        """
        changed = terms != self.terms
        self.terms = terms
        if not self.failed and self._has_no_attempt_left(terms):
            self.failed = changed = True
        return changed

    def _has_no_attempt_left(self, terms: JobTerms) -> bool:
        return any(
            unit.failures >= max(1, terms.attempt_limit)
            for unit in self.all_units()
            if unit.failures and not unit.done
        )

    def _record_end(self, unit: Unit, position: int, how: str) -> None:
        """Record whether the end of a run shows that its worker was up.

        The worker of an adopted run may have crashed, and have started again,
        before it answered this holder.
        """
        is_adopted = unit.run == unit.adopted_run
        if is_reported(how):
            if position in unit.crash_records:
                unit.crash_records[position].record_harmless(unit.run)
        elif how == ENDED_LAPSED or is_adopted:
            unit.crash_record(position).record_unobserved(unit.run)

    def record_crash(
        self,
        unit: Unit,
        position: int,
        run: int,
        ran_s: float,
        doubtful: bool = False,
    ) -> bool:
        """Record that a worker crashed under a task's run, after ``ran_s``.

        Return whether that was unknown. A crash is ``doubtful`` if the worker
        may well have crashed without the run.
        """
        if unit.done:
            return False
        record = unit.crash_record(position)
        if not record.record_crash(run, ran_s, doubtful):
            return False
        self._add_suspect(unit)
        self._give_up_suspect(unit)
        self.count_change()
        return True

    def add_crashes(
        self, unit: Unit, position: int, record: CrashRecord
    ) -> None:
        """Add what another holder knew of the crashes under a task."""
        unit.crash_record(position).merge(record)
        self._add_suspect(unit)

    def _add_suspect(self, unit: Unit) -> None:
        if unit.is_suspected and unit not in self.suspects:
            self.suspects.append(unit)

    def _give_up_suspect(self, unit: Unit) -> None:
        """Fail the job if too many workers have crashed under a task.

        A run that goes on may still succeed.
        """
        if unit.done or any(not m.ended for m in unit.members):
            return
        if any(each.is_given_up() for each in unit.crash_records.values()):
            self.failed = True

    def record_late_end(
        self, unit: Unit, run: int, how: str, attempt_limit: int
    ) -> bool:
        """Record the outcome of a run that is over for this holder.

        Return whether that had an effect: the task is done although it was
        to run again, or a failure had not been counted.
        """
        if unit.done or self.step_of(unit).endless:
            return False
        unit.has_begun = unit.has_begun or is_reported(how)
        if how == ENDED_DONE:
            unit.done = True
        elif how == ENDED_FAILED and run > unit.failed_run:
            self._count_failure(unit, run, attempt_limit)
        else:
            return False
        self.count_change()
        return True

    def _count_failure(self, unit: Unit, run: int, attempt_limit: int) -> None:
        """Count a failed run once, however many members report it."""
        if unit.failed_run == run or unit.done:
            return
        unit.failed_run = run
        unit.failures += 1
        if unit.failures >= attempt_limit:
            self.failed = True


def make_units(occurrence: int, number: int, step: Step) -> list[Unit]:
    """Return the new units of a step, without runs."""
    size = step.unit_size
    return [
        Unit(occurrence, number, index * size) for index in range(step.units)
    ]

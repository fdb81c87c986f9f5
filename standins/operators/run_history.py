"""Record every run on the stand-in workers, and decide how long runs take.

Tests check the recorded runs. A gang makes progress only once all its members
have started, and all its members end together.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

TICK_S = 0.02
GANG_WAIT_S = 3.0
STOP_S = 0.1
CHECKPOINT_S = 0.5
RESTORE_S = 0.1
CROSS_RACK_FACTOR = 3.0


class TaskName(NamedTuple):
    """The parts of a task's name in the protocol: ID.K.STEP.INDEX."""

    job_id: str
    occurrence: int
    step: int
    task_index: int


def parse_task_name(text: str) -> TaskName:
    """Return the parts of a task's name."""
    job_id, occurrence, step, index = text.split(".")
    return TaskName(job_id, int(occurrence), int(step), int(index))


class Run:
    """One run of a task on one worker.

    ``how`` is its outcome, ``stop_s`` when a requested stop takes effect and
    ``acknowledged_s`` when the outcome was acknowledged. ``lease_lapsed``
    states that the worker's lease expired between the two: such an outcome
    never counts as acknowledged.
    """

    def __init__(
        self,
        task: str,
        run: int,
        worker: str,
        started_s: float,
        saved_s: float,
    ) -> None:
        """Begin a run that resumes after ``saved_s`` of work."""
        self.task = task
        self.name = parse_task_name(task)
        self.run = run
        self.worker = worker
        self.started_s = started_s
        self.worked_s = saved_s
        self.restore_s = RESTORE_S if saved_s else 0.0
        self.stop_s: float | None = None
        self.ended_s: float | None = None
        self.how = ""
        self.acknowledged_s: float | None = None
        self.lease_lapsed = False
        self.stalled = False


# Returns the outcome of a run that has worked long enough: "done" or "failed".
OutcomeChooser = Callable[[Run], str]


class RunHistory:
    """The submitted jobs, the recorded runs and the work that each needs.

    ``work_s`` overrides the estimated run time of a job's tasks.
    ``crash_after_s`` has the tasks that crash each worker on which they run,
    with the time from their start to the crash.
    """

    def __init__(self) -> None:
        """Create an empty history in which every run ends as done."""
        self.jobs: dict[str, dict[str, Any]] = {}
        self.work_s: dict[str, float] = {}
        self.crash_after_s: dict[str, float] = {}
        self.runs: list[Run] = []
        self.choose_outcome: OutcomeChooser = lambda run: "done"
        self.started_members: dict[tuple[str, int, int], set[int]] = {}
        self.racks: dict[str, str] = {}

    def step(self, name: TaskName) -> dict[str, Any]:
        """Return a task's step as the client declared it."""
        step: dict[str, Any] = self.jobs[name.job_id]["steps"][name.step]
        return step

    def needed_s(self, run: Run) -> float:
        """Return the seconds of work that a run needs on its worker."""
        step = self.step(run.name)
        estimate_s: float = step.get("estimate_ms", 0) / 1000
        needed_s = self.work_s.get(run.name.job_id, estimate_s)
        if step.get("same_rack") and len(self._racks_of(run)) > 1:
            return needed_s * CROSS_RACK_FACTOR
        return needed_s

    def percent(self, run: Run) -> int:
        """Return a run's progress in whole percent, at most 99."""
        needed_s = self.needed_s(run)
        # Work that takes no time is listed until the next tick.
        if needed_s <= 0:
            return 99
        return min(99, int(100 * run.worked_s / needed_s))

    def worked_s(self, run: Run) -> float:
        """Return the work of a run in seconds, in a gang the least."""
        members = [run, *self._gang(run)]
        return min(member.worked_s for member in members)

    def gang_key(self, run: Run) -> tuple[str, int, int]:
        """Return the key that all members of one gang's run share."""
        return run.name.job_id, run.name.step, run.run

    def record_start(self, run: Run) -> None:
        """Record the start of a run and, in a gang, of this member."""
        self.runs.append(run)
        if self.step(run.name).get("gang"):
            members = self.started_members.setdefault(
                self.gang_key(run), set()
            )
            members.add(run.name.task_index)

    def gang_complete(self, run: Run) -> bool:
        """Return whether all members of the run's gang have started."""
        step = self.step(run.name)
        if not step.get("gang"):
            return True
        count: int = step["count"]
        return len(self.started_members[self.gang_key(run)]) == count

    def gang_broken(self, run: Run) -> bool:
        """Return whether another member of the gang ended but is not done."""
        return any(
            other.ended_s is not None and other.how != "done"
            for other in self._gang(run)
        )

    def gang_done(self, run: Run) -> bool:
        """Return whether another member of the gang ended as done."""
        return any(other.how == "done" for other in self._gang(run))

    def _gang(self, run: Run) -> list[Run]:
        if not self.step(run.name).get("gang"):
            return []
        key = self.gang_key(run)
        return [
            other
            for other in self.runs
            if other is not run and self.gang_key(other) == key
        ]

    def _racks_of(self, run: Run) -> set[str]:
        members = [run, *self._gang(run)]
        return {self.racks[member.worker] for member in members}

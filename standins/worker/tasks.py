"""Define the tasks and the faults of a stand-in worker."""

from typing import Any, NamedTuple

PREPARED = "prepared"
RUNNING = "running"
SUCCEEDED = "succeeded"
FAILED = "failed"
STOPPED = "stopped"
EXPIRED = "expired"
ACTIVE = frozenset({PREPARED, RUNNING})

TaskKey = tuple[str, int, int]


class WorkerFaults(NamedTuple):
    """The faults of a worker.

    ``lose_answers`` is the number of next exchanges that take effect but
    whose answer is lost.
    """

    fail_all: bool = False
    hang_all: bool = False
    slow_factor: float = 1.0
    unreachable: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


class Task:
    """One task and its progress; all times are on the worker's clock."""

    def __init__(
        self, key: TaskKey, command: dict[str, Any], cell: str, epoch: int
    ) -> None:
        """Create a prepared task from its prepare command."""
        self.key = key
        self.cell = cell
        self.epoch = epoch
        self.first = int(command["first"])
        self.count = int(command["count"])
        self.work: dict[str, Any] = command.get("work") or {}
        self.hold_until_s = float(command["hold_until_s"])
        self.done_s = parse_progress(command.get("checkpoint", ""))
        self.state = PREPARED
        self.ran = False
        self.lease_until_s = 0.0
        self.started_s = 0.0
        self.updated_s = 0.0
        self.rate = 1.0
        self.checkpoint = ""
        self.output = ""
        self.detail = ""

    def overlaps(self, first: int, count: int) -> bool:
        """Return whether the task holds an accelerator of a range."""
        if self.state not in ACTIVE:
            return False
        return self.first < first + count and first < self.first + self.count

    def advance(self, now_s: float) -> None:
        """Add the work done until a time."""
        self.done_s += (now_s - self.updated_s) * self.rate
        self.updated_s = now_s

    def completion_s(self) -> float:
        """Return when the work is done at the current rate."""
        left_s = float(self.work.get("run_s", 0.0)) - self.done_s
        if self.rate <= 0:
            return float("inf")
        return self.updated_s + max(0.0, left_s) / self.rate

    def report(self) -> dict[str, Any]:
        """Return the report of the task that an answer contains."""
        job, attempt, task = self.key
        report: dict[str, Any] = {
            "job": job,
            "attempt": attempt,
            "task": task,
            "state": self.state,
            "ran": self.ran,
        }
        if self.state == RUNNING:
            report["started_s"] = self.started_s
        for name in ("checkpoint", "output", "detail"):
            if getattr(self, name):
                report[name] = getattr(self, name)
        return report


def parse_progress(checkpoint: str) -> float:
    """Return the seconds of work that a checkpoint contains."""
    return float(checkpoint) if checkpoint else 0.0

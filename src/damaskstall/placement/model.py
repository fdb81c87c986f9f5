"""Define cells, shapes, jobs, decisions and the policy interface.

A cell's workers are numbered in the order of its racks. A block is a range of
adjacent workers with the same range of accelerator indices on each. A block
lies within one rack, or, if no rack is large enough, starts at the first
worker of a rack and spans whole adjacent racks, of which the last may be used
only in part.
"""

from typing import NamedTuple, Protocol


class Shape(NamedTuple):
    """The size of a block: adjacent hosts and accelerators on each host."""

    hosts: int
    accelerators_per_host: int

    @property
    def accelerators(self) -> int:
        """Return the total number of accelerators."""
        return self.hosts * self.accelerators_per_host


class Worker(NamedTuple):
    """One worker of a rack, with its address and accelerator count."""

    name: str
    address: str
    accelerators: int


class Rack(NamedTuple):
    """A rack: adjacent workers in order."""

    name: str
    workers: tuple[Worker, ...]


class Cell(NamedTuple):
    """The racks that one scheduler places jobs on."""

    name: str
    failure_domain: str
    racks: tuple[Rack, ...]

    @property
    def workers(self) -> tuple[Worker, ...]:
        """Return all workers in the order in which blocks number them."""
        return tuple(w for rack in self.racks for w in rack.workers)


class Block(NamedTuple):
    """Specific adjacent accelerators of a cell."""

    first_worker: int
    hosts: int
    first_accelerator: int
    accelerators_per_host: int


class Guarantee(NamedTuple):
    """One block of a shape in a cell that is guaranteed to a team."""

    team: str
    shape: Shape


class QueuedJob(NamedTuple):
    """A queued job; ``queued_s`` is a time on the caller's clock.

    A job with ``restartable`` False may start at most once. It starts only
    under its team's guarantee or on accelerators that no guarantee needs, so
    that it never has to be preempted for a guarantee. ``preferred`` is True
    if this cell is the first in the job's claim order: only there a block is
    reserved for the job, so that it does not drain several cells.
    """

    name: str
    team: str
    shape: Shape
    estimate_s: float
    urgent: bool
    checkpointable: bool
    queued_s: float
    restartable: bool = True
    preferred: bool = True


class RunningJob(NamedTuple):
    """A job that holds a block.

    ``guaranteed`` is True if the job uses its team's guarantee; otherwise the
    job borrows its accelerators and may be preempted. ``stopping`` is True if
    the job is being preempted.
    """

    job: QueuedJob
    block: Block
    started_s: float
    guaranteed: bool
    stopping: bool


class Start(NamedTuple):
    """Decision to start a job on a block, which counts as held at once."""

    job: str
    block: Block
    guaranteed: bool
    reason: str


class Preempt(NamedTuple):
    """Decision to checkpoint and stop a job so that another can start."""

    job: str
    beneficiary: str
    reason: str


Decision = Start | Preempt


class Explanation(NamedTuple):
    """The reason why a job waits, and what would let it start."""

    reason: str
    unblocked_by: str


class Policy(Protocol):
    """Interface of a scheduling policy for one cell.

    The caller reports every change to the policy. Every call that depends on
    the time gets it in seconds on the caller's monotonic clock.
    """

    def set_guarantees(self, guarantees: tuple[Guarantee, ...]) -> None:
        """Replace the guarantees of the cell."""

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the teams' fair-share weights; absent teams have 1."""

    def set_usable(self, worker: int, usable: bool) -> None:
        """Set whether new jobs may be placed on a worker."""

    def set_open(self, is_open: bool) -> None:
        """Set whether jobs may start in the cell (False: taken out)."""

    def add(self, job: QueuedJob) -> None:
        """Add a job to the queue."""

    def withdraw(self, name: str) -> None:
        """Remove a queued job and its claim; do nothing for other jobs."""

    def adopt(self, running: RunningJob) -> None:
        """Record a job that already runs, after a change of holder."""

    def release(self, name: str, now_s: float, ran_s: float | None) -> None:
        """Free a job's block.

        ``ran_s`` is the run time in seconds of a finished job, from which
        later estimates are corrected; None if the job did not finish.
        """

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Return the decisions to carry out, which the policy has recorded."""

    def explain(self, name: str, now_s: float) -> Explanation:
        """Explain why a queued job waits."""

    def running(self) -> tuple[RunningJob, ...]:
        """Return the jobs that hold blocks."""

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that have no block on usable workers."""

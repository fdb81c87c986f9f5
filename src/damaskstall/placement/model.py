"""Describe cells, shapes and decisions, and what a policy must offer.

A cell's workers are numbered through its racks in order; a block is a range
of adjacent workers and the same range of accelerator indices on each. A
block lies within one rack. A larger one starts at the start of a rack and
covers whole adjacent racks, but for the end of the last one.
"""

from typing import NamedTuple, Protocol


class Shape(NamedTuple):
    """Ask for adjacent accelerators: hosts times accelerators per host."""

    hosts: int
    accelerators_per_host: int

    @property
    def accelerators(self) -> int:
        """Return how many accelerators the shape has."""
        return self.hosts * self.accelerators_per_host


class Worker(NamedTuple):
    """Describe one worker of a rack."""

    name: str
    address: str
    accelerators: int


class Rack(NamedTuple):
    """Hold adjacent workers in order."""

    name: str
    workers: tuple[Worker, ...]


class Cell(NamedTuple):
    """Hold the racks that one scheduler decides over."""

    name: str
    failure_domain: str
    racks: tuple[Rack, ...]

    @property
    def workers(self) -> tuple[Worker, ...]:
        """Return all workers in the order blocks count them."""
        return tuple(w for rack in self.racks for w in rack.workers)


class Block(NamedTuple):
    """Name concrete adjacent accelerators of a cell."""

    first_worker: int
    hosts: int
    first_accelerator: int
    accelerators_per_host: int


class Guarantee(NamedTuple):
    """Promise a team one block of a shape in a cell."""

    team: str
    shape: Shape


class QueuedJob(NamedTuple):
    """Describe a job that waits; ``queued_s`` is on the caller's clock.

    ``restartable`` False means that the work may start at most once. Such a
    job starts only under its team's guarantee or on accelerators that no
    guarantee needs, so that nobody has to reclaim them. ``preferred`` tells
    that this cell is the first in the job's claim rank: only there is a block
    reserved for it, so that it does not empty several cells.
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
    """Describe a job that holds a block.

    ``guaranteed`` tells whether it uses its team's guarantee; a job that
    does not is borrowing and may be reclaimed. ``stopping`` tells that it
    was asked to leave.
    """

    job: QueuedJob
    block: Block
    started_s: float
    guaranteed: bool
    stopping: bool


class Start(NamedTuple):
    """Start a job on a block; the policy counts it as held from now on."""

    job: str
    block: Block
    guaranteed: bool
    reason: str


class Preempt(NamedTuple):
    """Checkpoint and stop a running job so that another can start."""

    job: str
    beneficiary: str
    reason: str


Decision = Start | Preempt


class Explanation(NamedTuple):
    """Say why a job waits and what would let it start."""

    reason: str
    unblocked_by: str


class Policy(Protocol):
    """Decide over one cell; kept up to date by small events.

    Every call that depends on the time takes it as seconds on the caller's
    monotonic clock.
    """

    def set_guarantees(self, guarantees: tuple[Guarantee, ...]) -> None:
        """Replace what the cell promises."""

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the teams' weights in fair shares; absent teams have 1."""

    def set_usable(self, worker: int, usable: bool) -> None:
        """Say whether new work may be put on a worker."""

    def set_open(self, is_open: bool) -> None:
        """Say whether anything may start in the cell (False: taken out)."""

    def add(self, job: QueuedJob) -> None:
        """Put a job into the queue."""

    def withdraw(self, name: str) -> None:
        """Take a job out of the queue; does nothing if it is not there."""

    def adopt(self, running: RunningJob) -> None:
        """Count a job that already runs, after a change of holder."""

    def release(self, name: str, now_s: float, ran_s: float | None) -> None:
        """Free a job's block; ``ran_s`` is its run time if it finished."""

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Return what to do now; the policy's books already count it."""

    def explain(self, name: str, now_s: float) -> Explanation:
        """Say why a queued job waits."""

    def running(self) -> tuple[RunningJob, ...]:
        """Return the jobs that hold blocks."""

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that the usable workers cannot hold."""

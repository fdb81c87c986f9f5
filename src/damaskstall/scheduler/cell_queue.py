"""Add queued jobs to one cell's policy, staggered by claim rank."""

from damaskstall.placement.model import Cell, Policy, QueuedJob, Shape
from damaskstall.resources.records import JobSpec
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.job_cache import JobEntry
from damaskstall.scheduler.job_status import ISOLATION_CRASHES

DEFER_S = 0.5


def shape_of(spec: JobSpec) -> Shape:
    """Return the shape that a job asks for."""
    return Shape(spec["hosts"], spec["accelerators_per_host"])


def widest_worker(cell: Cell) -> int:
    """Return the largest number of accelerators of a cell's workers."""
    return max((w.accelerators for w in cell.workers), default=0)


def isolated_shape(entry: JobEntry, worker_accelerators: int) -> Shape:
    """Return the shape of a job, whole workers after several crashes.

    So no other job runs on a worker that this one may crash.
    """
    shape = shape_of(entry.spec)
    if entry.status.get("crashes", 0) < ISOLATION_CRASHES:
        return shape
    return Shape(shape.hosts, worker_accelerators)


def queued_job(
    entry: JobEntry,
    now_s: float,
    now_unix_s: float,
    preferred: bool,
    worker_accelerators: int,
) -> QueuedJob:
    """Return a job for the policy; it counts as waiting since its creation.

    ``worker_accelerators`` is the number that a worker of the cell has.
    """
    waited_s = max(0.0, now_unix_s - entry.status["created_unix_s"])
    spec = entry.spec
    return QueuedJob(
        entry.name,
        spec["team"],
        isolated_shape(entry, worker_accelerators),
        spec["estimate_s"],
        spec["urgent"],
        spec["checkpointable"],
        now_s - waited_s,
        spec["restartable"],
        preferred,
    )


class CellQueue:
    """The queued jobs of one cell.

    A cell delays a job by ``claim_stagger_s`` for each cell that precedes it
    in the claim order, so that two cells rarely try to claim the same job.
    ``due_s`` contains the times when jobs are to be admitted, and
    ``admitted`` the jobs that the policy has queued.
    """

    def __init__(
        self, context: SchedulerContext, cell: Cell, policy: Policy
    ) -> None:
        """Create an empty queue that admits jobs to a cell's policy."""
        self.context = context
        self.cell = cell.name
        self.worker_accelerators = widest_worker(cell)
        self.policy = policy
        self.due_s: dict[str, float] = {}
        self.admitted: set[str] = set()
        self._ranks: dict[str, int | None] = {}

    def rank(self, entry: JobEntry) -> int | None:
        """Return this cell's claim rank for a job, or None if it has none."""
        if entry.name not in self._ranks:
            order = self._claim_order(entry)
            rank = order.index(self.cell) if self.cell in order else None
            self._ranks[entry.name] = rank
        return self._ranks[entry.name]

    def clear_ranks(self) -> None:
        """Clear the cached claim ranks after the configuration changed."""
        self._ranks.clear()

    def _claim_order(self, entry: JobEntry) -> tuple[str, ...]:
        """Return the cells responsible for a job, the preferred one first.

        If no cell can run the job, one cell still has to record the reason.
        """
        planner, config = self.context.planner, self.context.config
        order = planner.claim_order(entry.name, entry.spec, config)
        if order:
            return order
        wanted = entry.spec["failure_domain"]
        return tuple(
            name
            for name, cell in sorted(planner.cells(config).items())
            if wanted in ("", cell.failure_domain)
        )

    def schedule_admission(self, entry: JobEntry) -> None:
        """Schedule the admission of a queued job at this cell's rank.

        Do nothing if it is admitted or scheduled already, or has no rank.
        """
        if entry.name in self.admitted or entry.name in self.due_s:
            return
        rank = self.rank(entry)
        if rank is None:
            return
        stagger_s = self.context.settings.claim_stagger_s
        self.due_s[entry.name] = entry.seen_s + rank * stagger_s

    def defer(self, entry: JobEntry, now_s: float) -> None:
        """Retry the admission of a job after ``DEFER_S``."""
        self.due_s[entry.name] = now_s + DEFER_S

    def remove_job(self, name: str) -> None:
        """Remove a job that is no longer queued."""
        self._ranks.pop(name, None)
        self.due_s.pop(name, None)
        if name in self.admitted:
            self.admitted.discard(name)
            self.policy.withdraw(name)

    def mark_started(self, name: str) -> None:
        """Record that the policy has removed a job from its queue."""
        self.admitted.discard(name)

    def pop_due(self, now_s: float) -> list[JobEntry]:
        """Remove and return the jobs whose admission is due."""
        due = [name for name, at_s in self.due_s.items() if at_s <= now_s]
        found = []
        for name in due:
            del self.due_s[name]
            entry = self.context.job_cache.entries.get(name)
            if entry is not None:
                found.append(entry)
        return found

    def admit(self, entry: JobEntry, now_s: float) -> None:
        """Add a job to the policy."""
        self.admitted.add(entry.name)
        preferred = self.rank(entry) == 0
        now_unix_s = self.context.unix_s()
        self.policy.add(
            queued_job(
                entry, now_s, now_unix_s, preferred, self.worker_accelerators
            )
        )

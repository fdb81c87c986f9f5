"""Data types of the task scheduler: jobs, queues, teams and workers.

A job is a list of steps. A step consists of identical tasks, which run
independently or as one gang. A unit is scheduled as a whole: it is one task
of an independent step, or all tasks of a gang.
"""

from typing import NamedTuple

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
# The platform charges as much for an accelerator as for eight cores.
CORES_PER_ACCELERATOR = 8
MILLICORES_PER_CORE = 1000

FINAL_STATES = frozenset({COMPLETED, FAILED, CANCELLED})


class Demand(NamedTuple):
    """Resources that one task needs on its worker."""

    cpu_millicores: int
    memory_mb: int
    accelerators: int

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum of this demand and another one."""
        return Demand(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Return this demand reduced by another one."""
        return Demand(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    @property
    def cores(self) -> float:
        """Return the demand in cores; accelerators are converted to cores."""
        cores = self.cpu_millicores / MILLICORES_PER_CORE
        return cores + self.accelerators * CORES_PER_ACCELERATOR


NO_DEMAND = Demand(0, 0, 0)
# The priority of the queues whose jobs may preempt others.
URGENT_PRIORITY = 0


class Step(NamedTuple):
    """One step of a job; the module docstring defines gangs and units.

    ``after`` lists the steps whose tasks must all be done first.
    ``one_rack`` states that a gang runs slower when it spans racks, and
    ``data_rack`` names the rack on which a task runs at full speed.
    ``per_worker_limit`` bounds the step's tasks on one worker (0: no bound).
    The tasks of a step with ``checkpoints`` resume from their newest
    checkpoint. ``may_copy`` permits speculative copies of a task; it is stored
    but not used. The tasks of an ``endless`` step run until the job is
    cancelled, and are restarted whatever their outcome. ``absent_limit``
    bounds how many of them may be away at once through stops (0: no bound).
    """

    task_count: int
    demand: Demand
    estimate_s: float
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    checkpoints: bool = False
    data_rack: str = ""
    required_label: str = ""
    per_worker_limit: int = 0
    may_copy: bool = False
    endless: bool = False
    absent_limit: int = 0

    @property
    def units(self) -> int:
        """Return the number of units of the step."""
        return 1 if self.gang else self.task_count

    @property
    def unit_size(self) -> int:
        """Return the number of tasks in one unit."""
        return self.task_count if self.gang else 1

    @property
    def unit_accelerators(self) -> int:
        """Return the number of accelerators that one unit needs."""
        return self.unit_size * self.demand.accelerators


class Schedule(NamedTuple):
    """Number of occurrences of a job, and when each one is due."""

    occurrences: int
    first_unix_s: float
    interval_s: float


class JobDeclaration(NamedTuple):
    """A job as submitted by a client: an opaque payload and the steps.

    Without a schedule the steps run once and are due immediately.
    """

    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return 1 if self.schedule is None else self.schedule.occurrences


class JobTerms(NamedTuple):
    """What a job was promised by its queue; ``Queue`` documents the fields.

    They follow the queue while it exists. They are stored with the job, since
    a process that starts after the queue's removal cannot learn them.
    """

    priority: int
    attempt_limit: int
    stretch: float
    objective_s: float


class AcceptedJob(NamedTuple):
    """A job as it was accepted; immutable.

    ``terms`` are those at its acceptance, None if an earlier version that did
    not store them accepted it.
    """

    job_id: str
    queue: str
    service: str
    team: str
    accepted_unix_s: float
    declaration: JobDeclaration
    terms: JobTerms | None = None


class Queue(NamedTuple):
    """A queue: the service that runs its jobs, and their priority.

    The objective of a job is ``stretch`` times the length of its critical
    path plus ``objective_s``. Priority 0 is the most urgent. Start requests
    of a queue with ``needs_ticket`` must carry a ticket, which this version
    cannot obtain.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    attempt_limit: int
    stretch: float
    objective_s: float
    public: bool
    needs_ticket: bool = False

    @property
    def terms(self) -> JobTerms:
        """Return what the queue promises its jobs."""
        return JobTerms(
            self.priority, self.attempt_limit, self.stretch, self.objective_s
        )


class TaskTeam(NamedTuple):
    """A team with its API keys and its guaranteed accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int


class TaskKey(NamedTuple):
    """Identifier of one task of a job."""

    job_id: str
    occurrence: int
    step: int
    task_index: int


class RunKey(NamedTuple):
    """Identifier of one run of a task; ``run`` grows with each start."""

    task: TaskKey
    run: int


class WorkerInfo(NamedTuple):
    """A worker as the platform lists it.

    ``incarnation`` distinguishes successive workers under the same name: it is
    the Unix time of the worker's start in milliseconds, 0 if not known.
    ``leaving`` states that the worker drains; ``leaves_in_s`` is the minimum
    time that it stays, as of its last report. A worker with
    ``checks_capacity`` refuses runs that exceed its capacity.
    """

    name: str
    service: str
    host: str
    port: int
    failure_domain: str
    rack: str
    labels: frozenset[str]
    capacity: Demand
    leaving: bool
    checks_capacity: bool
    incarnation: int
    leaves_in_s: float | None = None

"""Define the record types of declared resources.

A resource's JSON has the same field names: ``{"kind", "name",
"resource_version", "spec", "status"}``. The table stores ``{"spec",
"status"}`` in the resource's row; the row's revision is the resource version.
"""

from typing import Any, NamedTuple, NotRequired, TypedDict

KINDS = ("team", "job", "failure_domain", "backend_service")

STATE_IN = "in"
STATE_OUT = "out"

JOB_QUEUED = "queued"
JOB_PLACED = "placed"
JOB_RUNNING = "running"
JOB_SUCCEEDED = "succeeded"
JOB_FAILED = "failed"
JOB_CANCELLED = "cancelled"
JOB_UNSCHEDULABLE = "unschedulable"
JOB_ENDED = frozenset(
    {JOB_SUCCEEDED, JOB_FAILED, JOB_CANCELLED, JOB_UNSCHEDULABLE}
)


class GuaranteeSpec(TypedDict):
    """A guarantee of ``count`` blocks of adjacent accelerators.

    An empty failure domain lets the planner choose the cell.
    """

    hosts: int
    accelerators_per_host: int
    count: int
    failure_domain: str


class TeamSpec(TypedDict):
    """A team's declaration: its fair-share weight and its guarantees."""

    weight: float
    guarantees: list[GuaranteeSpec]


class WorkerSpec(TypedDict):
    """The declaration of one worker of a rack."""

    name: str
    address: str
    accelerators: int


class RackSpec(TypedDict):
    """The declaration of one rack; its workers are adjacent in list order."""

    name: str
    workers: list[WorkerSpec]


class FailureDomainSpec(TypedDict):
    """A failure domain's declaration; ``state`` is ``in`` or ``out``."""

    state: str
    racks: list[RackSpec]


class ServerSpec(TypedDict):
    """The declaration of one backend server of a service."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int


class BackendServiceSpec(TypedDict):
    """The declaration of a backend service and its servers.

    Only requests to an idempotent service may be sent more than once.
    """

    idempotent: bool
    timeout_s: float
    servers: list[ServerSpec]


class JobSpec(TypedDict):
    """A job's declaration.

    The work of a job that is not ``restartable`` starts at most once.
    ``estimate_s`` is the declared run time. ``work`` is passed to the workers
    unchanged. With an empty failure domain, the job may run in any.
    """

    team: str
    hosts: int
    accelerators_per_host: int
    estimate_s: float
    urgent: bool
    restartable: bool
    checkpointable: bool
    max_attempts: int
    failure_domain: str
    labels: dict[str, str]
    work: dict[str, Any]


class TaskCrashes(TypedDict):
    """The attempts under which a task's worker crashed.

    ``doubtful`` has those that may have had another reason, and ``harmless``
    the attempts that left the worker up after the third crash.
    """

    crashed: list[int]
    doubtful: list[int]
    harmless: list[int]


class JobStatus(TypedDict):
    """A job's status; times are Unix times on the writer's clock.

    ``tasks`` lists the worker names of the latest attempt in task order.
    ``block`` is the list of first worker, hosts, first accelerator and
    accelerators per host, counted within the cell. ``task_crashes`` has the
    crashes of workers by task, and ``crashes`` the number of them under the
    task that has the most. Both are absent if there was none.
    """

    state: str
    reason: str
    attempt: int
    cell: str
    epoch: int
    tasks: list[str]
    block: list[int]
    guaranteed: bool
    cancel_requested: bool
    failed_workers: list[str]
    checkpoint: str
    result: str
    created_unix_s: float
    started_unix_s: float
    ended_unix_s: float
    crashes: NotRequired[int]
    task_crashes: NotRequired[list[TaskCrashes]]


class Resource(NamedTuple):
    """One resource as stored in the table."""

    kind: str
    name: str
    resource_version: int
    spec: dict[str, Any]
    status: dict[str, Any]


def new_job_status(now_unix_s: float) -> JobStatus:
    """Return the initial status of a newly declared job."""
    return JobStatus(
        state=JOB_QUEUED,
        reason="",
        attempt=0,
        cell="",
        epoch=0,
        tasks=[],
        block=[],
        guaranteed=False,
        cancel_requested=False,
        failed_workers=[],
        checkpoint="",
        result="",
        created_unix_s=now_unix_s,
        started_unix_s=0.0,
        ended_unix_s=0.0,
    )

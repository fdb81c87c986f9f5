"""Describe the declared resources as typed records.

The JSON of a resource has the same names: ``{"kind", "name",
"resource_version", "spec", "status"}``. The table keeps ``{"spec", "status"}``
in the resource's row, and the row's revision is the resource version.
"""

from typing import Any, NamedTuple, TypedDict

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
    """Promise ``count`` blocks of adjacent accelerators.

    An empty failure domain leaves the choice of a cell to the plan.
    """

    hosts: int
    accelerators_per_host: int
    count: int
    failure_domain: str


class TeamSpec(TypedDict):
    """Declare a team: its weight in fair shares and its guarantees."""

    weight: float
    guarantees: list[GuaranteeSpec]


class WorkerSpec(TypedDict):
    """Declare one worker of a rack."""

    name: str
    address: str
    accelerators: int


class RackSpec(TypedDict):
    """Declare one rack; its workers are adjacent in this order."""

    name: str
    workers: list[WorkerSpec]


class FailureDomainSpec(TypedDict):
    """Declare a failure domain; ``state`` is ``in`` or ``out``."""

    state: str
    racks: list[RackSpec]


class ServerSpec(TypedDict):
    """Declare one backend server of a service."""

    name: str
    address: str
    failure_domain: str
    slots: int
    connections: int


class BackendServiceSpec(TypedDict):
    """Declare a service and its servers.

    Only the requests of an idempotent service may be sent twice.
    """

    idempotent: bool
    timeout_s: float
    servers: list[ServerSpec]


class JobSpec(TypedDict):
    """Declare a job.

    ``restartable`` False means that the job's work may start at most once.
    ``estimate_s`` is the declared run time. ``work`` goes to the workers as
    it is. An empty failure domain lets the job run in any.
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


class JobStatus(TypedDict):
    """Tell what became of a job; times are Unix times of the writer.

    ``tasks`` names the workers of the latest attempt in task order, and
    ``block`` is the first worker, hosts, first accelerator and accelerators
    per host within the cell.
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


class Resource(NamedTuple):
    """Hold one resource as it is stored."""

    kind: str
    name: str
    resource_version: int
    spec: dict[str, Any]
    status: dict[str, Any]


def new_job_status(now_unix_s: float) -> JobStatus:
    """Return the status of a job that was just declared."""
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

"""Decode the rows that operators and workers write to typed records."""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from damaskstall.addresses import Address, parse_ip_endpoint
from damaskstall.bounds import (
    checked_float,
    checked_int,
    checked_text,
    checked_token,
)
from damaskstall.errors import DECODE_ERRORS, MalformedRowError, SettingsError
from damaskstall.network import Network
from damaskstall.platform.labels import rack_of
from damaskstall.platform.machine_list import MachineList
from damaskstall.platform.row_store import RowStore
from damaskstall.platform.types import Row
from damaskstall.platform.worker_client import HttpWorkerClient
from damaskstall.tasks.desired_state import (
    DEFAULT_BODY_LIMIT_BYTES,
    DesiredState,
    QueuePattern,
)
from damaskstall.tasks.machine_evidence import MachineEntry
from damaskstall.tasks.model import Demand, Queue, TaskTeam, WorkerInfo
from damaskstall.tasks.ports import AnswerLimit

Part = TypeVar("Part")

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WORKER_PREFIX = "servers/"
WORKER_STATES = frozenset({"ready", "draining"})
MILLISECONDS_PER_S = 1000
# A key of the store has at most 200 bytes.
NAME_LIMIT = 200
LABELS_LIMIT = 64
# Larger figures than any that a service of today has, by far, and small enough
# that no sum or product of them overflows.
AMOUNT_LIMIT = 10**9
UNIX_MS_LIMIT = 10**15
TIME_MS_LIMIT = 10**10
STRETCH_LIMIT = 10**6


class OperatorsPlatform:
    """Implementation of ``Platform`` for the operators' platform."""

    def __init__(
        self, network: Network, store: Address, machines: Address | None
    ) -> None:
        """Use the platform's store, and its list of machines if any."""
        self.network = network
        self.table = RowStore(network, store)
        self.machine_list = MachineList(network, machines)

    def is_configuration(self, key: str) -> bool:
        """Return whether a key is that of the configuration row."""
        return key == CONFIGURATION_KEY

    def evacuated_domain(self, key: str) -> str:
        """Return the failure domain whose evacuation a key marks, or ""."""
        if not key.startswith(EVACUATION_PREFIX):
            return ""
        return key.removeprefix(EVACUATION_PREFIX)

    def desired_state(self, row: Row) -> DesiredState:
        """Return the configuration in a row; raise MalformedRowError."""
        value: Any = row.value
        try:
            return decode_desired_state(value)
        except DECODE_ERRORS as error:
            raise MalformedRowError(
                f"The row {row.key!r} is not a configuration: {error!r}."
            ) from error

    def worker(self, row: Row, state: DesiredState) -> WorkerInfo:
        """Return the worker that a row lists; raise MalformedRowError."""
        value: Any = row.value
        name = row.key.removeprefix(WORKER_PREFIX)
        try:
            return decode_worker(name, value, state)
        except (*DECODE_ERRORS, SettingsError) as error:
            raise MalformedRowError(
                f"The row {row.key!r} is not a worker's entry: {error!r}."
            ) from error

    async def machines(self, late_s: float) -> list[MachineEntry]:
        """Return the machines, each with the worker that runs on it."""
        return await self.machine_list.read_all(late_s)

    def client_for(
        self, worker: WorkerInfo, answer_limit: AnswerLimit
    ) -> HttpWorkerClient:
        """Return a client of one worker."""
        return HttpWorkerClient(self.network, worker, answer_limit)


def decode_desired_state(value: Any) -> DesiredState:
    """Return the configuration that a JSON value describes."""
    queues, queue_problems = decode_each(decode_queue, value["routes"])
    queues.sort(key=lambda queue: -len(queue.path_prefix))
    services, service_problems = decode_each(decode_service, value["services"])
    teams, team_problems = decode_each(decode_team, value.get("tenants", ()))
    problems = queue_problems + service_problems + team_problems
    limits = value.get("limits", {})
    body_bytes = limits.get("body_bytes", DEFAULT_BODY_LIMIT_BYTES)
    return DesiredState(
        checked_int("version", value["version"], 0, UNIX_MS_LIMIT),
        tuple(queues),
        frozenset(name for name in services if name),
        tuple(teams),
        checked_int("body_bytes", body_bytes, 0, AMOUNT_LIMIT),
        tuple(decode_pattern(problem.value) for problem in queue_problems),
        not team_problems,
        tuple(problem.error for problem in problems),
    )


class PartProblem(NamedTuple):
    """A part of a configuration that cannot be read, and why."""

    value: Any
    error: str


def decode_each(
    decode: Callable[[Any], Part], values: Any
) -> tuple[list[Part], list[PartProblem]]:
    """Return the parts of a configuration, and those that cannot be read.

    The store accepts only valid configurations, so a version with a part that
    this program does not know is in force like any other.
    """
    parts, problems = [], []
    for value in values:
        try:
            parts.append(decode(value))
        except DECODE_ERRORS as error:
            problems.append(PartProblem(value, repr(error)))
    return parts, problems


def decode_service(service: Any) -> str:
    """Return a service's name if its workers check their capacity, or ""."""
    name = decode_name("service", service["name"])
    return name if service.get("enforces_capacity") else ""


def decode_pattern(route: Any) -> QueuePattern:
    """Return what is known of a queue whose route cannot be read."""
    fields = route if isinstance(route, dict) else {}
    host, prefix = fields.get("host"), fields.get("path_prefix")
    return QueuePattern(
        host if isinstance(host, str) else None,
        prefix if isinstance(prefix, str) else None,
    )


def decode_name(kind: str, value: Any) -> str:
    """Return the name of a queue, service, team, domain or label."""
    return checked_text(kind, value, NAME_LIMIT)


def decode_queue(route: Any) -> Queue:
    """Return the queue that a route describes."""
    target_ms = route.get("target_duration_ms", 0)
    return Queue(
        decode_name("route", route["name"]),
        decode_name("host", route["host"]),
        checked_text("path_prefix", route["path_prefix"], AMOUNT_LIMIT),
        decode_name("service", route["service"]),
        checked_int(
            "priority", route.get("priority", 0), -AMOUNT_LIMIT, AMOUNT_LIMIT
        ),
        checked_int(
            "maximum_attempts",
            route.get("maximum_attempts", 1),
            0,
            AMOUNT_LIMIT,
        ),
        checked_float("stretch", route.get("stretch", 1.0), 0, STRETCH_LIMIT),
        checked_float("target_duration_ms", target_ms, 0, TIME_MS_LIMIT)
        / MILLISECONDS_PER_S,
        bool(route.get("public", False)),
        bool(route.get("advice")),
    )


def decode_team(tenant: Any) -> TaskTeam:
    """Return the team that a tenant describes."""
    guaranteed = tenant.get("guaranteed") or {}
    return TaskTeam(
        decode_name("tenant", tenant["name"]),
        frozenset(tenant.get("api_keys", ())),
        checked_int("gpus", guaranteed.get("gpus", 0), 0, AMOUNT_LIMIT),
    )


def decode_worker(name: str, value: Any, state: DesiredState) -> WorkerInfo:
    """Return the worker that an entry of the list describes.

    Its name becomes the value of a header.
    """
    address = parse_ip_endpoint(value["address"])
    listed = value["labels"]
    checked_int("the number of labels", len(listed), 0, LABELS_LIMIT)
    labels = frozenset(decode_name("label", str(label)) for label in listed)
    if value["state"] not in WORKER_STATES:
        raise ValueError(f"the state {value['state']!r} is not known")
    return WorkerInfo(
        checked_token("the worker's name", name, NAME_LIMIT),
        decode_name("service", value["service"]),
        address.host,
        address.port,
        decode_name("zone", value["zone"]),
        rack_of(labels),
        labels,
        decode_capacity(value["capacity"]),
        value["state"] != "ready",
        value["service"] in state.capacity_checked_services,
        checked_int("born", value.get("born", 0), 0, UNIX_MS_LIMIT),
        leaves_in_s(value),
    )


def decode_capacity(value: Any) -> Demand:
    """Return the capacity of a worker."""
    return Demand(
        checked_int("cpu", value["cpu"], 0, AMOUNT_LIMIT),
        checked_int(
            "task_memory_mb", value["task_memory_mb"], 0, AMOUNT_LIMIT
        ),
        checked_int("gpus", value.get("gpus", 0), 0, AMOUNT_LIMIT),
    )


def leaves_in_s(value: Any) -> float | None:
    """Return the minimum time until a draining worker leaves, if known."""
    remaining_ms = value.get("remaining_ms")
    if value["state"] == "ready" or remaining_ms is None:
        return None
    remaining_ms = checked_float(
        "remaining_ms", remaining_ms, -TIME_MS_LIMIT, TIME_MS_LIMIT
    )
    return remaining_ms / MILLISECONDS_PER_S

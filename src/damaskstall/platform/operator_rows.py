"""Decode the rows that operators and workers write to typed records."""

from typing import Any

from damaskstall.addresses import Address, parse_address
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
)
from damaskstall.tasks.machine_evidence import MachineEntry
from damaskstall.tasks.model import Demand, Queue, TaskTeam, WorkerInfo
from damaskstall.tasks.ports import AnswerLimit

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WORKER_PREFIX = "servers/"
WORKER_STATES = frozenset({"ready", "draining"})
MILLISECONDS_PER_S = 1000


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
    queues = [decode_queue(route) for route in value["routes"]]
    queues.sort(key=lambda queue: -len(queue.path_prefix))
    capacity_checked = frozenset(
        service["name"]
        for service in value["services"]
        if service.get("enforces_capacity")
    )
    limits = value.get("limits", {})
    return DesiredState(
        int(value["version"]),
        tuple(queues),
        capacity_checked,
        tuple(decode_team(tenant) for tenant in value.get("tenants", ())),
        int(limits.get("body_bytes", DEFAULT_BODY_LIMIT_BYTES)),
    )


def decode_queue(route: Any) -> Queue:
    """Return the queue that a route describes."""
    return Queue(
        route["name"],
        route["host"],
        route["path_prefix"],
        route["service"],
        int(route.get("priority", 0)),
        int(route.get("maximum_attempts", 1)),
        float(route.get("stretch", 1.0)),
        float(route.get("target_duration_ms", 0)) / MILLISECONDS_PER_S,
        bool(route.get("public", False)),
        bool(route.get("advice")),
    )


def decode_team(tenant: Any) -> TaskTeam:
    """Return the team that a tenant describes."""
    guaranteed = tenant.get("guaranteed") or {}
    return TaskTeam(
        tenant["name"],
        frozenset(tenant.get("api_keys", ())),
        int(guaranteed.get("gpus", 0)),
    )


def decode_worker(name: str, value: Any, state: DesiredState) -> WorkerInfo:
    """Return the worker that an entry of the list describes."""
    address = parse_address(value["address"])
    capacity = value["capacity"]
    labels = frozenset(str(label) for label in value["labels"])
    if value["state"] not in WORKER_STATES:
        raise ValueError(f"the state {value['state']!r} is not known")
    return WorkerInfo(
        name,
        str(value["service"]),
        address.host,
        address.port,
        str(value["zone"]),
        rack_of(labels),
        labels,
        Demand(
            int(capacity["cpu"]),
            int(capacity["task_memory_mb"]),
            int(capacity.get("gpus", 0)),
        ),
        value["state"] != "ready",
        value["service"] in state.capacity_checked_services,
        int(value.get("born", 0)),
        leaves_in_s(value),
    )


def leaves_in_s(value: Any) -> float | None:
    """Return the minimum time until a draining worker leaves, if known."""
    remaining_ms = value.get("remaining_ms")
    if value["state"] == "ready" or remaining_ms is None:
        return None
    return float(remaining_ms) / MILLISECONDS_PER_S

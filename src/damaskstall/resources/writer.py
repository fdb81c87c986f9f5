"""Create, replace and delete resources for operators.

Each operation plans one write from the rows that it read, and commits it on
condition that they have not changed.
"""

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from trio import sleep

from damaskstall.errors import (
    AlreadyWrittenError,
    ResourceConflictError,
    ResourceMissingError,
    TableConflictError,
    TableUnavailableError,
    ValidationError,
)
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.keys import CONFIG_PREFIX
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.resources.consistency import (
    Rules,
    check_consistency,
    check_guarantees,
    memory_view,
    read_view,
)
from damaskstall.resources.drains import decided_status
from damaskstall.resources.guards import (
    GUARDED_KINDS,
    Guard,
    guard_key,
    read_guard,
)
from damaskstall.resources.records import (
    JOB_ENDED,
    JOB_QUEUED,
    STATE_OUT,
    Resource,
    new_job_status,
)
from damaskstall.resources.store import (
    ResourceStore,
    already_written_error,
    is_written_by,
    resource_key,
    resource_of,
    row_value,
)
from damaskstall.resources.validate import validate_resource

GUARD_ATTEMPTS = 8
GUARD_DELAY_S = 0.01


class ChangeRequest(NamedTuple):
    """A change's mutation id, its request time and whether it is a dry run."""

    mutation_id: str
    now_unix_s: float
    dry_run: bool


class PlannedWrite(NamedTuple):
    """The result that a change would have on one state of its row.

    ``write`` is None when nothing has to be written, and ``spec`` is None
    for a deletion. ``result`` is the resource to return to the operator.
    """

    write: Write | None
    spec: dict[str, Any] | None
    result: Resource


Plan = Callable[[Row | None], PlannedWrite]


class ResourceWriter:
    """Writes declarations after checking each alone and with the others."""

    def __init__(
        self, store: ResourceStore, config: ConfigStore, rules: Rules
    ) -> None:
        """Check changes against the configuration and write to the store."""
        self.store = store
        self.config = config
        self.rules = rules
        self.random = Random(0)

    async def create(
        self, kind: str, name: Any, given: Any, change: ChangeRequest
    ) -> Resource:
        """Create a resource with the given spec and return it.

        Raises ValidationError and ResourceConflictError.
        """
        spec = validate_resource(kind, name, given)
        status = new_status(kind, change.now_unix_s)
        value = row_value(spec, status, change.mutation_id)
        key = resource_key(kind, name)

        def plan(row: Row | None) -> PlannedWrite:
            if row is not None:
                raise ResourceConflictError(
                    f"The {kind} {name!r} already exists at version "
                    f"{row.revision}.",
                    row.revision,
                )
            result = Resource(kind, name, ABSENT, spec, status)
            return PlannedWrite(Write(key, value, ABSENT), spec, result)

        return await self._write(kind, name, plan, change)

    async def replace(
        self,
        kind: str,
        name: str,
        given: Any,
        version: int,
        change: ChangeRequest,
    ) -> Resource:
        """Replace the spec of one version of a resource.

        Writes nothing when the spec is already the same. Raises
        ValidationError, ResourceMissingError and ResourceConflictError.
        """

        def plan(row: Row | None) -> PlannedWrite:
            row = require_row(kind, name, row)
            old = resource_of(kind, row)
            spec = validate_resource(
                kind, name, with_previous_state(old, given)
            )
            check_version(row, version)
            if spec == old.spec:
                return PlannedWrite(None, spec, old)
            check_replaceable(row, old)
            status = old.status
            if spec.get("state") != old.spec.get("state"):
                status = decided_status(row, change.now_unix_s)
            value = row_value(spec, status, change.mutation_id, row)
            result = Resource(kind, name, version, spec, status)
            return PlannedWrite(Write(row.key, value, version), spec, result)

        return await self._write(kind, name, plan, change)

    async def delete(
        self, kind: str, name: str, version: int, change: ChangeRequest
    ) -> Resource:
        """Delete one version of a resource and return its last state.

        Raises ResourceMissingError and ResourceConflictError.
        """

        def plan(row: Row | None) -> PlannedWrite:
            row = require_row(kind, name, row)
            old = resource_of(kind, row)
            check_version(row, version)
            check_deletable(row, old)
            return PlannedWrite(Write(row.key, None, version), None, old)

        try:
            return await self._write(kind, name, plan, change)
        except AlreadyWrittenError as error:
            if error.current_version != ABSENT:
                raise
            return Resource(kind, name, version, {}, {})

    async def _write(
        self, kind: str, name: str, plan: Plan, change: ChangeRequest
    ) -> Resource:
        """Commit a planned write; retry when the guard has advanced."""
        table = self.store.table
        for attempt in range(GUARD_ATTEMPTS):
            await sleep(self.random.uniform(0, attempt * GUARD_DELAY_S))
            guard = await read_guard(table, guard_key(kind, name))
            row = await table.read(resource_key(kind, name))
            if is_already_written(row, guard, change.mutation_id):
                return current_result(kind, row)
            planned = plan(row)
            if planned.write is None:
                return planned.result
            await self._check(kind, name, planned.spec)
            if change.dry_run:
                return planned.result
            try:
                version = await self.store.commit(
                    planned.write, row, guard, change.mutation_id
                )
            except AlreadyWrittenError:
                return current_result(
                    kind, await table.read(planned.write.key)
                )
            except TableConflictError:
                # A concurrent write advanced the guard: plan and check again.
                continue
            self._apply_to_memory(planned.write, version, change.mutation_id)
            return planned.result._replace(resource_version=version)
        raise TableUnavailableError(
            "The write lost every race with concurrent writes."
        )

    def _apply_to_memory(
        self, write: Write, version: int, mutation_id: str
    ) -> None:
        """Apply a committed configuration write before the next poll."""
        if write.key.startswith(CONFIG_PREFIX):
            row = Row(write.key, version, mutation_id, write.value)
            self.config.apply_committed_row(row)

    async def _check(
        self, kind: str, name: str, spec: dict[str, Any] | None
    ) -> None:
        """Check a spec, or a deletion, against the other resources."""
        if kind == "job" and spec is not None:
            await self._check_job(name, spec)
        if kind not in GUARDED_KINDS:
            return
        view = await read_view(self.store.table, self.config)
        if spec is not None:
            check_consistency(kind, name, spec, view, self.rules)
            return
        problems = check_guarantees(view.without(kind, name), self.rules)
        if problems:
            raise ValidationError(tuple(problems))

    async def _check_job(self, name: str, spec: dict[str, Any]) -> None:
        try:
            view = memory_view(self.config)
            check_consistency("job", name, spec, view, self.rules)
        except ValidationError:
            # Memory may be seconds old, so check again against the table.
            view = await read_view(self.store.table, self.config)
            check_consistency("job", name, spec, view, self.rules)


def is_already_written(
    row: Row | None, guard: Guard, mutation_id: str
) -> bool:
    """Return whether a request has already taken effect."""
    if mutation_id in guard.passed:
        return True
    return row is not None and is_written_by(row, mutation_id)


def current_result(kind: str, row: Row | None) -> Resource:
    """Return the current resource of a request that already took effect.

    Raises AlreadyWrittenError when its row has been deleted.
    """
    if row is None:
        raise already_written_error(row)
    return resource_of(kind, row)


def require_row(kind: str, name: str, row: Row | None) -> Row:
    """Return the row, or raise ResourceMissingError if it is None."""
    if row is None:
        raise ResourceMissingError(kind, name)
    return row


def with_previous_state(old: Resource, given: Any) -> Any:
    """Return a spec; a failure domain without a state keeps the old one."""
    if old.kind != "failure_domain" or not isinstance(given, dict):
        return given
    return {"state": old.spec["state"], **given}


def new_status(kind: str, now_unix_s: float) -> dict[str, Any]:
    """Return the initial status of a new resource."""
    if kind == "job":
        return dict(new_job_status(now_unix_s))
    if kind == "failure_domain":
        return decided_status(None, now_unix_s)
    return {}


def check_version(row: Row, version: int) -> None:
    """Raise ResourceConflictError unless the row is at the version."""
    if row.revision != version:
        raise ResourceConflictError(
            f"The resource is at version {row.revision}, not {version}.",
            row.revision,
        )


def check_replaceable(row: Row, old: Resource) -> None:
    """Raise ResourceConflictError for a job that is no longer queued."""
    state = job_state(old)
    if state not in ("", JOB_QUEUED):
        raise ResourceConflictError(
            f"The job is {state}; only a queued job can be changed.",
            row.revision,
        )


def check_deletable(row: Row, old: Resource) -> None:
    """Raise ResourceConflictError for a placed or running job.

    Also raises it for a failure domain that is in service.
    """
    state = job_state(old)
    if state and state != JOB_QUEUED and state not in JOB_ENDED:
        raise ResourceConflictError(
            f"The job is {state}; cancel it before deleting it.",
            row.revision,
        )
    in_service = old.spec.get("state") != STATE_OUT
    if old.kind == "failure_domain" and in_service:
        raise ResourceConflictError(
            "The failure domain is in service; drain it before deleting it.",
            row.revision,
        )


def job_state(resource: Resource) -> str:
    """Return a job's state, or an empty string for other kinds."""
    return str(resource.status["state"]) if resource.kind == "job" else ""

"""Create, replace and delete resources as operators ask.

Each function makes one decision on what it read and commits it on the
condition that this still holds.
"""

from typing import Any, NamedTuple

from damaskstall.errors import (
    ResourceConflictError,
    TableConflictError,
    TableOutcomeUnknownError,
    ValidationError,
)
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.resources.checks import (
    GUARDED_KINDS,
    Planner,
    check_against,
    check_guarantees,
    memory_view,
    read_guard,
    read_view,
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
    is_written_by,
    resource_key,
    row_value,
)
from damaskstall.resources.take_out import decided_status
from damaskstall.resources.validate import validate_resource

GUARD_ATTEMPTS = 5


class Change(NamedTuple):
    """Say who asks for a change, when, and whether it is only tried out."""

    mutation_id: str
    now_unix_s: float
    dry_run: bool


class ResourceWriter:
    """Write declarations that are valid by themselves and together."""

    def __init__(
        self, store: ResourceStore, config: ConfigStore, planner: Planner
    ) -> None:
        """Check against the configuration and keep in the store."""
        self.store = store
        self.config = config
        self.planner = planner

    async def create(
        self, kind: str, name: Any, given: Any, change: Change
    ) -> Resource:
        """Create a resource from the spec given.

        Raises ValidationError and ResourceConflictError.
        """
        spec = validate_resource(kind, name, given)
        status = new_status(kind, change.now_unix_s)
        value = row_value(spec, status, change.mutation_id)
        write = Write(resource_key(kind, name), value, ABSENT)
        version = await self._write_checked(
            kind, name, spec, write, None, change
        )
        return Resource(kind, name, version, spec, status)

    async def replace(
        self, kind: str, name: str, given: Any, version: int, change: Change
    ) -> Resource:
        """Replace the spec of one version of a resource.

        Writes nothing where the spec is the same already.

        Raises ValidationError, ResourceMissingError and
        ResourceConflictError.
        """
        row = await self.store.read_row(kind, name)
        old = row.value or {}
        if isinstance(given, dict) and kind == "failure_domain":
            given = {"state": old["spec"]["state"], **given}
        spec = validate_resource(kind, name, given)
        if is_written_by(row, change.mutation_id):
            return Resource(kind, name, row.revision, spec, old["status"])
        check_version(row, version)
        if spec == old["spec"]:
            return Resource(kind, name, version, spec, old["status"])
        check_replaceable(kind, row)
        status = old.get("status", {})
        if kind == "failure_domain" and spec["state"] != old["spec"]["state"]:
            status = decided_status(row, change.now_unix_s)
        value = row_value(spec, status, change.mutation_id, row)
        write = Write(row.key, value, version)
        written = await self._write_checked(
            kind, name, spec, write, row, change
        )
        return Resource(kind, name, written, spec, status)

    async def delete(
        self, kind: str, name: str, version: int, change: Change
    ) -> Resource:
        """Delete one version of a resource; return what it was.

        Raises ResourceMissingError and ResourceConflictError.
        """
        row = await self.store.read_row(kind, name)
        check_version(row, version)
        check_deletable(kind, row)
        old = row.value or {}
        write = Write(row.key, None, version)
        written = await self._write_checked(
            kind, name, None, write, row, change
        )
        return Resource(kind, name, written, old["spec"], old["status"])

    async def _write_checked(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any] | None,
        write: Write,
        row: Row | None,
        change: Change,
    ) -> int:
        """Commit a write whose checks still hold when it takes effect.

        Returns the version written, or the present one of a dry run.
        """
        for _ in range(GUARD_ATTEMPTS):
            guards = await self._check(kind, name, spec, change)
            if change.dry_run:
                return await self._check_dry(write)
            try:
                return await self.store.commit(
                    write, row, guards, change.mutation_id
                )
            except TableConflictError:
                # Another's write moved the guard: check again with it.
                continue
        raise TableOutcomeUnknownError(
            f"The write of {write.key!r} lost every race for the guard row."
        )

    async def _check(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any] | None,
        change: Change,
    ) -> tuple[Write, ...]:
        """Check a spec against the others; return the guards it needs."""
        if kind not in GUARDED_KINDS:
            if kind == "job" and spec is not None:
                await self._check_job(name, spec)
            return ()
        guard = await read_guard(self.store.table, change.mutation_id)
        view = await read_view(self.store.table, self.config)
        if spec is not None:
            check_against(kind, name, spec, view, self.planner)
        elif kind == "failure_domain":
            problems = check_guarantees(view.without(kind, name), self.planner)
            if problems:
                raise ValidationError(tuple(problems))
        return (guard,)

    async def _check_job(self, name: str, spec: dict[str, Any]) -> None:
        try:
            view = memory_view(self.config)
            check_against("job", name, spec, view, self.planner)
        except ValidationError:
            # What is in memory may be seconds old: the table decides.
            view = await read_view(self.store.table, self.config)
            check_against("job", name, spec, view, self.planner)

    async def _check_dry(self, write: Write) -> int:
        """Return the present version; raise ResourceConflictError."""
        row = await self.store.table.read(write.key)
        current = ABSENT if row is None else row.revision
        if current != write.if_revision:
            raise ResourceConflictError(
                f"The resource is at version {current}, "
                f"not at {write.if_revision}.",
                current,
            )
        return current


def new_status(kind: str, now_unix_s: float) -> dict[str, Any]:
    """Return the status of a resource that was just declared."""
    if kind == "job":
        return dict(new_job_status(now_unix_s))
    if kind == "failure_domain":
        return decided_status(None, now_unix_s)
    return {}


def check_version(row: Row, version: int) -> None:
    """Raise ResourceConflictError when a row is at another version."""
    if row.revision != version:
        raise ResourceConflictError(
            f"The resource is at version {row.revision}, not at {version}.",
            row.revision,
        )


def check_replaceable(kind: str, row: Row) -> None:
    """Raise ResourceConflictError for a job that has been placed."""
    state = job_state(kind, row)
    if state not in ("", JOB_QUEUED):
        raise ResourceConflictError(
            f"The job is {state}: only a queued job can be changed.",
            row.revision,
        )


def check_deletable(kind: str, row: Row) -> None:
    """Raise ResourceConflictError where deleting would lose work."""
    state = job_state(kind, row)
    if state and state != JOB_QUEUED and state not in JOB_ENDED:
        raise ResourceConflictError(
            f"The job is {state}: cancel it before it is deleted.",
            row.revision,
        )
    spec = (row.value or {}).get("spec", {})
    if kind == "failure_domain" and spec.get("state") != STATE_OUT:
        raise ResourceConflictError(
            "The failure domain is in service: drain it before it is deleted.",
            row.revision,
        )


def job_state(kind: str, row: Row) -> str:
    """Return a job's state, and an empty text for other kinds."""
    if kind != "job":
        return ""
    state: str = (row.value or {})["status"]["state"]
    return state

"""Store resources as rows of the table.

A row's value is ``{"spec", "status", "written_ids"}``. ``written_ids`` lists
the latest operator mutations of the row, so that the outcome of a write with
a lost response can be determined although a scheduler or another operator
has written the row since.
"""

from typing import Any, NamedTuple
from uuid import uuid4

from damaskstall.errors import (
    AlreadyWrittenError,
    ResourceConflictError,
    ResourceMissingError,
    RevisionTooOldError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import (
    CONFIG_PREFIX,
    JOB_PREFIX,
    config_key,
    job_key,
)
from damaskstall.platform.types import ABSENT, Row, TableService, Write
from damaskstall.resources.guards import Guard, read_guard
from damaskstall.resources.records import Resource

WRITTEN_IDS_LIMIT = 8

CHANGES_LIMIT = 10


class ResourcePage(NamedTuple):
    """One page of a list; ``next_after`` is empty on the last page."""

    resources: tuple[Resource, ...]
    next_after: str
    revision: int


def resource_key(kind: str, name: str) -> str:
    """Return the key of a resource's row."""
    return job_key(name) if kind == "job" else config_key(kind, name)


def kind_prefix(kind: str) -> str:
    """Return the row key prefix of a kind."""
    return JOB_PREFIX if kind == "job" else f"{CONFIG_PREFIX}{kind}/"


def resource_of(kind: str, row: Row) -> Resource:
    """Return the resource of a row."""
    value = row.value or {}
    name = row.key.removeprefix(kind_prefix(kind))
    return Resource(
        kind,
        name,
        row.revision,
        value.get("spec", {}),
        value.get("status", {}),
    )


def resource_json(resource: Resource) -> dict[str, Any]:
    """Return a resource's JSON object for operators."""
    return resource._asdict()


def new_mutation_id(instance: str) -> str:
    """Return a unique mutation id."""
    return f"{instance}-{uuid4().hex}"


def row_value(
    spec: dict[str, Any],
    status: dict[str, Any],
    mutation_id: str,
    previous: Row | None = None,
) -> dict[str, Any]:
    """Return a row value for an operator's write, with its mutation id."""
    known = written_ids(previous)
    return {
        "spec": spec,
        "status": status,
        "written_ids": [*known, mutation_id][-WRITTEN_IDS_LIMIT:],
    }


def written_ids(row: Row | None) -> list[str]:
    """Return the latest operator mutation ids of a row, oldest first."""
    if row is None or row.value is None:
        return []
    ids: list[str] = row.value.get("written_ids", [])
    return ids


class ResourceStore:
    """Reads and writes resources; resolves writes with lost responses."""

    def __init__(self, table: TableService) -> None:
        """Store the resources in a table."""
        self.table = table

    async def read_row(self, kind: str, name: str) -> Row:
        """Return a resource's row; raise ResourceMissingError if absent."""
        row = await self.table.read(resource_key(kind, name))
        if row is None:
            raise ResourceMissingError(kind, name)
        return row

    async def list_page(
        self, kind: str, after_name: str, limit: int
    ) -> ResourcePage:
        """Return a page of the resources of a kind, ordered by name."""
        prefix = kind_prefix(kind)
        after = prefix + after_name if after_name else ""
        page = await self.table.scan(prefix, after, limit)
        return ResourcePage(
            tuple(resource_of(kind, row) for row in page.rows),
            page.next_after.removeprefix(prefix),
            page.revision,
        )

    async def replace(
        self, row: Row, value: dict[str, Any], mutation_id: str
    ) -> int:
        """Write a row if it is still at the version read; return the new one.

        Raises ResourceConflictError and TableOutcomeUnknownError.
        """
        write = Write(row.key, value, row.revision)
        return await self.commit(write, row, None, mutation_id)

    async def commit(
        self,
        write: Write,
        row: Row | None,
        guard: Guard | None,
        mutation_id: str,
    ) -> int:
        """Write a row if it is unchanged since the read; return the version.

        ``row`` is None when the row was absent. Raises
        ResourceConflictError when the row has changed, AlreadyWrittenError
        when this write took effect and the row has changed since, and
        TableConflictError when only the guard has advanced.
        """
        known_id = latest_mutation_id(row) if row is not None else ""
        guards = (guard.write(mutation_id),) if guard is not None else ()
        try:
            return await commit_with_retry(
                self.table, (write, *guards), mutation_id
            )
        except TableConflictError as error:
            if error.key != write.key:
                raise
            # A repeated write may have committed before, or a copy of it may
            # still be in flight.
        except TableOutcomeUnknownError:
            pass
        return await self._resolve_outcome(write, known_id, guard, mutation_id)

    async def _resolve_outcome(
        self,
        write: Write,
        known_id: str,
        guard: Guard | None,
        mutation_id: str,
    ) -> int:
        """Determine the outcome of a write; return its version.

        Raises AlreadyWrittenError when the write took effect and the row was
        written again since; ResourceConflictError and TableConflictError
        only when the write had no effect and cannot have one later; and
        TableOutcomeUnknownError when the outcome cannot be determined.
        """
        # The guard is read first: once it has advanced, no copy of the write
        # can commit after the row is read.
        advanced_guard = (
            None
            if guard is None
            else await self._read_guard_if_advanced(guard)
        )
        since = write.if_revision
        if guard is not None:
            since = max(since, guard.revision)
        row = await self._read_latest(write, since)
        if row is not None and row.mutation_id == mutation_id:
            return row.revision
        if row is not None and is_written_by(row, mutation_id):
            raise already_written_error(row)
        if advanced_guard is not None and mutation_id in advanced_guard.passed:
            raise already_written_error(row)
        if is_unchanged(row, write):
            if advanced_guard is not None:
                raise TableConflictError(
                    advanced_guard.key, advanced_guard.revision
                )
            raise TableOutcomeUnknownError(
                f"The write of {write.key!r} has not taken effect, but still "
                "may."
            )
        cannot_apply = (
            advanced_guard is not None or write.if_revision != ABSENT
        )
        if (
            cannot_apply
            and row is not None
            and has_every_id_since(row, known_id)
        ):
            raise version_conflict(write, row.revision)
        raise TableOutcomeUnknownError(
            f"The row {write.key!r} was changed by another request, and "
            "whether this write took effect before cannot be determined."
        )

    async def _read_guard_if_advanced(self, guard: Guard) -> Guard | None:
        """Return the guard's new state, or None if it has not advanced."""
        try:
            newest = await read_guard(self.table, guard.key)
        except TableUnavailableError as error:
            raise TableOutcomeUnknownError(
                f"The guard row {guard.key!r} could not be read to determine "
                "the outcome of a write."
            ) from error
        return newest if newest.revision != guard.revision else None

    async def _read_latest(self, write: Write, since: int) -> Row | None:
        """Return the row, or its tombstone if it was deleted after ``since``.

        Returns None when the row is absent for any other reason.
        """
        try:
            row = await self.table.read(write.key)
            if row is not None:
                return row
            page = await self.table.changes(write.key, since, CHANGES_LIMIT)
        except (TableUnavailableError, RevisionTooOldError) as error:
            raise TableOutcomeUnknownError(
                f"The row {write.key!r} could not be read to determine the "
                "outcome of its write."
            ) from error
        return next((r for r in page.rows if r.key == write.key), None)


def already_written_error(row: Row | None) -> AlreadyWrittenError:
    """Return the error of a write whose row was changed again since."""
    live = row is not None and row.value is not None
    return AlreadyWrittenError(
        "The request already took effect, and the resource was replaced or "
        "deleted since.",
        row.revision if row is not None and live else ABSENT,
    )


def version_conflict(write: Write, current: int) -> ResourceConflictError:
    """Return the error of a write to a row at another version."""
    return ResourceConflictError(
        f"The resource is at version {current}, not {write.if_revision}.",
        current,
    )


def is_unchanged(row: Row | None, write: Write) -> bool:
    """Return whether a row is still at the revision a write expects."""
    if row is None:
        return write.if_revision == ABSENT
    return row.value is not None and row.revision == write.if_revision


def is_written_by(row: Row, mutation_id: str) -> bool:
    """Return whether a mutation is among the row's latest mutations."""
    return row.mutation_id == mutation_id or mutation_id in written_ids(row)


def has_every_id_since(row: Row, known_id: str) -> bool:
    """Return whether a row lists every operator mutation since a known one.

    Without a known mutation, the row must list all of its mutations.
    """
    if row.value is None:
        return False
    if known_id:
        return known_id in written_ids(row)
    return len(written_ids(row)) < WRITTEN_IDS_LIMIT


def latest_mutation_id(row: Row) -> str:
    """Return the latest operator mutation id of a row, or an empty string."""
    return written_ids(row)[-1] if written_ids(row) else ""

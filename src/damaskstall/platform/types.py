"""Describe the platform's services as the product needs them.

The table service commits several rows at once, each on the condition that
its row is still at the revision the writer read. Every commit gets the next
revision of one sequence, and the changes after a revision can be read in
order. The adapters are thin: another platform needs only these calls.
"""

from typing import Any, NamedTuple, Protocol

ABSENT = 0

Value = dict[str, Any]


class Row(NamedTuple):
    """Hold one row: ``value`` is None where the row was deleted."""

    key: str
    revision: int
    mutation_id: str
    value: Value | None


class Write(NamedTuple):
    """Write one row if it is at ``if_revision`` (ABSENT: it must not exist).

    A value of None deletes the row.
    """

    key: str
    value: Value | None
    if_revision: int


class ScanPage(NamedTuple):
    """Hold rows in key order; ``next_after`` is empty on the last page.

    ``revision`` is the table's at the time of reading.
    """

    rows: tuple[Row, ...]
    next_after: str
    revision: int


class ChangePage(NamedTuple):
    """Hold the newest state of changed rows in revision order.

    ``revision`` is the one to ask after next; ``complete`` says that nothing
    newer stood under the prefix when the page was read.
    """

    rows: tuple[Row, ...]
    revision: int
    complete: bool


class TableService(Protocol):
    """Read and conditionally write rows.

    Each call raises TableUnavailableError when it surely did nothing. A
    commit raises TableConflictError on a lost race, and
    TableOutcomeUnknownError when its answer is lost.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision, deleted ones included.

        Raises RevisionTooOldError when those changes are no longer kept.
        """

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""


class ObjectStore(Protocol):
    """Keep objects by key; raises PlatformError when it is down."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object, in place of an earlier one."""

    async def get(self, key: str) -> bytes:
        """Return an object; raise ObjectMissingError where there is none."""

    async def delete(self, key: str) -> None:
        """Remove an object if it is there."""


class InstanceRecord(NamedTuple):
    """Describe one instance in the platform's lagging list."""

    name: str
    role: str
    failure_domain: str
    address: str
    leaving: bool


class InstanceList(Protocol):
    """Read the platform's lagging list of live and leaving instances."""

    async def instances(self) -> tuple[InstanceRecord, ...]:
        """Return the list; raise PlatformError when it is down."""

    async def register(self, record: InstanceRecord) -> None:
        """Report an instance as live or leaving."""

"""Define the interfaces of the platform's services to this program.

The table service commits several rows at once, each on the condition that
its row is still at the revision the writer read. Every commit gets the next
revision of one sequence, and the changes after a revision can be read in
order. The adapters are thin: an adapter to another platform implements only
these calls.
"""

from typing import Any, NamedTuple, Protocol

# Revision of a row that does not exist.
ABSENT = 0

Value = dict[str, Any]


class Row(NamedTuple):
    """One row: ``value`` is None if the row was deleted."""

    key: str
    revision: int
    mutation_id: str
    value: Value | None


class Write(NamedTuple):
    """Write of one row at ``if_revision`` (ABSENT: it must not exist).

    A value of None deletes the row.
    """

    key: str
    value: Value | None
    if_revision: int


class ScanPage(NamedTuple):
    """Rows in key order; ``next_after`` is empty on the last page.

    ``revision`` is the table's revision at the time of reading.
    """

    rows: tuple[Row, ...]
    next_after: str
    revision: int


class ChangePage(NamedTuple):
    """The newest state of changed rows, in revision order.

    ``revision`` is the one from which to read the next page; ``complete`` is
    true if there was no newer change when the page was read.
    """

    rows: tuple[Row, ...]
    revision: int
    complete: bool


class TableService(Protocol):
    """Table service: reads rows and writes them conditionally.

    Each call raises TableUnavailableError when it certainly had no effect. A
    commit raises TableConflictError when a row has another revision than
    expected, and TableOutcomeUnknownError when its answer is lost.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision, deleted ones included.

        Raises RevisionTooOldError when they are no longer available.
        """

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""


class ObjectStore(Protocol):
    """Store of objects by key; raises PlatformError when unavailable."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object; replace an earlier one with the key."""

    async def get(self, key: str) -> bytes:
        """Return an object; raise ObjectMissingError if it is missing."""

    async def delete(self, key: str) -> None:
        """Remove an object if it exists."""


class InstanceRecord(NamedTuple):
    """One instance in the platform's list, which may be out of date."""

    name: str
    role: str
    failure_domain: str
    address: str
    leaving: bool


class InstanceList(Protocol):
    """The platform's list of live and leaving instances.

    The list may be out of date.
    """

    async def instances(self) -> tuple[InstanceRecord, ...]:
        """Return the list; raise PlatformError when it is unavailable."""

    async def register(self, record: InstanceRecord) -> None:
        """Report an instance as live or leaving."""

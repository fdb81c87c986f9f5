"""Store the rows of the stand-in store under one version counter."""

from collections import deque
from typing import Any, NamedTuple

PAGE_ROWS = 500
ENTRY_LIMIT = 100


class RowId(NamedTuple):
    """The identifier of a row."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """A row's base64 text, None if it was removed, and its version."""

    value: str | None
    version: int


class ConditionFailedError(Exception):
    """Raised if a row is not at the version that a transaction expects."""


class HistoryCompactedError(Exception):
    """Raised if the requested changes have been compacted."""


def row_id(fields: Any) -> RowId:
    """Return the identifier in a row's wire format."""
    return RowId(fields["table"], fields["part"], fields["key"])


class RowTable:
    """A table of rows that applies transactions in one sequence."""

    def __init__(self) -> None:
        """Create an empty table at version 1."""
        self.rows: dict[RowId, StoredRow] = {}
        self.version = 1
        self.compacted_version = 0
        self.changes: deque[tuple[int, RowId]] = deque()

    def apply(self, body: dict[str, Any]) -> int:
        """Apply a transaction atomically and return the new version.

        Raise ConditionFailedError if a row has not the expected version.
        """
        entries = [*body["expect"], *body["writes"], *body["remove"]]
        parts = {entry["part"] for entry in entries}
        if len(parts) > 1 or len(entries) > ENTRY_LIMIT:
            raise ValueError(
                "A transaction must have one part and at most 100 entries."
            )
        for expected in body["expect"]:
            if self.version_of(row_id(expected)) != expected["version_number"]:
                raise ConditionFailedError
        self.version += 1
        for write in body["writes"]:
            self._set(row_id(write), write["value"])
        for removed in body["remove"]:
            self._set(row_id(removed), None)
        return self.version

    def names(self) -> list[RowId]:
        """Return the identifiers of the rows that exist."""
        return [n for n, row in self.rows.items() if row.value is not None]

    def version_of(self, name: RowId) -> int:
        """Return a row's version, 0 if it does not exist."""
        row = self.rows.get(name)
        return row.version if row is not None and row.value is not None else 0

    def to_wire(self, name: RowId) -> dict[str, Any]:
        """Return a row in its wire format."""
        row = self.rows.get(name, StoredRow(None, 0))
        fields: dict[str, Any] = {
            **name._asdict(),
            "version_number": row.version,
        }
        if row.value is None:
            fields["deleted"] = True
        else:
            fields["value"] = row.value
        return fields

    def get(
        self, table: str, part: str, first: str, limit: int
    ) -> tuple[list[dict[str, Any]], bool]:
        """Return rows of a part from key ``first`` on, and if more follow."""
        ids = sorted(
            name
            for name, row in self.rows.items()
            if name[:2] == (table, part)
            and row.value is not None
            and name.key >= first
        )
        limit = min(limit, PAGE_ROWS)
        return [self.to_wire(name) for name in ids[:limit]], len(ids) > limit

    def feed(self, table: str, after: int) -> list[dict[str, Any]]:
        """Return a table's rows that changed after a version.

        Raise HistoryCompactedError if not all these changes are kept.
        """
        if after < self.compacted_version:
            raise HistoryCompactedError
        found: dict[RowId, None] = {}
        for version, name in self.changes:
            if version > after and name.table == table:
                found.pop(name, None)
                found[name] = None
        return [self.to_wire(name) for name in found]

    def compact_changes(self) -> None:
        """Drop all recorded changes, as a store does after some time."""
        self.compacted_version = self.version
        self.changes.clear()

    def _set(self, name: RowId, value: str | None) -> None:
        self.rows[name] = StoredRow(value, self.version)
        self.changes.append((self.version, name))

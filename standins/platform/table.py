"""Store the rows of the stand-in table service in memory."""

from bisect import bisect_right
from collections.abc import Callable
from typing import NamedTuple

from damaskstall.errors import RevisionTooOldError, TableConflictError
from damaskstall.platform.types import (
    ABSENT,
    ChangePage,
    Row,
    ScanPage,
    Write,
)

CHANGE_LIMIT = 200_000


class Commit(NamedTuple):
    """One commit in the log: when it took effect and what it wrote."""

    time_s: float
    revision: int
    mutation_id: str
    writes: tuple[Write, ...]


class TableCore:
    """A table with one sequence of revisions and a log of all commits.

    Tests compare what the processes report with this log.
    """

    def __init__(self) -> None:
        """Start empty at revision 0."""
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.compacted_revision = 0
        self.commits: list[Commit] = []
        self.listeners: list[Callable[[Commit], None]] = []
        self._change_revisions: list[int] = []
        self._change_keys: list[str] = []

    def read(self, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        row = self.rows.get(key)
        return row if row is not None and row.value is not None else None

    def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key has a prefix and sorts after ``after``."""
        keys = sorted(
            key
            for key, row in self.rows.items()
            if row.value is not None and key.startswith(prefix) and key > after
        )
        rows = tuple(self.rows[key] for key in keys[:limit])
        next_after = rows[-1].key if len(keys) > limit else ""
        return ScanPage(rows, next_after, self.revision)

    def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return the newest state of rows changed after a revision.

        Raises RevisionTooOldError if those changes were discarded.
        """
        if after_revision < self.compacted_revision:
            raise RevisionTooOldError("The requested changes were discarded.")
        rows: list[Row] = []
        start = bisect_right(self._change_revisions, after_revision)
        for index in range(start, len(self._change_keys)):
            row = self.rows[self._change_keys[index]]
            if row.revision != self._change_revisions[index]:
                continue
            if not row.key.startswith(prefix):
                continue
            if len(rows) >= limit and row.revision != rows[-1].revision:
                return ChangePage(tuple(rows), rows[-1].revision, False)
            rows.append(row)
        return ChangePage(tuple(rows), self.revision, True)

    def commit(
        self, writes: tuple[Write, ...], mutation_id: str, now_s: float
    ) -> int:
        """Write all rows or none; return the new revision."""
        for write in writes:
            current = self.read(write.key)
            revision = current.revision if current else ABSENT
            if revision != write.if_revision:
                raise TableConflictError(write.key, revision)
        self.revision += 1
        for write in writes:
            row = Row(write.key, self.revision, mutation_id, write.value)
            self.rows[write.key] = row
            self._change_revisions.append(self.revision)
            self._change_keys.append(write.key)
        commit = Commit(now_s, self.revision, mutation_id, writes)
        self.commits.append(commit)
        for listener in self.listeners:
            listener(commit)
        if len(self._change_keys) > CHANGE_LIMIT:
            self.compact_changes(CHANGE_LIMIT // 2)
        return self.revision

    def compact_changes(self, keep: int) -> None:
        """Discard all but the newest changes, as a real table does later.

        The changes of one commit are discarded together.
        """
        discarded = max(0, len(self._change_keys) - keep)
        if not discarded:
            return
        self.compacted_revision = self._change_revisions[discarded - 1]
        discarded = bisect_right(
            self._change_revisions, self.compacted_revision
        )
        del self._change_revisions[:discarded]
        del self._change_keys[:discarded]

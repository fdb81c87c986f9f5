"""Store a process's copy of the configuration.

Three invariants hold for any order of updates:

- Every commit up to the store's revision is known here, in its own or a later
  state. The revision never decreases, and an update that begins after it is
  refused, since the commits in between would be missed.
- A row only moves to a higher revision. A row at or below the store's revision
  is ignored, so a deleted row cannot reappear.
- Freshness counts from the send time of the request that confirmed it, so a
  slow response makes the configuration look older, never fresher.
"""

from typing import Any, NamedTuple

from trio import Event

from damaskstall.peers.pending_state_changes import (
    PendingStateChange,
    PendingStateChanges,
)
from damaskstall.platform.keys import config_key, split_config_key
from damaskstall.platform.types import ChangePage, Row
from damaskstall.resources.records import STATE_OUT

__all__ = [
    "NEVER",
    "ConfigDump",
    "ConfigEntry",
    "ConfigStore",
    "PendingStateChange",
]

NEVER = float("-inf")
TOMBSTONE_LIMIT = 512


class ConfigEntry(NamedTuple):
    """One configuration resource; ``value`` is None for a deleted one."""

    revision: int
    value: dict[str, Any] | None


class ConfigDump(NamedTuple):
    """A summary of a store; ``confirmed_age_s`` is None if never confirmed."""

    revision: int
    config_revision: int
    confirmed_age_s: float | None
    rows: int
    tombstones: int
    tombstone_floor: int
    pending: tuple[PendingStateChange, ...]


class ConfigStore:
    """The configuration rows, their revision and their freshness."""

    def __init__(self, tombstone_limit: int = TOMBSTONE_LIMIT) -> None:
        """Start empty; keep about ``tombstone_limit`` deleted rows at most."""
        self.tombstone_limit = tombstone_limit
        self.entries: dict[str, ConfigEntry] = {}
        self.revision = 0
        self.config_revision = 0
        self.confirmed_s = NEVER
        # Increases with each change, also when an older row changes.
        self.version = 0
        # Deletions up to this revision may be missing from the entries.
        self.tombstone_floor = 0
        self.state_changes = PendingStateChanges()
        self._tombstones = 0
        self._changed = Event()

    @property
    def pending(self) -> dict[str, PendingStateChange]:
        """Return the state changes that the table has not stored yet."""
        return self.state_changes.held

    def apply(
        self,
        page: ChangePage,
        confirmed_s: float,
        after_revision: int | None = None,
    ) -> bool:
        """Apply a page of changes that was current at ``confirmed_s``.

        The page starts after ``after_revision``, or after the store's
        revision if that is None. Returns False, and changes nothing, for a
        page that starts after the store's revision or ends before its own
        start.
        """
        after = self.revision if after_revision is None else after_revision
        if after > self.revision or page.revision < after:
            return False
        changed = self._apply_rows(page.rows)
        self.revision = max(self.revision, page.revision)
        if page.complete:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        self._drop_old_tombstones()
        if changed:
            self.notify_change()
        return True

    def apply_snapshot(
        self, rows: tuple[Row, ...], revision: int, confirmed_s: float
    ) -> bool:
        """Apply a snapshot of all rows at a revision; remove other rows.

        Returns False, and changes no row, for a revision below the store's.
        """
        if revision < self.revision:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
            return False
        kept = {row.key for row in rows}
        removed = [
            key
            for key, entry in self.entries.items()
            if key not in kept and entry.revision <= revision
        ]
        for key in removed:
            self._remove_entry(key)
        changed = self._apply_rows(rows) or bool(removed)
        self.revision = revision
        self.tombstone_floor = revision
        self.confirmed_s = max(self.confirmed_s, confirmed_s)
        if changed:
            self.notify_change()
        return True

    def apply_committed_row(self, row: Row) -> None:
        """Apply one row known to be in the table, such as an own write.

        Changes neither the revision nor the freshness, since there may be
        unknown commits in between.
        """
        if self._apply_row(row):
            self.notify_change()

    def confirm(self, revision: int, confirmed_s: float) -> None:
        """Record that a source at a revision was current at a time.

        Does nothing when that revision is above the store's.
        """
        if revision <= self.revision:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def age_s(self, now_s: float) -> float:
        """Return seconds since the configuration was last known current."""
        return now_s - self.confirmed_s

    def rows_after(self, revision: int) -> tuple[Row, ...]:
        """Return the rows changed after a revision, including deleted rows."""
        return tuple(
            Row(key, entry.revision, "", entry.value)
            for key, entry in self.entries.items()
            if entry.revision > revision
        )

    def live_rows(self) -> tuple[Row, ...]:
        """Return all rows that are not deleted."""
        return tuple(
            Row(key, entry.revision, "", entry.value)
            for key, entry in self.entries.items()
            if entry.value is not None
        )

    def resources(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the values of one kind's rows by name."""
        found = {}
        for key, entry in self.entries.items():
            row_kind, name = split_config_key(key)
            if row_kind == kind and entry.value is not None:
                found[name] = entry.value
        return found

    def spec(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return the spec of one resource, or None if it is absent."""
        entry = self.entries.get(config_key(kind, name))
        if entry is None or entry.value is None:
            return None
        spec: dict[str, Any] = entry.value["spec"]
        return spec

    def is_out(self, failure_domain: str) -> bool:
        """Return whether a failure domain is known to be out of service."""
        pending = self.pending.get(failure_domain)
        if pending is not None and pending.out:
            return True
        spec = self.spec("failure_domain", failure_domain)
        return spec is not None and spec.get("state") == STATE_OUT

    def hold_state_change(self, pending: PendingStateChange) -> bool:
        """Apply a state change in memory until the table has stored it.

        Returns False if it is already known or superseded.
        """
        name = pending.failure_domain
        key = config_key("failure_domain", name)
        entry = self.entries.get(key)
        revision = 0 if entry is None else entry.revision
        value = None if entry is None else entry.value
        held = self.state_changes.hold_state_change(pending, revision, value)
        if held:
            self.notify_change()
        return held

    def remove_state_change(self, failure_domain: str, issued_id: str) -> None:
        """Remove a pending state change that is stored, superseded or refused.

        Does nothing unless the pending change has the given id.
        """
        if self.state_changes.remove_state_change(failure_domain, issued_id):
            self.notify_change()

    def notify_change(self) -> None:
        """Increase the version and wake all waiters."""
        self.version += 1
        self._changed.set()
        self._changed = Event()

    async def wait_change(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def dump(self, now_s: float) -> ConfigDump:
        """Return a summary of the store, for debugging."""
        confirmed = self.confirmed_s != NEVER
        return ConfigDump(
            revision=self.revision,
            config_revision=self.config_revision,
            confirmed_age_s=self.age_s(now_s) if confirmed else None,
            rows=len(self.entries) - self._tombstones,
            tombstones=self._tombstones,
            tombstone_floor=self.tombstone_floor,
            pending=tuple(self.pending.values()),
        )

    def _apply_rows(self, rows: tuple[Row, ...]) -> bool:
        changed = False
        for row in rows:
            changed |= self._apply_row(row)
        return changed

    def _apply_row(self, row: Row) -> bool:
        if row.revision <= self.revision:
            return False
        known = self.entries.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        self._count_tombstone(known, -1)
        entry = ConfigEntry(row.revision, row.value)
        self.entries[row.key] = entry
        self._count_tombstone(entry, 1)
        self.config_revision = max(self.config_revision, row.revision)
        self._remove_superseded_change(row)
        return True

    def _remove_superseded_change(self, row: Row) -> None:
        kind, name = split_config_key(row.key)
        if kind == "failure_domain":
            self.state_changes.remove_if_superseded(
                name, row.revision, row.value
            )

    def _remove_entry(self, key: str) -> None:
        entry = self.entries.pop(key)
        self._count_tombstone(entry, -1)
        kind, name = split_config_key(key)
        if kind == "failure_domain":
            self.state_changes.remove_if_superseded(
                name, entry.revision + 1, None
            )

    def _count_tombstone(self, entry: ConfigEntry | None, step: int) -> None:
        if entry is not None and entry.value is None:
            self._tombstones += step

    def _drop_old_tombstones(self) -> None:
        """Discard the older half of the tombstones if there are too many.

        A peer that needs a discarded one is sent a snapshot instead.
        """
        if self._tombstones <= self.tombstone_limit:
            return
        found = sorted(
            (entry.revision, key)
            for key, entry in self.entries.items()
            if entry.value is None and entry.revision <= self.revision
        )
        for revision, key in found[: len(found) // 2]:
            del self.entries[key]
            self._tombstones -= 1
            self.tombstone_floor = max(self.tombstone_floor, revision)

"""Hold failure domain state changes that the table has not stored yet.

A state change is a drain or a restore; a TakeOut frame carries it between
processes. It is in force in memory from the moment an operator issues it,
until a row shows that the table has stored it or that a later change
superseded it.
"""

from collections import deque
from typing import NamedTuple

from damaskstall.platform.types import Value
from damaskstall.resources.records import STATE_OUT

REMOVED_IDS_LIMIT = 256
UNKNOWN_REVISION = -1


class PendingStateChange(NamedTuple):
    """A drain (``out`` is True) or restore that the table has not stored.

    ``base_revision`` is the revision of the failure domain's row that the
    issuer knew, and ``sequence`` is one more than that of the last pending
    change that it knew. The process that first holds the change sets both.
    ``issued_unix_s`` is on the issuer's clock and is compared with the row's
    ``decided_unix_s``; 0 means unknown.
    """

    failure_domain: str
    out: bool
    issued_id: str
    issued_s: float
    base_revision: int = UNKNOWN_REVISION
    sequence: int = 0
    issued_unix_s: float = 0.0


class PendingStateChanges:
    """The pending state changes, at most one for each failure domain."""

    def __init__(self) -> None:
        """Start without pending changes."""
        self.held: dict[str, PendingStateChange] = {}
        self._sequences: dict[str, int] = {}
        self._base_rows: dict[str, Value | None] = {}
        # Ids of removed changes, so that a late copy is not held again.
        self._removed_ids: deque[str] = deque(maxlen=REMOVED_IDS_LIMIT)

    def hold_state_change(
        self, pending: PendingStateChange, row_revision: int, row: Value | None
    ) -> bool:
        """Hold a change; return False if it is known or superseded."""
        name = pending.failure_domain
        known = self._sequences.get(name, 0)
        if pending.issued_id in self._removed_ids:
            return False
        if pending.base_revision == UNKNOWN_REVISION:
            pending = pending._replace(
                base_revision=row_revision, sequence=known + 1
            )
        earlier = self.held.get(name)
        if pending.sequence < known:
            return False
        if earlier is not None and not supersedes(pending, earlier):
            return False
        if row_revision > pending.base_revision:
            if is_superseded(pending, None, row):
                return False
            pending = pending._replace(base_revision=row_revision)
        self._replace(earlier, pending, row)
        return True

    def remove_state_change(self, failure_domain: str, issued_id: str) -> bool:
        """Remove the change with an id; return whether it was held."""
        pending = self.held.get(failure_domain)
        if pending is None or pending.issued_id != issued_id:
            return False
        self._remove(pending)
        return True

    def remove_if_superseded(
        self, failure_domain: str, revision: int, row: Value | None
    ) -> None:
        """Remove a change if a newer row of its domain supersedes it."""
        pending = self.held.get(failure_domain)
        if pending is None:
            return
        base = self._base_rows.get(failure_domain)
        self._base_rows[failure_domain] = row
        if revision <= pending.base_revision:
            return
        if is_superseded(pending, base, row):
            self._remove(pending)
            return
        self.held[failure_domain] = pending._replace(base_revision=revision)

    def _replace(
        self,
        earlier: PendingStateChange | None,
        pending: PendingStateChange,
        row: Value | None,
    ) -> None:
        if earlier is not None:
            self._remove(earlier)
        name = pending.failure_domain
        self.held[name] = pending
        self._base_rows[name] = row
        self._sequences[name] = pending.sequence

    def _remove(self, pending: PendingStateChange) -> None:
        del self.held[pending.failure_domain]
        self._base_rows.pop(pending.failure_domain, None)
        self._removed_ids.append(pending.issued_id)


def is_superseded(
    pending: PendingStateChange, base: Value | None, row: Value | None
) -> bool:
    """Return whether a newer row of the failure domain supersedes a change.

    A row whose state is out contains the change or makes it unnecessary. A
    row whose state is in supersedes it if that state was decided later. If
    the times are unknown, a row that only changes the racks is no decision
    about the state: it may be older than the pending change, which its
    issuer still has to write.
    """
    if row is None or row["spec"].get("state") == STATE_OUT:
        return True
    status = row.get("status") or {}
    decided_unix_s = status.get("decided_unix_s", 0.0)
    if decided_unix_s and pending.issued_unix_s:
        return bool(decided_unix_s >= pending.issued_unix_s)
    if base is None:
        return True
    return bool(base["spec"].get("racks") == row["spec"].get("racks"))


def supersedes(
    pending: PendingStateChange, earlier: PendingStateChange
) -> bool:
    """Return whether a change overrides another; all processes agree."""
    key = (pending.sequence, pending.issued_id)
    return key > (earlier.sequence, earlier.issued_id)

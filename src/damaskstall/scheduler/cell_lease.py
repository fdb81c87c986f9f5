"""Renew, check and release the lease of one cell.

The row contains the holder, its epoch and the TTL. The epoch increases with
every change of holder and is greater than the epoch of any earlier lease of
any cell, so a worker that moves between cells can order its holders.
"""

from collections.abc import Callable
from typing import NamedTuple
from uuid import uuid4

from trio import Lock, current_time

from damaskstall.errors import LeaseLostError, TableConflictError
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import cell_key
from damaskstall.platform.types import TableService, Value, Write

DECISION_MARGIN_RATIO = 0.1
# At most one renewal was in progress, and it may have been retried after its
# answer was lost.
RELEASE_TRIES = 3


class LeaseRow(NamedTuple):
    """The contents of a lease row; the holder is empty once released."""

    holder: str
    epoch: int
    ttl_s: float


def parse_lease(value: Value) -> LeaseRow:
    """Return the lease that a row's value describes."""
    return LeaseRow(value["holder"], value["epoch"], value["ttl_s"])


class CellLease:
    """A cell lease: its row, the row's revision and its expiry time."""

    def __init__(
        self,
        table: TableService,
        cell: str,
        row: LeaseRow,
        revision: int,
        sent_s: float,
        clock: Callable[[], float] = current_time,
    ) -> None:
        """Create a lease whose row was written by a call sent at ``sent_s``.

        All times are on ``clock``.
        """
        self.clock = clock
        self.table = table
        self.cell = cell
        self.row = row
        self.revision = revision
        self.acquired_revision = revision
        self.acquired_s = sent_s
        self.expires_s = sent_s + row.ttl_s
        self.lost = False
        self._lock = Lock()

    @property
    def epoch(self) -> int:
        """Return the epoch that workers are fenced with."""
        return self.row.epoch

    def may_decide(self, now_s: float) -> bool:
        """Return whether new jobs may be started under the lease."""
        margin_s = self.row.ttl_s * DECISION_MARGIN_RATIO
        return not self.lost and now_s < self.expires_s - margin_s

    def is_held(self, now_s: float) -> bool:
        """Return whether no other process can have acquired the lease."""
        return not self.lost and now_s < self.expires_s

    def may_renew_tasks(self, now_s: float, outage_s: float) -> bool:
        """Return whether the leases of running tasks may be renewed.

        While the table is unavailable this stays true for ``outage_s`` after
        the lease has expired. A new holder that cannot reach a worker waits
        that long before it considers the worker's tasks ended.
        """
        return not self.lost and now_s < self.expires_s + outage_s

    def set_ttl(self, ttl_s: float) -> None:
        """Set the TTL in seconds that the next renewal writes."""
        self.row = self.row._replace(ttl_s=ttl_s)

    async def renew(self, extra: tuple[Write, ...] = ()) -> int:
        """Renew the lease and commit other writes in the same transaction.

        The TTL counts from the time of sending. Return the new revision.
        Raise LeaseLostError once another holder has written the row.
        Raise TableConflictError if one of the other writes conflicts, or if
        an earlier renewal of this process has taken effect late.
        """
        async with self._lock:
            sent_s = self.clock()
            value = self.row._asdict()
            write = Write(cell_key(self.cell), value, self.revision)
            try:
                revision = await commit_with_retry(
                    self.table, (write, *extra), uuid4().hex
                )
            except TableConflictError as error:
                if error.key != write.key:
                    raise
                await self._check_row()
                raise
            self.revision = revision
            self.expires_s = max(self.expires_s, sent_s + self.row.ttl_s)
            return revision

    async def check(self, sent_s: float) -> None:
        """Read back the result of a renewal that was sent at ``sent_s``.

        Raise LeaseLostError if another holder has written the row.
        """
        async with self._lock:
            before = self.revision
            await self._check_row()
            if self.revision != before:
                self.expires_s = max(self.expires_s, sent_s + self.row.ttl_s)

    async def release(self) -> None:
        """Release the lease, so that others need not wait for its expiry.

        A cancelled renewal may take effect meanwhile. This process is then
        still the holder, at a newer revision, so the release is tried again.
        """
        async with self._lock:
            self.lost = True
            value = self.row._replace(holder="")._asdict()
            for _ in range(RELEASE_TRIES):
                write = Write(cell_key(self.cell), value, self.revision)
                try:
                    await commit_with_retry(self.table, (write,), uuid4().hex)
                    return
                except TableConflictError:
                    try:
                        await self._check_row()
                    except LeaseLostError:
                        # Another holder has the lease: nothing to release.
                        return

    async def _check_row(self) -> None:
        """Resolve a conflict on the lease row; raise LeaseLostError if lost.

        An earlier renewal whose answer was lost may have taken effect late.
        This process is then still the holder, at a newer revision.
        """
        row = await self.table.read(cell_key(self.cell))
        if row is not None and row.value is not None:
            found = parse_lease(row.value)
            if found[:2] == self.row[:2]:
                self.revision = row.revision
                return
        self.lost = True
        raise LeaseLostError(
            f"The lease of cell {self.cell} has another holder."
        )

"""Keep take-outs of failure domains that the table has not kept yet.

A take-out counts in memory from the moment an operator gives it. It ends
when a row shows that the table has it, or that a later change overtook it.
"""

from collections import deque
from typing import Any, NamedTuple

from damaskstall.resources.records import STATE_OUT

CLOSED_LIMIT = 256
UNKNOWN_REVISION = -1


class PendingTakeOut(NamedTuple):
    """Hold a change of a failure domain that the table has not kept yet.

    ``base_revision`` is the row's revision and ``sequence`` one more than
    that of the last such change the issuer knew of; both are filled in where
    the take-out is first held.
    """

    failure_domain: str
    out: bool
    issued_id: str
    issued_s: float
    base_revision: int = UNKNOWN_REVISION
    sequence: int = 0


class PendingTakeOuts:
    """Hold one pending change for each failure domain."""

    def __init__(self) -> None:
        """Start with none."""
        self.held: dict[str, PendingTakeOut] = {}
        self._sequences: dict[str, int] = {}
        self._base_specs: dict[str, dict[str, Any] | None] = {}
        self._closed: deque[str] = deque(maxlen=CLOSED_LIMIT)

    def hold(
        self,
        pending: PendingTakeOut,
        row_revision: int,
        spec: dict[str, Any] | None,
    ) -> bool:
        """Hold a change; return False when it is known or overtaken."""
        name = pending.failure_domain
        known = self._sequences.get(name, 0)
        if pending.issued_id in self._closed:
            return False
        if pending.base_revision == UNKNOWN_REVISION:
            pending = pending._replace(
                base_revision=row_revision, sequence=known + 1
            )
        if pending.sequence < known or row_revision > pending.base_revision:
            return False
        earlier = self.held.get(name)
        if earlier is not None and not comes_after(pending, earlier):
            return False
        self._replace(earlier, pending, spec)
        return True

    def settle(self, failure_domain: str, issued_id: str) -> bool:
        """Drop a change that the table has; return whether it was held."""
        pending = self.held.get(failure_domain)
        if pending is None or pending.issued_id != issued_id:
            return False
        self._close(pending)
        return True

    def settle_by_row(
        self, failure_domain: str, revision: int, spec: dict[str, Any] | None
    ) -> None:
        """Drop a change that a newer row of its failure domain overtakes.

        A row that is in and changes only the racks is no restore: it may be
        older than the take-out, which its issuer still has to write.
        """
        pending = self.held.get(failure_domain)
        if pending is None:
            return
        if revision <= pending.base_revision:
            self._base_specs[failure_domain] = spec
            return
        if spec is not None and spec.get("state") != STATE_OUT:
            base = self._base_specs.get(failure_domain)
            if base is not None and base.get("racks") != spec.get("racks"):
                self._base_specs[failure_domain] = spec
                self.held[failure_domain] = pending._replace(
                    base_revision=revision
                )
                return
        self._close(pending)

    def _replace(
        self,
        earlier: PendingTakeOut | None,
        pending: PendingTakeOut,
        spec: dict[str, Any] | None,
    ) -> None:
        if earlier is not None:
            self._close(earlier)
        name = pending.failure_domain
        self.held[name] = pending
        self._base_specs[name] = spec
        self._sequences[name] = pending.sequence

    def _close(self, pending: PendingTakeOut) -> None:
        del self.held[pending.failure_domain]
        self._base_specs.pop(pending.failure_domain, None)
        self._closed.append(pending.issued_id)


def comes_after(pending: PendingTakeOut, earlier: PendingTakeOut) -> bool:
    """Return whether a change overrides an earlier one, the same anywhere."""
    mine = (pending.sequence, pending.issued_id)
    return mine > (earlier.sequence, earlier.issued_id)

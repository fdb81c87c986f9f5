"""Keep the configuration that a process runs by.

The revision never goes down. Freshness counts from the send time of the
request that confirmed it, so a slow answer looks older and never younger.
"""

from typing import Any, NamedTuple

from trio import Event

from damaskstall.platform.keys import config_key, split_config_key
from damaskstall.platform.types import ChangePage, Row
from damaskstall.resources.records import STATE_OUT

NEVER = float("-inf")


class ConfigEntry(NamedTuple):
    """Hold one configuration resource; ``value`` is None once deleted."""

    revision: int
    value: dict[str, Any] | None


class PendingTakeOut(NamedTuple):
    """Hold a change of a failure domain that the table has not kept yet."""

    failure_domain: str
    out: bool
    issued_id: str
    issued_s: float


class ConfigStore:
    """Hold configuration rows, their revision and their freshness."""

    def __init__(self) -> None:
        """Start without any configuration."""
        self.entries: dict[str, ConfigEntry] = {}
        self.revision = 0
        self.confirmed_s = NEVER
        self.pending: dict[str, PendingTakeOut] = {}
        self._changed = Event()

    def apply(self, page: ChangePage, confirmed_s: float) -> None:
        """Take in rows up to a revision that was current at a time."""
        changed = False
        for row in page.rows:
            changed |= self._apply_row(row)
        if page.revision > self.revision:
            self.revision = page.revision
        if page.complete and page.revision >= self.revision:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
        if changed:
            self.wake()

    def age_s(self, now_s: float) -> float:
        """Return seconds since the configuration was surely current."""
        return now_s - self.confirmed_s

    def resources(self, kind: str) -> dict[str, dict[str, Any]]:
        """Return the live rows of one kind by name."""
        found = {}
        for key, entry in self.entries.items():
            row_kind, name = split_config_key(key)
            if row_kind == kind and entry.value is not None:
                found[name] = entry.value
        return found

    def spec(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return the spec of one resource, or None where it is absent."""
        entry = self.entries.get(config_key(kind, name))
        if entry is None or entry.value is None:
            return None
        spec: dict[str, Any] = entry.value["spec"]
        return spec

    def is_out(self, failure_domain: str) -> bool:
        """Return whether a failure domain is taken out, as far as known."""
        pending = self.pending.get(failure_domain)
        if pending is not None and pending.out:
            return True
        spec = self.spec("failure_domain", failure_domain)
        return spec is not None and spec["state"] == STATE_OUT

    def hold(self, pending: PendingTakeOut) -> None:
        """Obey a take-out in memory until the table has it."""
        self.pending[pending.failure_domain] = pending
        self.wake()

    def settle(self, failure_domain: str, issued_id: str) -> None:
        """Drop a pending take-out that the table now has."""
        pending = self.pending.get(failure_domain)
        if pending is not None and pending.issued_id == issued_id:
            del self.pending[failure_domain]
            self.wake()

    def wake(self) -> None:
        """Wake everyone who waits for a change."""
        self._changed.set()
        self._changed = Event()

    async def wait_change(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _apply_row(self, row: Row) -> bool:
        known = self.entries.get(row.key)
        if known is not None and known.revision >= row.revision:
            return False
        self.entries[row.key] = ConfigEntry(row.revision, row.value)
        return True

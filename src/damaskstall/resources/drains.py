"""Drain and restore failure domains, also while the table is unavailable.

A drain that the table does not accept takes effect in memory at once and is
written when the table is available again. Each decision to drain or restore
carries the time at which it was issued; of two decisions, the later one wins.
"""

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from trio import current_time, move_on_after, sleep

from damaskstall.errors import (
    ResourceConflictError,
    ResourceMissingError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.peers.config_store import ConfigStore, PendingStateChange
from damaskstall.platform.keys import config_key
from damaskstall.platform.types import Row
from damaskstall.resources.events import (
    DRAIN_HELD,
    DRAIN_KEPT,
    DRAIN_SUPERSEDED,
)
from damaskstall.resources.records import STATE_IN, STATE_OUT
from damaskstall.resources.store import (
    ResourceStore,
    is_written_by,
    new_mutation_id,
    row_value,
)

KIND = "failure_domain"
# After this time, a drain that the table has not stored is reported as held
# in memory.
DRAIN_ANSWER_TIMEOUT_S = 5.0
RETRY_FIRST_S = 0.5
RETRY_LIMIT_S = 5.0
WRITE_ATTEMPTS = 5

UnixClock = Callable[[], float]


def decided_status(row: Row | None, unix_s: float) -> dict[str, Any]:
    """Return a failure domain's status for a decision made at a time.

    The decision time never decreases, although writers' clocks may differ.
    """
    if row is None:
        return {"decided_unix_s": unix_s}
    status = (row.value or {}).get("status", {})
    latest_unix_s = max(unix_s, decided_unix_s(row))
    return {**status, "decided_unix_s": latest_unix_s}


def decided_unix_s(row: Row) -> float:
    """Return the decision time of a row's state, or 0 if unknown."""
    unix_s: float = (
        (row.value or {}).get("status", {}).get("decided_unix_s", 0.0)
    )
    return unix_s


class DrainManager:
    """Drains and restores failure domains, and retries pending decisions."""

    def __init__(
        self,
        store: ResourceStore,
        config: ConfigStore,
        instance: str,
        unix_clock: UnixClock,
    ) -> None:
        """Keep drains in the configuration until the store has them."""
        self.store = store
        self.config = config
        self.instance = instance
        self.unix_clock = unix_clock
        self.random = Random(instance)

    async def drain(self, name: str) -> int | None:
        """Take a failure domain out of service.

        Returns the version of the drained resource, or None when the drain
        is in force in memory only. Raises ResourceMissingError for an
        unknown failure domain.
        """
        mutation_id = new_mutation_id(self.instance)
        unix_s = self.unix_clock()
        base = self._known_revision(name)
        known = self.config.spec(KIND, name) is not None
        if known:
            # The drain takes effect here at once, even if the table is slow.
            pending = PendingStateChange(
                name, True, mutation_id, current_time(), issued_unix_s=unix_s
            )
            self.config.hold_state_change(pending)
        version: int | None = None
        try:
            with move_on_after(DRAIN_ANSWER_TIMEOUT_S if known else inf):
                version = await self._decide(
                    name, STATE_OUT, mutation_id, unix_s, base
                )
        except (TableUnavailableError, TableOutcomeUnknownError):
            if not self.config.is_out(name):
                raise
        except (ResourceMissingError, ResourceConflictError):
            self.config.remove_state_change(name, mutation_id)
            raise
        if version is None:
            log(DRAIN_HELD, failure_domain=name, id=mutation_id)
        return version

    async def restore(self, name: str) -> int:
        """Return a failure domain to service; return its new version."""
        held = self.config.pending.get(name)
        mutation_id = new_mutation_id(self.instance)
        version = await self._decide(
            name,
            STATE_IN,
            mutation_id,
            self.unix_clock(),
            self._known_revision(name),
        )
        if held is not None:
            self.config.remove_state_change(name, held.issued_id)
        return version

    async def run(self) -> None:
        """Retry pending decisions until the table has stored them."""
        delay_s = RETRY_FIRST_S
        while True:
            if not self.config.pending:
                delay_s = RETRY_FIRST_S
                await self.config.wait_change()
                continue
            await sleep(delay_s * self.random.uniform(0.5, 1.0))
            delay_s = min(RETRY_LIMIT_S, 2 * delay_s)
            for pending in list(self.config.pending.values()):
                await self._write_pending(pending)

    async def _write_pending(self, pending: PendingStateChange) -> None:
        """Write one pending decision; remove it if stored or superseded."""
        name = pending.failure_domain
        state = STATE_OUT if pending.out else STATE_IN
        try:
            version = await self._decide(
                name,
                state,
                pending.issued_id,
                self._issued_unix_s(pending),
                pending.base_revision,
            )
        except (TableUnavailableError, TableOutcomeUnknownError):
            return
        except (ResourceMissingError, ResourceConflictError) as error:
            log(DRAIN_SUPERSEDED, failure_domain=name, error=str(error))
        else:
            log(DRAIN_KEPT, failure_domain=name, version=version)
        self.config.remove_state_change(name, pending.issued_id)

    def _known_revision(self, name: str) -> int:
        """Return the revision of a failure domain in memory, or 0."""
        entry = self.config.entries.get(config_key(KIND, name))
        return 0 if entry is None else entry.revision

    def _issued_unix_s(self, pending: PendingStateChange) -> float:
        """Return a decision's issue time, on the issuer's clock if known."""
        if pending.issued_unix_s:
            return pending.issued_unix_s
        return self.unix_clock() - (current_time() - pending.issued_s)

    async def _decide(
        self,
        name: str,
        state: str,
        mutation_id: str,
        unix_s: float,
        base_revision: int,
    ) -> int:
        """Write a decision; return the version that contains it.

        The issuer knew the row up to ``base_revision``. Raises
        ResourceConflictError when a newer revision holds a later decision.
        """
        for _ in range(WRITE_ATTEMPTS):
            row = await self.store.read_row(KIND, name)
            if is_written_by(row, mutation_id):
                self.config.apply_committed_row(row)
                return row.revision
            if row.revision <= base_revision:
                # The issuer knew this row, so its decision is later even if
                # the writers' clocks disagree.
                unix_s = max(unix_s, decided_unix_s(row))
            elif decided_unix_s(row) > unix_s:
                self.config.apply_committed_row(row)
                raise ResourceConflictError(
                    f"The table holds a later decision about {name!r}.",
                    row.revision,
                )
            spec = {**(row.value or {})["spec"], "state": state}
            status = decided_status(row, unix_s)
            value = row_value(spec, status, mutation_id, row)
            try:
                version = await self.store.replace(row, value, mutation_id)
            except ResourceConflictError:
                # A concurrent write changed the row: read it again.
                continue
            # Apply the row before the next poll reads it.
            self.config.apply_committed_row(
                Row(row.key, version, mutation_id, value)
            )
            return version
        raise TableOutcomeUnknownError(
            f"The decision about {name!r} lost every race with concurrent "
            "writes."
        )

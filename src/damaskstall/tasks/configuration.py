"""Hold what the operators have configured, and as of when that is confirmed.

A version is in force from its storing on, so what this process knows is only
used while it was confirmed recently enough for the use at hand.
"""

from collections.abc import Iterable

from trio import Event

from damaskstall.containment import contained
from damaskstall.errors import MalformedRowError
from damaskstall.events import log
from damaskstall.platform.types import Row
from damaskstall.tasks.desired_state import NO_STATE, DesiredState
from damaskstall.tasks.events import (
    EVACUATION_CHANGED,
    STATE_APPLIED,
    STATE_INCOMPLETE,
    STATE_OUTDATED,
    STATE_REFUSED,
)
from damaskstall.tasks.model import Queue
from damaskstall.tasks.ports import ConfigurationReport, Platform

NEVER_S = float("-inf")
NO_REVISION = -1


class Configuration:
    """The newest configuration and the evacuations.

    ``confirmed_s`` is the time as of which they are known to be in force, and
    ``revision`` that of the operators' rows which they reflect.
    """

    def __init__(self, platform: Platform) -> None:
        """Start without a configuration."""
        self.platform = platform
        self.state: DesiredState = NO_STATE
        # The present queues, and all that this process has seen: jobs outlive
        # their queues.
        self.queues: dict[str, Queue] = {}
        self.seen_queues: dict[str, Queue] = {}
        self.evacuated: set[str] = set()
        self.confirmed_s = NEVER_S
        self.revision = NO_REVISION
        # The row with the configuration in force.
        self._row: Row | None = None
        # The revisions of the newest row that was read, and of the newest one
        # that could not be.
        self._read_revision = NO_REVISION
        self._refused_revision = NO_REVISION
        # Whether a row that was in force has been removed.
        self._removed = False
        self._changed = Event()

    @property
    def known(self) -> bool:
        """Return whether a configuration has been read."""
        return self._row is not None

    @property
    def row_revision(self) -> int:
        """Return the revision of the row with the configuration in force."""
        return NO_REVISION if self._row is None else self._row.revision

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the configuration was last confirmed."""
        return now_s - self.confirmed_s

    async def wait_change(self) -> None:
        """Wait for the next change of an operators' row."""
        await self._changed.wait()

    def replace(
        self, rows: Iterable[Row], revision: int, sent_s: float
    ) -> None:
        """Apply all rows, as read by a request that was sent at a time.

        Rows that were read before the ones known, in a call that took longer,
        are ignored: a mark that they lack may have been set since.
        """
        if revision < self.revision:
            return
        found = list(rows)
        listed = {self.platform.evacuated_domain(row.key) for row in found}
        for domain in self.evacuated - listed:
            self._set_evacuated(domain, False)
        configured = any(
            self.platform.is_configuration(row.key) for row in found
        )
        self._set_removed(self.known and not configured, revision)
        for row in found:
            self._apply(row)
        self._wake()
        self._confirm(revision, sent_s)

    def update(
        self, rows: Iterable[Row], revision: int, sent_s: float
    ) -> None:
        """Apply the rows changed up to a revision, in order."""
        changed = [row for row in rows if row.revision > self.revision]
        for row in changed:
            self._apply(row)
        if changed:
            self._wake()
        if revision >= self.revision:
            self._confirm(revision, sent_s)

    def report(self, now_s: float, row_revision: int) -> ConfigurationReport:
        """Return what is known to an instance that has a row already."""
        row = self._row
        if row is not None and row.revision <= row_revision:
            row = None
        return ConfigurationReport(
            self.age_s(now_s), self.revision, row, tuple(self.evacuated)
        )

    def merge(self, report: ConfigurationReport, sent_s: float) -> None:
        """Take over what a peer has reported, if it is confirmed later.

        ``sent_s`` is the time at which the peer was asked.
        """
        confirmed_s = sent_s - report.age_s
        is_newer = report.revision >= self.revision
        if confirmed_s <= self.confirmed_s or not is_newer:
            return
        if report.row is not None:
            self._apply(report.row)
        evacuated = set(report.evacuated)
        for domain in evacuated ^ self.evacuated:
            self._set_evacuated(domain, domain in evacuated)
        self._wake()
        self._confirm(report.revision, confirmed_s)

    def _confirm(self, revision: int, confirmed_s: float) -> None:
        """Record that what is known is in force, as of a time.

        Nothing is while the newest row was refused, or is removed.
        """
        self.revision = revision
        if self._removed or self._refused_revision > self._read_revision:
            return
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def _apply(self, row: Row) -> None:
        with contained("operators' row", row.key):
            self._apply_row(row)

    def _apply_row(self, row: Row) -> None:
        domain = self.platform.evacuated_domain(row.key)
        if domain:
            self._set_evacuated(domain, row.value is not None)
            return
        if self.platform.is_configuration(row.key):
            self._apply_configuration(row)

    def _apply_configuration(self, row: Row) -> None:
        """Put the state in a newer row in force, unless it is an older one.

        Versions only increase, so a row with an older version is a late copy
        of a write, and the newest version known stays in force. A row with
        the same version replaces it: a write whose answer was lost is sent
        again.
        """
        if row.revision <= self._read_revision:
            return
        state = self._read_state(row)
        if state is None:
            return
        if state.version < self.state.version:
            log(
                STATE_OUTDATED,
                version=state.version,
                revision=row.revision,
                known_version=self.state.version,
                known_revision=self.row_revision,
            )
        else:
            self._put_in_force(row, state)
        self._read_revision = row.revision
        self._removed = False

    def _read_state(self, row: Row) -> DesiredState | None:
        """Return the state in a row, or None if the row is refused."""
        # Until it is read: neither may an unexpected error confirm what the
        # row replaces.
        was_refused = row.revision <= self._refused_revision
        self._refused_revision = max(row.revision, self._refused_revision)
        try:
            return self.platform.desired_state(row)
        except MalformedRowError as error:
            if not was_refused:
                log(STATE_REFUSED, revision=row.revision, error=str(error))
            return None

    def _set_removed(self, removed: bool, revision: int) -> None:
        if removed and not self._removed:
            error = "The configuration has been removed."
            log(STATE_REFUSED, revision=revision, error=error)
        self._removed = removed

    def _put_in_force(self, row: Row, state: DesiredState) -> None:
        # Whole, or not at all: an unexpected error leaves no mixture.
        queues = state.queue_by_name()
        is_new = state != self.state
        self._row = row
        self.state = state
        self.queues = queues
        self.seen_queues.update(queues)
        if is_new:
            log_applied(row, state)

    def _set_evacuated(self, domain: str, evacuated: bool) -> None:
        if (domain in self.evacuated) == evacuated:
            return
        if evacuated:
            self.evacuated.add(domain)
        else:
            self.evacuated.discard(domain)
        log(EVACUATION_CHANGED, failure_domain=domain, evacuated=evacuated)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()


def log_applied(row: Row, state: DesiredState) -> None:
    """Log that a configuration is in force, and what of it cannot be read."""
    if state.problems:
        log(
            STATE_INCOMPLETE,
            version=state.version,
            problems="; ".join(state.problems),
        )
    log(
        STATE_APPLIED,
        version=state.version,
        revision=row.revision,
        queues=len(state.queues),
        teams=len(state.teams),
    )

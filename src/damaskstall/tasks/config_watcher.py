"""Keep the configuration confirmed, by each path to it that is left.

The feed of the operators' rows confirms it with each answer. When the feed
fails, the rows are read, and peers are asked for what they know.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

from trio import (
    CancelScope,
    Event,
    Lock,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.errors import (
    RevisionTooOldError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.configuration import NO_REVISION, Configuration
from damaskstall.tasks.events import STORE_LOST, STORE_REGAINED
from damaskstall.tasks.peer_directory import PeerDirectory
from damaskstall.tasks.peer_table import PeerTable
from damaskstall.tasks.ports import (
    OPERATOR_TABLE,
    ConfigurationReport,
    WatchedTable,
)
from damaskstall.tasks.scans import scan_current_rows

# Each answer confirms the configuration as of its request, so its age stays
# below about twice this time while the feed answers.
WATCH_WAIT_S = 1.0
# Longest delay before a retry: the platform requires that a new configuration
# is in force within 2 s.
RETRY_LIMIT_S = 0.3
# The feed is late when the configuration has reached this age.
OVERDUE_S = 2 * WATCH_WAIT_S + 0.3
# An answer of the feed that is due within this time is awaited.
ANSWER_DELAY_S = 0.05
# The next path is tried as well when one has not answered in this time, which
# a slow store needs.
HEAD_START_S = 0.3
ATTEMPT_LIMIT_S = 0.9
# Pause after an attempt that has not confirmed the configuration anew.
ATTEMPT_PAUSE_S = 1.0
SHORT_PAUSE_S = 0.25
PEERS_ASKED = 3
# For how long the feed is read when a peer asks.
REPORT_LIMIT_S = 0.3

Path = Callable[[], Awaitable[None]]


class ConfigWatcher:
    """Watcher of the operators' rows; confirms the configuration on demand."""

    def __init__(
        self,
        configuration: Configuration,
        table: WatchedTable,
        peers: PeerDirectory,
        clock: Clock,
        bound_s: Callable[[], float],
    ) -> None:
        """Keep a configuration younger than the bound if possible."""
        self.configuration = configuration
        self.table = table
        self.peers = peers
        self.clock = clock
        self.bound_s = bound_s
        self._answer_due_s = float("-inf")
        self._answered = Event()
        # When all paths last failed in an attempt.
        self._failed_s = float("-inf")
        self._needed = Event()
        # Whether a request waits for the next attempt.
        self._wanted = Event()
        self._attempted = Event()
        self._report_lock = Lock()
        self._random = Random()

    def is_confirmed(self) -> bool:
        """Return whether the configuration is younger than the bound."""
        return self.configuration.age_s(self.clock()) <= self.bound_s()

    async def confirm(self) -> bool:
        """Confirm the configuration if necessary; return whether it is.

        One attempt serves all who wait. While attempts fail, they are made in
        the background, and this returns at once.
        """
        if self.is_confirmed():
            return True
        if self._is_failing():
            return False
        await self._wait_answer_due()
        if not self.is_confirmed():
            self._needed.set()
            self._wanted.set()
            await self._attempted.wait()
        return self.is_confirmed()

    async def report(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return what is known to a peer that has a row already.

        If that is older than the peer needs, the feed is read first. Raises
        TableUnavailableError before a configuration has been read.
        """
        if not self.configuration.known:
            raise TableUnavailableError("No configuration has been read yet.")
        with move_on_after(REPORT_LIMIT_S):
            async with self._report_lock:
                await self._refresh(max_age_s)
        return self.configuration.report(self.clock(), row_revision)

    async def _refresh(self, max_age_s: float) -> None:
        """Read the feed if the configuration is older than a time."""
        is_new = self.configuration.age_s(self.clock()) <= max_age_s
        if is_new or self._is_failing():
            return
        with suppress(RevisionTooOldError, TableUnavailableError):
            await self._read_changes()

    def _is_failing(self) -> bool:
        """Return whether nothing was confirmed since all paths failed."""
        return self.configuration.confirmed_s < self._failed_s

    async def run(self) -> None:
        """Watch the operators' rows until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._keep_confirmed)

    async def _watch(self) -> None:
        revision = NO_REVISION
        tries = 0
        while True:
            try:
                if revision == NO_REVISION:
                    await self._read_rows()
                else:
                    # After an outage a watch without waiting confirms at once.
                    wait_s = 0.0 if tries else WATCH_WAIT_S
                    await self._read_changes(wait_s)
                revision = self.configuration.revision
                if tries:
                    log(STORE_REGAINED, used_for="configuration", tries=tries)
                tries = 0
            except RevisionTooOldError:
                revision = NO_REVISION
            except TableUnavailableError as error:
                if not tries:
                    log(STORE_LOST, used_for="configuration", error=str(error))
                if self.configuration.age_s(self.clock()) > WATCH_WAIT_S:
                    self._needed.set()
                delay_s = retry_delay_s(tries, self._random)
                await sleep(min(delay_s, RETRY_LIMIT_S))
                tries += 1

    async def _read_rows(self) -> None:
        sent_s = self.clock()
        found = await scan_current_rows(
            self.table, OPERATOR_TABLE, self.configuration.revision
        )
        self.configuration.replace(found.rows, found.revision, sent_s)

    async def _read_changes(self, wait_s: float = 0.0) -> None:
        if self.configuration.revision == NO_REVISION:
            raise RevisionTooOldError("The operators' rows are not known.")
        sent_s = self.clock()
        if wait_s:
            self._answer_due_s = sent_s + wait_s
        page = await self.table.watch(
            OPERATOR_TABLE, self.configuration.revision, wait_s
        )
        self.configuration.update(page.rows, page.revision, sent_s)
        self._answered.set()
        self._answered = Event()

    async def _wait_answer_due(self) -> None:
        """Wait for the feed if its answer is due in a moment."""
        left_s = self._answer_due_s - self.clock()
        if abs(left_s) < ANSWER_DELAY_S:
            with move_on_after(left_s + ANSWER_DELAY_S):
                await self._answered.wait()

    async def _keep_confirmed(self) -> None:
        """Make an attempt when one is needed, or the feed is late."""
        began_s = self.clock()
        while True:
            await self._wait_needed(began_s)
            try:
                await self._attempt()
            finally:
                if not self.is_confirmed():
                    self._failed_s = self.clock()
                self._needed = Event()
                self._attempted.set()
                self._attempted = Event()
            if self.configuration.age_s(self.clock()) > WATCH_WAIT_S:
                await self._pause()

    async def _pause(self) -> None:
        """Pause after an attempt, for a shorter time if a request waits."""
        self._wanted = Event()
        await sleep(SHORT_PAUSE_S)
        with move_on_after(ATTEMPT_PAUSE_S - SHORT_PAUSE_S):
            await self._wanted.wait()

    async def _wait_needed(self, began_s: float) -> None:
        """Return once an attempt is needed, or the feed is late."""
        while not self._needed.is_set():
            confirmed_s = max(began_s, self.configuration.confirmed_s)
            late_in_s = confirmed_s + OVERDUE_S - self.clock()
            if late_in_s <= 0:
                return
            with move_on_after(late_in_s):
                await self._needed.wait()

    async def _attempt(self) -> None:
        """Try each path until the configuration is confirmed.

        The next one begins when one has failed, or has not answered soon.
        """
        with move_on_after(ATTEMPT_LIMIT_S):
            async with open_nursery() as nursery:
                scope = nursery.cancel_scope
                for path in (
                    self._read_changes,
                    self._read_rows,
                    self._ask_peers,
                ):
                    failed = Event()
                    nursery.start_soon(self._try_path, path, failed, scope)
                    with move_on_after(HEAD_START_S):
                        await failed.wait()

    async def _try_path(
        self, path: Path, failed: Event, scope: CancelScope
    ) -> None:
        """Cancel a scope once a path has confirmed the configuration."""
        try:
            await path()
        except (RevisionTooOldError, TableUnavailableError):
            failed.set()
            return
        if self.is_confirmed():
            scope.cancel()
        failed.set()

    async def _ask_peers(self) -> None:
        """Ask some peers for what they know, until one confirms enough."""
        async with open_nursery() as nursery:
            for peer in self.peers.any_peers(PEERS_ASKED):
                nursery.start_soon(self._ask_peer, peer, nursery.cancel_scope)

    async def _ask_peer(self, peer: PeerTable, scope: CancelScope) -> None:
        sent_s = self.clock()
        try:
            report = await peer.configuration(
                self.configuration.row_revision, self.bound_s() / 2
            )
        except TableUnavailableError:
            return
        self.configuration.merge(report, sent_s)
        if self.is_confirmed():
            scope.cancel()

"""Stream resource changes to watchers.

One loop per kind reads the table's changes into a bounded log. All watchers
of the kind read from this log, each at its own version. A watcher whose
version is older than the log reads the missing changes from the table; if
the table has discarded them too, the watch ends and the client has to list
the resources again.
"""

from collections import deque
from collections.abc import AsyncGenerator
from json import dumps
from typing import Any, NamedTuple

from trio import Event, current_time, move_on_after, open_nursery, sleep

from damaskstall.errors import (
    RevisionTooOldError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.types import Row, TableService
from damaskstall.resources.api_metrics import API_WATCHERS
from damaskstall.resources.events import WATCH_POLL_FAILED, WATCHER_CUT
from damaskstall.resources.records import KINDS
from damaskstall.resources.store import kind_prefix, resource_json, resource_of

NEVER = float("-inf")
WATCHER_LIMIT = 64
LOG_LIMIT_BYTES = 4 * 1024 * 1024
CATCH_UP_ROWS = 200
POLL_ROWS = 1000
BOOKMARK_INTERVAL_S = 5.0

CHANGED = "changed"
DELETED = "deleted"
BOOKMARK = "bookmark"
END = "end"


class LogEntry(NamedTuple):
    """One change, encoded as the line sent to watchers."""

    revision: int
    line: bytes


def event_line(kind: str, **fields: Any) -> bytes:
    """Return one stream event as a JSON line."""
    return dumps({"type": kind, **fields}).encode() + b"\n"


def change_line(kind: str, row: Row) -> bytes:
    """Return the event line for a changed or deleted row."""
    event = DELETED if row.value is None else CHANGED
    return event_line(event, resource=resource_json(resource_of(kind, row)))


class ChangeLog:
    """A bounded log of the changes of one kind, shared by its watchers."""

    def __init__(self, kind: str, table: TableService, poll_s: float) -> None:
        """Poll a kind's changes from the table every ``poll_s`` seconds."""
        self.kind = kind
        self.prefix = kind_prefix(kind)
        self.table = table
        self.poll_s = poll_s
        self.watchers = 0
        self.closing = False
        # Changes up to this revision are not in the log.
        self.floor = 0
        self.revision = 0
        self.confirmed_s = NEVER
        self.bytes = 0
        self.entries: deque[LogEntry] = deque()
        self.started = Event()
        self._changed = Event()
        self._wanted = Event()

    async def run(self) -> None:
        """Poll changes while there is at least one watcher."""
        while True:
            if not self.watchers:
                # Reset before waiting: a new watcher waits for ``started``.
                self._reset()
                self._wanted = Event()
                await self._wanted.wait()
            await self.poll()
            await sleep(self.poll_s)

    def add_watcher(self) -> None:
        """Add a watcher and start polling if it is the first."""
        self.watchers += 1
        API_WATCHERS.set({"kind": self.kind}, self.watchers)
        self._wanted.set()

    def remove_watcher(self) -> None:
        """Remove a watcher; polling stops after the last one."""
        self.watchers -= 1
        API_WATCHERS.set({"kind": self.kind}, self.watchers)

    def close(self) -> None:
        """End every watcher, for a graceful stop."""
        self.closing = True
        self.started.set()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()

    async def poll(self) -> None:
        """Append the changes since the last poll to the log."""
        try:
            if not self.started.is_set():
                await self._initialize()
            while not await self._read_page():
                pass
        except TableUnavailableError as error:
            log(WATCH_POLL_FAILED, kind=self.kind, error=str(error))
        except RevisionTooOldError:
            # The log restarts at a newer revision; all watchers are behind it.
            self._reset()
        self._wake()

    async def wait_change(self) -> None:
        """Wait until the next poll has ended."""
        await self._changed.wait()

    def after(self, revision: int) -> list[LogEntry]:
        """Return the logged changes after a revision, oldest first."""
        found: list[LogEntry] = []
        for entry in reversed(self.entries):
            if entry.revision <= revision:
                break
            found.append(entry)
        found.reverse()
        return found

    def _reset(self) -> None:
        self.entries.clear()
        self.bytes = 0
        self.started = Event()

    async def _initialize(self) -> None:
        requested_s = current_time()
        page = await self.table.scan(self.prefix, "", 1)
        self.floor = page.revision
        self.revision = page.revision
        self.confirmed_s = requested_s
        self.started.set()

    async def _read_page(self) -> bool:
        """Read one page of changes; return whether it was the last."""
        requested_s = current_time()
        page = await self.table.changes(self.prefix, self.revision, POLL_ROWS)
        for row in page.rows:
            self._append(LogEntry(row.revision, change_line(self.kind, row)))
        self.revision = max(self.revision, page.revision)
        if page.complete:
            self.confirmed_s = requested_s
        return page.complete

    def _append(self, entry: LogEntry) -> None:
        self.entries.append(entry)
        self.bytes += len(entry.line)
        while self.bytes > LOG_LIMIT_BYTES:
            dropped = self.entries.popleft()
            self.bytes -= len(dropped.line)
            self.floor = dropped.revision


class Watcher:
    """One client's watch of a kind, starting at a version."""

    def __init__(self, change_log: ChangeLog, version: int) -> None:
        """Start after a version that the client has already seen."""
        self.change_log = change_log
        self.version = version
        self.ended = False
        self.last_bookmark_s = NEVER
        self.initial_rows: tuple[Row, ...] = ()

    async def open(self) -> None:
        """Read the first changes from the table.

        Raises RevisionTooOldError when the table has discarded them, and
        TableUnavailableError.
        """
        self.initial_rows = await self._read_rows()

    async def lines(self) -> AsyncGenerator[bytes, None]:
        """Yield the stream's lines until the watch ends."""
        if self.change_log.watchers >= WATCHER_LIMIT:
            yield self._end_line(
                "The limit of watchers of this kind is reached."
            )
            return
        self.change_log.add_watcher()
        try:
            for row in self.initial_rows:
                yield change_line(self.change_log.kind, row)
            self.initial_rows = ()
            while not self.ended:
                for line in await self._next_lines():
                    yield line
        finally:
            self.change_log.remove_watcher()

    async def _next_lines(self) -> list[bytes]:
        """Return the next lines, from the log if it covers the version."""
        await self.change_log.started.wait()
        if self.change_log.closing:
            self.ended = True
            return [self._end_line("The server is stopping.")]
        if self.version < self.change_log.floor:
            return await self._catch_up()
        found = [entry.line for entry in self.change_log.after(self.version)]
        self.version = max(self.version, self.change_log.revision)
        now_s = current_time()
        if found:
            self.last_bookmark_s = now_s
            return found
        if now_s - self.last_bookmark_s >= BOOKMARK_INTERVAL_S:
            self.last_bookmark_s = now_s
            return [self._bookmark_line(now_s)]
        with move_on_after(BOOKMARK_INTERVAL_S):
            await self.change_log.wait_change()
        return []

    async def _catch_up(self) -> list[bytes]:
        """Return changes read from the table that the log no longer covers."""
        try:
            rows = await self._read_rows()
        except RevisionTooOldError:
            log(WATCHER_CUT, kind=self.change_log.kind, version=self.version)
            self.ended = True
            return [
                self._end_line(
                    "The watch is too far behind: its changes are no longer "
                    "available."
                )
            ]
        except TableUnavailableError:
            await self.change_log.wait_change()
            return []
        return [change_line(self.change_log.kind, row) for row in rows]

    async def _read_rows(self) -> tuple[Row, ...]:
        page = await self.change_log.table.changes(
            self.change_log.prefix, self.version, CATCH_UP_ROWS
        )
        self.version = max(self.version, page.revision)
        return page.rows

    def _bookmark_line(self, now_s: float) -> bytes:
        age_s = round(now_s - self.change_log.confirmed_s, 3)
        return event_line(BOOKMARK, resource_version=self.version, age_s=age_s)

    def _end_line(self, error: str) -> bytes:
        return event_line(END, resource_version=self.version, error=error)


class WatchHub:
    """The change logs of all kinds."""

    def __init__(self, table: TableService, poll_s: float) -> None:
        """Create a change log for every kind of the table."""
        self.table = table
        self.logs = {kind: ChangeLog(kind, table, poll_s) for kind in KINDS}

    async def run(self) -> None:
        """Poll the kinds that have watchers."""
        async with open_nursery() as nursery:
            for kind_log in self.logs.values():
                nursery.start_soon(kind_log.run)

    def close(self) -> None:
        """End every watcher, for a graceful stop."""
        for kind_log in self.logs.values():
            kind_log.close()

    def is_full(self, kind: str) -> bool:
        """Return whether a kind has reached its watcher limit."""
        return self.logs[kind].watchers >= WATCHER_LIMIT

    async def open(self, kind: str, version: int | None) -> Watcher:
        """Return a watcher that starts after a version, or at the current one.

        Raises RevisionTooOldError and TableUnavailableError.
        """
        if version is None:
            page = await self.table.scan(kind_prefix(kind), "", 1)
            return Watcher(self.logs[kind], page.revision)
        watcher = Watcher(self.logs[kind], version)
        await watcher.open()
        return watcher

    def dump(self) -> dict[str, Any]:
        """Return the state of each kind's log."""
        return {
            kind: {
                "watchers": kind_log.watchers,
                "revision": kind_log.revision,
                "floor": kind_log.floor,
                "bytes": kind_log.bytes,
            }
            for kind, kind_log in self.logs.items()
        }

"""Follow the platform's list of workers."""

from trio import sleep

from damaskstall.containment import contained
from damaskstall.errors import (
    MalformedRowError,
    RevisionTooOldError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.types import Row
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.configuration import Configuration
from damaskstall.tasks.events import WORKER_IGNORED
from damaskstall.tasks.model import WorkerInfo
from damaskstall.tasks.ports import WORKER_TABLE, Platform, WatchedTable
from damaskstall.tasks.scans import scan_current_rows

# Each worker's entry changes with every heartbeat (1.5 s), so a blocking watch
# would return at once. The platform requires that a draining worker gets no
# start later than 2 s after its report.
POLL_INTERVAL_S = 0.5
# After a failure, starts may wait for the next answer.
RETRY_S = 0.2
KEY_PREFIX = f"{WORKER_TABLE}/"


class WorkerList:
    """The listed workers, by name."""

    def __init__(
        self,
        platform: Platform,
        table: WatchedTable,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        """Create an empty list."""
        self.platform = platform
        self.table = table
        self.configuration = configuration
        self.clock = clock
        self.workers: dict[str, WorkerInfo] = {}
        self.revision = -1
        # The time as of which the list is known to be up to date.
        self.confirmed_s = float("-inf")
        self._failing = False
        self._ignored: set[str] = set()

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the list was last confirmed."""
        return now_s - self.confirmed_s

    async def read_all(self) -> bool:
        """Read the whole list; return whether that succeeded."""
        sent_s = self.clock()
        try:
            found = await scan_current_rows(
                self.table, WORKER_TABLE, self.revision
            )
        except TableUnavailableError:
            return False
        self.revision = found.revision
        self.confirmed_s = sent_s
        self.workers = {}
        for row in found.rows:
            with contained("worker entry", row.key):
                self._apply(row)
        return True

    async def follow_once(self) -> None:
        """Wait for the poll interval, then read the changes since then.

        Read the whole list when the feed does not have them.
        """
        await sleep(RETRY_S if self._failing else POLL_INTERVAL_S)
        has_changes = await self._read_changes()
        self._failing = not has_changes and not await self.read_all()

    async def _read_changes(self) -> bool:
        """Read the changes; return whether the feed has them."""
        sent_s = self.clock()
        try:
            page = await self.table.watch(WORKER_TABLE, self.revision, 0.0)
        except (RevisionTooOldError, TableUnavailableError):
            return False
        for row in page.rows:
            with contained("worker entry", row.key):
                self._apply(row)
        self.revision = page.revision
        self.confirmed_s = sent_s
        return True

    def _apply(self, row: Row) -> None:
        name = row.key.removeprefix(KEY_PREFIX)
        if row.value is None:
            self.workers.pop(name, None)
            return
        try:
            worker = self.platform.worker(row, self.configuration.state)
        except MalformedRowError as error:
            self.workers.pop(name, None)
            if name not in self._ignored:
                self._ignored.add(name)
                log(WORKER_IGNORED, worker=name, error=str(error))
            return
        self.workers[name] = worker

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
from damaskstall.tasks.configuration import Configuration
from damaskstall.tasks.events import WORKER_IGNORED
from damaskstall.tasks.model import WorkerInfo
from damaskstall.tasks.ports import WORKER_TABLE, Platform, WatchedTable
from damaskstall.tasks.scans import scan_rows

# Each worker's entry changes with every heartbeat (1.5 s), so a blocking watch
# would return at once. The platform requires that a draining worker gets no
# start later than 2 s after its report.
POLL_INTERVAL_S = 0.5
KEY_PREFIX = f"{WORKER_TABLE}/"


class WorkerList:
    """The listed workers, by name."""

    def __init__(
        self,
        platform: Platform,
        table: WatchedTable,
        configuration: Configuration,
    ) -> None:
        """Create an empty list."""
        self.platform = platform
        self.table = table
        self.configuration = configuration
        self.workers: dict[str, WorkerInfo] = {}
        self.revision = -1
        self._ignored: set[str] = set()

    async def read_all(self) -> bool:
        """Read the whole list; return whether the store was available."""
        try:
            found = await scan_rows(self.table, KEY_PREFIX)
        except TableUnavailableError:
            return False
        self.revision = found.revision
        self.workers = {}
        for row in found.rows:
            with contained("worker entry", row.key):
                self._apply(row)
        return True

    async def follow_once(self) -> None:
        """Wait for the poll interval, then read the changes since then.

        Read the whole list when there is no revision to read changes from.
        """
        await sleep(POLL_INTERVAL_S)
        if self.revision < 0:
            await self.read_all()
            return
        try:
            page = await self.table.watch(WORKER_TABLE, self.revision, 0.0)
        except RevisionTooOldError:
            self.revision = -1
            return
        except TableUnavailableError:
            return
        for row in page.rows:
            with contained("worker entry", row.key):
                self._apply(row)
        self.revision = page.revision

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

"""Poll the configuration from the table."""

from random import Random

from trio import current_time, sleep

from damaskstall.errors import PlatformError, RevisionTooOldError
from damaskstall.events import log
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.events import (
    CONFIG_RESCANNED,
    STALE_TABLE_ANSWER,
    TABLE_POLL_FAILED,
    TABLE_POLL_RECOVERED,
)
from damaskstall.peers.metrics import NO_LABELS, TABLE_POLL_FAILURES
from damaskstall.platform.keys import CONFIG_PREFIX
from damaskstall.platform.types import Row, TableService

PAGE_LIMIT_ROWS = 200
BACKOFF_LIMIT_S = 2.0
JITTER_RATIO = 0.1
DOUBLING_LIMIT = 8


class TablePoller:
    """Keeps a configuration store up to date with the table."""

    def __init__(
        self, table: TableService, store: ConfigStore, poll_s: float, seed: str
    ) -> None:
        """Poll the table into the store every ``poll_s`` seconds."""
        self.table = table
        self.store = store
        self.poll_s = poll_s
        self.failures = 0
        self.polls = 0
        self._scanned = False
        self._random = Random(seed)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            started_s = current_time()
            try:
                await self.poll()
            except PlatformError as error:
                self._record_failure(error)
            else:
                self._record_success()
            pause_s = self.pause_s(current_time() - started_s)
            await sleep(pause_s)

    async def poll(self) -> None:
        """Read the changes; raise PlatformError if the table cannot answer."""
        self.polls += 1
        if not self._scanned:
            await self._rescan()
        try:
            await self._read_changes()
        except RevisionTooOldError:
            await self._rescan()
            await self._read_changes()

    def pause_s(self, took_s: float) -> float:
        """Return the seconds to wait after a poll that took ``took_s``.

        After failures, the interval backs off with jitter, so that not all
        processes poll a recovering table at once.
        """
        doublings = min(self.failures, DOUBLING_LIMIT)
        backoff_s = min(BACKOFF_LIMIT_S, self.poll_s * 2.0**doublings)
        jitter = self._random.uniform(1 - JITTER_RATIO, 1)
        return max(0.0, max(self.poll_s, backoff_s) * jitter - took_s)

    async def _read_changes(self) -> None:
        complete = False
        while not complete:
            after = self.store.revision
            sent_s = current_time()
            page = await self.table.changes(
                CONFIG_PREFIX, after, PAGE_LIMIT_ROWS
            )
            if not self.store.apply(page, sent_s, after):
                log(
                    STALE_TABLE_ANSWER,
                    revision=page.revision,
                    after_revision=after,
                )
                return
            complete = page.complete

    async def _rescan(self) -> None:
        sent_s = current_time()
        page = await self.table.scan(CONFIG_PREFIX, "", PAGE_LIMIT_ROWS)
        revision = page.revision
        rows: list[Row] = list(page.rows)
        while page.next_after:
            page = await self.table.scan(
                CONFIG_PREFIX, page.next_after, PAGE_LIMIT_ROWS
            )
            rows += page.rows
        # Rows written during the scan are read again with the next changes.
        self.store.apply_snapshot(tuple(rows), revision, sent_s)
        self._scanned = True
        log(CONFIG_RESCANNED, revision=revision, rows=len(rows))

    def _record_failure(self, error: PlatformError) -> None:
        if not self.failures:
            log(TABLE_POLL_FAILED, error=str(error))
        self.failures += 1
        TABLE_POLL_FAILURES.inc(NO_LABELS)

    def _record_success(self) -> None:
        if self.failures:
            log(TABLE_POLL_RECOVERED, failures=self.failures)
        self.failures = 0

"""Cache the job rows that are relevant to one failure domain."""

from random import Random
from sys import intern
from typing import Any, NamedTuple, Protocol, cast

from trio import Event, current_time, move_on_after, sleep

from damaskstall.errors import PlatformError, RevisionTooOldError
from damaskstall.events import log
from damaskstall.platform.keys import JOB_PREFIX, job_key
from damaskstall.platform.types import Row, TableService
from damaskstall.resources.records import (
    JOB_ENDED,
    JOB_QUEUED,
    JobSpec,
    JobStatus,
)
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.events import QUEUE_RELOADED, TABLE_RETRY
from damaskstall.scheduler.metrics import JOBS_QUEUED, NO_LABELS

PAGE_LIMIT = 500
HOLDER_POLL_S = 0.5
STANDBY_POLL_S = 2.0


class JobEntry(NamedTuple):
    """One cached job row; ``seen_s`` is when it was first seen queued."""

    name: str
    revision: int
    mutation_id: str
    spec: JobSpec
    status: JobStatus
    seen_s: float


class JobListener(Protocol):
    """Interface of an object that is notified of changed job rows."""

    def on_job_changed(self, name: str) -> None:
        """Handle that a job's entry changed or was removed."""


class JobCache:
    """The queued jobs that may run in a failure domain, and those placed."""

    def __init__(
        self, table: TableService, failure_domain: str, random: Random
    ) -> None:
        """Create an empty cache for a failure domain."""
        self.table = table
        self.failure_domain = failure_domain
        self.random = random
        self.entries: dict[str, JobEntry] = {}
        self.listeners: list[JobListener] = []
        self.revision = 0
        self.loaded = False
        self._dropped: dict[str, int] = {}
        self._advanced = Event()
        self._poll_now = Event()

    async def run(self) -> None:
        """Load all rows, then follow the changes until cancelled."""
        tries = 0
        while True:
            try:
                await self._step()
                tries = 0
                delay_s = HOLDER_POLL_S if self.listeners else STANDBY_POLL_S
            except RevisionTooOldError:
                self.loaded = False
                delay_s = 0.0
            except PlatformError as error:
                log(TABLE_RETRY, error=str(error))
                delay_s = retry_delay_s(tries, self.random)
                tries += 1
            with move_on_after(delay_s):
                await self._poll_now.wait()
            self._poll_now = Event()
            await sleep(0)

    async def wait_revision(self, revision: int) -> None:
        """Return once every change up to a revision has been applied."""
        self._poll_now.set()
        while not self.loaded or self.revision < revision:
            await self._advanced.wait()

    async def read(self, name: str) -> JobEntry | None:
        """Read one row now, apply it and return its entry.

        Return None if there is no row. Raise PlatformError if that fails.
        """
        row = await self.table.read(job_key(name))
        if row is None:
            self.remove(name, self.revision)
            return None
        self.apply_row(row)
        return parse_entry(row, current_time())

    def apply_row(self, row: Row) -> None:
        """Apply a row unless the cached revision is as new."""
        name = row.key.removeprefix(JOB_PREFIX)
        known = self.entries.get(name)
        newest = known.revision if known else self._dropped.get(name, 0)
        if row.revision <= newest:
            return
        if row.value is None:
            self.remove(name, row.revision)
            return
        seen_s = current_time()
        if known is not None and known.status["state"] == JOB_QUEUED:
            seen_s = known.seen_s
        entry = parse_entry(row, seen_s)
        if not self._is_relevant(entry):
            self.remove(name, row.revision)
            return
        self.entries[name] = entry
        self._notify(name)

    def remove(self, name: str, revision: int) -> None:
        """Remove a job; keep its revision to reject older rows."""
        self._dropped[name] = revision
        if self.entries.pop(name, None) is not None:
            self._notify(name)

    def queued(self) -> int:
        """Return the number of cached jobs that are queued."""
        entries = self.entries.values()
        return sum(e.status["state"] == JOB_QUEUED for e in entries)

    def _notify(self, name: str) -> None:
        for listener in self.listeners:
            listener.on_job_changed(name)

    def _is_relevant(self, entry: JobEntry) -> bool:
        state = entry.status["state"]
        if state in JOB_ENDED:
            return False
        if state == JOB_QUEUED:
            wanted = entry.spec["failure_domain"]
            return wanted in ("", self.failure_domain)
        return entry.status["cell"].startswith(f"{self.failure_domain}/")

    async def _step(self) -> None:
        if not self.loaded:
            await self._load()
        complete = False
        while not complete:
            page = await self.table.changes(
                JOB_PREFIX, self.revision, PAGE_LIMIT
            )
            for row in page.rows:
                self.apply_row(row)
            if page.rows:
                JOBS_QUEUED.set(NO_LABELS, self.queued())
            complete = page.complete
            self._advance(page.revision)

    async def _load(self) -> None:
        """Read all rows; changes made meanwhile are read again afterwards."""
        names: set[str] = set()
        first_revision = 0
        after = ""
        while True:
            page = await self.table.scan(JOB_PREFIX, after, PAGE_LIMIT)
            first_revision = first_revision or page.revision
            for row in page.rows:
                self.apply_row(row)
                names.add(row.key.removeprefix(JOB_PREFIX))
            after = page.next_after
            if not after:
                break
        for name in set(self.entries) - names:
            if self.entries[name].revision <= first_revision:
                self.remove(name, first_revision)
        self.loaded = True
        JOBS_QUEUED.set(NO_LABELS, self.queued())
        self._advance(first_revision)
        log(QUEUE_RELOADED, jobs=len(self.entries))

    def _advance(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        if self._dropped:
            self._dropped = {
                name: at
                for name, at in self._dropped.items()
                if at > self.revision
            }
        self._advanced.set()
        self._advanced = Event()


def parse_entry(row: Row, seen_s: float) -> JobEntry:
    """Parse a row into an entry."""
    value = row.value or {}
    return JobEntry(
        row.key.removeprefix(JOB_PREFIX),
        row.revision,
        row.mutation_id,
        cast(JobSpec, with_interned_names(value["spec"])),
        cast(JobStatus, with_interned_names(value["status"])),
        seen_s,
    )


def with_interned_names(members: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a JSON object with interned member names.

    A parser creates new strings for the names in each row; they would be two
    fifths of the memory of a cached job.
    """
    return {intern(name): value for name, value in members.items()}

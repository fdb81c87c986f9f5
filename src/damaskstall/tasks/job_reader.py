"""Read the jobs of the table, and watch for new jobs and cancellations."""

from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from random import Random
from time import time
from typing import NamedTuple

from trio import Nursery, open_nursery, sleep

from damaskstall.containment import contained
from damaskstall.errors import (
    DECODE_ERRORS,
    RevisionTooOldError,
    TableUnavailableError,
    ValidationError,
)
from damaskstall.events import log
from damaskstall.platform.types import Row
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.events import (
    JOB_UNREADABLE,
    STORE_LOST,
    STORE_REGAINED,
)
from damaskstall.tasks.job_rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    all_parts,
    decode_job,
    job_id_of,
    job_row_key,
    part_prefix,
    progress_row_key,
    restore_progress,
    withdrawn_unix_s,
)
from damaskstall.tasks.model import FINAL_STATES, AcceptedJob
from damaskstall.tasks.ports import WatchedTable
from damaskstall.tasks.progress import JobProgress
from damaskstall.tasks.scans import scan_rows

# A failed connection is detected after this time plus the timeout of a call.
WATCH_WAIT_S = 2.0
RETRY_LIMIT_S = 0.5
# A feed is late if it has not been answered for this time.
FEED_LATE_S = WATCH_WAIT_S + 1.0
# All jobs are read this often while a feed is late.
READ_INSTEAD_S = 2.0
# What decoding raises for the rows of a job that cannot be scheduled.
ROW_ERRORS = (*DECODE_ERRORS, ValidationError)

RowHandler = Callable[[Row], None]


class ReadJobs(NamedTuple):
    """The unfinished jobs that were read, and the finished ones.

    ``finished`` has the Unix time at which each finished, if known, also that
    of each ID that was withdrawn. The rows
    contain at least the state of ``revision``.
    """

    unfinished: list[JobProgress]
    finished: dict[str, float | None]
    revision: int


Resync = Callable[[ReadJobs], None]


class JobReader:
    """Reader of the tables of jobs for one holder."""

    def __init__(
        self, table: WatchedTable, clock: Clock, unix_s: Clock = time
    ) -> None:
        """Start with nothing read."""
        self.table = table
        self.clock = clock
        self.unix_s = unix_s
        self.revision = -1
        # The jobs that were finished when last read, with the Unix time at
        # which they finished, if known.
        self.finished: dict[str, float | None] = {}
        # The revision that the rows must reach, by part that is being read
        # again.
        self._needed: dict[str, int] = {}
        # When each feed was last answered, by table, and when the jobs were
        # last read since one was late.
        self._answered_s: dict[str, float] = {}
        self._read_instead_s = float("-inf")
        self._random = Random()

    async def load(self) -> list[JobProgress]:
        """Return all unfinished jobs; retry until that succeeds."""
        tries = 0
        while True:
            try:
                return await self._load()
            except TableUnavailableError as error:
                if not tries:
                    log(STORE_LOST, used_for="jobs", error=str(error))
                delay_s = retry_delay_s(tries, self._random)
                await sleep(min(delay_s, RETRY_LIMIT_S))
                tries += 1

    async def read_job(self, job_id: str) -> JobProgress | None:
        """Return one job, or None unless it is known and unfinished.

        Raises TableUnavailableError.
        """
        progress_row = await self.table.read(progress_row_key(job_id))
        job_row = await self.table.read(job_row_key(job_id))
        if progress_row is None or progress_row.value is None:
            return None
        try:
            if not is_unfinished(progress_row.value):
                return None
            return self._restore(job_row, progress_row)
        except ROW_ERRORS as error:
            log_unreadable(progress_row, error)
            return None

    def decode_new_job(self, row: Row) -> JobProgress | None:
        """Return the job of a newly written row, or None if it was deleted."""
        if row.value is None:
            return None
        try:
            job = decode_job(job_id_of(row.key), row.value)
            return self._progress(job, row.revision)
        except ROW_ERRORS as error:
            log_unreadable(row, error)
            return None

    def _progress(self, job: AcceptedJob, revision: int) -> JobProgress:
        """Return a job before its first run, with times on the local clock."""
        now_s, now_unix_s = self.clock(), self.unix_s()
        accepted_s = now_s + min(0.0, job.accepted_unix_s - now_unix_s)
        schedule = job.declaration.schedule
        first_due_s = None
        if schedule is not None:
            first_due_s = now_s + schedule.first_unix_s - now_unix_s
        return JobProgress(job, revision, accepted_s, first_due_s)

    async def follow(
        self, table: str, handle_row: RowHandler, resync: Resync
    ) -> None:
        """Pass each changed row of a table to a handler until cancelled.

        When the store no longer has the changes, all jobs are read and passed
        to ``resync`` instead, part by part, while later changes
        are followed.
        """
        async with open_nursery() as nursery:
            nursery.start_soon(self._read_while_late, table, resync, nursery)
            await self._follow(table, handle_row, resync, nursery)

    async def _follow(
        self,
        table: str,
        handle_row: RowHandler,
        resync: Resync,
        nursery: Nursery,
    ) -> None:
        revision = self.revision
        tries = 0
        while True:
            try:
                if revision < 0:
                    revision = await self._newest_revision()
                    self._read_again(revision, resync, nursery)
                page = await self.table.watch(table, revision, WATCH_WAIT_S)
            except RevisionTooOldError:
                revision = -1
                continue
            except TableUnavailableError as error:
                if not tries:
                    log(STORE_LOST, used_for=table, error=str(error))
                delay_s = retry_delay_s(tries, self._random)
                await sleep(min(delay_s, RETRY_LIMIT_S))
                tries += 1
                continue
            self._answered_s[table] = self.clock()
            for row in page.rows:
                with contained("job row", row.key):
                    handle_row(row)
            revision = page.revision
            if tries:
                log(STORE_REGAINED, used_for=table, tries=tries)
            tries = 0

    async def _read_while_late(
        self, table: str, resync: Resync, nursery: Nursery
    ) -> None:
        """Read all jobs now and then while the feed of a table is late.

        The store may fail in part, and serve the rows.
        """
        self._answered_s[table] = self.clock()
        while True:
            await sleep(RETRY_LIMIT_S)
            now_s = self.clock()
            is_late = now_s - self._answered_s[table] > FEED_LATE_S
            if not is_late or now_s - self._read_instead_s < READ_INSTEAD_S:
                continue
            self._read_instead_s = now_s
            with suppress(TableUnavailableError):
                revision = await self._newest_revision()
                self._read_again(revision, resync, nursery)

    async def _newest_revision(self) -> int:
        """Return the store's newest revision."""
        page = await self.table.scan(part_prefix(PROGRESS_TABLE, ""), "", 1)
        return page.revision

    def _read_again(
        self, revision: int, resync: Resync, nursery: Nursery
    ) -> None:
        """Begin to read the jobs of all parts, as of a revision or later."""
        for part in all_parts():
            if part not in self._needed:
                nursery.start_soon(self._read_part_again, part, resync)
            self._needed[part] = max(revision, self._needed.get(part, 0))

    async def _read_part_again(self, part: str, resync: Resync) -> None:
        """Pass the jobs of a part to ``resync``; retry until they are new."""
        try:
            read = await self._read_new_part(part)
        finally:
            # Also after an error, so that the part can be read again.
            del self._needed[part]
        resync(read)

    async def _read_new_part(self, part: str) -> ReadJobs:
        """Return the jobs of a part as of the revision that is needed."""
        tries = 0
        while True:
            try:
                read = await self._read_part(part)
                if read.revision >= self._needed[part]:
                    return read
                error = "The rows are older than the watched changes."
            except TableUnavailableError as failure:
                error = str(failure)
            if not tries:
                log(STORE_LOST, used_for="jobs", error=error)
            delay_s = retry_delay_s(tries, self._random)
            await sleep(min(delay_s, RETRY_LIMIT_S))
            tries += 1

    async def _read_part(self, part: str) -> ReadJobs:
        """Return the jobs of one part, the progress rows read first."""
        progress, jobs = [
            await scan_rows(self.table, part_prefix(table, part))
            for table in (PROGRESS_TABLE, JOB_TABLE)
        ]
        return self._decode_jobs(
            by_job(progress.rows),
            by_job(jobs.rows),
            min(progress.revision, jobs.revision),
        )

    async def _load(self) -> list[JobProgress]:
        """Return all unfinished jobs, and record the finished ones.

        Progress rows are read first: a job's declaration is written in the
        same transaction, so it is found by the later read.
        """
        progress_rows, progress_revision = await self._scan(PROGRESS_TABLE)
        job_rows, job_revision = await self._scan(JOB_TABLE)
        revision = min(progress_revision, job_revision)
        read = self._decode_jobs(progress_rows, job_rows, revision)
        self.finished = read.finished
        self.revision = read.revision
        return read.unfinished

    def _decode_jobs(
        self,
        progress_rows: dict[str, Row],
        job_rows: dict[str, Row],
        revision: int,
    ) -> ReadJobs:
        """Return the jobs that rows describe, except unreadable ones."""
        read = ReadJobs([], {}, revision)
        for job_id, row in progress_rows.items():
            with contained("job row", row.key):
                self._decode_job_into(read, job_rows.get(job_id), row)
        for job_id, row in job_rows.items():
            with contained("job row", row.key):
                withdrawn_s = withdrawn_unix_s(row.value)
                if withdrawn_s is not None:
                    read.finished[job_id] = withdrawn_s
        return read

    def _decode_job_into(
        self, read: ReadJobs, job_row: Row | None, row: Row
    ) -> None:
        """Add the job of a progress row unless its rows are unreadable."""
        if row.value is None:
            return
        job_id = job_id_of(row.key)
        try:
            if not is_unfinished(row.value):
                read.finished[job_id] = row.value.get("over_unix_s")
                return
            progress = self._restore(job_row, row)
        except ROW_ERRORS as error:
            log_unreadable(row, error)
            return
        if progress is not None:
            read.unfinished.append(progress)

    def _restore(
        self, job_row: Row | None, progress_row: Row
    ) -> JobProgress | None:
        """Return a job with its stored progress, None without declaration."""
        if job_row is None or job_row.value is None:
            return None
        assert progress_row.value is not None
        job = decode_job(job_id_of(job_row.key), job_row.value)
        progress = self._progress(job, progress_row.revision)
        restore_progress(progress, progress_row.value, self.clock())
        return progress

    async def _scan(self, table: str) -> tuple[dict[str, Row], int]:
        """Return a table's rows by job, and the revision to watch from.

        The rows contain at least that revision's state, and may already
        include later changes.
        """
        rows: dict[str, Row] = {}
        revisions: list[int] = []

        async def scan(part: str) -> None:
            found = await scan_rows(self.table, part_prefix(table, part))
            revisions.append(found.revision)
            rows.update(by_job(found.rows))

        await self._run_for_each_part(scan)
        return rows, min(revisions)

    async def _run_for_each_part(
        self, call: Callable[[str], Awaitable[None]]
    ) -> None:
        """Make a call for each part, all concurrently.

        Raise the first TableUnavailableError after all calls have ended.
        """
        failed: list[TableUnavailableError] = []

        async def run_part(part: str) -> None:
            try:
                await call(part)
            except TableUnavailableError as error:
                failed.append(error)

        async with open_nursery() as nursery:
            for part in all_parts():
                nursery.start_soon(run_part, part)
        if failed:
            raise failed[0]


def by_job(rows: Iterable[Row]) -> dict[str, Row]:
    """Return rows by the ID of their job."""
    return {job_id_of(row.key): row for row in rows}


def log_unreadable(row: Row, error: Exception) -> None:
    """Log that a job is left alone, since its rows cannot be read.

    A later version may have written them; the other jobs are scheduled.
    """
    log(
        JOB_UNREADABLE,
        job=job_id_of(row.key),
        revision=row.revision,
        error=repr(error),
    )


def is_unfinished(value: dict[str, object]) -> bool:
    """Return whether a job has no final state, or may still have runs."""
    if value["state"] not in FINAL_STATES:
        return True
    steps = value["steps"]
    assert isinstance(steps, list)
    return any(has_members(step) for step in steps)


def has_members(step: list[dict[str, list[object]]]) -> bool:
    """Return whether a stored step has members, so that runs may exist."""
    return any(unit[-1] for unit in step[1].values())

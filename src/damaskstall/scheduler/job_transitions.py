"""Change the state of job rows by conditional writes."""

from collections.abc import Callable
from random import Random
from typing import Any

from trio import sleep

from damaskstall.errors import (
    LeaseLostError,
    PlatformError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.keys import job_key
from damaskstall.platform.types import Row, Write
from damaskstall.resources.records import JobStatus
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.events import JOB_NOT_OURS, TABLE_RETRY
from damaskstall.scheduler.job_cache import JobCache, JobEntry
from damaskstall.scheduler.job_writer import (
    CONFLICT,
    UNAVAILABLE,
    WRITTEN,
    JobWriter,
    WriteResult,
)

Check = Callable[[JobStatus], bool]
Change = Callable[[JobStatus], JobStatus]


class RowChange:
    """A change of one row that is being tried."""

    def __init__(
        self,
        name: str,
        expected: Check,
        change: Change,
        lease: CellLease | None,
    ) -> None:
        """Create a change that applies if the row's status is as expected."""
        self.name = name
        self.expected = expected
        self.change = change
        self.lease = lease
        self.reread = False
        # Mutation IDs of tries whose outcome is unknown.
        self.unsettled: set[str] = set()


class JobTransitions:
    """Updates job rows if their status is what the caller expects."""

    def __init__(
        self, job_cache: JobCache, writer: JobWriter, random: Random
    ) -> None:
        """Write through a batch writer and keep the job cache up to date."""
        self.job_cache = job_cache
        self.writer = writer
        self.random = random

    async def update(
        self,
        name: str,
        expected: Check,
        change: Change,
        lease: CellLease | None = None,
        patient: bool = True,
    ) -> JobEntry | None:
        """Update a row and return its new entry.

        Return None if there is no row or its status is not as expected.
        With ``lease`` the write takes effect only while the lease is held.
        With ``patient`` the call retries during an outage; otherwise it
        raises TableUnavailableError if the table certainly did not write. An
        unknown outcome is always resolved first.
        """
        row_change = RowChange(name, expected, change, lease)
        tries = 0
        while True:
            try:
                return await self._try_once(row_change)
            except TableConflictError:
                row_change.reread = True
                continue
            except TableUnavailableError:
                if not patient and not row_change.unsettled:
                    raise
            except TableOutcomeUnknownError:
                pass
            row_change.reread = True
            await sleep(retry_delay_s(tries, self.random))
            tries += 1

    async def _try_once(self, row_change: RowChange) -> JobEntry | None:
        """Make one try; raise an error if the write did not succeed."""
        entry = await self._current(row_change)
        if entry is None:
            return None
        if entry.mutation_id in row_change.unsettled:
            return entry
        state = entry.status["state"]
        if not row_change.expected(entry.status):
            log(JOB_NOT_OURS, job=entry.name, state=state)
            return None
        status = row_change.change(entry.status)
        if status == entry.status:
            return entry
        result = await self._write(entry, status, row_change.lease)
        if result.outcome == WRITTEN:
            return self._apply_write(entry, status, result)
        log(TABLE_RETRY, job=entry.name, outcome=result.outcome)
        if result.outcome == CONFLICT:
            raise TableConflictError(job_key(entry.name), entry.revision)
        if result.outcome == UNAVAILABLE:
            raise TableUnavailableError("The table accepted no write.")
        row_change.unsettled.add(result.mutation_id)
        raise TableOutcomeUnknownError("The outcome of the write is unknown.")

    async def _current(self, row_change: RowChange) -> JobEntry | None:
        entry = self.job_cache.entries.get(row_change.name)
        if row_change.reread or entry is None:
            return await self.job_cache.read(row_change.name)
        return entry

    async def _write(
        self, entry: JobEntry, status: JobStatus, lease: CellLease | None
    ) -> WriteResult:
        value: dict[str, Any] = {"spec": entry.spec, "status": status}
        write = Write(job_key(entry.name), value, entry.revision)
        if lease is None:
            return await self.writer.write(write)
        return await write_with_lease(lease, write)

    def _apply_write(
        self, entry: JobEntry, status: JobStatus, result: WriteResult
    ) -> JobEntry:
        value: dict[str, Any] = {"spec": entry.spec, "status": status}
        row = Row(
            job_key(entry.name), result.revision, result.mutation_id, value
        )
        self.job_cache.apply_row(row)
        return entry._replace(
            revision=result.revision,
            mutation_id=result.mutation_id,
            status=status,
        )


async def write_with_lease(lease: CellLease, write: Write) -> WriteResult:
    """Write a row in the same commit as a renewal of the lease.

    Raise LeaseLostError once another process holds the lease.
    """
    try:
        revision = await lease.renew((write,))
    except LeaseLostError:
        raise
    except TableConflictError:
        return WriteResult(CONFLICT, 0, "")
    except PlatformError:
        # The write may have taken effect. A retry is safe, since it reads the
        # row again.
        return WriteResult(UNAVAILABLE, 0, "")
    return WriteResult(WRITTEN, revision, "")

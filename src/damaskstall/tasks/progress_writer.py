"""Write the progress of jobs, many jobs in one transaction.

One task writes all rows of a part, so each write is conditional on the
revision of the previous one. When the answer to a write is lost, the rows are
read to see whether it took effect.
"""

from random import Random
from typing import Protocol
from uuid import uuid4
from weakref import WeakSet

from trio import Event, Nursery, sleep

from damaskstall.errors import (
    PlatformError,
    TableConflictError,
    TableOutcomeUnknownError,
)
from damaskstall.events import log
from damaskstall.platform.types import TableService, Value, Write
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.tasks.events import STORE_LOST, STORE_REGAINED
from damaskstall.tasks.job_rows import (
    all_parts,
    encode_progress,
    part_of,
    progress_row_key,
)
from damaskstall.tasks.progress import JobProgress

# The platform allows 100 entries in a transaction, and a row needs two: its
# expected revision and its value.
BATCH_LIMIT = 40
RETRY_LIMIT_S = 0.5
# The lease is renewed every 0.15 s once the store answers again.
LEASE_CHECK_S = 0.05


class ConflictHandler(Protocol):
    """Handles what another process has written to a job's row."""

    def may_write(self) -> bool:
        """Return whether no other holder may have replaced this one."""

    def merge_stored_row(
        self, progress: JobProgress, value: Value | None, revision: int
    ) -> None:
        """Merge the value of a job's row; None if the row was deleted."""


class PartWriter:
    """Writer of the rows of one part, one transaction after another."""

    def __init__(
        self, table: TableService, handler: ConflictHandler, epoch: int
    ) -> None:
        """Write for a holder with an epoch."""
        self.table = table
        self.handler = handler
        self.epoch = epoch
        self.dirty: dict[str, JobProgress] = {}
        # Jobs whose rows are gone, while any task still refers to them.
        self.removed: WeakSet[JobProgress] = WeakSet()
        self.failing = False
        self.wake = Event()
        self.stored = Event()
        self._random = Random()

    def add(self, progress: JobProgress) -> None:
        """Queue a job's progress for writing."""
        self.dirty[progress.job_id] = progress
        self.wake.set()

    async def run(self) -> None:
        """Write queued progress until cancelled."""
        tries = 0
        while True:
            if not self.dirty:
                self.wake = Event()
                await self.wake.wait()
            if not self.handler.may_write():
                await sleep(LEASE_CHECK_S)
                continue
            batch = list(self.dirty.values())[:BATCH_LIMIT]
            try:
                await self._write(batch)
            except PlatformError as error:
                if not tries:
                    log(STORE_LOST, used_for="progress", error=str(error))
                self.failing = True
                delay_s = retry_delay_s(tries, self._random)
                await sleep(min(delay_s, RETRY_LIMIT_S))
                tries += 1
                continue
            if tries:
                log(STORE_REGAINED, used_for="progress", tries=tries)
            self.failing = False
            tries = 0

    async def _write(self, batch: list[JobProgress]) -> None:
        """Write a batch; on a conflict, merge rows and keep them queued."""
        counts = [progress.changes for progress in batch]
        writes = tuple(
            Write(
                progress_row_key(progress.job_id),
                encode_progress(progress),
                progress.revision,
            )
            for progress in batch
        )
        mutation_id = f"{self.epoch}.{uuid4().hex[:12]}"
        try:
            revision = await self.table.commit(writes, mutation_id)
        except TableConflictError:
            await self._read_back(batch, counts, "")
            return
        except TableOutcomeUnknownError:
            await self._read_back(batch, counts, mutation_id)
            return
        for progress, count in zip(batch, counts, strict=True):
            self._mark_stored(progress, revision, count)
        self._wake_waiters()

    async def _read_back(
        self, batch: list[JobProgress], counts: list[int], mutation_id: str
    ) -> None:
        """Read each row to see whether its write took effect.

        A lost write that arrives late meets a newer revision and has no
        effect, since every row found unchanged here is written again.
        """
        for progress, count in zip(batch, counts, strict=True):
            row = await self.table.read(progress_row_key(progress.job_id))
            if row is None:
                self.dirty.pop(progress.job_id, None)
                self.removed.add(progress)
                self.handler.merge_stored_row(progress, None, 0)
            elif mutation_id and row.mutation_id == mutation_id:
                self._mark_stored(progress, row.revision, count)
            elif row.revision != progress.revision:
                self.handler.merge_stored_row(
                    progress, row.value, row.revision
                )
        self._wake_waiters()

    def _mark_stored(
        self, progress: JobProgress, revision: int, count: int
    ) -> None:
        progress.revision = max(progress.revision, revision)
        progress.stored_changes = max(progress.stored_changes, count)
        if progress.stored_changes == progress.changes:
            self.dirty.pop(progress.job_id, None)

    def _wake_waiters(self) -> None:
        self.stored.set()
        self.stored = Event()


class ProgressWriter:
    """Writer of the progress of all jobs, with one task for each part."""

    def __init__(
        self, table: TableService, handler: ConflictHandler, epoch: int
    ) -> None:
        """Write for a holder with an epoch."""
        self.parts = {
            part: PartWriter(table, handler, epoch) for part in all_parts()
        }

    def start(self, nursery: Nursery) -> None:
        """Start one writing task for each part."""
        for writer in self.parts.values():
            nursery.start_soon(writer.run)

    @property
    def failing(self) -> bool:
        """Return whether the last write of any part has failed."""
        return any(writer.failing for writer in self.parts.values())

    def add(self, progress: JobProgress) -> None:
        """Queue a job's progress for writing."""
        self.parts[part_of(progress.job_id)].add(progress)

    async def wait_stored(self, progress: JobProgress, count: int) -> None:
        """Return once the row contains the job's first ``count`` changes.

        Return also once the row was found to be gone.
        """
        writer = self.parts[part_of(progress.job_id)]
        while progress.stored_changes < count:
            if progress in writer.removed:
                return
            await writer.stored.wait()

"""Write the progress of jobs, many jobs in one transaction.

One task writes all rows of a part, so each write is conditional on the
revision of the previous one. When the answer to a write is lost, the rows are
read to see whether it took effect.
"""

from json import dumps
from random import Random
from typing import Protocol
from uuid import uuid4
from weakref import WeakSet

from trio import Event, Nursery, current_time, move_on_after, sleep

from damaskstall.errors import (
    PlatformError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.types import Row, TableService, Value, Write
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.tasks.events import (
    ROW_REFUSED,
    STORE_LOST,
    STORE_REGAINED,
)
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
# The platform allows 1 MB in a transaction. A row has up to 30 bytes per task
# in the encoding of the store, and up to 6 KB if it is not compressed.
BATCH_TASK_LIMIT = 20_000
RETRY_LIMIT_S = 0.5
# A row that was refused by itself is not written for this long.
HOLD_S = 2.0
# Pause between the attempts that search for a refused row.
NARROWING_PAUSE_S = 0.05
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
        # It is smaller while a refused row is searched for.
        self.batch_limit = BATCH_LIMIT
        self.has_repeated = False
        # When the rows that were refused are written again, by job.
        self.held_until_s: dict[str, float] = {}
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
            batch = self._next_batch(current_time())
            if not batch:
                await self._wait_for_held_rows(current_time())
                continue
            try:
                refusal = await self._write(batch)
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
            if refusal is None:
                self._widen(batch)
            elif self.has_repeated:
                self._narrow(batch, refusal, current_time())
                await sleep(NARROWING_PAUSE_S)
            else:
                # Perhaps only the answer was lost.
                self.has_repeated = True

    def _next_batch(self, now_s: float) -> list[JobProgress]:
        """Return the rows to write next; a row that was refused is alone."""
        batch: list[JobProgress] = []
        tasks = 0
        for job_id, progress in self.dirty.items():
            held_until_s = self.held_until_s.get(job_id)
            if held_until_s is None:
                tasks += count_tasks(progress)
                if batch and tasks > BATCH_TASK_LIMIT:
                    break
                batch.append(progress)
            elif held_until_s <= now_s and not batch:
                return [progress]
            if len(batch) == self.batch_limit:
                break
        return batch

    async def _wait_for_held_rows(self, now_s: float) -> None:
        """Wait for a new row or until a held one is written again."""
        until_s = min(self.held_until_s[job_id] for job_id in self.dirty)
        self.wake = Event()
        with move_on_after(max(0.0, until_s - now_s)):
            await self.wake.wait()

    def _widen(self, batch: list[JobProgress]) -> None:
        """Allow larger batches after one was written."""
        for progress in batch:
            self.held_until_s.pop(progress.job_id, None)
        self.batch_limit = min(BATCH_LIMIT, 2 * self.batch_limit)
        self.has_repeated = self.batch_limit < BATCH_LIMIT

    def _narrow(
        self, batch: list[JobProgress], refusal: PlatformError, now_s: float
    ) -> None:
        """Halve the next batch after one was refused.

        A row that was refused by itself is held, so that the others are
        written without it.
        """
        if len(batch) > 1:
            self.batch_limit = len(batch) // 2
            return
        job_id = batch[0].job_id
        self.held_until_s[job_id] = now_s + HOLD_S
        log(
            ROW_REFUSED,
            key=progress_row_key(job_id),
            size_bytes=len(dumps(encode_progress(batch[0]))),
            error=str(refusal),
            held_s=HOLD_S,
        )

    async def _write(self, batch: list[JobProgress]) -> PlatformError | None:
        """Write a batch; on a conflict, merge rows and keep them queued.

        Return the error if the outcome was unknown and no row has changed.
        """
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
            return None
        except TableOutcomeUnknownError as error:
            has_changed = await self._read_back(batch, counts, mutation_id)
            return None if has_changed else error
        for progress, count in zip(batch, counts, strict=True):
            self._mark_stored(progress, revision, count)
        self._wake_waiters()
        return None

    async def _read_back(
        self, batch: list[JobProgress], counts: list[int], mutation_id: str
    ) -> bool:
        """Read each row to see whether its write took effect.

        Return whether any row differs from what it was before the write.

        A lost write that arrives late meets a newer revision and has no
        effect, since every row found unchanged here is written again.
        """
        has_changed = False
        for progress, count in zip(batch, counts, strict=True):
            row = await self._read_row(progress)
            if row is None:
                self.dirty.pop(progress.job_id, None)
                self.removed.add(progress)
                self.handler.merge_stored_row(progress, None, 0)
                has_changed = True
            elif mutation_id and row.mutation_id == mutation_id:
                self._mark_stored(progress, row.revision, count)
                has_changed = True
            elif row.revision != progress.revision:
                self.handler.merge_stored_row(
                    progress, row.value, row.revision
                )
                has_changed = True
        self._wake_waiters()
        return has_changed

    async def _read_row(self, progress: JobProgress) -> Row | None:
        """Return the row of a job, None if it was removed.

        A row that is missing from rows older than its last known revision may
        exist: then TableUnavailableError is raised.
        """
        key = progress_row_key(progress.job_id)
        row = await self.table.read(key)
        if row is not None:
            return row
        page = await self.table.scan(key, "", 1)
        if page.revision < progress.revision:
            raise TableUnavailableError(
                f"The row {key!r} was read as of revision {page.revision}, "
                f"before that of its last write, {progress.revision}."
            )
        return next((r for r in page.rows if r.key == key), None)

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


def count_tasks(progress: JobProgress) -> int:
    """Return the number of tasks that a job's row describes."""
    declaration = progress.job.declaration
    tasks = sum(step.task_count for step in declaration.steps)
    return tasks * declaration.occurrences


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

    def failing_parts(self) -> frozenset[str]:
        """Return the parts whose last write has failed."""
        return frozenset(
            part for part, writer in self.parts.items() if writer.failing
        )

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

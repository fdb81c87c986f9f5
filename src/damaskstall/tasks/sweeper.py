"""Remove obsolete rows of jobs and instances, under the holder's lease.

A finished job's rows are kept for as long as clients may ask for its state.
An instance that no longer renews its row has stopped.
"""

from random import Random
from uuid import uuid4

from trio import sleep

from damaskstall.errors import (
    PlatformError,
    TableConflictError,
)
from damaskstall.events import log
from damaskstall.platform.types import Row, Write
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.events import MEMBER_REMOVED, ROW_SWEEP_FAILED
from damaskstall.tasks.job_reader import is_unfinished
from damaskstall.tasks.job_rows import (
    cancel_row_key,
    job_row_key,
    progress_row_key,
)
from damaskstall.tasks.peer_directory import INSTANCE_TIMEOUT_S, NODE_PREFIX
from damaskstall.tasks.scans import scan_rows

# Rows are small and few, so there is no need to sweep often.
SWEEP_S = 5.0
# The wall clocks of two instances may differ by seconds, and a client may
# repeat a submission seconds after the first.
RETENTION_MARGIN_S = 60.0


class Sweeper:
    """Removes the rows of finished jobs and of stopped instances."""

    def __init__(self, context: NodeContext) -> None:
        """Start without any finished jobs."""
        self.context = context
        self.table = context.table
        self.finished: dict[str, float] = {}
        self._renewals: dict[str, tuple[int, float]] = {}
        self._random = Random()

    def add_finished_job(self, job_id: str, over_unix_s: float | None) -> None:
        """Schedule the removal of a finished job's rows.

        ``over_unix_s`` is when the job finished, None if that is not known.
        """
        if over_unix_s is None:
            over_unix_s = self.context.unix_s()
        self.finished.setdefault(job_id, over_unix_s)

    async def run(self) -> None:
        """Sweep at intervals until cancelled."""
        while True:
            await sleep(SWEEP_S * self._random.uniform(0.8, 1.2))
            try:
                await self._sweep_jobs(self.context.unix_s())
                await self._sweep_instances(self.context.clock)
            except PlatformError as error:
                log(ROW_SWEEP_FAILED, error=str(error))

    async def _sweep_jobs(self, now_unix_s: float) -> None:
        retention_s = self.context.settings.state_kept_s + RETENTION_MARGIN_S
        due = [
            job_id
            for job_id, over_unix_s in self.finished.items()
            if now_unix_s - over_unix_s >= retention_s
        ]
        for job_id in due:
            # Once its rows are removed, the job may be accepted again.
            over_unix_s = self.finished.pop(job_id)
            try:
                await self._remove_job(job_id)
            except PlatformError:
                self.finished[job_id] = over_unix_s
                raise

    async def _remove_job(self, job_id: str) -> None:
        """Remove all rows of a job in one transaction if it is finished."""
        writes = []
        progress_key = progress_row_key(job_id)
        for key in (job_row_key(job_id), progress_key, cancel_row_key(job_id)):
            row = await self.table.read(key)
            if row is None:
                continue
            if key == progress_key and row.value is not None:
                if is_unfinished(row.value):
                    return
            writes.append(Write(key, None, row.revision))
        if writes:
            await self.table.commit(tuple(writes), uuid4().hex)

    async def _sweep_instances(self, clock: Clock) -> None:
        """Remove instances' rows that are unchanged for INSTANCE_TIMEOUT_S."""
        found = await scan_rows(self.table, NODE_PREFIX)
        now_s = clock()
        renewals = {}
        for row in found.rows:
            revision, unchanged_since_s = self._renewals.get(
                row.key, (-1, now_s)
            )
            if revision != row.revision:
                unchanged_since_s = now_s
            renewals[row.key] = (row.revision, unchanged_since_s)
            if now_s - unchanged_since_s >= INSTANCE_TIMEOUT_S:
                await self._remove_instance(row)
        self._renewals = renewals

    async def _remove_instance(self, row: Row) -> None:
        write = Write(row.key, None, row.revision)
        try:
            await self.table.commit((write,), uuid4().hex)
        except TableConflictError:
            # The instance has just renewed its row.
            return
        log(MEMBER_REMOVED, instance=row.key.removeprefix(NODE_PREFIX))

"""Write job rows in batches, so that bursts need few commits."""

from collections import deque
from typing import NamedTuple
from uuid import uuid4

from trio import Event, current_time, sleep

from damaskstall.errors import (
    PlatformError,
    TableConflictError,
    TableUnavailableError,
)
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.types import TableService, Write
from damaskstall.scheduler.metrics import TABLE_COMMITS

BATCH_LIMIT = 100
BATCH_GAP_S = 0.02
# After an outage all processes retry at once, so write less often.
RECOVERY_GAP_S = 0.5
RECOVERY_S = 10.0

WRITTEN = "written"
CONFLICT = "conflict"
UNAVAILABLE = "unavailable"
UNKNOWN = "unknown"


class WriteResult(NamedTuple):
    """The outcome of one write; the revision is 0 unless it succeeded."""

    outcome: str
    revision: int
    mutation_id: str


class PendingWrite:
    """A write that waits for its batch."""

    def __init__(self, write: Write) -> None:
        """Create a pending write."""
        self.write = write
        self.done = Event()
        self.result = WriteResult(UNAVAILABLE, 0, "")

    def resolve(self, result: WriteResult) -> None:
        """Set the result of the write and wake its caller."""
        self.result = result
        self.done.set()


class JobWriter:
    """Commits the writes of many tasks, one batch at a time."""

    def __init__(self, table: TableService) -> None:
        """Create a writer for a table."""
        self.table = table
        self._pending: deque[PendingWrite] = deque()
        self._slow_until_s = float("-inf")
        self._wake = Event()

    async def write(self, write: Write) -> WriteResult:
        """Write a row in a batch and return the result."""
        pending = PendingWrite(write)
        self._pending.append(pending)
        self._wake.set()
        await pending.done.wait()
        return pending.result

    def slow_down(self) -> None:
        """Commit less often, in larger batches, for ``RECOVERY_S``."""
        self._slow_until_s = current_time() + RECOVERY_S

    async def run(self) -> None:
        """Commit batches until cancelled."""
        while True:
            await self._wake.wait()
            batch = self._take_batch()
            if not batch:
                self._wake = Event()
                continue
            await self._commit(batch)
            recovering = current_time() < self._slow_until_s
            await sleep(RECOVERY_GAP_S if recovering else BATCH_GAP_S)

    def _take_batch(self) -> list[PendingWrite]:
        """Remove and return pending writes, at most one for each row."""
        batch: dict[str, PendingWrite] = {}
        later: list[PendingWrite] = []
        while self._pending and len(batch) < BATCH_LIMIT:
            pending = self._pending.popleft()
            if pending.write.key in batch:
                later.append(pending)
            else:
                batch[pending.write.key] = pending
        self._pending.extendleft(reversed(later))
        return list(batch.values())

    async def _commit(self, batch: list[PendingWrite]) -> None:
        """Commit a batch; resolve and leave out rows that conflict."""
        while batch:
            mutation_id = uuid4().hex
            writes = tuple(pending.write for pending in batch)
            try:
                revision = await commit_with_retry(
                    self.table, writes, mutation_id
                )
                result = WriteResult(WRITTEN, revision, mutation_id)
            except TableConflictError as error:
                TABLE_COMMITS.inc({"outcome": CONFLICT})
                conflict_result = WriteResult(CONFLICT, 0, mutation_id)
                batch = resolve_key(batch, error.key, conflict_result)
                continue
            except TableUnavailableError:
                result = WriteResult(UNAVAILABLE, 0, mutation_id)
            except PlatformError:
                result = WriteResult(UNKNOWN, 0, mutation_id)
            TABLE_COMMITS.inc({"outcome": result.outcome})
            if result.outcome != WRITTEN:
                self.slow_down()
            for pending in batch:
                pending.resolve(result)
            return


def resolve_key(
    batch: list[PendingWrite], key: str, result: WriteResult
) -> list[PendingWrite]:
    """Resolve the writes of one row and return the others."""
    others = []
    for pending in batch:
        if pending.write.key == key:
            pending.resolve(result)
        else:
            others.append(pending)
    return others

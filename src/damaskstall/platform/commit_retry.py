"""Commit with retries; a lost answer is resolved by reading the row."""

from trio import sleep

from damaskstall.errors import (
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.platform.types import TableService, Write

ATTEMPT_LIMIT = 4
RETRY_DELAY_S = 0.2


async def commit_with_retry(
    table: TableService, writes: tuple[Write, ...], mutation_id: str
) -> int:
    """Commit at most once despite lost answers; return the revision.

    Retrying is safe: the write is conditional, so at most one of several
    attempts takes effect, and the row's mutation id shows whether one did.
    Raises TableConflictError when a row has another revision than expected,
    TableUnavailableError when the first attempt was not accepted, and
    TableOutcomeUnknownError when the outcome is still unknown at the end.
    """
    may_be_committed = False
    for attempt in range(ATTEMPT_LIMIT):
        if attempt:
            await sleep(RETRY_DELAY_S * 2 ** (attempt - 1))
        try:
            return await table.commit(writes, mutation_id)
        except TableOutcomeUnknownError:
            may_be_committed = True
        except TableUnavailableError:
            if not may_be_committed:
                raise
        except TableConflictError:
            if not may_be_committed:
                raise
            return await read_committed_revision(table, writes[0], mutation_id)
    raise TableOutcomeUnknownError(
        f"The outcome of the write of {writes[0].key!r} is not known."
    )


async def read_committed_revision(
    table: TableService, write: Write, mutation_id: str
) -> int:
    """Return the revision of our write, if the row shows that it took effect.

    Raises TableOutcomeUnknownError otherwise: the row cannot be read, or
    another write may have replaced ours.
    """
    try:
        row = await table.read(write.key)
    except TableUnavailableError as error:
        raise TableOutcomeUnknownError(
            f"The write of {write.key!r} could not be read back."
        ) from error
    if row is not None and row.mutation_id == mutation_id:
        return row.revision
    raise TableOutcomeUnknownError(
        f"Another process wrote the row {write.key!r}: it is not known "
        "whether our write took effect before."
    )

"""Cancel jobs, one by name or thousands by selector.

A bulk cancellation writes its rows in batches. A batch that loses a race is
read again as a whole; after a few attempts its rows are written one by one.
"""

from typing import NamedTuple

from trio import current_time

from damaskstall.errors import (
    ResourceMissingError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import JOB_PREFIX, job_key
from damaskstall.platform.types import Row, ScanPage, TableService, Write
from damaskstall.resources.events import JOBS_CANCELLED
from damaskstall.resources.records import (
    JOB_CANCELLED,
    JOB_ENDED,
    JOB_QUEUED,
)
from damaskstall.resources.selector import Selector, selects
from damaskstall.resources.store import new_mutation_id

BATCH_ROWS = 100
BATCH_ATTEMPTS = 3
SINGLE_ATTEMPTS = 5
SCAN_ROWS = 1000
SCAN_PAGES = 4
CALL_LIMIT_S = 5.0
REASON = "cancelled by an operator"

ENDED = "already_ended"
CANCELLED = "cancelled"
REQUESTED = "cancel_requested"
FAILED = "failed"


class CancelResult(NamedTuple):
    """The counts of one bulk call; the next one starts at ``next_after``.

    ``failed`` lists the jobs whose writes lost every race or have an unknown
    outcome; cancelling them again is safe.
    """

    matched: int
    cancelled: int
    cancel_requested: int
    already_ended: int
    failed: tuple[str, ...]
    next_after: str


def needs_cancellation(row: Row) -> bool:
    """Return whether a job has neither ended nor been asked to stop."""
    status = (row.value or {})["status"]
    return not (status["state"] in JOB_ENDED or status["cancel_requested"])


def outcome_of(row: Row) -> str:
    """Return the outcome of cancelling a job in its current state."""
    state = (row.value or {})["status"]["state"]
    if state in (JOB_QUEUED, JOB_CANCELLED):
        return CANCELLED
    return ENDED if state in JOB_ENDED else REQUESTED


def cancel_write(row: Row, now_unix_s: float) -> Write:
    """Return the write that cancels a job or requests it to stop."""
    value = row.value or {}
    status = {**value["status"], "cancel_requested": True}
    if status["state"] == JOB_QUEUED:
        status["state"] = JOB_CANCELLED
        status["reason"] = REASON
        status["ended_unix_s"] = now_unix_s
    return Write(row.key, {**value, "status": status}, row.revision)


class Canceller:
    """Cancels jobs in the table."""

    def __init__(self, table: TableService, instance: str) -> None:
        """Cancel jobs of a table; ``instance`` prefixes the mutation ids."""
        self.table = table
        self.instance = instance

    async def cancel(self, name: str, now_unix_s: float) -> str:
        """Cancel one job; return the outcome.

        Raises ResourceMissingError, and TableOutcomeUnknownError when
        every attempt to write fails.
        """
        for _ in range(SINGLE_ATTEMPTS):
            row = await self.table.read(job_key(name))
            if row is None:
                raise ResourceMissingError("job", name)
            outcome = outcome_of(row)
            if not needs_cancellation(row):
                return outcome
            mutation_id = new_mutation_id(self.instance)
            write = cancel_write(row, now_unix_s)
            try:
                await commit_with_retry(self.table, (write,), mutation_id)
            except (TableConflictError, TableOutcomeUnknownError):
                # Cancelling is idempotent, so read the row again and retry.
                continue
            return outcome
        raise TableOutcomeUnknownError(
            f"The cancellation of {name!r} lost the race in every attempt."
        )

    async def cancel_matching(
        self, selector: Selector, after_name: str, now_unix_s: float
    ) -> CancelResult:
        """Cancel a bounded number of matching jobs in name order.

        Starts no new batch after ``CALL_LIMIT_S``; the caller continues
        after the name that the result gives.
        """
        outcomes: list[tuple[str, str]] = []
        after = job_key(after_name) if after_name else ""
        deadline_s = current_time() + CALL_LIMIT_S
        try:
            for _ in range(SCAN_PAGES):
                page = await self.table.scan(JOB_PREFIX, after, SCAN_ROWS)
                rows = [r for r in page.rows if row_matches(r, selector)]
                for start in range(0, len(rows), BATCH_ROWS):
                    batch = rows[start : start + BATCH_ROWS]
                    outcomes += await self._cancel_batch(
                        batch, now_unix_s, deadline_s
                    )
                    after = batch[-1].key
                    if current_time() >= deadline_s:
                        return summarize(outcomes, after)
                after = page.next_after
                if not after:
                    break
        except TableUnavailableError:
            if not outcomes:
                raise
            # Some jobs have been cancelled: report them and where to continue.
        return summarize(outcomes, after)

    async def _cancel_batch(
        self, rows: list[Row], now_unix_s: float, deadline_s: float
    ) -> list[tuple[str, str]]:
        """Write rows in one commit, or one by one after repeated conflicts."""
        outcome_unknown = False
        for _ in range(BATCH_ATTEMPTS):
            live = [row for row in rows if needs_cancellation(row)]
            if not live:
                break
            writes = tuple(cancel_write(row, now_unix_s) for row in live)
            mutation_id = new_mutation_id(self.instance)
            try:
                await commit_with_retry(self.table, writes, mutation_id)
                return [(row.key, outcome_of(row)) for row in rows]
            except TableConflictError:
                pass
            except TableOutcomeUnknownError:
                outcome_unknown = True
            except TableUnavailableError:
                if not outcome_unknown:
                    raise
                break
            rows = await self._reread(rows)
        return [
            (row.key, await self._cancel_single(row, now_unix_s, deadline_s))
            for row in rows
        ]

    async def _reread(self, rows: list[Row]) -> list[Row]:
        """Return the current rows from one read, without deleted ones.

        Rows beyond the page that was read are returned unchanged.
        """
        # A scan returns the rows after a key. A prefix of the first row's key
        # sorts before that row, so the scan includes it.
        after = rows[0].key[:-1]
        try:
            page = await self.table.scan(JOB_PREFIX, after, SCAN_ROWS)
        except TableUnavailableError:
            return rows
        newest = {row.key: row for row in page.rows}
        return [
            newest.get(row.key, row)
            for row in rows
            if row.key in newest or is_beyond(row, page)
        ]

    async def _cancel_single(
        self, row: Row, now_unix_s: float, deadline_s: float
    ) -> str:
        if not needs_cancellation(row):
            return outcome_of(row)
        if current_time() >= deadline_s:
            return FAILED
        try:
            name = row.key.removeprefix(JOB_PREFIX)
            return await self.cancel(name, now_unix_s)
        except ResourceMissingError:
            return ENDED
        except (TableOutcomeUnknownError, TableUnavailableError):
            return FAILED


def is_beyond(row: Row, page: ScanPage) -> bool:
    """Return whether a row lies after the last row of a page."""
    return bool(page.next_after) and row.key > page.next_after


def row_matches(row: Row, selector: Selector) -> bool:
    """Return whether a job row matches a selector."""
    value = row.value or {}
    return selects(selector, value["spec"], value["status"])


def summarize(
    outcomes: list[tuple[str, str]], next_after: str
) -> CancelResult:
    """Log and return the counts of one bulk call."""
    found = [outcome for _, outcome in outcomes]
    failed = tuple(
        key.removeprefix(JOB_PREFIX)
        for key, outcome in outcomes
        if outcome == FAILED
    )
    result = CancelResult(
        len(found),
        found.count(CANCELLED),
        found.count(REQUESTED),
        found.count(ENDED),
        failed,
        next_after.removeprefix(JOB_PREFIX),
    )
    log(
        JOBS_CANCELLED,
        matched=result.matched,
        cancelled=result.cancelled,
        cancel_requested=result.cancel_requested,
        failed=len(result.failed),
    )
    return result

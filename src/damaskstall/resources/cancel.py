"""Cancel jobs, one by name or thousands by selector.

A wave is written in batches of rows. Rows that lost a race in their batch
are read again and written one by one, a bounded number of times.
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
from damaskstall.platform.keys import JOB_PREFIX, job_key
from damaskstall.platform.settle import commit_settled
from damaskstall.platform.types import Row, TableService, Write
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
WAVE_LIMIT_S = 5.0
REASON = "cancelled by an operator"

ENDED = "already_ended"
CANCELLED = "cancelled"
REQUESTED = "cancel_requested"
FAILED = "failed"


class CancelledWave(NamedTuple):
    """Count what one step of a wave did; ``next_after`` goes on with it.

    ``failed`` names the jobs that lost every race or whose write could not
    be settled; cancelling them again is safe.
    """

    matched: int
    cancelled: int
    cancel_requested: int
    already_ended: int
    failed: tuple[str, ...]
    next_after: str


def needs_write(row: Row) -> bool:
    """Return whether a job is neither ended nor asked to stop."""
    status = (row.value or {})["status"]
    return not (status["state"] in JOB_ENDED or status["cancel_requested"])


def outcome_of(row: Row) -> str:
    """Return what cancelling a job in this state comes to."""
    state = (row.value or {})["status"]["state"]
    if state in (JOB_QUEUED, JOB_CANCELLED):
        return CANCELLED
    return ENDED if state in JOB_ENDED else REQUESTED


def cancel_write(row: Row, now_unix_s: float) -> Write:
    """Return the write that cancels a queued job or asks a running one."""
    value = row.value or {}
    status = {**value["status"], "cancel_requested": True}
    if status["state"] == JOB_QUEUED:
        status["state"] = JOB_CANCELLED
        status["reason"] = REASON
        status["ended_unix_s"] = now_unix_s
    return Write(row.key, {**value, "status": status}, row.revision)


class Canceller:
    """Cancel jobs in the table."""

    def __init__(self, table: TableService, instance: str) -> None:
        """Name the table and the writer."""
        self.table = table
        self.instance = instance

    async def cancel(self, name: str, now_unix_s: float) -> str:
        """Cancel one job; return what it came to.

        Raises ResourceMissingError, and TableOutcomeUnknownError when a
        few tries do not settle it.
        """
        for _ in range(SINGLE_ATTEMPTS):
            row = await self.table.read(job_key(name))
            if row is None:
                raise ResourceMissingError("job", name)
            outcome = outcome_of(row)
            if not needs_write(row):
                return outcome
            mutation_id = new_mutation_id(self.instance)
            write = cancel_write(row, now_unix_s)
            try:
                await commit_settled(self.table, (write,), mutation_id)
            except (TableConflictError, TableOutcomeUnknownError):
                # Cancelling again is harmless, so the row is read anew.
                continue
            return outcome
        raise TableOutcomeUnknownError(
            f"The cancellation of {name!r} lost every race."
        )

    async def cancel_wave(
        self, selector: Selector, after_name: str, now_unix_s: float
    ) -> CancelledWave:
        """Cancel a bounded number of matching jobs in name order.

        Begins no new batch after ``WAVE_LIMIT_S``; the caller goes on from
        the name that the answer gives.
        """
        outcomes: list[tuple[str, str]] = []
        after = job_key(after_name) if after_name else ""
        deadline_s = current_time() + WAVE_LIMIT_S
        try:
            for _ in range(SCAN_PAGES):
                page = await self.table.scan(JOB_PREFIX, after, SCAN_ROWS)
                rows = [r for r in page.rows if row_matches(r, selector)]
                for start in range(0, len(rows), BATCH_ROWS):
                    batch = rows[start : start + BATCH_ROWS]
                    outcomes += await self._cancel_rows(
                        batch, now_unix_s, deadline_s
                    )
                    after = batch[-1].key
                    if current_time() >= deadline_s:
                        return count_outcomes(outcomes, after)
                after = page.next_after
                if not after:
                    break
        except TableUnavailableError:
            if not outcomes:
                raise
            # Part of the wave is written: tell it and where to go on.
        return count_outcomes(outcomes, after)

    async def _cancel_rows(
        self, rows: list[Row], now_unix_s: float, deadline_s: float
    ) -> list[tuple[str, str]]:
        live = [row for row in rows if needs_write(row)]
        outcomes = [
            (row.key, outcome_of(row)) for row in rows if not needs_write(row)
        ]
        if live:
            outcomes += await self._cancel_batch(live, now_unix_s, deadline_s)
        return outcomes

    async def _cancel_batch(
        self, rows: list[Row], now_unix_s: float, deadline_s: float
    ) -> list[tuple[str, str]]:
        """Write rows together; those that lost a race go one by one."""
        remaining = list(rows)
        single: list[Row] = []
        written = False
        for _ in range(BATCH_ATTEMPTS):
            if not remaining:
                break
            writes = tuple(cancel_write(row, now_unix_s) for row in remaining)
            mutation_id = new_mutation_id(self.instance)
            try:
                await commit_settled(self.table, writes, mutation_id)
            except TableConflictError as error:
                single += [r for r in remaining if r.key == error.key]
                remaining = [r for r in remaining if r.key != error.key]
            except TableOutcomeUnknownError:
                break
            else:
                written = True
                break
        outcomes: list[tuple[str, str]] = []
        if written:
            outcomes += [(row.key, outcome_of(row)) for row in remaining]
        else:
            single += remaining
        for row in single:
            if current_time() < deadline_s:
                outcome = await self._cancel_single(row.key, now_unix_s)
            else:
                outcome = FAILED
            outcomes.append((row.key, outcome))
        return outcomes

    async def _cancel_single(self, key: str, now_unix_s: float) -> str:
        try:
            name = key.removeprefix(JOB_PREFIX)
            return await self.cancel(name, now_unix_s)
        except ResourceMissingError:
            return ENDED
        except (TableOutcomeUnknownError, TableUnavailableError):
            return FAILED


def row_matches(row: Row, selector: Selector) -> bool:
    """Return whether a job's row matches a selector."""
    value = row.value or {}
    return selects(selector, value["spec"], value["status"])


def count_outcomes(
    outcomes: list[tuple[str, str]], next_after: str
) -> CancelledWave:
    """Log and return the counts of a wave's step."""
    found = [outcome for _, outcome in outcomes]
    failed = tuple(
        key.removeprefix(JOB_PREFIX)
        for key, outcome in outcomes
        if outcome == FAILED
    )
    wave = CancelledWave(
        len(found),
        found.count(CANCELLED),
        found.count(REQUESTED),
        found.count(ENDED),
        failed,
        next_after.removeprefix(JOB_PREFIX),
    )
    log(
        JOBS_CANCELLED,
        matched=wave.matched,
        cancelled=wave.cancelled,
        cancel_requested=wave.cancel_requested,
        failed=len(wave.failed),
    )
    return wave

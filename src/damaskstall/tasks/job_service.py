"""Accept and cancel jobs, and read their state, on any instance."""

from typing import NamedTuple
from uuid import uuid4

from trio import move_on_after, sleep

from damaskstall.errors import (
    PlatformError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.types import ABSENT, Write
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.election import Election
from damaskstall.tasks.job_rows import (
    PROGRESS_TABLE,
    all_parts,
    cancel_row_key,
    encode_job,
    encode_withdrawal,
    job_row_key,
    mark_cancelled,
    new_progress_value,
    part_prefix,
    progress_row_key,
    withdrawn_unix_s,
)
from damaskstall.tasks.model import QUEUED, AcceptedJob
from damaskstall.tasks.rate_limits import RateLimits
from damaskstall.tasks.scans import scan_rows

ACCEPTED = "accepted"
REPEATED = "repeated"
NOT_ACCEPTED = "not_accepted"
UNKNOWN = "unknown"
ABSENT_JOB = "absent"
WITHDRAWN = "withdrawn"
TOO_MANY = "too_many"

# The platform allows the reported counts of waiting jobs to be 2 s old.
WAITING_AGE_LIMIT_S = 1.8
# The holder writes progress rows often, so a cancellation can meet conflicts,
# but this many in a row must have another cause.
CANCEL_ATTEMPT_LIMIT = 8
# Pause before a cancellation is tried again after another write of an absent
# row, which a read that is not up to date does not show at once.
CANCEL_RETRY_S = 0.1
# Withdrawals of one team through one instance: rows of the store, kept for
# minutes each.
WITHDRAWALS_PER_S = 5.0
WITHDRAWALS_BURST = 100


class Outcome(NamedTuple):
    """Outcome of a request, and the reason for it."""

    kind: str
    reason: str = ""


class JobService:
    """Operations on jobs that clients request."""

    def __init__(self, context: NodeContext, election: Election) -> None:
        """Use the table and the configuration of a node's context."""
        self.context = context
        self.table = context.table
        self.election = election
        self._withdrawals = RateLimits(WITHDRAWALS_PER_S, WITHDRAWALS_BURST)

    async def submit(self, job: AcceptedJob, limit_s: float) -> Outcome:
        """Store a job; a repeated submission does not store it again.

        The outcome is NOT_ACCEPTED only when the store has certainly written
        nothing, and WITHDRAWN if the ID was cancelled before it had a job.
        """
        writes = (
            Write(job_row_key(job.job_id), encode_job(job), ABSENT),
            Write(
                progress_row_key(job.job_id),
                new_progress_value(job.queue),
                ABSENT,
            ),
        )
        outcome = Outcome(UNKNOWN, "the store did not answer in time")
        with move_on_after(limit_s):
            outcome = await self._commit_job(job.job_id, writes)
        return outcome

    async def cancel(
        self, job_id: str, limit_s: float, team: str = ""
    ) -> Outcome:
        """Mark a job as cancelled in the table.

        The outcome is REPEATED for a job that is already cancelled, or that
        has completed or failed. It is ABSENT_JOB if the ID has no job and can
        get none by a submission before this cancellation, and TOO_MANY if the
        team has withdrawn too many such IDs of late; then nothing is written.
        """
        outcome = Outcome(UNKNOWN, "the store did not answer in time")
        with move_on_after(limit_s):
            outcome = await self._cancel(job_id, team)
        return outcome

    async def state(self, job_id: str) -> str | None:
        """Return a job's state, or None if there is no such job.

        Raises TableUnavailableError.
        """
        row = await self.table.read(progress_row_key(job_id))
        if row is None or row.value is None:
            return None
        state: str = row.value["state"]
        return state

    async def waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has begun.

        Raises TableUnavailableError.
        """
        now_s = self.context.clock()
        if self.election.waiting_age_s(now_s) <= WAITING_AGE_LIMIT_S:
            return self.election.waiting_counts().get(queue, 0)
        return await self._count_waiting(queue)

    async def _commit_job(
        self, job_id: str, writes: tuple[Write, ...]
    ) -> Outcome:
        try:
            await commit_with_retry(self.table, writes, uuid4().hex)
        except TableConflictError:
            return await self._explain_conflict(job_id, Outcome(REPEATED))
        except TableUnavailableError as error:
            return Outcome(NOT_ACCEPTED, str(error))
        except TableOutcomeUnknownError as error:
            unknown = Outcome(UNKNOWN, str(error))
            return await self._explain_conflict(job_id, unknown)
        return Outcome(ACCEPTED)

    async def _explain_conflict(
        self, job_id: str, otherwise: Outcome
    ) -> Outcome:
        """Return WITHDRAWN for an ID that has a withdrawal.

        No submission of it can have taken effect before or will later. If the
        row is not found, the conflict does not tell what it was.
        """
        try:
            row = await self.table.read(job_row_key(job_id))
        except TableUnavailableError as error:
            return Outcome(UNKNOWN, str(error))
        if row is None or row.value is None:
            return Outcome(UNKNOWN, "the row of the conflict is not found")
        if withdrawn_unix_s(row.value) is not None:
            return Outcome(WITHDRAWN)
        return otherwise

    async def _cancel(self, job_id: str, team: str) -> Outcome:
        key = progress_row_key(job_id)
        reason = ""
        for _ in range(CANCEL_ATTEMPT_LIMIT):
            try:
                row = await self.table.read(key)
                if row is None or row.value is None:
                    outcome = await self._withdraw(job_id, team)
                    if outcome is not None:
                        return outcome
                    await sleep(CANCEL_RETRY_S)
                    continue
                value = mark_cancelled(row.value)
                if value == row.value:
                    return Outcome(REPEATED, row.value["state"])
                writes = (
                    Write(key, value, row.revision),
                    Write(cancel_row_key(job_id), {}, ABSENT),
                )
                await self.table.commit(writes, uuid4().hex)
                return Outcome(ACCEPTED)
            except PlatformError as error:
                reason = str(error)
                if isinstance(error, TableUnavailableError):
                    break
        return Outcome(UNKNOWN, reason)

    async def _withdraw(self, job_id: str, team: str) -> Outcome | None:
        """Keep all submissions of an ID so far from taking effect.

        Return None if the ID has a job after all. Raises PlatformError.
        """
        key = job_row_key(job_id)
        row = await self.table.read(key)
        if row is not None and row.value is not None:
            withdrawn = withdrawn_unix_s(row.value) is not None
            return Outcome(ABSENT_JOB) if withdrawn else None
        if not self._withdrawals.take(team, self.context.clock()):
            return Outcome(TOO_MANY, "too many cancelled IDs had no job")
        value = encode_withdrawal(self.context.unix_s())
        try:
            await self.table.commit((Write(key, value, ABSENT),), uuid4().hex)
        except TableConflictError:
            return None
        return Outcome(ABSENT_JOB)

    async def _count_waiting(self, queue: str) -> int:
        """Count the rows of waiting jobs, while no holder publishes counts."""
        count = 0
        for part in all_parts():
            prefix = part_prefix(PROGRESS_TABLE, part)
            for row in (await scan_rows(self.table, prefix)).rows:
                if row.value is not None and row.value["state"] == QUEUED:
                    count += row.value["queue"] == queue
        return count

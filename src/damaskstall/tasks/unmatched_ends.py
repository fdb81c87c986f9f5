"""Keep reported ends of runs that the holder does not know.

Another holder may have stored and started such a run after this one read the
job's row. So the row is read again before the end is acknowledged.
"""

from collections.abc import Awaitable, Callable
from math import inf

from trio import Event, current_time, sleep_until

from damaskstall.errors import PlatformError
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.ports import EndReport

RETRY_S = 0.1

# The worker that has listed an end, and the run that has ended.
KeptEnd = tuple[str, RunKey]
# Reads a job's row and merges it into the job's progress.
RefreshJob = Callable[[str], Awaitable[None]]
# Records the effect that an end has on the present state of its job.
SettleEnd = Callable[[str, EndReport], None]


class UnmatchedEnds:
    """Ends that wait until the rows of their jobs have been read."""

    def __init__(self, refresh_job: RefreshJob, settle: SettleEnd) -> None:
        """Start without ends."""
        self._refresh_job = refresh_job
        self._settle = settle
        self._pending: dict[KeptEnd, EndReport] = {}
        # Set when the present pass over the rows ends; None between passes.
        self._pass_ended: Event | None = None
        self._next_pass_s = -inf

    def add(self, worker: str, end: EndReport) -> None:
        """Keep an end until ``settle_all`` has read its job's row."""
        self._pending[worker, end.key] = end

    async def settle_all(self) -> None:
        """Return once the effect of each end kept so far is recorded.

        A row that cannot be read is read again until that succeeds. Callers
        that wait at the same time share one pass over the rows. If the caller
        that makes it is cancelled, another one makes the next.
        """
        while self._pending:
            if self._pass_ended is None:
                await self._make_pass()
            else:
                await self._pass_ended.wait()

    async def _make_pass(self) -> None:
        """Read the row of each job with ends once, after a due pause."""
        ended = self._pass_ended = Event()
        try:
            await sleep_until(self._next_pass_s)
            for job_id in dict.fromkeys(map(job_of, self._pending)):
                try:
                    await self._settle_job(job_id)
                except PlatformError:
                    self._next_pass_s = current_time() + RETRY_S
        finally:
            self._pass_ended = None
            ended.set()

    async def _settle_job(self, job_id: str) -> None:
        """Read the row of a job, then settle the ends kept before that."""
        # The read must begin after the report: ends kept during it wait.
        kept = [each for each in self._pending if job_of(each) == job_id]
        for each in kept:
            # If this read is cancelled, the next pass begins with other jobs.
            self._pending[each] = self._pending.pop(each)
        await self._refresh_job(job_id)
        for each in kept:
            end = self._pending.pop(each)
            self._settle(each[0], end)


def job_of(kept: KeptEnd) -> str:
    """Return the ID of the job of a kept end."""
    return kept[1].task.job_id

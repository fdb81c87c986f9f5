"""Keep reported ends of runs that the holder does not know.

Another holder may have stored and started such a run after this one read the
job's row. So the row is read again before the end is acknowledged.
"""

from collections.abc import Awaitable, Callable

from trio import sleep

from damaskstall.errors import PlatformError
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.ports import EndReport

RETRY_S = 0.1

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
        self._pending: dict[tuple[str, RunKey], EndReport] = {}

    def add(self, worker: str, end: EndReport) -> None:
        """Keep an end until ``settle_all`` has read its job's row."""
        self._pending[worker, end.key] = end

    async def settle_all(self) -> None:
        """Return once the effect of each end kept so far is recorded.

        A row that cannot be read is read again until that succeeds.
        """
        while self._pending:
            job_id = next(iter(self._pending))[1].task.job_id
            # The read must begin after the report: ends kept during it wait.
            ends = self._ends_of(job_id)
            try:
                await self._refresh_job(job_id)
            except PlatformError:
                await sleep(RETRY_S)
                continue
            for worker, key in ends:
                end = self._pending.pop((worker, key), None)
                if end is not None:
                    self._settle(worker, end)

    def _ends_of(self, job_id: str) -> list[tuple[str, RunKey]]:
        return [
            each for each in self._pending if each[1].task.job_id == job_id
        ]

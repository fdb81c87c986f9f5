"""Update queued jobs: end cancelled or unschedulable ones, record reasons.

All writes go through the batch writer, so that many updates need few commits.
"""

from trio import Event, move_on_after, open_nursery

from damaskstall.errors import TableUnavailableError
from damaskstall.placement.model import Shape
from damaskstall.resources.records import (
    JOB_CANCELLED,
    JOB_QUEUED,
    JOB_UNSCHEDULABLE,
    JobStatus,
)
from damaskstall.scheduler.cell_queue import CellQueue, shape_of
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.job_cache import JobEntry
from damaskstall.scheduler.job_status import ended_status
from damaskstall.scheduler.planner import fits_cell

ROUND_S = 0.25
ROUND_LIMIT = 100
REASON_INTERVAL_S = 5.0
REASON_WAIT_S = 2.0
REASON_LIMIT = 20


class QueueUpdates:
    """Writes the ends and the waiting reasons of one cell's queued jobs."""

    def __init__(self, context: SchedulerContext, cell: str) -> None:
        """Prepare to write for a cell."""
        self.context = context
        self.cell = cell
        self._changes: dict[str, tuple[str, str]] = {}
        self._unschedulable_reasons: dict[tuple[str, Shape], str] = {}
        self._wake = Event()
        self._next_reasons_s = 0.0

    def end_cancelled(self, name: str) -> None:
        """End a queued job whose cancellation was requested."""
        self._add(name, JOB_CANCELLED, "The job was cancelled on request.")

    def end_unschedulable(self, name: str, reason: str) -> None:
        """End a queued job that can never run."""
        self._add(name, JOB_UNSCHEDULABLE, reason)

    def unschedulable_reason(self, entry: JobEntry) -> str:
        """Return why no cell can ever hold a job, or an empty string."""
        wanted = entry.spec["failure_domain"]
        shape = shape_of(entry.spec)
        if (wanted, shape) not in self._unschedulable_reasons:
            self._unschedulable_reasons[wanted, shape] = (
                self._find_unschedulable_reason(wanted, shape)
            )
        return self._unschedulable_reasons[wanted, shape]

    def clear_unschedulable_reasons(self) -> None:
        """Clear the cached reasons after the configuration changed."""
        self._unschedulable_reasons.clear()

    def _find_unschedulable_reason(self, wanted: str, shape: Shape) -> str:
        cells = self.context.planner.cells(self.context.config).values()
        for cell in cells:
            if wanted in ("", cell.failure_domain) and fits_cell(shape, cell):
                return ""
        where = wanted or "any failure domain"
        return (
            f"No cell of {where} could hold {shape.hosts} adjacent workers "
            f"with {shape.accelerators_per_host} accelerators each, "
            "even if it were empty."
        )

    def record_wait_reasons(self, queue: CellQueue, now_s: float) -> None:
        """Schedule writes of changed waiting reasons, at a limited rate.

        Of all cells where a job is queued, only the preferred one writes.
        """
        if now_s < self._next_reasons_s:
            return
        self._next_reasons_s = now_s + REASON_INTERVAL_S
        written = 0
        for name in sorted(queue.admitted):
            entry = self.context.job_cache.entries.get(name)
            if entry is None or now_s - entry.seen_s < REASON_WAIT_S:
                continue
            if queue.rank(entry) != 0:
                continue
            reason, unblocked_by = queue.policy.explain(name, now_s)
            text = " ".join(part for part in (reason, unblocked_by) if part)
            if text == entry.status["reason"]:
                continue
            self._add(name, JOB_QUEUED, text)
            written += 1
            if written >= REASON_LIMIT:
                return

    async def run(self) -> None:
        """Write the pending updates in rounds until cancelled."""
        while True:
            await self._wake.wait()
            names = list(self._changes)[:ROUND_LIMIT]
            if not names:
                self._wake = Event()
                continue
            async with open_nursery() as nursery:
                for name in names:
                    state, reason = self._changes.pop(name)
                    nursery.start_soon(self._write, name, state, reason)
            with move_on_after(ROUND_S):
                await Event().wait()

    def _add(self, name: str, state: str, reason: str) -> None:
        self._changes[name] = (state, reason)
        self._wake.set()

    async def _write(self, name: str, state: str, reason: str) -> None:
        def change(status: JobStatus) -> JobStatus:
            if state == JOB_QUEUED:
                return JobStatus(**{**status, "reason": reason})
            return ended_status(status, state, reason, self.context.unix_s())

        try:
            await self.context.transitions.update(
                name,
                lambda status: status["state"] == JOB_QUEUED,
                change,
                patient=state != JOB_QUEUED,
            )
        except TableUnavailableError:
            return

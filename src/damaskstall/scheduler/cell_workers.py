"""Manage the sessions and quarantines of one cell's workers."""

from typing import Any

from trio import Nursery, current_time, sleep

from damaskstall.errors import PlatformError
from damaskstall.events import log
from damaskstall.placement.model import Cell, Policy
from damaskstall.platform.keys import QUARANTINE_PREFIX, quarantine_key
from damaskstall.platform.types import ABSENT, Write
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.events import TABLE_RETRY, WORKER_QUARANTINED
from damaskstall.scheduler.worker_health import Quarantine, WorkerHealth
from damaskstall.scheduler.worker_session import SessionListener, WorkerSession

PAGE_LIMIT = 500


class CellWorkers:
    """The sessions with a cell's workers, and the health of the workers."""

    def __init__(
        self,
        context: SchedulerContext,
        lease: CellLease,
        cell: Cell,
        listener: SessionListener,
    ) -> None:
        """Create the sessions without starting them."""
        self.context = context
        self.cell = cell
        self.health = WorkerHealth(
            len(cell.workers), context.settings.quarantine_probation_s
        )
        self.sessions = {
            worker.name: WorkerSession(
                context.network,
                worker,
                lease,
                context.config,
                context.settings,
                listener,
                context.random,
                context.contact_slots,
            )
            for worker in cell.workers
        }
        self._names = tuple(self.sessions)
        self._usable: dict[str, bool] = {}

    def start(self, nursery: Nursery) -> None:
        """Run all sessions in a nursery."""
        for session in self.sessions.values():
            nursery.start_soon(session.run)

    def sessions_of(
        self, workers: tuple[str, ...]
    ) -> tuple[WorkerSession | None, ...]:
        """Return the sessions of workers; None for one not in the cell."""
        return tuple(self.sessions.get(worker) for worker in workers)

    def index_of(self, workers: tuple[str, ...]) -> int | None:
        """Return the index of the first of some workers.

        Return None if they are not adjacent workers of this cell.
        """
        if not workers or workers[0] not in self._names:
            return None
        first = self._names.index(workers[0])
        if self._names[first : first + len(workers)] != workers:
            return None
        return first

    def update(self, policy: Policy, now_s: float) -> None:
        """Report changes of the workers' usability to the policy."""
        now_unix_s = self.context.unix_s()
        for index, (name, session) in enumerate(self.sessions.items()):
            usable = session.reachable and not session.stale
            usable = usable and self.health.usable(name, now_s, now_unix_s)
            if self._usable.get(name) != usable:
                self._usable[name] = usable
                policy.set_usable(index, usable)

    async def load_quarantines(self) -> None:
        """Read the quarantines that earlier holders wrote; retry on errors."""
        tries = 0
        while True:
            try:
                await self._load_pages()
                return
            except PlatformError as error:
                log(TABLE_RETRY, error=str(error))
                await sleep(retry_delay_s(tries, self.context.random))
                tries += 1

    async def record_task_failure(self, job: str, worker: str) -> None:
        """Record a failed task; write a quarantine if one results."""
        quarantine = self.health.record_failure(
            job, worker, current_time(), self.context.unix_s()
        )
        if quarantine is None:
            return
        log(
            WORKER_QUARANTINED,
            worker=worker,
            reason=quarantine.reason,
            until_unix_s=quarantine.until_unix_s,
        )
        try:
            await self._write(quarantine)
        except PlatformError as error:
            # This holder applies it anyway; the next one has to detect the
            # failures again.
            log(TABLE_RETRY, worker=worker, error=str(error))

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state of all workers as JSON values."""
        return {
            name: {
                "usable": self._usable.get(name, False),
                "reachable": session.reachable,
                "fenced": session.fenced,
                "answered_age_s": (
                    now_s - session.answered_s if session.fenced else None
                ),
                "tasks": len(session.tasks),
                "exchanges": session.exchanges,
                "quarantine": quarantine_dump(
                    self.health.quarantines.get(name)
                ),
            }
            for name, session in self.sessions.items()
        }

    async def _load_pages(self) -> None:
        after = ""
        while True:
            page = await self.context.table.scan(
                QUARANTINE_PREFIX, after, PAGE_LIMIT
            )
            for row in page.rows:
                name = row.key.removeprefix(QUARANTINE_PREFIX)
                if name in self.sessions and row.value is not None:
                    self.health.load(parse_quarantine(name, row.value))
            after = page.next_after
            if not after:
                return

    async def _write(self, quarantine: Quarantine) -> None:
        key = quarantine_key(quarantine.worker)
        row = await self.context.table.read(key)
        value = {
            "cell": self.cell.name,
            "until_unix_s": quarantine.until_unix_s,
            "times": quarantine.times,
            "reason": quarantine.reason,
        }
        revision = row.revision if row else ABSENT
        await self.context.transitions.writer.write(
            Write(key, value, revision)
        )


def parse_quarantine(worker: str, value: dict[str, Any]) -> Quarantine:
    """Return the quarantine that a row's value describes."""
    return Quarantine(
        worker, value["until_unix_s"], value["times"], value["reason"]
    )


def quarantine_dump(quarantine: Quarantine | None) -> dict[str, Any] | None:
    """Return a quarantine as JSON values."""
    return quarantine._asdict() if quarantine else None

"""Acquire, renew and release the cell leases of one failure domain.

A cell's lease is free if its row is absent or released, or if the row has not
changed for its whole TTL. The TTL is measured on this process's own clock,
from when this process first saw that revision of the row.
"""

from contextlib import suppress
from typing import Any, NamedTuple
from uuid import uuid4
from zlib import crc32

from trio import (
    CancelScope,
    Event,
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from damaskstall.errors import (
    LeaseLostError,
    PlatformError,
    TableConflictError,
)
from damaskstall.events import log
from damaskstall.placement.model import Cell
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import CELL_PREFIX, cell_key
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease, LeaseRow, parse_lease
from damaskstall.scheduler.cell_runner import CellRunner
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.events import (
    CELL_FAILED,
    LEASE_ACQUIRED,
    LEASE_LOST,
    LEASE_NOT_RENEWED,
    LEASE_RELEASED,
    TABLE_RETRY,
)
from damaskstall.scheduler.metrics import CELLS_HELD, NO_LABELS

POLL_S = 1.0
PAGE_LIMIT = 500
SPREAD_S = 1.0
JITTER_STEPS = 1000
RELEASE_LIMIT_S = 2.0
FAILED_CELL_WAIT_S = 10.0


class SeenLease(NamedTuple):
    """A lease row's revision and when this process first saw it."""

    revision: int
    seen_s: float


class HeldCell:
    """A cell whose lease this process holds, with its runner."""

    def __init__(self, lease: CellLease, cell: Cell) -> None:
        """Create the record of a held cell; its runner is set later."""
        self.lease = lease
        self.cell = cell
        self.scope = CancelScope()
        self.runner: CellRunner | None = None


class LeaseManager:
    """Acquires and renews cell leases, distributed over the processes."""

    def __init__(self, context: SchedulerContext) -> None:
        """Prepare for the failure domain that the settings name."""
        self.context = context
        self.identity = f"{context.settings.instance}/{uuid4().hex[:8]}"
        self.held: dict[str, HeldCell] = {}
        self.draining = False
        self._seen: dict[str, SeenLease] = {}
        self._free_since_s: dict[str, float] = {}
        self._blocked_until_s: dict[str, float] = {}
        self._cell_ended = Event()

    async def run(self) -> None:
        """Acquire free cells and run them until cancelled."""
        tries = 0
        async with open_nursery() as nursery:
            while True:
                delay_s = POLL_S
                try:
                    if not self.draining:
                        await self._acquire_free_cells(nursery)
                    tries = 0
                except PlatformError as error:
                    log(TABLE_RETRY, error=str(error))
                    delay_s = retry_delay_s(tries, self.context.random)
                    tries += 1
                await sleep(delay_s)

    async def drain(self) -> None:
        """Let attempts finish their current step, then release every lease."""
        self.draining = True
        limit_s = self.context.settings.drain_timeout_s
        with move_on_after(limit_s):
            async with open_nursery() as nursery:
                for held in self.held.values():
                    if held.runner is not None:
                        nursery.start_soon(held.runner.drain)
        for held in list(self.held.values()):
            held.scope.cancel()
        with move_on_after(RELEASE_LIMIT_S * 2):
            while self.held:
                await self._cell_ended.wait()

    def dump(self) -> dict[str, Any]:
        """Return the state of all held cells as JSON values."""
        return {
            "identity": self.identity,
            "draining": self.draining,
            "cells": [
                held.runner.dump()
                for held in self.held.values()
                if held.runner is not None
            ],
        }

    def domain_cells(self) -> dict[str, Cell]:
        """Return the cells of this process's failure domain by name."""
        domain = self.context.settings.failure_domain
        cells = self.context.planner.cells(self.context.config)
        return {
            name: cell
            for name, cell in cells.items()
            if cell.failure_domain == domain
        }

    async def _acquire_free_cells(self, nursery: Nursery) -> None:
        cells = self.domain_cells()
        self._end_changed_cells(cells)
        if not cells or len(self.held) == len(cells):
            return
        rows, revision = await self._read_rows()
        now_s = current_time()
        for name, cell in cells.items():
            if name in self.held or now_s < self._blocked_until_s.get(name, 0):
                continue
            row = rows.get(name)
            if not self._is_free(name, row, now_s):
                self._free_since_s.pop(name, None)
                continue
            since_s = self._free_since_s.setdefault(name, now_s)
            if now_s - since_s < self._acquire_delay_s(name):
                continue
            await self._acquire(nursery, cell, row, revision)

    def _acquire_delay_s(self, cell: str) -> float:
        """Return how long to leave a free cell to other processes.

        A process waits longer for each cell that it holds already.
        """
        text = f"{self.context.settings.instance} {cell}".encode()
        jitter = crc32(text) % JITTER_STEPS / JITTER_STEPS
        return (len(self.held) + jitter) * SPREAD_S

    async def _read_rows(self) -> tuple[dict[str, Row], int]:
        prefix = f"{CELL_PREFIX}{self.context.settings.failure_domain}/"
        page = await self.context.table.scan(prefix, "", PAGE_LIMIT)
        rows = {row.key.removeprefix(CELL_PREFIX): row for row in page.rows}
        return rows, page.revision

    def _is_free(self, name: str, row: Row | None, now_s: float) -> bool:
        if row is None or row.value is None:
            return True
        seen = self._seen.get(name)
        if seen is None or seen.revision != row.revision:
            seen = SeenLease(row.revision, now_s)
            self._seen[name] = seen
        lease = parse_lease(row.value)
        return not lease.holder or now_s - seen.seen_s >= lease.ttl_s

    async def _acquire(
        self,
        nursery: Nursery,
        cell: Cell,
        row: Row | None,
        table_revision: int,
    ) -> None:
        """Try to acquire the lease of a cell; another process may win.

        The epoch is greater than the last holder's epoch and greater than the
        table's revision, and so greater than that of all earlier leases.
        """
        last_epoch = 0
        if row is not None and row.value is not None:
            last_epoch = parse_lease(row.value).epoch
        wanted = LeaseRow(
            self.identity,
            max(last_epoch, table_revision) + 1,
            self.context.settings.cell_lease_ttl_s,
        )
        sent_s = current_time()
        write = Write(
            cell_key(cell.name),
            wanted._asdict(),
            row.revision if row else ABSENT,
        )
        try:
            revision = await commit_with_retry(
                self.context.table, (write,), uuid4().hex
            )
        except TableConflictError:
            return
        lease = CellLease(
            self.context.table, cell.name, wanted, revision, sent_s
        )
        self._free_since_s.pop(cell.name, None)
        held = HeldCell(lease, cell)
        self.held[cell.name] = held
        CELLS_HELD.set(NO_LABELS, len(self.held))
        log(LEASE_ACQUIRED, cell=cell.name, epoch=lease.epoch)
        nursery.start_soon(self._run_cell, held)

    def _end_changed_cells(self, cells: dict[str, Cell]) -> None:
        """Cancel cells whose workers have changed; they are acquired again."""
        for name, held in self.held.items():
            if cells.get(name) != held.cell:
                held.scope.cancel()

    async def _run_cell(self, held: HeldCell) -> None:
        """Run a cell until its lease is lost or the cell is cancelled."""
        held.runner = CellRunner(self.context, held.lease, held.cell)
        try:
            with held.scope:
                async with open_nursery() as nursery:
                    nursery.start_soon(self._renew, held)
                    await held.runner.run()
        except Exception as error:
            # An error in one cell must not end the other cells of the process.
            log(CELL_FAILED, cell=held.cell.name, error=repr(error))
            blocked_s = current_time() + FAILED_CELL_WAIT_S
            self._blocked_until_s[held.cell.name] = blocked_s
        finally:
            with CancelScope(shield=True):
                await self._release(held)
            del self.held[held.cell.name]
            CELLS_HELD.set(NO_LABELS, len(self.held))
            self._cell_ended.set()
            self._cell_ended = Event()

    async def _release(self, held: HeldCell) -> None:
        if held.lease.lost:
            return
        with move_on_after(RELEASE_LIMIT_S), suppress(PlatformError):
            with suppress(LeaseLostError):
                await held.lease.release()
                log(LEASE_RELEASED, cell=held.cell.name)

    async def _renew(self, held: HeldCell) -> None:
        """Renew a lease until it is lost, then cancel its cell."""
        lease = held.lease
        tries = 0
        delay_s = self.context.settings.cell_lease_renew_s
        while True:
            await sleep(delay_s)
            delay_s = self.context.settings.cell_lease_renew_s
            try:
                await lease.renew()
                tries = 0
            except LeaseLostError:
                log(LEASE_LOST, cell=lease.cell, epoch=lease.epoch)
                held.scope.cancel()
                return
            except PlatformError as error:
                log(LEASE_NOT_RENEWED, cell=lease.cell, error=str(error))
                # After an outage all writes are retried at once, so commit
                # less often.
                self.context.transitions.writer.slow_down()
                retry_s = retry_delay_s(tries, self.context.random)
                delay_s = min(delay_s, retry_s)
                tries += 1

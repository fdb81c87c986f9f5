"""Implement the platform's services in memory, for tests in one process."""

from trio import current_time, sleep

from damaskstall.errors import (
    ObjectMissingError,
    PlatformError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.platform.types import (
    ChangePage,
    InstanceRecord,
    Row,
    ScanPage,
    Write,
)
from standins.platform.faults import Faults
from standins.platform.table import TableCore

CALL_DELAY_S = 0.002


class Platform:
    """The state of the services, shared by all processes of one test."""

    def __init__(self, seed: int) -> None:
        """Start empty and without faults."""
        self.table = TableCore()
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, InstanceRecord] = {}
        self.faults = Faults(seed)
        self.reads = 0
        self.writes = 0


class MemoryTable:
    """A client of the table, subject to the faults of its caller."""

    def __init__(
        self, platform: Platform, caller: str, timeout_s: float = 2.0
    ) -> None:
        """Record the platform and the caller's name."""
        self.platform = platform
        self.caller = caller
        self.timeout_s = timeout_s

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        await self._simulate_call(write=False)
        return self.platform.table.read(key)

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key has a prefix and sorts after ``after``."""
        await self._simulate_call(write=False)
        return self.platform.table.scan(prefix, after, limit)

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision, including deleted rows."""
        await self._simulate_call(write=False)
        return self.platform.table.changes(prefix, after_revision, limit)

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        await self._simulate_call(write=True)
        revision = self.platform.table.commit(
            writes, mutation_id, current_time()
        )
        if self.platform.faults.loses_answer(self.caller):
            await sleep(self.timeout_s)
            raise TableOutcomeUnknownError(
                "The answer to the commit was lost."
            )
        await sleep(CALL_DELAY_S)
        return revision

    async def _simulate_call(self, write: bool) -> None:
        faults = self.platform.faults
        delay_s = faults.delay_s(self.caller) + CALL_DELAY_S
        if delay_s >= self.timeout_s:
            await sleep(self.timeout_s)
            if write:
                raise TableOutcomeUnknownError(
                    "The table did not answer within the timeout."
                )
            raise TableUnavailableError(
                "The table did not answer within the timeout."
            )
        await sleep(delay_s)
        if faults.down(self.caller):
            raise TableUnavailableError("The table is down.")
        if write:
            self.platform.writes += 1
        else:
            self.platform.reads += 1


class MemoryObjects:
    """A client of the object store, subject to the faults of its caller."""

    def __init__(self, platform: Platform, caller: str) -> None:
        """Record the platform and the caller's name."""
        self.platform = platform
        self.caller = caller

    async def put(self, key: str, data: bytes) -> None:
        """Store an object; replace an earlier one with the same key."""
        await self._simulate_call()
        self.platform.objects[key] = data

    async def get(self, key: str) -> bytes:
        """Return an object; raise ObjectMissingError if it does not exist."""
        await self._simulate_call()
        if key not in self.platform.objects:
            raise ObjectMissingError(f"Object {key!r} does not exist.")
        return self.platform.objects[key]

    async def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        await self._simulate_call()
        self.platform.objects.pop(key, None)

    async def _simulate_call(self) -> None:
        faults = self.platform.faults
        await sleep(faults.delay_s(self.caller) + CALL_DELAY_S)
        if faults.down(self.caller):
            raise PlatformError("The object store is down.")


class MemoryInstances:
    """A client of the instance list, subject to the faults of its caller."""

    def __init__(self, platform: Platform, caller: str) -> None:
        """Record the platform and the caller's name."""
        self.platform = platform
        self.caller = caller

    async def instances(self) -> tuple[InstanceRecord, ...]:
        """Return all instances; raise PlatformError if the list is down."""
        await self._simulate_call()
        return tuple(self.platform.instances.values())

    async def register(self, record: InstanceRecord) -> None:
        """Register an instance as live or leaving."""
        await self._simulate_call()
        self.platform.instances[record.name] = record

    async def _simulate_call(self) -> None:
        await sleep(CALL_DELAY_S)
        if self.platform.faults.down(self.caller):
            raise PlatformError("The instance list is down.")

"""Keep a write from taking effect once its reasons no longer hold.

Two operators whose declarations each fit the others could together break
what was checked, so every operator's write also moves one guard row on from
where it was before anything else was read. Teams and failure domains share
one guard, since they are checked against each other.

A creation is conditional on the absence of its row alone: a copy of it that
the table held back would bring a row back that was deleted in the meantime.
Once the guard has moved on, no such copy can pass. The guard names the
latest mutations that moved it, so that a repeated request is known even when
its row is gone.
"""

from typing import NamedTuple
from zlib import crc32

from damaskstall.platform.keys import GUARD_KEY, bucket_guard_key
from damaskstall.platform.types import ABSENT, TableService, Write

BUCKETS = 256
GUARDED_KINDS = frozenset({"team", "failure_domain"})
PASSED_LIMIT = 32


class Guard(NamedTuple):
    """Hold a guard row as it was read."""

    key: str
    revision: int
    passed: tuple[str, ...]

    def write(self, mutation_id: str) -> Write:
        """Return the write that moves the guard on."""
        passed = (*self.passed, mutation_id)[-PASSED_LIMIT:]
        return Write(self.key, {"passed": list(passed)}, self.revision)


def guard_key(kind: str, name: str) -> str:
    """Return the guard row of the writes of a resource."""
    if kind in GUARDED_KINDS:
        return GUARD_KEY
    return bucket_guard_key(kind, crc32(name.encode()) % BUCKETS)


async def read_guard(table: TableService, key: str) -> Guard:
    """Return a guard as it is now."""
    row = await table.read(key)
    if row is None or row.value is None:
        return Guard(key, ABSENT, ())
    return Guard(key, row.revision, tuple(row.value["passed"]))

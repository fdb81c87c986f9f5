"""Make a write fail when the state it was checked against has changed.

Two concurrent declarations can each be valid on their own and invalid
together. Every operator's write therefore also advances a guard row, on
condition that the guard is still at the revision read before any other row.
Teams and failure domains share one guard, since they are checked against
each other.

Without a guard, a creation depends only on the absence of its row: a delayed
copy of the write could restore a row that was deleted in the meantime. Once
the guard has advanced, no such copy can commit. The guard lists the latest
mutations that advanced it, so that a repeated request is recognized even
after its row was deleted.
"""

from typing import NamedTuple
from zlib import crc32

from damaskstall.platform.keys import GUARD_KEY, bucket_guard_key
from damaskstall.platform.types import ABSENT, TableService, Write

BUCKETS = 256
GUARDED_KINDS = frozenset({"team", "failure_domain"})
PASSED_LIMIT = 32


class Guard(NamedTuple):
    """A guard row as it was read.

    ``passed`` lists the latest mutations that advanced it, oldest first.
    """

    key: str
    revision: int
    passed: tuple[str, ...]

    def write(self, mutation_id: str) -> Write:
        """Return the write that advances the guard."""
        passed = (*self.passed, mutation_id)[-PASSED_LIMIT:]
        return Write(self.key, {"passed": list(passed)}, self.revision)


def guard_key(kind: str, name: str) -> str:
    """Return the key of the guard row for writes to a resource."""
    if kind in GUARDED_KINDS:
        return GUARD_KEY
    return bucket_guard_key(kind, crc32(name.encode()) % BUCKETS)


async def read_guard(table: TableService, key: str) -> Guard:
    """Return a guard's current state; an absent row has no mutations."""
    row = await table.read(key)
    if row is None or row.value is None:
        return Guard(key, ABSENT, ())
    return Guard(key, row.revision, tuple(row.value["passed"]))

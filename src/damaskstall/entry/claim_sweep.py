"""Delete expired claims at a pace that the table's write capacity allows."""

from collections.abc import Callable
from random import Random

from trio import sleep

from damaskstall.entry.events import CLAIMS_SWEPT, SWEEP_FAILED
from damaskstall.errors import PlatformError
from damaskstall.events import log
from damaskstall.platform.keys import IDEMPOTENCY_PREFIX
from damaskstall.platform.types import Row, TableService, Write

ROUND_PAUSE_S = 30.0
PAGE_PAUSE_S = 3.0
PAGE_ROWS = 100
JITTER_LOW = 0.5
JITTER_HIGH = 1.5


async def sweep_claims(
    table: TableService, random: Random, unix_now: Callable[[], float]
) -> None:
    """Delete expired claims page by page until cancelled.

    Every entry sweeps. If two sweep the same page at once, the commit of one
    fails with a conflict. A page costs one read and at most one commit.
    """
    after = ""
    while True:
        pause_s = PAGE_PAUSE_S if after else ROUND_PAUSE_S
        await sleep(pause_s * random.uniform(JITTER_LOW, JITTER_HIGH))
        mutation_id = f"{random.getrandbits(64):016x}"
        try:
            after = await sweep_page(table, after, unix_now(), mutation_id)
        except PlatformError as error:
            log(SWEEP_FAILED, error=str(error))


async def sweep_page(
    table: TableService, after: str, now_unix_s: float, mutation_id: str
) -> str:
    """Delete a page's expired claims; return the key to continue after."""
    page = await table.scan(IDEMPOTENCY_PREFIX, after, PAGE_ROWS)
    expired = [row for row in page.rows if has_expired(row, now_unix_s)]
    if expired:
        writes = tuple(Write(row.key, None, row.revision) for row in expired)
        await table.commit(writes, mutation_id)
        log(CLAIMS_SWEPT, rows=len(expired))
    return page.next_after


def has_expired(row: Row, now_unix_s: float) -> bool:
    """Return whether a claim is past its retention time."""
    return row.value is not None and row.value["expires_unix_s"] < now_unix_s

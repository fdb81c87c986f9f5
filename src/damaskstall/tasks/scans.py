"""Read all rows of a table, or of one of its parts, page by page."""

from typing import NamedTuple

from damaskstall.platform.types import Row, TableService

# The platform returns at most 500 rows at once.
PAGE_LIMIT = 500


class Scan(NamedTuple):
    """Rows of a table, and the revision after which to watch for changes.

    The rows may already include changes that are newer than that revision.
    """

    rows: list[Row]
    revision: int


async def scan_rows(table: TableService, prefix: str) -> Scan:
    """Return all rows whose key begins with a prefix.

    Raises TableUnavailableError when a page cannot be read.
    """
    page = await table.scan(prefix, "", PAGE_LIMIT)
    revision = page.revision
    rows = list(page.rows)
    while page.next_after:
        page = await table.scan(prefix, page.next_after, PAGE_LIMIT)
        revision = min(revision, page.revision)
        rows += page.rows
    return Scan(rows, revision)

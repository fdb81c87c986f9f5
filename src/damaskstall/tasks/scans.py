"""Read all rows of a table, or of one part, page by page."""

from typing import NamedTuple

from damaskstall.platform.types import Row, TableService

# The platform returns at most 500 rows at once (PROTOCOL, rows-get).
PAGE_LIMIT = 500


class Scan(NamedTuple):
    """Hold rows, and the revision from which to follow their changes.

    Later changes may be among the rows already.
    """

    rows: list[Row]
    revision: int


async def scan_rows(table: TableService, prefix: str) -> Scan:
    """Return all rows whose key begins with a prefix.

    Raises TableUnavailableError.
    """
    page = await table.scan(prefix, "", PAGE_LIMIT)
    revision = page.revision
    rows = list(page.rows)
    while page.next_after:
        page = await table.scan(prefix, page.next_after, PAGE_LIMIT)
        rows += page.rows
    return Scan(rows, revision)

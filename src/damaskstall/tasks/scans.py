"""Read all rows of a table, or of one of its parts, page by page."""

from typing import NamedTuple

from damaskstall.errors import RevisionTooOldError, TableUnavailableError
from damaskstall.platform.types import Row, TableService
from damaskstall.tasks.ports import WatchedTable

# The platform returns at most 500 rows at once.
PAGE_LIMIT = 500


class Scan(NamedTuple):
    """Rows of a table, and the revision after which to watch for changes.

    The rows may already include changes that are newer than that revision.
    """

    rows: list[Row]
    revision: int


async def scan_current_rows(
    table: WatchedTable, name: str, revision: int
) -> Scan:
    """Return all rows of a table, as of a revision or later.

    Changes that the answer lacks are read from the feed. Raises
    TableUnavailableError if neither is as new.
    """
    found = await scan_rows(table, f"{name}/")
    if found.revision >= revision:
        return found
    try:
        page = await table.watch(name, found.revision, 0.0)
    except RevisionTooOldError as error:
        raise outdated_error(name, found.revision, revision) from error
    if page.revision < revision:
        raise outdated_error(name, page.revision, revision)
    rows = {row.key: row for row in (*found.rows, *page.rows)}
    present = [row for row in rows.values() if row.value is not None]
    return Scan(present, page.revision)


def outdated_error(
    name: str, found: int, revision: int
) -> TableUnavailableError:
    """Return the error for rows that are older than what is known."""
    return TableUnavailableError(
        f"The rows of {name} are those of revision {found}, before {revision}."
    )


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

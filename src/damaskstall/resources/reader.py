"""Read resources from the table, or from memory while it is unavailable."""

from typing import Any, NamedTuple

from trio import current_time

from damaskstall.errors import (
    BadRequestError,
    ResourceMissingError,
    TableUnavailableError,
)
from damaskstall.peers.config_store import NEVER, ConfigEntry, ConfigStore
from damaskstall.resources.records import Resource
from damaskstall.resources.selector import Selector, selects
from damaskstall.resources.store import (
    ResourcePage,
    ResourceStore,
    kind_prefix,
    resource_of,
)

# One list request scans at most this many table pages to fill its page.
PAGES_LIMIT = 4
SCAN_ROWS = 1000


class ReadResult(NamedTuple):
    """A page of resources and its age; None means read from the table."""

    page: ResourcePage
    age_s: float | None


class ResourceReader:
    """Reads resources for operators."""

    def __init__(self, store: ResourceStore, config: ConfigStore) -> None:
        """Read from the store, or from memory if the table is unavailable."""
        self.store = store
        self.config = config

    async def get(self, kind: str, name: str) -> ReadResult:
        """Return one resource; raise ResourceMissingError if it is absent.

        Raises TableUnavailableError when the table is unavailable and the
        configuration in memory cannot answer instead.
        """
        try:
            row = await self.store.read_row(kind, name)
        except TableUnavailableError:
            page = self._memory_page(kind)
            found = tuple(r for r in page.resources if r.name == name)
            if not found:
                raise ResourceMissingError(kind, name) from None
            return ReadResult(page._replace(resources=found), self._age_s())
        page = ResourcePage((resource_of(kind, row),), "", row.revision)
        return ReadResult(page, None)

    async def list_page(
        self, kind: str, after: str, limit: int, selector: Selector
    ) -> ReadResult:
        """Return the resources of a kind whose names sort after ``after``.

        A page may hold fewer than ``limit`` resources although more pages
        follow.
        """
        if kind != "job" and not selector.matches_all:
            raise BadRequestError("A selector can only be used to list jobs.")
        try:
            page = await self._table_page(kind, after, limit, selector)
        except TableUnavailableError:
            page = self._memory_page(kind)
            found = [r for r in page.resources if r.name > after]
            more = found[limit - 1].name if len(found) > limit else ""
            return ReadResult(
                ResourcePage(tuple(found[:limit]), more, page.revision),
                self._age_s(),
            )
        return ReadResult(page, None)

    async def _table_page(
        self, kind: str, after: str, limit: int, selector: Selector
    ) -> ResourcePage:
        if selector.matches_all:
            return await self.store.list_page(kind, after, limit)
        found: list[Resource] = []
        revision = 0
        for _ in range(PAGES_LIMIT):
            page = await self.store.list_page(kind, after, SCAN_ROWS)
            revision = revision or page.revision
            found += [
                resource
                for resource in page.resources
                if selects(selector, resource.spec, resource.status)
            ]
            after = page.next_after
            if len(found) > limit or not after:
                break
        if len(found) > limit:
            after = found[limit - 1].name
        return ResourcePage(tuple(found[:limit]), after, revision)

    def _memory_page(self, kind: str) -> ResourcePage:
        """Return all resources of a kind from the configuration in memory."""
        if kind == "job" or self.config.confirmed_s == NEVER:
            raise TableUnavailableError(
                "The table is unavailable, and there is no copy in memory."
            )
        prefix = kind_prefix(kind)
        resources = tuple(
            resource_in_memory(kind, key.removeprefix(prefix), entry)
            for key, entry in sorted(self.config.entries.items())
            if key.startswith(prefix) and entry.value is not None
        )
        return ResourcePage(resources, "", self.config.revision)

    def _age_s(self) -> float:
        return self.config.age_s(current_time())

    def api_json(self, resource: Resource) -> dict[str, Any]:
        """Return a resource's JSON for operators, with any pending drain."""
        shown = resource._asdict()
        pending = self.config.pending.get(resource.name)
        if resource.kind == "failure_domain" and pending is not None:
            held = {"state": "out" if pending.out else "in"}
            shown["status"] = {**resource.status, "held": held}
        return shown


def resource_in_memory(kind: str, name: str, entry: ConfigEntry) -> Resource:
    """Return the resource of a configuration entry in memory."""
    value = entry.value or {}
    return Resource(
        kind,
        name,
        entry.revision,
        value.get("spec", {}),
        value.get("status", {}),
    )

"""Check a declaration against one view of the other ones."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from damaskstall.errors import (
    FieldProblem,
    RevisionTooOldError,
    ValidationError,
)
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.keys import (
    CONFIG_PREFIX,
    split_config_key,
)
from damaskstall.platform.types import TableService
from damaskstall.resources.guards import GUARDED_KINDS

PAGE_ROWS = 1000

Specs = dict[str, dict[str, Any]]


class ConfigView(NamedTuple):
    """Hold the specs of all configuration by kind and name."""

    teams: Specs
    failure_domains: Specs

    def with_spec(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> "ConfigView":
        """Return the view as it would be with one spec in place."""
        if kind == "team":
            return self._replace(teams={**self.teams, name: spec})
        if kind == "failure_domain":
            domains = {**self.failure_domains, name: spec}
            return self._replace(failure_domains=domains)
        return self

    def without(self, kind: str, name: str) -> "ConfigView":
        """Return the view as it would be without one resource."""
        teams = dict(self.teams)
        domains = dict(self.failure_domains)
        (teams if kind == "team" else domains).pop(name, None)
        return ConfigView(teams, domains)


# Returns what of the teams' guarantees the failure domains cannot pack.
Planner = Callable[[ConfigView], tuple[FieldProblem, ...]]


def plan_nothing(view: ConfigView) -> tuple[FieldProblem, ...]:
    """Find nothing missing."""
    return ()


async def read_view(table: TableService, config: ConfigStore) -> ConfigView:
    """Return the table's present configuration.

    Reads only what changed since the revision in memory, where the table
    still has that. Raises TableUnavailableError.
    """
    rows: dict[str, dict[str, Any] | None] = {
        key: entry.value for key, entry in config.entries.items()
    }
    after = config.revision
    try:
        while True:
            page = await table.changes(CONFIG_PREFIX, after, PAGE_ROWS)
            rows.update((row.key, row.value) for row in page.rows)
            after = page.revision
            if page.complete:
                break
    except RevisionTooOldError:
        rows = await scan_config(table)
    return view_of(rows)


def memory_view(config: ConfigStore) -> ConfigView:
    """Return the configuration in memory, which may be seconds old."""
    return view_of({key: entry.value for key, entry in config.entries.items()})


def view_of(rows: dict[str, dict[str, Any] | None]) -> ConfigView:
    """Return the view of configuration rows by key."""
    view = ConfigView({}, {})
    for key, value in rows.items():
        kind, name = split_config_key(key)
        if value is not None and kind == "team":
            view.teams[name] = value["spec"]
        elif value is not None and kind == "failure_domain":
            view.failure_domains[name] = value["spec"]
    return view


async def scan_config(
    table: TableService,
) -> dict[str, dict[str, Any] | None]:
    """Return the values of all configuration rows."""
    rows: dict[str, dict[str, Any] | None] = {}
    after = ""
    while True:
        page = await table.scan(CONFIG_PREFIX, after, PAGE_ROWS)
        rows.update((row.key, row.value) for row in page.rows)
        after = page.next_after
        if not after:
            return rows


def check_against(
    kind: str,
    name: str,
    spec: dict[str, Any],
    view: ConfigView,
    planner: Planner,
) -> None:
    """Raise ValidationError where a spec does not fit the others."""
    problems: list[FieldProblem] = []
    if kind == "job":
        problems += check_job(spec, view)
    if kind == "failure_domain":
        problems += check_workers(name, spec, view)
    if kind in GUARDED_KINDS and not problems:
        problems += check_guarantees(view.with_spec(kind, name, spec), planner)
    if problems:
        raise ValidationError(tuple(problems))


def check_job(spec: dict[str, Any], view: ConfigView) -> list[FieldProblem]:
    """Find a missing team or failure domain, or a size no rack can give."""
    problems = []
    if spec["team"] not in view.teams:
        problems.append(
            FieldProblem("spec.team", f"there is no team {spec['team']!r}")
        )
    where = spec["failure_domain"]
    if where and where not in view.failure_domains:
        problems.append(
            FieldProblem(
                "spec.failure_domain", f"there is no failure domain {where!r}"
            )
        )
        return problems
    if not fits_somewhere(spec, view):
        problems.append(FieldProblem("spec.hosts", why_too_large(spec, view)))
    return problems


def fits_somewhere(spec: dict[str, Any], view: ConfigView) -> bool:
    """Return whether some declared racks could ever give the shape."""
    accelerators = spec["accelerators_per_host"]
    return any(
        adjacent >= spec["hosts"]
        for adjacent in adjacent_hosts(
            accelerators, spec["failure_domain"], view
        )
    )


def adjacent_hosts(
    accelerators: int, where: str, view: ConfigView
) -> Iterator[int]:
    """Yield the lengths of runs of adjacent workers that are large enough.

    A run lies within a rack or covers whole adjacent racks.
    """
    for name, domain in view.failure_domains.items():
        if where and name != where:
            continue
        whole_racks = 0
        for rack in domain["racks"]:
            longest = longest_run(rack["workers"], accelerators)
            yield longest
            if longest == len(rack["workers"]):
                whole_racks += longest
            else:
                whole_racks = 0
            yield whole_racks


def longest_run(workers: list[dict[str, Any]], accelerators: int) -> int:
    """Return how many adjacent workers have so many accelerators."""
    longest = current = 0
    for worker in workers:
        enough = worker["accelerators"] >= accelerators
        current = current + 1 if enough else 0
        longest = max(longest, current)
    return longest


def why_too_large(spec: dict[str, Any], view: ConfigView) -> str:
    """Return a sentence that says what the racks can give at most."""
    accelerators = spec["accelerators_per_host"]
    where = spec["failure_domain"]
    most = max(adjacent_hosts(accelerators, where, view), default=0)
    place = f"failure domain {where!r}" if where else "any failure domain"
    return (
        f"the job can never run: it needs {spec['hosts']} adjacent workers "
        f"with {accelerators} accelerators each, and {place} has at most "
        f"{most}"
    )


def check_workers(
    name: str, spec: dict[str, Any], view: ConfigView
) -> list[FieldProblem]:
    """Find workers whose name or address another failure domain has."""
    names: dict[str, str] = {}
    addresses: dict[str, str] = {}
    for other, domain in view.failure_domains.items():
        if other == name:
            continue
        for rack in domain["racks"]:
            for worker in rack["workers"]:
                names[worker["name"]] = other
                addresses[worker["address"]] = other
    problems = []
    for i, rack in enumerate(spec["racks"]):
        for j, worker in enumerate(rack["workers"]):
            path = f"spec.racks[{i}].workers[{j}]"
            for field, taken in (("name", names), ("address", addresses)):
                other = taken.get(worker[field], "")
                if other:
                    problems.append(
                        FieldProblem(
                            f"{path}.{field}",
                            f"is a worker's of failure domain {other!r}",
                        )
                    )
    return problems


def check_guarantees(view: ConfigView, planner: Planner) -> list[FieldProblem]:
    """Find guarantees that no rack can give or that do not all pack."""
    problems = []
    for team, spec in view.teams.items():
        for index, guarantee in enumerate(spec["guarantees"]):
            where = guarantee["failure_domain"]
            path = f"team {team}: spec.guarantees[{index}]"
            if where and where not in view.failure_domains:
                problems.append(
                    FieldProblem(
                        f"{path}.failure_domain",
                        f"there is no failure domain {where!r}",
                    )
                )
            elif not fits_somewhere(guarantee, view):
                problems.append(
                    FieldProblem(path, "no declared racks can give the shape")
                )
    return problems or list(planner(view))

"""Check a declaration against the other declared resources."""

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple, cast

from damaskstall.errors import (
    FieldProblem,
    RevisionTooOldError,
    ValidationError,
)
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.cells import cells_of
from damaskstall.placement.layout import Layout
from damaskstall.placement.model import Cell, Shape, Worker
from damaskstall.platform.keys import (
    CONFIG_PREFIX,
    split_config_key,
)
from damaskstall.platform.types import TableService
from damaskstall.resources.guards import GUARDED_KINDS
from damaskstall.resources.records import FailureDomainSpec

PAGE_ROWS = 1000

Specs = dict[str, dict[str, Any]]


class ConfigView(NamedTuple):
    """The specs of teams and failure domains by name."""

    teams: Specs
    failure_domains: Specs

    def with_spec(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> "ConfigView":
        """Return a copy of the view with one spec added or replaced."""
        if kind == "team":
            return self._replace(teams={**self.teams, name: spec})
        if kind == "failure_domain":
            domains = {**self.failure_domains, name: spec}
            return self._replace(failure_domains=domains)
        return self

    def without(self, kind: str, name: str) -> "ConfigView":
        """Return a copy of the view without one resource."""
        teams = dict(self.teams)
        domains = dict(self.failure_domains)
        (teams if kind == "team" else domains).pop(name, None)
        return ConfigView(teams, domains)


# Returns a problem for each team guarantee that the failure domains cannot
# satisfy together.
Planner = Callable[[ConfigView], tuple[FieldProblem, ...]]


class Rules(NamedTuple):
    """The planner and the limit that declarations are checked with."""

    planner: Planner
    cell_worker_limit: int


def no_missing_guarantees(view: ConfigView) -> tuple[FieldProblem, ...]:
    """Return no problems: every guarantee counts as satisfied."""
    return ()


async def read_view(table: TableService, config: ConfigStore) -> ConfigView:
    """Return the table's current configuration.

    Reads only the changes since the revision in memory if the table still
    has them, and all rows otherwise. Raises TableUnavailableError.
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
    return build_view(rows)


def memory_view(config: ConfigStore) -> ConfigView:
    """Return a view of the configuration in memory, maybe seconds old."""
    return build_view(
        {key: entry.value for key, entry in config.entries.items()}
    )


def build_view(rows: dict[str, dict[str, Any] | None]) -> ConfigView:
    """Build a view from configuration rows by key."""
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


def check_consistency(
    kind: str,
    name: str,
    spec: dict[str, Any],
    view: ConfigView,
    rules: Rules,
) -> None:
    """Raise ValidationError when a spec conflicts with other resources."""
    problems: list[FieldProblem] = []
    if kind == "job":
        problems += check_job(spec, view, rules.cell_worker_limit)
    if kind == "failure_domain":
        problems += check_workers(name, spec, view)
    if kind in GUARDED_KINDS and not problems:
        problems += check_guarantees(view.with_spec(kind, name, spec), rules)
    if problems:
        raise ValidationError(tuple(problems))


def check_job(
    spec: dict[str, Any], view: ConfigView, cell_worker_limit: int
) -> list[FieldProblem]:
    """Return problems: unknown team or failure domain, or too large a job."""
    problems = []
    if spec["team"] not in view.teams:
        problems.append(
            FieldProblem(
                "spec.team", f"the team {spec['team']!r} does not exist"
            )
        )
    domain_name = spec["failure_domain"]
    if domain_name and domain_name not in view.failure_domains:
        problems.append(
            FieldProblem(
                "spec.failure_domain",
                f"the failure domain {domain_name!r} does not exist",
            )
        )
        return problems
    if not fits_somewhere(spec, view, cell_worker_limit):
        reason = shape_error_message(spec, view, cell_worker_limit)
        problems.append(FieldProblem("spec.hosts", reason))
    return problems


def fits_somewhere(
    spec: dict[str, Any], view: ConfigView, cell_worker_limit: int
) -> bool:
    """Return whether some cell could hold the shape if it were empty."""
    shape = Shape(spec["hosts"], spec["accelerators_per_host"])
    return any(
        Layout(cell).has_block(shape)
        for cell in cells_in(spec["failure_domain"], view, cell_worker_limit)
    )


def cells_in(
    domain_name: str, view: ConfigView, cell_worker_limit: int
) -> Iterator[Cell]:
    """Yield the cells of a failure domain, or of all if the name is empty."""
    for name, spec in view.failure_domains.items():
        if domain_name in ("", name):
            domain = cast(FailureDomainSpec, spec)
            yield from cells_of(name, domain, cell_worker_limit)


def shape_error_message(
    spec: dict[str, Any], view: ConfigView, cell_worker_limit: int
) -> str:
    """Return an error message with the largest block that cells can hold."""
    accelerators = spec["accelerators_per_host"]
    domain_name = spec["failure_domain"]
    place = (
        f"failure domain {domain_name!r}"
        if domain_name
        else "any failure domain"
    )
    most = max(
        (
            longest_run(cell.workers, accelerators)
            for cell in cells_in(domain_name, view, cell_worker_limit)
        ),
        default=0,
    )
    return (
        f"the job can never run: it needs a block of {spec['hosts']} adjacent "
        f"workers with {accelerators} accelerators each, and a cell of "
        f"{place} has at most {most} of them adjacent"
    )


def longest_run(workers: tuple[Worker, ...], accelerators: int) -> int:
    """Return the longest run of workers with enough accelerators."""
    longest = current = 0
    for worker in workers:
        enough = worker.accelerators >= accelerators
        current = current + 1 if enough else 0
        longest = max(longest, current)
    return longest


def check_workers(
    name: str, spec: dict[str, Any], view: ConfigView
) -> list[FieldProblem]:
    """Return problems for worker names or addresses used in other domains."""
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
            for field, in_use in (("name", names), ("address", addresses)):
                other = in_use.get(worker[field], "")
                if other:
                    problems.append(
                        FieldProblem(
                            f"{path}.{field}",
                            f"is already used by a worker of failure domain "
                            f"{other!r}",
                        )
                    )
    return problems


def check_guarantees(view: ConfigView, rules: Rules) -> list[FieldProblem]:
    """Return problems for guarantees that cannot be satisfied together."""
    problems = []
    for team, spec in view.teams.items():
        for index, guarantee in enumerate(spec["guarantees"]):
            domain_name = guarantee["failure_domain"]
            path = f"team {team}: spec.guarantees[{index}]"
            if domain_name and domain_name not in view.failure_domains:
                problems.append(
                    FieldProblem(
                        f"{path}.failure_domain",
                        f"the failure domain {domain_name!r} does not exist",
                    )
                )
            elif not fits_somewhere(guarantee, view, rules.cell_worker_limit):
                problems.append(
                    FieldProblem(path, "no declared rack can hold the shape")
                )
    return problems or list(rules.planner(view))

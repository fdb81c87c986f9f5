"""Derive cells, guarantees and claim orders from the configuration.

Everything here is a pure function of the configuration, so all processes at
the same revision derive the same result without coordination.
"""

from typing import NamedTuple, cast

from damaskstall.errors import FieldProblem
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.cells import cells_of
from damaskstall.placement.claim_ranking import (
    CellFit,
    rank_cells,
    suitable_cells,
)
from damaskstall.placement.guarantee_plan import GuaranteePlan, plan_guarantees
from damaskstall.placement.model import Cell, Guarantee, Policy, Shape
from damaskstall.placement.policy import make_policy
from damaskstall.resources.consistency import ConfigView, memory_view
from damaskstall.resources.records import FailureDomainSpec, JobSpec, TeamSpec


class DerivedConfig(NamedTuple):
    """The cells and the plan derived from one configuration version.

    ``out`` contains the failure domains that are taken out. ``fits`` caches
    the cells that suit a team's jobs of one shape.
    """

    version: int
    out: frozenset[str]
    cells: dict[str, Cell]
    plan: GuaranteePlan
    fits: dict[tuple[str, Shape], dict[str, CellFit]]


class ConfigPlanner:
    """Derives cells, plans and claim orders, and caches the result."""

    def __init__(self, cell_worker_limit: int) -> None:
        """Create a planner; cells have at most ``cell_worker_limit`` workers.

        A single rack that is larger is still one cell.
        """
        self.cell_worker_limit = cell_worker_limit
        self._derived: DerivedConfig | None = None

    def cells(self, config: ConfigStore) -> dict[str, Cell]:
        """Return all cells of all failure domains by name."""
        return self._derive(config).cells

    def guarantees(
        self, config: ConfigStore
    ) -> dict[str, tuple[Guarantee, ...]]:
        """Return the guarantees that are assigned to each cell."""
        return self._derive(config).plan.assigned

    def plan(self, config: ConfigStore) -> GuaranteePlan:
        """Return the guarantee plan, which uses no cell that is taken out."""
        return self._derive(config).plan

    def claim_order(
        self, name: str, spec: JobSpec, config: ConfigStore
    ) -> tuple[str, ...]:
        """Return the cells that may claim a job, the preferred one first."""
        derived = self._derive(config)
        wanted = spec["failure_domain"]
        fits = {
            cell: found
            for cell, found in self._cell_fits(derived, spec).items()
            if wanted in ("", derived.cells[cell].failure_domain)
        }
        return rank_cells(name, fits)

    def make_policy(self, cell: Cell) -> Policy:
        """Return a new scheduling policy for a cell."""
        return make_policy(cell)

    def check_view(self, view: ConfigView) -> tuple[FieldProblem, ...]:
        """Return a problem for each guarantee that fits in no cell.

        Failure domains that are taken out count as in service.
        """
        cells = self._cells_of(view)
        plan = plan_guarantees(
            tuple(cells.values()), team_specs(view), frozenset()
        )
        return tuple(
            FieldProblem(
                f"team {missing.team}: spec.guarantees", missing.reason
            )
            for missing in plan.missing
        )

    def _derive(self, config: ConfigStore) -> DerivedConfig:
        known = self._derived
        if known is not None and known.version == config.version:
            return known
        view = memory_view(config)
        out = frozenset(d for d in view.failure_domains if config.is_out(d))
        cells = self._cells_of(view)
        closed = frozenset(
            name for name, cell in cells.items() if cell.failure_domain in out
        )
        plan = plan_guarantees(tuple(cells.values()), team_specs(view), closed)
        self._derived = DerivedConfig(config.version, out, cells, plan, {})
        return self._derived

    def _cell_fits(
        self, derived: DerivedConfig, spec: JobSpec
    ) -> dict[str, CellFit]:
        """Return how well each open cell suits a job.

        The result is cached per team and shape, since computing it searches
        for a packing in every cell.
        """
        shape = Shape(spec["hosts"], spec["accelerators_per_host"])
        key = (spec["team"], shape)
        if key not in derived.fits:
            open_cells = tuple(
                cell
                for cell in derived.cells.values()
                if cell.failure_domain not in derived.out
            )
            derived.fits[key] = suitable_cells(
                spec["team"], shape, open_cells, derived.plan
            )
        return derived.fits[key]

    def _cells_of(self, view: ConfigView) -> dict[str, Cell]:
        return {
            cell.name: cell
            for name, spec in view.failure_domains.items()
            for cell in cells_of(
                name, cast(FailureDomainSpec, spec), self.cell_worker_limit
            )
        }


def team_specs(view: ConfigView) -> dict[str, TeamSpec]:
    """Return the specifications of all teams by name."""
    return {name: cast(TeamSpec, spec) for name, spec in view.teams.items()}

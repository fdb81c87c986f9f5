"""Assign every guarantee to a cell, based only on the configuration.

The plan is first made as if all cells were open. The guarantees in closed
cells are then assigned to the remaining capacity of the open cells. So taking
out a failure domain moves no other guarantee, and restoring the domain
restores the plan.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.placement.accelerator_set import AcceleratorSet
from damaskstall.placement.layout import Layout
from damaskstall.placement.model import Cell, Guarantee, Shape
from damaskstall.placement.packing import pack, place
from damaskstall.resources.records import TeamSpec


class MissingGuarantee(NamedTuple):
    """A guaranteed shape that no cell can hold, with the reason."""

    team: str
    shape: Shape
    failure_domain: str
    reason: str


class GuaranteePlan(NamedTuple):
    """The guarantees by cell name, and those that fit in no cell."""

    assigned: dict[str, tuple[Guarantee, ...]]
    missing: tuple[MissingGuarantee, ...]


class BlockRequest(NamedTuple):
    """Request for one block; an empty failure domain allows every cell."""

    team: str
    shape: Shape
    failure_domain: str


class CellPacking:
    """The guarantees packed into one cell so far, and its free capacity.

    ``no_free_block`` and ``no_packing`` cache the shapes that did not fit
    without repacking and with it.
    """

    def __init__(self, cell: Cell) -> None:
        """Start with an empty cell."""
        self.cell = cell
        self.layout = Layout(cell)
        self.used = AcceleratorSet(self.layout.workers)
        self.guarantees: list[Guarantee] = []
        self.free = sum(self.layout.accelerators)
        self.no_free_block: set[Shape] = set()
        self.no_packing: set[Shape] = set()

    def add_request(self, request: BlockRequest) -> bool:
        """Place a request on a free block without moving any other."""
        if request.shape in self.no_free_block:
            return False
        if place(self.layout, self.used, request.shape) is None:
            self.no_free_block.add(request.shape)
            return False
        self._add_guarantee(request)
        return True

    def add_by_repacking(self, request: BlockRequest) -> bool:
        """Place a request by packing all requests of the cell again."""
        if request.shape in self.no_packing:
            return False
        if not self._repack(request.shape):
            self.no_packing.add(request.shape)
            return False
        self._add_guarantee(request)
        return True

    def _add_guarantee(self, request: BlockRequest) -> None:
        self.guarantees.append(Guarantee(request.team, request.shape))
        self.free -= request.shape.accelerators

    def _repack(self, shape: Shape) -> bool:
        """Pack the cell again with one more shape; return whether it fits."""
        if shape.accelerators > self.free:
            return False
        shapes = [g.shape for g in self.guarantees] + [shape]
        used = AcceleratorSet(self.layout.workers)
        blocks = pack(self.layout, used, shapes)
        for block in blocks:
            if block is None:
                return False
            used.add(block)
        self.used = used
        return True


def plan_guarantees(
    cells: tuple[Cell, ...],
    teams: dict[str, TeamSpec],
    closed_cells: frozenset[str],
    spread: bool = False,
) -> GuaranteePlan:
    """Return the plan that assigns the teams' guarantees to cells.

    Cells are filled one after the other, or evenly with ``spread``.
    """
    cell_packings = [CellPacking(cell) for cell in sorted(cells)]
    unplaced = assign(cell_packings, block_requests(teams), spread)
    displaced: list[BlockRequest] = []
    for cell_packing in cell_packings:
        if cell_packing.cell.name in closed_cells:
            displaced += requests_in_closed_cell(cell_packing, teams)
            cell_packing.guarantees = []
    open_packings = [
        p for p in cell_packings if p.cell.name not in closed_cells
    ]
    unplaced = assign(open_packings, unplaced + displaced, spread)
    return GuaranteePlan(
        {
            cell_packing.cell.name: tuple(cell_packing.guarantees)
            for cell_packing in cell_packings
        },
        tuple(
            explain_missing(request, cell_packings, closed_cells)
            for request in unplaced
        ),
    )


def block_requests(teams: dict[str, TeamSpec]) -> list[BlockRequest]:
    """Return one block request for each guaranteed block."""
    return [
        BlockRequest(
            team,
            Shape(spec["hosts"], spec["accelerators_per_host"]),
            spec["failure_domain"],
        )
        for team in sorted(teams)
        for spec in teams[team]["guarantees"]
        for _ in range(spec["count"])
    ]


def assign(
    cell_packings: list[CellPacking],
    requests: Iterable[BlockRequest],
    spread: bool,
) -> list[BlockRequest]:
    """Assign each request to a cell; return the requests that fit in none.

    Requests that name a failure domain are placed first, and larger shapes
    before smaller ones. Each takes the cell with the least free capacity that
    has a free block, or with ``spread`` the cell with the most.
    """
    sign = -1 if spread else 1
    order = sorted(
        requests,
        key=lambda r: (
            not r.failure_domain,
            -r.shape.accelerators,
            -r.shape.hosts,
            r.team,
        ),
    )
    unplaced = []
    for request in order:
        fitting = [p for p in cell_packings if may_hold(request, p.cell)]
        fitting.sort(
            key=lambda cell_packing: (
                sign * cell_packing.free,
                cell_packing.cell.name,
            )
        )
        # Repacking is a long search, so first try every cell without it.
        if any(cell_packing.add_request(request) for cell_packing in fitting):
            continue
        if not any(
            cell_packing.add_by_repacking(request) for cell_packing in fitting
        ):
            unplaced.append(request)
    return unplaced


def may_hold(request: BlockRequest, cell: Cell) -> bool:
    """Return whether a request may be placed in a cell."""
    return request.failure_domain in ("", cell.failure_domain)


def requests_in_closed_cell(
    cell_packing: CellPacking, teams: dict[str, TeamSpec]
) -> list[BlockRequest]:
    """Return the requests that were placed in a closed cell.

    A request that names the cell's failure domain keeps that restriction.
    """
    domain = cell_packing.cell.failure_domain
    bound_counts = domain_bound_counts(teams, domain)
    requests = []
    for guarantee in cell_packing.guarantees:
        remaining = bound_counts.get(guarantee, 0)
        bound_counts[guarantee] = remaining - 1
        requests.append(
            BlockRequest(*guarantee, domain if remaining > 0 else "")
        )
    return requests


def domain_bound_counts(
    teams: dict[str, TeamSpec], domain: str
) -> dict[Guarantee, int]:
    """Count the requests that name a failure domain, by guarantee."""
    counts: dict[Guarantee, int] = {}
    for request in block_requests(teams):
        if request.failure_domain == domain:
            key = Guarantee(request.team, request.shape)
            counts[key] = counts.get(key, 0) + 1
    return counts


def explain_missing(
    request: BlockRequest,
    cell_packings: list[CellPacking],
    closed_cells: frozenset[str],
) -> MissingGuarantee:
    """Return a request that fits in no cell, with the reason."""
    accepted = [p for p in cell_packings if may_hold(request, p.cell)]
    able = [p for p in accepted if p.layout.has_block(request.shape)]
    shape = f"{request.shape.hosts} x {request.shape.accelerators_per_host}"
    where = request.failure_domain or "any failure domain"
    if not accepted:
        reason = f"There is no cell in {where}."
    elif not able:
        reason = f"No cell in {where} has a block of {shape}, even empty."
    elif all(p.cell.name in closed_cells for p in able):
        reason = f"Every cell of {where} with such a block is taken out."
    else:
        reason = (
            f"No cell in {where} has a block of {shape} left beside the "
            "other guarantees."
        )
    return MissingGuarantee(
        request.team, request.shape, request.failure_domain, reason
    )

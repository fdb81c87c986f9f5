"""Rank the cells that should try to claim a job."""

from math import log
from typing import NamedTuple
from zlib import crc32

from damaskstall.placement.layout import Layout, holds
from damaskstall.placement.masks import Masks
from damaskstall.placement.model import Cell, Shape
from damaskstall.placement.packing import pack
from damaskstall.placement.plan import GuaranteePlan


class Attraction(NamedTuple):
    """Hold how much a cell suits a job.

    ``promised`` counts the accelerators of its team's guarantees that fit,
    ``beside`` tells whether it fits beside all guarantees, and ``spare``
    counts the accelerators that nobody was promised.
    """

    promised: int
    beside: bool
    spare: int


def claim_rank(
    job_name: str,
    team: str,
    shape: Shape,
    cells: tuple[Cell, ...],
    plan: GuaranteePlan,
) -> tuple[str, ...]:
    """Return the cells that could run a job, the best first.

    Cells where the team has a guarantee that fits come first. Then come those
    where the job fits beside all guarantees, so that it need not borrow.
    Among equals a hash spreads jobs in proportion to what each cell offers.
    """
    return rank_cells(job_name, suited_cells(team, shape, cells, plan))


def suited_cells(
    team: str, shape: Shape, cells: tuple[Cell, ...], plan: GuaranteePlan
) -> dict[str, Attraction]:
    """Return how much each cell suits a team's jobs of one shape."""
    suited = {}
    for cell in cells:
        found = attraction(team, shape, cell, plan)
        if found is not None:
            suited[cell.name] = found
    return suited


def rank_cells(
    job_name: str, suited: dict[str, Attraction]
) -> tuple[str, ...]:
    """Return suited cells in the order they should try to claim a job."""
    return tuple(
        sorted(suited, key=lambda name: place(job_name, name, suited[name]))
    )


def attraction(
    team: str, shape: Shape, cell: Cell, plan: GuaranteePlan
) -> Attraction | None:
    """Return how much a cell suits a job, or None if it never fits."""
    assigned = plan.assigned.get(cell.name, ())
    promised = sum(
        guarantee.shape.accelerators
        for guarantee in assigned
        if guarantee.team == team and holds(guarantee.shape, shape)
    )
    layout = Layout(cell)
    if not layout.possible(shape):
        return None
    if promised:
        return Attraction(promised, True, 0)
    shapes = [guarantee.shape for guarantee in assigned]
    taken = sum(other.accelerators for other in shapes)
    spare = sum(layout.accelerators) - taken
    blocks = pack(layout, Masks(layout.workers), [*shapes, shape])
    return Attraction(0, None not in blocks, spare)


def place(
    job_name: str, cell: str, found: Attraction
) -> tuple[bool, bool, float, str]:
    """Return what cells are ordered by, the best first."""
    drawn = weighted_place(job_name, cell, found.promised or found.spare)
    return (not found.promised, not found.beside, drawn, cell)


def weighted_place(job_name: str, cell: str, weight: int) -> float:
    """Return a place in the order: first as often as the weight says."""
    hashed = crc32(f"{job_name}/{cell}".encode())
    drawn = (hashed + 1) / (1 << 32)
    return -log(drawn) / max(weight, 1)

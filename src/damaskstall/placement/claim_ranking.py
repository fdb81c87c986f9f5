"""Rank the cells that may claim a job."""

from math import log
from typing import NamedTuple
from zlib import crc32

from damaskstall.placement.accelerator_set import AcceleratorSet
from damaskstall.placement.guarantee_plan import GuaranteePlan
from damaskstall.placement.layout import Layout, shape_contains
from damaskstall.placement.model import Cell, Shape
from damaskstall.placement.packing import pack


class CellFit(NamedTuple):
    """How well a cell suits a job.

    ``guaranteed`` counts the accelerators of the guarantees of the job's team
    that have room for it, ``fits_beside`` is whether the job fits in addition
    to all guarantees, and ``unguaranteed`` counts the accelerators that no
    guarantee uses. If ``guaranteed`` is not 0, the other two are not computed
    and are True and 0.
    """

    guaranteed: int
    fits_beside: bool
    unguaranteed: int


def claim_rank(
    job_name: str,
    team: str,
    shape: Shape,
    cells: tuple[Cell, ...],
    plan: GuaranteePlan,
) -> tuple[str, ...]:
    """Return the cells that can run a job, best first.

    Cells where the team has a guarantee with room for the job come first,
    then those where the job fits in addition to all guarantees, so that it
    does not borrow. Among equal cells a hash distributes jobs in proportion
    to the accelerators that each cell offers.
    """
    return rank_cells(job_name, suitable_cells(team, shape, cells, plan))


def suitable_cells(
    team: str, shape: Shape, cells: tuple[Cell, ...], plan: GuaranteePlan
) -> dict[str, CellFit]:
    """Return how well each suitable cell fits a team's jobs of one shape."""
    fits = {}
    for cell in cells:
        found = cell_fit(team, shape, cell, plan)
        if found is not None:
            fits[cell.name] = found
    return fits


def rank_cells(job_name: str, fits: dict[str, CellFit]) -> tuple[str, ...]:
    """Return suitable cells in the order in which they may claim a job."""
    return tuple(
        sorted(fits, key=lambda name: sort_key(job_name, name, fits[name]))
    )


def cell_fit(
    team: str, shape: Shape, cell: Cell, plan: GuaranteePlan
) -> CellFit | None:
    """Return how well a cell suits a job, or None if the job never fits."""
    assigned = plan.assigned.get(cell.name, ())
    guaranteed = sum(
        guarantee.shape.accelerators
        for guarantee in assigned
        if guarantee.team == team and shape_contains(guarantee.shape, shape)
    )
    layout = Layout(cell)
    if not layout.has_block(shape):
        return None
    if guaranteed:
        return CellFit(guaranteed, True, 0)
    shapes = [guarantee.shape for guarantee in assigned]
    taken = sum(other.accelerators for other in shapes)
    unguaranteed = sum(layout.accelerators) - taken
    blocks = pack(layout, AcceleratorSet(layout.workers), [*shapes, shape])
    return CellFit(0, None not in blocks, unguaranteed)


def sort_key(
    job_name: str, cell: str, found: CellFit
) -> tuple[bool, bool, float, str]:
    """Return the sort key of a cell for a job; the lowest key is best."""
    drawn = weighted_draw(
        job_name, cell, found.guaranteed or found.unguaranteed
    )
    return (not found.guaranteed, not found.fits_beside, drawn, cell)


def weighted_draw(job_name: str, cell: str, weight: int) -> float:
    """Return a pseudo-random sort key of a cell for a job.

    The probability of the lowest key is proportional to the weight.
    """
    hashed = crc32(f"{job_name}/{cell}".encode())
    drawn = (hashed + 1) / (1 << 32)
    return -log(drawn) / max(weight, 1)

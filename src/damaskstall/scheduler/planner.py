"""Define the planner interface; check whether a shape fits in a cell."""

from typing import Protocol

from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.model import Cell, Guarantee, Policy, Shape
from damaskstall.resources.records import JobSpec


class Planner(Protocol):
    """Interface of the planner of cells, guarantees and claim orders.

    All processes derive the same results from the same configuration.
    """

    def cells(self, config: ConfigStore) -> dict[str, Cell]:
        """Return all cells of all failure domains by name."""

    def guarantees(
        self, config: ConfigStore
    ) -> dict[str, tuple[Guarantee, ...]]:
        """Return the guarantees that are assigned to each cell."""

    def claim_order(
        self, name: str, spec: JobSpec, config: ConfigStore
    ) -> tuple[str, ...]:
        """Return the cells that may claim a job, the preferred one first."""

    def make_policy(self, cell: Cell) -> Policy:
        """Return a new scheduling policy for a cell."""


def fits_cell(shape: Shape, cell: Cell) -> bool:
    """Return whether an empty cell has room for a shape.

    A shape lies within one rack, or spans whole adjacent racks.
    """
    for first, rack in enumerate(cell.racks):
        if shape.hosts <= len(rack.workers):
            room = [w.accelerators for w in rack.workers]
            room.sort(reverse=True)
            if room[shape.hosts - 1] >= shape.accelerators_per_host:
                return True
            continue
        if fits_whole_racks(shape, cell, first):
            return True
    return False


def fits_whole_racks(shape: Shape, cell: Cell, first: int) -> bool:
    """Return whether the racks from ``first`` on have room for a shape."""
    hosts = 0
    for rack in cell.racks[first:]:
        if any(
            w.accelerators < shape.accelerators_per_host for w in rack.workers
        ):
            return False
        hosts += len(rack.workers)
        if hosts >= shape.hosts:
            return True
    return False

"""Assign every guarantee to a cell, by the configuration alone.

The plan is first made as if all cells were open, and then what lay in closed
cells is put into what the open ones have left. So taking out a failure
domain moves no other guarantee, and bringing it back restores the plan.
"""

from collections.abc import Iterable
from typing import NamedTuple

from damaskstall.placement.layout import Layout
from damaskstall.placement.masks import Masks
from damaskstall.placement.model import Cell, Guarantee, Shape
from damaskstall.placement.packing import pack, place
from damaskstall.resources.records import TeamSpec


class MissingGuarantee(NamedTuple):
    """Name a guaranteed shape that no cell can hold, and why."""

    team: str
    shape: Shape
    failure_domain: str
    reason: str


class GuaranteePlan(NamedTuple):
    """Hold the guarantees by cell name, and those that found no cell."""

    assigned: dict[str, tuple[Guarantee, ...]]
    missing: tuple[MissingGuarantee, ...]


class Wish(NamedTuple):
    """Ask for one block; an empty failure domain accepts every cell."""

    team: str
    shape: Shape
    failure_domain: str


class CellRoom:
    """Hold what is left of one cell while a plan is made."""

    def __init__(self, cell: Cell) -> None:
        """Start with the whole cell free."""
        self.cell = cell
        self.layout = Layout(cell)
        self.used = Masks(self.layout.workers)
        self.guarantees: list[Guarantee] = []
        self.free = sum(self.layout.accelerators)
        self.crowded_for: set[Shape] = set()
        self.full_for: set[Shape] = set()

    def put(self, wish: Wish) -> bool:
        """Give a wish a free block of the cell, and move no other."""
        if wish.shape in self.crowded_for:
            return False
        if place(self.layout, self.used, wish.shape) is None:
            self.crowded_for.add(wish.shape)
            return False
        self._keep(wish)
        return True

    def squeeze(self, wish: Wish) -> bool:
        """Give a wish a block, by packing the cell anew if need be."""
        if wish.shape in self.full_for:
            return False
        if not self._repack(wish.shape):
            self.full_for.add(wish.shape)
            return False
        self._keep(wish)
        return True

    def _keep(self, wish: Wish) -> None:
        self.guarantees.append(Guarantee(wish.team, wish.shape))
        self.free -= wish.shape.accelerators

    def _repack(self, shape: Shape) -> bool:
        """Find another packing that has room for one more shape."""
        if shape.accelerators > self.free:
            return False
        shapes = [g.shape for g in self.guarantees] + [shape]
        used = Masks(self.layout.workers)
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
    """Return which cell holds which guarantee.

    Cells are filled one after the other, or evenly with ``spread``.
    """
    rooms = [CellRoom(cell) for cell in sorted(cells)]
    homeless = assign(rooms, wishes_of(teams), spread)
    displaced: list[Wish] = []
    for room in rooms:
        if room.cell.name in closed_cells:
            displaced += returned_wishes(room, teams)
            room.guarantees = []
    open_rooms = [r for r in rooms if r.cell.name not in closed_cells]
    homeless = assign(open_rooms, homeless + displaced, spread)
    return GuaranteePlan(
        {room.cell.name: tuple(room.guarantees) for room in rooms},
        tuple(explain_missing(wish, rooms, closed_cells) for wish in homeless),
    )


def wishes_of(teams: dict[str, TeamSpec]) -> list[Wish]:
    """Return one wish for each guaranteed block."""
    return [
        Wish(
            team,
            Shape(spec["hosts"], spec["accelerators_per_host"]),
            spec["failure_domain"],
        )
        for team in sorted(teams)
        for spec in teams[team]["guarantees"]
        for _ in range(spec["count"])
    ]


def assign(
    rooms: list[CellRoom], wishes: Iterable[Wish], spread: bool
) -> list[Wish]:
    """Give each wish a cell; return those that found none.

    Wishes for one failure domain go first, then the largest, and each
    takes the cell with the least room that has a block left, or with the
    most.
    """
    sign = -1 if spread else 1
    order = sorted(
        wishes,
        key=lambda w: (
            not w.failure_domain,
            -w.shape.accelerators,
            -w.shape.hosts,
            w.team,
        ),
    )
    homeless = []
    for wish in order:
        fitting = [r for r in rooms if accepts(wish, r.cell)]
        fitting.sort(key=lambda room: (sign * room.free, room.cell.name))
        # Packing anew is a long search, and needless while a cell has room.
        if any(room.put(wish) for room in fitting):
            continue
        if not any(room.squeeze(wish) for room in fitting):
            homeless.append(wish)
    return homeless


def accepts(wish: Wish, cell: Cell) -> bool:
    """Return whether a wish may be met by a cell."""
    return wish.failure_domain in ("", cell.failure_domain)


def returned_wishes(room: CellRoom, teams: dict[str, TeamSpec]) -> list[Wish]:
    """Return the wishes that a closed cell held.

    A guarantee that names the cell's failure domain cannot move elsewhere.
    """
    domain = room.cell.failure_domain
    bound = bound_counts(teams, domain)
    wishes = []
    for guarantee in room.guarantees:
        left = bound.get(guarantee, 0)
        bound[guarantee] = left - 1
        wishes.append(Wish(*guarantee, domain if left > 0 else ""))
    return wishes


def bound_counts(
    teams: dict[str, TeamSpec], domain: str
) -> dict[Guarantee, int]:
    """Return how many blocks of each guarantee name a failure domain."""
    counts: dict[Guarantee, int] = {}
    for wish in wishes_of(teams):
        if wish.failure_domain == domain:
            key = Guarantee(wish.team, wish.shape)
            counts[key] = counts.get(key, 0) + 1
    return counts


def explain_missing(
    wish: Wish, rooms: list[CellRoom], closed_cells: frozenset[str]
) -> MissingGuarantee:
    """Say why no cell holds a wish."""
    accepted = [r for r in rooms if accepts(wish, r.cell)]
    able = [r for r in accepted if r.layout.possible(wish.shape)]
    shape = f"{wish.shape.hosts} x {wish.shape.accelerators_per_host}"
    where = wish.failure_domain or "any failure domain"
    if not accepted:
        reason = f"There is no cell in {where}."
    elif not able:
        reason = f"No cell in {where} has a block of {shape}, even empty."
    elif all(r.cell.name in closed_cells for r in able):
        reason = f"Every cell of {where} with such a block is taken out."
    else:
        reason = (
            f"No cell in {where} has a block of {shape} left beside the "
            "other guarantees."
        )
    return MissingGuarantee(wish.team, wish.shape, wish.failure_domain, reason)

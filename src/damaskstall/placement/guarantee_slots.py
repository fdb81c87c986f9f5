"""Bind every guarantee to a block, so that it can always be reclaimed.

Each guarantee is a slot. A slot in use is pinned to the block where its
team's jobs run. An unused slot is bound to a block as well: bound blocks
never overlap each other, and only borrowing jobs run on the block of an
unused slot. As long as this invariant holds, every guaranteed shape can be
reclaimed by preempting only borrowing jobs.

There are two binding strategies. With fixed binding the block of a slot never
changes. With late binding an unused slot may move to another block to make
room for another slot, as in the buddy allocation of HiveD (OSDI 2020).
"""

from collections.abc import Iterable
from typing import Protocol

from damaskstall.placement.accelerator_set import AcceleratorSet
from damaskstall.placement.block_index import BlockIndex, Score
from damaskstall.placement.layout import Layout, overlap, shape_contains
from damaskstall.placement.model import Block, Guarantee, Shape
from damaskstall.placement.packing import copy_set, largest_first, pack


class Slot:
    """One guarantee, the block that it is bound to and the jobs using it."""

    __slots__ = ("team", "shape", "block", "jobs")

    def __init__(self, guarantee: Guarantee) -> None:
        """Create an unused slot without a block."""
        self.team = guarantee.team
        self.shape = guarantee.shape
        self.block: Block | None = None
        self.jobs: set[str] = set()


class Binding(Protocol):
    """Strategy that decides whether a slot may take a block."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Bind an unused slot to a block; return False if it cannot be bound.

        That is so if the strategy does not allow it, the block overlaps a
        slot in use or a shielded block, or another slot would be left without
        a block.
        """

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Move unused slots off a block; return False if one cannot move."""


class FixedBinding:
    """Binding that never changes the block of a slot."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Return whether the slot is bound to the block already."""
        return slot.block == block

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Return whether no unused slot's block overlaps the block."""
        return not slots.movable.intersects(block)


class LateBinding:
    """Binding that moves unused slots to other blocks when needed."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Bind the slot to the block and move unused slots that overlap.

        Return whether that was possible without leaving a slot unbound.
        """
        if slot.block == block:
            return True
        if slots.pinned.intersects(block) or slots.shielded.intersects(block):
            return False
        return slots.move(slot, block)

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Move the unused slots that overlap the block; return success."""
        return not slots.movable.intersects(block) or slots.move(None, block)


class Slots:
    """The guarantee slots of a cell, whose blocks never overlap.

    ``fixed`` contains the accelerators to which no slot may move: those of
    slots in use, of jobs that must not be preempted (shielded blocks), and of
    unusable workers. ``movable`` contains those of unused slots.
    """

    def __init__(self, layout: Layout, binding: Binding) -> None:
        """Create the slots of a cell without guarantees."""
        self.layout = layout
        self.binding = binding
        self.by_team: dict[str, list[Slot]] = {}
        self.slot_of: dict[str, Slot] = {}
        self.shielded_blocks: dict[str, Block] = {}
        self.unshielded: list[Block] = []
        self.unbound: dict[Slot, None] = {}
        self.slots_by_worker: dict[int, list[Slot]] = {}
        self.pinned = AcceleratorSet(layout.workers)
        self.shielded = AcceleratorSet(layout.workers)
        self.closed = AcceleratorSet(layout.workers)
        self.fixed = AcceleratorSet(layout.workers)
        self.movable = AcceleratorSet(layout.workers)
        self.available = BlockIndex(layout, self._available_score)

    def all(self) -> Iterable[Slot]:
        """Yield all slots in a deterministic order."""
        for team in sorted(self.by_team):
            yield from self.by_team[team]

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that have no block."""
        unmet = (Guarantee(slot.team, slot.shape) for slot in self.unbound)
        return tuple(sorted(unmet))

    def fitting(self, team: str, shape: Shape) -> list[Slot]:
        """Return a team's slots that can contain a shape, smallest first.

        Slots in use are included, also if their jobs leave no room.
        """
        slots = self.by_team.get(team, [])
        return [slot for slot in slots if shape_contains(slot.shape, shape)]

    def replace(self, guarantees: Iterable[Guarantee]) -> list[str]:
        """Replace the guarantees; return the jobs that lost their slot.

        Slots of guarantees that remain keep their block and their jobs.
        """
        old = {team: list(slots) for team, slots in self.by_team.items()}
        fresh: dict[str, list[Slot]] = {}
        for guarantee in guarantees:
            known = old.get(guarantee.team, [])
            slot = take_matching(known, guarantee.shape)
            if slot is None:
                slot = Slot(guarantee)
                self.unbound[slot] = None
            fresh.setdefault(guarantee.team, []).append(slot)
        for slots in fresh.values():
            slots.sort(key=lambda slot: (slot.shape.accelerators, slot.shape))
        lost: list[str] = []
        for team in sorted(old):
            for slot in old[team]:
                lost += self._remove(slot)
        self.by_team = fresh
        self.rebind()
        return lost

    def use(self, slot: Slot, block: Block, job: str) -> bool:
        """Assign a job to a slot and bind the slot to a block.

        Return False and change nothing if the slot is in use on another block
        or cannot be bound to this one.
        """
        if slot.jobs:
            if slot.block != block:
                return False
        elif not self.binding.bind(self, slot, block):
            return False
        if not slot.jobs:
            self._update_movable(slot, block, False)
            self._mark(self.pinned, block, True)
        slot.jobs.add(job)
        self.slot_of[job] = slot
        return True

    def leave(self, job: str) -> None:
        """Remove a job from its slot, if it has one."""
        slot = self.slot_of.pop(job, None)
        if slot is None:
            return
        slot.jobs.discard(job)
        if slot.jobs or slot.block is None:
            return
        self._mark(self.pinned, slot.block, False)
        self._update_movable(slot, slot.block, True)
        self.rebind([slot])

    def shield(self, job: str, block: Block) -> bool:
        """Exclude a job's block from all slots.

        Return False and change nothing if a slot would lose its block.
        """
        if self.fixed.intersects(block):
            return False
        self.shielded_blocks[job] = block
        self._mark(self.shielded, block, True)
        if self.binding.clear(self, block):
            return True
        del self.shielded_blocks[job]
        self._mark(self.shielded, block, False)
        return False

    def unshield(self, job: str) -> None:
        """Allow slots to be bound to a job's block again."""
        block = self.shielded_blocks.pop(job, None)
        if block is not None:
            self._mark(self.shielded, block, False)
            self.rebind()

    def take_unshielded(self) -> list[Block]:
        """Return and clear the blocks whose shields were removed.

        Shields are removed when a guarantee would have no block otherwise.
        """
        blocks, self.unshielded = self.unshielded, []
        return blocks

    def set_closed(self, block: Block, closed: bool) -> None:
        """Close the block of an unusable worker to slots, or open it again."""
        self._mark(self.closed, block, closed)
        self.rebind(self._movable_in(block))

    def move(self, slot: Slot | None, block: Block) -> bool:
        """Move unused slots off a block and bind one slot to the block.

        Return False and change nothing if a slot would lose its block.
        """
        movers = [s for s in self._movable_in(block) if s is not slot]
        before = [(s, s.block) for s in movers]
        old_slot_block = slot.block if slot else None
        for mover in movers:
            self._bind(mover, None)
        if slot is not None:
            self._bind(slot, block)
        if self._place(movers) or self._repack_others(slot, before):
            return True
        if slot is not None:
            self._bind(slot, old_slot_block)
        for mover, old_block in before:
            self._bind(mover, old_block)
        return False

    def rebind(self, to_check: Iterable[Slot] = ()) -> None:
        """Bind unused slots that have no block.

        A slot in ``to_check`` whose block overlaps fixed accelerators is
        bound to another block as well.
        """
        for slot in list(to_check):
            if slot.block is not None and self.fixed.intersects(slot.block):
                self._bind(slot, None)
        if not self.unbound:
            return
        if self._place(list(self.unbound)) or self._repack(self._unused()):
            return
        if self.shielded_blocks:
            self._remove_shields()

    def _repack_others(
        self, slot: Slot | None, before: list[tuple[Slot, Block | None]]
    ) -> bool:
        """Pack all unused slots except one again; return success.

        On failure restore their blocks. The slots in ``before`` stay unbound;
        the caller restores them.
        """
        moved = dict(before)
        others = [s for s in self._unused() if s is not slot]
        old = [(s, moved.get(s, s.block)) for s in others]
        if self._repack(others):
            return True
        for other in others:
            self._bind(other, None)
        for other, block in old:
            if other not in moved:
                self._bind(other, block)
        return False

    def _remove_shields(self) -> None:
        """Remove all shields if that lets more guarantees have a block."""
        unmet = len(self.unmet())
        shielded_blocks = dict(self.shielded_blocks)
        for job in sorted(shielded_blocks):
            self._mark(self.shielded, self.shielded_blocks.pop(job), False)
        self._repack(self._unused())
        if len(self.unmet()) < unmet:
            self.unshielded += shielded_blocks.values()
            return
        self.shielded_blocks = shielded_blocks
        for block in shielded_blocks.values():
            self._mark(self.shielded, block, True)
        self._repack(self._unused())

    def _unused(self) -> list[Slot]:
        return [slot for slot in self.all() if not slot.jobs]

    def _movable_in(self, block: Block) -> list[Slot]:
        """Return the unused slots whose block overlaps a block."""
        found: dict[Slot, None] = {}
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            found.update(dict.fromkeys(self.slots_by_worker.get(worker, ())))
        return [s for s in found if s.block and overlap(s.block, block)]

    def _place(self, slots: list[Slot]) -> bool:
        """Bind slots one by one; return whether every slot has a block."""
        for number in largest_first([slot.shape for slot in slots]):
            found = self.available.find(slots[number].shape)
            if found is None:
                return False
            self._bind(slots[number], found.block)
        return True

    def _repack(self, slots: list[Slot]) -> bool:
        """Pack and bind slots again; return whether all have a block."""
        for slot in slots:
            self._bind(slot, None)
        taken = copy_set(self.fixed)
        for slot in self._unused():
            if slot.block is not None:
                taken.add(slot.block)
        blocks = pack(self.layout, taken, [slot.shape for slot in slots])
        for slot, block in zip(slots, blocks, strict=True):
            self._bind(slot, block)
        return None not in blocks

    def _bind(self, slot: Slot, block: Block | None) -> None:
        if slot.block is not None:
            self._update_movable(slot, slot.block, False)
        slot.block = block
        if block is None:
            self.unbound[slot] = None
            return
        self.unbound.pop(slot, None)
        self._update_movable(slot, block, True)

    def _remove(self, slot: Slot) -> list[str]:
        self.unbound.pop(slot, None)
        if slot.jobs and slot.block is not None:
            self._mark(self.pinned, slot.block, False)
        elif slot.block is not None:
            self._update_movable(slot, slot.block, False)
        for job in slot.jobs:
            del self.slot_of[job]
        return sorted(slot.jobs)

    def _update_movable(self, slot: Slot, block: Block, present: bool) -> None:
        """Add an unused slot's block to the movable blocks, or remove it."""
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            if present:
                self.slots_by_worker.setdefault(worker, []).append(slot)
            else:
                self.slots_by_worker[worker].remove(slot)
        self._mark(self.movable, block, present)

    def _mark(
        self, target: AcceleratorSet, block: Block, present: bool
    ) -> None:
        if present:
            target.add(block)
        else:
            target.remove(block)
        self._refresh_fixed(block)
        self.available.invalidate(block)

    def _refresh_fixed(self, block: Block) -> None:
        first = block.first_worker
        for worker in range(first, first + block.hosts):
            self.fixed.bits[worker] = (
                self.pinned.bits[worker]
                | self.shielded.bits[worker]
                | self.closed.bits[worker]
            )

    def _available_score(self, block: Block) -> Score | None:
        if self.fixed.intersects(block) or self.movable.intersects(block):
            return None
        first = block.first_worker
        end = first + block.hosts
        taken = sum(
            (fixed | movable).bit_count()
            for fixed, movable in zip(
                self.fixed.bits[first:end],
                self.movable.bits[first:end],
                strict=True,
            )
        )
        return (-taken, first, block.first_accelerator)


def take_matching(slots: list[Slot], shape: Shape) -> Slot | None:
    """Remove and return a slot of exactly this shape, or None.

    Among several, the slot with the most jobs is taken.
    """
    matching = [slot for slot in slots if slot.shape == shape]
    if not matching:
        return None
    slot = max(matching, key=lambda slot: len(slot.jobs))
    slots.remove(slot)
    return slot

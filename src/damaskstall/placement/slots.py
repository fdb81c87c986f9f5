"""Keep a block for every guaranteed shape, so that it can be reclaimed.

Each guarantee is a slot. A slot in use is pinned to the block that its
team's jobs run in. An unused slot is bound to a block as well, the witness
that it can be reclaimed: bound blocks never overlap each other, and only
borrowed jobs may run there. As long as that holds, every guaranteed shape
can be had by preempting borrowed jobs alone.

The two ways of binding differ in whether a witness may move. With fixed
home blocks it stays. With late binding it moves out of the way of a better
place for another slot, as in the buddy allocation of HiveD (OSDI 2020).
"""

from collections.abc import Iterable
from typing import Protocol

from damaskstall.placement.block_index import BlockIndex, Score
from damaskstall.placement.layout import Layout, holds, overlap
from damaskstall.placement.masks import Masks
from damaskstall.placement.model import Block, Guarantee, Shape
from damaskstall.placement.packing import copy_of, largest_first, pack


class Slot:
    """Hold one guarantee, its block and the jobs that use it."""

    __slots__ = ("team", "shape", "block", "jobs")

    def __init__(self, guarantee: Guarantee) -> None:
        """Start unused and without a block."""
        self.team = guarantee.team
        self.shape = guarantee.shape
        self.block: Block | None = None
        self.jobs: set[str] = set()


class Binding(Protocol):
    """Decide whether a slot may take a block."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Give an unused slot the block if all others keep one."""

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Move unused slots off a block if all keep one."""


class FixedHomes:
    """Keep every slot at its home block."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Accept only the slot's own block."""
        return slot.block == block

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Accept only a block that no slot is bound to."""
        return not slots.loose.meets(block)


class LateBinding:
    """Let unused slots move out of the way."""

    def bind(self, slots: "Slots", slot: Slot, block: Block) -> bool:
        """Give the slot the block and move unused slots that overlap."""
        if slot.block == block:
            return True
        if slots.pinned.meets(block) or slots.shielded.meets(block):
            return False
        return slots.move(slot, block)

    def clear(self, slots: "Slots", block: Block) -> bool:
        """Move the slots that overlap the block."""
        return not slots.loose.meets(block) or slots.move(None, block)


class Slots:
    """Hold all slots of a cell and keep their blocks disjoint.

    ``fixed`` has the accelerators that no slot may move to: those of slots in
    use, of jobs that must not be preempted, and of unusable workers.
    ``loose`` has those of unused slots.
    """

    def __init__(self, layout: Layout, binding: Binding) -> None:
        """Start without guarantees."""
        self.layout = layout
        self.binding = binding
        self.by_team: dict[str, list[Slot]] = {}
        self.slot_of: dict[str, Slot] = {}
        self.shields: dict[str, Block] = {}
        self.unshielded: list[Block] = []
        self.unbound: dict[Slot, None] = {}
        self.loose_on: dict[int, list[Slot]] = {}
        self.pinned = Masks(layout.workers)
        self.shielded = Masks(layout.workers)
        self.closed = Masks(layout.workers)
        self.fixed = Masks(layout.workers)
        self.loose = Masks(layout.workers)
        self.room = BlockIndex(layout, self._room_score)

    def all(self) -> Iterable[Slot]:
        """Yield all slots in a fixed order."""
        for team in sorted(self.by_team):
            yield from self.by_team[team]

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that have no block."""
        unmet = (Guarantee(slot.team, slot.shape) for slot in self.unbound)
        return tuple(sorted(unmet))

    def fitting(self, team: str, shape: Shape) -> list[Slot]:
        """Return a team's slots that a shape fits, the smallest first."""
        slots = self.by_team.get(team, [])
        return [slot for slot in slots if holds(slot.shape, shape)]

    def replace(self, guarantees: Iterable[Guarantee]) -> list[str]:
        """Hold other guarantees; return the jobs that lost theirs.

        Slots that stay keep their block and their jobs.
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
                lost += self._drop(slot)
        self.by_team = fresh
        self.settle()
        return lost

    def use(self, slot: Slot, block: Block, job: str) -> bool:
        """Let a job run in a slot at a block; return whether that is safe."""
        if slot.jobs:
            if slot.block != block:
                return False
        elif not self.binding.bind(self, slot, block):
            return False
        if not slot.jobs:
            self._list_loose(slot, block, False)
            self._mark(self.pinned, block, True)
        slot.jobs.add(job)
        self.slot_of[job] = slot
        return True

    def leave(self, job: str) -> None:
        """End a job's use of its slot, if it has one."""
        slot = self.slot_of.pop(job, None)
        if slot is None:
            return
        slot.jobs.discard(job)
        if slot.jobs or slot.block is None:
            return
        self._mark(self.pinned, slot.block, False)
        self._list_loose(slot, slot.block, True)
        self.settle([slot])

    def shield(self, job: str, block: Block) -> bool:
        """Keep slots off a job's block if they all fit elsewhere."""
        if self.fixed.meets(block):
            return False
        self.shields[job] = block
        self._mark(self.shielded, block, True)
        if self.binding.clear(self, block):
            return True
        del self.shields[job]
        self._mark(self.shielded, block, False)
        return False

    def unshield(self, job: str) -> None:
        """Let slots use a job's block again."""
        block = self.shields.pop(job, None)
        if block is not None:
            self._mark(self.shielded, block, False)
            self.settle()

    def take_unshielded(self) -> list[Block]:
        """Return the blocks that lost their shield to a guarantee."""
        blocks, self.unshielded = self.unshielded, []
        return blocks

    def set_closed(self, block: Block, closed: bool) -> None:
        """Say whether slots may lie on a worker's accelerators."""
        self._mark(self.closed, block, closed)
        self.settle(self._loose_in(block))

    def move(self, slot: Slot | None, block: Block) -> bool:
        """Clear a block of unused slots and give it to one of them.

        Nothing changes and False is returned if a slot would lose its block.
        """
        movers = [s for s in self._loose_in(block) if s is not slot]
        before = [(s, s.block) for s in movers]
        own = slot.block if slot else None
        for mover in movers:
            self._bind(mover, None)
        if slot is not None:
            self._bind(slot, block)
        if self._place(movers) or self._repack_others(slot, before):
            return True
        if slot is not None:
            self._bind(slot, own)
        for mover, old_block in before:
            self._bind(mover, old_block)
        return False

    def settle(self, suspects: Iterable[Slot] = ()) -> None:
        """Find blocks for unused slots that have none.

        Of the suspects, those whose block can't be kept get another as well.
        """
        for slot in list(suspects):
            if slot.block is not None and self.fixed.meets(slot.block):
                self._bind(slot, None)
        if not self.unbound:
            return
        if self._place(list(self.unbound)) or self._repack(self._unused()):
            return
        if self.shields:
            self._drop_shields()

    def _repack_others(
        self, slot: Slot | None, before: list[tuple[Slot, Block | None]]
    ) -> bool:
        """Bind all unused slots but one anew, or none of them."""
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

    def _drop_shields(self) -> None:
        """Let guarantees go before jobs that should not be preempted."""
        unmet = len(self.unmet())
        shields = dict(self.shields)
        for job in sorted(shields):
            self._mark(self.shielded, self.shields.pop(job), False)
        self._repack(self._unused())
        if len(self.unmet()) < unmet:
            self.unshielded += shields.values()
            return
        self.shields = shields
        for block in shields.values():
            self._mark(self.shielded, block, True)
        self._repack(self._unused())

    def _unused(self) -> list[Slot]:
        return [slot for slot in self.all() if not slot.jobs]

    def _loose_in(self, block: Block) -> list[Slot]:
        """Return the unused slots whose block meets a block."""
        found: dict[Slot, None] = {}
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            found.update(dict.fromkeys(self.loose_on.get(worker, ())))
        return [s for s in found if s.block and overlap(s.block, block)]

    def _place(self, slots: list[Slot]) -> bool:
        """Bind slots one by one; return whether all found a block."""
        for number in largest_first([slot.shape for slot in slots]):
            found = self.room.find(slots[number].shape)
            if found is None:
                return False
            self._bind(slots[number], found.block)
        return True

    def _repack(self, slots: list[Slot]) -> bool:
        """Bind all unused slots anew; return whether all found a block."""
        for slot in slots:
            self._bind(slot, None)
        taken = copy_of(self.fixed)
        for slot in self._unused():
            if slot.block is not None:
                taken.add(slot.block)
        blocks = pack(self.layout, taken, [slot.shape for slot in slots])
        for slot, block in zip(slots, blocks, strict=True):
            self._bind(slot, block)
        return None not in blocks

    def _bind(self, slot: Slot, block: Block | None) -> None:
        if slot.block is not None:
            self._list_loose(slot, slot.block, False)
        slot.block = block
        if block is None:
            self.unbound[slot] = None
            return
        self.unbound.pop(slot, None)
        self._list_loose(slot, block, True)

    def _drop(self, slot: Slot) -> list[str]:
        self.unbound.pop(slot, None)
        if slot.jobs and slot.block is not None:
            self._mark(self.pinned, slot.block, False)
        elif slot.block is not None:
            self._list_loose(slot, slot.block, False)
        for job in slot.jobs:
            del self.slot_of[job]
        return sorted(slot.jobs)

    def _list_loose(self, slot: Slot, block: Block, present: bool) -> None:
        """Count a slot as unused on a block, or no longer."""
        for worker in range(
            block.first_worker, block.first_worker + block.hosts
        ):
            if present:
                self.loose_on.setdefault(worker, []).append(slot)
            else:
                self.loose_on[worker].remove(slot)
        self._mark(self.loose, block, present)

    def _mark(self, masks: Masks, block: Block, present: bool) -> None:
        if present:
            masks.add(block)
        else:
            masks.remove(block)
        self._refresh_fixed(block)
        self.room.changed(block)

    def _refresh_fixed(self, block: Block) -> None:
        first = block.first_worker
        for worker in range(first, first + block.hosts):
            self.fixed.bits[worker] = (
                self.pinned.bits[worker]
                | self.shielded.bits[worker]
                | self.closed.bits[worker]
            )

    def _room_score(self, block: Block) -> Score | None:
        if self.fixed.meets(block) or self.loose.meets(block):
            return None
        first = block.first_worker
        end = first + block.hosts
        taken = sum(
            (fixed | loose).bit_count()
            for fixed, loose in zip(
                self.fixed.bits[first:end],
                self.loose.bits[first:end],
                strict=True,
            )
        )
        return (-taken, first, block.first_accelerator)


def take_matching(slots: list[Slot], shape: Shape) -> Slot | None:
    """Take out a slot of exactly this shape, one in use if there is one."""
    matching = [slot for slot in slots if slot.shape == shape]
    if not matching:
        return None
    slot = max(matching, key=lambda slot: len(slot.jobs))
    slots.remove(slot)
    return slot

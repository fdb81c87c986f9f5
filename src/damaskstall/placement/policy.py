"""Implement the Policy interface for one cell."""

from damaskstall.placement.cell_state import (
    DEFAULT_OPTIONS,
    CellState,
    Options,
)
from damaskstall.placement.decider import Decider
from damaskstall.placement.explain import (
    NOT_QUEUED,
    TAKEN_OUT,
    explain_blocked,
    explain_pending_claim,
    explain_reserved,
)
from damaskstall.placement.guarantee_slots import Binding, LateBinding
from damaskstall.placement.model import (
    Block,
    Cell,
    Decision,
    Explanation,
    Guarantee,
    Policy,
    QueuedJob,
    RunningJob,
)


def make_policy(cell: Cell) -> Policy:
    """Return the default policy for a cell."""
    return CellPolicy(cell, LateBinding())


class CellPolicy:
    """The scheduling policy of one cell, for one binding strategy."""

    def __init__(
        self, cell: Cell, binding: Binding, options: Options = DEFAULT_OPTIONS
    ) -> None:
        """Create a policy for an empty, open cell without guarantees."""
        self.state = CellState(cell, binding, options)
        self.decider = Decider(self.state)

    def set_guarantees(self, guarantees: tuple[Guarantee, ...]) -> None:
        """Replace the guarantees of the cell."""
        for name in self.state.slots.replace(guarantees):
            claim = self.state.claims.get(name)
            if claim is not None:
                self.state.cancel_claim(claim)
            else:
                self.state.downgrade(name)
        self.state.mark_all_stale()

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the teams' fair-share weights; absent teams have 1."""
        self.state.weights = dict(weights)
        self.state.changed = True

    def set_usable(self, worker: int, usable: bool) -> None:
        """Set whether new jobs may be placed on a worker."""
        block = Block(worker, 1, 0, self.state.layout.accelerators[worker])
        self.state.slots.set_closed(block, not usable)
        self.state.allocations.invalidate(block)
        if not usable:
            self.state.cancel_closed_claims()
        self.state.mark_all_stale()

    def set_open(self, is_open: bool) -> None:
        """Set whether jobs may start in the cell (False: taken out)."""
        self.state.is_open = is_open
        if not is_open:
            self.state.reservations.cancel()
            for claim in list(self.state.claims.values()):
                self.state.cancel_claim(claim)
        self.state.mark_all_stale()

    def add(self, job: QueuedJob) -> None:
        """Add a job to the queue unless it is claimed or running already."""
        self.state.add(job)

    def withdraw(self, name: str) -> None:
        """Remove a queued job and its claim; do nothing for other jobs."""
        claim = self.state.claims.get(name)
        if claim is not None:
            self.state.cancel_claim(claim)
        if self.state.queue.remove(name) is None:
            return
        self.state.preemptions.pop(name, None)
        self.state.drop_reservation_of(name)
        self.state.changed = True

    def adopt(self, running: RunningJob) -> None:
        """Record a job that already runs, after a change of holder.

        The job counts as borrowing if no guarantee of its team in this cell
        has room for it.
        """
        job = running.job
        guaranteed = running.guaranteed and self.state.adopt_slot(running)
        running = running._replace(guaranteed=guaranteed)
        if not guaranteed and not job.restartable:
            self.state.slots.shield(job.name, running.block)
        self.state.allocate(running)

    def release(self, name: str, now_s: float, ran_s: float | None) -> None:
        """Free a job's block.

        ``ran_s`` is the run time in seconds of a finished job, from which
        later estimates are corrected; None if the job did not finish.
        """
        running = self.state.allocations.release(name)
        if running is None:
            return
        job = running.job
        if ran_s is not None:
            self.state.estimates.record_run_time(
                job.team, job.estimate_s, ran_s
            )
            self.state.preemptions.pop(name, None)
        if running.guaranteed:
            self.state.slots.leave(name)
            self.state.guarantee_stale.add(job.team)
        else:
            self.state.slots.unshield(name)
            self.state.count_borrowed(job, -1)
        self.state.changed = True
        if self.state.slots.unbound or self.state.slots.unshielded:
            self.state.mark_all_stale()

    def running(self) -> tuple[RunningJob, ...]:
        """Return the jobs that hold blocks."""
        return tuple(self.state.allocations.running.values())

    def unmet(self) -> tuple[Guarantee, ...]:
        """Return the guarantees that have no block on usable workers."""
        return self.state.slots.unmet()

    def decide(self, now_s: float) -> tuple[Decision, ...]:
        """Return the decisions to carry out, which the policy has recorded."""
        return self.decider.decide(now_s)

    def explain(self, name: str, now_s: float) -> Explanation:
        """Explain why a queued job waits."""
        claim = self.state.claims.get(name)
        if claim is not None:
            return explain_pending_claim(self.state.allocations, claim.block)
        job = self.state.queue.get(name)
        if job is None:
            return NOT_QUEUED
        if not self.state.is_open:
            return TAKEN_OUT
        current = self.state.reservations.current
        if current is not None and current.job.name == name:
            return explain_reserved(current, now_s)
        return explain_blocked(self.state.allocations, job, now_s)

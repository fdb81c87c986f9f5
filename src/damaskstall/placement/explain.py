"""Explain why a job waits and what would let it start."""

from damaskstall.placement.allocations import Allocations
from damaskstall.placement.model import Block, Explanation, QueuedJob, Shape
from damaskstall.placement.reservations import Reservation

NAMES_SHOWN = 4

NOT_QUEUED = Explanation("The job is not queued in this cell.", "Nothing.")
TAKEN_OUT = Explanation(
    "The failure domain is taken out.",
    "The failure domain is restored, or another cell claims the job.",
)
NEXT_DECISION = Explanation(
    "The job was queued after the last decision.", "The next decision."
)


def explain_pending_claim(
    allocations: Allocations, block: Block
) -> Explanation:
    """Explain why a job waits whose claimed block is being cleared."""
    leaving = [running.job.name for running in allocations.jobs_in(block)]
    return Explanation(
        f"A block is claimed for it, but {len(leaving)} jobs still hold it.",
        f"The end of {name_list(leaving)}.",
    )


def explain_reserved(reservation: Reservation, now_s: float) -> Explanation:
    """Explain why the job with the reservation waits."""
    wait_s = max(0.0, reservation.empty_s - now_s)
    return Explanation(
        "A block is reserved for it, and other jobs still hold the block.",
        f"The end of those jobs, expected in {wait_s:.0f} s by corrected "
        "estimates.",
    )


def explain_blocked(
    allocations: Allocations, job: QueuedJob, now_s: float
) -> Explanation:
    """Explain why no block was found for a job."""
    shape = shape_text(job.shape)
    if not allocations.layout.has_block(job.shape):
        return Explanation(
            f"No block of {shape} accelerators exists in this cell.",
            "A cell with larger racks or workers.",
        )
    soonest = allocations.drain.find(job.shape)
    if soonest is None:
        return Explanation(
            f"No block of {shape} accelerators has only usable workers.",
            "Workers that become usable again, such as after a quarantine.",
        )
    if allocations.free.find(job.shape) is not None:
        return explain_free_block(job)
    wait_s = max(0.0, soonest.score[0] - now_s)
    holders = [
        running.job.name for running in allocations.jobs_in(soonest.block)
    ]
    return Explanation(
        f"No block of {shape} adjacent accelerators is free, and no "
        "guarantee of its team provides one.",
        f"The end of {name_list(holders)}, expected in {wait_s:.0f} s by "
        "corrected estimates, or a guarantee that fits.",
    )


def explain_free_block(job: QueuedJob) -> Explanation:
    """Explain why a job waits although a block of its shape is free."""
    if job.restartable:
        return NEXT_DECISION
    return Explanation(
        "The free blocks are needed for guarantees. The job may start only "
        "once, so it must not be preempted and cannot borrow them.",
        "A free block that no guarantee needs, or a guarantee that fits.",
    )


def name_list(names: list[str]) -> str:
    """Return the first names as text and the number of further names."""
    shown = ", ".join(names[:NAMES_SHOWN])
    more = len(names) - NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


def shape_text(shape: Shape) -> str:
    """Return a shape as text: hosts x accelerators per host."""
    return f"{shape.hosts} x {shape.accelerators_per_host}"

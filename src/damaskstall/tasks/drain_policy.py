"""Decide which runs to move off a draining worker before it leaves.

A draining worker is removed some seconds later, or within 2 s when the notice
is short. The runs that it still has then lose their work.
"""

from damaskstall.tasks.model import Step
from damaskstall.tasks.progress import Unit
from damaskstall.tasks.stalls import is_confirmed_running, remaining_run_s

# A run is stopped only if it would exceed the remaining time by more than this
# factor, since its pace so far predicts its end only roughly.
PACE_ERROR_RATIO = 1.25
# A run that writes checkpoints continues until it has to be stopped. The
# worker's entry is read up to 0.5 s late (worker_list.POLL_INTERVAL_S), it is
# evaluated at most 0.5 s later (holder.DECISION_INTERVAL_S), and the platform
# guarantees that a stop takes at most 0.2 s.
CHECKPOINT_MARGIN_S = 1.2


def should_move(
    unit: Unit, step: Step, leaves_in_s: float, now_s: float
) -> bool:
    """Return whether to stop a unit now so that it resumes elsewhere.

    ``leaves_in_s`` is the time until the first of its workers leaves.
    """
    if step.endless or unit.stopping or unit.done:
        return False
    if step.checkpoints:
        return leaves_in_s <= CHECKPOINT_MARGIN_S and is_confirmed_running(
            unit
        )
    remaining_s = remaining_run_s(unit, now_s)
    return (
        remaining_s is not None
        and remaining_s > leaves_in_s * PACE_ERROR_RATIO
    )

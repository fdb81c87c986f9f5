"""Tell runs that stand still from runs that are merely long."""

from damaskstall.tasks.progress import Unit

# The worker's percent is read about once a second; a run that loses this
# much without a step of one percent stands still.
STALL_S = 2.5
# A run of hours moves by a percent in minutes.
STALL_SHARE = 0.05


def is_stalled(unit: Unit, expected_s: float, now_s: float) -> bool:
    """Return whether a unit's run has stood still for too long.

    Counts from its last progress, or from when it was seen at work.
    """
    if unit.stopping or not unit.members:
        return False
    if not all(member.confirmed for member in unit.members):
        return False
    return now_s - unit.percent_s > STALL_S + STALL_SHARE * expected_s

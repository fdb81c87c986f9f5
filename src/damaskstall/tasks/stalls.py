"""Judge runs by how fast their percent grows.

The load this answers: tasks on some workers stand still, while the platform
lists the workers as ready.
"""

from damaskstall.tasks.progress import Unit

# The worker's percent is read twice a second; a run that loses this much
# without a step of one percent stands still.
STALL_S = 2.5
# A run of hours moves by a percent in minutes.
STALL_SHARE = 0.05
WHOLE_PERCENT = 100.0


def is_at_work(unit: Unit) -> bool:
    """Return whether all members of a unit's run were seen at work."""
    if unit.stopping or not unit.members:
        return False
    return all(member.confirmed for member in unit.members)


def is_stalled(unit: Unit, expected_s: float, now_s: float) -> bool:
    """Return whether a unit's run has stood still for too long."""
    if not is_at_work(unit):
        return False
    return now_s - unit.percent_s > STALL_S + STALL_SHARE * expected_s


def left_of_run_s(unit: Unit, now_s: float) -> float | None:
    """Return how long a unit's run will still take at its pace.

    None where that cannot be told yet.
    """
    grown = unit.percent - unit.first_percent
    looked_s = unit.percent_s - unit.seen_s
    if grown <= 0 or looked_s <= 0:
        return None
    left_s = (WHOLE_PERCENT - unit.percent) * looked_s / grown
    return max(0.0, left_s - (now_s - unit.percent_s))

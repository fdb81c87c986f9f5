"""Detect stalled runs, and predict when runs end, from reported progress.

Tasks on some workers stall although the platform lists the workers as ready.
"""

from damaskstall.tasks.pace import LAST_PERCENT
from damaskstall.tasks.progress import Member, Unit

# The worker's progress is read twice a second; a run whose percentage does not
# change for this long is stalled.
STALL_S = 2.5
# Share of the expected run time that is added to STALL_S, since a run of hours
# needs minutes for one percent.
STALL_SHARE = 0.05


def is_confirmed_running(unit: Unit) -> bool:
    """Return whether the workers have reported all members as running."""
    if unit.stopping or not unit.members:
        return False
    return all(member.confirmed for member in unit.members)


def stalled_members(
    unit: Unit, expected_s: float, now_s: float
) -> list[Member]:
    """Return the members of a unit's run that are stalled.

    A member that has finished its own work waits for the rest of its gang,
    and is not stalled unless all members are in that state.
    """
    if not is_confirmed_running(unit):
        return []
    limit_s = STALL_S + STALL_SHARE * expected_s
    stalled = [
        member
        for member in unit.members
        if not member.ended and now_s - member.pace.changed_s > limit_s
    ]
    finished = [m for m in stalled if m.pace.percent >= LAST_PERCENT]
    return (
        stalled
        if len(finished) == len(unit.members)
        else [member for member in stalled if member not in finished]
    )


def remaining_run_s(unit: Unit, now_s: float) -> float | None:
    """Return the remaining time of a unit's run at its pace, in seconds.

    Return None while the pace of a member is unknown.
    """
    remaining_s = [member.pace.remaining_s(now_s) for member in unit.members]
    known = [each for each in remaining_s if each is not None]
    return max(known) if known and len(known) == len(remaining_s) else None

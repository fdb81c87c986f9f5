"""Judge whether the crashes of workers tell against the tasks they ran.

Workers also crash for reasons of their own. A crash under a task is doubtful
if the lists of its worker had lacked the run since its start was sent. A
doubtful crash counts for isolation as any other does, but more of them are
needed to give a task up. However doubtful its crashes are, a task is started
at most twice after the third one.
"""

from collections.abc import Set

# A task is given up once this many workers have crashed under it, the last
# ones while it ran apart from others (see isolation.py).
CRASH_LIMIT = 4
# A task under which this many workers have crashed is started at most
# STARTS_AFTER_CRASHES times more if that crashes its worker again.
BUDGET_CRASHES = 3
STARTS_AFTER_CRASHES = 2


def is_given_up(crashed: Set[int], doubtful: Set[int]) -> bool:
    """Return whether a task is not to be started again.

    ``crashed`` has the numbers of the runs under which a worker crashed, and
    ``doubtful`` those of them that tell little.
    """
    if len(crashed - doubtful) >= CRASH_LIMIT:
        return True
    if len(crashed) <= BUDGET_CRASHES:
        return False
    in_order = sorted(crashed)
    further_starts = in_order[-1] - in_order[BUDGET_CRASHES - 1]
    return further_starts >= STARTS_AFTER_CRASHES

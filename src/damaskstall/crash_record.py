"""Keep what became of the workers on which a task was started.

A gang has a record for each of its tasks. A worker that crashes under a run of
the gang counts only against the tasks that it ran, while each run of the gang
starts all of them.
"""

from collections.abc import Iterable

# A task is given up once this many workers have crashed under it, the last
# ones while it ran apart from others (see isolation.py).
CRASH_LIMIT = 4
# A task under which this many workers have crashed is started at most
# STARTS_AFTER_CRASHES times more if that crashes its worker again.
BUDGET_CRASHES = 3
STARTS_AFTER_CRASHES = 2
# A run this long breaks the row: earlier crashes do not count any more, so
# that a task which runs for weeks is not given up for unrelated crashes.
CRASH_MEMORY_S = 600.0
# So does a run that outlives all earlier ones under which a worker crashed by
# this factor, if it lasts this long: a task that crashes its workers does so
# after a similar time.
OUTLIVED_FACTOR = 4.0
OUTLIVED_S = 10.0
# How long a task is held back, and one of an endless step. Both leave time to
# start it before it counts as waiting, after 3 s, or 3 s that begin 6 s after
# its last run.
HOLD_S = 2.0
ENDLESS_HOLD_S = 6.0


class CrashRecord:
    """The numbers of one task's runs by what became of their workers.

    ``crashed`` has the runs under which the worker crashed, ``doubtful`` those
    of them whose worker may well have crashed anyway, and ``unobserved`` other
    runs that may have crashed their worker unnoticed. ``harmless`` has those
    of the other runs that followed the third of these. A run that was never
    started is in none of them. ``longest_s`` is the duration of the longest
    run under which the worker crashed, None if it is not known.
    """

    __slots__ = ("crashed", "doubtful", "unobserved", "harmless", "longest_s")

    def __init__(
        self,
        crashed: Iterable[int] = (),
        doubtful: Iterable[int] = (),
        unobserved: Iterable[int] = (),
        harmless: Iterable[int] = (),
        longest_s: float | None = 0.0,
    ) -> None:
        """Create a record of the given runs."""
        self.crashed = set(crashed)
        self.doubtful = set(doubtful)
        self.unobserved = set(unobserved)
        self.harmless = set(harmless)
        self.longest_s = longest_s

    def record_crash(self, run: int, ran_s: float, doubtful: bool) -> bool:
        """Record that the worker crashed under a run that lasted ``ran_s``.

        Return whether that was unknown.
        """
        if run in self.crashed:
            return False
        if breaks_row(self.longest_s, ran_s):
            self.crashed.clear()
            self.doubtful.clear()
            self.unobserved.clear()
            self.harmless.clear()
            self.longest_s = 0.0
        self.unobserved.discard(run)
        self.harmless.discard(run)
        self.crashed.add(run)
        if doubtful:
            self.doubtful.add(run)
        self.longest_s = max(self.longest_s or 0.0, ran_s)
        return True

    def record_unobserved(self, run: int) -> None:
        """Record that the worker may have crashed under a run that ended."""
        if run not in self.crashed and not self.has_no_start_left():
            self.unobserved.add(run)

    def record_harmless(self, run: int) -> None:
        """Record that the worker was up after a run that had started."""
        if run in self.crashed or self.third_loss() is None:
            return
        if not self.has_no_start_left():
            self.harmless.add(run)

    def merge(self, other: "CrashRecord") -> None:
        """Add what another holder knew; judgements of this one remain."""
        if other.crashed - self.crashed:
            if self.longest_s is None or other.longest_s is None:
                self.longest_s = None
            else:
                self.longest_s = max(self.longest_s, other.longest_s)
        self.doubtful |= other.doubtful - self.crashed
        self.crashed |= other.crashed
        self.harmless = (self.harmless | other.harmless) - self.crashed
        self.unobserved |= other.unobserved
        self.unobserved -= self.crashed | self.harmless

    def third_loss(self) -> int | None:
        """Return the third run that may have crashed its worker, if any."""
        lost = sorted(self.crashed | self.unobserved)
        if len(lost) < BUDGET_CRASHES:
            return None
        return lost[BUDGET_CRASHES - 1]

    def has_no_start_left(self) -> bool:
        """Return whether the budget of starts is used up, if it is deadly."""
        third = self.third_loss()
        if third is None:
            return False
        started = self.crashed | self.unobserved | self.harmless
        further = sum(run > third for run in started)
        return further >= STARTS_AFTER_CRASHES

    def is_given_up(self) -> bool:
        """Return whether the task is not to be started again."""
        if len(self.crashed) < BUDGET_CRASHES:
            return False
        if len(self.crashed - self.doubtful) >= CRASH_LIMIT:
            return True
        return self.has_no_start_left()

    def hold_s(self, endless: bool) -> float:
        """Return how long the task is held back once its worker is lost."""
        if len(self.crashed) < BUDGET_CRASHES:
            return 0.0
        if max(self.crashed) not in self.doubtful:
            return 0.0
        return ENDLESS_HOLD_S if endless else HOLD_S


def breaks_row(longest_s: float | None, ran_s: float) -> bool:
    """Return whether a run lasted so long that earlier crashes don't count.

    ``longest_s`` is the longest of the runs under which they happened.
    """
    if ran_s >= CRASH_MEMORY_S:
        return True
    if longest_s is None:
        return False
    return ran_s >= max(OUTLIVED_S, OUTLIVED_FACTOR * longest_s)

"""Keep until when starts without an answer may be carried out."""

from damaskstall.tasks.expected_runs import ALWAYS_S
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.worker_lease import LATE_COMMAND_LIMIT_S


class RunStarts:
    """The starts of one run that may still be carried out.

    ``limits_s`` has for each start without an answer the time until which it
    may be carried out, the earliest first. ``listed`` states that the worker
    has listed the run, and ``answered`` that a start was answered; an
    ``adopted`` run has an unknown number of starts.
    """

    __slots__ = ("limits_s", "listed", "answered", "adopted")

    def __init__(self) -> None:
        """Begin without any start."""
        self.limits_s: list[float] = []
        self.listed = False
        self.answered = False
        self.adopted = False

    def until_s(self) -> float:
        """Return until when one of the starts may be carried out.

        A listed run of which no start was answered was begun by one that had
        no answer, which is then no longer open.
        """
        is_known = self.listed and not self.answered and not self.adopted
        limits_s = self.limits_s[1:] if is_known else self.limits_s
        return max(limits_s, default=ALWAYS_S)


class LateStarts:
    """The starts that a worker, or its next incarnation, may carry out late.

    A start stays open after its run has ended. ``until_s`` is the time until
    which the worker may carry out any start, of this or of an earlier holder.
    Until then it is called, so that it accepts a higher token soon after it
    has started again.
    """

    def __init__(self, now_s: float) -> None:
        """Expect only the starts of an earlier holder."""
        self.until_s = now_s + LATE_COMMAND_LIMIT_S
        self._by_run: dict[RunKey, RunStarts] = {}

    def adopt(self, key: RunKey, now_s: float) -> None:
        """Note that an earlier holder may have sent starts of a run."""
        starts = self._starts_of(key, now_s)
        starts.adopted = True
        starts.limits_s.append(self.until_s)

    def begin(self, key: RunKey, now_s: float) -> None:
        """Note that a start of a run is being sent."""
        self._starts_of(key, now_s).limits_s.append(self.until_s)

    def leave_open(self, key: RunKey, now_s: float) -> None:
        """Note that the start that was sent last had no answer."""
        starts = self._starts_of(key, now_s)
        del starts.limits_s[-1:]
        starts.limits_s.append(self.until_s)

    def settle(self, key: RunKey, answered: bool) -> None:
        """Note that the start that was sent last is carried out or refused.

        ``answered`` states that the run exists or has existed.
        """
        starts = self._by_run.get(key)
        if starts is not None:
            del starts.limits_s[-1:]
            starts.answered = starts.answered or answered

    def record_listed(self, key: RunKey) -> None:
        """Note that the worker lists a run or its end."""
        starts = self._by_run.get(key)
        if starts is not None:
            starts.listed = True

    def until(self, key: RunKey) -> float:
        """Return until when a start of a run may be carried out."""
        starts = self._by_run.get(key)
        return ALWAYS_S if starts is None else starts.until_s()

    def are_open(self, now_s: float) -> bool:
        """Return whether any start sent or adopted may be carried out."""
        return any(each.until_s() > now_s for each in self._by_run.values())

    def clear(self) -> None:
        """Forget all starts, since none can be carried out any more.

        The worker will not start again, or its next incarnation refuses them.
        """
        self._by_run.clear()

    def _starts_of(self, key: RunKey, now_s: float) -> RunStarts:
        """Return the starts of a run; forget those that are too old."""
        self.until_s = now_s + LATE_COMMAND_LIMIT_S
        self._by_run = {
            other: starts
            for other, starts in self._by_run.items()
            if other == key or max(starts.limits_s, default=now_s) > now_s
        }
        return self._by_run.setdefault(key, RunStarts())

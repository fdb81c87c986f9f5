"""Keep until when starts without an answer may be carried out."""

from damaskstall.tasks.expected_runs import ALWAYS_S
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.worker_lease import LATE_COMMAND_LIMIT_S


class LateStarts:
    """The starts that a worker, or its next incarnation, may carry out late.

    ``until_s`` is the time until which the worker may carry out any start, of
    this or of an earlier holder. Until then it is called, so that it accepts
    a higher token soon after it has started again.
    """

    def __init__(self, now_s: float) -> None:
        """Expect only the starts of an earlier holder."""
        self.until_s = now_s + LATE_COMMAND_LIMIT_S
        self._until_s_by_run: dict[RunKey, float] = {}

    def expect(self, key: RunKey, now_s: float) -> None:
        """Note that a start of a run may be carried out late from now on."""
        self.until_s = now_s + LATE_COMMAND_LIMIT_S
        self._until_s_by_run[key] = self.until_s

    def until(self, key: RunKey) -> float:
        """Return until when a start of a run may be carried out."""
        return self._until_s_by_run.get(key, ALWAYS_S)

    def reset(self, key: RunKey, until_s: float) -> None:
        """Return to an earlier time, since the newest start was answered."""
        self._until_s_by_run[key] = until_s

    def remove(self, key: RunKey) -> None:
        """Forget a run."""
        self._until_s_by_run.pop(key, None)

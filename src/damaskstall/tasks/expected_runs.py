"""Keep the runs that a worker's lists must contain, and find missing ones."""

from collections.abc import Set
from typing import NamedTuple

from damaskstall.tasks.model import RunKey
from damaskstall.tasks.ports import (
    CRASH_EVIDENCE,
    MISSING,
    NOT_LAUNCHED,
    UNSEEN,
)
from damaskstall.tasks.progress import ENDED_LAPSED, ENDED_NOT_STARTED

ALWAYS_S = float("-inf")
# A start that its worker carries out at once is in the lists of a renewal that
# is sent this much later.
LISTED_AFTER_S = 0.25


class ExpectedRun(NamedTuple):
    """Time after which a worker's lists must contain a launched run.

    ``not_after_s`` is on the worker's clock. If lists of a later time lack
    the run, it has ended or never started, with this outcome and evidence.
    """

    not_after_s: float
    outcome: str
    evidence: str = MISSING


class ExpectedRuns:
    """The runs that a worker's lists must contain."""

    def __init__(self) -> None:
        """Expect no run."""
        self._runs: dict[RunKey, ExpectedRun] = {}
        self._sent: set[RunKey] = set()
        # When the newest start of each unconfirmed run was sent.
        self._sent_s: dict[RunKey, float] = {}
        # The unconfirmed runs of which a start had no answer.
        self._unanswered: set[RunKey] = set()
        # The unconfirmed runs that lists have lacked since.
        self._unseen: set[RunKey] = set()

    def __contains__(self, key: RunKey) -> bool:
        """Return whether a run is expected."""
        return key in self._runs

    def add_adopted(self, key: RunKey) -> None:
        """Expect a run that an earlier holder may have started."""
        self._sent.add(key)
        self._runs[key] = ExpectedRun(ALWAYS_S, ENDED_NOT_STARTED)

    def add_launched(self, key: RunKey, not_after_s: float) -> None:
        """Expect a run whose start may be carried out until a time."""
        self._runs[key] = ExpectedRun(not_after_s, ENDED_NOT_STARTED)

    def confirm(self, key: RunKey, clock_s: float) -> bool:
        """Record that an expected run existed at a time on the clock.

        Return whether a start of it had no answer and this is the first time.
        """
        if key not in self._runs:
            return False
        was_unanswered = key in self._unanswered
        self._sent.add(key)
        self._sent_s.pop(key, None)
        self._unanswered.discard(key)
        self._unseen.discard(key)
        self._runs[key] = ExpectedRun(clock_s, ENDED_LAPSED)
        return was_unanswered

    def mark_sent(self, key: RunKey, now_s: float) -> bool:
        """Record that a start is being sent; return whether one was before."""
        was_sent = key in self._sent
        self._sent.add(key)
        self._sent_s[key] = now_s
        self._unseen.discard(key)
        return was_sent

    def mark_unanswered(self, key: RunKey) -> None:
        """Record that a start of a run had no answer."""
        self._unanswered.add(key)

    def record_lists(self, listed: Set[RunKey], requested_s: float) -> None:
        """Note which runs the lists of a renewal sent at a time lack."""
        for key, sent_s in self._sent_s.items():
            if key not in listed and requested_s >= sent_s + LISTED_AFTER_S:
                self._unseen.add(key)

    def is_unseen(self, key: RunKey) -> bool:
        """Return whether lists have lacked a run since its start was sent."""
        return key in self._unseen

    def loss_evidence(self, key: RunKey, evidence: str) -> str:
        """Return why a run has ended, given why its worker's runs have."""
        if evidence in CRASH_EVIDENCE and self.is_unseen(key):
            return UNSEEN
        return evidence

    def mark_not_sent(self, key: RunKey) -> None:
        """Record that no start of a run has reached its worker."""
        self._sent.discard(key)

    def may_have_started(self, key: RunKey) -> bool:
        """Return whether a start of a run may have reached its worker."""
        return key in self._sent

    def expect_in_next_lists(self, evidence: str) -> None:
        """Expect all runs in the first lists of another incarnation.

        ``evidence`` tells why the runs that these lists lack have ended.
        """
        for key in self._runs:
            if key in self._sent:
                found = self.loss_evidence(key, evidence)
                run = ExpectedRun(ALWAYS_S, ENDED_LAPSED, found)
            else:
                run = ExpectedRun(ALWAYS_S, ENDED_NOT_STARTED, NOT_LAUNCHED)
            self._runs[key] = run

    def remove(self, key: RunKey) -> None:
        """Stop expecting a run."""
        self._sent.discard(key)
        self._sent_s.pop(key, None)
        self._unanswered.discard(key)
        self._unseen.discard(key)
        self._runs.pop(key, None)

    def missing(
        self, clock_s: float, listed: set[RunKey]
    ) -> list[tuple[RunKey, ExpectedRun]]:
        """Return the runs that lists of a time lack."""
        return [
            (key, run)
            for key, run in self._runs.items()
            if key not in listed and clock_s > run.not_after_s
        ]

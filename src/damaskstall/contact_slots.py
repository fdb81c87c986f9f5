"""Limit how many workers that do not answer are called at once.

Each such call opens a connection. If all silent workers were called at once,
connecting to them could take this process longer than they have to answer.
"""

from trio import CapacityLimiter

# For workers that have 0.25 s to answer.
FIRST_CONTACT_LIMIT = 32
REPEATED_CONTACT_LIMIT = 16


class ContactSlots:
    """Slots for calls to silent workers, shared by all sessions of a process.

    Workers that have failed to answer repeatedly have slots of their own, so
    that many of them do not delay the others. A slow processor must be able
    to open connections in all slots well within the time in which a worker
    has to answer.
    """

    def __init__(
        self,
        first_limit: int = FIRST_CONTACT_LIMIT,
        repeated_limit: int = REPEATED_CONTACT_LIMIT,
    ) -> None:
        """Start with all slots free."""
        self._first = CapacityLimiter(first_limit)
        self._repeated = CapacityLimiter(repeated_limit)

    def of(self, silent_calls: int) -> CapacityLimiter:
        """Return the slots for a worker, by its latest unanswered calls."""
        return self._first if silent_calls <= 1 else self._repeated

"""Limit how many workers that do not answer are called at once.

Each such call opens a connection. If all silent workers were called at once,
connecting to them could take this process longer than they have to answer.
"""

from trio import CapacityLimiter

# A slow processor must be able to open so many connections well within the
# time in which a worker has to answer.
FIRST_CONTACT_LIMIT = 32
REPEATED_CONTACT_LIMIT = 16


class ContactSlots:
    """Slots for calls to silent workers, shared by all sessions of a holder.

    Workers that have failed to answer repeatedly have slots of their own, so
    that many of them do not delay the others.
    """

    def __init__(self) -> None:
        """Start with all slots free."""
        self._first = CapacityLimiter(FIRST_CONTACT_LIMIT)
        self._repeated = CapacityLimiter(REPEATED_CONTACT_LIMIT)

    def of(self, silent_calls: int) -> CapacityLimiter:
        """Return the slots for a worker, by its latest unanswered calls."""
        return self._first if silent_calls <= 1 else self._repeated

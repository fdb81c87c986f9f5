"""Read a worker's clock, and compute when the lease of its runs has expired.

A lease counts on the worker's clock. A worker that does not answer kills its
runs when its lease expires, which has certainly happened some time later on
this process's clock.
"""

from trio import Event, move_on_after

# A worker's clock may be 2% slow, and a worker that resumes after a suspension
# kills expired runs up to 300 ms late.
CLOCK_RATE_LIMIT = 1.02
EXPIRY_MARGIN_S = 0.4
# An earlier holder renews the leases of runs until its own lease expires, and
# for this long afterwards during an outage of the store.
OUTAGE_RENEWAL_LIMIT_S = 10.0
# The maximum time after which a command is carried out.
LATE_COMMAND_LIMIT_S = 12.0
# The clock of a worker that was idle is read again before a start if the last
# reading is older than this, which limits the error of its estimate to 0.2 s.
# A start waits for the reading no longer than an answer takes. A reading that
# may be late by more than that is repeated before a start as well.
CLOCK_AGE_LIMIT_S = 10.0
CLOCK_WAIT_S = 0.25


def lease_limit_s(lease_s: float) -> float:
    """Return the longest time that a worker's lease lasts on this clock."""
    return lease_s * CLOCK_RATE_LIMIT + EXPIRY_MARGIN_S


class WorkerLease:
    """The clock of a worker as last read, and the lease of its runs.

    ``clock_s`` and ``until_s`` are on the worker's clock, all other times on
    that of this process. ``until_s`` is the end of the lease that the next
    renewal requests, and ``expires_s`` the time after which the lease of a
    silent worker has certainly expired.
    """

    def __init__(self, lease_s: float, now_s: float) -> None:
        """Start without a reading of the clock.

        Until the worker answers, an earlier holder's last renewal applies.
        """
        self.lease_s = lease_s
        self.clock_known = False
        # Whether the next renewal is to be answered at once.
        self.clock_wanted = False
        self.clock_s = 0.0
        self.until_s = 0.0
        self.expires_s = (
            now_s + OUTAGE_RENEWAL_LIMIT_S + lease_limit_s(lease_s)
        )
        # When the renewal whose answer is read next has to be answered, and by
        # how much the last reading may be late.
        self._answer_due_s = now_s
        self._late_s = 0.0
        self._read_s = 0.0
        self._read = Event()

    def worker_clock_s(self, now_s: float) -> float:
        """Return the estimated present time on the worker's clock."""
        return self.clock_s + (now_s - self._read_s)

    def clock_is_recent(self, now_s: float) -> bool:
        """Return whether the worker's clock was read a short time ago."""
        return now_s - self._read_s < CLOCK_AGE_LIMIT_S

    def clock_is_precise(self, now_s: float) -> bool:
        """Return whether the estimate is good enough for a start's window."""
        return self.clock_is_recent(now_s) and self._late_s <= CLOCK_WAIT_S

    def record_sent(self, now_s: float, wait_s: float) -> None:
        """Record that a renewal is sent, whose answer waits for ``wait_s``."""
        self._answer_due_s = now_s + wait_s

    async def wait_clock_read(self) -> None:
        """Wait a moment for the next reading of the worker's clock."""
        with move_on_after(CLOCK_WAIT_S):
            await self._read.wait()

    def record_clock(self, clock_s: float, now_s: float) -> None:
        """Record a reading of the worker's clock.

        The first answer also shows that nobody else renews the lease.
        """
        self.clock_s = clock_s
        self._late_s = now_s - self._answer_due_s
        self.clock_wanted = False
        self._read_s = now_s
        self._read.set()
        self._read = Event()
        if not self.clock_known:
            self.expires_s = now_s + lease_limit_s(self.lease_s)
        self.clock_known = True

    def renew(self, now_s: float) -> None:
        """Request a whole lease from now on with the next renewal."""
        self.until_s = self.worker_clock_s(now_s) + self.lease_s

    def extend_expiry(self, until_s: float) -> None:
        """Extend the expiry by the deadline of a command about to be sent.

        The deadline of a start extends the lease of everything on the worker
        too.
        """
        if not self.clock_known:
            return
        left_s = until_s - self.clock_s
        expires_s = self._read_s + left_s * CLOCK_RATE_LIMIT + EXPIRY_MARGIN_S
        self.expires_s = max(self.expires_s, expires_s)

    def begin_incarnation(self, now_s: float) -> None:
        """Begin anew with another incarnation, whose clock is not known.

        Until it answers, late commands to the earlier one may extend its
        lease.
        """
        self.clock_known = False
        self.until_s = 0.0
        limit_s = lease_limit_s(self.lease_s)
        self.expires_s = now_s + LATE_COMMAND_LIMIT_S + limit_s

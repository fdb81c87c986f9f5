"""Convert the scheduler's times to a worker's clock."""

from typing import NamedTuple


class WorkerClock(NamedTuple):
    """One reading of a worker's clock.

    The worker read ``worker_s`` at some time between the scheduler's
    ``sent_s`` and ``received_s``.
    """

    worker_s: float
    sent_s: float
    received_s: float

    def not_after_s(self, deadline_s: float) -> float:
        """Return a time on the worker's clock that is not after a deadline.

        The worker may have read its clock as late as ``received_s``, so only
        the time after that may be added. Counting from ``sent_s`` could let a
        command take effect after the deadline, by up to the duration of the
        exchange.
        """
        return self.worker_s + (deadline_s - self.received_s)

"""Decide from failed tasks which workers to quarantine.

A job that fails everywhere is no evidence against a worker. So a failure
counts against a worker only if the job has not failed on another one, and a
worker is quarantined only while jobs succeed elsewhere. The share of
quarantined workers in a cell is limited, so that many faulty jobs cannot make
the whole cell unusable.

After each failure that counts, the worker is suspect: it gets no new jobs for
``SUSPECT_S``, within the same limit.
"""

from typing import NamedTuple

QUARANTINE_FAILURES = 3
SUSPECT_S = 30.0
QUARANTINED_SHARE_LIMIT = 0.25
DOUBLINGS_LIMIT = 5


class Quarantine(NamedTuple):
    """A worker's quarantine, as stored in its row.

    The worker gets no new jobs until ``until_unix_s``. ``times`` counts
    successive quarantines.
    """

    worker: str
    until_unix_s: float
    times: int
    reason: str


class WorkerHealth:
    """The failures, suspicions and quarantines of one cell's workers.

    ``failed_jobs`` contains the jobs that count against each worker, and
    ``failed_on`` the workers on which each job failed.
    """

    def __init__(self, workers: int, probation_s: float) -> None:
        """Track a number of workers.

        ``probation_s`` is the duration of a worker's first quarantine.
        """
        self.quarantined_limit = max(1, int(workers * QUARANTINED_SHARE_LIMIT))
        self.probation_s = probation_s
        self.failed_jobs: dict[str, set[str]] = {}
        self.failed_on: dict[str, set[str]] = {}
        self.successes = 0
        # The count of successes when a worker's first failure was counted.
        self.successes_at_first_failure: dict[str, int] = {}
        self.suspect_until_s: dict[str, float] = {}
        self.quarantines: dict[str, Quarantine] = {}

    def load(self, quarantine: Quarantine) -> None:
        """Record a quarantine that an earlier holder wrote."""
        self.quarantines[quarantine.worker] = quarantine

    def usable(self, worker: str, now_s: float, now_unix_s: float) -> bool:
        """Return whether new jobs may be placed on a worker."""
        if now_s < self.suspect_until_s.get(worker, 0.0):
            return False
        quarantine = self.quarantines.get(worker)
        return quarantine is None or now_unix_s >= quarantine.until_unix_s

    def record_success(self, job: str, workers: tuple[str, ...]) -> None:
        """Record that a job succeeded on its workers, which clears them."""
        self.successes += 1
        for worker in workers:
            self.failed_jobs.pop(worker, None)
            self.successes_at_first_failure.pop(worker, None)
            self.quarantines.pop(worker, None)
        self.failed_on.pop(job, None)

    def forget_job(self, job: str) -> None:
        """Remove the record of the workers on which a job failed."""
        self.failed_on.pop(job, None)

    def record_failure(
        self, job: str, worker: str, now_s: float, now_unix_s: float
    ) -> Quarantine | None:
        """Record a failure; return the resulting quarantine, or None."""
        failing_workers = self.failed_on.setdefault(job, set())
        failing_workers.add(worker)
        if len(failing_workers) > 1:
            # The job fails on several workers: none of them is at fault.
            for failing_worker in failing_workers:
                self.failed_jobs.get(failing_worker, set()).discard(job)
            return None
        self.failed_jobs.setdefault(worker, set()).add(job)
        self.successes_at_first_failure.setdefault(worker, self.successes)
        if not self._may_quarantine(worker, now_s, now_unix_s):
            return None
        self.suspect_until_s[worker] = now_s + SUSPECT_S
        return self._quarantine(worker, now_unix_s)

    def _quarantine(self, worker: str, now_unix_s: float) -> Quarantine | None:
        earlier = self.quarantines.get(worker)
        failures = len(self.failed_jobs[worker])
        # After an earlier quarantine one more failure is enough.
        if failures < (QUARANTINE_FAILURES if earlier is None else 1):
            return None
        if self.successes <= self.successes_at_first_failure[worker]:
            return None
        times = earlier.times + 1 if earlier else 1
        quarantine_s = self.probation_s * 2 ** min(times - 1, DOUBLINGS_LIMIT)
        quarantine = Quarantine(
            worker,
            now_unix_s + quarantine_s,
            times,
            f"{failures} different jobs failed only on this worker.",
        )
        self.quarantines[worker] = quarantine
        self.failed_jobs.pop(worker)
        return quarantine

    def _may_quarantine(
        self, worker: str, now_s: float, now_unix_s: float
    ) -> bool:
        quarantined = {
            name
            for name, until_s in self.suspect_until_s.items()
            if now_s < until_s
        }
        for name, quarantine in self.quarantines.items():
            if now_unix_s < quarantine.until_unix_s:
                quarantined.add(name)
        return (
            worker in quarantined or len(quarantined) < self.quarantined_limit
        )

"""Detect unhealthy workers from the outcomes of their runs.

A few workers refuse starts, fail all runs or stall them, although the platform
lists them as ready. A job has few attempts, so a faulty worker must be
distinguished from a faulty job early: a job that fails on several workers is
itself faulty, and a worker on which several jobs fail in a row is faulty.
"""

from damaskstall.tasks.model import AcceptedJob

# Backoff after a refused start, so that a gang is not placed there again at
# once; each further refusal in a row doubles it.
REFUSAL_BACKOFF_S = 0.5
# Two jobs in a row fail by their own fault in only one of some hundreds of
# pairs. A worker that fails all runs is tried again after its backoff.
FAILED_JOBS_LIMIT = 2
FAILURE_BACKOFF_S = 5.0
BACKOFF_LIMIT_S = 20.0
# Slowness is temporary. While a worker gets no runs its pace is unknown, so it
# is used again after this time and judged by its next runs.
SLOW_BACKOFF_S = 4.0
# A worker in backoff that is used as a last resort gets at most one unit in
# this time, so that a faulty one fails few runs. Each that fails doubles it.
PROBE_INTERVAL_S = 1.0
PROBE_INTERVAL_LIMIT_S = 4.0


class Backoff:
    """Backoff that doubles if a run fails that was started after its end."""

    def __init__(self, first_s: float) -> None:
        """Create a backoff that has not begun and at first lasts a time."""
        self.until_s = float("-inf")
        self.probe_interval_s = PROBE_INTERVAL_S
        self._first_s = first_s
        self._length_s = 0.0
        self._since_s = float("-inf")

    def record(self, started_s: float, now_s: float) -> bool:
        """Record a failed run, by its start; return if the backoff begins.

        A run that was started before the backoff began shows nothing new. If
        one that was started during it fails, it begins again.
        """
        if started_s < self._since_s:
            return False
        if started_s >= self.until_s:
            self._length_s *= 2.0
        else:
            self.probe_interval_s = min(
                2.0 * self.probe_interval_s, PROBE_INTERVAL_LIMIT_S
            )
        length_s = max(self._first_s, self._length_s)
        self._length_s = min(length_s, BACKOFF_LIMIT_S)
        self._since_s = now_s
        self.until_s = now_s + self._length_s
        return True

    def reset(self, started_s: float) -> None:
        """Let the next backoff be the first again, after a good run.

        A run that was started during the backoff also ends it.
        """
        self._length_s = 0.0
        self.probe_interval_s = PROBE_INTERVAL_S
        if started_s >= self._since_s:
            self.until_s = float("-inf")


class WorkerHealth:
    """Health of one worker, from the outcomes of its recent runs."""

    def __init__(self) -> None:
        """Create the state of a healthy worker."""
        self._refused = Backoff(REFUSAL_BACKOFF_S)
        self._unhealthy = Backoff(FAILURE_BACKOFF_S)
        self._slow_until_s = float("-inf")
        self._failed_jobs: set[str] = set()
        self._placed_s = float("-inf")

    @property
    def backoff_until_s(self) -> float:
        """Return when the worker's backoff ends or has ended."""
        return max(
            self._refused.until_s, self._unhealthy.until_s, self._slow_until_s
        )

    def may_start(self, now_s: float) -> bool:
        """Return whether the worker may get new runs."""
        return now_s >= self.backoff_until_s

    def may_probe(self, now_s: float) -> bool:
        """Return whether the worker may get a unit although in backoff."""
        interval_s = max(
            self._refused.probe_interval_s, self._unhealthy.probe_interval_s
        )
        return now_s >= self._placed_s + interval_s

    def may_get_overdue(self, now_s: float) -> bool:
        """Return whether overdue units may go to the worker in backoff.

        One that refuses starts only gets them once per PROBE_INTERVAL_S,
        since the next ones would be refused as well.
        """
        if now_s >= self._refused.until_s:
            return True
        return now_s >= self._placed_s + PROBE_INTERVAL_S

    def record_placed(self, now_s: float) -> None:
        """Record that a run was placed on the worker."""
        self._placed_s = now_s

    def record_started(self, started_s: float) -> None:
        """Record that the worker accepted a start, launched at a time."""
        self._refused.reset(started_s)

    def record_refused(self, started_s: float, now_s: float) -> None:
        """Record that the worker refused without a reason to start a run.

        ``started_s`` is when its launch began.
        """
        self._refused.record(started_s, now_s)

    def record_done(self, started_s: float) -> None:
        """Record that a run succeeded on the worker."""
        self._failed_jobs.clear()
        self._unhealthy.reset(started_s)

    def record_failed(
        self, job: AcceptedJob, started_s: float, now_s: float
    ) -> bool:
        """Record a failed run; return whether a backoff begins."""
        self._failed_jobs.add(job.job_id)
        if len(self._failed_jobs) < FAILED_JOBS_LIMIT:
            return False
        return self.record_unhealthy(started_s, now_s)

    def record_slow(self, now_s: float) -> None:
        """Record that all runs on the worker are slow."""
        self._slow_until_s = now_s + SLOW_BACKOFF_S

    def record_unhealthy(self, started_s: float, now_s: float) -> bool:
        """Record that the worker fails or stalls a run.

        Return whether a backoff begins.
        """
        return self._unhealthy.record(started_s, now_s)

"""Count what the scheduling of tasks does."""

from damaskstall.metrics import Counter, Gauge, Histogram

NO_LABELS: dict[str, str] = {}
# Bounds of latencies in seconds, from a calm store's call to a client's limit.
BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 3.0, float("inf"))

SUBMISSIONS = Counter(
    "damaskstall_task_submissions", "Jobs handed in, by the answer's status."
)
UNITS_STARTED = Counter(
    "damaskstall_units_started", "Runs of units that were ordered."
)
RUNS_ENDED = Counter(
    "damaskstall_runs_ended", "Runs of tasks that ended, by how they did."
)
HOLDS_LEASE = Gauge(
    "damaskstall_holds_lease", "Whether this process decides (1) or not (0)."
)
REQUEST_SECONDS = Histogram(
    "damaskstall_task_request_seconds",
    "Time from a client's request to its answer, by method and status.",
    buckets=BUCKETS_S,
)
STORE_SECONDS = Histogram(
    "damaskstall_store_seconds",
    "Time of an answered call of the platform's store, by call.",
    buckets=BUCKETS_S,
)

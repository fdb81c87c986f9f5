"""Count what the scheduling of tasks does."""

from damaskstall.metrics import Counter, Gauge

NO_LABELS: dict[str, str] = {}

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

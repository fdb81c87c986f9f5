"""Define the metrics of task scheduling."""

from damaskstall.metrics import Counter, Gauge, Histogram

NO_LABELS: dict[str, str] = {}
# Upper bounds of the latency buckets in seconds: from a call to an idle store
# up to a client's deadline.
BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 3.0, float("inf"))
# The bounds of the present deployments are 2 to 5 s.
AGE_BUCKETS_S = (1.0, 2.0, 2.5, 3.0, 4.0, 5.0, 10.0, float("inf"))

SUBMISSIONS = Counter(
    "damaskstall_task_submissions", "Jobs submitted, by the answer's status."
)
UNITS_STARTED = Counter(
    "damaskstall_units_started", "Runs of units that were placed on workers."
)
RUNS_ENDED = Counter(
    "damaskstall_runs_ended",
    "Runs of tasks that ended, by how they ended and the evidence for it.",
)
WORKERS_LOST = Counter(
    "damaskstall_workers_lost",
    "Workers that ended with runs on them, by the evidence for their end.",
)
ENDS_UNMATCHED = Counter(
    "damaskstall_ends_unmatched",
    "Listed ends of runs that are not the present run, by how they ended.",
)
RUNS_OVERDUE = Gauge(
    "damaskstall_runs_overdue",
    "Runs that were neither reported by their worker nor ended for a while.",
)
HOLDS_LEASE = Gauge(
    "damaskstall_holds_lease",
    "Whether this process holds the lease (1) or not (0).",
)
CONFIGURATION_VERSION = Gauge(
    "damaskstall_task_configuration_version",
    "Version of the configuration that this process answers by.",
)
CONFIGURATION_AGE_SECONDS = Gauge(
    "damaskstall_task_configuration_age_seconds",
    "Seconds since that configuration was last confirmed; -1: never.",
)
ANSWER_AGE_SECONDS = Histogram(
    "damaskstall_task_answer_age_seconds",
    "Age of the configuration by which a request was decided.",
    buckets=AGE_BUCKETS_S,
)
REQUEST_SECONDS = Histogram(
    "damaskstall_task_request_seconds",
    "Time from a client's request to its answer, by method and status.",
    buckets=BUCKETS_S,
)
STORE_SECONDS = Histogram(
    "damaskstall_store_seconds",
    "Latency of an answered call to the platform's store, by call.",
    buckets=BUCKETS_S,
)
ROUND_SECONDS = Histogram(
    "damaskstall_round_seconds",
    "Duration of a scheduling round of the holder.",
    buckets=BUCKETS_S,
)
HOLDER_DELAY_SECONDS = Gauge(
    "damaskstall_holder_delay_seconds",
    "Greatest recent delay of the holder's event loop.",
)
LONGEST_WAIT_SECONDS = Gauge(
    "damaskstall_longest_wait_seconds",
    "Longest present wait of a unit that could start.",
)
WORKERS_BY_FLAG = Gauge(
    "damaskstall_workers_by_flag",
    "Workers by what keeps new runs from them; none if they are usable.",
)

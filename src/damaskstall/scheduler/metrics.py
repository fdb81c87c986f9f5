"""Define the metrics of the scheduler."""

from damaskstall.metrics import Counter, Gauge

NO_LABELS: dict[str, str] = {}

CELLS_HELD = Gauge(
    "damaskstall_scheduler_cells_held", "Cell leases that this process holds."
)
JOBS_QUEUED = Gauge(
    "damaskstall_scheduler_jobs_queued",
    "Queued jobs that this process follows.",
)
ATTEMPTS = Gauge(
    "damaskstall_scheduler_attempts", "Gang attempts in progress, by cell."
)
STARTS = Counter(
    "damaskstall_scheduler_starts_total",
    "Gangs whose workers all accepted the run command.",
)
PREEMPTIONS = Counter(
    "damaskstall_scheduler_preemptions_total",
    "Gangs preempted for other jobs.",
)
JOBS_ENDED = Counter(
    "damaskstall_scheduler_jobs_ended_total", "Jobs that ended, by state."
)
EXCHANGES = Counter(
    "damaskstall_scheduler_exchanges_total",
    "Exchanges with workers, by outcome.",
)
EXCHANGE_BYTES = Counter(
    "damaskstall_scheduler_exchange_bytes_total",
    "Bytes of exchange bodies, by direction.",
)
TABLE_COMMITS = Counter(
    "damaskstall_scheduler_table_commits_total",
    "Commits sent to the table, by outcome.",
)

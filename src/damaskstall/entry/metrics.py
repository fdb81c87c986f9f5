"""Define the metrics of callers' requests.

The operators' page explains each of them.
"""

from damaskstall.metrics import Counter, Gauge, Histogram

LATENCY_BUCKETS_S = (0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0, float("inf"))

REQUESTS = Counter(
    "damaskstall_requests_total",
    "Callers' requests, by service, team, outcome and status.",
)
REQUEST_SECONDS = Histogram(
    "damaskstall_request_seconds",
    "Time from a request's arrival to the start of its response, by service.",
    buckets=LATENCY_BUCKETS_S,
)
RETRIES = Counter(
    "damaskstall_request_retries_total",
    "Attempts after a request's first one, by service.",
)
ATTEMPT_FAILURES = Counter(
    "damaskstall_attempt_failures_total",
    "Attempts without a successful response, by service, server and cause.",
)
EJECTIONS = Counter(
    "damaskstall_server_ejections_total",
    "Ejections of backend servers, by service, server and reason.",
)
IN_FLIGHT = Gauge(
    "damaskstall_requests_in_flight",
    "Requests that this entry is handling.",
)
QUEUED = Gauge(
    "damaskstall_requests_queued",
    "Requests that wait for a slot of a backend server, by service.",
)
SERVERS = Gauge(
    "damaskstall_servers_usable",
    "Backend servers that can get new requests, by service.",
)
CLAIM_WRITES_PENDING = Gauge(
    "damaskstall_claim_writes_pending",
    "Writes of outcomes and deletions of claims that are still to be retried.",
)

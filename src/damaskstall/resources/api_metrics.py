"""Define the metrics of the resource interface."""

from damaskstall.metrics import Counter, Gauge

API_REQUESTS = Counter(
    "damaskstall_api_requests_total",
    "Resource interface requests by handler and HTTP status.",
)
API_WATCHERS = Gauge(
    "damaskstall_api_watchers", "Open watch streams, by resource kind."
)
TAKE_OUTS_HELD = Gauge(
    "damaskstall_take_outs_held",
    "Drains in force in memory that the table has not stored yet.",
)

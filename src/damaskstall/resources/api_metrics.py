"""Count what operators ask for."""

from damaskstall.metrics import Counter, Gauge

API_REQUESTS = Counter(
    "damaskstall_api_requests_total",
    "Operators' requests by handler and status.",
)
API_WATCHERS = Gauge(
    "damaskstall_api_watchers", "Streams of changes that are open, by kind."
)
TAKE_OUTS_HELD = Gauge(
    "damaskstall_take_outs_held",
    "Drains obeyed in memory that the table has not kept yet.",
)

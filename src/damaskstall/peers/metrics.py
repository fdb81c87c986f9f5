"""Define the metrics of the configuration and the peers."""

from damaskstall.metrics import Counter, Gauge
from damaskstall.peers.config_store import NEVER, ConfigStore

CONFIG_REVISION = Gauge(
    "damaskstall_config_revision", "Configuration revision of this process."
)
CONFIG_AGE_S = Gauge(
    "damaskstall_config_age_seconds",
    "Seconds since the configuration was last known current; -1: never.",
)
PENDING_TAKE_OUTS = Gauge(
    "damaskstall_pending_take_outs",
    "Drains and restores in force in memory that the table has not stored.",
)
CONNECTED_PEERS = Gauge(
    "damaskstall_connected_peers",
    "Connected peers, which answered their last exchange.",
)
TABLE_POLL_FAILURES = Counter(
    "damaskstall_table_poll_failures_total",
    "Polls of the table that failed.",
)
REFUSED_FRAMES = Counter(
    "damaskstall_refused_frames_total",
    "Connections closed for a malformed or unexpected frame.",
)

NO_LABELS: dict[str, str] = {}


def update_metrics(store: ConfigStore, connected: int, now_s: float) -> None:
    """Set the gauges from a process's configuration and its peers."""
    age_s = -1.0 if store.confirmed_s == NEVER else store.age_s(now_s)
    CONFIG_REVISION.set(NO_LABELS, store.revision)
    CONFIG_AGE_S.set(NO_LABELS, age_s)
    PENDING_TAKE_OUTS.set(NO_LABELS, len(store.pending))
    CONNECTED_PEERS.set(NO_LABELS, connected)

"""Name what keeps new runs from a worker, as metrics and the log show it."""

NOT_FENCED = "not_fenced"
UNREACHABLE = "unreachable"
CLOSED = "closed"
UNKNOWN_RUNS = "unknown_runs"
NOT_LISTED = "not_listed"
OUTDATED_ENTRY = "outdated_entry"
LEAVING = "leaving"
IN_BACKOFF = "in_backoff"
EVACUATED = "evacuated"
ALL_FLAGS = (
    NOT_FENCED,
    UNREACHABLE,
    CLOSED,
    UNKNOWN_RUNS,
    NOT_LISTED,
    OUTDATED_ENTRY,
    LEAVING,
    IN_BACKOFF,
    EVACUATED,
)

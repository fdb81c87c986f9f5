"""Define the log events of the resource interface."""

from damaskstall.events import Event

RESOURCE_WRITTEN = Event(
    2000,
    "INFO",
    "resource_written",
    "An operator's change was stored in the table.",
)
RESOURCE_CONFLICT = Event(
    2001,
    "INFO",
    "resource_conflict",
    "An operator's change lost a race, or the resource's state forbids it.",
)
RESOURCE_REFUSED = Event(
    2002, "INFO", "resource_refused", "A declaration was refused as invalid."
)
TABLE_DOWN = Event(
    2003,
    "WARNING",
    "resource_table_down",
    "The table did not accept a call; the operator was asked to retry.",
)
OUTCOME_UNKNOWN = Event(
    2004,
    "WARNING",
    "resource_outcome_unknown",
    "The outcome of a write could not be determined, as the response reports.",
)
DRAIN_HELD = Event(
    2005,
    "WARNING",
    "drain_held",
    "A drain is in force in memory; the table has not stored it yet.",
)
DRAIN_KEPT = Event(
    2006, "INFO", "drain_kept", "The table has stored a pending drain."
)
DRAIN_SUPERSEDED = Event(
    2007,
    "WARNING",
    "drain_superseded",
    "A pending drain was dropped because the table holds a later decision.",
)
JOBS_CANCELLED = Event(
    2008,
    "INFO",
    "jobs_cancelled",
    "One call of a bulk cancellation was processed.",
)
WATCH_POLL_FAILED = Event(
    2009,
    "WARNING",
    "watch_poll_failed",
    "A poll of the changes for watchers failed.",
)
WATCHER_CUT = Event(
    2010,
    "INFO",
    "watcher_cut",
    "A watcher fell too far behind, and its stream was ended.",
)

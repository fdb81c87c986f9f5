"""List the log events of the resource interface."""

from damaskstall.events import Event

RESOURCE_WRITTEN = Event(
    2000, "INFO", "resource_written", "An operator's change was kept."
)
RESOURCE_CONFLICT = Event(
    2001,
    "INFO",
    "resource_conflict",
    "An operator's change lost a race or met a state that forbids it.",
)
RESOURCE_REFUSED = Event(
    2002, "INFO", "resource_refused", "A declaration was not valid."
)
TABLE_DOWN = Event(
    2003,
    "WARNING",
    "resource_table_down",
    "The table did not take a call; the operator was told to come back.",
)
OUTCOME_UNKNOWN = Event(
    2004,
    "WARNING",
    "resource_outcome_unknown",
    "A write could not be settled; the operator was told so.",
)
DRAIN_HELD = Event(
    2005,
    "WARNING",
    "drain_held",
    "A drain is obeyed in memory; the table has not kept it yet.",
)
DRAIN_KEPT = Event(
    2006, "INFO", "drain_kept", "The table has kept a held drain."
)
DRAIN_SUPERSEDED = Event(
    2007,
    "WARNING",
    "drain_superseded",
    "A held drain was dropped, since a later decision is in the table.",
)
JOBS_CANCELLED = Event(
    2008, "INFO", "jobs_cancelled", "One step of a cancellation was written."
)
WATCH_POLL_FAILED = Event(
    2009, "WARNING", "watch_poll_failed", "The watch could not read changes."
)
WATCHER_CUT = Event(
    2010, "INFO", "watcher_cut", "A watcher fell behind and was ended."
)

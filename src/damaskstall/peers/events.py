"""Define the log events of the exchange between peer processes."""

from damaskstall.events import Event

CONFIG_CHANGED = Event(
    6000,
    "INFO",
    "config_changed",
    "This process applied a newer configuration.",
)
TABLE_POLL_FAILED = Event(
    6001,
    "WARNING",
    "table_poll_failed",
    "A poll of the table failed; peers still provide configuration updates.",
)
TABLE_POLL_RECOVERED = Event(
    6002, "INFO", "table_poll_recovered", "The table answers polls again."
)
CONFIG_RESCANNED = Event(
    6003,
    "INFO",
    "config_rescanned",
    "All configuration rows were read from the table.",
)
STALE_TABLE_ANSWER = Event(
    6004,
    "ERROR",
    "stale_table_answer",
    "The table answered with a revision lower than the one this process has; "
    "the answer was ignored.",
)
PEER_CONNECTED = Event(
    6010,
    "INFO",
    "peer_connected",
    "An exchange over a new connection to a peer succeeded.",
)
PEER_LOST = Event(
    6011,
    "WARNING",
    "peer_lost",
    "A peer is unreachable, or its connection failed.",
)
PEER_FRAME_REFUSED = Event(
    6012,
    "WARNING",
    "peer_frame_refused",
    "A malformed or unexpected frame was received; its connection was closed.",
)
PEER_DELTA_REFUSED = Event(
    6013,
    "WARNING",
    "peer_delta_refused",
    "A peer's answer did not continue this process's configuration and was "
    "ignored.",
)
TAKE_OUT_HELD = Event(
    6020,
    "WARNING",
    "take_out_held",
    "A drain or restore that the table has not stored yet is in force here.",
)
TAKE_OUT_ENDED = Event(
    6021,
    "INFO",
    "take_out_ended",
    "A drain or restore held in memory has been stored in the table, or a "
    "later change superseded it.",
)
REGISTRATION_FAILED = Event(
    6030,
    "WARNING",
    "registration_failed",
    "The platform's instance list could not be read or updated.",
)

EVENTS = (
    CONFIG_CHANGED,
    TABLE_POLL_FAILED,
    TABLE_POLL_RECOVERED,
    CONFIG_RESCANNED,
    STALE_TABLE_ANSWER,
    PEER_CONNECTED,
    PEER_LOST,
    PEER_FRAME_REFUSED,
    PEER_DELTA_REFUSED,
    TAKE_OUT_HELD,
    TAKE_OUT_ENDED,
    REGISTRATION_FAILED,
)

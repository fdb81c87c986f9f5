"""List the log events of the exchange between processes."""

from damaskstall.events import Event

CONFIG_CHANGED = Event(
    6000,
    "INFO",
    "config_changed",
    "A newer configuration is in force in this process.",
)
TABLE_POLL_FAILED = Event(
    6001,
    "WARNING",
    "table_poll_failed",
    "The table did not answer a poll; peers keep the configuration fresh.",
)
TABLE_POLL_RECOVERED = Event(
    6002, "INFO", "table_poll_recovered", "The table answers polls again."
)
CONFIG_RESCANNED = Event(
    6003,
    "INFO",
    "config_rescanned",
    "All configuration rows were read anew from the table.",
)
STALE_TABLE_ANSWER = Event(
    6004,
    "ERROR",
    "stale_table_answer",
    "The table answered at a lower revision than this process has seen; the "
    "answer was ignored.",
)
PEER_CONNECTED = Event(
    6010, "INFO", "peer_connected", "A connection to a peer works."
)
PEER_LOST = Event(
    6011,
    "WARNING",
    "peer_lost",
    "A peer cannot be reached, or its connection broke.",
)
PEER_FRAME_REFUSED = Event(
    6012,
    "WARNING",
    "peer_frame_refused",
    "Something sent a malformed or unexpected frame; its connection was "
    "closed.",
)
PEER_DELTA_REFUSED = Event(
    6013,
    "WARNING",
    "peer_delta_refused",
    "A peer's answer did not continue what this process knows and was "
    "ignored.",
)
TAKE_OUT_HELD = Event(
    6020,
    "WARNING",
    "take_out_held",
    "A take-out that the table has not kept yet is obeyed here.",
)
TAKE_OUT_ENDED = Event(
    6021,
    "INFO",
    "take_out_ended",
    "A take-out held in memory is in the table, or a later change overtook "
    "it.",
)
REGISTRATION_FAILED = Event(
    6030,
    "WARNING",
    "registration_failed",
    "The platform's instance list did not take this process's report.",
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

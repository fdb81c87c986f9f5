"""Catalogue the log events of requests."""

from damaskstall.events import Event

SERVER_LEAVING = Event(
    3000,
    "INFO",
    "server_leaving",
    "A backend server said that it leaves; it gets no new work.",
)
SERVER_RETURNED = Event(
    3001,
    "INFO",
    "server_returned",
    "A backend server that was leaving takes work again.",
)
SERVER_EJECTED = Event(
    3002,
    "WARNING",
    "server_ejected",
    "A slow or failing backend server is out of use for a while.",
)
ANSWER_MISMATCHED = Event(
    3003,
    "ERROR",
    "answer_mismatched",
    "A backend server answered another request than the one sent.",
)
OUTCOME_UNKNOWN = Event(
    3004,
    "WARNING",
    "outcome_unknown",
    "A request was sent, and its caller was told that it may have run.",
)
CLAIM_NOT_RELEASED = Event(
    3005,
    "WARNING",
    "claim_not_released",
    "The claim of a request that did not run could not be removed yet.",
)
OUTCOME_NOT_RECORDED = Event(
    3006,
    "WARNING",
    "outcome_not_recorded",
    "The outcome of a keyed request could not be written; repeats are told "
    "that it is unknown.",
)
CLAIMS_SWEPT = Event(
    3007, "DEBUG", "claims_swept", "Expired claims were removed."
)
SWEEP_FAILED = Event(
    3008,
    "DEBUG",
    "sweep_failed",
    "Expired claims could not be removed; the next sweep tries again.",
)
LIST_UNAVAILABLE = Event(
    3009,
    "DEBUG",
    "list_unavailable",
    "The platform's instance list could not be read.",
)
DRAIN_STARTED = Event(
    3010,
    "INFO",
    "drain_started",
    "New requests are refused as not run; those in flight finish.",
)
DRAIN_ENDED = Event(
    3011, "INFO", "drain_ended", "No request is in flight any more."
)

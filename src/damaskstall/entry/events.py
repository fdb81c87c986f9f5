"""Define the log events of requests."""

from damaskstall.events import Event

SERVER_LEAVING = Event(
    3000,
    "INFO",
    "server_leaving",
    "A backend server reported that it is leaving; it gets no new requests.",
)
SERVER_RETURNED = Event(
    3001,
    "INFO",
    "server_returned",
    "A backend server that was leaving accepts requests again.",
)
SERVER_EJECTED = Event(
    3002,
    "WARNING",
    "server_ejected",
    "A slow or failing backend server gets no requests for a limited time.",
)
ANSWER_MISMATCHED = Event(
    3003,
    "ERROR",
    "answer_mismatched",
    "A backend server's response names another request than the one sent.",
)
OUTCOME_UNKNOWN = Event(
    3004,
    "WARNING",
    "outcome_unknown",
    "A request was sent and got no complete response; its caller was "
    "informed that it may have run.",
)
CLAIM_NOT_RELEASED = Event(
    3005,
    "WARNING",
    "claim_not_released",
    "The claim of a request that did not run could not be deleted; it is "
    "deleted when it expires.",
)
OUTCOME_NOT_RECORDED = Event(
    3006,
    "WARNING",
    "outcome_not_recorded",
    "The outcome of a request with an idempotency key could not be written; "
    "repeats get the outcome unknown.",
)
CLAIMS_SWEPT = Event(
    3007, "DEBUG", "claims_swept", "Expired claims were deleted."
)
SWEEP_FAILED = Event(
    3008,
    "DEBUG",
    "sweep_failed",
    "Expired claims could not be deleted; the next sweep tries again.",
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
    "The entry refuses new requests as not run and finishes those in flight.",
)
DRAIN_ENDED = Event(
    3011,
    "INFO",
    "drain_ended",
    "The wait for the requests in flight has ended; the field in_flight "
    "counts those left at the drain timeout.",
)

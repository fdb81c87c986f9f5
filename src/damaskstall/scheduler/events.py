"""Define the log events of the scheduler."""

from damaskstall.events import Event

LEASE_ACQUIRED = Event(
    4000,
    "INFO",
    "lease_acquired",
    "This process acquired the lease of a cell.",
)
LEASE_LOST = Event(
    4001,
    "WARNING",
    "lease_lost",
    "Another process acquired the lease of a cell.",
)
LEASE_RELEASED = Event(
    4002,
    "INFO",
    "lease_released",
    "This process released the lease of a cell.",
)
LEASE_NOT_RENEWED = Event(
    4003,
    "WARNING",
    "lease_not_renewed",
    "The table accepted no renewal: no decisions once the lease expires.",
)
CELL_FAILED = Event(
    4004,
    "ERROR",
    "cell_failed",
    "An unexpected error ended the work on a cell; its lease is released.",
)
WORKER_FENCED = Event(
    4010, "INFO", "worker_fenced", "A worker has accepted this holder's epoch."
)
WORKER_UNREACHABLE = Event(
    4011,
    "WARNING",
    "worker_unreachable",
    "A worker did not answer: no new jobs are placed on it.",
)
WORKER_QUARANTINED = Event(
    4012,
    "WARNING",
    "worker_quarantined",
    "Different jobs failed on a worker: no new jobs while quarantined.",
)
WORKER_REFUSED = Event(
    4013,
    "WARNING",
    "worker_refused",
    "A worker refused an exchange or a command.",
)
JOB_PLACED = Event(
    4020, "INFO", "job_placed", "A job was placed on accelerators."
)
JOB_STARTED = Event(
    4021,
    "INFO",
    "job_started",
    "All workers of a job accepted the run command.",
)
JOB_STOPPING = Event(
    4022, "INFO", "job_stopping", "The tasks of a job are being stopped."
)
JOB_ENDED = Event(4023, "INFO", "job_ended", "A job reached a final state.")
JOB_REQUEUED = Event(
    4024, "INFO", "job_requeued", "A job was returned to the queue."
)
JOB_ADOPTED = Event(
    4025, "INFO", "job_adopted", "A new holder adopted a placed job."
)
JOB_NOT_OURS = Event(
    4026,
    "WARNING",
    "job_not_ours",
    "A job's row was changed meanwhile, such as by another attempt.",
)
QUEUE_RELOADED = Event(
    4030, "INFO", "queue_reloaded", "All job rows were read again."
)
TABLE_RETRY = Event(
    4031,
    "DEBUG",
    "table_retry",
    "A call to the table or the object store is retried later.",
)

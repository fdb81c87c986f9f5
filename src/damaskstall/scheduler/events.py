"""Number the log events of the scheduler."""

from damaskstall.events import Event

LEASE_ACQUIRED = Event(
    4000, "INFO", "lease_acquired", "This process now holds a cell."
)
LEASE_LOST = Event(
    4001, "WARNING", "lease_lost", "Another process took over a cell."
)
LEASE_RELEASED = Event(
    4002, "INFO", "lease_released", "This process gave a cell up."
)
LEASE_NOT_RENEWED = Event(
    4003,
    "WARNING",
    "lease_not_renewed",
    "The table did not take a renewal: no decision once the lease ends.",
)
WORKER_FENCED = Event(
    4010, "INFO", "worker_fenced", "A worker obeys this holder's epoch."
)
WORKER_UNREACHABLE = Event(
    4011,
    "WARNING",
    "worker_unreachable",
    "A worker did not answer: no new work goes to it.",
)
WORKER_QUARANTINED = Event(
    4012,
    "WARNING",
    "worker_quarantined",
    "Different jobs failed on a worker: it rests until its probation.",
)
WORKER_REFUSED = Event(
    4013,
    "WARNING",
    "worker_refused",
    "A worker refused an exchange or a command.",
)
JOB_PLACED = Event(4020, "INFO", "job_placed", "A job was given accelerators.")
JOB_STARTED = Event(
    4021, "INFO", "job_started", "All tasks of a job were told to run."
)
JOB_STOPPING = Event(
    4022, "INFO", "job_stopping", "The tasks of a job are being stopped."
)
JOB_ENDED = Event(4023, "INFO", "job_ended", "A job reached its last state.")
JOB_REQUEUED = Event(
    4024, "INFO", "job_requeued", "A job went back to the queue."
)
JOB_ADOPTED = Event(
    4025, "INFO", "job_adopted", "A new holder took over a placed job."
)
JOB_NOT_OURS = Event(
    4026,
    "WARNING",
    "job_not_ours",
    "The row of a job shows that another attempt has replaced ours.",
)
QUEUE_RELOADED = Event(
    4030, "INFO", "queue_reloaded", "All job rows were read again."
)
TABLE_RETRY = Event(
    4031, "DEBUG", "table_retry", "A call to the table is tried again later."
)

"""Define the log events of task scheduling, with their numbers."""

from damaskstall.events import Event

STATE_APPLIED = Event(
    8000, "INFO", "state_applied", "This process applied a new configuration."
)
STATE_REFUSED = Event(
    8001,
    "ERROR",
    "state_refused",
    "A configuration cannot be read: the previous one is no longer confirmed.",
)
STATE_INCOMPLETE = Event(
    8061,
    "ERROR",
    "state_incomplete",
    "Parts of a configuration cannot be read: requests that may concern them "
    "are refused, and the rest is in force.",
)
STATE_OUTDATED = Event(
    8062,
    "WARNING",
    "state_outdated",
    "A newer row has an older version of the configuration: the newest known "
    "version stays in force.",
)
EVACUATION_CHANGED = Event(
    8002,
    "INFO",
    "evacuation_changed",
    "A failure domain was evacuated or restored.",
)
STORE_LOST = Event(
    8003, "WARNING", "store_lost", "The store does not answer this process."
)
STORE_REGAINED = Event(
    8004, "INFO", "store_regained", "The store answers this process again."
)
STORE_SLOW = Event(
    8027,
    "WARNING",
    "store_slow",
    "Several consecutive store calls took ten times as long as usual.",
)
STORE_FAST = Event(
    8028, "INFO", "store_fast", "The store answers as fast as usual again."
)
SETTINGS_APPLIED = Event(
    8005, "INFO", "settings_applied", "Changed settings were applied."
)
SETTINGS_REFUSED = Event(
    8006,
    "ERROR",
    "settings_refused",
    "The settings file cannot be used: the previous settings stay in force.",
)
RELAY_STARTED = Event(
    8007,
    "WARNING",
    "relay_started",
    "The store refuses this process: calls are relayed through peers.",
)
RELAY_ENDED = Event(
    8008, "INFO", "relay_ended", "The store answers direct calls again."
)
PEER_IGNORED = Event(
    8009,
    "WARNING",
    "peer_ignored",
    "A row does not contain a usable peer: it is ignored.",
)
JOB_ACCEPTED = Event(
    8010, "INFO", "task_job_accepted", "A job was accepted and stored."
)
JOB_REPEATED = Event(
    8011,
    "INFO",
    "task_job_repeated",
    "A job was submitted again: it is not stored a second time.",
)
JOB_REFUSED = Event(
    8012, "INFO", "task_job_refused", "A job was refused and will never run."
)
JOB_OUTCOME_UNKNOWN = Event(
    8013,
    "WARNING",
    "task_job_outcome_unknown",
    "The store did not confirm whether a job was stored.",
)
CANCEL_ACCEPTED = Event(
    8014, "INFO", "task_job_cancelled", "The cancellation of a job was stored."
)
REQUEST_REFUSED = Event(
    8015, "INFO", "task_request_refused", "A request was refused."
)
CONFIGURATION_OUTDATED = Event(
    8060,
    "WARNING",
    "configuration_outdated",
    "A request is refused: the configuration was last confirmed longer ago "
    "than its bound.",
)
HOLDER_STARTED = Event(
    8020,
    "INFO",
    "holder_started",
    "This process acquired the lease and is now the holder.",
)
HOLDER_READY = Event(
    8021,
    "INFO",
    "holder_ready",
    "The jobs are read and the workers have accepted the epoch: scheduling "
    "starts.",
)
HOLDER_ENDED = Event(
    8022, "WARNING", "holder_ended", "This process is no longer the holder."
)
HOLDER_FAILED = Event(
    8023,
    "ERROR",
    "holder_failed",
    "An unexpected error ended scheduling here: the lease is released, and "
    "the jobs and workers that caused it are set aside.",
)
LEASE_HANDED_OVER = Event(
    8024,
    "INFO",
    "lease_handed_over",
    "This instance releases the lease to one with many more processor cores.",
)
MEMBER_REMOVED = Event(
    8025,
    "INFO",
    "member_removed",
    "An instance did not renew its row for a long time: the row was removed.",
)
ROW_SWEEP_FAILED = Event(
    8026,
    "INFO",
    "row_sweep_failed",
    "Obsolete rows could not be removed: the removal is retried.",
)
UNIT_STARTED = Event(
    8030,
    "INFO",
    "unit_started",
    "A run of a unit was placed on workers: its tasks are about to start.",
)
UNIT_STOPPED = Event(
    8031, "INFO", "unit_stopped", "The run of a unit is being stopped."
)
RUN_LAUNCHED = Event(
    8036,
    "INFO",
    "run_launched",
    "The start command of a run was answered, or its attempts have ended.",
)
END_UNMATCHED = Event(
    8037,
    "WARNING",
    "end_unmatched",
    "A worker listed the end of a run that is not the present run of its "
    "task.",
)
RUN_OVERDUE = Event(
    8038,
    "WARNING",
    "run_overdue",
    "A run was neither reported by its worker nor ended for some seconds.",
)
RUN_FOUND = Event(
    8039,
    "INFO",
    "run_found",
    "A worker lists a run although a start command of it had no answer.",
)
START_OPEN = Event(
    8058,
    "INFO",
    "start_open",
    "A run has ended while a start command of it may still be carried out.",
)
RUN_ENDED = Event(8032, "INFO", "run_ended", "The run of a task has ended.")
RUN_REFUSED = Event(
    8033, "INFO", "run_refused", "A worker refused to start a run."
)
TASK_JOB_ENDED = Event(
    8034, "INFO", "task_job_ended", "A job reached its final state."
)
PROGRESS_CONFLICT = Event(
    8035,
    "WARNING",
    "progress_conflict",
    "Another process wrote a job's progress row: its state was merged.",
)
TASK_WORKER_FENCED = Event(
    8040,
    "INFO",
    "task_worker_fenced",
    "A worker has accepted this holder's epoch.",
)
TASK_WORKER_LOST = Event(
    8041,
    "WARNING",
    "task_worker_lost",
    "A worker does not answer: no new run is placed on it.",
)
TASK_WORKER_REPLACED = Event(
    8042,
    "WARNING",
    "task_worker_replaced",
    "A worker has started again: its next lists show which runs go on.",
)
RUNS_LAPSED = Event(
    8043,
    "WARNING",
    "runs_lapsed",
    "The lease of a silent worker's runs has certainly expired.",
)
RUNS_UNCOUNTED = Event(
    8049,
    "WARNING",
    "runs_uncounted",
    "A worker has runs that this holder does not know: no new run is placed "
    "on it until they are stopped.",
)
WORKER_IGNORED = Event(
    8044,
    "WARNING",
    "worker_ignored",
    "An entry does not contain a usable worker: it is ignored.",
)
TASK_WORKER_GONE = Event(
    8046,
    "WARNING",
    "task_worker_gone",
    "The platform's list of machines shows that a silent worker has ended: "
    "its runs have ended.",
)
MACHINE_LIST_LOST = Event(
    8047,
    "WARNING",
    "machine_list_lost",
    "The list of machines cannot be read while workers are silent.",
)
MACHINE_LIST_REGAINED = Event(
    8048,
    "INFO",
    "machine_list_regained",
    "The list of machines can be read again.",
)
WORKER_SUSPECTED = Event(
    8045,
    "WARNING",
    "worker_suspected",
    "Runs fail, stall or are slow on a worker: it is used last for a time.",
)
CLAIM_LOST = Event(
    8050,
    "INFO",
    "claim_lost",
    "A worker whose capacity was preempted for an urgent unit was given up.",
)
JOB_UNREADABLE = Event(
    8051,
    "ERROR",
    "job_unreadable",
    "The rows of a job cannot be read: it is left alone.",
)
TASK_FAILED = Event(
    8052,
    "ERROR",
    "background_task_failed",
    "A background task met an unexpected error: it is started again.",
)
CRASH_COUNTED = Event(
    8053,
    "WARNING",
    "crash_counted",
    "A worker crashed under a run of a task, which is isolated after several "
    "crashes and then given up.",
)
HOLDER_DELAYED = Event(
    8054,
    "WARNING",
    "holder_delayed",
    "The holder's event loop ran late: answers of workers are read late too.",
)
HOLDER_CAUGHT_UP = Event(
    8055,
    "INFO",
    "holder_caught_up",
    "The holder's event loop has run on time again for some seconds.",
)
UNIT_WAITING = Event(
    8056,
    "INFO",
    "unit_waiting",
    "Units of a step that could start have waited for some seconds: the "
    "reason tells why the first of them does not run.",
)
INPUT_SET_ASIDE = Event(
    8059,
    "ERROR",
    "input_set_aside",
    "A job or worker with which scheduling met an unexpected error is left "
    "alone by all holders for a time.",
)
ROW_REFUSED = Event(
    8057,
    "ERROR",
    "row_refused",
    "The store refuses the row of a job's progress, which is written later.",
)

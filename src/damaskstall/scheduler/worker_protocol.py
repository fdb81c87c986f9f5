"""Define the messages between the scheduler and a worker.

The JSON is described in docs/WORKER_INTERFACE.md.
"""

from typing import Any, NamedTuple

PREPARE = "prepare"
RUN = "run"
CHECKPOINT = "checkpoint"
STOP = "stop"
ACK = "ack"

TASK_PREPARED = "prepared"
TASK_RUNNING = "running"
TASK_SUCCEEDED = "succeeded"
TASK_FAILED = "failed"
TASK_STOPPED = "stopped"
TASK_EXPIRED = "expired"
TASK_ACTIVE = frozenset({TASK_PREPARED, TASK_RUNNING})

TaskKey = tuple[str, int, int]


class Command(NamedTuple):
    """A command to a worker about one task."""

    do: str
    key: TaskKey
    first_accelerator: int = 0
    accelerators: int = 0
    work: dict[str, Any] | None = None
    checkpoint: str = ""


class TaskReport(NamedTuple):
    """A worker's report on one task.

    ``ran`` is True if the task was ever started.
    """

    key: TaskKey
    state: str
    ran: bool
    checkpoint: str
    output: str
    detail: str

    @property
    def is_active(self) -> bool:
        """Return whether the task holds accelerators."""
        return self.state in TASK_ACTIVE


class Answer(NamedTuple):
    """A worker's answer to an exchange.

    ``boot`` identifies the worker's incarnation and ``version`` the state of
    its tasks. ``problem`` is empty if the worker accepted the exchange, and
    ``refused`` contains the reasons of refused commands by their index.
    ``tasks`` is None if no task has changed.
    """

    boot: str
    now_s: float
    epoch: int
    version: int
    problem: str
    refused: dict[int, str]
    tasks: tuple[TaskReport, ...] | None


def parse_answer(value: dict[str, Any]) -> Answer:
    """Parse an answer from JSON values; raise ValueError if malformed."""
    try:
        tasks = value.get("tasks")
        reports = None
        if tasks is not None:
            reports = tuple(parse_report(task) for task in tasks)
        refused = {
            int(item["index"]): str(item["reason"])
            for item in value.get("refused", ())
        }
        return Answer(
            str(value["boot"]),
            float(value["now_s"]),
            int(value["epoch"]),
            int(value["version"]),
            str(value.get("problem", "")),
            refused,
            reports,
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"The answer is malformed: {error!r}.") from error


def parse_report(value: dict[str, Any]) -> TaskReport:
    """Parse the report on one task; raise an error if it is malformed.

    The errors are AttributeError, KeyError, TypeError and ValueError.
    """
    key = (str(value["job"]), int(value["attempt"]), int(value["task"]))
    return TaskReport(
        key,
        str(value["state"]),
        bool(value["ran"]),
        str(value.get("checkpoint", "")),
        str(value.get("output", "")),
        str(value.get("detail", "")),
    )

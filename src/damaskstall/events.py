"""Define numbered log events and write each as one line.

Each package that logs defines its events in its own module ``events``.
Numbers are unique: 1000 common, 2000 resources, 3000 requests, 4000
scheduler, 5000 placement, 6000 peers, 7000 platform, 8000 task scheduling.
The page docs/EVENTS.md lists them all.
"""

from json import dumps
from sys import stderr
from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

if TYPE_CHECKING:
    from typing import TextIO

    from loguru import Record

    from damaskstall.log_sink import LogSink

Field = str | int | float | bool | None


class Event(NamedTuple):
    """One kind of log event; ``help`` is its text in docs/EVENTS.md."""

    number: int
    level: str
    name: str
    help: str


PROGRAM_STARTED = Event(
    1000,
    "INFO",
    "program_started",
    "The program listens on its addresses and serves requests.",
)
PROGRAM_STOPPING = Event(
    1001,
    "INFO",
    "program_stopping",
    "The program received a stop signal and begins a graceful stop.",
)
PROGRAM_STOPPED = Event(
    1002, "INFO", "program_stopped", "The program has completed its stop."
)
CONNECTION_FAILED = Event(
    1003,
    "DEBUG",
    "connection_failed",
    "A client's connection failed or timed out.",
)
HANDLER_FAILED = Event(
    1004,
    "ERROR",
    "handler_failed",
    "A request handler raised an unexpected error; the client got status 500.",
)

WORK_FAILED = Event(
    1005,
    "ERROR",
    "work_failed",
    "An unexpected error ended the work for one connection, worker, job, peer "
    "or row: the others go on, and that one is tried again later.",
)


def log(event: Event, **fields: Field) -> None:
    """Write one event with its fields to the log."""
    logger.bind(event=event, fields=fields).log(event.level, event.name)


def configure_logs(program: str, level: str, json: bool) -> None:
    """Send events to standard error, as text or as JSON lines."""
    send_logs(program, level, json, stderr)


def send_logs(
    program: str, level: str, json: bool, sink: "TextIO | LogSink"
) -> None:
    """Send events to a sink, one line each."""
    logger.remove()

    def render(record: "Record") -> str:
        line = render_json(program, record) if json else render_text(record)
        return escape(line) + "\n"

    logger.add(sink, level=level.upper(), format=render, colorize=False)


def escape(line: str) -> str:
    """Return a line that loguru's format template renders literally."""
    line = line.replace("\n", "\\n")
    return line.replace("{", "{{").replace("}", "}}").replace("<", r"\<")


def render_text(record: "Record") -> str:
    """Return an event as one line of text."""
    event = record["extra"].get("event")
    number = f"E{event.number}" if event else "E0"
    fields = record["extra"].get("fields", {})
    listed = "".join(f" {name}={value}" for name, value in fields.items())
    time = record["time"].isoformat(timespec="milliseconds")
    level = record["level"].name
    return f"{time} {level} {number} {record['message']}{listed}"


def render_json(program: str, record: "Record") -> str:
    """Return an event as one JSON object."""
    event = record["extra"].get("event")
    return dumps(
        {
            **record["extra"].get("fields", {}),
            "time": record["time"].isoformat(timespec="milliseconds"),
            "program": program,
            "level": record["level"].name,
            "event": event.number if event else 0,
            "name": record["message"],
        }
    )

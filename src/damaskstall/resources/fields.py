"""Define the fields of every resource kind, with bounds and defaults.

The validation and the tables of docs/API.md are both derived from these.
"""

from typing import Any, NamedTuple

from damaskstall.resources.records import STATE_IN, STATE_OUT

BOOLEAN = "boolean"
INTEGER = "integer"
NUMBER = "number"
NAME = "name"
OPTIONAL_NAME = "name or empty"
ADDRESS = "host:port"
LABELS = "labels"
OBJECT = "object"
LIST = "list"

NAME_LIMIT_CHARACTERS = 63
LABEL_LIMIT_CHARACTERS = 63
LABELS_LIMIT = 32
WORK_LIMIT_BYTES = 65536
DEPTH_LIMIT = 16

REQUIRED: Any = object()


class FieldRule(NamedTuple):
    """The rule of one field: type, help, default, bounds and members."""

    name: str
    kind: str
    help: str
    default: Any = REQUIRED
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    members: tuple["FieldRule", ...] = ()


HOSTS = FieldRule(
    "hosts", INTEGER, "number of adjacent workers in a block", 1, 1, 4096
)
ACCELERATORS_PER_HOST = FieldRule(
    "accelerators_per_host",
    INTEGER,
    "number of adjacent accelerators on each worker",
    1,
    1,
    64,
)

GUARANTEE_FIELDS = (
    HOSTS,
    ACCELERATORS_PER_HOST,
    FieldRule(
        "count", INTEGER, "number of blocks of this shape", 1, 1, 10_000
    ),
    FieldRule(
        "failure_domain",
        OPTIONAL_NAME,
        "failure domain of the blocks; empty lets the planner choose",
        "",
    ),
)

TEAM_FIELDS = (
    FieldRule(
        "weight",
        NUMBER,
        "fair-share weight for capacity beyond the guarantees",
        1,
        0.001,
        1000,
    ),
    FieldRule(
        "guarantees",
        LIST,
        "block shapes that the team can always reclaim",
        (),
        0,
        1000,
        members=GUARANTEE_FIELDS,
    ),
)

JOB_FIELDS = (
    FieldRule("team", NAME, "team that the job belongs to"),
    HOSTS,
    ACCELERATORS_PER_HOST,
    FieldRule(
        "estimate_s",
        NUMBER,
        "expected run time in seconds",
        3600,
        0.001,
        31_536_000,
    ),
    FieldRule(
        "urgent", BOOLEAN, "reclaim borrowed accelerators at once", False
    ),
    FieldRule(
        "restartable", BOOLEAN, "the work may start more than once", True
    ),
    FieldRule(
        "checkpointable",
        BOOLEAN,
        "the work can resume from a checkpoint",
        False,
    ),
    FieldRule(
        "max_attempts", INTEGER, "attempts before the job fails", 3, 1, 100
    ),
    FieldRule(
        "failure_domain",
        OPTIONAL_NAME,
        "failure domain in which the job must run; empty for any",
        "",
    ),
    FieldRule(
        "labels", LABELS, "names and values that selectors can match", {}
    ),
    FieldRule("work", OBJECT, "passed to the workers unchanged", {}),
)

WORKER_FIELDS = (
    FieldRule("name", NAME, "unique across all failure domains"),
    FieldRule("address", ADDRESS, "address on which the worker listens"),
    FieldRule(
        "accelerators",
        INTEGER,
        "number of accelerators of the worker",
        8,
        1,
        64,
    ),
)

RACK_FIELDS = (
    FieldRule("name", NAME, "unique within the failure domain"),
    FieldRule(
        "workers",
        LIST,
        "workers in order of adjacency",
        (),
        0,
        4096,
        members=WORKER_FIELDS,
    ),
)

FAILURE_DOMAIN_FIELDS = (
    FieldRule(
        "state",
        NAME,
        "out: nothing starts here; a replacement without it keeps the state",
        STATE_IN,
        choices=(STATE_IN, STATE_OUT),
    ),
    FieldRule(
        "racks",
        LIST,
        "racks in order of adjacency",
        (),
        0,
        4096,
        members=RACK_FIELDS,
    ),
)

SERVER_FIELDS = (
    FieldRule("name", NAME, "unique within the service"),
    FieldRule("address", ADDRESS, "address on which the server listens"),
    FieldRule("failure_domain", NAME, "failure domain of the server"),
    FieldRule(
        "slots",
        INTEGER,
        "requests that the server runs concurrently",
        8,
        1,
        1024,
    ),
    FieldRule(
        "connections",
        INTEGER,
        "connections that the server accepts",
        64,
        1,
        10_000,
    ),
)

BACKEND_SERVICE_FIELDS = (
    FieldRule(
        "idempotent", BOOLEAN, "a request may be sent more than once", False
    ),
    FieldRule(
        "timeout_s",
        NUMBER,
        "time limit of one request in seconds",
        30,
        0.001,
        86_400,
    ),
    FieldRule(
        "servers",
        LIST,
        "servers of the service",
        (),
        0,
        4096,
        members=SERVER_FIELDS,
    ),
)

SPEC_FIELDS = {
    "team": TEAM_FIELDS,
    "job": JOB_FIELDS,
    "failure_domain": FAILURE_DOMAIN_FIELDS,
    "backend_service": BACKEND_SERVICE_FIELDS,
}

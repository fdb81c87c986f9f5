"""List the fields of every declared kind, with their bounds and defaults.

Validation and docs/API.md both follow these tables.
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
    """Describe one field: its type, help, default, bounds and members."""

    name: str
    kind: str
    help: str
    default: Any = REQUIRED
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    members: tuple["FieldRule", ...] = ()


HOSTS = FieldRule("hosts", INTEGER, "adjacent workers of a block", 1, 1, 4096)
ACCELERATORS_PER_HOST = FieldRule(
    "accelerators_per_host",
    INTEGER,
    "adjacent accelerators on each worker",
    1,
    1,
    64,
)

GUARANTEE_FIELDS = (
    HOSTS,
    ACCELERATORS_PER_HOST,
    FieldRule("count", INTEGER, "blocks of this shape", 1, 1, 10_000),
    FieldRule(
        "failure_domain",
        OPTIONAL_NAME,
        "where the blocks are; empty leaves it to the plan",
        "",
    ),
)

TEAM_FIELDS = (
    FieldRule(
        "weight", NUMBER, "weight in fair shares of the rest", 1, 0.001, 1000
    ),
    FieldRule(
        "guarantees",
        LIST,
        "shapes that the team can always reclaim",
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
        "estimate_s", NUMBER, "expected run time", 3600, 0.001, 31_536_000
    ),
    FieldRule(
        "urgent", BOOLEAN, "reclaim borrowed accelerators at once", False
    ),
    FieldRule(
        "restartable", BOOLEAN, "the work may start more than once", True
    ),
    FieldRule(
        "checkpointable", BOOLEAN, "the work can go on where it was", False
    ),
    FieldRule("max_attempts", INTEGER, "attempts before it fails", 3, 1, 100),
    FieldRule(
        "failure_domain",
        OPTIONAL_NAME,
        "where the job must run; empty for anywhere",
        "",
    ),
    FieldRule("labels", LABELS, "names and values to select by", {}),
    FieldRule("work", OBJECT, "passed to the workers as it is", {}),
)

WORKER_FIELDS = (
    FieldRule("name", NAME, "unique among all failure domains"),
    FieldRule("address", ADDRESS, "where the worker listens"),
    FieldRule("accelerators", INTEGER, "accelerators it has", 8, 1, 64),
)

RACK_FIELDS = (
    FieldRule("name", NAME, "unique in the failure domain"),
    FieldRule(
        "workers",
        LIST,
        "adjacent workers in order",
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
        "out: nothing starts here; a replacement without it keeps it",
        STATE_IN,
        choices=(STATE_IN, STATE_OUT),
    ),
    FieldRule(
        "racks",
        LIST,
        "adjacent racks in order",
        (),
        0,
        4096,
        members=RACK_FIELDS,
    ),
)

SERVER_FIELDS = (
    FieldRule("name", NAME, "unique in the service"),
    FieldRule("address", ADDRESS, "where the server listens"),
    FieldRule("failure_domain", NAME, "where the server is"),
    FieldRule("slots", INTEGER, "requests it runs at once", 8, 1, 1024),
    FieldRule("connections", INTEGER, "connections it accepts", 64, 1, 10_000),
)

BACKEND_SERVICE_FIELDS = (
    FieldRule("idempotent", BOOLEAN, "a request may be sent twice", False),
    FieldRule(
        "timeout_s", NUMBER, "longest run of one request", 30, 0.001, 86_400
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

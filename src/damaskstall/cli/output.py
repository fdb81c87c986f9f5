"""Format responses as tables, text or JSON."""

from collections.abc import Sequence
from json import dumps
from typing import Any

from damaskstall.resources.records import JOB_QUEUED

Row = Sequence[str]

JOB_COLUMNS = ("NAME", "TEAM", "STATE", "SHAPE", "ATTEMPT", "CELL", "REASON")


def table_text(header: Row, rows: Sequence[Row]) -> str:
    """Return rows as aligned columns under a header."""
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def json_text(value: Any) -> str:
    """Return a value as indented JSON."""
    return dumps(value, indent=2)


def shape_text(spec: dict[str, Any]) -> str:
    """Return a shape as text, hosts times accelerators per host."""
    hosts = spec.get("hosts", "?")
    return f"{hosts}x{spec.get('accelerators_per_host', '?')}"


def job_row(item: dict[str, Any]) -> Row:
    """Return a job's table row."""
    spec, status = item["spec"], item["status"]
    return (
        item["name"],
        str(spec.get("team", "")),
        str(status.get("state", "")),
        shape_text(spec),
        str(status.get("attempt", "")),
        str(status.get("cell", "")),
        str(status.get("reason", "")),
    )


def team_row(item: dict[str, Any]) -> Row:
    """Return a team's table row."""
    guarantees = [
        f"{guarantee['count']}*{shape_text(guarantee)}"
        + (f"@{where}" if (where := guarantee["failure_domain"]) else "")
        for guarantee in item["spec"]["guarantees"]
    ]
    weight = str(item["spec"]["weight"])
    return (item["name"], weight, " ".join(guarantees) or "-")


def failure_domain_row(item: dict[str, Any]) -> Row:
    """Return a failure domain's table row."""
    racks = item["spec"]["racks"]
    workers = [worker for rack in racks for worker in rack["workers"]]
    held = item["status"].get("held", {}).get("state")
    state = f"{held} (not stored yet)" if held else item["spec"]["state"]
    accelerators = sum(worker["accelerators"] for worker in workers)
    counts = (len(racks), len(workers), accelerators)
    return (item["name"], state, *map(str, counts))


def service_row(item: dict[str, Any]) -> Row:
    """Return a backend service's table row."""
    spec = item["spec"]
    return (
        item["name"],
        "yes" if spec["idempotent"] else "no",
        f"{spec['timeout_s']:g}",
        str(len(spec["servers"])),
    )


TABLES = {
    "job": (JOB_COLUMNS, job_row),
    "team": (("NAME", "WEIGHT", "GUARANTEES"), team_row),
    "failure_domain": (
        ("NAME", "STATE", "RACKS", "WORKERS", "ACCELERATORS"),
        failure_domain_row,
    ),
    "backend_service": (
        ("NAME", "IDEMPOTENT", "TIMEOUT_S", "SERVERS"),
        service_row,
    ),
}


def items_text(kind: str, items: Sequence[dict[str, Any]]) -> str:
    """Return resources of one kind as a table."""
    header, make_row = TABLES[kind]
    rows = [make_row(item) for item in items]
    return table_text(
        (*header, "VERSION"),
        [
            (*row, str(item["resource_version"]))
            for row, item in zip(rows, items, strict=True)
        ],
    )


def instances_text(items: Sequence[dict[str, Any]]) -> str:
    """Return the product's processes as a table, furthest behind first.

    A process is behind by the difference between its configuration revision
    and the highest one of all processes.
    """
    revisions = [item.get("config_revision") or 0 for item in items]
    newest = max(revisions, default=0)
    rows = []
    for item, revision in zip(items, revisions, strict=True):
        behind = newest - revision
        cells = [str(item.get(name, "")) for name in INSTANCE_FIELDS]
        rows.append((behind, (*cells, str(behind))))
    rows.sort(key=lambda row: -row[0])
    header = (*(name.upper() for name in INSTANCE_FIELDS), "BEHIND")
    return table_text(header, [row for _, row in rows])


INSTANCE_FIELDS = (
    "instance",
    "program",
    "failure_domain",
    "config_revision",
    "confirmed_age_s",
    "heard_age_s",
    "leaving",
)


def details_text(item: dict[str, Any]) -> str:
    """Return one resource as text, one field per line."""
    lines = [f"{item['kind']} {item['name']}", *waiting_lines(item)]
    lines.append(f"  resource_version: {item['resource_version']}")
    for part in ("spec", "status"):
        lines.append(f"  {part}:")
        for name, value in item[part].items():
            text = value if isinstance(value, str) else dumps(value)
            lines.append(f"    {name}: {text}")
    return "\n".join(lines)


def waiting_lines(item: dict[str, Any]) -> list[str]:
    """Return why a queued job waits and what would start it, if known."""
    status = item["status"]
    if item["kind"] != "job" or status.get("state") != JOB_QUEUED:
        return []
    found = {"reason": status.get("reason", "")}
    if isinstance(status.get("explanation"), dict):
        found.update(status["explanation"])
    lines = []
    if found.get("reason"):
        lines.append(f"  waits: {found['reason']}")
    if found.get("unblocked_by"):
        lines.append(f"  starts with: {found['unblocked_by']}")
    return lines

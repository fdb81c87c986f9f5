"""Implement the commands of damaskstallctl."""

# Imported as a module, since sys.stderr may be replaced after this import.
import sys
from contextlib import aclosing
from typing import Any

from damaskstall.cli.client import (
    Answer,
    ApiClient,
    CtlError,
    resource_path,
)
from damaskstall.cli.declarations import Declaration, read_files
from damaskstall.cli.exit_codes import REFUSED, UNKNOWN, USAGE
from damaskstall.cli.output import (
    details_text,
    instances_text,
    items_text,
    json_text,
)
from damaskstall.resources.records import KINDS

PAGE_LIMIT = 1000
APPLY_ATTEMPTS = 5
JSON = "json"


async def get(
    client: ApiClient, kind: str, name: str, selector: str, output: str
) -> None:
    """Print one resource, all resources of a kind, or all instances."""
    if kind in ("instance", "instances"):
        answer = await client.read("/v1/instances", {})
        items = answer.value["items"]
        print_value(items, output, instances_text(items))
        return
    check_kind(kind)
    if name:
        answer = await client.read(resource_path(kind, name), {})
        warn_if_stale(answer)
        print_value(answer.value, output, details_text(answer.value))
        return
    items = await list_all(client, kind, selector)
    print_value(items, output, items_text(kind, items))


async def list_all(
    client: ApiClient, kind: str, selector: str
) -> list[dict[str, Any]]:
    """Return all resources of a kind that match the selector."""
    items: list[dict[str, Any]] = []
    query: dict[str, Any] = {"limit": PAGE_LIMIT}
    if selector:
        query["selector"] = selector
    while True:
        answer = await client.read(resource_path(kind), query)
        warn_if_stale(answer)
        items += answer.value["items"]
        if not answer.value["continue"]:
            return items
        query["continue"] = answer.value["continue"]


async def apply(client: ApiClient, paths: list[str], dry_run: bool) -> None:
    """Create or replace the declarations of files, in file order."""
    for declaration in read_files(paths):
        outcome = await apply_one(client, declaration, dry_run)
        suffix = " (dry run)" if dry_run else ""
        print(f"{declaration.kind}/{declaration.name} {outcome}{suffix}")


async def apply_one(
    client: ApiClient, declaration: Declaration, dry_run: bool
) -> str:
    """Create or replace one declaration; return the outcome."""
    kind, name, spec = declaration
    query = {"dry_run": "true"} if dry_run else {}
    for _ in range(APPLY_ATTEMPTS):
        known = await find(client, kind, name)
        try:
            if known is None:
                body = {"kind": kind, "name": name, "spec": spec}
                await client.write("POST", resource_path(kind), query, body)
                return "created"
            version = known["resource_version"]
            body = {"spec": spec, "resource_version": version}
            answer = await client.write(
                "PUT", resource_path(kind, name), query, body
            )
        except CtlError as error:
            if error.status not in (404, 409):
                raise
            conflict = error
            continue
        same = answer.value["spec"] == known["spec"]
        return "unchanged" if same else "replaced"
    raise conflict


async def find(
    client: ApiClient, kind: str, name: str
) -> dict[str, Any] | None:
    """Return a resource, or None if it is absent."""
    try:
        answer = await client.read(resource_path(kind, name), {})
    except CtlError as error:
        if error.status == 404:
            return None
        raise
    found: dict[str, Any] = answer.value
    return found


async def delete(
    client: ApiClient, kind: str, name: str, version: int, dry_run: bool
) -> None:
    """Delete a resource; a version of 0 means the current one."""
    check_kind(kind)
    if not version:
        found = await client.read(resource_path(kind, name), {})
        version = found.value["resource_version"]
    query: dict[str, Any] = {"resource_version": version}
    if dry_run:
        query["dry_run"] = "true"
    await client.write("DELETE", resource_path(kind, name), query)
    print(f"{kind}/{name} deleted")


async def watch(
    client: ApiClient, kind: str, from_version: int | None, output: str
) -> None:
    """Print changes as they arrive until the stream ends."""
    check_kind(kind)
    query = {} if from_version is None else {"from_version": from_version}
    path = f"/v1/watch/{kind}"
    async with aclosing(client.stream(path, query)) as events:
        async for event in events:
            print(event_text(event, output), flush=True)
            if event["type"] == "end":
                raise CtlError(REFUSED, event["error"])
    raise CtlError(UNKNOWN, "The server closed the watch stream.")


def event_text(event: dict[str, Any], output: str) -> str:
    """Return a stream event as one line of text."""
    if output == JSON:
        return json_line(event)
    resource = event.get("resource")
    if resource is None:
        return f"{event['type']} version={event['resource_version']}"
    state = resource["status"].get("state") or resource["spec"].get("state")
    suffix = f" state={state}" if state else ""
    return (
        f"{event['type']} {resource['kind']}/{resource['name']} "
        f"version={resource['resource_version']}{suffix}"
    )


async def drain(client: ApiClient, name: str) -> None:
    """Take a failure domain out of service."""
    path = resource_path("failure_domain", name, "drain")
    answer = await client.write("POST", path, {})
    if answer.status == 202:
        raise CtlError(
            UNKNOWN,
            f"failure_domain/{name} is out on this server; the table is "
            "unavailable and has not stored the drain yet.",
        )
    print(f"failure_domain/{name} drained")


async def restore(client: ApiClient, name: str) -> None:
    """Return a failure domain to service."""
    path = resource_path("failure_domain", name, "restore")
    await client.write("POST", path, {})
    print(f"failure_domain/{name} restored")


async def cancel(client: ApiClient, name: str, selector: str) -> None:
    """Cancel one job by name, or all jobs that a selector matches."""
    if bool(name) == bool(selector):
        raise CtlError(
            USAGE, "Either a name or a selector is required, but not both."
        )
    if name:
        path = resource_path("job", name, "cancel")
        answer = await client.write("POST", path, {})
        print(f"job/{name} {answer.value['outcome']}")
        return
    counts: dict[str, int] = {}
    try:
        failed = await cancel_all(client, selector, counts)
    finally:
        # The counts are printed also after a failure.
        print(" ".join(f"{name}={count}" for name, count in counts.items()))
    if failed:
        raise CtlError(
            UNKNOWN,
            f"These jobs may not have been cancelled: {' '.join(failed)}.",
        )


async def cancel_all(
    client: ApiClient, selector: str, counts: dict[str, int]
) -> list[str]:
    """Cancel all selected jobs; return the names of those that failed.

    Adds the number of jobs for each outcome to ``counts``.
    """
    path = "/v1/cancellations"
    failed: list[str] = []
    after = ""
    while True:
        body = {"selector": selector, "continue": after}
        result = (await client.write("POST", path, {}, body)).value
        after = result.pop("continue")
        failed += result.pop("failed")
        for outcome, count in result.items():
            counts[outcome] = counts.get(outcome, 0) + count
        if not after:
            return failed


async def dump(client: ApiClient) -> None:
    """Print the state of the process at the server's address."""
    print(json_text((await client.read("/debug/state", {})).value))


def check_kind(kind: str) -> None:
    """Raise CtlError for an unknown kind."""
    if kind not in KINDS:
        raise CtlError(USAGE, f"The kind must be one of {', '.join(KINDS)}.")


def print_value(value: Any, output: str, text: str) -> None:
    """Print a value as JSON or, for other outputs, its text."""
    print(json_text(value) if output == JSON else text)


def json_line(value: Any) -> str:
    """Return a value as one line of JSON."""
    return " ".join(json_text(value).split("\n"))


def warn_if_stale(answer: Answer) -> None:
    """Warn on standard error if a response was served from memory."""
    age_s = answer.headers.get("damaskstall-age-s")
    if age_s is not None:
        print(
            f"The table is unavailable; this data is {age_s} s old.",
            file=sys.stderr,
        )

"""List the paths of the resource interface; docs/API.md follows them."""

from typing import NamedTuple


class Route(NamedTuple):
    """Describe one path: its method, pattern, handler and help."""

    method: str
    pattern: str
    handler: str
    help: str
    query: tuple[str, ...] = ()
    statuses: tuple[int, ...] = ()
    body: tuple[str, ...] = ()


ROUTES = (
    Route(
        "GET",
        "/v1/resources/{kind}",
        "list_resources",
        "List resources by name, a page at a time.",
        ("limit", "continue", "selector"),
        (200, 400, 503),
    ),
    Route(
        "POST",
        "/v1/resources/{kind}",
        "create_resource",
        "Create a resource.",
        ("dry_run",),
        (200, 201, 400, 409, 413, 422, 503, 504),
        ("kind", "name", "spec"),
    ),
    Route(
        "GET",
        "/v1/resources/{kind}/{name}",
        "get_resource",
        "Read one resource.",
        (),
        (200, 404, 503),
    ),
    Route(
        "PUT",
        "/v1/resources/{kind}/{name}",
        "replace_resource",
        "Replace the spec of the version that the body names.",
        ("dry_run",),
        (200, 400, 404, 409, 413, 422, 503, 504),
        ("kind", "name", "spec", "resource_version"),
    ),
    Route(
        "DELETE",
        "/v1/resources/{kind}/{name}",
        "delete_resource",
        "Delete the named version of a resource.",
        ("resource_version", "dry_run"),
        (200, 400, 404, 409, 422, 503, 504),
    ),
    Route(
        "POST",
        "/v1/resources/job/{name}/cancel",
        "cancel_job",
        "Cancel one job.",
        (),
        (200, 404, 503, 504),
    ),
    Route(
        "POST",
        "/v1/cancellations",
        "cancel_jobs",
        "Cancel the jobs that a selector matches, a bounded number a call.",
        (),
        (200, 400, 413, 422, 503, 504),
        ("selector", "continue"),
    ),
    Route(
        "POST",
        "/v1/resources/failure_domain/{name}/drain",
        "drain_failure_domain",
        "Take a failure domain out of service.",
        (),
        (200, 202, 404, 409, 503, 504),
    ),
    Route(
        "POST",
        "/v1/resources/failure_domain/{name}/restore",
        "restore_failure_domain",
        "Bring a failure domain back into service.",
        (),
        (200, 404, 409, 503, 504),
    ),
    Route(
        "GET",
        "/v1/watch/{kind}",
        "watch_resources",
        "Stream changes after a version as JSON lines.",
        ("from_version",),
        (200, 400, 410, 429, 503),
    ),
    Route(
        "GET",
        "/v1/instances",
        "list_instances",
        "List the product's processes and the configuration they run by.",
        (),
        (200,),
    ),
)


class Match(NamedTuple):
    """Hold the route of a request and the parts its pattern names."""

    route: Route
    parts: dict[str, str]


def match_pattern(pattern: str, path: str) -> dict[str, str] | None:
    """Return the named parts of a path, or None where it does not match."""
    wanted = pattern.split("/")
    given = path.split("/")
    if len(wanted) != len(given):
        return None
    parts = {}
    for want, part in zip(wanted, given, strict=True):
        if want.startswith("{"):
            parts[want.strip("{}")] = part
        elif want != part:
            return None
    return parts


def find_route(method: str, path: str) -> Match | tuple[str, ...]:
    """Return the route of a request, or the methods that the path takes."""
    methods = []
    for route in ROUTES:
        parts = match_pattern(route.pattern, path)
        if parts is None:
            continue
        if route.method == method:
            return Match(route, parts)
        methods.append(route.method)
    return tuple(methods)

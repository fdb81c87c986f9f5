"""Define the routes of the resource interface, which docs/API.md lists."""

from typing import NamedTuple


class Route(NamedTuple):
    """One route: its method, path pattern, handler and documentation."""

    method: str
    pattern: str
    handler: str
    help: str
    query: tuple[str, ...] = ()
    statuses: tuple[int, ...] = ()
    body: tuple[str, ...] = ()


STATUS_HELP = {
    200: "Done and stored, or a dry run that would succeed.",
    201: "Created and stored.",
    202: "In force in this process, but not yet stored in the table.",
    400: "The path, the query or the JSON is malformed; nothing changed.",
    404: "The resource or path does not exist.",
    405: "The path does not support the method; `allow` lists the methods "
    "that it supports.",
    409: "The change lost a race, or the state forbids it. "
    "`current_version` is the current version (0: absent). Nothing changed, "
    "unless `took_effect` is true: then an earlier copy took effect.",
    410: "The changes after the version are no longer available: list the "
    "resources and watch again.",
    413: "The body is longer than `body_limit_bytes`.",
    422: "The declaration is invalid; `problems` lists every invalid field "
    "(at most 100) with its path. Nothing changed.",
    429: "Too many watchers; retry after `retry-after` seconds.",
    503: "Not accepted now: this copy of the request has changed nothing "
    "(`damaskstall-not-run: true`); retry after `retry-after` seconds.",
    504: "The outcome is unknown: the change may have taken effect or may "
    "still do so. Repeat it with the same `idempotency-key`, or read the "
    "resource.",
}

ROUTES = (
    Route(
        "GET",
        "/v1/resources/{kind}",
        "list_resources",
        "List resources in name order, one page at a time.",
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
        (200, 400, 404, 503),
    ),
    Route(
        "PUT",
        "/v1/resources/{kind}/{name}",
        "replace_resource",
        "Replace the spec of a resource at the version that the body names.",
        ("dry_run",),
        (200, 400, 404, 409, 413, 422, 503, 504),
        ("kind", "name", "spec", "resource_version"),
    ),
    Route(
        "DELETE",
        "/v1/resources/{kind}/{name}",
        "delete_resource",
        "Delete a resource at the version that the query names.",
        ("resource_version", "dry_run"),
        (200, 400, 404, 409, 422, 503, 504),
    ),
    Route(
        "POST",
        "/v1/resources/job/{name}/cancel",
        "cancel_job",
        "Cancel one job.",
        (),
        (200, 400, 404, 503, 504),
    ),
    Route(
        "POST",
        "/v1/cancellations",
        "cancel_jobs",
        "Cancel the jobs that a selector matches, a bounded number per call.",
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
        (200, 202, 400, 404, 409, 503, 504),
    ),
    Route(
        "POST",
        "/v1/resources/failure_domain/{name}/restore",
        "restore_failure_domain",
        "Return a failure domain to service.",
        (),
        (200, 400, 404, 409, 503, 504),
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
        "List the product's processes and their configuration revisions.",
        (),
        (200, 400),
    ),
)


class Match(NamedTuple):
    """The route of a request and the path parts its pattern names."""

    route: Route
    parts: dict[str, str]


def match_pattern(pattern: str, path: str) -> dict[str, str] | None:
    """Return the named parts of a path, or None if it does not match."""
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
    """Return the route of a request, or the path's supported methods.

    An unknown path supports none.
    """
    methods = []
    for route in ROUTES:
        parts = match_pattern(route.pattern, path)
        if parts is None:
            continue
        if route.method == method:
            return Match(route, parts)
        methods.append(route.method)
    return tuple(methods)

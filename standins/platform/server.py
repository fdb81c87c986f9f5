"""Serve the stand-in platform over HTTP.

In addition to the services, ``/faults`` sets the fault rules and ``/records``
returns the log of all commits. Checkers read this log because it does not
depend on the processes under test.
"""

from typing import Any

from trio import current_time, sleep

from damaskstall.errors import RevisionTooOldError, TableConflictError
from damaskstall.http.messages import (
    Request,
    Response,
    error_response,
    json_response,
    parse_json,
    retry_later_response,
)
from damaskstall.platform.types import InstanceRecord, Write
from standins.platform.faults import (
    READ_COST,
    WRITE_COST,
    FaultRule,
    RateLimiter,
)
from standins.platform.memory import Platform

BODY_LIMIT_BYTES = 64 * 1024 * 1024
PAGE_LIMIT = 1000


class PlatformServer:
    """The HTTP handlers of the platform's services and controls."""

    def __init__(
        self, platform: Platform, rate_limiter: RateLimiter, list_lag_s: float
    ):
        """Serve a platform at a limited rate.

        The instance list shows registrations after ``list_lag_s`` seconds.
        """
        self.platform = platform
        self.rate_limiter = rate_limiter
        self.list_lag_s = list_lag_s
        self.registrations: list[tuple[float, InstanceRecord]] = []

    async def handle(self, request: Request) -> Response:
        """Answer one request to a control, the object store or a service."""
        control = CONTROLS.get((request.method, request.path))
        body = await request.body.read(BODY_LIMIT_BYTES)
        if control is not None:
            return control(self, request, body)
        caller = request.query.get("caller", "")
        faults = self.platform.faults
        await sleep(faults.delay_s(caller))
        if faults.down(caller):
            return retry_later_response(503, "The platform is down.", 1)
        if request.path.startswith("/objects/"):
            return self.answer_object(request, body)
        service = SERVICES.get((request.method, request.path))
        if service is None:
            return error_response(
                404, "The platform has no service at this path."
            )
        cost = WRITE_COST if request.path == "/table/commit" else READ_COST
        if not self.rate_limiter.take(cost, current_time()):
            return retry_later_response(
                429, "The platform's rate limit is exceeded.", 1
            )
        response = service(self, request, body)
        if request.path == "/table/commit" and faults.loses_answer(caller):
            return Response(500, b"", close=True)
        return response

    def answer_row(self, request: Request, body: bytes) -> Response:
        """Return one row, or null if it is absent."""
        self.platform.reads += 1
        row = self.platform.table.read(request.query["key"])
        return json_response(200, row and row._asdict())

    def answer_scan(self, request: Request, body: bytes) -> Response:
        """Return a page of rows in key order."""
        self.platform.reads += 1
        page = self.platform.table.scan(
            request.query["prefix"],
            request.query["after"],
            page_limit(request),
        )
        rows = [row._asdict() for row in page.rows]
        return json_response(200, {**page._asdict(), "rows": rows})

    def answer_changes(self, request: Request, body: bytes) -> Response:
        """Return a page of changed rows in revision order."""
        self.platform.reads += 1
        try:
            page = self.platform.table.changes(
                request.query["prefix"],
                int(request.query["after_revision"]),
                page_limit(request),
            )
        except RevisionTooOldError as error:
            return error_response(410, str(error))
        rows = [row._asdict() for row in page.rows]
        return json_response(200, {**page._asdict(), "rows": rows})

    def answer_commit(self, request: Request, body: bytes) -> Response:
        """Commit writes; return the revision, or 409 on a conflict."""
        self.platform.writes += 1
        value = parse_json(body)
        writes = tuple(Write(**write) for write in value["writes"])
        try:
            revision = self.platform.table.commit(
                writes, value["mutation_id"], current_time()
            )
        except TableConflictError as error:
            return error_response(
                409,
                str(error),
                key=error.key,
                current_revision=error.current_revision,
            )
        return json_response(200, {"revision": revision})

    def answer_object(self, request: Request, body: bytes) -> Response:
        """Put, get or delete one object by the request's method."""
        key = request.path.removeprefix("/objects/")
        objects = self.platform.objects
        if request.method == "PUT":
            objects[key] = body
        elif request.method == "DELETE":
            objects.pop(key, None)
        elif key not in objects:
            return error_response(404, "The object does not exist.")
        else:
            return Response(200, objects[key])
        return json_response(200, {})

    def answer_instances(self, request: Request, body: bytes) -> Response:
        """Return the instance list as of ``list_lag_s`` ago."""
        horizon_s = current_time() - self.list_lag_s
        known: dict[str, InstanceRecord] = {}
        for time_s, record in self.registrations:
            if time_s <= horizon_s:
                known[record.name] = record
        return json_response(200, [r._asdict() for r in known.values()])

    def answer_register(self, request: Request, body: bytes) -> Response:
        """Register an instance as live or leaving."""
        record = InstanceRecord(**parse_json(body))
        latest = self.platform.instances.get(record.name)
        if latest != record:
            self.registrations.append((current_time(), record))
            self.platform.instances[record.name] = record
        return json_response(200, {})

    def answer_faults(self, request: Request, body: bytes) -> Response:
        """Replace all fault rules."""
        rules = []
        for value in parse_json(body):
            rules.append(
                FaultRule(
                    callers=tuple(value.get("callers", ())),
                    down=value.get("down", False),
                    delay_s=value.get("delay_s", 0.0),
                    lose_answers=value.get("lose_answers", 0.0),
                )
            )
        self.platform.faults.rules = tuple(rules)
        return json_response(200, {})

    def answer_records(self, request: Request, body: bytes) -> Response:
        """Return all commits, the counts of calls and the object keys."""
        commits: list[dict[str, Any]] = []
        for commit in self.platform.table.commits:
            writes = [write._asdict() for write in commit.writes]
            commits.append({**commit._asdict(), "writes": writes})
        return json_response(
            200,
            {
                "commits": commits,
                "reads": self.platform.reads,
                "writes": self.platform.writes,
                "refused": self.rate_limiter.refused,
                "objects": sorted(self.platform.objects),
            },
        )


def page_limit(request: Request) -> int:
    """Return the largest number of rows to return for a request."""
    return min(PAGE_LIMIT, int(request.query.get("limit", PAGE_LIMIT)))


SERVICES = {
    ("GET", "/table/row"): PlatformServer.answer_row,
    ("GET", "/table/scan"): PlatformServer.answer_scan,
    ("GET", "/table/changes"): PlatformServer.answer_changes,
    ("POST", "/table/commit"): PlatformServer.answer_commit,
    ("GET", "/instances"): PlatformServer.answer_instances,
    ("POST", "/instances"): PlatformServer.answer_register,
}
CONTROLS = {
    ("POST", "/faults"): PlatformServer.answer_faults,
    ("GET", "/records"): PlatformServer.answer_records,
}

"""Serve the resource interface over HTTP and JSON."""

from collections.abc import Awaitable, Callable
from time import time
from typing import Any

from trio import current_time, open_nursery

from damaskstall.errors import BadRequestError, FieldProblem, ValidationError
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.messages import (
    Request,
    Response,
    json_response,
    retry_later,
)
from damaskstall.peers.config_store import NEVER, ConfigStore
from damaskstall.platform.types import TableService
from damaskstall.resources.answers import (
    AGE_HEADER,
    RETRY_AFTER_S,
    STREAM_TYPE,
    answer_error,
    no_route,
)
from damaskstall.resources.api_metrics import API_REQUESTS, TAKE_OUTS_HELD
from damaskstall.resources.bodies import (
    PAGE_DEFAULT,
    PAGE_LIMIT,
    VERSION_LIMIT,
    check_query,
    read_mutation_id,
    read_number,
    read_object,
    read_switch,
    read_version,
)
from damaskstall.resources.cancel import Canceller
from damaskstall.resources.checks import Planner, plan_nothing
from damaskstall.resources.events import RESOURCE_WRITTEN
from damaskstall.resources.reads import ResourceReader, Seen
from damaskstall.resources.records import KINDS, STATE_IN, STATE_OUT, Resource
from damaskstall.resources.routes import Match, find_route
from damaskstall.resources.selector import parse_selector
from damaskstall.resources.store import ResourceStore, new_mutation_id
from damaskstall.resources.take_out import TakeOuts, UnixClock
from damaskstall.resources.validate import is_name
from damaskstall.resources.watch import WatchHub
from damaskstall.resources.writes import Change, ResourceWriter

Parts = dict[str, str]
InstanceView = Callable[[], list[dict[str, Any]]]


class ResourceApi:
    """Answer operators' requests from the table and the configuration."""

    def __init__(
        self,
        table: TableService,
        config: ConfigStore,
        settings: EntrySettings,
        planner: Planner = plan_nothing,
        instances: InstanceView | None = None,
        unix_clock: UnixClock = time,
    ) -> None:
        """Serve what a table keeps; ``planner`` checks all guarantees."""
        self.config = config
        self.settings = settings
        self.unix_clock = unix_clock
        self.instances = instances or self.own_instance
        store = ResourceStore(table)
        self.reader = ResourceReader(store, config)
        self.writer = ResourceWriter(store, config, planner)
        self.canceller = Canceller(table, settings.instance)
        self.take_outs = TakeOuts(store, config, settings.instance, unix_clock)
        self.hub = WatchHub(table, settings.config_poll_s)
        self.requests = 0

    async def run(self) -> None:
        """Follow watched kinds and write held drains until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self.hub.run)
            nursery.start_soon(self.take_outs.run)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "requests": self.requests,
            "watches": self.hub.dump(),
            "held_take_outs": [
                pending._asdict() for pending in self.config.pending.values()
            ],
        }

    async def handle(self, request: Request) -> Response:
        """Answer one request; a refusal has changed nothing."""
        self.requests += 1
        match = find_route(request.method, request.path)
        if not isinstance(match, Match):
            return no_route(request.path, match)
        try:
            check_parts(match.parts)
            check_query(request, match.route.query)
            handler = HANDLERS[match.route.handler]
            response = await handler(self, request, match.parts)
        except Exception as error:
            response = answer_error(match, error)
        API_REQUESTS.inc(
            {"handler": match.route.handler, "status": str(response.status)}
        )
        TAKE_OUTS_HELD.set({}, len(self.config.pending))
        return response

    async def list_resources(self, request: Request, parts: Parts) -> Response:
        """Return one page of a kind; the selector is for jobs."""
        after = request.query.get("continue", "")
        if after and not is_name(after):
            raise BadRequestError("The continue token is not a name.")
        seen = await self.reader.list_page(
            parts["kind"],
            after,
            read_number(request, "limit", PAGE_DEFAULT, 1, PAGE_LIMIT),
            parse_selector(request.query.get("selector", "")),
        )
        page = seen.page
        value = {
            "items": [self.reader.seen_json(r) for r in page.resources],
            "continue": page.next_after,
            "resource_version": page.revision,
        }
        return json_response(200, value, age_headers(seen))

    async def get_resource(self, request: Request, parts: Parts) -> Response:
        """Return one resource."""
        seen = await self.reader.get(parts["kind"], parts["name"])
        resource = seen.page.resources[0]
        return json_response(
            200, self.reader.seen_json(resource), age_headers(seen)
        )

    async def create_resource(
        self, request: Request, parts: Parts
    ) -> Response:
        """Create the resource that the body declares."""
        kind = parts["kind"]
        body = await self._read(request, ("kind", "name", "spec"))
        if body.get("kind", kind) != kind:
            raise invalid_field("kind", f"must be {kind}")
        change = self._change(request)
        created = await self.writer.create(
            kind, body.get("name"), body.get("spec"), change
        )
        self._log_write("created", created, change)
        return json_response(
            200 if change.dry_run else 201, self.reader.seen_json(created)
        )

    async def replace_resource(
        self, request: Request, parts: Parts
    ) -> Response:
        """Replace the spec of the version that the body names."""
        kind, name = parts["kind"], parts["name"]
        body = await self._read(
            request, ("kind", "name", "spec", "resource_version")
        )
        if body.get("kind", kind) != kind:
            raise invalid_field("kind", f"must be {kind}")
        if body.get("name", name) != name:
            raise invalid_field("name", f"must be {name}")
        version = read_version(
            body.get("resource_version"), "resource_version"
        )
        change = self._change(request)
        replaced = await self.writer.replace(
            kind, name, body.get("spec"), version, change
        )
        if replaced.resource_version != version:
            self._log_write("replaced", replaced, change)
        return json_response(200, self.reader.seen_json(replaced))

    async def delete_resource(
        self, request: Request, parts: Parts
    ) -> Response:
        """Delete the version that the query names."""
        version = read_number(
            request, "resource_version", -1, 0, VERSION_LIMIT
        )
        if version < 0:
            raise BadRequestError(
                "The query parameter 'resource_version' is required."
            )
        change = self._change(request)
        deleted = await self.writer.delete(
            parts["kind"], parts["name"], version, change
        )
        self._log_write("deleted", deleted, change)
        return json_response(200, self.reader.seen_json(deleted))

    async def cancel_job(self, request: Request, parts: Parts) -> Response:
        """Cancel one job."""
        name = parts["name"]
        outcome = await self.canceller.cancel(name, self.unix_clock())
        return json_response(200, {"name": name, "outcome": outcome})

    async def cancel_jobs(self, request: Request, parts: Parts) -> Response:
        """Cancel a bounded number of the jobs that a selector matches."""
        body = await self._read(request, ("selector", "continue"))
        text = body.get("selector")
        if not isinstance(text, str):
            raise invalid_field("selector", "must be a text")
        selector = parse_selector(text)
        if selector.matches_all:
            raise invalid_field("selector", "must not match every job")
        after = body.get("continue", "")
        if after != "" and not is_name(after):
            raise invalid_field("continue", "must come from the last answer")
        wave = await self.canceller.cancel_wave(
            selector, after, self.unix_clock()
        )
        value = wave._asdict()
        value["continue"] = value.pop("next_after")
        return json_response(200, value)

    async def drain_failure_domain(
        self, request: Request, parts: Parts
    ) -> Response:
        """Take a failure domain out; 202 while only memory has it."""
        name = parts["name"]
        version = await self.take_outs.drain(name)
        value = {"name": name, "state": STATE_OUT, "kept": version is not None}
        if version is None:
            return json_response(202, value)
        return json_response(200, {**value, "resource_version": version})

    async def restore_failure_domain(
        self, request: Request, parts: Parts
    ) -> Response:
        """Bring a failure domain back."""
        name = parts["name"]
        version = await self.take_outs.restore(name)
        value = {"name": name, "state": STATE_IN, "resource_version": version}
        return json_response(200, value)

    async def watch_resources(
        self, request: Request, parts: Parts
    ) -> Response:
        """Stream a kind's changes after a version, or from now on."""
        kind = parts["kind"]
        if self.hub.is_full(kind):
            return retry_later(
                429, "There are too many watchers.", RETRY_AFTER_S
            )
        version: int | None = None
        if "from_version" in request.query:
            version = read_number(request, "from_version", 0, 0, VERSION_LIMIT)
        watcher = await self.hub.open(kind, version)
        headers = (("content-type", STREAM_TYPE),)
        return Response(200, watcher.lines(), headers, close=True)

    async def list_instances(self, request: Request, parts: Parts) -> Response:
        """List the product's processes and what they run by."""
        return json_response(200, {"items": self.instances()})

    def own_instance(self) -> list[dict[str, Any]]:
        """Return this process alone."""
        age_s = self.config.age_s(current_time())
        return [
            {
                "instance": self.settings.instance,
                "failure_domain": self.settings.failure_domain,
                "program": "damaskstall-entry",
                "revision": self.config.revision,
                "age_s": (
                    None
                    if self.config.confirmed_s == NEVER
                    else round(age_s, 3)
                ),
            }
        ]

    async def _read(
        self, request: Request, known: tuple[str, ...]
    ) -> dict[str, Any]:
        return await read_object(
            request, self.settings.body_limit_bytes, known
        )

    def _change(self, request: Request) -> Change:
        default = new_mutation_id(self.settings.instance)
        return Change(
            read_mutation_id(request, default),
            self.unix_clock(),
            read_switch(request, "dry_run"),
        )

    def _log_write(
        self, action: str, resource: Resource, change: Change
    ) -> None:
        if change.dry_run:
            return
        log(
            RESOURCE_WRITTEN,
            action=action,
            kind=resource.kind,
            resource=resource.name,
            version=resource.resource_version,
            mutation_id=change.mutation_id,
        )


def age_headers(seen: Seen) -> tuple[tuple[str, str], ...]:
    """Return the header that tells the age of what memory served."""
    if seen.age_s is None:
        return ()
    return ((AGE_HEADER, f"{seen.age_s:.3f}"),)


def check_parts(parts: Parts) -> None:
    """Raise BadRequestError for a kind or name that cannot be."""
    if parts.get("kind", KINDS[0]) not in KINDS:
        raise BadRequestError(f"The kind must be one of {', '.join(KINDS)}.")
    if "name" in parts and not is_name(parts["name"]):
        raise BadRequestError("The path does not contain a valid name.")


def invalid_field(path: str, message: str) -> ValidationError:
    """Return the error of one bad field."""
    return ValidationError((FieldProblem(path, message),))


Handler = Callable[[ResourceApi, Request, Parts], Awaitable[Response]]

HANDLERS: dict[str, Handler] = {
    "list_resources": ResourceApi.list_resources,
    "create_resource": ResourceApi.create_resource,
    "get_resource": ResourceApi.get_resource,
    "replace_resource": ResourceApi.replace_resource,
    "delete_resource": ResourceApi.delete_resource,
    "cancel_job": ResourceApi.cancel_job,
    "cancel_jobs": ResourceApi.cancel_jobs,
    "drain_failure_domain": ResourceApi.drain_failure_domain,
    "restore_failure_domain": ResourceApi.restore_failure_domain,
    "watch_resources": ResourceApi.watch_resources,
    "list_instances": ResourceApi.list_instances,
}

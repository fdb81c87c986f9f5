"""Serve the resource interface as JSON over HTTP."""

from collections.abc import Awaitable, Callable
from time import time
from typing import Any

from trio import current_time, move_on_after, open_nursery

from damaskstall.errors import (
    BadRequestError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.messages import (
    Request,
    Response,
    json_response,
    retry_later_response,
)
from damaskstall.peers.config_store import NEVER, ConfigStore
from damaskstall.platform.types import TableService
from damaskstall.resources.api_metrics import API_REQUESTS, TAKE_OUTS_HELD
from damaskstall.resources.cancel import Canceller
from damaskstall.resources.consistency import (
    Planner,
    Rules,
    no_missing_guarantees,
)
from damaskstall.resources.drains import DrainManager, UnixClock
from damaskstall.resources.events import RESOURCE_WRITTEN
from damaskstall.resources.reader import ResourceReader
from damaskstall.resources.records import STATE_IN, STATE_OUT, Resource
from damaskstall.resources.request_parsing import (
    PAGE_DEFAULT,
    PAGE_LIMIT,
    VERSION_LIMIT,
    ApiCall,
    read_boolean,
    read_call,
    read_mutation_id,
    read_number,
    read_version,
)
from damaskstall.resources.responses import (
    RETRY_AFTER_S,
    STREAM_TYPE,
    age_headers,
    invalid_field,
    no_route_response,
    response_for_error,
)
from damaskstall.resources.routes import Match, Route, find_route
from damaskstall.resources.selector import parse_selector
from damaskstall.resources.store import ResourceStore, new_mutation_id
from damaskstall.resources.validate import is_name
from damaskstall.resources.watch import WatchHub
from damaskstall.resources.writer import ChangeRequest, ResourceWriter

RESPONSE_TIMEOUT_S = 8.0

InstanceLister = Callable[[], Awaitable[list[dict[str, Any]]]]


class ResourceApi:
    """The HTTP request handlers of the resource interface."""

    def __init__(
        self,
        table: TableService,
        config: ConfigStore,
        settings: EntrySettings,
        planner: Planner = no_missing_guarantees,
        instances: InstanceLister | None = None,
        unix_clock: UnixClock = time,
    ) -> None:
        """Serve the resources of a table; ``planner`` checks guarantees."""
        self.config = config
        self.settings = settings
        self.unix_clock = unix_clock
        self.instances = instances or self.list_own_instance
        store = ResourceStore(table)
        self.reader = ResourceReader(store, config)
        rules = Rules(planner, settings.cell_worker_limit)
        self.writer = ResourceWriter(store, config, rules)
        self.canceller = Canceller(table, settings.instance)
        self.drains = DrainManager(
            store, config, settings.instance, unix_clock
        )
        self.hub = WatchHub(table, settings.config_poll_s)
        self.requests = 0

    async def run(self) -> None:
        """Poll watched kinds and retry pending drains until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self.hub.run)
            nursery.start_soon(self.drains.run)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values, for debugging."""
        return {
            "requests": self.requests,
            "watches": self.hub.dump(),
            "held_take_outs": [
                pending._asdict() for pending in self.config.pending.values()
            ],
        }

    def close_watches(self) -> None:
        """End every watch stream, for a graceful stop."""
        self.hub.close()

    async def handle(self, request: Request) -> Response:
        """Return the response to one request.

        A refused request has changed nothing.
        """
        self.requests += 1
        match = find_route(request.method, request.path)
        if not isinstance(match, Match):
            return no_route_response(request.path, match)
        try:
            limit_bytes = self.settings.body_limit_bytes
            call = await read_call(request, match, limit_bytes)
            response = await self._answer(call, match.route)
        except Exception as error:
            response = response_for_error(match.route, error)
        API_REQUESTS.inc(
            {"handler": match.route.handler, "status": str(response.status)}
        )
        TAKE_OUTS_HELD.set({}, len(self.config.pending))
        return response

    async def _answer(self, call: ApiCall, route: Route) -> Response:
        """Return the handler's response, or raise an error on a timeout."""
        with move_on_after(RESPONSE_TIMEOUT_S):
            return await HANDLERS[route.handler](self, call)
        if route.method == "GET":
            raise TableUnavailableError("The table did not answer in time.")
        raise TableOutcomeUnknownError("The table did not answer in time.")

    async def list_resources(self, call: ApiCall) -> Response:
        """Return one page of a kind; only jobs can be selected."""
        request = call.request
        after = request.query.get("continue", "")
        if after and not is_name(after):
            raise BadRequestError("The continue token is not a valid name.")
        read_result = await self.reader.list_page(
            call.kind,
            after,
            read_number(request, "limit", PAGE_DEFAULT, 1, PAGE_LIMIT),
            parse_selector(request.query.get("selector", "")),
        )
        page = read_result.page
        value = {
            "items": [self.reader.api_json(r) for r in page.resources],
            "continue": page.next_after,
            "resource_version": page.revision,
        }
        return json_response(200, value, age_headers(read_result.age_s))

    async def get_resource(self, call: ApiCall) -> Response:
        """Return one resource."""
        read_result = await self.reader.get(call.kind, call.name)
        shown = self.reader.api_json(read_result.page.resources[0])
        return json_response(200, shown, age_headers(read_result.age_s))

    async def create_resource(self, call: ApiCall) -> Response:
        """Create the resource that the body declares."""
        change = self._change_request(call.request)
        name, spec = call.body.get("name"), call.body.get("spec")
        created = await self.writer.create(call.kind, name, spec, change)
        self._log_write("created", created, change)
        status = 200 if change.dry_run else 201
        return json_response(status, self.reader.api_json(created))

    async def replace_resource(self, call: ApiCall) -> Response:
        """Replace the spec of a resource at the version in the body."""
        version = read_version(
            call.body.get("resource_version"), "resource_version"
        )
        change = self._change_request(call.request)
        replaced = await self.writer.replace(
            call.kind, call.name, call.body.get("spec"), version, change
        )
        if replaced.resource_version != version:
            self._log_write("replaced", replaced, change)
        return json_response(200, self.reader.api_json(replaced))

    async def delete_resource(self, call: ApiCall) -> Response:
        """Delete a resource at the version in the query."""
        if "resource_version" not in call.request.query:
            raise BadRequestError(
                "The query parameter 'resource_version' is required."
            )
        version = read_number(
            call.request, "resource_version", 0, 0, VERSION_LIMIT
        )
        change = self._change_request(call.request)
        deleted = await self.writer.delete(
            call.kind, call.name, version, change
        )
        self._log_write("deleted", deleted, change)
        return json_response(200, self.reader.api_json(deleted))

    async def cancel_job(self, call: ApiCall) -> Response:
        """Cancel one job."""
        outcome = await self.canceller.cancel(call.name, self.unix_clock())
        return json_response(200, {"name": call.name, "outcome": outcome})

    async def cancel_jobs(self, call: ApiCall) -> Response:
        """Cancel a bounded number of the jobs that a selector matches."""
        text = call.body.get("selector")
        if not isinstance(text, str):
            raise invalid_field("selector", "must be a string")
        selector = parse_selector(text)
        if selector.matches_all:
            raise invalid_field("selector", "must not match every job")
        after = call.body.get("continue", "")
        if after != "" and not is_name(after):
            raise invalid_field(
                "continue", "must be the value from the previous response"
            )
        result = await self.canceller.cancel_matching(
            selector, after, self.unix_clock()
        )
        value = result._asdict()
        value["continue"] = value.pop("next_after")
        return json_response(200, value)

    async def drain_failure_domain(self, call: ApiCall) -> Response:
        """Drain a failure domain; 202 means in force in memory only."""
        version = await self.drains.drain(call.name)
        value = {"name": call.name, "state": STATE_OUT}
        if version is None:
            return json_response(202, {**value, "kept": False})
        kept = {**value, "kept": True, "resource_version": version}
        return json_response(200, kept)

    async def restore_failure_domain(self, call: ApiCall) -> Response:
        """Return a failure domain to service."""
        version = await self.drains.restore(call.name)
        value = {"name": call.name, "state": STATE_IN}
        kept = {**value, "kept": True, "resource_version": version}
        return json_response(200, kept)

    async def watch_resources(self, call: ApiCall) -> Response:
        """Stream a kind's changes after a given or the current version."""
        if self.hub.is_full(call.kind):
            return retry_later_response(
                429,
                "The limit of watchers of this kind is reached.",
                RETRY_AFTER_S,
            )
        version: int | None = None
        if "from_version" in call.request.query:
            version = read_number(
                call.request, "from_version", 0, 0, VERSION_LIMIT
            )
        watcher = await self.hub.open(call.kind, version)
        headers = (("content-type", STREAM_TYPE),)
        return Response(200, watcher.lines(), headers, close=True)

    async def list_instances(self, call: ApiCall) -> Response:
        """List the product's processes and their configuration revisions."""
        return json_response(200, {"items": await self.instances()})

    async def list_own_instance(self) -> list[dict[str, Any]]:
        """Return this process as the only instance."""
        age_s = self.config.age_s(current_time())
        return [
            {
                "instance": self.settings.instance,
                "failure_domain": self.settings.failure_domain,
                "program": "damaskstall-entry",
                "config_revision": self.config.config_revision,
                "confirmed_age_s": (
                    None
                    if self.config.confirmed_s == NEVER
                    else round(age_s, 3)
                ),
            }
        ]

    def _change_request(self, request: Request) -> ChangeRequest:
        default = new_mutation_id(self.settings.instance)
        return ChangeRequest(
            read_mutation_id(request, default),
            self.unix_clock(),
            read_boolean(request, "dry_run"),
        )

    def _log_write(
        self, action: str, resource: Resource, change: ChangeRequest
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


Handler = Callable[[ResourceApi, ApiCall], Awaitable[Response]]

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

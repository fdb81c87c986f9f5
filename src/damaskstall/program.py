"""Provide what long-running programs share: probes, signals and start-up."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from json import dumps
from signal import SIGINT, SIGTERM
from typing import Any, Protocol

from trio import TASK_STATUS_IGNORED as IGNORED
from trio import Event, Nursery, TaskStatus, open_nursery, open_signal_receiver

from damaskstall.addresses import Address
from damaskstall.events import (
    PROGRAM_STARTED,
    PROGRAM_STOPPED,
    PROGRAM_STOPPING,
    log,
)
from damaskstall.http.messages import (
    Handler,
    Request,
    Response,
    error_response,
    json_response,
)
from damaskstall.metrics import render_metrics


class ProcessState(Protocol):
    """An interface to the readiness and the state of a process."""

    def is_ready(self) -> bool:
        """Return whether the process is ready for new requests."""

    def dump(self) -> dict[str, Any]:
        """Return the full state as JSON values, without secrets."""


class Program(ProcessState, Protocol):
    """An interface to start and drain a long-running program."""

    async def start(self, nursery: Nursery) -> dict[str, Address]:
        """Start all tasks and listeners; return the bound addresses."""

    async def drain(self) -> None:
        """Finish the work in progress, within the settings' time limit."""


def probe_handler(state: ProcessState, fallback: Handler) -> Handler:
    """Return a handler of probes, metrics and state dumps.

    It passes other paths to ``fallback``.
    """

    async def handle(request: Request) -> Response:
        probe = PROBES.get(request.path)
        if probe is None:
            return await fallback(request)
        if request.method != "GET":
            return error_response(405, "This path allows only the method GET.")
        return probe(state)

    return handle


def health_response(state: ProcessState) -> Response:
    """Return the response of the liveness probe."""
    return json_response(200, {"status": "ok"})


def readiness_response(state: ProcessState) -> Response:
    """Return the response of the readiness probe: 200 if ready, else 503."""
    if state.is_ready():
        return json_response(200, {"status": "ready"})
    return json_response(503, {"status": "not ready"})


def metrics_response(state: ProcessState) -> Response:
    """Return a response with all metrics in Prometheus text format."""
    content, headers = render_metrics()
    return Response(200, content, tuple(headers.items()))


def dump_response(state: ProcessState) -> Response:
    """Return a response with the full state of the process."""
    return json_response(200, state.dump())


PROBES: dict[str, Callable[[ProcessState], Response]] = {
    "/healthz": health_response,
    "/readyz": readiness_response,
    "/metrics": metrics_response,
    "/debug/state": dump_response,
}


async def not_found(request: Request) -> Response:
    """Return the response to a request with an unknown path."""
    return error_response(
        404, f"There is no resource at the path {request.path}."
    )


def print_addresses(**addresses: object) -> None:
    """Print the bound addresses as one JSON line on standard output."""
    listed = {name: str(value) for name, value in addresses.items()}
    print(dumps(listed), flush=True)


@asynccontextmanager
async def stop_signal() -> AsyncIterator[Event]:
    """Yield an event that is set on SIGTERM or SIGINT."""
    stop = Event()

    async def watch(task_status: TaskStatus[None] = IGNORED) -> None:
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            task_status.started()
            async for _ in signals:
                stop.set()

    async with open_nursery() as nursery:
        await nursery.start(watch)
        yield stop
        nursery.cancel_scope.cancel()


async def serve_until_stopped(
    name: str, instance: str, program: Program
) -> None:
    """Run a program until a stop signal arrives, then drain it and return."""
    async with stop_signal() as stop, open_nursery() as nursery:
        addresses = await program.start(nursery)
        log(PROGRAM_STARTED, program=name, instance=instance)
        print_addresses(**addresses)
        await stop.wait()
        log(PROGRAM_STOPPING, program=name, instance=instance)
        await program.drain()
        nursery.cancel_scope.cancel()
    log(PROGRAM_STOPPED, program=name, instance=instance)

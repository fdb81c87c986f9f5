"""Serve the stand-in machine list, page by page."""

from collections.abc import Callable, Iterable
from typing import Any

from trio import TASK_STATUS_IGNORED, TaskStatus, sleep
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.http.messages import Request, Response, json_response
from damaskstall.http.server import DrainState, ServerLimits, serve_connection
from standins.network import MemoryNetwork
from standins.operators.worker import StandinWorker

HOST = "machines"
ADDRESS = Address("10.0.0.2", 8524)
PAGE_SIZE = 2
LIMITS = ServerLimits(connections=1000, idle_timeout_s=600.0)


class StandinMachineList:
    """Server of the list of the workers' machines.

    Any ``status`` but 200 is the answer to all calls, without a list.
    """

    def __init__(
        self,
        network: MemoryNetwork,
        workers: Callable[[], Iterable[StandinWorker]],
    ) -> None:
        """Serve at ADDRESS of an in-memory network."""
        self.network = network
        self.workers = workers
        self.status = 200
        # Unless None, this answer is served instead of the list.
        self.answer: Any = None
        self.calls = 0
        # Workers without an entry, and those whose machines are shown as they
        # were before the workers started.
        self.hidden: set[str] = set()
        self.outdated: set[str] = set()
        # Delay of each answer after its page was read.
        self.delay_s = 0.0
        self._hidden_once: set[str] = set()

    def hide_once(self, name: str) -> None:
        """Leave a worker's entry out of the next reading of all pages.

        An entry is missed that moves to an earlier page during a reading.
        """
        self._hidden_once.add(name)

    async def run(
        self, task_status: TaskStatus[Address] = TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        end = self.network.endpoint(HOST)
        await end.serve(self._serve, ADDRESS, task_status)

    async def _serve(self, stream: HalfCloseableStream) -> None:
        await serve_connection(stream, self._handle, LIMITS, DrainState())

    async def _handle(self, request: Request) -> Response:
        self.calls += 1
        if self.status != 200:
            return json_response(self.status, {})
        if self.answer is not None:
            return json_response(200, self.answer)
        first = int(request.query.get("page_token", "0"))
        hidden = self.hidden | self._hidden_once
        entries = [
            entry(worker, worker.name in self.outdated)
            for worker in self.workers()
            if worker.name not in hidden
        ]
        last = first + PAGE_SIZE
        token = str(last) if last < len(entries) else None
        if token is None:
            self._hidden_once.clear()
        await sleep(self.delay_s)
        return json_response(
            200, {"machines": entries[first:last], "next_page_token": token}
        )


def entry(worker: StandinWorker, outdated: bool) -> dict[str, Any]:
    """Return the list's entry for a worker's machine.

    An outdated entry shows the machine before the worker started on it.
    """
    up = worker.up and not outdated
    return {
        "machine": f"m-{worker.name}",
        "pool": "svc",
        "state": "up" if up else "down",
        "zone": "fd0",
        "labels": ["a", worker.rack],
        "capacity": worker.capacity,
        "identifier": worker.name if up else "",
    }

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
    Workers in ``hidden`` have no entry. The entries of those in ``moving``
    move to the first page while the later ones are read, so that a reader of
    several pages does not find them. Those in ``outdated`` are shown as
    before the workers started. Each answer takes ``delay_s`` after its page
    was read.
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
        self.hidden: set[str] = set()
        self.moving: set[str] = set()
        self.outdated: set[str] = set()
        self.delay_s = 0.0
        self.calls = 0
        self._hidden_once: set[str] = set()
        self._lagging: dict[str, dict[str, Any]] | None = None

    def hide_once(self, name: str) -> None:
        """Leave a worker's entry out of the next reading of all pages."""
        self._hidden_once.add(name)

    def lag(self) -> None:
        """Keep showing the machines as they are now, until ``catch_up``."""
        self._lagging = self._current()

    def catch_up(self) -> None:
        """Show the machines as they are."""
        self._lagging = None

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
        entries = self._entries(first)
        last = first + PAGE_SIZE
        token = str(last) if last < len(entries) else None
        if token is None:
            self._hidden_once.clear()
        await sleep(self.delay_s)
        return json_response(
            200, {"machines": entries[first:last], "next_page_token": token}
        )

    def _current(self) -> dict[str, dict[str, Any]]:
        """Return the entries by worker, the newest one of each machine."""
        newest = {worker.machine: worker for worker in self.workers()}
        return {
            worker.name: entry(worker, worker.name in self.outdated)
            for worker in newest.values()
        }

    def _entries(self, first: int) -> list[dict[str, Any]]:
        """Return all entries, in their order while a page is read."""
        shown = self._current() if self._lagging is None else self._lagging
        hidden = self.hidden | self._hidden_once
        names = [name for name in shown if name not in hidden]
        is_first_page = first == 0
        names.sort(key=lambda name: (name in self.moving) == is_first_page)
        return [shown[name] for name in names]


def entry(worker: StandinWorker, outdated: bool) -> dict[str, Any]:
    """Return the list's entry for a worker's machine.

    An outdated entry shows the machine before the worker started on it.
    """
    up = worker.up and not outdated
    return {
        "machine": worker.machine,
        "pool": "svc",
        "state": "up" if up else "down",
        "zone": f"fd{worker.name[1]}",
        "labels": ["a", worker.rack],
        "capacity": worker.capacity,
        "identifier": worker.name if up else "",
    }

"""Serve one stand-in worker over HTTP.

In addition to the interface of docs/WORKER_INTERFACE.md, ``/faults`` sets the
faults, ``/restart`` resets the worker and ``/records`` returns its records.
"""

from trio import Event, current_time, move_on_after, sleep, sleep_forever

from damaskstall.errors import ConnectionLostError
from damaskstall.http.messages import (
    Request,
    Response,
    error_response,
    json_response,
    parse_json,
)
from standins.worker.core import WorkerCore
from standins.worker.tasks import WorkerFaults

BODY_LIMIT_BYTES = 4 * 1024 * 1024


class WorkerServer:
    """Answers a worker's requests and advances it as time passes."""

    def __init__(self, core: WorkerCore) -> None:
        """Create the server of a worker."""
        self.core = core
        self._changed = Event()

    async def run(self) -> None:
        """End tasks when they finish or expire, until cancelled."""
        while True:
            now_s = current_time()
            self.core.advance(now_s)
            left_s = self.core.next_event_s(now_s) - now_s
            changed = self._changed
            with move_on_after(max(0.001, left_s)):
                await changed.wait()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        body = await request.body.read(BODY_LIMIT_BYTES)
        if (request.method, request.path) == ("POST", "/exchange"):
            return await self.answer_exchange(body)
        if (request.method, request.path) == ("POST", "/faults"):
            self.set_faults(WorkerFaults(**parse_json(body)))
            return json_response(200, {})
        if (request.method, request.path) == ("POST", "/restart"):
            self.core.restart(current_time())
            return json_response(200, {})
        if (request.method, request.path) == ("GET", "/records"):
            self.core.advance(current_time())
            return json_response(200, self.core.records)
        return error_response(404, "The worker has no such method and path.")

    def set_faults(self, faults: WorkerFaults) -> None:
        """Replace the active faults."""
        self.core.advance(current_time())
        self.core.faults = faults
        self.notify_change()

    def notify_change(self) -> None:
        """Wake ``run``, as the time of the next event may have changed."""
        self._changed.set()
        self._changed = Event()

    async def answer_exchange(self, body: bytes) -> Response:
        """Apply one exchange and answer it, subject to the active faults."""
        faults = self.core.faults
        if faults.unreachable:
            await sleep_forever()
        await sleep(faults.delay_s)
        answer = self.core.exchange(parse_json(body), current_time())
        self.notify_change()
        if faults.lose_answers > 0:
            left = faults.lose_answers - 1
            self.core.faults = self.core.faults._replace(lose_answers=left)
            raise ConnectionLostError(
                "The fault lose_answers drops the answer."
            )
        return json_response(200, answer)

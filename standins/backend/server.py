"""Serve the stand-in backend server over HTTP/1.1.

``POST /<service>`` runs a request, ``GET /health`` returns whether the server
accepts requests, ``GET /records`` lists the runs, ``POST /faults`` sets the
fault rules and ``POST /state`` sets the server to leaving or serving.
"""

from collections.abc import AsyncIterator
from functools import partial

from trio import (
    TASK_STATUS_IGNORED,
    TaskStatus,
    current_time,
    sleep,
    sleep_forever,
)
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.errors import ConnectionLostError
from damaskstall.http.messages import (
    Headers,
    Request,
    Response,
    error_response,
    json_response,
    parse_json,
    retry_later_response,
)
from damaskstall.http.server import (
    DrainState,
    ServerLimits,
    serve_connection,
)
from damaskstall.network import Network
from standins.backend.core import BackendCore, BackendRequest, RunRecord
from standins.backend.faults import (
    CROSSED,
    DROPPED,
    DUPLICATED,
    FAILING,
    HANG,
    LATE,
    TRUNCATED,
    TRUNCATED_LENGTH,
    FaultRule,
)

BODY_LIMIT_BYTES = 64 * 1024 * 1024
PART_BYTES = 16384
ID_HEADER = "damaskstall-request-id"
LEAVING_HEADER = "damaskstall-leaving"
WHOLE = "whole"
IDLE_TIMEOUT_S = 3600.0


class BackendServer:
    """The HTTP server of requests and of the stand-in's controls."""

    def __init__(self, core: BackendCore) -> None:
        """Serve the requests of one core."""
        self.core = core
        self.drain = DrainState()
        self.limits = ServerLimits(
            connections=core.settings.connection_limit,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self.peak_connections = 0
        self.refused_connections = 0

    async def serve(
        self,
        network: Network,
        address: Address,
        task_status: TaskStatus[Address] = TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until cancelled; report the bound address."""
        await network.serve(
            self.serve_stream, address, task_status=task_status
        )

    async def serve_stream(self, stream: HalfCloseableStream) -> None:
        """Serve one connection, or close it if the limit is reached."""
        if self.drain.connections >= self.limits.connections:
            self.refused_connections += 1
        await serve_connection(
            stream, partial(self.handle, stream), self.limits, self.drain
        )

    async def handle(
        self, stream: HalfCloseableStream, request: Request
    ) -> Response:
        """Return the response to a request or a control call."""
        self.peak_connections = max(
            self.peak_connections, self.drain.connections
        )
        control = CONTROLS.get((request.method, request.path))
        if control is not None:
            body = await request.body.read(BODY_LIMIT_BYTES)
            return control(self, body)
        if request.method != "POST":
            return error_response(
                405, "A request to a service must use the method POST."
            )
        return await self.answer_request(stream, request)

    async def answer_request(
        self, stream: HalfCloseableStream, request: Request
    ) -> Response:
        """Run a request and return its response, faulty if a rule applies."""
        core = self.core
        request_id = request.headers.get(ID_HEADER, "")
        headers: Headers = ((ID_HEADER, request_id),)
        if core.refuses(current_time()):
            refusal = retry_later_response(
                503, "The server accepts no more requests.", 1
            )
            return refusal._replace(
                headers=refusal.headers + headers + self._leaving()
            )
        body = await request.body.read(BODY_LIMIT_BYTES)
        team = request.headers.get("damaskstall-team", "")
        backend_request = BackendRequest(
            request_id, request.path.lstrip("/"), team, body
        )
        fault = core.faults.next_fault()
        if fault is not None and fault.kind == FAILING:
            response = error_response(
                500, "The server fails because of an injected fault.", headers
            )
            return response
        record, answer = await core.run(backend_request, fault)
        headers += (("content-type", "text/plain"),) + self._leaving()
        if fault is None:
            record.answered = WHOLE
            core.last_answer = (request_id, answer)
            return Response(200, answer, headers)
        record.answered = fault.kind
        return await self._faulty_response(
            stream, fault, record, answer, headers
        )

    async def _faulty_response(
        self,
        stream: HalfCloseableStream,
        fault: FaultRule,
        record: RunRecord,
        answer: bytes,
        headers: Headers,
    ) -> Response:
        if fault.kind == DROPPED:
            raise ConnectionLostError(
                "The response is dropped by an injected fault."
            )
        if fault.kind == HANG:
            await sleep_forever()
        if fault.kind == LATE:
            await sleep(fault.delay_s)
        if fault.kind == CROSSED:
            other = self.core.last_answer or ("nobody", b"nothing")
            return Response(200, other[1], ((ID_HEADER, other[0]),))
        if fault.kind == TRUNCATED:
            return Response(200, truncated_parts(answer), headers)
        if fault.kind == TRUNCATED_LENGTH:
            length = ("content-length", str(len(answer)))
            return Response(200, truncated_parts(answer), (*headers, length))
        if fault.kind == DUPLICATED:
            length = ("content-length", str(len(answer)))
            twice = duplicated_parts(stream, answer, record.request_id)
            return Response(200, twice, (*headers, length))
        return Response(200, answer, headers)

    def _leaving(self) -> Headers:
        return ((LEAVING_HEADER, "true"),) if self.core.leaving else ()

    def answer_health(self, body: bytes) -> Response:
        """Return the server's state and its numbers of requests."""
        core = self.core
        state = "leaving" if core.leaving else "serving"
        return json_response(
            200,
            {
                "state": state,
                "running": core.running,
                "waiting": len(core.waiting),
            },
        )

    def answer_records(self, body: bytes) -> Response:
        """Return the records of all runs."""
        records = [record.as_json() for record in self.core.records]
        return json_response(200, records)

    def set_faults(self, body: bytes) -> Response:
        """Replace the fault rules by those of a JSON list."""
        rules = [FaultRule(**rule) for rule in parse_json(body)]
        self.core.faults.rules = rules
        return json_response(200, {"rules": len(rules)})

    def set_state(self, body: bytes) -> Response:
        """Set the server to leaving or serving, as a JSON object states."""
        self.core.leaving = parse_json(body)["state"] == "leaving"
        return json_response(200, {})


CONTROLS = {
    ("GET", "/health"): BackendServer.answer_health,
    ("GET", "/records"): BackendServer.answer_records,
    ("POST", "/faults"): BackendServer.set_faults,
    ("POST", "/state"): BackendServer.set_state,
}


async def truncated_parts(answer: bytes) -> AsyncIterator[bytes]:
    """Yield the first half of a response body, then fail."""
    half = answer[: len(answer) // 2]
    for start in range(0, len(half), PART_BYTES):
        yield half[start : start + PART_BYTES]
    raise ConnectionLostError(
        "The response is truncated by an injected fault."
    )


async def duplicated_parts(
    stream: HalfCloseableStream, answer: bytes, request_id: str
) -> AsyncIterator[bytes]:
    """Yield a response body, then send a copy of the whole response."""
    yield answer
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"{ID_HEADER}: {request_id}\r\n"
        f"content-length: {len(answer)}\r\n\r\n"
    )
    await stream.send_all(head.encode() + answer)

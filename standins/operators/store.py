"""Serve the stand-in store over HTTP, with injected faults.

A fault applies to one calling host or, under ALL_CALLERS, to all of them.
"""

from base64 import b64encode
from collections.abc import Callable
from copy import deepcopy
from functools import partial
from json import dumps
from typing import Any

from trio import (
    TASK_STATUS_IGNORED,
    Event,
    Nursery,
    TaskStatus,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
    sleep_forever,
)
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.errors import ConnectionLostError
from damaskstall.http.messages import (
    Request,
    Response,
    json_response,
    parse_json,
)
from damaskstall.http.server import DrainState, ServerLimits, serve_connection
from standins.network import MemoryNetwork, PartitionableStream
from standins.operators.rows import (
    ConditionFailedError,
    HistoryCompactedError,
    RowId,
    RowTable,
    row_id,
)

HOST = "store"
ADDRESS = Address("10.0.0.1", 8524)
ALL_CALLERS = "*"
BUSY = "busy"
TOO_MANY = "many"
RESET = "reset"
SILENT = "silent"
ANSWER_DELAY_S = 0.004
TRANSACTION_DELAY_S = 0.005
WAIT_LIMIT_S = 30.0
LIMITS = ServerLimits(connections=100_000, idle_timeout_s=600.0)


def no_delay(body: dict[str, Any]) -> float | None:
    """Delay no write."""
    return None


class OperatorsStore:
    """The store's server, with its rows, injected faults and call counts."""

    def __init__(self, network: MemoryNetwork) -> None:
        """Serve at ADDRESS of an in-memory network."""
        self.network = network
        self.rows = RowTable()
        self.faults: dict[str, str] = {}
        self.slow_factor = 1.0
        # The number of next writes without an answer, and the delays of the
        # next writes.
        self.answers_to_lose = 0
        self.write_delays_s: list[float] = []
        # Returns the delay of a write that is to be performed late and without
        # an answer, None for any other.
        self.delay_of: Callable[[dict[str, Any]], float | None] = no_delay
        # The calls that were answered, by path, and by path and table.
        self.calls: dict[str, int] = {}
        self.table_calls: dict[tuple[str, str], int] = {}
        # The parts whose rows are neither read nor written.
        self.failing_parts: set[str] = set()
        # The tables and parts that are read as of the time of their keeping.
        self.old_parts: set[tuple[str, str]] = set()
        self.old_answers = 0
        self._old_rows = self.rows
        # The paths whose calls for one table are answered with 503 or, if
        # silent, not at all: by path, table and caller (or ALL_CALLERS).
        self.failing_calls: dict[tuple[str, str, str], str] = {}
        self.failed_calls = 0
        # While set, watches report no changes.
        self.withhold_changes = False
        self._history_drops = 0
        self._changed = Event()
        self._nursery: Nursery | None = None

    async def run(
        self, task_status: TaskStatus[None] = TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        async with open_nursery() as nursery:
            self._nursery = nursery
            end = self.network.endpoint(HOST)
            await nursery.start(end.serve, self._serve, ADDRESS)
            task_status.started()
            await sleep_forever()

    def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Write a row as operators and workers do; return its version."""
        text = b64encode(dumps(value).encode()).decode()
        return self.put_text(table, key, text, part)

    def put_text(self, table: str, key: str, text: str, part: str = "") -> int:
        """Write a row's base64 text; return its version."""
        row_fields = RowId(table, part, key)._asdict()
        return self._apply({"writes": [{**row_fields, "value": text}]})

    def remove(self, table: str, key: str) -> int:
        """Remove a row as operators and workers do; return the version."""
        return self._apply({"remove": [RowId(table, "", key)._asdict()]})

    def keep_old_rows(self) -> None:
        """Keep the present rows for the reads of ``old_parts``."""
        self._old_rows = deepcopy(self.rows)

    def drop_history(self) -> None:
        """Drop all recorded changes, and end waiting watches with 410."""
        self.rows.compact_changes()
        self._history_drops += 1
        self.withhold_changes = False
        self._notify_watches()

    def expire_watches(self) -> None:
        """End waiting watches with 410, and keep the changes."""
        self._history_drops += 1
        self._notify_watches()

    def _apply(self, body: dict[str, Any]) -> int:
        full = {"expect": [], "writes": [], "remove": [], **body}
        version = self.rows.apply(full)
        self._notify_watches()
        return version

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = Event()

    async def _serve(self, stream: HalfCloseableStream) -> None:
        assert isinstance(stream, PartitionableStream)
        handler = partial(self._handle, stream.peer)
        await serve_connection(stream, handler, LIMITS, DrainState())

    async def _handle(self, caller: str, request: Request) -> Response:
        await self._apply_fault(caller)
        if self._fault(caller) in (BUSY, TOO_MANY):
            status = 503 if self._fault(caller) == BUSY else 429
            return json_response(status, {})
        if await self._fails_call(caller, request):
            return json_response(503, {})
        self._count_call(request)
        await sleep(ANSWER_DELAY_S * self.slow_factor)
        if request.path == "/rows-tx":
            return await self._transact(request)
        if request.path == "/rows-get":
            return self._get(request.query)
        if request.path == "/rows-feed":
            return await self._feed(caller, request.query)
        return json_response(404, {})

    async def _fails_call(self, caller: str, request: Request) -> bool:
        """Return whether a call is refused; never return if it is silent."""
        table = request.query.get("table", "")
        for who in (caller, ALL_CALLERS):
            how = self.failing_calls.get((request.path, table, who), "")
            if not how:
                continue
            self.failed_calls += 1
            if how == SILENT:
                await sleep_forever()
            return True
        return False

    def _count_call(self, request: Request) -> None:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        which = request.path, request.query.get("table", "")
        self.table_calls[which] = self.table_calls.get(which, 0) + 1

    def _fault(self, caller: str) -> str:
        return self.faults.get(caller, self.faults.get(ALL_CALLERS, ""))

    async def _apply_fault(self, caller: str) -> None:
        fault = self._fault(caller)
        if fault == SILENT:
            await sleep_forever()
        if fault == RESET:
            raise ConnectionLostError("The store resets the connection.")

    async def _transact(self, request: Request) -> Response:
        body = parse_json(await request.body.read(1_000_000))
        if self._is_failing(body["expect"] + body["writes"]):
            return json_response(503, {})
        await sleep(TRANSACTION_DELAY_S * self.slow_factor)
        delay_s = self.delay_of(body)
        if self.write_delays_s:
            delay_s = self.write_delays_s.pop(0)
        if delay_s is not None:
            assert self._nursery is not None
            self._nursery.start_soon(self._apply_later, body, delay_s)
            await sleep_forever()
        try:
            version = self._apply(body)
        except ConditionFailedError:
            rows = [self.rows.to_wire(row_id(each)) for each in body["expect"]]
            return json_response(412, {"rows": rows})
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise ConnectionLostError("The answer to the write is lost.")
        return json_response(
            200, self._with_version({"version_number": version})
        )

    async def _apply_later(self, body: dict[str, Any], delay_s: float) -> None:
        await sleep(delay_s)
        try:
            self._apply(body)
        except ConditionFailedError:
            return

    def _is_failing(self, rows: list[dict[str, Any]]) -> bool:
        return any(row["part"] in self.failing_parts for row in rows)

    def _get(self, query: dict[str, str]) -> Response:
        if query["part"] in self.failing_parts:
            return json_response(503, {})
        source = self.rows
        if (query["table"], query["part"]) in self.old_parts:
            self.old_answers += 1
            source = self._old_rows
        rows, more = source.get(
            query["table"],
            query["part"],
            query.get("from", ""),
            int(query.get("limit", "500")),
        )
        page = {"rows": rows, "more_pages": more}
        page["version_number"] = source.version
        return json_response(200, self._with_version(page))

    async def _feed(self, caller: str, query: dict[str, str]) -> Response:
        after = int(query["after"])
        wait_s = min(int(query.get("wait_ms", "0")) / 1000, WAIT_LIMIT_S)
        end_s = current_time() + wait_s
        drops = self._history_drops
        while True:
            changed = self._changed
            if drops != self._history_drops:
                return json_response(410, {})
            try:
                rows = self.rows.feed(query["table"], after)
            except HistoryCompactedError:
                return json_response(410, {})
            deliverable = rows and not self.withhold_changes
            if deliverable or current_time() >= end_s:
                return json_response(200, self._with_version({"rows": rows}))
            with move_on_after(end_s - current_time()):
                await changed.wait()
            await self._apply_fault(caller)

    def _with_version(self, value: dict[str, Any]) -> dict[str, Any]:
        return {
            "version_number": self.rows.version,
            "now_ms": round(current_time() * 1000),
            **value,
        }

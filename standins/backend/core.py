"""Run requests in a limited number of slots and record each run.

A request's body may be a JSON object: ``run_s`` sets the run time in seconds,
``tag`` is copied to the record and the response body, and ``answer_bytes``
sets the minimum length of the response body.
"""

from collections import deque
from random import Random
from typing import Any, NamedTuple

from trio import Event, current_time, sleep

from damaskstall.http.messages import parse_json
from standins.backend.faults import SLOW, FaultRule, Faults
from standins.settings import BackendStandinSettings

SPREAD_LOW = 0.5
SPREAD_HIGH = 1.5


class BackendRequest(NamedTuple):
    """One request as the server has read it."""

    request_id: str
    service: str
    team: str
    body: bytes


class RunRecord:
    """The record of one run of a request.

    Checkers compare the records with the outcomes that callers received.
    """

    def __init__(
        self, request: BackendRequest, fields: dict[str, Any], now_s: float
    ):
        """Record the start of a run at ``now_s``."""
        self.request_id = request.request_id
        self.service = request.service
        self.team = request.team
        self.tag = str(fields.get("tag", ""))
        self.started_s = now_s
        self.finished_s: float | None = None
        self.answered = ""

    def as_json(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return dict(vars(self))


class BackendCore:
    """The slots, queue, run records and faults of one backend server."""

    def __init__(self, settings: BackendStandinSettings) -> None:
        """Start in the serving state without requests."""
        self.settings = settings
        self.faults = Faults(settings.seed)
        self.random = Random(settings.seed)
        self.records: list[RunRecord] = []
        self.leaving = False
        self.running = 0
        self.waiting: deque[Event] = deque()
        self.refused = 0
        self.refused_leaving = 0
        self.arrivals_s: list[float] = []
        self.last_answer: tuple[str, bytes] | None = None

    def refuses(self, now_s: float) -> bool:
        """Record a request's arrival and return whether it is refused.

        Requests are refused, and counted as refused, while the server is
        leaving or its slots and queue are full.
        """
        self.arrivals_s.append(now_s)
        if self.leaving:
            self.refused_leaving += 1
            return True
        full = self.running >= self.settings.slots
        if full and len(self.waiting) >= self.settings.queue_limit:
            self.refused += 1
            return True
        return False

    async def run(
        self, request: BackendRequest, fault: FaultRule | None
    ) -> tuple[RunRecord, bytes]:
        """Run a request in a slot; return its record and response body."""
        await self._take_slot()
        try:
            fields = parse_fields(request.body)
            record = RunRecord(request, fields, current_time())
            self.records.append(record)
            await sleep(self._run_time_s(fields, fault))
            record.finished_s = current_time()
            return record, answer_body(request, fields)
        finally:
            self._free_slot()

    def _run_time_s(
        self, fields: dict[str, Any], fault: FaultRule | None
    ) -> float:
        spread = self.random.uniform(SPREAD_LOW, SPREAD_HIGH)
        requested_s = fields.get("run_s")
        mean_s = self.settings.service_time_s
        run_s = mean_s * spread if requested_s is None else float(requested_s)
        if fault is not None and fault.kind == SLOW:
            return run_s * fault.factor
        return run_s

    async def _take_slot(self) -> None:
        if self.running < self.settings.slots:
            self.running += 1
            return
        granted = Event()
        self.waiting.append(granted)
        try:
            await granted.wait()
        except BaseException:
            if granted.is_set():
                self._free_slot()
            else:
                self.waiting.remove(granted)
            raise

    def _free_slot(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
            return
        self.running -= 1


def parse_fields(body: bytes) -> dict[str, Any]:
    """Return the fields of a JSON object; empty for other bodies."""
    try:
        value = parse_json(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def answer_body(request: BackendRequest, fields: dict[str, Any]) -> bytes:
    """Return a body with the service and the tag, padded if requested."""
    start = f"{request.service}:{fields.get('tag', '')}:".encode()
    length = int(fields.get("answer_bytes", 0))
    return start + b"." * max(0, length - len(start))

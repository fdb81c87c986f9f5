"""Serve one stand-in worker: starts, stops, long polls, leases and fencing."""

from typing import Any

from trio import (
    TASK_STATUS_IGNORED,
    Event,
    Nursery,
    TaskStatus,
    current_time,
    move_on_after,
    sleep,
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
from standins.network import MemoryNetwork
from standins.operators.run_history import (
    CHECKPOINT_S,
    GANG_WAIT_S,
    STOP_S,
    Run,
    RunHistory,
)

PORT = 8080
LEASE_LIMIT_S = 10.0
EXPECTED_INSTANCE = "damaskstall-expected-instance"
LIMITS = ServerLimits(connections=100_000, idle_timeout_s=600.0)
NEVER_S = float("-inf")
EXPECTED_INSTANCE = "damaskstall-expected-instance"


class StandinWorker:
    """A worker that runs tasks according to the protocol."""

    def __init__(
        self,
        network: MemoryNetwork,
        history: RunHistory,
        name: str,
        address: Address,
        rack: str,
        capacity: dict[str, int],
    ) -> None:
        """Create a worker that has just started."""
        self.network = network
        self.history = history
        self.name = name
        self.address = address
        self.rack = rack
        self.capacity = capacity
        self.speed = 1.0
        self.clock_rate = 1.0
        # Delays of the next orders, which get no answer.
        self.order_delays_s: list[float] = []
        # Delays of the next renewals, which get no answer.
        self.renewal_delays_s: list[float] = []
        self.reports_born = True
        self.refuse_starts = False
        self.stall_starts = False
        self.calls: dict[str, int] = {}
        self.boot(born=1)

    def boot(self, born: int) -> None:
        """Begin a new incarnation without the state of the previous one."""
        self.up = True
        self.born = born
        self.booted_s = current_time()
        self.fence = 0
        self.lease_until_s = NEVER_S
        self.running: dict[str, Run] = {}
        self.ended: list[tuple[int, Run]] = []
        self.last_number = 0
        self.highest_runs: dict[str, int] = {}
        self._ended_event = Event()

    def crash(self) -> None:
        """End all runs without reporting them, and all connections."""
        for run in self.running.values():
            run.ended_s = current_time()
            run.how = "lost"
        self.running = {}
        self.up = False
        self.network.kill(self.name)

    async def move(self, nursery: Nursery, address: Address) -> None:
        """Continue at another address; all connections are lost."""
        self.network.kill(self.name)
        self.address = address
        await nursery.start(self.run)

    async def restart(self, nursery: Nursery) -> None:
        """Start again as the next incarnation under the same name."""
        self.boot(self.born + 1)
        await nursery.start(self.run)

    def clock_s(self) -> float:
        """Return the time on the worker's own clock."""
        return (current_time() - self.booted_s) * self.clock_rate + 100.0

    async def run(
        self, task_status: TaskStatus[Address] = TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        end = self.network.endpoint(self.name)
        await end.serve(self._serve, self.address, task_status)

    def entry(
        self, service: str, zone: str, state: str, remaining_ms: int | None
    ) -> dict[str, Any]:
        """Return the worker's row in the worker list."""
        draining = (
            {} if remaining_ms is None else {"remaining_ms": remaining_ms}
        )
        return {
            **draining,
            "service": service,
            "address": str(self.address),
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock_ms": round(self.clock_s() * 1000),
            **({"born": self.born} if self.reports_born else {}),
            "sequence": 1,
        }

    def tick(self, passed_s: float) -> None:
        """Advance all runs by a time; end those that are due or expired."""
        if self.running and self.clock_s() > self.lease_until_s:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
        for run in list(self.running.values()):
            self._work(run, passed_s)

    def _work(self, run: Run, passed_s: float) -> None:
        now_s = current_time()
        if run.stop_s is not None and now_s >= run.stop_s:
            self._end(run, "stopped")
        elif self.history.gang_done(run):
            self._end(run, "done")
        elif self.history.gang_broken(run):
            self._end(run, "broken")
        elif not self.history.gang_complete(run):
            if now_s - run.started_s > GANG_WAIT_S:
                self._end(run, "alone")
        elif not run.stalled:
            run.restore_s -= passed_s
            if run.restore_s <= 0:
                run.worked_s += passed_s * self.speed
            if self.history.worked_s(run) >= self.history.needed_s(run):
                self._end(run, self.history.choose_outcome(run))

    def _end(self, run: Run, how: str) -> None:
        run.how = how
        run.ended_s = current_time()
        del self.running[run.task]
        self.last_number += 1
        self.ended.append((self.last_number, run))
        self._ended_event.set()
        self._ended_event = Event()

    async def _serve(self, stream: HalfCloseableStream) -> None:
        await serve_connection(stream, self._handle, LIMITS, DrainState())

    async def _handle(self, request: Request) -> Response:
        body = parse_json(await request.body.read(100_000))
        if request.headers.get(EXPECTED_INSTANCE, self.name) != self.name:
            return json_response(421, {})
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if not self.up:
            raise ConnectionLostError("The worker is down.")
        if request.headers.get(EXPECTED_INSTANCE, self.name) != self.name:
            return json_response(421, self._with_clock({}))
        order = {
            "/run-start": self._start,
            "/run-stop": self._stop,
        }.get(request.path)
        if order is None:
            if self.renewal_delays_s:
                await self._carry_out_late(self.renewal_delays_s.pop(0))
                await self._hold({**body, "wait_ms": 0})
                raise ConnectionLostError("The answer is lost.")
            return await self._hold(body)
        if self.order_delays_s:
            await self._carry_out_late(self.order_delays_s.pop(0))
            order(body)
            raise ConnectionLostError("The answer to the order is lost.")
        return order(body)

    async def _carry_out_late(self, delay_s: float) -> None:
        """Wait for a delay; raise if no process is up afterwards."""
        await sleep(delay_s)
        if not self.up:
            raise ConnectionLostError("The worker is down.")

    def _fenced(self, body: dict[str, Any]) -> bool:
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def _refuse(self, reason: str) -> Response:
        return json_response(409, self._with_clock({"reason": reason}))

    def _start(self, body: dict[str, Any]) -> Response:
        if self._fenced(body):
            return self._refuse("fence")
        if self.refuse_starts:
            return json_response(503, self._with_clock({}))
        until_s = body["deadline_ms"] / 1000
        if until_s < self.clock_s():
            return self._refuse("late")
        self._extend(until_s)
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.run == number:
            return json_response(200, self._with_clock({}))
        if number <= self.highest_runs.get(task, 0):
            return self._refuse("old")
        saved_s = int(body.get("checkpoint") or "0", 16) / 1000
        run = Run(task, number, self.name, current_time(), saved_s)
        run.stalled = self.stall_starts
        self.highest_runs[task] = number
        self.running[task] = run
        self.history.record_start(run)
        return json_response(200, self._with_clock({}))

    def _stop(self, body: dict[str, Any]) -> Response:
        if self._fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run == number and run.stop_s is None:
            run.stop_s = current_time() + STOP_S
        return json_response(200, self._with_clock({}))

    async def _hold(self, body: dict[str, Any]) -> Response:
        if self._fenced(body):
            return self._refuse("fence")
        for number, run in self.ended:
            if number <= body["last_seen"] and run.acknowledged_s is None:
                run.acknowledged_s = current_time()
        self.ended = [
            entry for entry in self.ended if entry[0] > body["last_seen"]
        ]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"] / 1000)
        with move_on_after(body.get("wait_ms", 0) / 1000):
            while not self.ended:
                await self._ended_event.wait()
        return json_response(200, self._run_lists())

    def _extend(self, until_s: float) -> None:
        until_s = min(until_s, self.clock_s() + LEASE_LIMIT_S)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def _run_lists(self) -> dict[str, Any]:
        return self._with_clock(
            {
                **({"born": self.born} if self.reports_born else {}),
                "running": [
                    [
                        run.task,
                        run.run,
                        checkpoint_of(self.history, run),
                        self.history.percent(run),
                    ]
                    for run in self.running.values()
                ],
                "ended": [
                    [
                        number,
                        run.task,
                        run.run,
                        run.how,
                        checkpoint_of(self.history, run),
                    ]
                    for number, run in self.ended
                ],
            }
        )

    def _with_clock(self, value: dict[str, Any]) -> dict[str, Any]:
        return {"clock_ms": round(self.clock_s() * 1000), **value}


def checkpoint_of(history: RunHistory, run: Run) -> str:
    """Return a run's latest checkpoint, or "" without one."""
    if not history.step(run.name).get("checkpointing"):
        return ""
    whole_s = run.worked_s
    if run.how != "stopped":
        whole_s = run.worked_s // CHECKPOINT_S * CHECKPOINT_S
    return f"{round(whole_s * 1000):016x}" if whole_s else ""

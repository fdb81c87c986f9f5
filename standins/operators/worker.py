"""Serve one stand-in worker: starts, stops, long polls, leases and fencing."""

from collections.abc import Callable
from functools import partial
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
WAIT_LIMIT_S = 2.0
ENDS_PER_REPORT = 500
CLOCK_BASE_S = 100.0
UNIX_BASE_MS = 1_700_000_000_000
# What becomes of a late call if its worker has crashed before it is due: the
# crash drops it; the next incarnation carries it out if it is up by then; the
# next incarnation carries it out in any case; or only after another call.
DROPPED = "dropped"
IF_UP = "if up"
ALWAYS = "always"
AFTER_FIRST_CALL = "after first call"
EXPECTED_INSTANCE = "damaskstall-expected-instance"
LIMITS = ServerLimits(connections=100_000, idle_timeout_s=600.0)
NEVER_S = float("-inf")


def unix_ms() -> int:
    """Return the Unix time in milliseconds for the present virtual time."""
    return UNIX_BASE_MS + round(current_time() * 1000)


class StandinWorker:
    """A worker that runs tasks according to the protocol.

    The next commands and the next renewals take ``order_delays_s`` and
    ``renewal_delays_s`` to be carried out, and get no answer; ``late_calls``
    states what becomes of them after a crash. Without ``reports_born``,
    nothing that the worker says contains ``born``.
    """

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
        self.machine = f"m-{name}"
        self.capacity = capacity
        # The time of each change of the capacity, and the capacity since.
        self.capacities: list[tuple[float, dict[str, int]]] = [
            (NEVER_S, capacity)
        ]
        self.speed = 1.0
        self.clock_rate = 1.0
        self.order_delays_s: list[float] = []
        self.renewal_delays_s: list[float] = []
        self.late_calls = IF_UP
        self.reports_born = True
        self.refuse_starts = False
        self.stall_starts = False
        self.calls: dict[str, int] = {}
        self._booted = Event()
        self.boot(born=unix_ms())

    def boot(self, born: int, clock_base_s: float = CLOCK_BASE_S) -> None:
        """Begin a new incarnation without the state of the previous one."""
        self.up = True
        self.born = born
        self.booted_s = current_time()
        self.crashed_s = NEVER_S
        self.clock_base_s = clock_base_s
        self.sequence = 0
        self.fence = 0
        self.lease_until_s = NEVER_S
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[tuple[int, Run]] = []
        self.last_number = 0
        # By task, the highest run that was stopped or has ended.
        self.highest_runs: dict[str, int] = {}
        self._ended_event = Event()
        self._booted.set()

    def crash(self) -> None:
        """End all runs without reporting them, and all connections."""
        for run in self.running.values():
            run.ended_s = current_time()
            run.how = "lost"
        self.running = {}
        self.up = False
        self.crashed_s = current_time()
        self._booted = Event()
        self.network.kill(self.name)

    def resize(self, **capacity: int) -> None:
        """Change the capacity from now on; the next entry shows it."""
        self.capacity = {**self.capacity, **capacity}
        self.capacities.append((current_time(), self.capacity))

    def capacity_limits(
        self, since_s: float, until_s: float
    ) -> dict[str, int]:
        """Return the highest capacity of a period, by resource."""
        changes_s = [start_s for start_s, _ in self.capacities[1:]]
        ends_s = [*changes_s, float("inf")]
        in_force = [
            capacity
            for (start_s, capacity), end_s in zip(
                self.capacities, ends_s, strict=True
            )
            if start_s <= until_s and end_s > since_s
        ]
        return {
            name: max(capacity[name] for capacity in in_force)
            for name in self.capacity
        }

    async def move(self, nursery: Nursery, address: Address) -> None:
        """Continue at another address; all connections are lost."""
        self.network.kill(self.name)
        self.address = address
        await nursery.start(self.run)

    async def restart(
        self,
        nursery: Nursery,
        address: Address | None = None,
        clock_base_s: float = CLOCK_BASE_S,
    ) -> None:
        """Start again as the next incarnation under the same name.

        It listens at ``address`` if one is given, otherwise where it did.
        """
        self.address = address or self.address
        self.boot(max(self.born + 1, unix_ms()), clock_base_s)
        await nursery.start(self.run)

    def clock_s(self) -> float:
        """Return the time on the worker's own clock."""
        passed_s = current_time() - self.booted_s
        return passed_s * self.clock_rate + self.clock_base_s

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
        self.sequence += 1
        return {
            **draining,
            **self._born_field(),
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
            "sequence": self.sequence,
        }

    def tick(self, passed_s: float) -> None:
        """Advance all runs by a time; end those that are due or expired."""
        self._apply_lapse()
        if any(self._crashes_worker(run) for run in self.running.values()):
            self.crash()
        for run in list(self.running.values()):
            self._work(run, passed_s)

    def _apply_lapse(self) -> None:
        """End all runs if the lease has expired.

        Ends that were not acknowledged by then never count as acknowledged.
        """
        if self.clock_s() <= self.lease_until_s:
            return
        for run in list(self.running.values()):
            self._end(run, "lapsed")
        for _, run in self.ended:
            run.lease_lapsed = True

    def _crashes_worker(self, run: Run) -> bool:
        after_s = self.history.crash_after_s.get(run.task)
        if after_s is None:
            return False
        return current_time() - run.started_s >= after_s

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
        del self.running[run.task, run.run]
        self._raise_highest_run(run.task, run.run)
        self.last_number += 1
        self.ended.append((self.last_number, run))
        self._ended_event.set()
        self._ended_event = Event()

    async def _serve(self, stream: HalfCloseableStream) -> None:
        handler = partial(self._handle, self.born)
        await serve_connection(stream, handler, LIMITS, DrainState())

    async def _handle(self, born: int, request: Request) -> Response:
        """Handle a request on a connection to the incarnation ``born``."""
        body = parse_json(await request.body.read(100_000))
        self._check_alive(born)
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        expected = request.headers.get(EXPECTED_INSTANCE, self.name)
        if expected != self.name:
            return json_response(421, self._with_clock({}))
        order = {
            "/run-start": self._start,
            "/run-stop": self._stop,
        }.get(request.path)
        if order is None:
            return await self._hold(born, body)
        if self.order_delays_s:
            await self._apply_late(
                self.order_delays_s.pop(0), born, partial(order, body)
            )
        return order(body)

    def _check_alive(self, born: int) -> None:
        """Raise ConnectionLostError unless the incarnation still runs."""
        if not self.up or self.born != born:
            raise ConnectionLostError("The worker has crashed.")

    def _is_unused_next(self, born: int) -> bool:
        """Return whether a later incarnation has to be called first."""
        if self.late_calls != AFTER_FIRST_CALL or self.born == born:
            return False
        return self.fence == 0

    async def _apply_late(
        self, delay_s: float, born: int, apply: Callable[[], object]
    ) -> None:
        """Carry out a call after a delay, then lose its answer."""
        await sleep(delay_s)
        if self.late_calls == ALWAYS:
            await self._booted.wait()
        elif self.late_calls == DROPPED:
            self._check_alive(born)
        elif not self.up or self._is_unused_next(born):
            raise ConnectionLostError("The worker has crashed.")
        apply()
        raise ConnectionLostError("The answer to the call is lost.")

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
        self._apply_lapse()
        self._extend(until_s)
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return json_response(200, self._with_clock({}))
        if number <= self.highest_runs.get(task, 0):
            return self._refuse("old")
        saved_s = int(body.get("checkpoint") or "0", 16) / 1000
        run = Run(task, number, self.name, current_time(), saved_s)
        run.stalled = self.stall_starts
        self.running[task, number] = run
        self.history.record_start(run)
        return json_response(200, self._with_clock({}))

    def _stop(self, body: dict[str, Any]) -> Response:
        if self._fenced(body):
            return self._refuse("fence")
        task, number = body["task"], body["run"]
        self._raise_highest_run(task, number)
        run = self.running.get((task, number))
        if run is not None and run.stop_s is None:
            run.stop_s = current_time() + STOP_S
        return json_response(200, self._with_clock({}))

    def _raise_highest_run(self, task: str, number: int) -> None:
        highest = self.highest_runs.get(task, 0)
        self.highest_runs[task] = max(highest, number)

    async def _hold(self, born: int, body: dict[str, Any]) -> Response:
        renew = partial(self._renew, body)
        if self.renewal_delays_s:
            await self._apply_late(self.renewal_delays_s.pop(0), born, renew)
        if not renew():
            return self._refuse("fence")
        wait_s = min(body.get("wait_ms", 0) / 1000, WAIT_LIMIT_S)
        with move_on_after(wait_s):
            while not self.ended:
                await self._ended_event.wait()
        self._check_alive(born)
        return json_response(200, self._run_lists())

    def _renew(self, body: dict[str, Any]) -> bool:
        """Renew the lease and forget ends; return False if it is fenced."""
        if self._fenced(body):
            return False
        self._apply_lapse()
        self._acknowledge(body["last_seen"])
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"] / 1000)
        return True

    def _acknowledge(self, last_number: int) -> None:
        for number, run in self.ended:
            if number <= last_number and not run.lease_lapsed:
                run.acknowledged_s = current_time()
        self.ended = [entry for entry in self.ended if entry[0] > last_number]

    def _extend(self, until_s: float) -> None:
        until_s = min(until_s, self.clock_s() + LEASE_LIMIT_S)
        self.lease_until_s = max(self.lease_until_s, until_s)

    def _run_lists(self) -> dict[str, Any]:
        return self._with_clock(
            {
                **self._born_field(),
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
                    for number, run in self.ended[:ENDS_PER_REPORT]
                ],
            }
        )

    def _born_field(self) -> dict[str, int]:
        return {"born": self.born} if self.reports_born else {}

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

"""A session concludes from a worker's answers only what they prove."""

from collections.abc import Awaitable, Callable
from json import dumps, loads
from random import Random
from typing import Any, cast

from trio import current_time, sleep

from damaskstall.contact_slots import ContactSlots
from damaskstall.errors import ConnectionLostError
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.http.client import ResponseStart
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.model import Worker
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.worker_protocol import (
    PREPARE,
    RUN,
    STOP,
    Command,
)
from damaskstall.scheduler.worker_session import (
    COMMAND_LOST,
    DONE,
    REFUSED,
    WorkerSession,
)
from standins.network import MemoryNetwork
from standins.worker.core import WorkerCore
from standins.worker.tasks import RUNNING
from tests.virtual_time import run_virtual

KEY = ("a", 1, 0)
WORK = {"run_s": 100.0, "outcome": "succeed", "output": ""}
LEASE_S = 30.0


class HeldLease:
    """A lease of a cell that is held for a fixed time."""

    cell = "north/0"
    epoch = 3
    acquired_s = 0.0
    expires_s = LEASE_S

    def may_renew_tasks(self, now_s: float, outage_s: float) -> bool:
        """Return True: tasks may always be renewed."""
        return True


class ScriptedClient:
    """Client of a stand-in worker, with the requests that it has sent."""

    def __init__(self, core: WorkerCore) -> None:
        """Call a worker without a network."""
        self.core = core
        self.requests: list[Any] = []
        self.repeat_next = False
        self.lose_next_answer = False
        # Carried out before the next exchange arrives.
        self.before_next: Callable[[], None] | None = None

    async def call(
        self, method: str, target: str, body: bytes
    ) -> tuple[ResponseStart, bytes]:
        """Carry out an exchange and return its answer."""
        request = loads(body)
        self.requests.append(request)
        action, self.before_next = self.before_next, None
        if action is not None:
            action()
        answer = self.core.exchange(request, current_time())
        if self.repeat_next:
            self.repeat_next = False
            answer = self.core.exchange(request, current_time())
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise ConnectionLostError("The answer is lost.")
        return ResponseStart(200, {}), dumps(answer).encode()

    async def close(self) -> None:
        """Do nothing: there is no connection."""


class Listener:
    """A listener that ignores all changes."""

    def on_worker_changed(self, session: WorkerSession) -> None:
        """Do nothing."""


class Bench:
    """A session with a stand-in worker."""

    def __init__(self) -> None:
        """Create a session that has not called its worker."""
        self.core = WorkerCore("w", 8, seed=3)
        self.client = ScriptedClient(self.core)
        config = ConfigStore()
        config.confirmed_s = 0.0
        self.session = WorkerSession(
            MemoryNetwork().endpoint("s1"),
            Worker("w", "127.0.0.1:1", 8),
            cast(CellLease, HeldLease()),
            config,
            SchedulerSettings(),
            Listener(),
            Random(1),
            ContactSlots(),
        )
        self.session.client = cast(Any, self.client)

    async def exchange(self, *commands: Command) -> list[str]:
        """Make one exchange; return the outcomes of its commands."""
        pending = [self.session.enqueue(command) for command in commands]
        await self.session._try_exchange()
        return [each.outcome for each in pending]

    def restart(self) -> None:
        """Let the worker start again without its state."""
        self.core.restart(current_time())

    def events(self, kind: str) -> list[Any]:
        """Return the worker's records of one kind."""
        return [r for r in self.core.records if r["event"] == kind]


def run_bench(scenario: Callable[[Bench], Awaitable[None]]) -> None:
    """Run a scenario with a fenced worker under virtual time."""

    async def main() -> None:
        bench = Bench()
        await bench.exchange()
        await scenario(bench)

    run_virtual(main)


def prepare(key: tuple[str, int, int] = KEY) -> Command:
    """Return a command that reserves four accelerators."""
    return Command(PREPARE, key, 0, 4, WORK)


def test_repeated_exchange_does_not_prove_that_its_run_never_started() -> None:
    """A copy of the exchange is refused, whatever the first one did."""

    async def scenario(bench: Bench) -> None:
        assert await bench.exchange(prepare()) == [DONE]
        bench.client.repeat_next = True
        outcome = await bench.exchange(Command(RUN, KEY))
        assert bench.core.tasks[KEY].state == RUNNING
        assert outcome == [COMMAND_LOST]

    run_bench(scenario)


def test_exchange_without_a_boot_carries_no_commands() -> None:
    async def scenario(bench: Bench) -> None:
        bench.client.lose_next_answer = True
        await bench.exchange(prepare())
        await bench.exchange(Command(RUN, KEY))
        await bench.exchange(Command(STOP, KEY))
        without_boot = [r for r in bench.client.requests if "boot" not in r]
        assert len(without_boot) == 2
        for request in without_boot:
            assert "commands" not in request
            assert "renew_until_s" not in request
        assert all(r.get("boot", "-") for r in bench.client.requests)

    run_bench(scenario)


def test_commands_to_the_earlier_boot_are_refused_by_the_next() -> None:
    async def scenario(bench: Bench) -> None:
        assert await bench.exchange(prepare()) == [DONE]
        bench.client.before_next = bench.restart
        commands = (prepare(("b", 1, 0)), Command(RUN, KEY))
        assert await bench.exchange(*commands) == [REFUSED, REFUSED]
        assert not bench.core.tasks
        assert not bench.events("run")
        assert bench.session.boot == bench.core.boot
        assert not bench.session.tasks

    run_bench(scenario)


def test_late_exchange_of_the_earlier_boot_changes_no_task() -> None:
    """The worker has started again and has been called since."""

    async def scenario(bench: Bench) -> None:
        assert await bench.exchange(prepare()) == [DONE]
        bench.client.lose_next_answer = True
        bench.client.before_next = bench.restart
        assert await bench.exchange(Command(RUN, KEY)) == [COMMAND_LOST]
        late = bench.client.requests[-1]
        await bench.exchange()
        assert await bench.exchange(prepare()) == [DONE]
        answer = bench.core.exchange(late, current_time())
        assert answer["problem"] == "stale sequence"
        assert not bench.events("run")
        # Also if no newer exchange has reached the next incarnation.
        bench.restart()
        answer = bench.core.exchange(late, current_time())
        assert answer["problem"] == "restarted"
        assert not bench.core.tasks

    run_bench(scenario)


def test_equal_version_of_the_next_boot_keeps_no_tasks() -> None:
    async def scenario(bench: Bench) -> None:
        assert await bench.exchange(prepare()) == [DONE]
        assert list(bench.session.tasks) == [KEY]

        def restart_with_equal_version() -> None:
            bench.restart()
            bench.core.version = bench.session.version

        bench.client.before_next = restart_with_equal_version
        await bench.exchange()
        assert not bench.session.tasks
        await bench.exchange()
        assert bench.client.requests[-1]["seen_version"] == -1
        assert bench.session.version == bench.core.version

    run_bench(scenario)


def test_no_renewal_brings_the_end_of_the_task_leases_forward() -> None:
    async def scenario(bench: Bench) -> None:
        latest_s = bench.session.tasks_expire_s
        outcomes = await bench.exchange(prepare(), Command(RUN, KEY))
        assert outcomes == [DONE, DONE]
        for number in range(20):
            if number % 7 == 3:
                bench.client.before_next = bench.restart
            bench.client.lose_next_answer = number % 3 == 0
            await bench.exchange()
            assert bench.session.tasks_expire_s >= latest_s
            latest_s = bench.session.tasks_expire_s
            for task in bench.core.tasks.values():
                lease_s = task.lease_until_s - bench.core.offset_s
                assert lease_s <= latest_s
            await sleep(0.7)

    run_bench(scenario)

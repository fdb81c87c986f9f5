"""Test that the operators' stand-in worker follows its protocol."""

from collections.abc import Awaitable, Callable
from typing import Any

from trio import Nursery, open_nursery, sleep

from damaskstall.addresses import Address
from damaskstall.errors import HttpError
from damaskstall.http.client import HttpClient
from standins.network import MemoryNetwork
from standins.operators.machine_list import StandinMachineList
from standins.operators.run_history import STOP_S, TICK_S, RunHistory
from standins.operators.worker import (
    AFTER_FIRST_CALL,
    ALWAYS,
    DROPPED,
    ENDS_PER_REPORT,
    EXPECTED_INSTANCE,
    PORT,
    StandinWorker,
)
from tests.virtual_time import run_virtual

NAME = "w00"
ADDRESS = Address("10.1.0.0", PORT)
OTHER_ADDRESS = Address("10.1.0.1", PORT)
CAPACITY = {"cpu": 64000, "task_memory_mb": 262144, "gpus": 8}
JOB = f"{1:016x}"
TASK = f"{JOB}.0.0.0"
CALL_TIMEOUT_S = 0.25


class Site:
    """One stand-in worker, and calls to it over the network."""

    def __init__(self, nursery: Nursery) -> None:
        """Create a worker that has just started and does not listen yet."""
        self.nursery = nursery
        self.network = MemoryNetwork()
        self.history = RunHistory()
        step = {"count": 600, "cpu": 1, "estimate_ms": 20_000}
        self.history.jobs[JOB] = {"steps": [step]}
        self.history.racks[NAME] = "r0-0"
        self.worker = StandinWorker(
            self.network, self.history, NAME, ADDRESS, "r0-0", CAPACITY
        )

    async def call(
        self,
        path: str,
        body: dict[str, Any],
        expected: str = NAME,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        """Return status and value of an answer; (0, None) without one."""
        client = HttpClient(
            self.network.endpoint("n0"), self.worker.address, timeout_s
        )
        async with client:
            try:
                answer = await client.call_json(
                    "POST",
                    path,
                    body,
                    headers=((EXPECTED_INSTANCE, expected),),
                )
            except HttpError:
                return 0, None
        return answer.status, answer.value

    async def start(self, run: int = 1, **fields: Any) -> tuple[int, Any]:
        """Start a run with a window of 1.5 s."""
        body = {
            "task": TASK,
            "run": run,
            "specification": "",
            "deadline_ms": round(self.worker.clock_s() * 1000) + 1500,
            "fencing_token": 3,
            **fields,
        }
        return await self.call("/run-start", body)

    async def stop(self, run: int = 1) -> tuple[int, Any]:
        """Stop a run."""
        body = {"task": TASK, "run": run, "fencing_token": 3}
        return await self.call("/run-stop", body)

    async def hold(
        self, last_seen: int = 0, lease_s: float = 10.0, **fields: Any
    ) -> tuple[int, Any]:
        """Renew the lease and read the lists."""
        until_s = self.worker.clock_s() + lease_s
        body = {
            "fencing_token": 3,
            "last_seen": last_seen,
            "deadline_ms": round(until_s * 1000),
            **fields,
        }
        return await self.call("/hold", body)

    async def tick(self) -> None:
        """Advance the runs until cancelled."""
        while True:
            await sleep(TICK_S)
            self.worker.tick(TICK_S)

    async def restart(self, **fields: Any) -> None:
        """Crash the worker and start it again after 0.1 s."""
        self.worker.crash()
        await sleep(0.1)
        await self.worker.restart(self.nursery, **fields)


def run_site(scenario: Callable[[Site], Awaitable[None]]) -> None:
    """Run a scenario with one worker under virtual time."""

    async def main() -> None:
        async with open_nursery() as nursery:
            site = Site(nursery)
            await nursery.start(site.worker.run)
            nursery.start_soon(site.tick)
            await scenario(site)
            nursery.cancel_scope.cancel()

    run_virtual(main)


def test_call_for_another_worker_is_refused_and_changes_nothing() -> None:
    async def scenario(site: Site) -> None:
        body = {"task": TASK, "run": 1, "fencing_token": 9}
        status, _ = await site.call("/run-stop", body, expected="w77")
        assert status == 421
        assert site.worker.fence == 0
        assert not site.worker.highest_runs

    run_site(scenario)


def test_lower_fencing_token_is_refused() -> None:
    async def scenario(site: Site) -> None:
        await site.hold()
        status, value = await site.start(fencing_token=2)
        assert (status, value["reason"]) == (409, "fence")

    run_site(scenario)


def test_next_incarnation_knows_nothing_of_the_earlier_one() -> None:
    async def scenario(site: Site) -> None:
        await site.start()
        await site.stop()
        await sleep(STOP_S + 0.1)
        assert (await site.hold())[1]["ended"][0][0] == 1
        before = site.worker.born
        await site.restart(clock_base_s=0.0)
        status, value = await site.hold(fencing_token=0)
        assert status == 200
        assert value["born"] > before
        assert value["clock_ms"] < 1000
        assert not value["running"]
        assert not value["ended"]
        assert (await site.start(fencing_token=1))[0] == 200

    run_site(scenario)


def test_next_incarnation_may_listen_elsewhere_and_omit_born() -> None:
    async def scenario(site: Site) -> None:
        site.worker.reports_born = False
        await site.restart(address=OTHER_ADDRESS)
        assert ADDRESS not in site.network.listeners
        status, value = await site.hold()
        assert status == 200
        assert "born" not in value
        entry = site.worker.entry("svc", "fd0", "ready", None)
        assert entry["address"] == str(OTHER_ADDRESS)
        assert "born" not in entry

    run_site(scenario)


def test_sequence_starts_anew_with_each_incarnation() -> None:
    async def scenario(site: Site) -> None:
        entries = [site.worker.entry("svc", "fd0", "ready", None)]
        entries.append(site.worker.entry("svc", "fd0", "ready", None))
        await site.restart()
        entries.append(site.worker.entry("svc", "fd0", "ready", None))
        assert [entry["sequence"] for entry in entries] == [1, 2, 1]

    run_site(scenario)


def test_late_start_is_dropped_by_a_crash() -> None:
    async def scenario(site: Site) -> None:
        site.worker.late_calls = DROPPED
        site.worker.order_delays_s = [0.5]
        assert (await site.start())[0] == 0
        await site.restart()
        await sleep(1.0)
        assert not site.history.runs

    run_site(scenario)


def test_late_start_may_be_carried_out_by_the_next_incarnation() -> None:
    async def scenario(site: Site) -> None:
        site.worker.late_calls = ALWAYS
        site.worker.order_delays_s = [0.5]
        await sleep(10.0)
        assert (await site.start())[0] == 0
        await site.restart()
        await sleep(1.0)
        assert len(site.worker.running) == 1
        assert site.worker.fence == 3

    run_site(scenario)


def test_late_start_is_lost_if_the_worker_is_down_when_it_is_due() -> None:
    async def scenario(site: Site) -> None:
        site.worker.order_delays_s = [0.5]
        assert (await site.start())[0] == 0
        site.worker.crash()
        await sleep(1.0)
        await site.worker.restart(site.nursery)
        await sleep(1.0)
        assert not site.history.runs

    run_site(scenario)


def test_late_start_may_have_to_wait_for_a_call_to_the_next() -> None:
    async def scenario(site: Site) -> None:
        site.worker.late_calls = AFTER_FIRST_CALL
        await sleep(10.0)
        site.worker.order_delays_s = [1.0, 1.0]
        assert (await site.start())[0] == 0
        await sleep(0.3)
        assert (await site.start())[0] == 0
        await site.restart()
        await sleep(0.5)
        assert not site.history.runs
        await site.hold()
        await sleep(0.5)
        assert len(site.history.runs) == 1

    run_site(scenario)


def test_nothing_is_carried_out_while_the_worker_is_down() -> None:
    async def scenario(site: Site) -> None:
        site.worker.late_calls = ALWAYS
        site.worker.order_delays_s = [0.5]
        assert (await site.start())[0] == 0
        site.worker.crash()
        await sleep(1.0)
        assert not site.history.runs
        assert (await site.stop())[0] == 0
        assert site.worker.calls == {"/run-start": 1}
        await site.worker.restart(site.nursery)
        await sleep(0.1)
        assert len(site.history.runs) == 1

    run_site(scenario)


def test_call_on_a_connection_of_the_earlier_incarnation_is_lost() -> None:
    async def scenario(site: Site) -> None:
        endpoint = site.network.endpoint("n0")
        client = HttpClient(endpoint, site.worker.address, CALL_TIMEOUT_S)
        body = {"fencing_token": 3, "last_seen": 0}
        async with client:
            assert (
                await client.call_json("POST", "/hold", body)
            ).status == 200
            await site.restart()
            site.worker.calls.clear()
            try:
                await client.call_json("POST", "/hold", body)
                raise AssertionError("The call was answered.")
            except HttpError:
                pass
        assert not site.worker.calls

    run_site(scenario)


def test_late_stop_ends_a_run_without_an_answer() -> None:
    async def scenario(site: Site) -> None:
        await site.start()
        await site.hold()
        site.worker.order_delays_s = [2.0]
        assert (await site.stop())[0] == 0
        assert site.worker.running
        await sleep(2.0 + STOP_S)
        assert site.history.runs[0].how == "stopped"

    run_site(scenario)


def test_late_renewal_forgets_ends_without_an_answer() -> None:
    async def scenario(site: Site) -> None:
        await site.start()
        await site.hold()
        await site.stop()
        await sleep(STOP_S + 0.1)
        site.worker.renewal_delays_s = [1.0]
        assert await site.hold(last_seen=1) == (0, None)
        assert len(site.worker.ended) == 1
        await sleep(1.0)
        assert not site.worker.ended
        assert site.history.runs[0].acknowledged_s is not None

    run_site(scenario)


def test_late_renewal_may_reach_the_next_incarnation() -> None:
    async def scenario(site: Site) -> None:
        site.worker.late_calls = ALWAYS
        site.worker.renewal_delays_s = [2.0]
        assert await site.hold(last_seen=5) == (0, None)
        await site.restart()
        await site.start()
        await site.stop()
        await sleep(1.0)
        assert len(site.worker.ended) == 1
        await sleep(1.0)
        assert not site.worker.ended

    run_site(scenario)


def test_start_extends_the_lease_also_if_it_is_refused_as_old() -> None:
    async def scenario(site: Site) -> None:
        await site.start()
        assert site.worker.lease_until_s > site.worker.clock_s() + 1.0
        await site.stop()
        await sleep(1.0)
        status, value = await site.start()
        assert (status, value["reason"]) == (409, "old")
        assert site.worker.lease_until_s > site.worker.clock_s() + 1.0

    run_site(scenario)


def test_run_below_one_that_ended_is_refused() -> None:
    async def scenario(site: Site) -> None:
        await site.start(run=3)
        assert (await site.start(run=3))[0] == 200
        await sleep(2.0)
        assert site.history.runs[0].how == "lapsed"
        assert (await site.start(run=2))[1]["reason"] == "old"
        assert (await site.start(run=4))[0] == 200

    run_site(scenario)


def test_end_from_before_a_lapse_never_counts_as_acknowledged() -> None:
    async def scenario(site: Site) -> None:
        await site.start()
        await site.stop()
        await sleep(STOP_S + 0.1)
        await site.hold(lease_s=1.0)
        await sleep(3.0)
        await site.hold()
        await site.hold(last_seen=1)
        assert not site.worker.ended
        assert site.history.runs[0].acknowledged_s is None

    run_site(scenario)


def test_report_contains_a_limited_number_of_ends() -> None:
    async def scenario(site: Site) -> None:
        count = ENDS_PER_REPORT + 20
        await site.hold()
        for index in range(count):
            await site.start(task=f"{JOB}.0.0.{index}")
        for run in list(site.worker.running.values()):
            run.stop_s = 0.0
        await sleep(0.1)
        first = (await site.hold())[1]["ended"]
        assert len(first) == ENDS_PER_REPORT
        rest = (await site.hold(last_seen=first[-1][0]))[1]["ended"]
        assert [end[0] for end in rest] == list(
            range(ENDS_PER_REPORT + 1, count + 1)
        )

    run_site(scenario)


def list_site(site: Site) -> StandinMachineList:
    """Return a machine list of five workers."""
    workers = [
        StandinWorker(
            site.network,
            site.history,
            f"w0{number}",
            Address(f"10.1.0.{number}", PORT),
            "r0-0",
            CAPACITY,
        )
        for number in range(5)
    ]
    return StandinMachineList(site.network, lambda: workers)


async def read_machines(site: Site) -> dict[str, str]:
    """Return the state of each listed machine, by the worker's name."""
    found = {}
    token: str | None = "0"
    client = HttpClient(
        site.network.endpoint("n0"), Address("10.0.0.2", 8524), 1.0
    )
    async with client:
        while token is not None:
            answer = await client.call_json(
                "GET", f"/machines?page_token={token}"
            )
            for machine in answer.value["machines"]:
                found[machine["machine"]] = machine["state"]
            token = answer.value["next_page_token"]
    return found


def test_machine_list_misses_entries_that_move_or_are_missing() -> None:
    async def scenario(site: Site) -> None:
        machines = list_site(site)
        await site.nursery.start(machines.run)
        assert len(await read_machines(site)) == 5
        machines.moving = {"w01"}
        assert "m-w01" not in await read_machines(site)
        assert len(await read_machines(site)) == 4
        machines.moving = {"w04"}
        assert "m-w04" not in await read_machines(site)
        machines.moving = set()
        machines.hidden = {"w02"}
        assert "m-w02" not in await read_machines(site)
        assert len(await read_machines(site)) == 4

    run_site(scenario)


def test_machine_list_may_lag_behind() -> None:
    async def scenario(site: Site) -> None:
        machines = list_site(site)
        await site.nursery.start(machines.run)
        worker = next(iter(machines.workers()))
        machines.lag()
        worker.up = False
        assert (await read_machines(site))["m-w00"] == "up"
        machines.catch_up()
        assert (await read_machines(site))["m-w00"] == "down"

    run_site(scenario)

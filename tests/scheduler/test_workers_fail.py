"""Test jobs on workers that are cut off, restart, hang or fail."""

from trio import current_time, sleep

from standins.worker.tasks import WorkerFaults
from tests.scheduler.world import World, run_world

LONG = {"run_s": 100.0, "outcome": "succeed", "output": ""}
FAILING = {"run_s": 2.0, "outcome": "fail", "output": ""}
SHORT = {"run_s": 2.0, "outcome": "succeed", "output": ""}


def test_silent_worker_ends_its_task_before_the_next_attempt() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=4)
        world.add_scheduler("s1", "north")
        await world.submit("a", work=LONG)
        await world.wait(lambda: len(world.events("run", "a")) == 2)
        worker = world.events("run", "a")[0]["worker"]
        world.network.cut("s1", worker)
        await world.wait_ended()
        assert world.problems() == []
        assert world.status("a")["attempt"] == 2
        assert world.events("expired", "a")

    run_world(scenario)


def test_short_silence_costs_no_attempt() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        await world.submit("a", work=LONG)
        await world.wait(lambda: len(world.events("run", "a")) == 2)
        for worker in world.workers:
            world.network.cut(worker, "s1")
        await sleep(40)
        for worker in world.workers:
            world.network.heal(worker, "s1")
        await world.wait_ended()
        assert world.problems() == []
        assert world.status("a")["attempt"] == 1

    run_world(scenario)


def test_restarted_worker_fails_the_gang_at_once() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        await world.submit("a", work=LONG)
        await world.submit("once", work=LONG, hosts=1, restartable=False)
        await world.wait(lambda: len(world.events("run", "a")) == 2)
        await sleep(5)
        for process in world.workers.values():
            process.core.restart(current_time())
        await world.wait_ended(400)
        assert world.problems() == []
        assert world.status("a")["attempt"] == 2
        assert world.status("a")["state"] == "succeeded"

    run_world(scenario)


def test_lost_outcome_of_work_that_runs_once_is_told() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=1)
        world.add_scheduler("s1", "north")
        await world.submit("once", work=LONG, hosts=1, restartable=False)
        await world.wait(lambda: bool(world.events("run", "once")))
        await sleep(5)
        world.workers["north-0-0"].core.restart(current_time())
        await world.wait_ended(100)
        assert world.problems() == []
        status = world.status("once")
        assert status["state"] == "failed"
        assert "outcome is unknown" in status["reason"]

    run_world(scenario)


def test_lost_answers_of_workers_double_nothing() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        for number in range(6):
            await world.submit(f"job-{number}", restartable=number % 2 == 0)
        for _ in range(40):
            await sleep(3)
            for process in world.workers.values():
                faults = process.core.faults._replace(lose_answers=1)
                process.server.set_faults(faults)
        await world.wait_ended()
        assert world.problems() == []
        for number in (0, 2, 4):
            assert world.status(f"job-{number}")["state"] == "succeeded"

    run_world(scenario)


def test_worker_that_fails_everything_is_quarantined() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=4)
        world.add_scheduler("s1", "north")
        bad = world.workers["north-0-0"]
        bad.server.set_faults(WorkerFaults(fail_all=True))
        for number in range(160):
            await world.submit(f"job-{number}", hosts=1, work=SHORT)
        await world.wait_ended()
        assert world.problems() == []
        for number in range(160):
            assert world.status(f"job-{number}")["state"] == "succeeded"
        row = world.platform.table.read("quarantine/north-0-0")
        assert row is not None and row.value is not None
        assert "different jobs" in row.value["reason"]
        # After its probation the mended worker is used again.
        bad.server.set_faults(WorkerFaults())
        await sleep(130)
        for number in range(4):
            await world.submit(f"more-{number}", hosts=1)
        await world.wait_ended()
        finished = world.events("finished")
        assert any(r["worker"] == "north-0-0" for r in finished)

    run_world(scenario, quarantine_probation_s=120.0)


def test_job_that_fails_everywhere_ends_and_blames_no_worker() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=4)
        world.add_scheduler("s1", "north")
        for number in range(10):
            await world.submit(f"bad-{number}", hosts=1, work=FAILING)
        await world.wait_ended()
        assert world.problems() == []
        for number in range(10):
            status = world.status(f"bad-{number}")
            assert status["state"] == "failed"
            assert "failed" in status["reason"]
            assert len(status["failed_workers"]) <= 4
        assert not [
            key
            for key in world.platform.table.rows
            if key.startswith("quarantine/")
        ]

    run_world(scenario)


def test_hanging_task_holds_only_its_own_job() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        hang = {"run_s": 1.0, "outcome": "hang", "output": ""}
        await world.submit("stuck", hosts=1, work=hang)
        await world.wait_state("stuck", "running")
        await world.submit("a", hosts=1)
        await world.wait_state("a", "succeeded")
        await world.cancel("stuck")
        await world.wait_ended(60)
        assert world.status("stuck")["state"] == "cancelled"
        assert world.problems() == []

    run_world(scenario)

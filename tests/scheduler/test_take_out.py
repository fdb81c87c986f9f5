"""Test that a failure domain taken out starts nothing and loses its work."""

from trio import current_time, sleep

from standins.platform.faults import FaultRule
from tests.scheduler.steps import Step, at_step
from tests.scheduler.world import World, run_world

PERMIT_S = 3.0
RUN = {"run_s": 60.0, "outcome": "succeed", "output": "x"}


def test_work_moves_out_and_the_domain_is_used_again() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        await world.add_domain("south", hosts=2)
        world.add_scheduler("s1", "north")
        world.add_scheduler("s2", "south")
        await world.submit("first", work=RUN)
        await world.submit("second", work=RUN)
        await world.wait_state("first", "running")
        await world.wait_state("second", "running")
        await sleep(30)
        await world.set_state("north", "out")
        out_s = current_time()
        moved = "first"
        if not world.status(moved)["cell"].startswith("north"):
            moved = "second"
        await world.wait_state(moved, "queued")
        assert current_time() - out_s < 10
        assert world.status(moved)["checkpoint"]
        await world.submit("third", failure_domain="north")
        await sleep(20)
        assert not world.events("run", "third")
        await world.set_state("north", "in")
        in_s = current_time()
        await world.wait(lambda: ran_in(world, "north", in_s))
        assert current_time() - in_s < 5
        await world.wait_ended()
        assert world.problems() == []
        # The second half was not run twice over.
        resumed = world.events("finished", moved)[0]["time_s"]
        started = world.events("run", moved)[-1]["time_s"]
        assert resumed - started < 40

    run_world(scenario)


def ran_in(world: World, domain: str, since_s: float) -> bool:
    """Return whether a task has started in a failure domain since."""
    return any(
        record["worker"].startswith(domain) and record["time_s"] >= since_s
        for record in world.events("run")
    )


def test_frozen_holder_cannot_start_late() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        holder = world.add_scheduler("s1", "north")
        acted = at_step(
            world, holder, Step("after commit", "running"), holder.freeze
        )
        await world.submit("a")
        await acted.wait()
        await world.set_state("north", "out")
        await sleep(PERMIT_S + 1)
        holder.thaw()
        await sleep(20)
        assert not world.events("run")
        assert world.problems(must_end=False) == []

    # The cell lease is long, so only the start permit stands in the way.
    run_world(scenario, cell_lease_ttl_s=600.0, prepare_ttl_s=600.0)


def test_delayed_command_cannot_start_late() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        holder = world.add_scheduler("s1", "north")

        def cut() -> None:
            for worker in world.workers:
                world.network.cut("s1", worker)

        acted = at_step(world, holder, Step("before commit", "running"), cut)
        await world.submit("a")
        await acted.wait()
        await sleep(1)
        await world.set_state("north", "out")
        await sleep(PERMIT_S + 2)
        for worker in world.workers:
            world.network.heal("s1", worker)
        await sleep(20)
        assert world.events("refused")
        assert not world.events("run")
        assert world.problems(must_end=False) == []

    run_world(scenario, cell_lease_ttl_s=600.0, prepare_ttl_s=600.0)


def test_holder_cut_off_from_the_configuration_starts_nothing() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        for number in range(20):
            await world.submit(
                f"job-{number}",
                hosts=1,
                work={"run_s": 1.0, "outcome": "succeed", "output": ""},
            )
        await world.wait(lambda: len(world.events("run")) >= 4)
        world.platform.faults.rules = (FaultRule(callers=("s1",), down=True),)
        await world.set_state("north", "out")
        await sleep(60)
        assert world.problems(must_end=False) == []
        world.platform.faults.rules = ()
        await sleep(30)
        await world.set_state("north", "in")
        await world.wait_ended()
        assert world.problems() == []

    run_world(scenario)


def test_work_that_must_run_once_may_finish() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north", hosts=2)
        world.add_scheduler("s1", "north")
        await world.submit("once", restartable=False)
        await world.wait_state("once", "running")
        await world.set_state("north", "out")
        await world.wait_ended(60)
        assert world.status("once")["state"] == "succeeded"
        assert world.problems() == []

    run_world(scenario)

"""Test jobs from the queue to their result."""

from trio import current_time

from tests.scheduler.world import World, run_world


def test_jobs_run_once_and_keep_their_output() -> None:
    async def scenario(world: World) -> None:
        await world.add_domain("north")
        world.add_scheduler("s1", "north")
        for number in range(6):
            await world.submit(f"job-{number}", hosts=1 + number % 3)
        await world.wait_ended()
        assert world.problems() == []
        status = world.status("job-0")
        assert status["state"] == "succeeded"
        assert world.platform.objects[status["result"]] == b'["done"]'
        assert current_time() < 90

    run_world(scenario)

"""Test that keyed requests run at most once, whatever the table does."""

from pytest import mark
from trio import open_nursery, sleep

from damaskstall.entry.claims import RETENTION_S
from damaskstall.platform.keys import IDEMPOTENCY_PREFIX
from damaskstall.platform.types import ABSENT, Write
from standins.backend.faults import FaultRule
from standins.platform.faults import FaultRule as TableFault
from tests.request_checker import ANSWERED, BROKEN, NOT_RUN, UNKNOWN
from tests.requests.world import Ask, World, run_world, unix_now

KEYED = Ask("mill", key="order-7", run_s=0.1)


async def start(world: World) -> None:
    """Start two backend servers and two entries."""
    for name in ("b0", "b1"):
        await world.add_backend(name)
    for name in ("e1", "e2"):
        await world.add_entry(name)
    await world.settle()


def claims(world: World) -> list[str]:
    """Return the keys of the claims that the table holds."""
    page = world.platform.table.scan(IDEMPOTENCY_PREFIX, "", 1000)
    return [row.key for row in page.rows]


def test_repeat_gets_the_recorded_answer() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        first = await world.ask(world.entries["e1"], KEYED)
        again = await world.ask(world.entries["e2"], KEYED)
        assert first.told == again.told == ANSWERED
        assert first.body == again.body
        assert again.request_id == first.request_id
        assert len(world.runs()) == 1

    run_world(scenario)


def test_repeats_at_once_run_once() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        async with open_nursery() as nursery:
            for entry in [*world.entries.values()] * 5:
                nursery.start_soon(world.ask, entry, KEYED)
        told = [caller.told for caller in world.callers]
        assert told.count(ANSWERED) == 1
        assert told.count(UNKNOWN) == 9
        assert {c.status for c in world.callers} == {200, 409}

    run_world(scenario)


def test_other_body_under_the_key_is_refused() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        await world.ask(world.entries["e1"], KEYED)
        other = KEYED._replace(tag="other")
        record = await world.ask(world.entries["e2"], other)
        assert (record.told, record.status) == (NOT_RUN, 422)

    run_world(scenario)


def test_keys_of_teams_and_services_are_apart() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        world.idempotent["paths"] = False
        world.configure()
        await sleep(1)
        for ask in (
            KEYED,
            KEYED._replace(tag="b", team="clerks"),
            KEYED._replace(tag="c", service="paths"),
            KEYED._replace(tag="d", key="press/order-7"),
        ):
            record = await world.ask(world.entries["e1"], ask)
            assert record.told == ANSWERED
        assert len(claims(world)) == 4

    run_world(scenario)


@mark.parametrize("fault", [TableFault(down=True), TableFault(delay_s=30.0)])
def test_keyed_request_is_not_run_without_the_table(fault: TableFault) -> None:
    async def scenario(world: World) -> None:
        await start(world)
        world.platform.faults.rules = (fault,)
        record = await world.ask(world.entries["e1"], KEYED)
        assert (record.told, record.status) == (NOT_RUN, 503)
        assert not world.runs()
        world.platform.faults.rules = ()
        await sleep(5)
        again = await world.ask(world.entries["e1"], KEYED)
        assert again.told == ANSWERED

    run_world(scenario)


def test_lost_answers_of_the_table_do_no_harm() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        world.platform.faults.rules = (TableFault(lose_answers=1.0),)
        first = await world.ask(world.entries["e1"], KEYED)
        assert first.told in (ANSWERED, NOT_RUN)
        world.platform.faults.rules = ()
        await sleep(5)
        again = await world.ask(world.entries["e2"], KEYED)
        assert again.told == ANSWERED
        assert len(world.runs()) == 1

    run_world(scenario)


def test_dead_entry_leaves_a_claim_that_nobody_runs_again() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        ask = KEYED._replace(run_s=1.0)
        async with open_nursery() as nursery:
            nursery.start_soon(world.ask, world.entries["e1"], ask)
            await sleep(0.3)
            world.entries["e1"].scope.cancel()
        assert world.callers[0].told == BROKEN
        soon = await world.ask(world.entries["e2"], ask)
        assert (soon.told, soon.status) == (UNKNOWN, 409)
        await sleep(6)
        late = await world.ask(world.entries["e2"], ask)
        assert (late.told, late.status) == (UNKNOWN, 502)
        assert len(world.runs()) == 1

    run_world(scenario)


@mark.parametrize("kind", ["dropped", "crossed", "truncated", "hang"])
def test_lost_answer_is_never_run_again(kind: str) -> None:
    async def scenario(world: World) -> None:
        await start(world)
        for backend in world.backends.values():
            backend.break_answers(FaultRule(kind, limit=1))
        ask = KEYED._replace(deadline_s=1.0)
        for _ in range(3):
            record = await world.ask(world.entries["e1"], ask)
            assert record.told == UNKNOWN
            await sleep(1)
        assert len(world.runs()) == 1

    run_world(scenario)


def test_outcome_is_written_once_the_table_is_back() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        ask = KEYED._replace(run_s=1.0)
        async with open_nursery() as nursery:
            nursery.start_soon(world.ask, world.entries["e1"], ask)
            await sleep(0.5)
            world.platform.faults.rules = (TableFault(down=True),)
        assert world.callers[0].told == ANSWERED
        world.platform.faults.rules = ()
        await sleep(10)
        again = await world.ask(world.entries["e2"], ask)
        assert again.told == ANSWERED
        assert len(world.runs()) == 1

    run_world(scenario)


def test_long_answer_is_told_as_run_but_not_kept() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        for length in (30_000, 300_000):
            ask = KEYED._replace(
                tag=f"t{length}", key=f"k{length}", answer_bytes=length
            )
            first = await world.ask(world.entries["e1"], ask)
            assert (first.told, first.status) == (ANSWERED, 200)
            await sleep(1)
            again = await world.ask(world.entries["e1"], ask)
            assert (again.told, again.status) == (ANSWERED, 409)

    run_world(scenario)


def test_claim_of_a_refused_request_is_removed() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        for backend in world.backends.values():
            backend.core.leaving = True
        await sleep(2)
        ask = KEYED._replace(deadline_s=1.0)
        refused = await world.ask(world.entries["e1"], ask)
        assert refused.told == NOT_RUN
        assert not claims(world)
        for backend in world.backends.values():
            backend.core.leaving = False
        await sleep(2)
        again = await world.ask(world.entries["e1"], ask)
        assert again.told == ANSWERED

    run_world(scenario)


def test_expired_claims_are_swept() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        rows = 250
        for number in range(rows):
            age_s = RETENTION_S if number % 2 else 0
            expires_unix_s = unix_now() + RETENTION_S - age_s
            value = {"expires_unix_s": expires_unix_s}
            key = f"{IDEMPOTENCY_PREFIX}minutes/press/{number}"
            write = Write(key, value, ABSENT)
            world.platform.table.commit((write,), f"m{number}", 0)
        await sleep(200)
        assert len(claims(world)) == rows / 2
        assert world.platform.writes <= 12

    run_world(scenario)


def test_long_keyed_bodies_take_bounded_memory() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        async with open_nursery() as nursery:
            for number in range(24):
                ask = Ask(
                    f"t{number}",
                    key=f"k{number}",
                    padding_bytes=1_000_000,
                    run_s=1.0,
                )
                nursery.start_soon(world.ask, world.entries["e1"], ask)
        refused = [c for c in world.callers if c.told == NOT_RUN]
        assert len(refused) >= 8
        assert max(c.elapsed_s for c in refused) < 0.5

    run_world(scenario)

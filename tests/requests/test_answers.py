"""Test that callers get their own whole answers or are told the truth."""

from pytest import mark
from trio import open_nursery, sleep

from standins.backend.faults import FaultRule
from tests.request_checker import (
    ANSWERED,
    BROKEN,
    NOT_RUN,
    UNKNOWN,
    CallerRecord,
)
from tests.requests.world import Ask, World, run_world


async def start(world: World, backends: int = 2) -> None:
    """Start some backend servers and one entry."""
    for number in range(backends):
        await world.add_backend(f"b{number}")
    await world.add_entry("e1")
    await world.settle()


def test_whole_answers_come_back() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        entry = world.entries["e1"]
        for tag, length in (("short", 0), ("long", 300_000)):
            record = await world.ask(entry, Ask(tag, answer_bytes=length))
            assert (record.told, record.status) == (ANSWERED, 200)

    run_world(scenario)


def test_long_body_streams_through() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        ask = Ask("long", padding_bytes=500_000)
        record = await world.ask(world.entries["e1"], ask)
        assert record.told == ANSWERED

    run_world(scenario)


@mark.parametrize(
    ("kind", "answer_bytes", "told"),
    [
        ("crossed", 0, UNKNOWN),
        ("truncated", 0, UNKNOWN),
        ("truncated", 1_000_000, BROKEN),
        ("truncated_length", 0, UNKNOWN),
        ("truncated_length", 1_000_000, BROKEN),
        ("dropped", 0, UNKNOWN),
        ("hang", 0, UNKNOWN),
        ("late", 0, UNKNOWN),
        ("duplicated", 0, ANSWERED),
    ],
)
def test_wrong_answer_never_passes_as_right(
    kind: str, answer_bytes: int, told: str
) -> None:
    async def scenario(world: World) -> None:
        await start(world, backends=1)
        entry = world.entries["e1"]
        await world.ask(entry, Ask("before"))
        rule = FaultRule(kind, limit=1, delay_s=60)
        world.backends["b0"].break_answers(rule)
        ask = Ask("bad", answer_bytes=answer_bytes, deadline_s=2)
        assert (await world.ask(entry, ask)).told == told
        for number in range(3):
            after = await world.ask(entry, Ask(f"after-{number}"))
            assert after.told in (ANSWERED, UNKNOWN)
        # A copy of an answer costs at most the connection it came on.
        assert after.told == ANSWERED

    run_world(scenario)


@mark.parametrize("kind", ["crossed", "truncated", "dropped", "failing"])
def test_idempotent_request_is_tried_elsewhere(kind: str) -> None:
    async def scenario(world: World) -> None:
        await start(world)
        for backend in world.backends.values():
            backend.break_answers(FaultRule(kind, limit=1))
        ask = Ask("again", service="index")
        assert (await world.ask(world.entries["e1"], ask)).told == ANSWERED

    run_world(scenario)


def test_refused_retry_does_not_hide_that_the_first_attempt_ran() -> None:
    async def scenario(world: World) -> None:
        await start(world, backends=1)
        backend = world.backends["b0"]
        backend.break_answers(FaultRule("dropped", limit=1))
        ask = Ask("a", service="index", run_s=0.3, deadline_s=2)
        async with open_nursery() as nursery:
            nursery.start_soon(world.ask, world.entries["e1"], ask)
            await sleep(0.1)
            backend.core.leaving = True
        assert world.callers[0].told == UNKNOWN

    run_world(scenario)


def test_request_is_refused_as_not_run_when_nobody_serves() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        for backend in world.backends.values():
            backend.core.leaving = True
        record = await world.ask(world.entries["e1"], Ask("a", deadline_s=3))
        assert (record.told, record.status) == (NOT_RUN, 503)

    run_world(scenario)


@mark.parametrize(
    ("headers", "ask", "status"),
    [
        ((), Ask("a", service="nothing"), 404),
        ((), Ask("a", team="strangers"), 403),
        ((), Ask("a", key="x" * 300), 400),
        ((("damaskstall-idempotent", "maybe"),), Ask("a"), 400),
    ],
)
def test_wrong_request_is_refused_before_anything_runs(
    headers: tuple[tuple[str, str], ...], ask: Ask, status: int
) -> None:
    async def scenario(world: World) -> None:
        await start(world)
        asked = ask._replace(headers=headers)
        record = await world.ask(world.entries["e1"], asked)
        assert (record.told, record.status) == (NOT_RUN, status)
        assert not world.runs()

    run_world(scenario)


def test_many_at_once_all_get_their_own() -> None:
    async def scenario(world: World) -> None:
        await start(world)
        told: list[CallerRecord] = []

        async def one(number: int) -> None:
            ask = Ask(f"t{number}", answer_bytes=number * 700)
            told.append(await world.ask(world.entries["e1"], ask))

        async with open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(one, number)
        assert sum(record.told == ANSWERED for record in told) >= 50

    run_world(scenario)

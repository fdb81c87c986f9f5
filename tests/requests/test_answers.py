"""Test that callers get their complete response or a true outcome."""

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
from tests.requests.cluster import CallSpec, Cluster, run_in_cluster


async def start(cluster: Cluster, backends: int = 2) -> None:
    """Start backend servers and one entry."""
    for number in range(backends):
        await cluster.add_backend(f"b{number}")
    await cluster.add_entry("e1")
    await cluster.wait_for_health_checks()


def test_complete_answers_are_returned() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        entry = cluster.entries["e1"]
        for tag, length in (("short", 0), ("long", 300_000)):
            record = await cluster.call(
                entry, CallSpec(tag, answer_bytes=length)
            )
            assert (record.outcome, record.status) == (ANSWERED, 200)

    run_in_cluster(scenario)


def test_long_request_body_is_streamed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        call = CallSpec("long", padding_bytes=500_000)
        record = await cluster.call(cluster.entries["e1"], call)
        assert record.outcome == ANSWERED

    run_in_cluster(scenario)


@mark.parametrize(
    ("kind", "answer_bytes", "outcome"),
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
def test_faulty_answer_is_never_reported_as_valid(
    kind: str, answer_bytes: int, outcome: str
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, backends=1)
        entry = cluster.entries["e1"]
        await cluster.call(entry, CallSpec("before"))
        rule = FaultRule(kind, limit=1, delay_s=60)
        cluster.backends["b0"].set_faults(rule)
        call = CallSpec("bad", answer_bytes=answer_bytes, deadline_s=2)
        assert (await cluster.call(entry, call)).outcome == outcome
        for number in range(3):
            after = await cluster.call(entry, CallSpec(f"after-{number}"))
            assert after.outcome in (ANSWERED, UNKNOWN)
        # A duplicated response costs at most the connection that carried it.
        assert after.outcome == ANSWERED

    run_in_cluster(scenario)


@mark.parametrize("kind", ["crossed", "truncated", "dropped", "failing"])
def test_idempotent_request_is_retried_on_another_server(kind: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        for backend in cluster.backends.values():
            backend.set_faults(FaultRule(kind, limit=1))
        call = CallSpec("again", service="index")
        assert (
            await cluster.call(cluster.entries["e1"], call)
        ).outcome == ANSWERED

    run_in_cluster(scenario)


def test_request_that_fails_each_server_is_sent_to_three_at_most() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, backends=6)
        for backend in cluster.backends.values():
            backend.set_faults(FaultRule("dropped"))
        call = CallSpec("deadly", service="index")
        record = await cluster.call(cluster.entries["e1"], call)
        assert record.outcome == UNKNOWN
        runs = sum(len(b.core.records) for b in cluster.backends.values())
        assert 1 <= runs <= 3

    run_in_cluster(scenario)


def test_refused_retry_does_not_hide_that_the_first_attempt_ran() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, backends=1)
        backend = cluster.backends["b0"]
        backend.set_faults(FaultRule("dropped", limit=1))
        call = CallSpec("a", service="index", run_s=0.3, deadline_s=2)
        async with open_nursery() as nursery:
            nursery.start_soon(cluster.call, cluster.entries["e1"], call)
            await sleep(0.1)
            backend.core.leaving = True
        assert cluster.callers[0].outcome == UNKNOWN

    run_in_cluster(scenario)


def test_request_is_refused_as_not_run_when_all_servers_leave() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        for backend in cluster.backends.values():
            backend.core.leaving = True
        record = await cluster.call(
            cluster.entries["e1"], CallSpec("a", deadline_s=3)
        )
        assert (record.outcome, record.status) == (NOT_RUN, 503)

    run_in_cluster(scenario)


@mark.parametrize(
    ("headers", "call", "status"),
    [
        ((), CallSpec("a", service="nothing"), 404),
        ((), CallSpec("a", team="strangers"), 403),
        ((), CallSpec("a", key="x" * 300), 400),
        ((("damaskstall-idempotent", "maybe"),), CallSpec("a"), 400),
    ],
)
def test_invalid_request_is_refused_without_a_run(
    headers: tuple[tuple[str, str], ...], call: CallSpec, status: int
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        with_headers = call._replace(headers=headers)
        record = await cluster.call(cluster.entries["e1"], with_headers)
        assert (record.outcome, record.status) == (NOT_RUN, status)
        assert not cluster.runs()

    run_in_cluster(scenario)


def test_concurrent_callers_get_their_own_answers() -> None:
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        records: list[CallerRecord] = []

        async def one(number: int) -> None:
            call = CallSpec(f"t{number}", answer_bytes=number * 700)
            records.append(await cluster.call(cluster.entries["e1"], call))

        async with open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(one, number)
        assert sum(record.outcome == ANSWERED for record in records) >= 50

    run_in_cluster(scenario)

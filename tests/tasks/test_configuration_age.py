"""No request is answered by a configuration that is older than its bound.

Guards against the CONFIG incident: a queue that a version had dropped was
answered with 200, and one that it had added with 404.
"""

from collections.abc import Callable
from json import dumps
from typing import Any

from pytest import MonkeyPatch, mark
from trio import current_time, open_nursery, sleep

from damaskstall.addresses import Address
from standins.operators.store import ALL_CALLERS, BUSY, RESET, SILENT, TOO_MANY
from tests.tasks.cluster import (
    FRONT_PORT,
    HOST_NAME,
    KEY,
    NORMAL,
    OTHER_KEY,
    Cluster,
    Reply,
    configuration,
    route,
    run_scenario,
)
from tests.tasks.job_specs import ONE_TASK, job_id

OLD, NEW = "old", "new"
BOUND_S = 2.0
SETTLED_S = 2.0
WATCHED_S = 6.0
STEP_S = 0.33
LATEST_ANSWER_S = 1.0
FEED, READ = "/rows-feed", "/rows-get"


def version(number: int, queue: str, **fields: Any) -> dict[str, Any]:
    """Return a configuration with one public queue beside the usual one."""
    routes = [route(queue, 1, public=True), route(NORMAL, 1)]
    return configuration(number, **{"routes": routes, **fields})


def with_key(number: int, key: str) -> dict[str, Any]:
    """Return a configuration with one key."""
    return version(number, OLD, tenants=[{"name": "blue", "api_keys": [key]}])


def fail_calls(*paths: str, how: str = BUSY, caller: str = ALL_CALLERS) -> Any:
    """Return a fault in which calls for the operators' rows fail."""

    def begin(cluster: Cluster) -> None:
        for path in paths:
            cluster.store.failing_calls[path, "op", caller] = how

    return begin


def fail_store(how: str, *callers: str) -> Any:
    """Return a fault in which the store refuses callers."""

    def begin(cluster: Cluster) -> None:
        for caller in callers:
            cluster.store.faults[caller] = how

    return begin


def cut(host: str, *others: str) -> Callable[[Cluster], None]:
    """Return a fault that cuts a host off from others."""

    def begin(cluster: Cluster) -> None:
        for other in others:
            cluster.network.cut(host, other)
            cluster.network.cut(other, host)

    return begin


def both(*faults: Callable[[Cluster], None]) -> Callable[[Cluster], None]:
    """Return a fault that consists of several."""

    def begin(cluster: Cluster) -> None:
        for fault in faults:
            fault(cluster)

    return begin


# In these the configuration can be confirmed by some path at each instance.
CONFIRMABLE = {
    "none": fail_calls(),
    "feed refused": fail_calls(FEED),
    "feed silent": fail_calls(FEED, how=SILENT),
    "rows refused": fail_calls(READ),
    "feed refused to one": fail_calls(FEED, caller="n0"),
    "feed silent to one": fail_calls(FEED, caller="n0", how=SILENT),
    "op refused to one": fail_calls(FEED, READ, caller="n0"),
    "store refuses one": fail_store(BUSY, "n0"),
    "store silent to one": fail_store(SILENT, "n0"),
    "store refuses two": fail_store(TOO_MANY, "n0", "n1"),
    "one reaches a refused peer alone": both(
        fail_store(RESET, "n0", "n1"), cut("n0", "n2")
    ),
    "peers silent while the store refuses one": both(
        fail_store(BUSY, "n0"), cut("n1", "n0")
    ),
}
UNCONFIRMABLE = {
    "op refused": fail_calls(FEED, READ),
    "op silent": fail_calls(FEED, READ, how=SILENT),
    "store busy": fail_store(BUSY, ALL_CALLERS),
    "store silent": fail_store(SILENT, ALL_CALLERS),
    "store resets": fail_store(RESET, ALL_CALLERS),
    "store limits": fail_store(TOO_MANY, ALL_CALLERS),
    "store cut off": cut("store", "n0", "n1", "n2"),
    "one cut off": cut("n0", "store", "n1", "n2"),
    "store refuses one whose peers are cut off": both(
        fail_store(BUSY, "n0"), cut("n0", "n1", "n2")
    ),
}
FAULTS = {**CONFIRMABLE, **UNCONFIRMABLE}


def reason(reply: Reply) -> object:
    """Return the status of an answer, or the text of a refusal."""
    return reply.value["error"] if reply.status == 503 else reply.status


async def change_beside(
    cluster: Cluster, fault: str, first: Any, second: Any
) -> float:
    """Store a version, begin a fault, store the next; return its time."""
    cluster.store.put("op", "config", first)
    await sleep(SETTLED_S)
    FAULTS[fault](cluster)
    await sleep(0.5)
    cluster.store.put("op", "config", second)
    stored_s = current_time()
    await sleep(BOUND_S + 0.01)
    return stored_s


async def call(cluster: Cluster, *args: Any, **kwargs: Any) -> Reply:
    """Call a node; check that it answers soon, and how it refuses."""
    sent_s = current_time()
    reply = await cluster.call(*args, **kwargs)
    assert current_time() - sent_s < LATEST_ANSWER_S, args
    if reply.status == 503:
        assert "retry-after" in reply.headers
    return reply


@mark.parametrize("fault", FAULTS)
def test_dropped_and_added_queues_are_not_answered_by_an_old_version(
    fault: str,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        stored_s = await change_beside(
            cluster, fault, version(5, OLD), version(9, NEW)
        )
        seen: set[object] = set()
        while current_time() < stored_s + WATCHED_S:
            for node in cluster.nodes:
                old = await call(cluster, "GET", f"/{OLD}/", node=node)
                new = await call(cluster, "GET", f"/{NEW}/", node=node)
                assert old.status in (404, 503), (node, old)
                assert new.status in (200, 503), (node, new)
                seen |= {old.status, reason(new)}
            await sleep(STEP_S)
        if fault in CONFIRMABLE:
            # No store, no count: a refusal, but not for the configuration.
            assert seen - {"The store does not answer."} == {404, 200}

    run_scenario(scenario, nodes=3)


@mark.parametrize("fault", FAULTS)
def test_removed_and_added_keys_are_not_answered_by_an_old_version(
    fault: str,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        stored_s = await change_beside(
            cluster, fault, with_key(5, KEY), with_key(9, OTHER_KEY)
        )
        path = f"/{NORMAL}/{job_id(1)}"
        while current_time() < stored_s + WATCHED_S:
            for node in cluster.nodes:
                for method in ("GET", "DELETE"):
                    old = await call(cluster, method, path, node=node, key=KEY)
                    assert old.status in (401, 503), (node, old)
                new = await call(
                    cluster, "GET", path, node=node, key=OTHER_KEY
                )
                assert new.status in (410, 503), (node, new)
            await sleep(STEP_S)

    run_scenario(scenario, nodes=3)


@mark.parametrize("fault", FAULTS)
def test_jobs_are_not_handed_in_by_an_old_version(fault: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        await change_beside(cluster, fault, version(5, OLD), version(9, NEW))
        for number, node in enumerate(cluster.nodes):
            specs = [ONE_TASK]
            old = await cluster.submit(
                job_id(10 + number), specs, OLD, node=node
            )
            assert old.status in (404, 503), (node, old)
            new = await cluster.submit(
                job_id(20 + number), specs, NEW, node=node
            )
            assert new.status in (200, 503), (node, new)

    run_scenario(scenario, nodes=3)


@mark.parametrize("fault", ["op refused", "store silent", "one cut off"])
def test_instances_answer_again_once_the_configuration_is_confirmed(
    fault: str,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await change_beside(cluster, fault, version(5, OLD), version(9, NEW))
        await sleep(3.0)
        assert not cluster.nodes["n0"].is_ready()
        cluster.store.failing_calls.clear()
        cluster.store.faults.clear()
        cluster.network.cuts.clear()
        cluster.network.wake()
        await sleep(1.5)
        for name, node in cluster.nodes.items():
            assert node.is_ready()
            for queue, status in ((OLD, 404), (NEW, 200)):
                reply = await call(cluster, "GET", f"/{queue}/", node=name)
                assert reply.status == status

    run_scenario(scenario, nodes=3)


def test_request_that_waited_for_a_held_up_process_meets_no_old_version() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        for _ in range(5):
            number = 2 * round(current_time() * 10)
            before, after = (OLD, NEW) if number % 4 else (NEW, OLD)
            cluster.store.put("op", "config", version(number, before))
            await sleep(2.5)
            cluster.network.freeze("n0")
            cluster.store.put("op", "config", version(number + 1, after))
            await sleep(BOUND_S + 0.1)
            replies: list[tuple[str, Reply]] = []

            async def ask(queue: str, into: Any = replies) -> None:
                reply = await cluster.call("GET", f"/{queue}/", node="n0")
                into.append((queue, reply))

            async with open_nursery() as nursery:
                for queue in (before, after):
                    nursery.start_soon(ask, queue)
                await sleep(0.3)
                cluster.network.thaw("n0")
            for queue, reply in replies:
                right = 404 if queue == before else 200
                assert reply.status in (right, 503)

    run_scenario(scenario, nodes=3)


def test_calm_instances_confirm_by_their_watches_alone() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(3.0)
        watches = {FEED: 0, READ: 0}
        calls = cluster.store.table_calls
        before = {path: calls.get((path, "op"), 0) for path in watches}
        end_s = current_time() + 10.0
        while current_time() < end_s:
            for node in cluster.nodes:
                path = f"/{NORMAL}/{job_id(1)}"
                assert (await call(cluster, "GET", path, node=node)).status
            await sleep(0.003)
        made = {p: calls.get((p, "op"), 0) - before[p] for p in watches}
        assert made[READ] == 0
        assert made[FEED] <= 10 * len(cluster.nodes)

    run_scenario(scenario, nodes=2)


def test_clients_of_a_cut_off_instance_are_refused_at_once() -> None:
    """Only the first of them may wait for another path."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        FAULTS["one cut off"](cluster)
        await sleep(4.0)
        for _ in range(20):
            sent_s = current_time()
            reply = await cluster.call("GET", f"/{NORMAL}/", node="n0")
            assert reply.status == 503
            assert current_time() - sent_s < 0.1
            await sleep(0.2)

    run_scenario(scenario, nodes=3)


def test_job_whose_body_arrives_late_is_decided_by_the_present_version() -> (
    None
):
    """The queue was looked up before the body had arrived."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        body = dumps({"specification": "text", "steps": [ONE_TASK]}).encode()
        head = (
            f"POST /{OLD}/{job_id(1)} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        client = cluster.network.endpoint("client")
        stream = await client.connect(Address("10.2.0.0", FRONT_PORT))
        await stream.send_all(head.encode())
        await sleep(0.2)
        cluster.store.put("op", "config", version(9, NEW))
        await sleep(0.5)
        await stream.send_all(body)
        answer = await stream.receive_some()
        assert answer.split()[1] == b"404", answer

    run_scenario(scenario, nodes=2)


@mark.parametrize("bound_s", [2.0, 4.0])
def test_failing_calls_are_repeated_at_intervals(bound_s: float) -> None:
    """Attempts followed each other at once while the bound had not passed."""

    async def scenario(cluster: Cluster) -> None:
        for node in cluster.nodes.values():
            changed = node.settings._replace(configuration_s=bound_s)
            node.apply_settings(changed)
        await sleep(SETTLED_S)
        FAULTS["op refused"](cluster)
        await sleep(10.0)
        # The watch retries every 0.3 s, and an attempt is made each second.
        assert cluster.store.failed_calls < 10 * 8 * len(cluster.nodes)

    run_scenario(scenario, nodes=3)


def test_request_waits_for_no_pause_between_attempts(
    monkeypatch: MonkeyPatch,
) -> None:
    """What peers know may be confirmed, and too old a moment later."""

    async def scenario(cluster: Cluster) -> None:
        await sleep(SETTLED_S)
        watcher = cluster.nodes["n0"].config_watcher

        async def confirm_by_old_report() -> None:
            known = watcher.configuration
            known.confirmed_s = current_time() - BOUND_S + 0.1

        monkeypatch.setattr(watcher, "_attempt", confirm_by_old_report)
        fail_calls(FEED, READ, caller="n0")(cluster)
        await sleep(3.0)
        for _ in range(40):
            sent_s = current_time()
            await cluster.call("GET", f"/{NORMAL}/", node="n0")
            assert current_time() - sent_s < 0.5
            await sleep(0.11)

    run_scenario(scenario, nodes=1)

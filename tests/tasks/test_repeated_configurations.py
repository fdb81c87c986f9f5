"""A configuration that is written again stops no instance.

Guards against review/6: after the same version was written twice, all
instances refused every request and started nothing, for good.
"""

from collections.abc import Callable

from pytest import MonkeyPatch, mark
from trio import sleep

from damaskstall.events import Event
from damaskstall.tasks.events import STATE_OUTDATED
from standins.operators.store import ALL_CALLERS, BUSY, SILENT
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_configuration_age import (
    BOUND_S,
    FEED,
    NEW,
    OLD,
    READ,
    SETTLED_S,
    WATCHED_S,
    version,
)
from tests.tasks.test_refused_configurations import (
    UNREADABLE,
    check_answers,
)

LOST_ANSWER_S = 1.0
Write = Callable[[Cluster], object]


def write(number: int, queue: str) -> Write:
    """Return the operator's write of a version."""
    return lambda cluster: cluster.store.put(
        "op", "config", version(number, queue)
    )


def write_unreadable(cluster: Cluster) -> None:
    """Write a configuration that cannot be read."""
    cluster.store.put_text("op", "config", UNREADABLE)


def remove(cluster: Cluster) -> None:
    """Remove the configuration."""
    cluster.store.remove("op", "config")


# The writes of an operator after version 5, which has the queue OLD, and the
# queue that is in force at the end.
ORDERS: dict[str, tuple[list[Write], str]] = {
    "repeated": ([write(5, OLD)], OLD),
    "repeated often": ([write(5, OLD)] * 4, OLD),
    "next one repeated": ([write(9, NEW)] * 2, NEW),
    "late copy of an older one": ([write(9, NEW), write(5, OLD)], NEW),
    "late copies": ([write(9, NEW), *[write(5, OLD)] * 3], NEW),
    "late copy, then repeated": (
        [write(9, NEW), write(5, OLD), write(9, NEW)],
        NEW,
    ),
    "other contents": ([write(5, NEW)], NEW),
    "repeated after an unreadable one": (
        [write_unreadable, write(5, OLD)],
        OLD,
    ),
    "repeated after a removal": ([remove, write(5, OLD)], OLD),
    "late copy after an unreadable one": (
        [write(9, NEW), write_unreadable, write(5, OLD)],
        NEW,
    ),
}
# Paths by which instances learn of the rows.
FAULTS: dict[str, dict[tuple[str, str, str], str]] = {
    "none": {},
    "feed refused": {(FEED, "op", ALL_CALLERS): BUSY},
    "feed silent": {(FEED, "op", ALL_CALLERS): SILENT},
    "op refused to one": {
        (FEED, "op", "n0"): BUSY,
        (READ, "op", "n0"): BUSY,
    },
}


def answers_of(queue: str) -> dict[str, set[int]]:
    """Return what is answered while one of the queues is in force."""
    return {
        f"/{name}/": {200 if name == queue else 404} for name in (OLD, NEW)
    }


@mark.parametrize("fault", FAULTS)
@mark.parametrize("order", ORDERS)
def test_repeated_configuration_is_confirmed(order: str, fault: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        cluster.store.failing_calls.update(FAULTS[fault])
        writes, in_force = ORDERS[order]
        for each in writes:
            each(cluster)
            await sleep(LOST_ANSWER_S)
        await check_answers(cluster, answers_of(in_force))
        assert all(node.is_ready() for node in cluster.nodes.values())

    run_scenario(scenario, nodes=3)


@mark.parametrize("order", ["repeated", "next one repeated", "other contents"])
def test_instance_started_later_has_the_same_in_force(order: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        writes, in_force = ORDERS[order]
        for each in writes:
            each(cluster)
        cluster.kill_node("n1")
        await cluster.start_node("n1")
        await check_answers(cluster, answers_of(in_force))

    run_scenario(scenario, nodes=3)


def test_accepted_job_goes_on_after_a_repeated_configuration() -> None:
    """The second step of a job starts, and its state is told."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        specs = [ONE_TASK, {**ONE_TASK, "after": [0]}]
        reply = await cluster.submit(job_id(1), specs, OLD, work_s=8.0)
        assert reply.status == 200
        for _ in range(2):
            cluster.store.put("op", "config", version(5, OLD))
            await sleep(LOST_ANSWER_S)
        await cluster.wait_state(job_id(1), "completed", OLD, limit_s=18.0)

    run_scenario(scenario, nodes=3)


def test_repeated_mark_of_an_evacuation_changes_nothing() -> None:
    async def scenario(cluster: Cluster) -> None:
        configured = cluster.nodes["n0"].configuration
        for _ in range(3):
            cluster.store.put("op", "evacuate/fd0", {})
            await sleep(BOUND_S)
            assert configured.evacuated == {"fd0"}
            assert cluster.nodes["n0"].is_ready()

    run_scenario(scenario)


def test_first_configuration_may_have_the_version_0() -> None:
    """Versions need not begin above that of an instance that knows none."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.remove("op", "config")
        cluster.store.put("op", "config", version(0, OLD))
        cluster.kill_node("n0")
        await cluster.start_node("n0")
        await sleep(WATCHED_S)
        reply = await cluster.call("GET", f"/{OLD}/", node="n0")
        assert reply.status == 200

    run_scenario(scenario, nodes=1)


def test_late_copy_of_a_configuration_is_logged_once(
    monkeypatch: MonkeyPatch,
) -> None:
    events: list[Event] = []
    monkeypatch.setattr(
        "damaskstall.tasks.configuration.log",
        lambda event, **fields: events.append(event),
    )

    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(9, NEW))
        await sleep(SETTLED_S)
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(WATCHED_S)

    run_scenario(scenario, nodes=1)
    assert events.count(STATE_OUTDATED) == 1

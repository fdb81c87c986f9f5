"""A version that cannot be read, or not whole, leaves no old one in force.

Guards against the CONFIG incident: a refused version counted as confirmed.
"""

from typing import Any

from pytest import MonkeyPatch, mark
from trio import current_time, sleep

from standins.operators.store import ALL_CALLERS, BUSY
from tests.failures import expects_failures
from tests.tasks.cluster import (
    KEY,
    NORMAL,
    OTHER_KEY,
    Cluster,
    configuration,
    route,
    run_scenario,
)
from tests.tasks.job_specs import job_id
from tests.tasks.test_configuration_age import (
    BOUND_S,
    FEED,
    NEW,
    OLD,
    SETTLED_S,
    STEP_S,
    WATCHED_S,
    version,
)

UNREADABLE = "AAAA"
NULL = "bnVsbA=="


async def check_answers(
    cluster: Cluster, expected: dict[str, set[int]], key: str = KEY
) -> None:
    """Check what is answered to a GET of some paths from the bound on."""
    stored_s = current_time()
    await sleep(BOUND_S + 0.01)
    while current_time() < stored_s + WATCHED_S:
        for node in cluster.nodes:
            for path, statuses in expected.items():
                reply = await cluster.call("GET", path, node=node, key=key)
                assert reply.status in statuses, (node, path, reply)
        await sleep(STEP_S)


@mark.parametrize("text", [UNREADABLE, NULL, "e30="])
def test_unreadable_row_leaves_no_old_version_in_force(text: str) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        cluster.store.put_text("op", "config", text)
        refused = {f"/{OLD}/": {503}, f"/{NEW}/": {503}}
        await check_answers(cluster, refused)
        cluster.store.put("op", "config", version(9, NEW))
        await check_answers(cluster, {f"/{OLD}/": {404}, f"/{NEW}/": {200}})

    run_scenario(scenario, nodes=3)


def test_removed_row_leaves_no_old_version_in_force() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        cluster.store.remove("op", "config")
        await check_answers(cluster, {f"/{OLD}/": {503}})

    run_scenario(scenario, nodes=3)


@mark.parametrize(
    "function",
    [
        "platform.operator_rows.OperatorsPlatform.desired_state",
        "tasks.desired_state.DesiredState.queue_by_name",
    ],
)
@expects_failures
def test_unexpected_error_leaves_no_old_version_in_force(
    function: str,
    monkeypatch: MonkeyPatch,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)

        def fail(*arguments: Any) -> None:
            raise RuntimeError("an unexpected error")

        monkeypatch.setattr(f"damaskstall.{function}", fail)
        cluster.store.put("op", "config", version(9, NEW))
        await check_answers(cluster, {f"/{OLD}/": {503}, f"/{NEW}/": {503}})

    run_scenario(scenario, nodes=3)


BAD_FIELDS: list[dict[str, Any]] = [
    {"stretch": "many"},
    {"priority": 10**400},
    {"service": None},
    {"host": 7},
    {"path_prefix": 7},
]


@mark.parametrize("field", BAD_FIELDS)
def test_unreadable_queue_keeps_no_other_part_from_force(
    field: dict[str, Any],
) -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        bad = {**route("bad", 1, public=True), **field}
        routes = [route(NEW, 1, public=True), bad, route(NORMAL, 1)]
        cluster.store.put("op", "config", configuration(9, routes=routes))
        # Any path may belong to a queue whose prefix is not known.
        unmatched = {503} if "path_prefix" in field else {404}
        await check_answers(
            cluster,
            {f"/{NEW}/": {200}, "/bad/": {503}, f"/{OLD}/": unmatched},
        )

    run_scenario(scenario, nodes=2)


def test_unreadable_queue_is_not_answered_by_one_with_a_shorter_prefix() -> (
    None
):
    async def scenario(cluster: Cluster) -> None:
        bad = route("bad", 1, public=True, stretch="many")
        bad["path_prefix"] = f"/{NEW}/inner/"
        routes = [route(NEW, 1, public=True), bad]
        cluster.store.put("op", "config", configuration(9, routes=routes))
        paths: dict[str, set[int]] = {
            f"/{NEW}/": {200},
            f"/{NEW}/inner/": {503},
        }
        await check_answers(cluster, paths)

    run_scenario(scenario, nodes=2)


def test_unreadable_team_is_not_refused_as_unknown() -> None:
    async def scenario(cluster: Cluster) -> None:
        teams = [
            {"name": "blue", "api_keys": [KEY]},
            {
                "name": "red",
                "api_keys": [OTHER_KEY],
                "guaranteed": {"gpus": []},
            },
        ]
        state = configuration(9, tenants=teams)
        cluster.store.put("op", "config", state)
        path = f"/{NORMAL}/{job_id(1)}"
        await check_answers(cluster, {path: {410}})
        await check_answers(cluster, {path: {503}}, key=OTHER_KEY)

    run_scenario(scenario, nodes=2)


@mark.parametrize("text", [UNREADABLE, NULL])
def test_evacuation_with_an_unreadable_value_is_in_force(text: str) -> None:
    """Only the key tells which failure domain is evacuated."""

    async def scenario(cluster: Cluster) -> None:
        configured = cluster.nodes["n0"].configuration
        cluster.store.put_text("op", "evacuate/fd0", text)
        await sleep(1.5)
        assert configured.evacuated == {"fd0"}
        cluster.store.remove("op", "evacuate/fd0")
        await sleep(1.5)
        assert not configured.evacuated

    run_scenario(scenario)


@mark.parametrize("text", [None, UNREADABLE])
def test_row_that_is_missed_by_the_feed_leaves_no_old_version_in_force(
    text: str | None,
) -> None:
    """The rows are read, in which a removed one is missing."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.put("op", "config", version(5, OLD))
        await sleep(SETTLED_S)
        cluster.store.failing_calls[FEED, "op", ALL_CALLERS] = BUSY
        # No watch that was sent before is answered with the change.
        await sleep(BOUND_S)
        if text is None:
            cluster.store.remove("op", "config")
        else:
            cluster.store.put_text("op", "config", text)
        await check_answers(cluster, {f"/{OLD}/": {503}})
        cluster.store.put("op", "config", version(5, OLD))
        await check_answers(cluster, {f"/{OLD}/": {200}})

    run_scenario(scenario, nodes=3)

"""No drawn input of another writer or client ends the work for others.

Guards against the kind of case 1 of the review. Valid rows and bodies are
broken in one or two places, written beside jobs that must be completed.
"""

from base64 import b64encode
from collections.abc import Callable
from copy import deepcopy
from json import dumps
from random import Random
from typing import Any

from pytest import mark
from trio import sleep

from tests.tasks.cluster import (
    NORMAL,
    SERVICE,
    Cluster,
    configuration,
    route,
    run_scenario,
)
from tests.tasks.job_specs import FOUR_TASKS, GANG, job_id
from tests.tasks.test_foreign_entries import (
    ODD_ADDRESSES,
    complete_jobs,
    entry,
    epoch_of,
)

SEEDS = range(16)
INPUTS = 60
# Some inputs come before a job that must be completed beside them.
INPUTS_PER_JOB = 6
# A job that can be started is decided on within this time.
DECIDED_S = 0.7
# A new configuration is in force after this time.
CONFIGURED_S = 2.0
ODD_NUMBERS = (10**400, -(10**400), 10**18, -1, 1e308, 0.5)
ODD_TEXTS = ("", "\0", "\ud800", "ä\n", "x" * 5000, "1" * 400, "a b", "../x")
ODD_VALUES: tuple[Any, ...] = (
    *ODD_NUMBERS,
    *ODD_TEXTS,
    None,
    True,
    [],
    {},
    [[[]]],
    {"a": {"b": []}},
    [10**400],
)
ODD_KEYS = ("w00\n", "ä", "", "\ud800", "a/b", "x" * 200, "w@1", "%00")
JOB: dict[str, Any] = {
    "specification": "text",
    "repetitions": 2,
    "interval_ms": 1000,
    "first_run_ms": 1_690_000_000_000,
    "steps": [
        {**FOUR_TASKS, "checkpointing": True, "requirements": ""},
        {**GANG, "after": [0], "anti_affinity": 1},
    ],
}
Places = list[tuple[Any, Any]]
Drawn = Callable[[Random, Cluster], None]


def places_of(value: Any) -> Places:
    """Return each container in a value with each of its keys."""
    if not isinstance(value, (dict, list)):
        return []
    keys = list(value) if isinstance(value, dict) else range(len(value))
    found: Places = [(value, key) for key in keys]
    for key in keys:
        found += places_of(value[key])
    return found


def broken(random: Random, value: Any) -> Any:
    """Return a copy of a value that is broken in one or two places."""
    changed = deepcopy(value)
    for _ in range(random.randint(1, 2)):
        container, key = random.choice(places_of(changed))
        if isinstance(container, dict) and random.random() < 0.2:
            del container[key]
        else:
            values = random.choice((ODD_NUMBERS, ODD_VALUES))
            container[key] = deepcopy(random.choice(values))
        if not places_of(changed):
            break
    return changed


def with_odd_number(random: Random) -> Any:
    """Return the body of a job with one step that has an odd number."""
    step = dict(random.choice(JOB["steps"]), after=[])
    numbers = [name for name in step if type(step[name]) is int]
    step[random.choice(numbers)] = random.choice(ODD_NUMBERS)
    return {"specification": "text", "steps": [step]}


def write_worker(random: Random, cluster: Cluster) -> None:
    """Write an entry of the list of workers, of this or another service."""
    name = random.choice((*ODD_KEYS, "cache-0", "cache-1"))
    address = random.choice(("10.9.9.9:80", *ODD_ADDRESSES))
    service = random.choice((SERVICE, "cache"))
    state = random.choice(("ready", "draining"))
    value = entry(address=address, service=service, state=state)
    if random.random() < 0.7:
        value = broken(random, {**value, "born": 5, "remaining_ms": 100})
    cluster.store.put("servers", name, value)


def next_configuration(cluster: Cluster) -> dict[str, Any]:
    """Return a valid configuration with a higher version than any before."""
    version = 10 + cluster.store.rows.version
    return configuration(version, routes=[route(NORMAL, 1)])


def write_operators_row(random: Random, cluster: Cluster) -> None:
    """Write a broken configuration, an odd row or an odd mark."""
    key = random.choice(("config", "config", "evacuate/odd", "other", ""))
    cluster.store.put("op", key, broken(random, next_configuration(cluster)))


def write_bytes(random: Random, cluster: Cluster) -> None:
    """Write a row that cannot be read."""
    table, key = random.choice((("servers", "cache-2"), ("op", "config")))
    text = random.choice(("", "AAAA", "eJw=", "not base64", "e30=", "W10="))
    cluster.store.put_text(table, key, text)


DRAWN: tuple[Drawn, ...] = (write_worker, write_operators_row, write_bytes)


def is_stored(cluster: Cluster, state: dict[str, Any]) -> bool:
    """Return whether a configuration is the one in the store."""
    rows, _ = cluster.store.rows.get("op", "", "config", 1)
    text = b64encode(dumps(state).encode()).decode()
    return any(row["value"] == text for row in rows)


async def send_request(
    random: Random, cluster: Cluster, number: int, valid: dict[str, Any]
) -> None:
    """Submit a broken job, or make another odd request.

    While the newest configuration is a broken one and not ``valid``, what it
    may concern is not decided by an older one.
    """
    node = random.choice(list(cluster.nodes))
    path = f"/{NORMAL}/{job_id(number)}"
    method = random.choice(("POST", "POST", "POST", "GET", "DELETE", "PUT"))
    body: Any = broken(random, JOB)
    if random.random() < 0.5:
        body = with_odd_number(random)
    if random.random() < 0.2:
        body = random.choice((b"{", b"[" * 5000, b"\xff", b"1e999", b"9" * 9))
    if random.random() < 0.2:
        path = random.choice(("/", f"/{NORMAL}/x", f"/{NORMAL}/%00", "//a"))
    cluster.history.jobs[job_id(number)] = body
    reply = await cluster.call(method, path, body, node=node)
    if reply.status == 503 and not is_stored(cluster, valid):
        assert "configuration" in reply.value["error"], reply
        assert "retry-after" in reply.headers
        return
    assert reply.status < 500, (method, path, body, reply)
    if reply.status == 200 and method == "POST":
        # Such a job may wait, and must not use capacity for long.
        await sleep(DECIDED_S)
        await cluster.call("DELETE", path, node=node)


@mark.parametrize("seed", SEEDS)
def test_drawn_inputs_end_nothing(seed: int) -> None:
    random = Random(seed)

    async def scenario(cluster: Cluster) -> None:
        epoch = epoch_of(cluster)
        state = configuration(1)
        for number in range(INPUTS):
            if random.random() < 0.5:
                random.choice(DRAWN)(random, cluster)
            else:
                await send_request(random, cluster, 1000 + number, state)
            await sleep(random.choice((0.0, 0.1, 0.6)))
            if number % INPUTS_PER_JOB == 0:
                # What was drawn may be a valid configuration without queues.
                state = next_configuration(cluster)
                cluster.store.put("op", "config", state)
                await sleep(CONFIGURED_S)
                await complete_jobs(cluster, number, 1)
        assert epoch_of(cluster) == epoch

    run_scenario(scenario, seed=seed)

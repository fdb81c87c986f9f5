"""No answer is by an old configuration, whatever faults overlap.

Versions follow each other while the store, the feed, instances and links fail
at random. Each answer to a request must be one that a version allows which was
in force within the bound before the request, or later, and no instance may go
back behind a version that it has shown.

The suite runs a few seeds. To run others, give a range of them:
``SOAK_SEEDS=100-150 python -m pytest tests/tasks/test_configuration_soak.py``.
"""

from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Any, NamedTuple

from pytest import mark
from trio import current_time, open_nursery, sleep

from damaskstall.errors import HttpError
from standins.operators.store import ALL_CALLERS, BUSY, RESET, SILENT, TOO_MANY
from tests.tasks.cluster import (
    NORMAL,
    Cluster,
    Reply,
    configuration,
    route,
    run_scenario,
)
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_configuration_age import FEED, READ
from tests.tasks.test_reboot_soak import seeds

NODES = 4
FAULTS_S = 40.0
CALM_S = 4.0
BOUND_S = 2.0
QUEUES = [f"q{number}" for number in range(4)]
KEYS = [f"key-{number}" for number in range(4)]
HOW = (BUSY, TOO_MANY, RESET, SILENT)


class Version(NamedTuple):
    """A version that was stored at a time, with what it has."""

    stored_s: float
    queues: frozenset[str]
    keys: frozenset[str]


class Answer(NamedTuple):
    """What a node answered to a request that was sent at a time."""

    node: str
    sent_s: float
    answered_s: float
    subject: str
    status: int


Allows = Callable[[Version], bool]


class History:
    """The versions, and what each incarnation of a node has shown of them."""

    def __init__(self) -> None:
        """Start without a version."""
        self.versions: list[Version] = []
        # By node, the versions that answers have shown, with their times.
        self.shown: dict[str, list[tuple[float, int]]] = {}

    def check(self, answer: Answer) -> None:
        """Check that a version which may be in force allows an answer."""
        shown = self.shown.setdefault(answer.node, [])
        earlier = [n for at_s, n in shown if at_s <= answer.sent_s]
        first = max(earlier, default=0)
        for number, version in enumerate(self.versions):
            if version.stored_s <= answer.sent_s - BOUND_S:
                first = max(first, number)
        allowing = [
            number
            for number in range(first, len(self.versions))
            if self.versions[number].stored_s <= answer.answered_s
            and allows(self.versions[number], answer)
        ]
        assert allowing, (answer, first, self.versions[first:])
        shown.append((answer.answered_s, allowing[0]))


def allows(version: Version, answer: Answer) -> bool:
    """Return whether a version allows an answer."""
    if answer.status == 503:
        return True
    if answer.subject in QUEUES:
        has = answer.subject in version.queues
        return answer.status == (200 if has else 404)
    has = answer.subject in version.keys
    if answer.status == 401:
        return not has
    # A cancelling of an unknown job may be limited, or its outcome unknown.
    return has and answer.status in (410, 429, 504)


class ConfigurationSoak:
    """One run: a writer of versions, faults, and clients that check."""

    def __init__(self, cluster: Cluster, random: Random) -> None:
        """Start with the versions that the cluster has."""
        self.cluster = cluster
        self.random = random
        self.history = History()
        self.number = 10
        self.state: dict[str, Any] = {}
        self.refused = 0
        self.answered = 0

    def store_version(self) -> None:
        """Store a version with some of the queues and keys."""
        random = self.random
        queues = [name for name in QUEUES if random.random() < 0.6]
        keys = [key for key in KEYS if random.random() < 0.6]
        routes = [route(name, 1, public=True) for name in queues]
        self.number += random.randint(1, 5)
        self.state = configuration(
            self.number,
            routes=[*routes, route(NORMAL, 1)],
            tenants=[{"name": "blue", "api_keys": keys}],
        )
        self.cluster.store.put("op", "config", self.state)
        version = Version(current_time(), frozenset(queues), frozenset(keys))
        self.history.versions.append(version)

    async def write_versions(self, until_s: float) -> None:
        """Store versions, in storms and with pauses."""
        while current_time() < until_s:
            gap_s = self.random.choice((0.06, 0.3, 0.6, 1.5, 4.0))
            for _ in range(self.random.randint(1, 6)):
                self.store_version()
                await sleep(gap_s)

    async def repeat_versions(self, until_s: float, random: Random) -> None:
        """Store the last version again, as after a lost answer."""
        while current_time() < until_s:
            await sleep(random.choice((0.2, 1.0, 5.0)))
            self.cluster.store.put("op", "config", self.state)

    async def ask(self, node: str, number: int) -> None:
        """Send one request to a node and check the answer."""
        subject = self.random.choice((*QUEUES, *KEYS))
        sent_s = current_time()
        incarnation = self.cluster.nodes.get(node)
        if incarnation is None:
            return
        with suppress(HttpError):
            reply = await self._call(node, subject, number)
            if self.cluster.nodes.get(node) is not incarnation:
                return
            status = reply.status
            self.answered += 1
            self.refused += status == 503
            assert status != 503 or "retry-after" in reply.headers
            answer = Answer(node, sent_s, current_time(), subject, status)
            self.history.check(answer)

    async def _call(self, node: str, subject: str, number: int) -> Reply:
        cluster = self.cluster
        if subject in QUEUES:
            return await cluster.call("GET", f"/{subject}/", node=node)
        path = f"/{NORMAL}/{job_id(number)}"
        method = self.random.choice(("GET", "DELETE"))
        return await cluster.call(method, path, node=node, key=subject)

    async def ask_forever(self, node: str, until_s: float) -> None:
        """Send requests to a node, several of them at once."""
        number = 0
        async with open_nursery() as nursery:
            while current_time() < until_s:
                number += 1
                nursery.start_soon(self.ask, node, 0xABC000 + number)
                await sleep(self.random.uniform(0.01, 0.4))

    async def break_forever(self, until_s: float) -> None:
        """Begin and end faults that may overlap."""
        while current_time() < until_s:
            fault = self.random.choice(FAULTS)
            lasts_s = self.random.uniform(0.3, 7.0)
            await fault(self, min(lasts_s, until_s - current_time()))
            await sleep(self.random.uniform(0.0, 3.0))

    def some_nodes(self) -> list[str]:
        """Return one or more nodes, in a drawn order."""
        count = self.random.randint(1, NODES)
        return self.random.sample([f"n{n}" for n in range(NODES)], count)


async def refuse_calls(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Let the feed, the rows or both of the operators' table fail."""
    random, failing = soak.random, soak.cluster.store.failing_calls
    how = random.choice((BUSY, SILENT))
    paths = random.choice(((FEED,), (READ,), (FEED, READ)))
    callers = random.choice(([ALL_CALLERS], soak.some_nodes()))
    calls = [(path, "op", caller) for path in paths for caller in callers]
    for call in calls:
        failing[call] = how
    await sleep(lasts_s)
    for call in calls:
        failing.pop(call, None)


async def refuse_nodes(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Let the store refuse some nodes, or all."""
    how = soak.random.choice(HOW)
    callers = soak.random.choice(([ALL_CALLERS], soak.some_nodes()))
    for caller in callers:
        soak.cluster.store.faults[caller] = how
    await sleep(lasts_s)
    for caller in callers:
        soak.cluster.store.faults.pop(caller, None)


async def cut_links(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Cut some nodes off from the store, each other, or both."""
    network = soak.cluster.network
    hosts = ["store", *(f"n{n}" for n in range(NODES))]
    pairs = [
        (node, other)
        for node in soak.some_nodes()
        for other in soak.random.sample(hosts, soak.random.randint(1, 5))
        if other != node
    ]
    if soak.random.random() < 0.7:
        pairs += [(other, node) for node, other in pairs]
    for source, target in pairs:
        network.cut(source, target)
    await sleep(lasts_s)
    for source, target in pairs:
        network.heal(source, target)


async def freeze_node(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Hold a node up."""
    node = soak.some_nodes()[0]
    soak.cluster.network.freeze(node)
    await sleep(lasts_s)
    soak.cluster.network.thaw(node)


async def restart_node(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Kill a node, and start it again."""
    cluster, node = soak.cluster, soak.some_nodes()[0]
    if node not in cluster.nodes:
        return
    cluster.kill_node(node)
    soak.history.shown.pop(node, None)
    await sleep(min(lasts_s, 2.0))
    soak.history.shown.pop(node, None)
    await cluster.start_node(node)


async def drop_history(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Drop the store's history, or end its watches."""
    store = soak.cluster.store
    soak.random.choice((store.drop_history, store.expire_watches))()
    await sleep(lasts_s / 10)


async def slow_store(soak: ConfigurationSoak, lasts_s: float) -> None:
    """Let the store answer slowly."""
    soak.cluster.store.slow_factor = soak.random.choice((10.0, 60.0))
    await sleep(lasts_s)
    soak.cluster.store.slow_factor = 1.0


FAULTS = (
    refuse_calls,
    refuse_calls,
    refuse_nodes,
    refuse_nodes,
    cut_links,
    cut_links,
    freeze_node,
    restart_node,
    drop_history,
    slow_store,
)


@mark.parametrize("seed", seeds())
def test_answers_are_by_versions_in_force_beside_random_faults(
    seed: int,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        soak = ConfigurationSoak(cluster, Random(seed))
        soak.store_version()
        await sleep(2.0)
        until_s = current_time() + FAULTS_S
        async with open_nursery() as nursery:
            nursery.start_soon(soak.write_versions, until_s)
            repeats = Random(f"repeats of {seed}")
            nursery.start_soon(soak.repeat_versions, until_s, repeats)
            for _ in range(3):
                nursery.start_soon(soak.break_forever, until_s)
            for node in list(cluster.nodes):
                nursery.start_soon(soak.ask_forever, node, until_s)
        await sleep(CALM_S)
        assert soak.answered > soak.refused
        await check_calm(soak)

    run_scenario(scenario, seed=seed, nodes=NODES)


async def check_calm(soak: ConfigurationSoak) -> None:
    """Check that each node serves by the last version after the faults."""
    version = soak.history.versions[-1]
    for name, node in soak.cluster.nodes.items():
        assert node.is_ready()
        for queue in QUEUES:
            reply = await soak.cluster.call("GET", f"/{queue}/", node=name)
            expected = 200 if queue in version.queues else 404
            assert reply.status == expected, (name, queue, reply)
    key = next(iter(version.keys), None)
    if key is None:
        return
    body: dict[str, Any] = {"specification": "text", "steps": [ONE_TASK]}
    path = f"/{NORMAL}/{job_id(1)}"
    reply = await soak.cluster.call("POST", path, body, key=key)
    assert reply.status == 200

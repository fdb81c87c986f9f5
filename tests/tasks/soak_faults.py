"""Inject random overlapping faults into a cluster, repeatably by seed."""

from collections.abc import Awaitable, Callable
from random import Random

from trio import Nursery, current_time, open_nursery, sleep

from damaskstall.addresses import Address
from standins.operators.store import ALL_CALLERS, BUSY, RESET, SILENT
from standins.operators.worker import (
    AFTER_FIRST_CALL,
    ALWAYS,
    DROPPED,
    IF_UP,
    PORT,
    StandinWorker,
)
from tests.tasks.cluster import Cluster

RESTART_MIN_S, RESTART_MAX_S = 0.05, 3.0
LIST_DELAY_MAX_S = 3.0
CALL_DELAY_MAX_S = 8.0
CUT_MAX_S = 12.0
NODE_FAULT_MAX_S = 6.0
STORE_FAULT_MAX_S = 4.0
WRITE_DELAY_MAX_S = 4.0
MACHINE_LIST_FAULT_MAX_S = 1.5
DRAIN_MIN_S, DRAIN_MAX_S = 1.0, 6.0
FAULT_PAUSE_MAX_S = 0.8
CLOCK_BASES_S = (0.0, 100.0, 5000.0)
LATE_CALLS = (DROPPED, AFTER_FIRST_CALL, IF_UP, ALWAYS)

Fault = Callable[[], Awaitable[None]]


class FaultInjector:
    """The source of all faults of one cluster, and the log of what it did.

    A fault touches only workers and nodes that no other fault has taken down,
    but any number of faults may overlap.
    """

    def __init__(
        self, cluster: Cluster, random: Random, lines: list[str]
    ) -> None:
        """Choose the workers' properties; log each fault to ``lines``."""
        self.cluster = cluster
        self.random = random
        self.lines = lines
        self._busy_nodes: set[str] = set()
        self._down: set[str] = set()
        self._addresses = 0
        late_calls = random.choice(LATE_CALLS)
        born = [w.reports_born for w in cluster.workers.values()]
        self.note(f"late calls after a crash: {late_calls}, 'born': {born[0]}")
        for worker in cluster.workers.values():
            worker.late_calls = late_calls
            worker.clock_rate = random.choice((1.0, 1.0, 0.98))
        self.faults: list[Fault] = [
            self.restart_worker,
            self.restart_worker,
            self.restart_worker,
            self.restart_behind_cut,
            self.delay_calls,
            self.delay_calls,
            self.cut_worker,
            self.cut_worker,
            self.cut_worker_one_way,
            self.unlist_worker,
            self.drain_worker,
            self.disturb_machine_list,
            self.kill_node,
            self.freeze_node,
            self.stop_node,
            self.isolate_node,
            self.slow_store,
            self.fail_store,
            self.lose_answers,
            self.delay_writes,
            self.drop_history,
        ]

    async def run(self, until_s: float) -> None:
        """Start faults until a time; return once all have been undone."""
        async with open_nursery() as nursery:
            while current_time() < until_s:
                nursery.start_soon(self.random.choice(self.faults))
                await sleep(self.random.uniform(0.0, FAULT_PAUSE_MAX_S))
        for worker in self.cluster.workers.values():
            worker.order_delays_s = []
            worker.renewal_delays_s = []
        self.cluster.store.write_delays_s = []
        self.cluster.store.answers_to_lose = 0

    def note(self, text: str) -> None:
        """Add a line to the log of faults."""
        self.lines.append(f"{current_time():8.3f} {text}")

    def _nursery(self) -> Nursery:
        assert self.cluster.nursery is not None
        return self.cluster.nursery

    def _pick_worker(self) -> StandinWorker | None:
        """Return a random worker that is up, None if there is no other."""
        names = [
            name for name in self.cluster.workers if name not in self._down
        ]
        if len(names) < 2:
            return None
        return self.cluster.workers[self.random.choice(names)]

    def _pick_node(self) -> str | None:
        """Return a random node without a fault, None if there is no other."""
        names = [n for n in self.cluster.nodes if n not in self._busy_nodes]
        if len(names) < 2:
            return None
        holder = self.cluster.holder()
        if holder in names and self.random.random() < 0.6:
            return holder
        return self.random.choice(names)

    # Workers.

    async def restart_worker(self) -> None:
        """Crash a worker; start it again under the same name."""
        worker = self._pick_worker()
        if worker is not None:
            await self._restart(worker)

    async def _restart(self, worker: StandinWorker) -> None:
        random = self.random
        self._down.add(worker.name)
        self.note(f"{worker.name} crashes")
        worker.crash()
        if random.random() < 0.3:
            self.cluster.store.remove("servers", worker.name)
        await sleep(random.uniform(RESTART_MIN_S, RESTART_MAX_S))
        address = worker.address
        if random.random() < 0.3:
            self._addresses += 1
            address = Address(f"10.9.0.{self._addresses}", PORT)
        await worker.restart(
            self._nursery(), address, random.choice(CLOCK_BASES_S)
        )
        self._down.discard(worker.name)
        self.note(f"{worker.name} starts again as {worker.born} at {address}")
        await sleep(random.uniform(0.0, LIST_DELAY_MAX_S))
        if worker.up:
            self.cluster.register_worker(worker)

    async def restart_behind_cut(self) -> None:
        """Restart a worker that the holder, or no node, reaches."""
        worker = self._pick_worker()
        if worker is None:
            return
        pairs = self._links(worker.name, both_ways=True)
        self._cut(pairs)
        await sleep(self.random.uniform(0.0, 1.0))
        if worker.name not in self._down:
            await self._restart(worker)
        await sleep(self.random.uniform(0.0, 2.0))
        self._heal(pairs)

    async def delay_calls(self) -> None:
        """Let a worker carry out some of its next calls late."""
        worker = self._pick_worker()
        if worker is None:
            return
        kind = self.random.choice(("orders", "renewals", "both"))
        delays_s = [
            self.random.uniform(0.3, CALL_DELAY_MAX_S)
            for _ in range(self.random.randint(1, 6))
        ]
        self.note(f"{worker.name} carries out {kind} late: {delays_s}")
        if kind != "renewals":
            worker.order_delays_s += delays_s
        if kind != "orders":
            worker.renewal_delays_s += delays_s[:2]

    def _links(self, name: str, both_ways: bool) -> list[tuple[str, str]]:
        """Return the links between a worker and the holder or all nodes."""
        holder = self.cluster.holder()
        nodes = [f"n{number}" for number in range(3)]
        if holder is not None and self.random.random() < 0.5:
            nodes = [holder]
        there = [(node, name) for node in nodes]
        back = [(name, node) for node in nodes]
        if both_ways:
            return there + back
        return self.random.choice((there, back))

    def _cut(self, pairs: list[tuple[str, str]]) -> None:
        self.note(f"cut {pairs}")
        for pair in pairs:
            self.cluster.network.cut(*pair)

    def _heal(self, pairs: list[tuple[str, str]]) -> None:
        self.note(f"heal {pairs}")
        for pair in pairs:
            self.cluster.network.heal(*pair)

    async def _cut_for(
        self, pairs: list[tuple[str, str]], limit_s: float
    ) -> None:
        self._cut(pairs)
        await sleep(self.random.uniform(0.2, limit_s))
        self._heal(pairs)

    async def cut_worker(self) -> None:
        """Cut a worker from the holder or from all nodes."""
        worker = self._pick_worker()
        if worker is not None:
            await self._cut_for(self._links(worker.name, True), CUT_MAX_S)

    async def cut_worker_one_way(self) -> None:
        """Lose what a worker sends, or what is sent to it."""
        worker = self._pick_worker()
        if worker is not None:
            await self._cut_for(self._links(worker.name, False), CUT_MAX_S)

    async def unlist_worker(self) -> None:
        """Remove a worker's entry from the store for a while."""
        worker = self._pick_worker()
        if worker is None:
            return
        self.note(f"{worker.name} has no entry")
        self.cluster.store.remove("servers", worker.name)
        await sleep(self.random.uniform(0.2, LIST_DELAY_MAX_S))
        if worker.up:
            self.note(f"{worker.name} has an entry again")
            self.cluster.register_worker(worker)

    async def drain_worker(self) -> None:
        """List a worker as draining; let it leave and start again."""
        worker = self._pick_worker()
        if worker is None:
            return
        leaves_in_s = self.random.uniform(DRAIN_MIN_S, DRAIN_MAX_S)
        born = worker.born
        self.note(f"{worker.name} drains and leaves in {leaves_in_s:.1f} s")
        self.cluster.register_worker(
            worker, "draining", round(leaves_in_s * 1000)
        )
        await sleep(leaves_in_s)
        if worker.up and worker.born == born:
            await self._restart(worker)

    async def disturb_machine_list(self) -> None:
        """Let the machine list fail, lag, or miss entries."""
        machines = self.cluster.machines
        kind = self.random.choice(("moving", "hidden", "lag", "status"))
        names = self.random.sample(list(self.cluster.workers), 2)
        self.note(f"machine list: {kind} {names}")
        if kind == "moving":
            machines.moving |= set(names)
        elif kind == "hidden":
            machines.hidden |= set(names)
        elif kind == "lag":
            machines.lag()
        else:
            machines.status = 503
        await sleep(self.random.uniform(0.2, MACHINE_LIST_FAULT_MAX_S))
        if kind == "moving":
            machines.moving -= set(names)
        elif kind == "hidden":
            machines.hidden -= set(names)
        elif kind == "lag":
            machines.catch_up()
        else:
            machines.status = 200

    # Nodes.

    async def kill_node(self) -> None:
        """Kill a node and start it again."""
        await self._end_node("killed")

    async def stop_node(self) -> None:
        """Stop a node as planned and start it again."""
        await self._end_node("stopped")

    async def _end_node(self, how: str) -> None:
        name = self._pick_node()
        if name is None:
            return
        self._busy_nodes.add(name)
        self.note(f"{name} is {how}, holder {self.cluster.holder()}")
        if how == "killed":
            self.cluster.kill_node(name)
        else:
            await self.cluster.stop_node(name)
            self.cluster.network.kill(name)
        await sleep(self.random.uniform(0.2, 3.0))
        await self.cluster.start_node(name)
        self.note(f"{name} starts again")
        self._busy_nodes.discard(name)

    async def freeze_node(self) -> None:
        """Stop a node's traffic for a while."""
        name = self._pick_node()
        if name is None:
            return
        self._busy_nodes.add(name)
        self.note(f"{name} freezes, holder {self.cluster.holder()}")
        self.cluster.network.freeze(name)
        await sleep(self.random.uniform(0.2, NODE_FAULT_MAX_S))
        self.cluster.network.thaw(name)
        self.note(f"{name} thaws")
        self._busy_nodes.discard(name)

    async def isolate_node(self) -> None:
        """Cut a node from the store and the other nodes."""
        name = self._pick_node()
        if name is None:
            return
        others = ["store", *(n for n in self.cluster.nodes if n != name)]
        there = [(name, other) for other in others]
        back = [(other, name) for other in others]
        pairs = self.random.choice((there, back, there + back))
        await self._cut_for(pairs, NODE_FAULT_MAX_S)

    # The store.

    async def slow_store(self) -> None:
        """Slow the store down for a while."""
        store = self.cluster.store
        store.slow_factor = self.random.uniform(5.0, 60.0)
        self.note(f"the store is slow: {store.slow_factor:.0f}")
        await sleep(self.random.uniform(0.2, STORE_FAULT_MAX_S))
        store.slow_factor = 1.0

    async def fail_store(self) -> None:
        """Let the store fail for one node or for all."""
        caller = self.random.choice((ALL_CALLERS, self.cluster.holder()))
        fault = self.random.choice((BUSY, RESET, SILENT))
        if caller is None:
            return
        self.note(f"the store is {fault} for {caller}")
        self.cluster.store.faults[caller] = fault
        await sleep(self.random.uniform(0.2, STORE_FAULT_MAX_S))
        self.cluster.store.faults.pop(caller, None)
        self.cluster.network.wake()

    async def lose_answers(self) -> None:
        """Lose the answers to the store's next writes."""
        self.note("the store loses answers")
        self.cluster.store.answers_to_lose += self.random.randint(1, 3)

    async def delay_writes(self) -> None:
        """Carry out the store's next writes late."""
        self.note("the store writes late")
        self.cluster.store.write_delays_s += [
            self.random.uniform(0.3, WRITE_DELAY_MAX_S)
            for _ in range(self.random.randint(1, 2))
        ]

    async def drop_history(self) -> None:
        """Withhold changes for a while, then drop the history."""
        self.note("the store drops its history")
        self.cluster.store.withhold_changes = True
        await sleep(self.random.uniform(0.0, 0.5))
        self.cluster.store.drop_history()

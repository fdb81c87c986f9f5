"""Trouble the few workers that a job may run on, repeatably by seed."""

from collections.abc import Awaitable, Callable
from random import Random

from trio import current_time, open_nursery, sleep

from standins.operators.run_history import Run
from standins.operators.worker import StandinWorker
from tests.tasks.cluster import CAPACITY, Cluster
from tests.tasks.room_watch import RoomWatch

LEAVES_IN_MS = 60_000
GREY_MAX_S = 15.0
REFUSAL_MAX_S = 6.0
STALL_MAX_S = 6.0
SHRINK_MAX_S = 10.0
DRAIN_MAX_S = 8.0
DOWN_MAX_S = 2.0
# The share of the troubles that meet the workers of the first rack.
LABELLED_SHARE = 0.7


Trouble = Callable[[StandinWorker], Awaitable[None]]


class WorkerTroubles:
    """The source of the troubles; any number of them may overlap."""

    def __init__(
        self, cluster: Cluster, watch: RoomWatch, random: Random
    ) -> None:
        """Let runs on grey workers fail from now on."""
        self.cluster = cluster
        self.watch = watch
        self.random = random
        self.grey: set[str] = set()
        self._crashed: set[str] = set()
        self._busy: set[tuple[str, str]] = set()
        cluster.history.choose_outcome = self._outcome
        self.kinds: tuple[Trouble, ...] = (
            self.fail_runs,
            self.fail_runs,
            self.refuse,
            self.stall,
            self.shrink,
            self.shrink,
            self.drain,
            self.restart,
        )

    def _outcome(self, run: Run) -> str:
        return "failed" if run.worker in self.grey else "done"

    async def run(self, until_s: float, pause_max_s: float) -> None:
        """Start troubles until a time; return once all have ended."""
        async with open_nursery() as nursery:
            while current_time() < until_s:
                kind = self.random.choice(self.kinds)
                worker = self._pick_worker()
                key = kind.__name__, worker.name
                if key not in self._busy and worker.up:
                    nursery.start_soon(self._trouble, key, kind, worker)
                await sleep(self.random.uniform(0.0, pause_max_s))

    def _pick_worker(self) -> StandinWorker:
        labelled = self.random.random() < LABELLED_SHARE
        names = [
            name
            for name in self.cluster.workers
            if name.startswith("w0") == labelled
        ]
        return self.cluster.workers[self.random.choice(names)]

    async def _trouble(
        self, key: tuple[str, str], kind: Trouble, worker: StandinWorker
    ) -> None:
        self._busy.add(key)
        await kind(worker)
        self._busy.discard(key)

    async def _pause(self, limit_s: float) -> None:
        await sleep(self.random.uniform(0.1 * limit_s, limit_s))

    def _list(self, worker: StandinWorker) -> None:
        """Write a worker's entry as it is now."""
        if not worker.up:
            return
        if worker.name in self.watch.draining:
            self.cluster.register_worker(worker, "draining", LEAVES_IN_MS)
        else:
            self.cluster.register_worker(worker)

    async def fail_runs(self, worker: StandinWorker) -> None:
        """Let all runs that end on a worker fail."""
        self.grey.add(worker.name)
        await self._pause(GREY_MAX_S)
        self.grey.discard(worker.name)

    async def refuse(self, worker: StandinWorker) -> None:
        """Let a worker refuse all starts."""
        worker.refuse_starts = True
        await self._pause(REFUSAL_MAX_S)
        worker.refuse_starts = False

    async def stall(self, worker: StandinWorker) -> None:
        """Let all runs that start on a worker make no progress."""
        worker.stall_starts = True
        await self._pause(STALL_MAX_S)
        worker.stall_starts = False

    async def shrink(self, worker: StandinWorker) -> None:
        """Take away some of a worker's capacity."""
        share = self.random.choice((0.25, 0.5, 0.75))
        worker.resize(**{k: int(share * v) for k, v in CAPACITY.items()})
        self._list(worker)
        await self._pause(SHRINK_MAX_S)
        worker.resize(**CAPACITY)
        self._list(worker)

    async def drain(self, worker: StandinWorker) -> None:
        """List a worker as draining, and then as ready again."""
        self.watch.draining.add(worker.name)
        self._list(worker)
        await self._pause(DRAIN_MAX_S)
        self.watch.draining.discard(worker.name)
        self._list(worker)

    async def restart(self, worker: StandinWorker) -> None:
        """Crash a worker once; start it again under the same name.

        A job is given up after more crashes than the labelled workers have.
        """
        if worker.name in self._crashed:
            return
        self._crashed.add(worker.name)
        worker.crash()
        await self._pause(DOWN_MAX_S)
        assert self.cluster.nursery is not None
        await worker.restart(self.cluster.nursery)
        self._list(worker)

"""Read the platform's list of machines, above all while workers are silent.

When a worker crashes or is removed, its runs would occupy capacity until
their leases have certainly expired, 6 to 10 s later. A silent worker may also
be partitioned and keep running. The platform, which operates the machines,
can distinguish the two: nothing runs on a machine that is down or removed. A
single reading of the list may lack a worker that runs. So the list is also
read when a worker answers whose machine is unknown: a later entry of that
machine then shows at once that the worker has ended.
"""

from trio import sleep

from damaskstall.errors import MachineListUnavailableError
from damaskstall.events import log
from damaskstall.tasks.events import MACHINE_LIST_LOST, MACHINE_LIST_REGAINED
from damaskstall.tasks.machine_evidence import MachineEvidence
from damaskstall.tasks.ports import Platform
from damaskstall.tasks.worker_pool import WorkerPool

# A reading takes one call per page; the platform allows 60 calls a second from
# all instances together.
POLL_INTERVAL_S = 0.3
# A worker may be missing from the list, which then cannot show its machine.
UNKNOWN_MACHINE_INTERVAL_S = 5.0


class MachineListPoller:
    """Reads the list of machines for the workers of a pool."""

    def __init__(self, platform: Platform, pool: WorkerPool) -> None:
        """Poll for the workers of one pool."""
        self.platform = platform
        self.pool = pool
        self.evidence = MachineEvidence()
        self.failing = False
        self._read_s = float("-inf")

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await sleep(POLL_INTERVAL_S)
            now_s = self.pool.context.clock()
            silent_since = self.pool.silent_workers()
            if silent_since or self._should_look_up_machines(now_s):
                self._read_s = now_s
                await self._poll(silent_since)

    def _should_look_up_machines(self, now_s: float) -> bool:
        """Return whether to read the list for workers that answer."""
        if now_s - self._read_s < UNKNOWN_MACHINE_INTERVAL_S:
            return False
        return not self.evidence.knows(self.pool.answering_workers())

    async def _poll(self, silent_since: dict[str, float]) -> None:
        """End the runs of silent workers that have certainly ended."""
        try:
            late_s = self.pool.late_reading_s()
            entries = await self.platform.machines(late_s)
        except MachineListUnavailableError as error:
            if not self.failing:
                log(
                    MACHINE_LIST_LOST,
                    silent=len(silent_since),
                    error=str(error),
                )
            self.failing = True
            return
        if self.failing:
            log(MACHINE_LIST_REGAINED, silent=len(silent_since))
        self.failing = False
        ended = self.evidence.ended_workers(
            silent_since,
            self.pool.answering_workers(),
            entries,
            self.pool.context.clock(),
            self.pool.places(),
        )
        for name, found in sorted(ended.items()):
            self.pool.record_machine_stopped(name, silent_since[name], found)

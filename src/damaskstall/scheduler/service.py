"""Join the parts of a scheduler process."""

from collections.abc import Callable
from random import Random
from time import time
from typing import Any

from trio import open_nursery

from damaskstall.generated.settings import SchedulerSettings
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import ObjectStore, TableService
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.jobs import JobBook
from damaskstall.scheduler.keeper import LeaseKeeper
from damaskstall.scheduler.planner import Planner
from damaskstall.scheduler.transitions import JobTransitions
from damaskstall.scheduler.writer import JobWriter


class SchedulerService:
    """Hold cells of one failure domain and run their jobs."""

    def __init__(
        self,
        network: Network,
        table: TableService,
        objects: ObjectStore,
        config: ConfigStore,
        settings: SchedulerSettings,
        planner: Planner,
        unix_s: Callable[[], float] = time,
    ) -> None:
        """Prepare a process; the configuration is followed by others."""
        random = Random(settings.instance)
        self.config = config
        self.book = JobBook(table, settings.failure_domain, random)
        self.writer = JobWriter(table)
        context = SchedulerContext(
            network,
            table,
            objects,
            config,
            settings,
            planner,
            self.book,
            JobTransitions(self.book, self.writer, random),
            random,
            unix_s,
        )
        self.keeper = LeaseKeeper(context)

    async def run(self) -> None:
        """Work until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self.book.run)
            nursery.start_soon(self.writer.run)
            nursery.start_soon(self.keeper.run)

    async def drain(self) -> None:
        """Finish started steps and release all leases."""
        await self.keeper.drain()

    def is_ready(self) -> bool:
        """Return whether the process follows the jobs and may hold cells."""
        return self.book.loaded and not self.keeper.draining

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "config_revision": self.config.revision,
            "jobs_followed": len(self.book.entries),
            "jobs_queued": self.book.queued(),
            "jobs_revision": self.book.revision,
            **self.keeper.dump(),
        }

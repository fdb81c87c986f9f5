"""Assemble and run the scheduling services of a process."""

from collections.abc import Callable
from random import Random
from time import time
from typing import Any

from trio import open_nursery

from damaskstall.contact_slots import ContactSlots
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import ObjectStore, TableService
from damaskstall.scheduler.context import SchedulerContext
from damaskstall.scheduler.job_cache import JobCache
from damaskstall.scheduler.job_transitions import JobTransitions
from damaskstall.scheduler.job_writer import JobWriter
from damaskstall.scheduler.lease_manager import LeaseManager
from damaskstall.scheduler.planner import Planner
from damaskstall.scheduler.worker_session import SILENT_WORKER_LIMIT


class SchedulerService:
    """The service that holds a failure domain's cells and runs their jobs."""

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
        """Create the parts; the caller keeps ``config`` up to date."""
        random = Random(settings.instance)
        self.config = config
        self.job_cache = JobCache(table, settings.failure_domain, random)
        self.writer = JobWriter(table)
        context = SchedulerContext(
            network,
            table,
            objects,
            config,
            settings,
            planner,
            self.job_cache,
            JobTransitions(self.job_cache, self.writer, random),
            random,
            unix_s,
            ContactSlots(SILENT_WORKER_LIMIT, SILENT_WORKER_LIMIT),
        )
        self.lease_manager = LeaseManager(context)

    async def run(self) -> None:
        """Run all parts until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self.job_cache.run)
            nursery.start_soon(self.writer.run)
            nursery.start_soon(self.lease_manager.run)

    async def drain(self) -> None:
        """Let attempts finish their current step and release all leases."""
        await self.lease_manager.drain()

    def is_ready(self) -> bool:
        """Return whether the job rows are loaded and cells may be held."""
        return self.job_cache.loaded and not self.lease_manager.draining

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "config_revision": self.config.revision,
            "jobs_followed": len(self.job_cache.entries),
            "jobs_queued": self.job_cache.queued(),
            "jobs_revision": self.job_cache.revision,
            **self.lease_manager.dump(),
        }

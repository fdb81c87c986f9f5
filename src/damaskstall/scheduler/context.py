"""Share what all cells of one process use."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from damaskstall.generated.settings import SchedulerSettings
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import ObjectStore, TableService
from damaskstall.scheduler.jobs import JobBook
from damaskstall.scheduler.planner import Planner
from damaskstall.scheduler.transitions import JobTransitions


class SchedulerContext(NamedTuple):
    """Hold the services, the settings and the followed jobs."""

    network: Network
    table: TableService
    objects: ObjectStore
    config: ConfigStore
    settings: SchedulerSettings
    planner: Planner
    book: JobBook
    transitions: JobTransitions
    random: Random
    unix_s: Callable[[], float]

"""Define the objects that all cells of one process share."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from damaskstall.contact_slots import ContactSlots
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.platform.types import ObjectStore, TableService
from damaskstall.scheduler.job_cache import JobCache
from damaskstall.scheduler.job_transitions import JobTransitions
from damaskstall.scheduler.planner import Planner


class SchedulerContext(NamedTuple):
    """The services, settings and cached jobs that all cells share.

    ``contact_slots`` limits the calls to silent workers that the sessions of
    all cells make at once.
    """

    network: Network
    table: TableService
    objects: ObjectStore
    config: ConfigStore
    settings: SchedulerSettings
    planner: Planner
    job_cache: JobCache
    transitions: JobTransitions
    random: Random
    unix_s: Callable[[], float]
    contact_slots: ContactSlots

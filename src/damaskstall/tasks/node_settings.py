"""Define the settings of a node: its addresses and the platform's bounds."""

from typing import NamedTuple

from damaskstall.addresses import Address

# The shortest bounds of the present deployments.
DEFAULT_CONFIGURATION_S = 2.0
DEFAULT_EVACUATION_S = 5.0
DEFAULT_WORKER_DRAIN_S = 2.0


class NodeSettings(NamedTuple):
    """Settings of one process.

    ``stop_grace_s`` is the time from the request to stop until the process
    is killed. ``configuration_s`` bounds for how long an earlier configuration
    may still be in force, and ``key_removal_s`` for how long a removed key may
    still be accepted, if ``bounds_key_removal`` is set. ``evacuation_s`` and
    ``worker_drain_s`` bound for how long tasks may still start in a failure
    domain that is evacuated, and on a worker that leaves. ``worker_lease_s``
    is the longest lease that a worker grants. ``machines`` is the address of
    the platform's list of machines, or None. ``state_kept_s`` is for how long
    the state of a finished job is kept. ``processor_cores`` is how many cores
    the process may use.
    """

    instance: str
    failure_domain: str
    ip_address: str
    listen: Address
    readiness_listen: Address
    peer_port: int
    metrics_port: int
    store: Address
    stop_grace_s: float
    key_removal_s: float
    worker_lease_s: float
    machines: Address | None = None
    processor_cores: float = 1.0
    state_kept_s: float = 120.0
    configuration_s: float = DEFAULT_CONFIGURATION_S
    bounds_key_removal: bool = True
    evacuation_s: float = DEFAULT_EVACUATION_S
    worker_drain_s: float = DEFAULT_WORKER_DRAIN_S

    @property
    def configuration_age_limit_s(self) -> float:
        """Return how old a configuration may be to decide a request by it.

        A request may then be decided by no version that was replaced for
        longer than the bounds before the request was sent.
        """
        if not self.bounds_key_removal:
            return self.configuration_s
        return min(self.configuration_s, self.key_removal_s)

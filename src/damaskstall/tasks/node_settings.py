"""Hold what a node is told about its place and the platform's bounds."""

from typing import NamedTuple

from damaskstall.addresses import Address


class NodeSettings(NamedTuple):
    """Hold the settings of one process.

    ``stop_grace_s`` is the time from the request to stop until the process
    is killed. ``key_removal_s`` bounds how long a removed key may still be
    accepted. ``worker_lease_s`` is the longest lease a worker grants.
    ``machines`` is where the platform lists its machines, if it does.
    ``state_kept_s`` is how long the state of a job that is over is shown.
    ``processor_cores`` is what the process may use of a processor.
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

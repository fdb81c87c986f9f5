"""Start the cluster of the demonstration and declare its resources."""

from typing import Any, NamedTuple

from trio import open_nursery

from damaskstall.addresses import Address, parse_address
from demo.processes import HOST, Processes, free_ports

ACCELERATORS = 8
SLOTS = 8
PLATFORM_OPERATIONS_PER_S = 3000

ENTRY_MODULE = "damaskstall.entry.main"
SCHEDULER_MODULE = "damaskstall.scheduler.main"
SERVICES = {"fit-check": True, "publish-minutes": False}


class ClusterSize(NamedTuple):
    """Numbers of processes in a cluster, and settings for its programs.

    ``workers``, ``schedulers`` and ``backends`` are numbers for each failure
    domain. The settings go to every scheduler or every entry.
    """

    failure_domains: tuple[str, ...] = ("a", "b", "c")
    workers: int = 8
    schedulers: int = 2
    backends: int = 2
    scheduler_settings: dict[str, object] = {}
    entry_settings: dict[str, object] = {}


class Cluster(NamedTuple):
    """Addresses of a cluster's processes.

    Workers, entries and operator ports are listed by failure domain, backend
    servers by name.
    """

    platform: Address
    workers: dict[str, list[Address]]
    backends: dict[str, Address]
    entries: dict[str, Address]
    operators: dict[str, Address]


async def start_cluster(processes: Processes, size: ClusterSize) -> Cluster:
    """Start every process; return once all have announced their addresses."""
    started = await processes.start(
        "platform",
        "standins.platform",
        {
            "operations_per_s": PLATFORM_OPERATIONS_PER_S,
            "list_lag_s": 2,
        },
    )
    platform = parse_address(started.addresses["listen"])
    await start_external_systems(processes, platform, size)
    await start_product(processes, platform, size)
    return cluster_addresses(processes, platform, size)


async def start_external_systems(
    processes: Processes, platform: Address, size: ClusterSize
) -> None:
    """Start the workers and the backend servers."""
    async with open_nursery() as nursery:
        for domain in size.failure_domains:
            processes.start_in(
                nursery,
                f"workers-{domain}",
                "standins.worker",
                {
                    "name": f"{domain}-worker",
                    "workers": size.workers,
                    "accelerators": ACCELERATORS,
                    "platform": platform,
                },
            )
            for number in range(1, size.backends + 1):
                name = f"backend-{domain}-{number}"
                processes.start_in(
                    nursery,
                    name,
                    "standins.backend",
                    {
                        "name": name,
                        "slots": SLOTS,
                        "platform": platform,
                    },
                )


async def start_product(
    processes: Processes, platform: Address, size: ClusterSize
) -> None:
    """Start the entries and the schedulers as peers of each other."""
    names = [f"entry-{domain}" for domain in size.failure_domains]
    for domain in size.failure_domains:
        for number in range(1, size.schedulers + 1):
            names.append(f"scheduler-{domain}-{number}")
    ports = dict(zip(names, free_ports(len(names)), strict=True))
    async with open_nursery() as nursery:
        for name in names:
            settings = product_settings(name, ports, platform)
            module = ENTRY_MODULE
            overrides = size.entry_settings
            if name.startswith("scheduler"):
                module = SCHEDULER_MODULE
                overrides = size.scheduler_settings
            processes.start_in(nursery, name, module, settings | overrides)


def product_settings(
    name: str, ports: dict[str, int], platform: Address
) -> dict[str, object]:
    """Return the settings of one process; all others are its peers.

    ``ports`` has the peer port of every process by its name.
    """
    peers = [f"{HOST}:{port}" for n, port in ports.items() if n != name]
    return {
        "instance": name,
        "failure_domain": name.split("-")[1],
        "platform": platform,
        "peer_listen": f"{HOST}:{ports[name]}",
        "peers": ",".join(peers),
    }


def cluster_addresses(
    processes: Processes, platform: Address, size: ClusterSize
) -> Cluster:
    """Return the addresses that the running processes announced."""

    def address(name: str, listener: str) -> Address:
        text = processes.running[name].addresses[listener]
        return parse_address(text)

    entries = {
        d: address(f"entry-{d}", "listen") for d in size.failure_domains
    }
    operators = {
        d: address(f"entry-{d}", "operator_listen")
        for d in size.failure_domains
    }
    backends = {
        name: address(name, "listen")
        for name in processes.running
        if name.startswith("backend-")
    }
    workers = {
        domain: worker_addresses(processes, domain)
        for domain in size.failure_domains
    }
    return Cluster(platform, workers, backends, entries, operators)


def worker_addresses(processes: Processes, domain: str) -> list[Address]:
    """Return the addresses of a failure domain's workers in order."""
    announced = processes.running[f"workers-{domain}"].addresses["workers"]
    return [parse_address(text) for text in announced.split(",")]


def domain_declarations(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the failure domains as resources to declare."""
    return [
        {
            "kind": "failure_domain",
            "name": domain,
            "spec": {
                "state": "in",
                "racks": [
                    {
                        "name": f"{domain}-rack",
                        "workers": [
                            {
                                "name": f"{domain}-worker-{number}",
                                "address": str(address),
                                "accelerators": ACCELERATORS,
                            }
                            for number, address in enumerate(addresses)
                        ],
                    }
                ],
            },
        }
        for domain, addresses in cluster.workers.items()
    ]


def service_declarations(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the backend services as resources to declare."""
    servers = [
        {
            "name": name,
            "address": str(address),
            "failure_domain": name.split("-")[1],
            "slots": SLOTS,
        }
        for name, address in cluster.backends.items()
    ]
    return [
        {
            "kind": "backend_service",
            "name": name,
            "spec": {"idempotent": idempotent, "servers": servers},
        }
        for name, idempotent in SERVICES.items()
    ]

"""Split a failure domain into cells of whole adjacent racks."""

from damaskstall.placement.model import Cell, Rack, Worker
from damaskstall.resources.records import FailureDomainSpec, RackSpec


def cells_of(
    failure_domain: str, spec: FailureDomainSpec, worker_limit: int
) -> tuple[Cell, ...]:
    """Return the cells of a failure domain, named ``<name>/<number>``.

    A cell has as many adjacent racks as fit within ``worker_limit`` workers,
    and at least one rack.
    """
    groups: list[list[Rack]] = []
    workers = 0
    for rack in map(read_rack, spec["racks"]):
        workers += len(rack.workers)
        if not groups or workers > worker_limit:
            groups.append([])
            workers = len(rack.workers)
        groups[-1].append(rack)
    return tuple(
        Cell(f"{failure_domain}/{number}", failure_domain, tuple(racks))
        for number, racks in enumerate(groups)
    )


def read_rack(spec: RackSpec) -> Rack:
    """Return the rack that a failure domain's specification declares."""
    workers = tuple(
        Worker(worker["name"], worker["address"], worker["accelerators"])
        for worker in spec["workers"]
    )
    return Rack(spec["name"], workers)

"""Select a bounded number of peers for a process to connect to.

The processes of a failure domain form a ring ordered by address. Each
connects to those 1, 2, 4 and 8 places ahead, so an update crosses the ring in
a few exchanges and the failure of single processes disconnects no other
process. Each also connects to one process in each of the next two failure
domains.
"""

from typing import NamedTuple

from damaskstall.addresses import Address

RING_STEPS = (1, 2, 4, 8)
REMOTE_DOMAIN_STEPS = (1, 2)
DIRECT_PEER_LIMIT = 8
UNKNOWN_FAILURE_DOMAIN = ""


class Candidate(NamedTuple):
    """A process that could be selected as a peer.

    A process of an unknown failure domain counts as local.
    """

    address: Address
    failure_domain: str


def choose_peers(
    candidates: frozenset[Candidate], own: Candidate
) -> frozenset[Address]:
    """Return the peers of a process, deterministically."""
    others = {c for c in candidates if c.address != own.address}
    if len(others) <= DIRECT_PEER_LIMIT:
        return frozenset(c.address for c in others)
    local_domains = (own.failure_domain, UNKNOWN_FAILURE_DOMAIN)
    local = [c for c in others if c.failure_domain in local_domains]
    ring = sorted([own, *local])
    position = ring.index(own)
    chosen = {ring[(position + step) % len(ring)] for step in RING_STEPS}
    chosen |= choose_remote(others, own, position)
    chosen.discard(own)
    return frozenset(c.address for c in chosen)


def choose_remote(
    others: set[Candidate], own: Candidate, position: int
) -> set[Candidate]:
    """Return one peer in each of the next failure domains."""
    names = sorted({c.failure_domain for c in others} | {own.failure_domain})
    names = [name for name in names if name != UNKNOWN_FAILURE_DOMAIN]
    start = names.index(own.failure_domain)
    chosen = set()
    for step in REMOTE_DOMAIN_STEPS:
        name = names[(start + step) % len(names)]
        if name == own.failure_domain:
            continue
        members = sorted(c for c in others if c.failure_domain == name)
        chosen.add(members[position % len(members)])
    return chosen

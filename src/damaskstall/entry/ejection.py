"""Eject slow and failing servers, up to a bounded share of each service."""

from damaskstall.entry.events import SERVER_EJECTED
from damaskstall.entry.metrics import EJECTIONS
from damaskstall.entry.server_state import ServerState
from damaskstall.events import log

EJECTED_SHARE = 0.3
SLOW_RATIO = 3.0
SLOW_LATENCY_S = 0.01
SERVERS_TO_COMPARE = 3


def update_ejections(
    service: str, servers: list[ServerState], now_s: float
) -> None:
    """Eject servers that fail or are slow, up to EJECTED_SHARE of them."""
    ejected = sum(server.is_ejected(now_s) for server in servers)
    allowed = int(len(servers) * EJECTED_SHARE)
    threshold_s = slow_threshold_s(servers, now_s)
    for server in servers:
        reason = ejection_reason(server, threshold_s, now_s)
        if not reason:
            continue
        if ejected >= allowed:
            # Too many are ejected already, so a server in its probing phase
            # gets its full load back.
            server.end_probing()
            continue
        server.eject(now_s)
        ejected += 1
        labels = {"service": service, "server": server.name}
        EJECTIONS.inc({**labels, "reason": reason})
        log(SERVER_EJECTED, service=service, server=server.name, reason=reason)


def ejection_reason(
    server: ServerState, threshold_s: float, now_s: float
) -> str:
    """Return why a server should be ejected, or an empty string.

    Ends the probing phase of a server that has proved to be healthy.
    """
    if server.is_ejected(now_s):
        return ""
    if server.should_be_ejected():
        return "failing"
    if not server.has_enough_successes():
        return ""
    latency_s = server.limit.latency_s
    if latency_s is not None and latency_s > threshold_s:
        return "slow"
    if server.probing:
        server.end_probing()
    return ""


def slow_threshold_s(servers: list[ServerState], now_s: float) -> float:
    """Return the latency above which a server counts as slow.

    It is a multiple of the servers' median latency, and infinite when too
    few servers have a latency to compare.
    """
    sorted_s = sorted(
        server.limit.latency_s
        for server in servers
        if server.limit.latency_s is not None and not server.is_ejected(now_s)
    )
    if len(sorted_s) < SERVERS_TO_COMPARE:
        return float("inf")
    return max(SLOW_LATENCY_S, SLOW_RATIO * sorted_s[(len(sorted_s) - 1) // 2])

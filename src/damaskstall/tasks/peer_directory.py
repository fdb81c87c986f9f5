"""Register this instance in the table, and list its peers from there.

Each instance renews one row with its address. A peer is skipped for a short
time after a call to it has failed.
"""

from random import Random
from uuid import uuid4

from trio import sleep

from damaskstall.addresses import Address
from damaskstall.containment import contained
from damaskstall.errors import (
    DECODE_ERRORS,
    PlatformError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.network import Network
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.tasks.clock import Clock
from damaskstall.tasks.events import PEER_IGNORED
from damaskstall.tasks.node_settings import NodeSettings
from damaskstall.tasks.peer_table import PeerTable
from damaskstall.tasks.ports import WatchedTable
from damaskstall.tasks.scans import scan_rows

NODE_TABLE = "node"
NODE_PREFIX = f"{NODE_TABLE}/"
# New instances are rare, and a peer that has stopped is skipped as soon as a
# call to it fails.
REFRESH_S = 4.0
RETRY_S = 0.3
# An instance renews its row this often, and its row is removed after several
# missed renewals. At this interval 100 instances write 5 rows a second.
RENEW_S = 20.0
INSTANCE_TIMEOUT_S = 90.0
# Time for which a peer is skipped after a failed call: an outage that has just
# been observed is likely to continue for about as long.
FAILED_PEER_BACKOFF_S = 1.0


class PeerDirectory:
    """The other instances by name, with their addresses and failures."""

    def __init__(
        self, network: Network, settings: NodeSettings, clock: Clock
    ) -> None:
        """Use the instance name and the peer address in the settings."""
        self.network = network
        self.instance = settings.instance
        self.own_address = Address(settings.ip_address, settings.peer_port)
        self.own_cores = settings.processor_cores
        self.clock = clock
        self.peers: dict[str, PeerTable] = {}
        # Whether the peers have been read since this process started.
        self.known = False
        self._peer_cores: dict[str, float] = {}
        self._failure_times_s: dict[str, float] = {}
        self._last_success = ""
        self._random = Random(settings.instance)

    def names(self) -> list[str]:
        """Return the names of the peers that have not failed recently."""
        now_s = self.clock()
        return [
            name
            for name in self.peers
            if now_s - self._failure_times_s.get(name, -FAILED_PEER_BACKOFF_S)
            >= FAILED_PEER_BACKOFF_S
        ]

    def cores_by_name(self) -> dict[str, float]:
        """Return the processor cores of this instance and its live peers."""
        cores = {name: self._peer_cores[name] for name in self.names()}
        cores[self.instance] = self.own_cores
        return cores

    async def can_hold_lease(self, name: str) -> bool:
        """Return whether a peer is alive and competes for the lease."""
        peer = self.peers.get(name)
        if peer is None:
            return False
        try:
            return await peer.can_hold_lease()
        except TableUnavailableError:
            self.record_failure(name)
            return False

    def candidates(self, limit: int) -> list[tuple[str, PeerTable]]:
        """Return up to ``limit`` peers, the last successful one first."""
        names = self.names()
        self._random.shuffle(names)
        names.sort(key=lambda name: name != self._last_success)
        return [(name, self.peers[name]) for name in names[:limit]]

    def any_peers(self, limit: int) -> list[PeerTable]:
        """Return up to ``limit`` peers, whether or not calls have failed.

        One that cannot reach the store may still know what it has read.
        """
        peers = list(self.peers.values())
        return self._random.sample(peers, min(limit, len(peers)))

    def record_failure(self, name: str) -> None:
        """Record that a call to a peer failed, so that it is skipped."""
        self._failure_times_s[name] = self.clock()

    def record_success(self, name: str) -> None:
        """Record that a call through a peer reached the store."""
        self._last_success = name

    async def run(self, table: WatchedTable) -> None:
        """Renew this instance's row and refresh the peers until cancelled."""
        renewed_s = float("-inf")
        while True:
            try:
                if not self.known:
                    await self._refresh(table)
                if self.clock() - renewed_s >= RENEW_S:
                    await self._register(table)
                    renewed_s = self.clock()
                await self._refresh(table)
            except PlatformError:
                # Outages of the table are logged by its other users.
                await sleep(RETRY_S)
                continue
            await sleep(REFRESH_S)

    async def _refresh(self, table: WatchedTable) -> None:
        found = await scan_rows(table, NODE_PREFIX)
        for row in found.rows:
            with contained("peer", row.key):
                self._update_peer(row)
        self._remove_peers(
            self.peers.keys() - {instance_of(r) for r in found.rows}
        )
        self.known = True

    async def _register(self, table: WatchedTable) -> None:
        key = f"{NODE_PREFIX}{self.instance}"
        value = {
            "host": self.own_address.host,
            "port": self.own_address.port,
            "cores": self.own_cores,
        }
        row = await table.read(key)
        revision = ABSENT if row is None else row.revision
        await table.commit((Write(key, value, revision),), uuid4().hex)

    def _update_peer(self, row: Row) -> None:
        name = instance_of(row)
        if name == self.instance or row.value is None:
            return
        try:
            address = Address(str(row.value["host"]), int(row.value["port"]))
            # Instances of an earlier version do not write their cores.
            self._peer_cores[name] = float(row.value.get("cores", 1.0))
        except DECODE_ERRORS as error:
            log(PEER_IGNORED, peer=name, error=repr(error))
            return
        known = self.peers.get(name)
        if known is None or known.address != address:
            self.peers[name] = PeerTable(self.network, address)

    def _remove_peers(self, removed: set[str]) -> None:
        """Remove peers whose rows no longer exist."""
        for name in removed:
            del self.peers[name]
            self._peer_cores.pop(name, None)


def instance_of(row: Row) -> str:
    """Return the name of the instance that a row registers."""
    return row.key.removeprefix(NODE_PREFIX)

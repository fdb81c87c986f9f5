"""Synchronize a process's configuration with the table and its peers."""

from typing import Any

from trio import (
    TASK_STATUS_IGNORED,
    CancelScope,
    Lock,
    Nursery,
    TaskStatus,
    current_time,
    open_nursery,
    sleep,
)

from damaskstall.addresses import Address, parse_address, parse_addresses
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings, SchedulerSettings
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.events import CONFIG_CHANGED, TAKE_OUT_ENDED
from damaskstall.peers.liveness import InstanceRow, PeerIdentity
from damaskstall.peers.metrics import update_metrics
from damaskstall.peers.node import PeerNode
from damaskstall.peers.peer_client import PeerClient
from damaskstall.peers.peer_selection import (
    DIRECT_PEER_LIMIT,
    UNKNOWN_FAILURE_DOMAIN,
    Candidate,
    choose_peers,
)
from damaskstall.peers.peer_server import PeerServer
from damaskstall.peers.survey import survey_processes
from damaskstall.peers.table_poller import TablePoller
from damaskstall.platform.types import InstanceRecord, TableService

__all__ = ["ConfigFollower", "PeerIdentity"]

METRICS_INTERVAL_S = 5.0
SURVEY_TTL_S = 3.0
FAILURE_LIMIT = 5

Settings = EntrySettings | SchedulerSettings


class ConfigFollower:
    """Polls the table, serves peers and connects to selected peers."""

    def __init__(
        self,
        network: Network,
        table: TableService,
        store: ConfigStore,
        identity: PeerIdentity,
        settings: Settings,
    ) -> None:
        """Keep the store of the process ``identity`` up to date."""
        self.network = network
        self.store = store
        self.settings = settings
        self.node = PeerNode(identity, store)
        self.poller = TablePoller(
            table, store, settings.config_poll_s, identity.instance
        )
        self.server = PeerServer(self.node)
        self.clients: dict[Address, PeerClient] = {}
        self._scopes: dict[Address, CancelScope] = {}
        self._pull_lock = Lock()
        self._own: Candidate | None = None
        self._listed: frozenset[Candidate] = frozenset()
        self._nursery: Nursery | None = None

    async def run(
        self, task_status: TaskStatus[Address] = TASK_STATUS_IGNORED
    ) -> None:
        """Synchronize the configuration until cancelled.

        Passes the address that serves peers to ``task_status``.
        """
        async with open_nursery() as nursery:
            self._nursery = nursery
            address: Address = await nursery.start(
                self.network.serve,
                self.server.handle,
                parse_address(self.settings.peer_listen),
            )
            domain = self.node.identity.failure_domain
            self._own = Candidate(address, domain)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self._log_changes)
            nursery.start_soon(self._update_metrics)
            self._update_connections()
            task_status.started(address)

    def leave(self) -> None:
        """Report in the next exchanges that this process is leaving."""
        self.node.leaving = True

    def update_listed(self, records: tuple[InstanceRecord, ...]) -> None:
        """Update the candidate peers from the platform's instance list."""
        listed = set()
        for record in records:
            if record.role.startswith("damaskstall-") and not record.leaving:
                address = parse_address(record.address)
                listed.add(Candidate(address, record.failure_domain))
        self._listed = frozenset(listed)
        self._update_connections()

    def instances(self) -> tuple[InstanceRow, ...]:
        """Return this process and the peers that sent it a heartbeat."""
        now_s = current_time()
        identity = self.node.identity
        confirmed = self.store.dump(now_s).confirmed_age_s
        own = InstanceRow(
            identity.instance,
            identity.program,
            identity.failure_domain,
            self.store.config_revision,
            confirmed,
            self.node.leaving,
            0.0,
        )
        peer_rows = self.node.liveness.instances(now_s)
        return (own, *(r for r in peer_rows if r.instance != own.instance))

    async def survey(self) -> tuple[InstanceRow, ...]:
        """Return all processes, after querying those that are silent.

        A process is silent if it has not answered within SURVEY_TTL_S. Takes a
        few seconds at most. A process that does not answer is listed with its
        last heartbeat, or omitted if there is none.
        """
        now_s = current_time()
        answering = self.node.liveness.answering_addresses(now_s, SURVEY_TTL_S)
        own = {self._own.address} if self._own else set()
        silent = (
            {c.address for c in self._known_candidates()} - answering - own
        )
        await survey_processes(self.network, self.node, frozenset(silent))
        return self.instances()

    def dump(self) -> dict[str, Any]:
        """Return the state of the peer exchange as JSON values."""
        traffic = self.node.traffic
        dump = self.store.dump(current_time())._asdict()
        dump["pending"] = [p._asdict() for p in dump["pending"]]
        return {
            "config": dump,
            "table_failures": self.poller.failures,
            "table_polls": self.poller.polls,
            "peers": {
                str(address): {
                    "connected": client.connected,
                    "failures": client.failures,
                    "instance": client.peer.instance if client.peer else None,
                }
                for address, client in self.clients.items()
            },
            "peer_connections": self.server.connections,
            "refused_frames": self.server.refused_frames,
            "ended_connections_sent_bytes": traffic.sent_bytes,
            "ended_connections_received_bytes": traffic.received_bytes,
            "instances": [row._asdict() for row in self.instances()],
        }

    def _update_connections(self) -> None:
        """Connect to newly selected peers and disconnect from the rest."""
        if self._nursery is None or self._own is None:
            return
        chosen = choose_peers(self._candidates(), self._own)
        for address in self.clients.keys() - chosen:
            del self.clients[address]
            self._scopes.pop(address).cancel()
        for address in sorted(chosen - self.clients.keys()):
            client = PeerClient(
                self.network,
                address,
                self.node,
                self._pull_lock,
                self.settings.peer_poll_s,
            )
            self.clients[address] = client
            self._scopes[address] = CancelScope()
            self._nursery.start_soon(
                run_in_scope, client, self._scopes[address]
            )

    def _candidates(self) -> frozenset[Candidate]:
        """Return the peers to choose from.

        Failing peers are excluded if enough others remain.
        """
        found = self._known_candidates()
        failing = {
            address
            for address, client in self.clients.items()
            if client.failures >= FAILURE_LIMIT
        }
        working = frozenset(c for c in found if c.address not in failing)
        return working if len(working) > DIRECT_PEER_LIMIT else found

    def _known_candidates(self) -> frozenset[Candidate]:
        known = {c.address for c in self._listed}
        configured = parse_addresses(self.settings.peers)
        return self._listed | {
            Candidate(address, UNKNOWN_FAILURE_DOMAIN)
            for address in configured
            if address not in known
        }

    async def _log_changes(self) -> None:
        logged = self.store.config_revision
        held: set[str] = set()
        while True:
            await self.store.wait_change()
            if self.store.config_revision > logged:
                logged = self.store.config_revision
                log(CONFIG_CHANGED, config_revision=logged)
            now_pending = {p.issued_id for p in self.store.pending.values()}
            for issued_id in sorted(held - now_pending):
                log(TAKE_OUT_ENDED, issued_id=issued_id)
            held = now_pending

    async def _update_metrics(self) -> None:
        while True:
            connected = sum(c.connected for c in self.clients.values())
            update_metrics(self.store, connected, current_time())
            await sleep(METRICS_INTERVAL_S)


async def run_in_scope(client: PeerClient, scope: CancelScope) -> None:
    """Run a client until its scope is cancelled."""
    with scope:
        await client.run()

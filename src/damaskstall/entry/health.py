"""Poll backend servers' health and the platform's instance list."""

from random import Random
from typing import NamedTuple

from trio import current_time, sleep

from damaskstall.contact_slots import ContactSlots
from damaskstall.entry.events import LIST_UNAVAILABLE
from damaskstall.entry.server_registry import ServerRegistry
from damaskstall.entry.server_state import ServerState
from damaskstall.errors import HttpError, PlatformError
from damaskstall.events import log
from damaskstall.generated.settings import EntrySettings
from damaskstall.http.client import HttpClient
from damaskstall.network import Network
from damaskstall.platform.types import InstanceList, InstanceRecord

HEALTH_PATH = "/health"
HEALTH_BODY_LIMIT_BYTES = 65536
HEALTH_TIMEOUT_S = 1.0
# How many silent servers are polled at once. A slow processor opens as many
# connections well within the time limit of a poll.
SILENT_SERVER_LIMIT = 64
STATE_LEAVING = "leaving"
ENTRY_ROLE = "entry"
JITTER_LOW = 0.8
JITTER_HIGH = 1.0


class HealthPoll(NamedTuple):
    """When a poll was sent, and the state reported, None without an answer."""

    sent_s: float
    state: str | None


async def poll_server_health(
    server: ServerState,
    network: Network,
    settings: EntrySettings,
    random: Random,
    contact_slots: ContactSlots,
) -> None:
    """Poll a server's health and close its idle connections until cancelled.

    The pause between polls is randomized so that entries do not poll in step.
    ``contact_slots`` limits how many silent servers are polled at once.
    """
    timeout_s = min(HEALTH_TIMEOUT_S, settings.health_poll_s)
    async with HttpClient(network, server.address, timeout_s) as client:
        # A server that was not polled yet counts as one that fell silent.
        silent_polls = 1
        while True:
            if silent_polls:
                async with contact_slots.of(silent_polls):
                    sent_s, state = await poll_once(client)
            else:
                sent_s, state = await poll_once(client)
            silent_polls = silent_polls + 1 if state is None else 0
            if state is not None:
                server.record_leaving(state == STATE_LEAVING)
                server.record_serving(sent_s)
                server.offer_slots(current_time())
            await server.pool.close_idle(current_time())
            pause_s = settings.health_poll_s
            await sleep(pause_s * random.uniform(JITTER_LOW, JITTER_HIGH))


async def poll_once(client: HttpClient) -> HealthPoll:
    """Poll a server's health now."""
    sent_s = current_time()
    return HealthPoll(sent_s, await fetch_health(client))


async def fetch_health(client: HttpClient) -> str | None:
    """Return the state that a server reports, or None if it does not answer.

    The state is empty when the server is healthy but reports none.
    """
    try:
        response = await client.call_json(
            "GET", HEALTH_PATH, limit_bytes=HEALTH_BODY_LIMIT_BYTES
        )
    except HttpError:
        return None
    if response.status != 200:
        return None
    if not isinstance(response.value, dict):
        return ""
    return str(response.value.get("state", ""))


class InstanceListWatcher:
    """Reads the platform's instance list, which lags behind the real state.

    ``leaving`` holds the addresses of the instances that are leaving,
    ``entries`` the number of entries.
    """

    def __init__(
        self, instances: InstanceList, settings: EntrySettings
    ) -> None:
        """Start without a list, counting this entry alone."""
        self.instances = instances
        self.settings = settings
        self.leaving: frozenset[str] = frozenset()
        self.entries = 1

    async def run(self, servers: ServerRegistry) -> None:
        """Poll the list and update the servers until cancelled."""
        while True:
            try:
                self._record_list(await self.instances.instances())
            except PlatformError as error:
                # Without the platform only the servers' own health reports
                # count: the old list would exclude a replaced server for as
                # long as the platform is unavailable.
                self.leaving = frozenset()
                log(LIST_UNAVAILABLE, error=str(error))
            self.update_servers(servers)
            await sleep(self.settings.instance_list_poll_s)

    def update_servers(self, servers: ServerRegistry) -> None:
        """Mark the leaving servers and set the servers' connection shares."""
        for server in servers.states.values():
            server.leaving_per_list = str(server.address) in self.leaving
            server.set_connection_share(self.entries)

    def _record_list(self, records: tuple[InstanceRecord, ...]) -> None:
        self.leaving = frozenset(r.address for r in records if r.leaving)
        entries = [r for r in records if r.role.endswith(ENTRY_ROLE)]
        self.entries = max(1, len(entries))

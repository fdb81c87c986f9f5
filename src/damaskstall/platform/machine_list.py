"""Read the machines and their workers from the operators' list of machines."""

from typing import Any, NamedTuple
from urllib.parse import urlencode

from damaskstall.addresses import Address
from damaskstall.errors import (
    DECODE_ERRORS,
    HttpError,
    MachineListUnavailableError,
)
from damaskstall.http.client import HttpClient
from damaskstall.network import Network
from damaskstall.platform.labels import rack_of
from damaskstall.tasks.machine_evidence import MachineEntry

# The list answers in a few milliseconds; when it is slow it takes 50 times as
# long.
TIMEOUT_S = 0.5
# Only a machine in this state has a running worker.
RUNNING = "up"
# A longer list is faulty, such as a cycle of page tokens: 1,000 pages of 200
# entries are many more machines than any deployment has.
PAGE_LIMIT = 1000


class MachinePage(NamedTuple):
    """Machines of one page, and the token of the next page or ""."""

    machines: list[MachineEntry]
    next_token: str


class MachineList:
    """Client of the list of machines; see ``Platform.machines``."""

    def __init__(self, network: Network, address: Address | None) -> None:
        """Use the list at an address; None if the platform has no list."""
        self.client = (
            HttpClient(network, address, TIMEOUT_S) if address else None
        )

    async def read_all(self, late_s: float) -> list[MachineEntry]:
        """Return all entries of the list, in its order.

        The time limit of each page is extended by ``late_s`` seconds. Raises
        MachineListUnavailableError unless all pages can be read.
        """
        if self.client is None:
            raise MachineListUnavailableError(
                "The platform has no list of machines."
            )
        self.client.timeout_s = TIMEOUT_S + late_s
        found: list[MachineEntry] = []
        token = ""
        for _ in range(PAGE_LIMIT):
            page = await self._page(self.client, token)
            found += page.machines
            token = page.next_token
            if not token:
                return found
        raise MachineListUnavailableError(
            f"The list of machines has more than {PAGE_LIMIT} pages."
        )

    async def _page(self, client: HttpClient, token: str) -> MachinePage:
        query = f"?{urlencode({'page_token': token})}" if token else ""
        try:
            answer = await client.call_json("GET", f"/machines{query}")
        except HttpError as error:
            await client.close()
            raise MachineListUnavailableError(str(error)) from error
        if answer.status != 200:
            raise MachineListUnavailableError(
                f"The list of machines answered with status {answer.status}."
            )
        try:
            return decode_page(answer.value)
        except DECODE_ERRORS as error:
            raise MachineListUnavailableError(
                f"The list of machines cannot be read: {error!r}."
            ) from error


def decode_page(value: Any) -> MachinePage:
    """Return the page that a JSON value describes."""
    machines = [decode_machine(entry) for entry in value["machines"]]
    return MachinePage(machines, str(value.get("next_page_token") or ""))


def decode_machine(value: Any) -> MachineEntry:
    """Return the machine that an entry of the list describes."""
    running = value["state"] == RUNNING
    worker = str(value["identifier"]) if running else ""
    labels = frozenset(str(label) for label in value.get("labels", ()))
    return MachineEntry(
        str(value["machine"]),
        worker,
        str(value.get("zone", "")),
        rack_of(labels),
    )

"""Read the operators' list of machines."""

from typing import Any
from urllib.parse import urlencode

from damaskstall.addresses import Address
from damaskstall.errors import HttpError, MachineListUnavailableError
from damaskstall.http.client import HttpClient
from damaskstall.network import Network

# The list answers in a few milliseconds; on slow days it takes 50 times as
# long (fleetbench kinds, cloud_slow).
TIMEOUT_S = 0.5
# A worker's entry there names it only while its machine is up.
RUNNING = "up"


class MachineList:
    """Read which workers run; see ``Platform.running_workers``."""

    def __init__(self, network: Network, address: Address | None) -> None:
        """Name the list's address; None where the platform has no list."""
        self.client = (
            HttpClient(network, address, TIMEOUT_S) if address else None
        )

    async def running_workers(self) -> frozenset[str]:
        """Return the names of the workers whose machines are up.

        Raises MachineListUnavailableError where not all pages could be read.
        """
        if self.client is None:
            raise MachineListUnavailableError("There is no list of machines.")
        found: set[str] = set()
        token = ""
        while True:
            page = await self._page(self.client, token)
            found.update(
                str(machine["identifier"])
                for machine in page["machines"]
                if machine["state"] == RUNNING
            )
            token = page.get("next_page_token") or ""
            if not token:
                return frozenset(found)

    async def _page(self, client: HttpClient, token: str) -> Any:
        query = f"?{urlencode({'page_token': token})}" if token else ""
        try:
            answer = await client.call_json("GET", f"/machines{query}")
        except HttpError as error:
            await client.close()
            raise MachineListUnavailableError(str(error)) from error
        if answer.status != 200:
            raise MachineListUnavailableError(
                f"The list of machines answered {answer.status}."
            )
        return answer.value

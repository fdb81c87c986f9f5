"""Call the platform's services over HTTP and JSON."""

from typing import Any
from urllib.parse import quote, urlencode

from damaskstall.addresses import Address
from damaskstall.errors import (
    ConnectFailedError,
    HttpError,
    ObjectMissingError,
    PlatformError,
    RevisionTooOldError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.http.client import HttpClient, JsonResponse
from damaskstall.network import Network
from damaskstall.platform.types import (
    ChangePage,
    InstanceRecord,
    Row,
    ScanPage,
    Write,
)


class PlatformClient:
    """Client of one of the platform's services, for one named instance."""

    def __init__(
        self,
        network: Network,
        address: Address,
        timeout_s: float,
        instance: str,
    ) -> None:
        """Call the service at an address, with a timeout, as an instance."""
        self.client = HttpClient(network, address, timeout_s)
        self.instance = quote(instance)


def row_from_json(value: Any) -> Row:
    """Return the row that a JSON object describes."""
    return Row(
        value["key"], value["revision"], value["mutation_id"], value["value"]
    )


class HttpTable(PlatformClient):
    """Client of the table service."""

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""
        answer = await self._get("row", {"key": key})
        return None if answer.value is None else row_from_json(answer.value)

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        page = (await self._get("scan", query)).value
        rows = tuple(row_from_json(row) for row in page["rows"])
        return ScanPage(rows, page["next_after"], page["revision"])

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return rows changed after a revision, deleted ones included."""
        query = {
            "prefix": prefix,
            "after_revision": after_revision,
            "limit": limit,
        }
        answer = await self._get("changes", query)
        if answer.status == 410:
            raise RevisionTooOldError(
                f"The changes after revision {after_revision} are not kept."
            )
        page = answer.value
        rows = tuple(row_from_json(row) for row in page["rows"])
        return ChangePage(rows, page["revision"], page["complete"])

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        body = {
            "mutation_id": mutation_id,
            "writes": [write._asdict() for write in writes],
        }
        try:
            answer = await self.client.call_json(
                "POST", f"/table/commit?caller={self.instance}", body
            )
        except ConnectFailedError as error:
            raise TableUnavailableError(str(error)) from error
        except HttpError as error:
            raise TableOutcomeUnknownError(str(error)) from error
        return committed_revision(answer)

    async def _get(self, name: str, query: dict[str, Any]) -> JsonResponse:
        text = urlencode({**query, "caller": self.instance})
        try:
            answer = await self.client.call_json(
                "GET", f"/table/{name}?{text}"
            )
        except HttpError as error:
            raise TableUnavailableError(str(error)) from error
        if answer.status in (200, 404, 410):
            return answer
        raise TableUnavailableError(
            f"The table service answered {answer.status}."
        )


def committed_revision(answer: JsonResponse) -> int:
    """Return the revision of a commit; raise the error in its answer."""
    if answer.status == 200:
        revision: int = answer.value["revision"]
        return revision
    if answer.status == 409:
        raise TableConflictError(
            answer.value["key"], answer.value["current_revision"]
        )
    if answer.status in (429, 503):
        raise TableUnavailableError(f"The table answered {answer.status}.")
    raise TableOutcomeUnknownError(f"The table answered {answer.status}.")


class HttpObjects(PlatformClient):
    """Client of the object store."""

    async def put(self, key: str, data: bytes) -> None:
        """Store an object; replace an earlier one with the key."""
        await self._call("PUT", key, data)

    async def get(self, key: str) -> bytes:
        """Return an object; raise ObjectMissingError if it is missing."""
        status, data = await self._call("GET", key, b"")
        if status == 404:
            raise ObjectMissingError(f"The object {key!r} does not exist.")
        return data

    async def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        await self._call("DELETE", key, b"")

    async def _call(
        self, method: str, key: str, data: bytes
    ) -> tuple[int, bytes]:
        target = f"/objects/{quote(key)}?caller={self.instance}"
        try:
            head, answer = await self.client.call(method, target, data)
        except HttpError as error:
            raise PlatformError(str(error)) from error
        if head.status not in (200, 404):
            raise PlatformError(f"The object store answered {head.status}.")
        return head.status, answer


class HttpInstances(PlatformClient):
    """Client of the platform's list of instances."""

    async def instances(self) -> tuple[InstanceRecord, ...]:
        """Return the list; raise PlatformError when it is unavailable."""
        answer = await self._call("GET", None)
        return tuple(InstanceRecord(**record) for record in answer.value)

    async def register(self, record: InstanceRecord) -> None:
        """Report an instance as live or leaving."""
        await self._call("POST", record._asdict())

    async def _call(self, method: str, value: Any) -> JsonResponse:
        target = f"/instances?caller={self.instance}"
        try:
            answer = await self.client.call_json(method, target, value)
        except HttpError as error:
            raise PlatformError(str(error)) from error
        if answer.status != 200:
            raise PlatformError(f"The instance list answered {answer.status}.")
        return answer

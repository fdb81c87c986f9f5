"""Call the resource interface over HTTP for the command line."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from json import dumps, loads
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode
from uuid import uuid4

from trio import TooSlowError, fail_after

from damaskstall.addresses import Address, parse_address
from damaskstall.cli.exit_codes import (
    UNKNOWN,
    UNREACHABLE,
    ExitCode,
    exit_code_of,
)
from damaskstall.errors import (
    ConnectFailedError,
    DamaskstallError,
    HttpError,
)
from damaskstall.generated.settings import CtlSettings
from damaskstall.http.client import HttpClient, HttpConnection
from damaskstall.http.messages import JSON_TYPE, Headers, parse_json
from damaskstall.network import Network

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024


class CtlError(DamaskstallError):
    """A failed command; ``exit_code`` is the program's exit code."""

    def __init__(
        self, exit_code: ExitCode, message: str, status: int = 0
    ) -> None:
        """Set the exit code and the HTTP status; 0 means no response."""
        self.exit_code = exit_code
        self.status = status
        super().__init__(message)


class Answer(NamedTuple):
    """A successful response with its parsed JSON body."""

    status: int
    headers: dict[str, str]
    value: Any


def resource_path(kind: str, name: str = "", action: str = "") -> str:
    """Return the URL path of a kind, a resource or an action on it."""
    parts = [quote(part, safe="") for part in (kind, name, action) if part]
    return "/v1/resources/" + "/".join(parts)


class ApiClient:
    """Calls the operator address of one process."""

    def __init__(self, network: Network, settings: CtlSettings) -> None:
        """Use the server address and the time limit of the settings."""
        self.network = network
        self.settings = settings
        self.address: Address = parse_address(settings.server)
        self.http = HttpClient(network, self.address, settings.timeout_s)

    async def close(self) -> None:
        """Close the pooled connections."""
        await self.http.close()

    async def read(self, path: str, query: dict[str, Any]) -> Answer:
        """Return the response to a GET; raise CtlError on failure."""
        return await self.call("GET", path, query)

    async def write(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        value: Any = None,
    ) -> Answer:
        """Send one change; raise CtlError on failure.

        The change carries an idempotency key and is sent once more if the
        outcome of the first attempt is unknown.
        """
        headers: Headers = (("idempotency-key", uuid4().hex),)
        try:
            return await self.call(method, path, query, value, headers)
        except CtlError as error:
            if error.exit_code != UNKNOWN:
                raise
            first = error
        try:
            return await self.call(method, path, query, value, headers)
        except CtlError as error:
            if error.exit_code == UNREACHABLE:
                # The first copy may have taken effect nevertheless.
                raise first from error
            raise

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        value: Any = None,
        headers: Headers = (),
    ) -> Answer:
        """Return a successful response; raise CtlError otherwise."""
        target = f"{path}?{urlencode(query)}" if query else path
        body = b"" if value is None else dumps(value).encode()
        if body:
            headers += (("content-type", JSON_TYPE),)
        try:
            head, data = await self.http.call(
                method, target, body, headers, ANSWER_LIMIT_BYTES
            )
            parsed = parse_json(data) if data else None
        except ConnectFailedError as error:
            raise CtlError(UNREACHABLE, str(error)) from error
        except (HttpError, ValueError) as error:
            raise CtlError(UNKNOWN, str(error)) from error
        if head.status >= 300:
            raise error_from_response(head.status, parsed)
        return Answer(head.status, head.headers, parsed)

    async def stream(
        self, path: str, query: dict[str, Any]
    ) -> AsyncGenerator[Any, None]:
        """Yield the JSON values of a stream of JSON lines until it ends."""
        try:
            async with aclosing(self._lines(path, query)) as lines:
                async for line in lines:
                    yield loads(line)
        except ConnectFailedError as error:
            raise CtlError(UNREACHABLE, str(error)) from error
        except TooSlowError as error:
            raise CtlError(
                UNREACHABLE, "The server did not answer in time."
            ) from error
        except HttpError as error:
            raise CtlError(UNREACHABLE, str(error)) from error

    async def _lines(
        self, path: str, query: dict[str, Any]
    ) -> AsyncGenerator[bytes, None]:
        target = f"{path}?{urlencode(query)}" if query else path
        with fail_after(self.settings.timeout_s):
            connection = await HttpConnection.open(self.network, self.address)
        try:
            with fail_after(self.settings.timeout_s):
                await connection.send("GET", target)
                head = await connection.receive_head()
            if head.status != 200:
                data = await connection.read_body(ANSWER_LIMIT_BYTES)
                raise error_from_response(head.status, loads(data))
            rest = b""
            async for part in connection.receive_body():
                *lines, rest = (rest + part).split(b"\n")
                for line in lines:
                    yield line
        finally:
            await connection.close()


def error_from_response(status: int, value: Any) -> CtlError:
    """Return the error for an unsuccessful response."""
    fields = value if isinstance(value, dict) else {}
    message = str(
        fields.get("error", f"The server answered with the status {status}.")
    )
    lines = [message]
    for problem in fields.get("problems", ()):
        lines.append(f"  {problem['path']}: {problem['message']}")
    if "current_version" in fields:
        lines.append(f"  current version: {fields['current_version']}")
    if "retry_after_s" in fields:
        lines.append(f"  retry after {fields['retry_after_s']} s")
    return CtlError(exit_code_of(status), "\n".join(lines), status)

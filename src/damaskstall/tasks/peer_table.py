"""Call the table service through a peer, and serve such calls of peers.

The platform's store may refuse one instance and serve the others. A call is
forwarded once: a peer performs it only on its own connection to the store.
"""

from collections.abc import Awaitable, Callable
from json import dumps, loads
from typing import Any, TypeVar

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    TooSlowError,
    fail_after,
)
from trio.abc import HalfCloseableStream

from damaskstall.addresses import Address
from damaskstall.bounds import checked_float
from damaskstall.errors import (
    DECODE_ERRORS,
    FrameError,
    RevisionTooOldError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.frames import FrameStream
from damaskstall.generated.messages import Frame, TableCall, TableReply
from damaskstall.network import Network
from damaskstall.platform.types import ChangePage, Row, ScanPage, Write
from damaskstall.tasks.ports import ConfigurationReport, PeerService

Result = TypeVar("Result")

DONE = "done"
UNAVAILABLE = "unavailable"
UNKNOWN = "unknown"
CONFLICT = "conflict"
TOO_OLD = "too_old"

# The round trip to a peer takes at most a few milliseconds, and the peer's own
# call to the store is limited to 1.2 s.
CONNECT_LIMIT_S = 0.3
CALL_LIMIT_S = 1.5
# A configuration of some thousand queues, 0.5 MB, is sent over two links of 10
# Mbit/s: to the peer and from there to this instance.
BULK_LIMIT_S = 4.0
# The peer may call the store once; a configuration's row has up to 64 KiB.
CONFIGURATION_LIMIT_S = 0.6
# Number of idle connections to one peer that are kept open.
IDLE_LIMIT = 4

CONNECTION_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    FrameError,
    OSError,
    TooSlowError,
)


class PeerTable:
    """Table service that performs its calls through one peer."""

    def __init__(self, network: Network, address: Address) -> None:
        """Call the peer at an address."""
        self.network = network
        self.address = address
        self._idle: list[FrameStream] = []

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""
        return await self._call("read", {"key": key}, decode_row)

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return rows whose key begins with a prefix, after a key."""
        arguments = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call("scan", arguments, decode_scan, BULK_LIMIT_S)

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return the rows of a table changed after a revision.

        The table is that of the prefix, and ``limit`` is not applied.
        """
        return await self.watch(prefix.rstrip("/"), after_revision, 0.0)

    async def watch(
        self, table: str, after_revision: int, wait_s: float
    ) -> ChangePage:
        """Return the rows of a table changed after a revision, in order."""
        arguments = {
            "table": table,
            "after_revision": after_revision,
            "wait_s": wait_s,
        }
        limit_s = BULK_LIMIT_S + wait_s
        return await self._call("watch", arguments, decode_changes, limit_s)

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        arguments = {"writes": writes, "mutation_id": mutation_id}
        return await self._call("commit", arguments, int)

    async def can_hold_lease(self) -> bool:
        """Return whether the peer competes for the lease."""
        return await self._call("can_hold_lease", {}, bool)

    async def configuration(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return what the peer knows of the configuration.

        If that is older than ``max_age_s``, the peer first tries to confirm
        it. The row is left out if it is that of ``row_revision``, or older.
        """
        arguments = {"row_revision": row_revision, "max_age_s": max_age_s}
        return await self._call(
            "configuration", arguments, decode_report, CONFIGURATION_LIMIT_S
        )

    async def _call(
        self,
        operation: str,
        arguments: dict[str, Any],
        decode: Callable[[Any], Result],
        limit_s: float = CALL_LIMIT_S,
    ) -> Result:
        stream = await self._connect()
        call = TableCall(operation, dumps(arguments).encode())
        frame: Frame | None = None
        try:
            with fail_after(limit_s):
                await stream.send(Frame(0, call))
                frame = await stream.receive()
        except CONNECTION_ERRORS as error:
            message = f"The call to the peer {self.address} failed: {error!r}."
            raise lost_reply_error(operation, message) from error
        finally:
            # A connection with an outstanding reply is never used again.
            if frame is not None and len(self._idle) < IDLE_LIMIT:
                self._idle.append(stream)
            else:
                await stream.stream.aclose()
        if frame is None or not isinstance(frame.body, TableReply):
            raise lost_reply_error(
                operation, f"The peer {self.address} did not send a reply."
            )
        try:
            return decode(decode_result(frame.body))
        except DECODE_ERRORS as error:
            raise lost_reply_error(
                operation,
                f"The reply of {self.address} is malformed: {error!r}.",
            ) from error

    async def _connect(self) -> FrameStream:
        if self._idle:
            return self._idle.pop()
        try:
            with fail_after(CONNECT_LIMIT_S):
                stream = await self.network.connect(self.address)
        except (OSError, TooSlowError) as error:
            raise TableUnavailableError(
                f"The peer {self.address} cannot be reached: {error!r}."
            ) from error
        return FrameStream(stream)


def decode_row(value: Any) -> Row | None:
    """Return the row in a peer's result, or None where it is absent.

    Operators and other writers may store a value of any form, which whoever
    uses the row decodes, as in an answer of the store itself.
    """
    if value is None:
        return None
    key, revision, mutation_id, content = value
    return Row(str(key), int(revision), str(mutation_id), content)


def decode_rows(values: Any) -> tuple[Row, ...]:
    """Return the rows in a peer's result."""
    rows = (decode_row(value) for value in values)
    return tuple(row for row in rows if row is not None)


def decode_scan(value: Any) -> ScanPage:
    """Return the page of rows in a peer's result."""
    rows, next_after, revision = value
    return ScanPage(decode_rows(rows), str(next_after), int(revision))


def decode_changes(value: Any) -> ChangePage:
    """Return the page of changes in a peer's result."""
    rows, revision, complete = value
    return ChangePage(decode_rows(rows), int(revision), bool(complete))


def lost_reply_error(operation: str, message: str) -> Exception:
    """Return the error of a call whose reply did not arrive.

    A commit may have taken effect; any other call can be repeated.
    """
    if operation == "commit":
        return TableOutcomeUnknownError(message)
    return TableUnavailableError(message)


def decode_report(value: Any) -> ConfigurationReport:
    """Return the report in a peer's result."""
    age_s, revision, row, evacuated = value
    return ConfigurationReport(
        checked_float("age_s", age_s, 0, float("inf")),
        int(revision),
        decode_row(row),
        tuple(str(domain) for domain in evacuated),
    )


def decode_result(reply: TableReply) -> Any:
    """Return the result in a reply, or raise the error that it reports."""
    value = loads(reply.result)
    if reply.outcome == DONE:
        return value
    if reply.outcome == CONFLICT:
        raise TableConflictError(*value)
    if reply.outcome == TOO_OLD:
        raise RevisionTooOldError(value)
    if reply.outcome == UNKNOWN:
        raise TableOutcomeUnknownError(value)
    raise TableUnavailableError(value)


Operation = Callable[[PeerService, dict[str, Any]], Awaitable[Any]]


async def perform_commit(table: PeerService, fields: dict[str, Any]) -> int:
    """Perform a commit that a peer requests."""
    writes = tuple(Write(*write) for write in fields["writes"])
    return await table.commit(writes, fields["mutation_id"])


OPERATIONS: dict[str, Operation] = {
    "read": lambda table, fields: table.read(**fields),
    "scan": lambda table, fields: table.scan(**fields),
    "watch": lambda table, fields: table.watch(**fields),
    "commit": perform_commit,
    "can_hold_lease": lambda table, _: table.can_hold_lease(),
    "configuration": lambda table, fields: table.configuration(**fields),
}


async def perform_call(table: PeerService, call: TableCall) -> TableReply:
    """Perform a peer's call; return its result or error as a reply."""
    try:
        operation = OPERATIONS[call.operation]
        result = await operation(table, loads(call.arguments))
    except TableConflictError as error:
        return encode_reply(CONFLICT, [error.key, error.current_revision])
    except RevisionTooOldError as error:
        return encode_reply(TOO_OLD, str(error))
    except TableOutcomeUnknownError as error:
        return encode_reply(UNKNOWN, str(error))
    except TableUnavailableError as error:
        return encode_reply(UNAVAILABLE, str(error))
    except DECODE_ERRORS as error:
        return encode_reply(UNAVAILABLE, f"The call is malformed: {error!r}.")
    return encode_reply(DONE, result)


def encode_reply(outcome: str, result: Any) -> TableReply:
    """Return a reply with an outcome and a result."""
    return TableReply(outcome, dumps(result).encode())


async def serve_calls(table: PeerService, stream: HalfCloseableStream) -> None:
    """Perform the calls that arrive on one connection, one at a time."""
    frames = FrameStream(stream)
    try:
        while True:
            frame = await frames.receive()
            if frame is None or not isinstance(frame.body, TableCall):
                return
            await frames.send(Frame(0, await perform_call(table, frame.body)))
    except CONNECTION_ERRORS:
        # The connection failed; the caller has its own time limit.
        return
    finally:
        await stream.aclose()

"""Call the operators' store over HTTP and JSON.

A key in this program is ``table/key`` or ``table@part/key``. The rows of this
program's own tables contain their value and the id of the mutation that wrote
them; the operators' rows contain the value alone.
"""

from base64 import b64decode, b64encode
from json import dumps
from typing import Any, NamedTuple
from urllib.parse import urlencode
from zlib import compress, decompressobj
from zlib import error as zlib_error

from damaskstall.addresses import Address
from damaskstall.errors import (
    DECODE_ERRORS,
    ConnectFailedError,
    HttpError,
    RevisionTooOldError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.http.client import HttpClient, JsonResponse
from damaskstall.http.messages import parse_json
from damaskstall.network import Network
from damaskstall.platform.events import ROW_UNREADABLE
from damaskstall.platform.types import ChangePage, Row, ScanPage, Write

# The store answers in 4 ms and a transaction takes 5 ms; when the store is
# slow both take 60 times as long, 0.25 s and 0.55 s. Only these timeouts
# detect a lost answer, and urgent work waits until then.
READ_TIMEOUT_S = 0.7
COMMIT_TIMEOUT_S = 0.8
# Tables whose rows the platform defines; they contain no mutation id.
EXTERNAL_TABLES = frozenset({"op", "servers", "status"})
MILLISECONDS_PER_S = 1000
# Longer values are compressed, since a row has at most 64 KiB and the progress
# of a large job is a list of similar entries.
COMPRESSION_THRESHOLD_BYTES = 4096
# The first byte of a zlib stream; no JSON text begins with it.
ZLIB_FIRST_BYTE = b"x"
# The value of a row of another writer that cannot be decoded. The row exists,
# and some rows say all with their keys.
UNREADABLE_VALUE: dict[str, Any] = {}
# A row of 64 KiB could otherwise fill the memory of an instance.
VALUE_LIMIT_BYTES = 4 * 1024 * 1024


class RowLocation(NamedTuple):
    """Location of a row in the store."""

    table: str
    part: str
    key: str


def location_of(key: str) -> RowLocation:
    """Return the location of the row with a key."""
    table, _, name = key.partition("/")
    table, _, part = table.partition("@")
    return RowLocation(table, part, name)


def key_of(location: RowLocation) -> str:
    """Return the key of the row at a location."""
    part = f"@{location.part}" if location.part else ""
    return f"{location.table}{part}/{location.key}"


def encode_value(location: RowLocation, value: Any, mutation_id: str) -> str:
    """Return a value in the encoding of the store."""
    if location.table not in EXTERNAL_TABLES:
        value = {"id": mutation_id, "value": value}
    data = dumps(value, separators=(",", ":")).encode()
    if len(data) > COMPRESSION_THRESHOLD_BYTES:
        data = compress(data)
    return b64encode(data).decode()


def decompress_value(data: bytes) -> bytes:
    """Return a value's JSON text, decompressed if it is compressed.

    Raises ValueError for a text of more than VALUE_LIMIT_BYTES, and
    zlib.error.
    """
    if data[:1] != ZLIB_FIRST_BYTE:
        return data
    decompressor = decompressobj()
    text = decompressor.decompress(data, VALUE_LIMIT_BYTES)
    if not decompressor.eof:
        raise ValueError(
            "the compressed value is truncated, or has more than "
            f"{VALUE_LIMIT_BYTES} bytes"
        )
    return text


def encode_query(query: dict[str, Any]) -> str:
    """Return the query of a request.

    Another writer's key may have characters that UTF-8 does not encode.
    """
    return urlencode(query, errors="surrogatepass")


def decode_row(fields: Any) -> Row:
    """Return a row; one that cannot be decoded counts as deleted.

    One of another writer counts as empty, since its key says that it exists.
    """
    location = RowLocation(
        str(fields["table"]), str(fields["part"]), str(fields["key"])
    )
    revision = int(fields["version_number"])
    key = key_of(location)
    if fields.get("deleted"):
        return Row(key, revision, "", None)
    try:
        value = parse_json(decompress_value(b64decode(fields["value"])))
        if location.table in EXTERNAL_TABLES:
            value = UNREADABLE_VALUE if value is None else value
            return Row(key, revision, "", value)
        return Row(key, revision, value["id"], value["value"])
    except (*DECODE_ERRORS, zlib_error) as error:
        log(ROW_UNREADABLE, key=key, revision=revision, error=repr(error))
        is_external = location.table in EXTERNAL_TABLES
        value = UNREADABLE_VALUE if is_external else None
        return Row(key, revision, "", value)


def decode_scan(value: Any) -> ScanPage:
    """Return a page of rows; raise TableUnavailableError if malformed."""
    try:
        rows = tuple(decode_row(fields) for fields in value["rows"])
        more = value["more_pages"] and rows
        next_after = rows[-1].key if more else ""
        return ScanPage(rows, next_after, int(value["version_number"]))
    except DECODE_ERRORS as error:
        raise malformed_page_error(error) from error


def decode_changes(value: Any) -> ChangePage:
    """Return a page of changes; raise TableUnavailableError if malformed."""
    try:
        rows = tuple(decode_row(fields) for fields in value["rows"])
        return ChangePage(rows, int(value["version_number"]), True)
    except DECODE_ERRORS as error:
        raise malformed_page_error(error) from error


def decode_revision(value: Any) -> int:
    """Return the revision of a commit; raise TableOutcomeUnknownError."""
    try:
        return int(value["version_number"])
    except DECODE_ERRORS as error:
        raise malformed_write_error(error) from error


def malformed_page_error(error: Exception) -> TableUnavailableError:
    """Return the error for an answer to a read that cannot be decoded."""
    return TableUnavailableError(
        f"The store's answer cannot be decoded: {error!r}."
    )


def malformed_write_error(error: Exception) -> TableOutcomeUnknownError:
    """Return the error for an answer to a write that cannot be decoded."""
    return TableOutcomeUnknownError(
        f"The store's answer cannot be decoded: {error!r}."
    )


class RowStore:
    """Client of the store; ``WatchedTable`` documents its calls."""

    def __init__(self, network: Network, address: Address) -> None:
        """Use separate connections for reads, writes and watches."""
        self.read_client = HttpClient(network, address, READ_TIMEOUT_S)
        self.write_client = HttpClient(network, address, COMMIT_TIMEOUT_S)
        self.watch_client = HttpClient(network, address, READ_TIMEOUT_S)

    async def read(self, key: str) -> Row | None:
        """Return a row, or None where it is absent."""
        location = location_of(key)
        query = {
            "table": location.table,
            "part": location.part,
            "from": location.key,
            "limit": 1,
        }
        answer = await self._get(self.read_client, "/rows-get", query)
        for row in decode_scan(answer).rows:
            if row.key == key:
                return row
        return None

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Return the rows of a table, or of one part, after a key.

        Rows whose key does not begin with the prefix may be among them.
        """
        location = location_of(prefix)
        # The smallest key that is greater than the last one read.
        first = location_of(after).key + "\0" if after else location.key
        query = {
            "table": location.table,
            "part": location.part,
            "from": first,
            "limit": limit,
        }
        answer = await self._get(self.read_client, "/rows-get", query)
        return decode_scan(answer)

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return the rows of a table changed after a revision.

        The table is that of the prefix, and ``limit`` is not applied.
        """
        return await self.watch(location_of(prefix).table, after_revision, 0.0)

    async def watch(
        self, table: str, after_revision: int, wait_s: float
    ) -> ChangePage:
        """Return the rows of a table changed after a revision, in order."""
        query = {
            "table": table,
            "after": after_revision,
            "wait_ms": round(wait_s * MILLISECONDS_PER_S),
        }
        client = self.watch_client if wait_s else self.read_client
        client.timeout_s = READ_TIMEOUT_S + wait_s
        answer = await self._get(client, "/rows-feed", query)
        return decode_changes(answer)

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        body = encode_transaction(writes, mutation_id)
        try:
            answer = await self.write_client.call_json(
                "POST", "/rows-tx", body
            )
        except ConnectFailedError as error:
            raise TableUnavailableError(str(error)) from error
        except HttpError as error:
            await self.write_client.close()
            raise TableOutcomeUnknownError(str(error)) from error
        if answer.status == 200:
            return decode_revision(answer.value)
        if answer.status == 412:
            raise conflict_error(answer, writes)
        if answer.status in (429, 503):
            raise TableUnavailableError(f"The store answered {answer.status}.")
        raise TableOutcomeUnknownError(f"The store answered {answer.status}.")

    async def _get(
        self, client: HttpClient, path: str, query: dict[str, Any]
    ) -> Any:
        try:
            answer = await client.call_json(
                "GET", f"{path}?{encode_query(query)}"
            )
        except HttpError as error:
            # The other idle connections may be silent as well.
            await client.close()
            raise TableUnavailableError(str(error)) from error
        if answer.status == 410:
            raise RevisionTooOldError("The store no longer has the changes.")
        if answer.status != 200:
            raise TableUnavailableError(f"The store answered {answer.status}.")
        return answer.value


def encode_transaction(
    writes: tuple[Write, ...], mutation_id: str
) -> dict[str, list[dict[str, Any]]]:
    """Return the body of a transaction request."""
    expect, put, remove = [], [], []
    for write in writes:
        location = location_of(write.key)
        location_fields = location._asdict()
        expect.append({**location_fields, "version_number": write.if_revision})
        if write.value is None:
            remove.append(location_fields)
            continue
        value = encode_value(location, write.value, mutation_id)
        put.append({**location_fields, "value": value})
    return {"expect": expect, "writes": put, "remove": remove}


def conflict_error(
    answer: JsonResponse, writes: tuple[Write, ...]
) -> TableConflictError:
    """Return the error for the first row at an unexpected revision."""
    try:
        found = {
            key_of(RowLocation(row["table"], row["part"], row["key"])): (
                0 if row.get("deleted") else int(row["version_number"])
            )
            for row in answer.value.get("rows", ())
        }
    except DECODE_ERRORS as error:
        # Nothing was written; the caller reads the rows.
        raise malformed_write_error(error) from error
    for write in writes:
        revision = found.get(write.key, 0)
        if revision != write.if_revision:
            return TableConflictError(write.key, revision)
    return TableConflictError(writes[0].key, 0)

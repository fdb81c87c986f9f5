"""Encode frames between processes and send and receive them on streams.

A frame on the wire is a 4-byte big-endian length and a capnp message.
"""

from functools import cache
from importlib.resources import files
from struct import Struct
from typing import Any, NamedTuple

from capnp import KjException, load
from trio import Lock
from trio.abc import Stream

from damaskstall.errors import FrameError
from damaskstall.generated import messages
from damaskstall.generated.messages import Frame

FRAME_LIMIT_BYTES = 4 * 1024 * 1024
LENGTH = Struct(">I")

SCHEMA_DIRECTORY = files("damaskstall.generated")
SCHEMA = load(
    str(SCHEMA_DIRECTORY / "damaskstall.capnp"),
    imports=[str(SCHEMA_DIRECTORY)],
)


@cache
def to_camel_case(name: str) -> str:
    """Return a snake-case field name in the schema's camel case."""
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def union_field_name(record: NamedTuple) -> str:
    """Return the name of the union field for a record's type."""
    name = type(record).__name__
    return name[0].lower() + name[1:]


def as_schema_value(value: Any) -> Any:
    """Return a value as the dictionaries and lists that capnp accepts."""
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        return as_schema_dict(value)
    if isinstance(value, tuple):
        return [as_schema_value(item) for item in value]
    return value


def as_schema_dict(record: Any) -> dict[str, Any]:
    """Return one record as the dictionary that capnp accepts."""
    fields = {}
    for name in record._fields:
        value = getattr(record, name)
        key = (
            union_field_name(value) if name == "body" else to_camel_case(name)
        )
        fields[key] = as_schema_value(value)
    return fields


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame without its length prefix."""
    encoded: bytes = SCHEMA.Frame.new_message(
        **as_schema_dict(frame)
    ).to_bytes()
    return encoded


def record_from_reader(reader: Any) -> Any:
    """Return the record that a capnp reader represents."""
    name = reader.schema.node.displayName.rpartition(":")[2]
    record_type = getattr(messages, name)
    values = []
    for field in record_type._fields:
        key = reader.which() if field == "body" else to_camel_case(field)
        values.append(from_schema_value(getattr(reader, str(key))))
    return record_type(*values)


def from_schema_value(value: Any) -> Any:
    """Return a value read by capnp as a plain value, record or tuple."""
    if isinstance(value, (str, bytes, bool, int, float)):
        return value
    if hasattr(value, "schema") and hasattr(value.schema, "node"):
        return record_from_reader(value)
    return tuple(from_schema_value(item) for item in value)


def decode(data: bytes) -> Frame:
    """Return the decoded frame; raise FrameError if it is malformed."""
    try:
        with SCHEMA.Frame.from_bytes(data) as reader:
            frame: Frame = record_from_reader(reader)
            return frame
    except (KjException, ValueError) as error:
        # capnp appends a stack trace of addresses below the first line.
        cause = str(error).partition("\n")[0]
        raise FrameError(f"The frame is malformed: {cause}") from error


class FrameStream:
    """A connection that carries frames.

    Several tasks may send at once; only one task may receive.
    """

    def __init__(
        self, stream: Stream, limit_bytes: int = FRAME_LIMIT_BYTES
    ) -> None:
        """Wrap a connected stream; ``limit_bytes`` bounds received frames."""
        self.stream = stream
        self.limit_bytes = limit_bytes
        self._send_lock = Lock()
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, frame: Frame) -> None:
        """Send one frame; raise FrameError if it is too long."""
        data = encode(frame)
        if len(data) > FRAME_LIMIT_BYTES:
            raise FrameError(
                f"The frame of {len(data)} bytes is too long to be sent."
            )
        async with self._send_lock:
            await self.stream.send_all(LENGTH.pack(len(data)) + data)
        self.sent_bytes += LENGTH.size + len(data)

    async def receive(self) -> Frame | None:
        """Return the next frame, or None at a clean end of the stream.

        Raises FrameError when it is too long, truncated or malformed.
        """
        header = await self._receive_exactly(LENGTH.size, at_start=True)
        if header is None:
            return None
        (length,) = LENGTH.unpack(header)
        if length > self.limit_bytes:
            raise FrameError(
                f"The frame of {length} bytes is too long to be received."
            )
        data = await self._receive_exactly(length, at_start=False)
        self.received_bytes += LENGTH.size + length
        return decode(data or b"")

    async def _receive_exactly(
        self, length: int, at_start: bool
    ) -> bytes | None:
        data = bytearray()
        while len(data) < length:
            part = await self.stream.receive_some(length - len(data))
            if not part and at_start and not data:
                return None
            if not part:
                raise FrameError("The connection closed within a frame.")
            data += part
        return bytes(data)

"""Write log lines without blocking on a slow reader.

A stalled reader of the log must not stall the program. Lines are therefore
written to a non-blocking descriptor and dropped while it is full. Dropped
lines are counted, and a line with their count is written as soon as there is
room.
"""

from json import dumps
from os import set_blocking, write

# Longer lines are truncated: Linux writes up to 4096 bytes (PIPE_BUF) to a
# pipe atomically, so that lines are never mixed or written in part.
LINE_LIMIT_BYTES = 4096
CUT_MARK = b"...\n"


class LogSink:
    """A log sink that drops and counts lines instead of blocking."""

    def __init__(self, descriptor: int) -> None:
        """Make a descriptor non-blocking; the sink does not close it."""
        set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lost = 0

    def write(self, line: str) -> None:
        """Write one line, or drop it and count it as lost."""
        if self.lost and not self._try_write(self._lost_line()):
            self.lost += 1
            return
        self.lost = 0
        if not self._try_write(encode_line(line)):
            self.lost = 1

    def flush(self) -> None:
        """Do nothing, since lines are not buffered."""

    def _try_write(self, data: bytes) -> bool:
        try:
            return write(self.descriptor, data) == len(data)
        except (BlockingIOError, BrokenPipeError):
            return False

    def _lost_line(self) -> bytes:
        line = dumps({"name": "lines_lost", "count": self.lost})
        return line.encode() + b"\n"


def encode_line(line: str) -> bytes:
    """Return a line as bytes, truncated to the limit."""
    data = line.encode("utf-8", "replace")
    if len(data) <= LINE_LIMIT_BYTES:
        return data
    return data[: LINE_LIMIT_BYTES - len(CUT_MARK)] + CUT_MARK

"""Start the product and the stand-ins as processes, and stop them all."""

from collections.abc import Mapping, Sequence
from errno import ECONNREFUSED
from json import JSONDecodeError, loads
from pathlib import Path
from random import SystemRandom
from signal import SIGKILL, SIGTERM
from socket import AF_INET, SOCK_STREAM, socket
from subprocess import DEVNULL, PIPE
from sys import executable
from typing import Any, NamedTuple

from trio import (
    Nursery,
    Process,
    fail_after,
    move_on_after,
)
from trio.lowlevel import open_process

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 15
HOST = "127.0.0.1"
FIRST_PORT = 20000
LAST_PORT = 30000
LINE_LIMIT_BYTES = 65536


class ProcessError(Exception):
    """A process of the demonstration did not start."""


class RunningProcess(NamedTuple):
    """A started process and the addresses that it announced."""

    name: str
    process: Process
    addresses: dict[str, Any]


def free_ports(count: int) -> list[int]:
    """Return distinct ports that nothing listens on.

    Peers must know each other's addresses before any of them runs, so the
    system cannot choose the ports. The range lies below the system's
    ephemeral ports, so no outgoing connection takes a returned port before
    its process starts.
    """
    random = SystemRandom()
    free: set[int] = set()
    while len(free) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket(AF_INET, SOCK_STREAM) as probe:
            if probe.connect_ex((HOST, port)) == ECONNREFUSED:
                free.add(port)
    return sorted(free)


class Processes:
    """The processes of a cluster, each with its own log file."""

    def __init__(self, log_directory: Path) -> None:
        """Set the directory of the log files."""
        self.log_directory = log_directory
        self.running: dict[str, RunningProcess] = {}

    async def start(
        self, name: str, module: str, settings: Mapping[str, object]
    ) -> RunningProcess:
        """Start ``python -m module``; return once it announced its addresses.

        Raises ProcessError when it ends without an announcement.
        """
        command = [executable, "-m", module, *as_flags(settings)]
        with (self.log_directory / f"{name}.log").open("wb") as log:
            process = await open_process(
                command, stdin=DEVNULL, stdout=PIPE, stderr=log
            )
        self.running[name] = RunningProcess(name, process, {})
        addresses = await self._read_announcement(name, process)
        started = RunningProcess(name, process, addresses)
        self.running[name] = started
        return started

    def start_in(
        self,
        nursery: Nursery,
        name: str,
        module: str,
        settings: Mapping[str, object],
    ) -> None:
        """Start a process in a nursery, concurrently with others."""
        nursery.start_soon(self.start, name, module, settings)

    async def stop_all(self) -> dict[str, int | None]:
        """Send SIGTERM to every process, and SIGKILL after a timeout.

        Returns the exit codes by name.
        """
        for each in self.running.values():
            if each.process.poll() is None:
                each.process.send_signal(SIGTERM)
        with move_on_after(STOP_TIMEOUT_S):
            for each in self.running.values():
                await each.process.wait()
        for each in self.running.values():
            if each.process.poll() is None:
                each.process.send_signal(SIGKILL)
        return {
            name: each.process.returncode
            for name, each in self.running.items()
        }

    async def _read_announcement(
        self, name: str, process: Process
    ) -> dict[str, Any]:
        assert process.stdout is not None
        line = b""
        with fail_after(START_TIMEOUT_S):
            while not line.endswith(b"\n"):
                part = await process.stdout.receive_some(LINE_LIMIT_BYTES)
                if not part:
                    break
                line += part
        try:
            announced: dict[str, Any] = loads(line)
        except JSONDecodeError:
            log = (self.log_directory / f"{name}.log").read_text()
            raise ProcessError(
                f"{name} did not announce its addresses, its log is: {log}"
            ) from None
        return announced


def as_flags(settings: Mapping[str, object]) -> Sequence[str]:
    """Return settings as command-line flags."""
    return [
        f"--{name.replace('_', '-')}={value}"
        for name, value in settings.items()
    ]

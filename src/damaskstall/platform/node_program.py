"""Run a node on the operators' platform until it is stopped."""

from os import environ
from signal import SIGHUP
from sys import exit, stderr, stdout

from trio import TASK_STATUS_IGNORED as IGNORED
from trio import (
    TaskStatus,
    move_on_after,
    open_nursery,
    open_signal_receiver,
    run,
)

from damaskstall.containment import contained
from damaskstall.errors import SettingsError
from damaskstall.events import log, send_logs
from damaskstall.log_sink import LogSink
from damaskstall.network import TcpNetwork
from damaskstall.platform.job_bodies import JobBodyCodec
from damaskstall.platform.local_settings import (
    SETTINGS_VARIABLE,
    read_settings,
)
from damaskstall.platform.operator_rows import OperatorsPlatform
from damaskstall.program import serve_until_stopped
from damaskstall.tasks.clock import boot_time_s
from damaskstall.tasks.events import SETTINGS_REFUSED
from damaskstall.tasks.node import Node

PROGRAM = "damaskstall-node"
USAGE_EXIT_CODE = 2
# Decisions on requests are logged at this level, failed connections at a lower
# one.
LOG_LEVEL = "INFO"
# The platform may change the file without a signal. What it changes are time
# limits, none of which is shorter than this.
SETTINGS_POLL_S = 5.0


async def serve(node: Node, path: str) -> None:
    """Run the node, and apply changes of its settings file."""
    async with open_nursery() as nursery:
        await nursery.start(follow_settings, node, path)
        await serve_until_stopped(PROGRAM, node.settings.instance, node)
        nursery.cancel_scope.cancel()


async def follow_settings(
    node: Node, path: str, task_status: TaskStatus[None] = IGNORED
) -> None:
    """Read the file again on SIGHUP, and every SETTINGS_POLL_S."""
    with open_signal_receiver(SIGHUP) as signals:
        task_status.started()
        while True:
            # The first time, for a reload since the settings were read.
            with contained("settings", path):
                apply_changed_settings(node, path)
            with move_on_after(SETTINGS_POLL_S):
                await anext(signals)


def apply_changed_settings(node: Node, path: str) -> None:
    """Apply the settings in a file, unless they cannot be used."""
    try:
        node.apply_settings(read_settings(path))
    except SettingsError as error:
        log(SETTINGS_REFUSED, error=str(error))


def run_program() -> None:
    """Read the settings and run the node."""
    path = environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"{PROGRAM}: {error}", file=stderr)
        exit(USAGE_EXIT_CODE)
    send_logs(PROGRAM, LOG_LEVEL, True, LogSink(stdout.fileno()))
    network = TcpNetwork()
    platform = OperatorsPlatform(network, settings.store, settings.machines)
    node = Node(network, settings, platform, JobBodyCodec(), boot_time_s)
    run(serve, node, path)

"""Start a node on the operators' platform."""

from os import environ
from sys import exit, stderr

from trio import run

from damaskstall.errors import SettingsError
from damaskstall.events import configure_logs
from damaskstall.network import TcpNetwork
from damaskstall.platform.job_bodies import JobBodies
from damaskstall.platform.local_settings import (
    SETTINGS_VARIABLE,
    read_settings,
)
from damaskstall.platform.operator_rows import OperatorsPlatform
from damaskstall.program import serve_until_stopped
from damaskstall.tasks.clock import boot_time_s
from damaskstall.tasks.node import Node

PROGRAM = "damaskstall-node"
USAGE_EXIT_CODE = 2


def main() -> None:
    """Start the program."""
    try:
        settings = read_settings(environ.get(SETTINGS_VARIABLE, ""))
    except SettingsError as error:
        print(f"{PROGRAM}: {error}", file=stderr)
        exit(USAGE_EXIT_CODE)
    configure_logs(PROGRAM, "INFO", True)
    network = TcpNetwork()
    platform = OperatorsPlatform(network, settings.store)
    node = Node(network, settings, platform, JobBodies(), boot_time_s)
    run(serve_until_stopped, PROGRAM, settings.instance, node)


if __name__ == "__main__":
    main()

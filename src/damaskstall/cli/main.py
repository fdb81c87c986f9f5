"""Run damaskstallctl: read the settings and run one command."""

# Imported as a module, since sys.stderr may be replaced after this import.
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from os import environ
from typing import Any

from fire import Fire
from fire.decorators import SetParseFns
from trio import run

from damaskstall.cli import commands
from damaskstall.cli.client import ApiClient, CtlError
from damaskstall.cli.exit_codes import OK, USAGE
from damaskstall.errors import SettingsError
from damaskstall.generated.settings import CTL_SETTINGS, CtlSettings
from damaskstall.network import TcpNetwork
from damaskstall.settings import settings_or_exit

INTERRUPTED_EXIT_CODE = 130
OUTPUTS = ("table", "json")


class Ctl:
    """Declare and watch teams, jobs, failure domains and services."""

    def __init__(self, settings: CtlSettings) -> None:
        """Set the settings that every command uses."""
        self._settings = settings

    def get(self, kind: str, name: str = "", selector: str = "") -> None:
        """Print the resources of a kind, one resource, or ``instances``.

        A selector matches jobs: team=a,state=queued,label.x=y.
        """
        output = self._settings.output
        self._run(commands.get, kind, name, selector, output)

    def apply(self, *files: str, f: str = "", dry_run: bool = False) -> None:
        """Create or replace the declarations of YAML or JSON files."""
        paths = [str(path) for path in (*files, f) if path]
        self._run(commands.apply, paths, dry_run)

    def delete(
        self,
        kind: str,
        name: str,
        resource_version: int = 0,
        dry_run: bool = False,
    ) -> None:
        """Delete a resource, at its current version unless one is given."""
        self._run(commands.delete, kind, name, resource_version, dry_run)

    def watch(self, kind: str, from_version: int | None = None) -> None:
        """Print the changes of a kind as they arrive."""
        output = self._settings.output
        self._run(commands.watch, kind, from_version, output)

    def drain(self, failure_domain: str) -> None:
        """Take a failure domain out of service."""
        self._run(commands.drain, failure_domain)

    def restore(self, failure_domain: str) -> None:
        """Return a failure domain to service."""
        self._run(commands.restore, failure_domain)

    def cancel(self, name: str = "", selector: str = "") -> None:
        """Cancel a job by name, or all jobs that a selector matches."""
        self._run(commands.cancel, name, selector)

    def dump(self) -> None:
        """Print the debugging state of the process at the server's address."""
        self._run(commands.dump)

    def _run(
        self, command: Callable[..., Awaitable[None]], *arguments: Any
    ) -> None:
        run(run_command, self._settings, command, arguments)


async def run_command(
    settings: CtlSettings,
    command: Callable[..., Awaitable[None]],
    arguments: Sequence[Any],
) -> None:
    """Run a command with a client of the server that the settings name."""
    client = ApiClient(TcpNetwork(), settings)
    try:
        await command(client, *arguments)
    finally:
        await client.close()


# A name such as 1e5 must stay a string; Fire would parse it as a number.
for command, names in (
    (Ctl.get, ("kind", "name", "selector")),
    (Ctl.delete, ("kind", "name")),
    (Ctl.watch, ("kind",)),
    (Ctl.drain, ("failure_domain",)),
    (Ctl.restore, ("failure_domain",)),
    (Ctl.cancel, ("name", "selector")),
    (Ctl.apply, ("f",)),
):
    SetParseFns(**dict.fromkeys(names, str))(command)


def split_arguments(
    arguments: Sequence[str],
) -> tuple[list[str], list[str]]:
    """Split arguments into the settings' flags and the command."""
    names = {
        "--" + field.name.replace("_", "-") for field in CTL_SETTINGS.fields
    }
    flags: list[str] = []
    command: list[str] = []
    remaining = list(arguments)
    while remaining:
        argument = remaining.pop(0)
        flag, equals, _ = argument.partition("=")
        if flag.replace("_", "-") not in names:
            command.append(argument)
            continue
        flags.append(argument)
        if not equals and remaining:
            flags.append(remaining.pop(0))
    return flags, command


def run_ctl(arguments: Sequence[str], environment: Mapping[str, str]) -> int:
    """Run one command line; return the exit code."""
    flags, command = split_arguments(arguments)
    settings = settings_or_exit(CtlSettings, CTL_SETTINGS, flags, environment)
    if settings.output not in OUTPUTS:
        return fail(USAGE.code, "The output must be either table or json.")
    try:
        Fire(Ctl(settings), command=command, name=CTL_SETTINGS.program)
    except CtlError as error:
        return fail(error.exit_code.code, str(error))
    except SettingsError as error:
        return fail(USAGE.code, str(error))
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE
    return OK.code


def fail(code: int, message: str) -> int:
    """Print an error message; return the exit code."""
    print(f"{CTL_SETTINGS.program}: {message}", file=sys.stderr)
    return code


def main() -> None:
    """Run the program."""
    sys.exit(run_ctl(sys.argv[1:], environ))


if __name__ == "__main__":
    main()

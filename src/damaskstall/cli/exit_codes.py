"""Define the exit codes of damaskstallctl, which scripts may rely on."""

from typing import NamedTuple


class ExitCode(NamedTuple):
    """One exit code with its name and description."""

    code: int
    name: str
    help: str


OK = ExitCode(0, "ok", "The command succeeded, and its changes are stored.")
REFUSED = ExitCode(
    1,
    "refused",
    "The request was refused: there is a conflict, the resource is missing "
    "or its state forbids the change.",
)
USAGE = ExitCode(
    2, "usage", "A flag, a setting, a file or a declaration is invalid."
)
UNREACHABLE = ExitCode(
    3,
    "not_accepted",
    "The server is unreachable or does not accept the request now; nothing "
    "was changed. Retry later.",
)
UNKNOWN = ExitCode(
    4,
    "unknown",
    "The outcome is unknown, or the change is in force but not stored yet: "
    "read the resource.",
)
EXIT_CODES = (OK, REFUSED, USAGE, UNREACHABLE, UNKNOWN)


def exit_code_of(status: int) -> ExitCode:
    """Return the exit code for an HTTP status."""
    if status in (200, 201):
        return OK
    if status in (400, 405, 413, 422, 431):
        return USAGE
    if status in (429, 503):
        return UNREACHABLE
    if status == 202 or status >= 500:
        return UNKNOWN
    return REFUSED

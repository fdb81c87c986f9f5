"""Define the exceptions that the product raises."""

from typing import NamedTuple

# What decoding raises for a value of an unexpected shape or type. Readers of
# other processes' messages turn these into an error of their own.
DECODE_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


class DamaskstallError(Exception):
    """Base class of all exceptions that the product raises on purpose."""


class SettingsError(DamaskstallError):
    """A setting is unknown, malformed or out of bounds."""


class FieldProblem(NamedTuple):
    """The path of an invalid field and a message that states the problem."""

    path: str
    message: str


class ValidationError(DamaskstallError):
    """A declaration has invalid fields; all of them are listed."""

    def __init__(self, problems: tuple[FieldProblem, ...]) -> None:
        """Store the problems and join them into the message."""
        self.problems = problems
        listed = "; ".join(f"{p.path}: {p.message}" for p in problems)
        super().__init__(f"The declaration is not valid: {listed}.")


class BadRequestError(DamaskstallError):
    """An operator's request is malformed; nothing was changed."""


class ResourceMissingError(DamaskstallError):
    """No resource of the given kind and name exists."""

    def __init__(self, kind: str, name: str) -> None:
        """Put the resource's kind and name into the message."""
        super().__init__(f"There is no {kind} {name!r}.")


class ResourceConflictError(DamaskstallError):
    """The resource has another version, or its state forbids the write."""

    def __init__(self, message: str, current_version: int) -> None:
        """Store the resource's current version (0: it does not exist)."""
        self.current_version = current_version
        super().__init__(message)


class AlreadyWrittenError(ResourceConflictError):
    """A repeated write already took effect, and a later one has followed."""


class PlatformError(DamaskstallError):
    """A call to a platform service failed."""


class TableUnavailableError(PlatformError):
    """The table service did not accept the call; nothing was written."""


class TableOutcomeUnknownError(PlatformError):
    """The call may or may not have taken effect; a later read may tell."""


class TableConflictError(PlatformError):
    """A row's revision differs from the one that the write expects."""

    def __init__(self, key: str, current_revision: int) -> None:
        """Store the row's key and current revision (0: it does not exist)."""
        self.key = key
        self.current_revision = current_revision
        super().__init__(
            f"The row {key!r} is at revision {current_revision}, "
            "not at the one that the write expects."
        )


class RevisionTooOldError(PlatformError):
    """The table no longer has the changes after the given revision."""


class ObjectMissingError(PlatformError):
    """The object store has no object with the given key."""


class HttpError(DamaskstallError):
    """An HTTP exchange failed."""


class ConnectFailedError(HttpError):
    """No connection could be opened; no byte of the request was sent."""


class ConnectionLostError(HttpError):
    """The connection failed, or its data was malformed, after it was open."""


class BodyTooLargeError(HttpError):
    """A message body is longer than the receiver's limit."""


class FrameError(DamaskstallError):
    """A frame from a peer is too long, truncated or malformed."""


class LeaseLostError(DamaskstallError):
    """The holder's cell lease has expired or passed to another holder."""


class RequestNotRunError(DamaskstallError):
    """A request was refused, and no backend server has run any of it."""

    def __init__(self, status: int, message: str, retry_after_s: int) -> None:
        """Store the HTTP status and the time to wait before a retry."""
        self.status = status
        self.retry_after_s = retry_after_s
        super().__init__(message)


class RequestOutcomeUnknownError(DamaskstallError):
    """A request was sent and no complete response arrived: it may have run."""

    def __init__(self, status: int, message: str) -> None:
        """Store the HTTP status of the response to the caller."""
        self.status = status
        super().__init__(message)


class ServerRefusedError(HttpError):
    """A backend server refused a request without running it."""

    def __init__(self, retry_after_s: int, leaving: bool) -> None:
        """Store the wait before a retry and whether the server is leaving."""
        self.retry_after_s = retry_after_s
        self.leaving = leaving
        super().__init__("The server refused the request without running it.")


class ResponseMismatchError(ConnectionLostError):
    """A response names another request than the one sent."""


class ResponseTimeoutError(ConnectionLostError):
    """A response did not arrive within its time limit."""


class CallerDisconnectedError(HttpError):
    """A caller disconnected, or its body was malformed or too slow."""


class RequestRejectedError(DamaskstallError):
    """A request is not valid; nothing has run."""

    def __init__(self, status: int, message: str) -> None:
        """Store the HTTP status of the response to the caller."""
        self.status = status
        super().__init__(message)


class MalformedRowError(PlatformError):
    """A row that the platform returned is malformed."""


class MachineListUnavailableError(PlatformError):
    """The platform's list of the machines that are up is not available."""


class CommandError(DamaskstallError):
    """A command to a worker failed."""


class CommandNotSentError(CommandError):
    """The command did not reach the worker; it was not executed."""


class CommandOutcomeUnknownError(CommandError):
    """No answer arrived; the command may be executed, possibly later."""


class CommandFaultError(CommandOutcomeUnknownError):
    """A fault of this program ended the call; it may have been sent."""


class CommandRefusedError(CommandError):
    """The worker refused the command and did not execute it."""

    def __init__(self, message: str, reason: str) -> None:
        """Store the reason that the worker gave."""
        self.reason = reason
        super().__init__(message)


class FencedError(CommandError):
    """The worker has accepted the epoch of a newer holder."""


class WorkerReplacedError(CommandError):
    """Another worker answers at the address."""


class UnsupportedJobError(DamaskstallError):
    """A job requires something that this version does not support."""

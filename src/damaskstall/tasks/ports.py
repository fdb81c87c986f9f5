"""Define the interfaces through which the scheduler uses the platform.

An adapter in ``platform/`` implements each protocol of this module.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from damaskstall.platform.types import ChangePage, Row, TableService
from damaskstall.tasks.desired_state import DesiredState
from damaskstall.tasks.machine_evidence import MachineEntry
from damaskstall.tasks.model import RunKey, WorkerInfo

# Tables that the operators and the workers write; this program only reads
# their rows.
OPERATOR_TABLE = "op"
WORKER_TABLE = "servers"

# Evidence for the end of a run: the worker listed the end, its reports lack
# the run, it refused the start, another incarnation of it answers, it has
# crashed but its lists lacked the run after the start was sent, its machine is
# down, its whole failure domain or rack is down, it ended before
# this holder heard from it, it was draining and has ended, its lease has
# expired, or no start command was sent.
REPORTED = "reported"
MISSING = "missing"
REFUSED = "refused"
REPLACED = "replaced"
UNSEEN = "unseen"
MACHINE_DOWN = "machine_down"
OUTAGE = "outage"
UNOBSERVED = "unobserved"
WORKER_LEFT = "worker_left"
LEASE_EXPIRED = "lease_expired"
NOT_LAUNCHED = "not_launched"
# Evidence that a worker crashed while the run was there. A worker that is
# silent or cut off, that drains, or that is lost with all others around it
# has not crashed because of its runs. One that ended unobserved may have been
# lost with the others.
CRASH_EVIDENCE = frozenset({MACHINE_DOWN, REPLACED, UNSEEN})


class WatchedTable(TableService, Protocol):
    """Table service that can also wait for changes of one table."""

    async def watch(
        self, table: str, after_revision: int, wait_s: float
    ) -> ChangePage:
        """Return the rows of a table changed after a revision, in order.

        Waits up to ``wait_s`` for a change. Raises RevisionTooOldError when
        the store no longer keeps those changes, and TableUnavailableError.
        """


class ConfigurationReport(NamedTuple):
    """What a peer knows of the operators' rows.

    ``age_s`` is the time since it was confirmed, as of ``revision``. ``row``
    is that of the configuration, None if the asking instance has it already.
    """

    age_s: float
    revision: int
    row: Row | None
    evacuated: tuple[str, ...]


class PeerService(WatchedTable, Protocol):
    """What an instance does for its peers."""

    async def can_hold_lease(self) -> bool:
        """Return whether it competes for the lease and reaches the store.

        Raises TableUnavailableError while the store refuses it.
        """

    async def configuration(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return what the instance knows of the configuration.

        If that is older than ``max_age_s``, it first tries to confirm it.
        Raises TableUnavailableError before it has read one.
        """


class RunReport(NamedTuple):
    """State of a running run: its newest checkpoint and percentage done."""

    key: RunKey
    checkpoint: str
    percent: float


class EndReport(NamedTuple):
    """Report of one run that has ended on a worker.

    ``number`` counts the ends within one incarnation of the worker; 0 marks an
    end that the worker did not list. ``how`` is the outcome, and ``evidence``
    tells how the end is known.
    """

    number: int
    key: RunKey
    how: str
    checkpoint: str
    evidence: str = REPORTED


class LeaseRenewal(NamedTuple):
    """Request that renews a worker's lease and acknowledges ended runs.

    ``token`` is the fencing token: a worker refuses a lower one than before.
    ``lease_until_s`` is on the worker's clock. ``acknowledged_end`` is the
    number of the newest end that is stored. The worker delays its answer by
    up to ``wait_s`` until a run ends.
    """

    token: int
    lease_until_s: float
    acknowledged_end: int
    wait_s: float


class WorkerReport(NamedTuple):
    """Runs of a worker: those running and those whose end is unacknowledged.

    ``clock_s`` is the worker's clock as it answered.
    """

    clock_s: float
    incarnation: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class StartRequest(NamedTuple):
    """Command to start one run.

    The worker refuses it after ``not_after_s`` on the worker's clock.
    """

    token: int
    key: RunKey
    payload: str
    not_after_s: float
    checkpoint: str


# Returns the seconds that a worker has to answer a call.
AnswerLimit = Callable[[], float]


class WorkerClient(Protocol):
    """Client of one worker.

    Each call raises CommandOutcomeUnknownError when the worker may or may not
    have carried it out, CommandNotSentError when it was certainly not carried
    out, CommandRefusedError with the worker's reason, FencedError when the
    worker has accepted a higher token, and WorkerReplacedError when another
    worker answers. The latter has then done nothing, and it does not tell
    whether the worker that was meant still runs.
    """

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Renew the lease of all runs; return the running and ended runs."""

    def is_connected(self) -> bool:
        """Return whether the next renewal uses an open connection.

        It then reaches the incarnation that answered the one before.
        """

    async def start(self, request: StartRequest) -> float:
        """Start a run; return the worker's clock in seconds."""

    async def stop(self, token: int, key: RunKey) -> None:
        """Stop a run; the worker lists its end once it has stopped."""

    def follow(self, worker: WorkerInfo) -> None:
        """Send all further calls to the address in the worker's entry."""

    def reconnect(self) -> None:
        """Send all further calls over new connections."""

    async def close(self) -> None:
        """Close the connections to the worker."""


class Platform(Protocol):
    """Decodes the platform's rows and connects to its services."""

    @property
    def table(self) -> WatchedTable:
        """Return the table service of the store."""

    def desired_state(self, row: Row) -> DesiredState:
        """Return the configuration in a row; raise MalformedRowError."""

    def worker(self, row: Row, state: DesiredState) -> WorkerInfo:
        """Return the worker that a row lists; raise MalformedRowError."""

    async def machines(self, late_s: float) -> list[MachineEntry]:
        """Return the machines, each with the worker that runs on it.

        This process may read each answer up to ``late_s`` seconds late.
        Entries that move during the reading may be missing or listed twice.
        Raises MachineListUnavailableError when the list cannot be read.
        """

    def client_for(
        self, worker: WorkerInfo, answer_limit: AnswerLimit
    ) -> WorkerClient:
        """Return a client of one worker."""

    def evacuated_domain(self, key: str) -> str:
        """Return the failure domain whose evacuation a key marks, or ""."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a key is that of the configuration row."""

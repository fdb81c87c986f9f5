"""Tell what a run waits for that is neither reported nor ended."""

from typing import NamedTuple, Protocol

from damaskstall.tasks.capacity import WorkerLoad
from damaskstall.tasks.expected_runs import ExpectedRuns
from damaskstall.tasks.late_starts import LateStarts
from damaskstall.tasks.model import RunKey
from damaskstall.tasks.progress import Member, Unit
from damaskstall.tasks.worker_lease import WorkerLease, lease_limit_s

# The row with the run's placement is not stored, so no start was sent.
STORE = "store"
# The placement is stored, and no start command has been sent.
START_COMMAND = "start_command"
# A start without an answer may still be carried out.
LATE_START = "late_start"
# The worker is silent, and its lease may still last.
LEASE_EXPIRY = "lease_expiry"
# The worker is not listed, and its lease may still last.
UNLISTED_LEASE_EXPIRY = "unlisted_lease_expiry"
# The worker answers; its next lists show the run or its end.
REPORT = "report"
# No session counts the run.
UNCOUNTED = "uncounted"


class RunObstacle(NamedTuple):
    """What a run waits for, and the greatest time in seconds that is left.

    The time is None if there is no limit.
    """

    waits_for: str
    left_s: float | None = None


class RunSession(Protocol):
    """The session with the worker of a run."""

    reachable: bool
    load: WorkerLoad
    expected: ExpectedRuns
    late_starts: LateStarts
    lease: WorkerLease


class RunStatus(Protocol):
    """Tells what runs wait for."""

    def run_obstacle(
        self, key: RunKey, unit: Unit, member: Member, now_s: float
    ) -> RunObstacle:
        """Return what the run of a unit's member waits for."""


def find_obstacle(
    session: RunSession, key: RunKey, unit: Unit, now_s: float
) -> RunObstacle:
    """Return what a run on a listed worker waits for."""
    if unit.stored_run < key.run:
        return RunObstacle(STORE)
    if key not in session.load.runs:
        return RunObstacle(UNCOUNTED)
    late_until_s = session.late_starts.until(key)
    if not session.reachable:
        lease_s = lease_limit_s(session.lease.lease_s)
        until_s = max(session.lease.expires_s, late_until_s + lease_s)
        return RunObstacle(LEASE_EXPIRY, max(0.0, until_s - now_s))
    if not session.expected.may_have_started(key):
        return RunObstacle(START_COMMAND)
    if now_s < late_until_s:
        return RunObstacle(LATE_START, late_until_s - now_s)
    return RunObstacle(REPORT)

"""Check what callers were told against what backend servers ran.

The checker knows the words on the wire and the servers' records, and nothing
of how an entry works.
"""

from typing import NamedTuple

ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
BROKEN = "broken"

NOT_RUN_STATUSES = frozenset({400, 403, 404, 405, 413, 422, 429, 503})
UNKNOWN_STATUSES = frozenset({409, 502, 504})


class CallerRecord(NamedTuple):
    """Tell what one caller asked and got.

    ``told`` is the outcome header, or *broken* when the connection ended
    before a whole answer came. ``not_run`` is whether the answer carried
    ``Damaskstall-Not-Run: true``. ``tag`` names the work: repeats with one
    idempotency key share it.
    """

    tag: str
    idempotent: bool
    keyed: bool
    told: str
    not_run: bool
    status: int
    request_id: str
    body: bytes
    expected: bytes


class ServerRecord(NamedTuple):
    """Tell of one run on a backend server."""

    server: str
    request_id: str
    tag: str
    started_s: float


def check_requests(
    callers: list[CallerRecord], runs: list[ServerRecord]
) -> list[str]:
    """Return every broken promise in a full sentence."""
    problems = []
    for caller in callers:
        problems += check_caller(caller, runs)
    once = {c.tag for c in callers if not c.idempotent}
    for tag in sorted(once):
        count = sum(run.tag == tag for run in runs)
        if count > 1:
            problems.append(f"The work {tag!r} ran {count} times.")
    ids = [run.request_id for run in runs]
    for request_id in sorted({i for i in ids if ids.count(i) > 1}):
        problems.append(f"The attempt {request_id!r} ran more than once.")
    return problems


def check_caller(caller: CallerRecord, runs: list[ServerRecord]) -> list[str]:
    """Return what is wrong with one caller's answer."""
    problems = []
    mine = [run for run in runs if concerns(run, caller)]
    said = f"The caller of {caller.tag!r} was told {caller.told!r}"
    if caller.not_run != (caller.told == NOT_RUN):
        problems.append(f"{said} with a header that says otherwise.")
    if caller.told == ANSWERED and caller.status == 200:
        if caller.body != caller.expected:
            problems.append(f"{said} with another body: {caller.body[:60]!r}.")
        if not any(run.tag == caller.tag for run in runs):
            problems.append(f"{said} but nothing ran.")
    if caller.told == NOT_RUN:
        if caller.status not in NOT_RUN_STATUSES:
            problems.append(f"{said} with status {caller.status}.")
        if mine:
            problems.append(f"{said} but it ran on {mine[0].server}.")
    if caller.told == UNKNOWN and caller.status not in UNKNOWN_STATUSES:
        problems.append(f"{said} with status {caller.status}.")
    return problems


def concerns(run: ServerRecord, caller: CallerRecord) -> bool:
    """Return whether a run was of this very call."""
    if caller.request_id:
        own_id, _, _ = run.request_id.rpartition(".")
        if own_id == caller.request_id:
            return True
    return run.tag == caller.tag and not caller.keyed

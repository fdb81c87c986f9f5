"""Manage the sessions with all workers for one holder.

A run that an earlier holder placed is counted on its worker. A worker that is
not listed may be partitioned and keep running, so its runs are kept as orphans
until it is listed again or their leases have certainly expired.
"""

from typing import Any, NamedTuple, Protocol

from trio import Nursery, move_on_after

from damaskstall.contact_slots import ContactSlots
from damaskstall.containment import contained
from damaskstall.events import log
from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.contained_client import ContainedClient
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.crash_evidence import WorkerCrash
from damaskstall.tasks.events import WORKER_SUSPECTED
from damaskstall.tasks.expected_runs import ALWAYS_S
from damaskstall.tasks.fencing import FencingTokens
from damaskstall.tasks.machine_evidence import (
    MACHINE_EMPTY,
    EndedWorker,
    Place,
)
from damaskstall.tasks.model import AcceptedJob, Demand, RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    LEASE_EXPIRED,
    OUTAGE,
    UNOBSERVED,
    EndReport,
)
from damaskstall.tasks.progress import (
    ENDED_DONE,
    ENDED_FAILED,
    ENDED_LAPSED,
    JobProgress,
    Member,
    Unit,
)
from damaskstall.tasks.run_obstacles import (
    UNCOUNTED,
    UNLISTED_LEASE_EXPIRY,
    RunObstacle,
    find_obstacle,
)
from damaskstall.tasks.session_owner import SessionOwner
from damaskstall.tasks.wait_reasons import WorkerState
from damaskstall.tasks.worker_flags import EVACUATED
from damaskstall.tasks.worker_lease import (
    LATE_COMMAND_LIMIT_S,
    OUTAGE_RENEWAL_LIMIT_S,
    lease_limit_s,
)
from damaskstall.tasks.worker_list import WorkerList
from damaskstall.tasks.worker_session import WorkerSession

# No worker is excluded as slow while this share of all workers is in backoff.
# Up to 0.2 of a site's workers are slow at once.
SLOW_SHARE_LIMIT = 0.25
# A worker answers within a few milliseconds. A command that is not answered in
# this time may be carried out seconds later, and is sent again.
ANSWER_LIMIT_S = 0.25
# A call waits for this process several times: to connect, send and receive.
DELAYS_PER_CALL = 3.0
OWN_DELAY_LIMIT_S = 0.25
# A worker that crashes repeatedly does so again within this time.
CRASH_MEMORY_S = 8.0
# The number of an incarnation is the Unix time of its start in milliseconds.
MILLISECONDS_PER_S = 1000.0


class Orphan(NamedTuple):
    """Unlisted worker of a run, and the time at which its lease expires.

    A start of the run may be carried out late until ``late_start_until_s``.
    """

    worker: str
    adopted_s: float
    late_start_until_s: float
    expires_s: float


class PoolOwner(SessionOwner, Protocol):
    """Receiver of session events that also returns the demand of runs."""

    def demand_of(self, key: RunKey) -> Demand | None:
        """Return the demand of a current run, or None if it has ended."""

    def own_delay_s(self) -> float:
        """Return by how many seconds this process has lately run late."""

    def workers_set_aside(self) -> frozenset[str]:
        """Return the workers that no holder uses for a time."""


class WorkerPool:
    """Sessions with the listed workers, by name."""

    def __init__(
        self, context: NodeContext, owner: PoolOwner, epoch: int
    ) -> None:
        """Create a pool for the holder of ``epoch``."""
        self.context = context
        self.owner = owner
        self.tokens = FencingTokens(epoch)
        self.worker_list = WorkerList(
            context.platform,
            context.table,
            context.configuration,
            context.clock,
        )
        self.sessions: dict[str, WorkerSession] = {}
        self._orphans: dict[RunKey, Orphan] = {}
        self._contact_slots = ContactSlots()

    def open_sessions(self, nursery: Nursery) -> None:
        """Open a session for each new worker and update existing sessions."""
        listed = self.worker_list.workers
        aside = self.owner.workers_set_aside()
        for name, session in list(self.sessions.items()):
            if session.closed:
                del self.sessions[name]
            with contained("worker", name):
                session.update(listed.get(name))
        for name, worker in listed.items():
            if name in self.sessions or name in aside:
                continue
            with contained("worker", name):
                session = self._open_session(worker)
                nursery.start_soon(session.run, nursery)

    def _open_session(self, worker: WorkerInfo) -> WorkerSession:
        """Open the session with a worker that has none."""
        platform = self.context.platform
        client = platform.client_for(worker, self.answer_limit_s)
        session = WorkerSession(
            worker,
            ContainedClient(client, worker.name),
            self.owner,
            self.tokens,
            self.context.settings.worker_lease_s,
            self.context.clock,
            self._contact_slots,
        )
        self.sessions[worker.name] = session
        self._adopt_orphans(session)
        return session

    def answer_limit_s(self) -> float:
        """Return how many seconds a worker has to answer a call."""
        return ANSWER_LIMIT_S + self.late_reading_s()

    def late_reading_s(self) -> float:
        """Return by how many seconds an answer to a call may be read late.

        An answer that arrives while this process is delayed is read late.
        """
        own_delay_s = min(self.owner.own_delay_s(), OWN_DELAY_LIMIT_S)
        return DELAYS_PER_CALL * own_delay_s

    async def follow(self, nursery: Nursery) -> None:
        """Follow the list of workers until cancelled."""
        while True:
            await self.worker_list.follow_once()
            self.open_sessions(nursery)
            self.owner.request_decision()

    async def wait_answered(self, limit_s: float) -> None:
        """Return once all workers have answered or after ``limit_s``."""
        with move_on_after(limit_s):
            for session in list(self.sessions.values()):
                await session.answered.wait()

    def free_capacities(self, evacuated: set[str]) -> list[FreeCapacity]:
        """Return the free capacity of each worker that may get new runs."""
        return [
            session.available_capacity()
            for session in self.sessions.values()
            if session.usable()
            and session.worker.failure_domain not in evacuated
        ]

    def worker_states(self, evacuated: set[str]) -> list[WorkerState]:
        """Return each worker's free capacity, and why it gets no new run."""
        return [
            WorkerState(
                session.available_capacity(),
                session.unusable_reasons()
                + (
                    (EVACUATED,)
                    if session.worker.failure_domain in evacuated
                    else ()
                ),
            )
            for session in self.sessions.values()
        ]

    def backoff_capacities(self, evacuated: set[str]) -> list[FreeCapacity]:
        """Return the free capacity of each worker in backoff.

        Those that have got a run a moment ago are left out.
        """
        return [
            session.available_capacity()
            for session in self.sessions.values()
            if session.may_probe()
            and session.worker.failure_domain not in evacuated
        ]

    def resting_capacities(self, evacuated: set[str]) -> list[FreeCapacity]:
        """Return the free capacity of each worker for overdue units.

        These workers are in backoff.
        """
        now_s = self.context.clock()
        return [
            session.available_capacity()
            for session in self.sessions.values()
            if session.is_resting()
            and session.health.may_get_overdue(now_s)
            and session.worker.failure_domain not in evacuated
        ]

    def reachable_capacities(self) -> list[FreeCapacity]:
        """Return the free capacity of each worker that answers."""
        return [
            session.available_capacity()
            for session in self.sessions.values()
            if session.reachable and session.listed
        ]

    def crashed_workers(self) -> frozenset[str]:
        """Return the workers that have crashed a short time ago."""
        since_s = self.context.clock() - CRASH_MEMORY_S
        return frozenset(
            name
            for name, session in self.sessions.items()
            if session.crashed_s > since_s
        )

    def recent_crashes(self) -> list[WorkerCrash]:
        """Return the last crashes of each listed worker."""
        return [
            crash
            for session in self.sessions.values()
            for crash in session.crashes
        ]

    def adopt(self, progress: JobProgress, unit: Unit) -> None:
        """Count the runs of a unit that an earlier holder placed."""
        lease_s = lease_limit_s(self.context.settings.worker_lease_s)
        open_s = LATE_COMMAND_LIMIT_S + lease_s
        for start in unit.earlier_starts.listed():
            unit.earlier_starts.add(start, self.context.clock() + open_s)
            session = self.sessions.get(start.worker)
            if session is not None and not session.closed:
                task = progress.task_key(unit, start.position)
                session.adopt_open_start(RunKey(task, start.run))
        demand = progress.step_of(unit).demand
        for position, member in enumerate(unit.members):
            if member.ended:
                continue
            key = progress.run_key(unit, position)
            session = self.sessions.get(member.worker)
            if session is not None and not session.closed:
                session.adopt(key, demand, member.settled)
                session.wake()
            else:
                self._orphans[key] = self._make_orphan(member)

    def _make_orphan(self, member: Member) -> Orphan:
        """Return the orphan of a run on a worker that is not listed."""
        now_s = self.context.clock()
        late_start_until_s = ALWAYS_S
        if not member.settled:
            late_start_until_s = now_s + LATE_COMMAND_LIMIT_S
        last_command_s = max(
            now_s + OUTAGE_RENEWAL_LIMIT_S, late_start_until_s
        )
        lease_s = lease_limit_s(self.context.settings.worker_lease_s)
        return Orphan(
            member.worker, now_s, late_start_until_s, last_command_s + lease_s
        )

    def release(self, progress: JobProgress, unit: Unit) -> None:
        """Stop counting a unit's runs on their workers."""
        for position, member in enumerate(unit.members):
            session = self.sessions.get(member.worker)
            if session is not None:
                session.release(progress.run_key(unit, position))

    def stop(self, progress: JobProgress, unit: Unit) -> None:
        """Send stop commands for a unit's run to all its workers."""
        for position, member in enumerate(unit.members):
            session = self.sessions.get(member.worker)
            if session is not None and not member.ended:
                session.stop(progress.run_key(unit, position))

    def silent_workers(self) -> dict[str, float]:
        """Return since when workers have been unreachable.

        Those without runs or starts that may be carried out are left out.
        """
        now_s = self.context.clock()
        silent_since: dict[str, float] = {}
        for orphan in self._orphans.values():
            since_s = silent_since.get(orphan.worker, orphan.adopted_s)
            silent_since[orphan.worker] = max(since_s, orphan.adopted_s)
        for name, session in self.sessions.items():
            if session.reachable:
                continue
            has_runs = bool(session.load.runs) or session.has_lapsed_runs()
            if has_runs or session.late_starts.are_open(now_s):
                silent_since[name] = session.silent_since_s
        return silent_since

    def answering_workers(self) -> set[str]:
        """Return the reachable workers with runs.

        Others are not called, and may have ended unnoticed.
        """
        return {
            name
            for name, session in self.sessions.items()
            if session.reachable and session.load.runs
        }

    def places(self) -> dict[str, Place]:
        """Return the places of the listed workers."""
        return {
            name: Place(session.worker.failure_domain, session.worker.rack)
            for name, session in self.sessions.items()
        }

    def record_machine_stopped(
        self, name: str, since_s: float, found: EndedWorker = MACHINE_EMPTY
    ) -> None:
        """Record that a worker has ended that was silent since a time.

        Ends the runs that the worker had in that silence. Unless another
        worker has replaced it on its machine, it may start again and carry
        out a late start.
        """
        session = self.sessions.get(name)
        if session is not None:
            session.record_machine_down(since_s, found)
        evidence = OUTAGE if found.in_outage else UNOBSERVED
        now_s = self.context.clock()
        for key, orphan in list(self._orphans.items()):
            if orphan.worker != name or orphan.adopted_s > since_s:
                continue
            if found.replaced or now_s >= orphan.late_start_until_s:
                self._end_orphan(key, orphan, evidence)

    def has_older_peer(self, worker: str, born_unix_s: float) -> bool:
        """Return whether a worker beside another one has run since a time.

        It is in the same failure domain and rack, so an outage of all of them
        would have ended it too.
        """
        session = self.sessions.get(worker)
        if session is None:
            return False
        place = session.worker.failure_domain, session.worker.rack
        return any(
            peer.reachable
            and 0 < peer.incarnation <= born_unix_s * MILLISECONDS_PER_S
            and (peer.worker.failure_domain, peer.worker.rack) == place
            for peer in self.sessions.values()
        )

    def has_restarted(self, worker: str, incarnation: int) -> bool:
        """Return whether a later incarnation of a worker has answered.

        The numbers of both have to be known.
        """
        session = self.sessions.get(worker)
        return session is not None and 0 < incarnation < session.incarnation

    def leaving_workers(self) -> dict[str, float]:
        """Return the draining workers with the seconds until they leave."""
        found = {
            name: session.leaves_in_s()
            for name, session in self.sessions.items()
        }
        return {n: left for n, left in found.items() if left is not None}

    def end_expired_orphans(self) -> None:
        """End runs of unlisted workers whose leases have expired."""
        now_s = self.context.clock()
        for key, orphan in list(self._orphans.items()):
            if now_s >= orphan.expires_s:
                self._end_orphan(key, orphan, LEASE_EXPIRED)

    def _end_orphan(self, key: RunKey, orphan: Orphan, evidence: str) -> None:
        del self._orphans[key]
        end = EndReport(0, key, ENDED_LAPSED, "", evidence)
        self.owner.record_end(orphan.worker, end)

    def is_reachable(self, worker: str) -> bool:
        """Return whether a worker is reachable."""
        session = self.sessions.get(worker)
        return session is not None and session.reachable

    def run_obstacle(
        self, key: RunKey, unit: Unit, member: Member, now_s: float
    ) -> RunObstacle:
        """Return what the run of a unit's member waits for."""
        orphan = self._orphans.get(key)
        if orphan is not None:
            left_s = max(0.0, orphan.expires_s - now_s)
            return RunObstacle(UNLISTED_LEASE_EXPIRY, left_s)
        session = self.sessions.get(member.worker)
        if session is None:
            return RunObstacle(UNCOUNTED)
        return find_obstacle(session, key, unit, now_s)

    def record_run_outcome(
        self, worker: str, job: AcceptedJob, how: str, started_s: float
    ) -> None:
        """Update a worker's health from the outcome of a run."""
        session = self.sessions.get(worker)
        if session is None:
            return
        if how == ENDED_DONE:
            session.health.record_done(started_s)
        elif how == ENDED_FAILED:
            now_s = self.context.clock()
            if session.health.record_failed(job, started_s, now_s):
                self._log_suspected(
                    session, "runs of several jobs failed in a row"
                )

    def suspect_stalled(self, unit: Unit, members: list[Member]) -> None:
        """Let workers with stalled members back off.

        If all of several members are stalled, they may be waiting for
        something else, so their workers are only avoided by this unit.
        """
        for member in members:
            unit.avoid.add(member.worker)
            session = self.sessions.get(member.worker)
            is_worker_fault = len(members) == 1 or len(members) < len(
                unit.members
            )
            if session is None or not is_worker_fault:
                continue
            now_s = self.context.clock()
            if session.health.record_unhealthy(unit.started_s, now_s):
                self._log_suspected(session, "a run makes no progress")

    def suspect_slow(self, workers: set[str]) -> set[str]:
        """Exclude slow workers from starts; return those of them in backoff.

        Only a limited share of all workers is excluded at once, in case they
        are slow because of the load.
        """
        now_s = self.context.clock()
        limit = max(1, int(len(self.sessions) * SLOW_SHARE_LIMIT))
        in_backoff = {
            name
            for name, session in self.sessions.items()
            if not session.health.may_start(now_s)
        }
        found = set()
        for name in sorted(workers):
            session = self.sessions.get(name)
            if session is None:
                continue
            if name not in in_backoff:
                if len(in_backoff) >= limit:
                    continue
                in_backoff.add(name)
                session.health.record_slow(now_s)
                self._log_suspected(session, "all its runs are slow")
            found.add(name)
        return found

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            name: {
                "usable": session.usable(),
                "flags": list(session.unusable_reasons()),
                "used": list(session.load.used),
                "runs": len(session.load.runs),
            }
            for name, session in self.sessions.items()
        }

    def _adopt_orphans(self, session: WorkerSession) -> None:
        """Count a newly listed worker's orphaned runs in its session."""
        now_s = self.context.clock()
        for key, orphan in list(self._orphans.items()):
            if orphan.worker != session.worker.name:
                continue
            del self._orphans[key]
            demand = self.owner.demand_of(key)
            if demand is not None:
                settled = now_s >= orphan.late_start_until_s
                session.adopt(key, demand, settled)

    def _log_suspected(self, session: WorkerSession, reason: str) -> None:
        until_s = session.health.backoff_until_s
        log(
            WORKER_SUSPECTED,
            worker=session.worker.name,
            reason=reason,
            rest_s=round(until_s - self.context.clock(), 1),
        )

"""A run without news tells what it waits for."""

from collections.abc import Callable

from pytest import MonkeyPatch, approx, mark
from trio import sleep

from damaskstall.tasks.events import RUN_OVERDUE
from damaskstall.tasks.holder import TaskHolder
from damaskstall.tasks.overdue_runs import REPORT_LIMIT_S
from damaskstall.tasks.progress import Unit
from damaskstall.tasks.run_obstacles import (
    LATE_START,
    LEASE_EXPIRY,
    REPORT,
    START_COMMAND,
    STORE,
    UNCOUNTED,
    UNLISTED_LEASE_EXPIRY,
    RunObstacle,
    find_obstacle,
)
from damaskstall.tasks.worker_lease import (
    LATE_COMMAND_LIMIT_S,
    lease_limit_s,
)
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.session_fakes import (
    DEMAND,
    LEASE_S,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
)
from tests.virtual_time import run_virtual

KEY = run_key(0)
NOW_S = 100.0
Lines = list[dict[str, object]]


def stored_unit() -> Unit:
    """Return a unit whose first run is stored."""
    unit = Unit(0, 0, 0)
    unit.run = unit.stored_run = 1
    return unit


def session_with_run() -> WorkerSession:
    """Return a session with a reachable worker on which a run was placed."""
    session = open_session(FakeWorker(), RecordingOwner())
    session.fenced = session.reachable = True
    session.load.add(KEY, DEMAND)
    session.expected.add_launched(KEY, 0.0)
    return session


def send_start(session: WorkerSession) -> None:
    """Let a start command be sent now, without an answer."""
    session.expected.mark_sent(KEY, 0.0)
    session.late_starts.begin(KEY, NOW_S)


def lose_worker(session: WorkerSession) -> None:
    """Let a start be sent without an answer, and the worker be silent."""
    send_start(session)
    session.reachable = False
    session.lease.expires_s = NOW_S + 1.0


def answer_start(session: WorkerSession) -> None:
    """Let the start command be answered."""
    session.expected.mark_sent(KEY, 0.0)


def drop_run(session: WorkerSession) -> None:
    """Let the session not count the run."""
    session.load.remove(KEY)


LOST_S = LATE_COMMAND_LIMIT_S + lease_limit_s(LEASE_S)


@mark.parametrize(
    "change, obstacle",
    [
        (lambda session: None, RunObstacle(START_COMMAND)),
        (send_start, RunObstacle(LATE_START, LATE_COMMAND_LIMIT_S)),
        (lose_worker, RunObstacle(LEASE_EXPIRY, LOST_S)),
        (answer_start, RunObstacle(REPORT)),
        (drop_run, RunObstacle(UNCOUNTED)),
    ],
)
def test_obstacles_are_told_apart(
    change: Callable[[WorkerSession], None], obstacle: RunObstacle
) -> None:
    async def scenario() -> None:
        session = session_with_run()
        change(session)
        found = find_obstacle(session, KEY, stored_unit(), NOW_S)
        assert found.waits_for == obstacle.waits_for
        assert found.left_s == approx(obstacle.left_s)

    run_virtual(scenario)


def test_run_whose_placement_is_not_stored_waits_for_the_store() -> None:
    async def scenario() -> None:
        unit = stored_unit()
        unit.stored_run = 0
        found = find_obstacle(session_with_run(), KEY, unit, NOW_S)
        assert found == RunObstacle(STORE)

    run_virtual(scenario)


def test_expired_lease_has_no_time_left() -> None:
    async def scenario() -> None:
        session = session_with_run()
        session.reachable = False
        session.lease.expires_s = NOW_S - 5.0
        found = find_obstacle(session, KEY, stored_unit(), NOW_S)
        assert found == RunObstacle(LEASE_EXPIRY, 0.0)

    run_virtual(scenario)


def record_lines(monkeypatch: MonkeyPatch) -> Lines:
    """Collect the fields of the lines about overdue runs."""
    lines: Lines = []

    def record_event(event: object, **fields: object) -> None:
        if event is RUN_OVERDUE:
            lines.append(fields)

    monkeypatch.setattr("damaskstall.tasks.run_log.log", record_event)
    return lines


def holder_of(cluster: Cluster) -> TaskHolder:
    """Return the present holder of a cluster."""
    name = cluster.holder()
    assert name is not None
    holder = cluster.nodes[name].election.holder
    assert holder is not None
    return holder


def test_line_of_an_overdue_run_names_the_lease_of_its_silent_worker(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=30.0)
        await cluster.wait(lambda: cluster.history.runs)
        await sleep(1.0)
        cluster.disconnect_worker(cluster.history.runs[0].worker)
        await cluster.wait(lambda: lines)
        assert lines[0]["waits_for"] == LEASE_EXPIRY
        left_s = lease_limit_s(LEASE_S) - REPORT_LIMIT_S
        assert lines[0]["left_s"] == approx(left_s, abs=1.0)

    run_scenario(scenario)


def test_line_of_an_overdue_run_names_the_store(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)

    async def scenario(cluster: Cluster) -> None:
        writer = holder_of(cluster).writer
        monkeypatch.setattr(writer, "add", lambda progress: None)
        await cluster.submit(job_id(1), [ONE_TASK])
        await cluster.wait(lambda: lines)
        assert lines[0]["waits_for"] == STORE
        assert lines[0]["left_s"] is None

    run_scenario(scenario)


def test_run_on_an_unlisted_worker_waits_for_its_lease() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=60.0)
        await cluster.wait(lambda: cluster.history.runs)
        await sleep(1.0)
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        cluster.store.remove("servers", name)
        first = cluster.holder()
        assert first is not None
        cluster.kill_node(first)
        await cluster.wait(lambda: cluster.holder() not in (None, first))
        holder = holder_of(cluster)
        progress = holder.jobs[job_id(1)]
        unit = next(progress.all_units())
        found = holder.pool.run_obstacle(
            progress.run_key(unit, 0),
            unit,
            unit.members[0],
            holder.context.clock(),
        )
        assert found.waits_for == UNLISTED_LEASE_EXPIRY
        assert found.left_s is not None and found.left_s > 0

    run_scenario(scenario)

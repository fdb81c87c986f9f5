"""A worker names each of the flags that keep new runs from it."""

from collections.abc import Callable

from pytest import mark

from damaskstall.tasks.worker_flags import (
    ALL_FLAGS,
    CLOSED,
    EVACUATED,
    IN_BACKOFF,
    LEAVING,
    NOT_FENCED,
    NOT_LISTED,
    OUTDATED_ENTRY,
    UNKNOWN_RUNS,
    UNREACHABLE,
)
from damaskstall.tasks.worker_session import WorkerSession
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.session_fakes import FakeWorker, RecordingOwner, open_session
from tests.virtual_time import run_virtual

Change = Callable[[WorkerSession], None]


def set_field(name: str, value: object) -> Change:
    """Return a change that sets one attribute of a session."""
    return lambda session: setattr(session, name, value)


def set_leaving(session: WorkerSession) -> None:
    """Let the worker's entry state that it drains."""
    session.worker = session.worker._replace(leaving=True)


def set_backoff(session: WorkerSession) -> None:
    """Let the worker's runs have failed."""
    session.health.record_unhealthy(session.clock(), session.clock())


CHANGES: dict[str, Change] = {
    NOT_FENCED: set_field("fenced", False),
    UNREACHABLE: set_field("reachable", False),
    CLOSED: set_field("closed", True),
    UNKNOWN_RUNS: set_field("has_unknown_runs", True),
    NOT_LISTED: set_field("listed", False),
    OUTDATED_ENTRY: set_field("incarnation", 2),
    LEAVING: set_leaving,
    IN_BACKOFF: set_backoff,
}


def usable_session() -> WorkerSession:
    """Return a session with a worker that may get new runs."""
    session = open_session(FakeWorker(), RecordingOwner())
    session.fenced = session.reachable = True
    return session


@mark.parametrize("flag", CHANGES)
def test_each_flag_alone_makes_a_worker_unusable(flag: str) -> None:
    async def scenario() -> None:
        session = usable_session()
        assert session.unusable_reasons() == ()
        assert session.usable()
        CHANGES[flag](session)
        assert session.unusable_reasons() == (flag,)
        assert not session.usable()

    run_virtual(scenario)


def test_all_flags_are_named_in_order() -> None:
    async def scenario() -> None:
        session = usable_session()
        for change in CHANGES.values():
            change(session)
        assert (*session.unusable_reasons(), EVACUATED) == ALL_FLAGS

    run_virtual(scenario)


def test_pool_adds_the_evacuation_of_a_failure_domain() -> None:
    async def scenario(cluster: Cluster) -> None:
        name = cluster.holder()
        assert name is not None
        holder = cluster.nodes[name].election.holder
        assert holder is not None
        states = holder.pool.worker_states({"fd1"})
        assert {s.capacity.worker.name: s.flags for s in states} == {
            "w00": (),
            "w01": (),
            "w10": (EVACUATED,),
            "w11": (EVACUATED,),
        }
        usable = {
            capacity.worker.name
            for capacity in holder.pool.free_capacities({"fd1"})
        }
        assert usable == {"w00", "w01"}

    run_scenario(scenario)

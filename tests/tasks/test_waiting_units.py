"""Units that could start and wait are logged with the reason, and counted."""

from pytest import MonkeyPatch, approx, mark
from trio import sleep

from damaskstall.events import Event
from damaskstall.tasks.events import UNIT_WAITING
from damaskstall.tasks.holder import TaskHolder
from damaskstall.tasks.metrics import (
    LONGEST_WAIT_SECONDS,
    NO_LABELS,
    WORKERS_BY_FLAG,
)
from damaskstall.tasks.reservations import NOTHING_KEPT
from damaskstall.tasks.wait_reasons import (
    FRAGMENTED,
    LEASE_NOT_HELD,
    NO_WORKER_WITH_LABEL,
    STORE_FAILING,
    UNUSABLE_WORKERS,
    USED,
    WorkerState,
)
from damaskstall.tasks.waiting_units import (
    CHECK_INTERVAL_S,
    LINES_PER_CHECK,
    NO_FLAG,
    STEP_LINE_INTERVAL_S,
    WAIT_LIMIT_S,
    RoundView,
    WaitingUnits,
)
from damaskstall.tasks.worker_flags import (
    IN_BACKOFF,
    LEAVING,
    UNREACHABLE,
)
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.fleet import BULK, NORMAL, URGENT, Fleet, task
from tests.tasks.job_specs import ONE_TASK, job_id

Lines = list[dict[str, object]]


def record_lines(monkeypatch: MonkeyPatch) -> Lines:
    """Collect the fields of the logged waits."""
    lines: Lines = []

    def record_event(event: Event, **fields: object) -> None:
        assert event is UNIT_WAITING
        lines.append(fields)

    monkeypatch.setattr("damaskstall.tasks.waiting_units.log", record_event)
    return lines


def view_of(fleet: Fleet, obstacle: str = "") -> RoundView:
    """Return what a check sees of a fleet whose workers are all usable."""
    states = [WorkerState(each, ()) for each in fleet.free_capacities()]
    return RoundView(fleet.current_input(), states, NOTHING_KEPT, obstacle)


def check_for(
    waiting: WaitingUnits, fleet: Fleet, start_s: float, end_s: float
) -> None:
    """Check at each interval from ``start_s`` to before ``end_s``."""
    now_s = start_s
    while now_s < end_s:
        waiting.check(view_of(fleet), now_s)
        now_s += CHECK_INTERVAL_S


def holder_of(cluster: Cluster) -> TaskHolder:
    """Return the present holder of a cluster."""
    name = cluster.holder()
    assert name is not None
    holder = cluster.nodes[name].election.holder
    assert holder is not None
    return holder


def longest_wait_s() -> float:
    """Return the present value of the metric."""
    value = LONGEST_WAIT_SECONDS.get(NO_LABELS)
    assert isinstance(value, int | float)
    return value


def test_step_is_logged_with_its_demand_and_the_free_capacity(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    fleet = Fleet(racks=1, per_rack=2)
    for worker in ("w00", "w01"):
        fleet.run_on(fleet.add(BULK, task(4)), worker)
    job = fleet.add(NORMAL, task(8, task_count=5))
    waiting = WaitingUnits()
    waiting.check(view_of(fleet), WAIT_LIMIT_S - 0.1)
    assert not lines
    waiting.check(view_of(fleet), WAIT_LIMIT_S)
    assert lines == [
        {
            "job": job.job_id,
            "step": 0,
            "index": 0,
            "occurrence": 0,
            "units": 5,
            "waited_s": WAIT_LIMIT_S,
            "queue": NORMAL,
            "tasks": 1,
            "cpu_millicores": 1000,
            "memory_mb": 1000,
            "accelerators": 8,
            "reason": FRAGMENTED,
            "eligible": 2,
            "usable": 2,
            "unusable": "",
            "free_cpu_millicores": 126_000,
            "free_memory_mb": 522_288,
            "free_accelerators": 8,
        }
    ]
    assert longest_wait_s() == WAIT_LIMIT_S


@mark.parametrize("obstacle", [LEASE_NOT_HELD, STORE_FAILING])
def test_without_a_round_its_obstacle_is_the_reason(
    monkeypatch: MonkeyPatch, obstacle: str
) -> None:
    lines = record_lines(monkeypatch)
    fleet = Fleet(racks=1, per_rack=1)
    fleet.add(NORMAL, task(1))
    WaitingUnits().check(view_of(fleet, obstacle), WAIT_LIMIT_S)
    assert [line["reason"] for line in lines] == [obstacle]


def test_each_step_is_logged_again_only_after_some_seconds(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    fleet = Fleet(racks=1, per_rack=1)
    fleet.add(NORMAL, task(8, required_label="gold"))
    check_for(WaitingUnits(), fleet, 0.0, WAIT_LIMIT_S + 10.0)
    assert [line["waited_s"] for line in lines] == [
        WAIT_LIMIT_S,
        WAIT_LIMIT_S + STEP_LINE_INTERVAL_S,
    ]


def test_number_of_lines_is_limited_and_urgent_steps_come_first(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    fleet = Fleet(racks=1, per_rack=1)
    fleet.run_on(fleet.add(BULK, task(8)), "w00")
    for _ in range(20):
        fleet.add(BULK, task(8))
    urgent = fleet.add(URGENT, task(8))
    waiting = WaitingUnits()
    waiting.check(view_of(fleet), 60.0)
    assert len(lines) == LINES_PER_CHECK
    assert lines[0]["job"] == urgent.job_id
    check_for(waiting, fleet, 61.0, 64.0)
    assert len(lines) == 4 * LINES_PER_CHECK
    assert len({line["job"] for line in lines}) == len(lines)


def test_wait_counts_from_the_end_of_the_last_run() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add(NORMAL, task(8))
    waiting = WaitingUnits()
    waiting.check(view_of(fleet), 10.0)
    assert longest_wait_s() == 10.0
    fleet.run_on(job, "w00")
    next(job.all_units()).members = []
    waiting.check(view_of(fleet), 20.0)
    assert longest_wait_s() == 0.0
    waiting.check(view_of(fleet), 21.0)
    assert longest_wait_s() == 1.0


def test_wait_of_a_later_step_counts_from_its_release() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add(NORMAL, task(8), task(8, after=(0,)))
    waiting = WaitingUnits()
    waiting.check(view_of(fleet), 10.0)
    next(job.all_units()).done = True
    check_for(waiting, fleet, 11.0, 14.0)
    assert longest_wait_s() == 2.0


def test_cancelled_job_does_not_wait() -> None:
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.add(NORMAL, task(8))
    waiting = WaitingUnits()
    waiting.check(view_of(fleet), 10.0)
    job.cancelled = True
    waiting.check(view_of(fleet), 11.0)
    assert longest_wait_s() == 0.0


def test_workers_are_counted_by_flag() -> None:
    fleet = Fleet(racks=1, per_rack=3)
    flags = ((UNREACHABLE, IN_BACKOFF), (IN_BACKOFF,), ())
    states = [
        WorkerState(each, names)
        for each, names in zip(fleet.free_capacities(), flags, strict=True)
    ]
    waiting = WaitingUnits()
    waiting.check(view_of(fleet)._replace(workers=states), 1.0)
    counts = [
        WORKERS_BY_FLAG.get({"flag": flag})
        for flag in (UNREACHABLE, IN_BACKOFF, NO_FLAG)
    ]
    assert counts == [1, 2, 1]
    waiting.reset_metrics()
    assert WORKERS_BY_FLAG.get({"flag": IN_BACKOFF}) == 0


def register_all(cluster: Cluster, state: str) -> None:
    """Write the entries of all workers with a state."""
    for worker in cluster.workers.values():
        cluster.register_worker(worker, state)


def test_job_that_needs_unusable_workers_is_logged_by_the_holder(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)

    async def scenario(cluster: Cluster) -> None:
        register_all(cluster, "draining")
        await sleep(1.0)
        await cluster.submit(job_id(1), [ONE_TASK])
        await cluster.wait(lambda: lines)
        assert lines[0]["reason"] == UNUSABLE_WORKERS
        assert lines[0]["unusable"] == f"{LEAVING}=4"
        assert WORKERS_BY_FLAG.get({"flag": LEAVING}) == 4
        assert lines[0]["waited_s"] == approx(WAIT_LIMIT_S, abs=1.1)
        count = len(lines)
        register_all(cluster, "ready")
        await cluster.wait_state(job_id(1), "completed")
        await sleep(STEP_LINE_INTERVAL_S + 1.0)
        assert len(lines) == count
        assert longest_wait_s() == 0.0

    run_scenario(scenario)


def test_jobs_beyond_the_capacity_are_logged_as_such(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)

    async def scenario(cluster: Cluster) -> None:
        whole = {**ONE_TASK, "gpus": 8, "count": 5}
        await cluster.submit(job_id(1), [whole], work_s=8.0)
        labelled = {**ONE_TASK, "requirements": "gold"}
        await cluster.submit(job_id(2), [labelled])
        await sleep(7.0)
        reasons = {str(line["job"]): line["reason"] for line in lines}
        assert reasons == {job_id(1): USED, job_id(2): NO_WORKER_WITH_LABEL}

    run_scenario(scenario)

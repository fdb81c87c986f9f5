"""A run without news is logged once and counted while it stays so."""

from collections.abc import Iterator
from contextlib import contextmanager

from pytest import MonkeyPatch
from trio import sleep

from damaskstall.events import Event
from damaskstall.tasks.events import RUN_OVERDUE
from damaskstall.tasks.metrics import NO_LABELS, RUNS_OVERDUE
from damaskstall.tasks.overdue_runs import LINES_PER_CHECK
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, ONE_TASK, job_id

MANY_TASKS = {**ONE_TASK, "count": 2 * LINES_PER_CHECK, "gpus": 0}


@contextmanager
def overdue_lines(monkeypatch: MonkeyPatch) -> Iterator[list[object]]:
    """Collect the indices of the tasks whose runs are logged as overdue."""
    indices: list[object] = []

    def record_event(event: Event, **fields: object) -> None:
        if event is RUN_OVERDUE:
            indices.append(fields["index"])

    with monkeypatch.context() as patch:
        patch.setattr("damaskstall.tasks.run_log.log", record_event)
        yield indices


def overdue_count() -> float:
    """Return the present value of the metric."""
    value = RUNS_OVERDUE.get(NO_LABELS)
    assert isinstance(value, int | float)
    return value


def test_runs_of_a_silent_worker_become_overdue_once(
    monkeypatch: MonkeyPatch,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        with overdue_lines(monkeypatch) as lines:
            await cluster.submit(job_id(1), [FOUR_TASKS], work_s=12.0)
            await cluster.wait(lambda: len(cluster.history.runs) == 4)
            await sleep(6.0)
            assert (lines, overdue_count()) == ([], 0)
            name = cluster.history.runs[0].worker
            silent = [r for r in cluster.history.runs if r.worker == name]
            cluster.disconnect_worker(name)
            await sleep(6.5)
            assert len(lines) == len(silent) == overdue_count()
            cluster.reconnect_worker(name)
            await cluster.wait_state(job_id(1), "completed")
            await sleep(1.0)
            assert len(lines) == len(silent)
            assert overdue_count() == 0

    run_scenario(scenario)


def test_run_that_waits_for_the_store_becomes_overdue(
    monkeypatch: MonkeyPatch,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        with overdue_lines(monkeypatch) as lines:
            holder = cluster.holder()
            assert holder is not None
            running = cluster.nodes[holder].election.holder
            assert running is not None
            monkeypatch.setattr(running.writer, "add", lambda progress: None)
            await cluster.submit(job_id(1), [ONE_TASK])
            await sleep(6.0)
            assert (lines, overdue_count()) == ([0], 1)

    run_scenario(scenario)


def test_many_overdue_runs_are_counted_at_once_and_logged_in_turn(
    monkeypatch: MonkeyPatch,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        with overdue_lines(monkeypatch) as lines:
            await cluster.submit(job_id(1), [MANY_TASKS], work_s=12.0)
            count = len(cluster.history.runs)
            await cluster.wait(lambda: len(cluster.history.runs) == 20)
            for name in cluster.workers:
                cluster.disconnect_worker(name)
            await cluster.wait(lambda: overdue_count() == 20)
            assert count < len(lines) <= LINES_PER_CHECK
            await sleep(1.5)
            assert sorted(map(str, lines)) == sorted(map(str, range(20)))

    run_scenario(scenario)


def test_metric_is_reset_when_the_holder_ends(
    monkeypatch: MonkeyPatch,
) -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=12.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        for name in cluster.workers:
            cluster.disconnect_worker(name)
        await cluster.wait(lambda: overdue_count() == 4)
        holder = cluster.holder()
        assert holder is not None
        await cluster.stop_node(holder)
        assert overdue_count() == 0

    run_scenario(scenario)

"""Backoff of workers from the outcomes of their runs."""

from damaskstall.tasks.model import AcceptedJob, JobDeclaration
from damaskstall.tasks.worker_health import (
    BACKOFF_LIMIT_S,
    FAILURE_BACKOFF_S,
    PROBE_INTERVAL_LIMIT_S,
    PROBE_INTERVAL_S,
    REFUSAL_BACKOFF_S,
    WorkerHealth,
)
from tests.tasks.fleet import BULK, SERVICE, task

LONG_ROW = 2000


def job(number: int) -> AcceptedJob:
    """Return a job with a number as its ID."""
    declaration = JobDeclaration("text", (task(1),))
    return AcceptedJob(
        f"{number:016x}", BULK, SERVICE, "blue", 0.0, declaration
    )


def failing_worker(now_s: float) -> WorkerHealth:
    """Return a worker on which two jobs have failed by now."""
    health = WorkerHealth()
    health.record_failed(job(1), now_s - 1.0, now_s)
    health.record_failed(job(2), now_s - 1.0, now_s)
    return health


def test_ends_that_arrive_together_back_off_once() -> None:
    health = failing_worker(10.0)
    for number in range(3, 9):
        assert not health.record_failed(job(number), 9.0, 10.0)
    health.record_unhealthy(9.0, 10.0)
    assert health.backoff_until_s == 10.0 + FAILURE_BACKOFF_S


def test_late_end_of_a_run_from_before_the_backoff_changes_nothing() -> None:
    health = failing_worker(10.0)
    for now_s in (12.0, 10.0 + FAILURE_BACKOFF_S + 1.0):
        assert not health.record_failed(job(3), 9.9, now_s)
    assert health.backoff_until_s == 10.0 + FAILURE_BACKOFF_S


def test_failed_probe_extends_the_backoff_without_doubling_it() -> None:
    health = failing_worker(10.0)
    assert health.record_failed(job(3), 12.0, 13.0)
    assert health.backoff_until_s == 13.0 + FAILURE_BACKOFF_S


def test_failure_of_a_run_started_after_the_backoff_doubles_it() -> None:
    health = failing_worker(10.0)
    ended_s = health.backoff_until_s
    assert health.record_failed(job(3), ended_s, ended_s + 1.0)
    assert health.backoff_until_s == ended_s + 1.0 + 2 * FAILURE_BACKOFF_S


def test_refusals_that_arrive_together_back_off_once() -> None:
    health = WorkerHealth()
    for _ in range(8):
        health.record_refused(9.9, 10.0)
    assert health.backoff_until_s == 10.0 + REFUSAL_BACKOFF_S


def test_long_row_of_refusals_stays_within_the_limit() -> None:
    health = WorkerHealth()
    for _ in range(LONG_ROW):
        now_s = max(0.0, health.backoff_until_s)
        health.record_refused(now_s, now_s)
    assert health.backoff_until_s == now_s + BACKOFF_LIMIT_S


def test_worker_in_backoff_gets_one_probe_at_a_time() -> None:
    health = failing_worker(10.0)
    assert health.may_probe(10.5)
    health.record_placed(10.5)
    assert not health.may_probe(10.6)
    assert health.may_probe(10.5 + PROBE_INTERVAL_S)


def test_worker_that_fails_its_probes_is_probed_ever_less_often() -> None:
    health = failing_worker(10.0)
    now_s = 10.5
    for interval_s in (PROBE_INTERVAL_S, 2 * PROBE_INTERVAL_S):
        health.record_placed(now_s)
        assert health.may_probe(now_s + interval_s)
        health.record_failed(job(3), now_s, now_s + 0.1)
        assert not health.may_probe(now_s + interval_s)
        now_s += PROBE_INTERVAL_LIMIT_S
        assert health.may_probe(now_s)


def test_run_started_in_the_backoff_ends_it_when_done() -> None:
    health = failing_worker(10.0)
    health.record_done(10.5)
    assert health.may_start(11.0)


def test_run_from_before_the_backoff_does_not_end_it_when_done() -> None:
    health = failing_worker(10.0)
    health.record_done(9.5)
    assert not health.may_start(11.0)


def test_accepted_start_ends_the_backoff_after_refusals() -> None:
    health = WorkerHealth()
    health.record_refused(9.9, 10.0)
    health.record_started(9.9)
    assert not health.may_start(10.1)
    health.record_started(10.0)
    assert health.may_start(10.1)

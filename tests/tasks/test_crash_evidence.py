"""Which crashes of workers tell against the tasks that ran on them."""

from pytest import mark

from damaskstall.tasks.crash_evidence import (
    ENDLESS_HOLD_S,
    HOLD_S,
    NEAR_S,
    WORKER_MEMORY_S,
    RunRecord,
    WorkerCrash,
    hold_s,
    is_doubtful,
    is_given_up,
)
from damaskstall.tasks.expected_runs import LISTED_AFTER_S, ExpectedRuns
from damaskstall.tasks.ports import (
    LEASE_EXPIRED,
    MACHINE_DOWN,
    OUTAGE,
    REPLACED,
    UNSEEN,
)
from tests.tasks.session_fakes import run_key

KEY = run_key(0)


@mark.parametrize(
    ("crashed", "doubtful", "given_up"),
    [
        (set(), set(), False),
        ({1, 2, 3}, set(), False),
        ({1, 2, 3, 4}, set(), True),
        ({1, 4, 7, 9}, set(), True),
        ({1, 2, 3, 4}, {2}, False),
        ({1, 2, 3, 4}, {1, 2, 3, 4}, False),
        ({1, 2, 3, 4, 5}, {2}, True),
    ],
)
def test_task_is_given_up_after_four_crashes_that_are_not_doubtful(
    crashed: set[int], doubtful: set[int], given_up: bool
) -> None:
    assert (
        is_given_up(RunRecord(max(crashed, default=0), crashed, doubtful))
        == given_up
    )


@mark.parametrize("crashed", [{1, 2, 3, 4, 5}, {1, 2, 3, 5}, {1, 3, 4, 5}])
def test_no_task_is_started_three_times_after_three_doubtful_crashes(
    crashed: set[int],
) -> None:
    """A run that is not known to be harmless may have crashed its worker."""
    assert is_given_up(RunRecord(max(crashed), crashed, crashed))


def test_runs_that_crashed_no_worker_use_up_no_start() -> None:
    crashed = {2, 4, 5, 8}
    record = RunRecord(8, crashed, crashed, unstarted={1, 6, 7}, harmless={3})
    assert not is_given_up(record)


def test_harmless_run_after_three_crashes_uses_up_a_start() -> None:
    crashed = {1, 2, 3, 5}
    assert is_given_up(RunRecord(5, crashed, crashed, harmless={4}))


def test_run_that_was_lost_with_others_uses_up_a_start() -> None:
    crashed = {1, 2, 3, 4}
    assert not is_given_up(RunRecord(4, crashed, crashed))
    assert is_given_up(RunRecord(5, crashed, crashed))
    assert not is_given_up(RunRecord(5, crashed, crashed, unstarted={5}))


def test_crash_that_another_holder_has_stored_is_no_harmless_run() -> None:
    crashed = {1, 2, 3, 4}
    record = RunRecord(0, crashed, crashed, unstarted={2}, harmless={1, 3})
    assert not is_given_up(record)


def test_run_that_lists_lack_after_its_start_is_unseen() -> None:
    expected = ExpectedRuns()
    expected.add_launched(KEY, not_after_s=1.5)
    expected.mark_sent(KEY, 1.0)
    expected.record_lists(set(), 1.0 + LISTED_AFTER_S)
    assert expected.loss_evidence(KEY, REPLACED) == UNSEEN
    assert expected.loss_evidence(KEY, MACHINE_DOWN) == UNSEEN
    assert expected.loss_evidence(KEY, OUTAGE) == OUTAGE
    assert expected.loss_evidence(KEY, LEASE_EXPIRED) == LEASE_EXPIRED


def test_run_whose_start_was_sent_after_the_lists_may_have_existed() -> None:
    expected = ExpectedRuns()
    expected.add_launched(KEY, not_after_s=1.5)
    expected.mark_sent(KEY, 1.0)
    expected.record_lists(set(), 1.0 + LISTED_AFTER_S / 2)
    assert expected.loss_evidence(KEY, REPLACED) == REPLACED
    expected.record_lists(set(), 2.0)
    expected.mark_sent(KEY, 2.1)
    assert expected.loss_evidence(KEY, REPLACED) == REPLACED


def test_run_that_its_worker_listed_or_answered_existed() -> None:
    expected = ExpectedRuns()
    expected.add_launched(KEY, not_after_s=1.5)
    expected.mark_sent(KEY, 1.0)
    expected.record_lists({KEY}, 2.0)
    assert expected.loss_evidence(KEY, REPLACED) == REPLACED
    expected.confirm(KEY, 101.0)
    expected.record_lists(set(), 3.0)
    assert expected.loss_evidence(KEY, REPLACED) == REPLACED


def crash(worker: str, noticed_s: float) -> WorkerCrash:
    """Return a crash of a worker without runs."""
    return WorkerCrash(worker, noticed_s, frozenset())


def test_crash_at_about_the_time_of_others_is_doubtful() -> None:
    assert is_doubtful("w00", [crash("w01", 100.0)], 100.0 + NEAR_S)
    assert not is_doubtful("w00", [crash("w01", 100.0)], 100.1 + NEAR_S)
    assert not is_doubtful("w00", [], 100.0)


def test_crash_of_a_worker_that_crashed_before_is_doubtful() -> None:
    before = [crash("w00", 100.0)]
    assert is_doubtful("w00", before, 100.0 + WORKER_MEMORY_S)
    assert not is_doubtful("w00", before, 100.1 + WORKER_MEMORY_S)
    assert not is_doubtful("w01", before, 100.0 + WORKER_MEMORY_S)


def test_unit_is_held_back_after_three_crashes_if_the_last_is_doubtful() -> (
    None
):
    assert hold_s({1, 2}, {1, 2}, endless=False) == 0.0
    assert hold_s({1, 2, 4}, {4}, endless=False) == HOLD_S
    assert hold_s({1, 2, 4}, {4}, endless=True) == ENDLESS_HOLD_S
    assert hold_s({1, 2, 4}, {1, 2}, endless=False) == 0.0

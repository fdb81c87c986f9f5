"""Which crashes of workers tell against the tasks that ran on them."""

from pytest import mark

from damaskstall.tasks.crash_evidence import is_given_up
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
    assert is_given_up(crashed, doubtful) == given_up


@mark.parametrize("crashed", [{1, 2, 3, 4, 5}, {1, 2, 3, 5}, {2, 6, 7, 9}])
def test_no_task_is_started_three_times_after_three_doubtful_crashes(
    crashed: set[int],
) -> None:
    assert is_given_up(crashed, crashed)


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

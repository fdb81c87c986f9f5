"""Test bounds on the work of a scheduling round with many waiting jobs."""

from cProfile import Profile
from pstats import Stats
from typing import NamedTuple

from pytest import mark

from bench.tasks.round_cost import Backlog, Case, Fleet
from damaskstall.tasks.packing import tasks_that_fit
from damaskstall.tasks.policy import decide

MEDIUM, LARGE = Fleet(8, 12), Fleet(23, 12)
FILLING_ROUNDS = 8
COUNTED_ROUNDS = 8
# Share of the fleet's workers that are examined for each waiting job.
EXAMINED_SHARE = 1 / 6


class Work(NamedTuple):
    """The calls of a round, and how often it examines a worker."""

    calls: float
    examined: float


def work_of_a_round(case: Case, seed: int) -> Work:
    """Return the mean work of a round once the fleet is full."""
    backlog = Backlog(case, seed)
    for _ in range(FILLING_ROUNDS):
        backlog.play_round()
    profile = Profile()
    for _ in range(COUNTED_ROUNDS):
        inputs = backlog.next_input()
        backlog.apply(profile.runcall(decide, inputs, backlog.now_s))
    return Work(
        Stats(profile).total_calls / COUNTED_ROUNDS,  # type: ignore[attr-defined]
        examined_workers(profile) / COUNTED_ROUNDS,
    )


def examined_workers(profile: Profile) -> int:
    """Return how often a worker was examined for tasks that fit."""
    return sum(
        entry.callcount
        for entry in profile.getstats()
        if entry.code is tasks_that_fit.__code__
    )


@mark.parametrize("seed", [1, 2])
@mark.parametrize("fleet", [MEDIUM, LARGE])
def test_waiting_job_does_not_examine_all_workers(
    fleet: Fleet, seed: int
) -> None:
    case = Case(fleet, 200)
    work = work_of_a_round(case, seed)
    limit = case.waiting_jobs * fleet.workers * EXAMINED_SHARE
    assert work.examined <= limit


@mark.parametrize("seed", [1, 2])
def test_work_grows_at_most_linearly_with_waiting_jobs(seed: int) -> None:
    few, many = Case(MEDIUM, 50), Case(MEDIUM, 400)
    growth = many.waiting_jobs / few.waiting_jobs
    work_few = work_of_a_round(few, seed)
    work_many = work_of_a_round(many, seed)
    assert work_many.calls <= growth * work_few.calls
    assert work_many.examined <= growth * work_few.examined

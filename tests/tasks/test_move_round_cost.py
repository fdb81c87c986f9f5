"""Rounds stay short while units wait for which nothing can be moved."""

from cProfile import Profile

from pytest import mark

from damaskstall.tasks.model import Demand, Step
from damaskstall.tasks.packing import tasks_that_fit
from damaskstall.tasks.policy import decide
from tests.tasks.fleet import BULK, NORMAL, Fleet, task
from tests.tasks.test_round_cost import EXAMINED_SHARE

WAITING = 200
NOW_S = 5000.0


def examined_workers(endless: bool, same_shape: bool) -> int:
    """Return how often a round examines a worker for tasks that fit."""
    fleet = Fleet(9, 30)
    for worker in fleet.workers:
        fleet.run_on(fleet.add(BULK, task(1, endless=endless)), worker.name)
        fleet.run_on(fleet.add(BULK, task(4, estimate_s=60.0)), worker.name)
    for number in range(WAITING):
        if same_shape:
            fleet.add(NORMAL, task(8, per_worker_limit=1))
        else:
            demand = Demand(1000 + number, 1000, 8)
            fleet.add(NORMAL, Step(1, demand, 2.0))
    profile = Profile()
    profile.runcall(decide, fleet.current_input(), NOW_S)
    return sum(
        entry.callcount
        for entry in profile.getstats()
        if entry.code is tasks_that_fit.__code__
    )


@mark.parametrize("same_shape", [True, False])
def test_search_for_moves_does_not_examine_all_workers_for_each_job(
    same_shape: bool,
) -> None:
    """The limit is that of ``test_round_cost.py``."""
    limit = WAITING * 270 * EXAMINED_SHARE
    assert examined_workers(False, same_shape) <= limit
    assert examined_workers(True, same_shape) <= limit

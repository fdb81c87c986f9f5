"""Endless tasks leave whole workers to the units that need them."""

from pytest import mark

from damaskstall.tasks.policy import Decision, StartUnit
from damaskstall.tasks.progress import JobProgress
from tests.tasks.fleet import BULK, CAPACITY, NORMAL, Fleet, task


def endless_job(fleet: Fleet, *workers: str) -> list[JobProgress]:
    """Add an endless task of one accelerator on each worker named."""
    jobs = []
    for worker in workers:
        job = fleet.add(NORMAL, task(1, endless=True))
        fleet.run_on(job, worker)
        jobs.append(job)
    return jobs


def started_on(decisions: list[Decision], job: JobProgress) -> list[str]:
    """Return the workers on which a job's units were started."""
    return [
        worker
        for each in decisions
        if isinstance(each, StartUnit) and each.progress is job
        for worker in each.workers
    ]


def shrink(fleet: Fleet, accelerators: int, *workers: str) -> None:
    """Let workers have fewer accelerators than before."""
    smaller = CAPACITY._replace(accelerators=accelerators)
    fleet.workers = [
        each._replace(capacity=smaller) if each.name in workers else each
        for each in fleet.workers
    ]


def test_endless_task_joins_another_instead_of_short_work() -> None:
    """Short work is packed more tightly, but ends and leaves it alone."""
    fleet = Fleet(racks=1, per_rack=3)
    fleet.run_on(fleet.add(BULK, task(6)), "w01")
    endless_job(fleet, "w02")
    job = fleet.add(NORMAL, task(1, endless=True))
    assert started_on(fleet.decide(), job) == ["w02"]


def test_endless_tasks_of_one_round_share_a_worker() -> None:
    fleet = Fleet(racks=1, per_rack=2)
    fleet.run_on(fleet.add(BULK, task(6)), "w00")
    fleet.workers[1] = fleet.workers[1]._replace(labels=frozenset({"gold"}))
    step = task(1, endless=True)
    first = fleet.add(NORMAL, step._replace(required_label="gold"))
    second = fleet.add(NORMAL, step)
    decisions = fleet.decide()
    assert started_on(decisions, first) == ["w01"]
    assert started_on(decisions, second) == ["w01"]


@mark.parametrize("accelerators", [4, 6])
def test_endless_task_prefers_a_shrunk_worker_to_a_whole_one(
    accelerators: int,
) -> None:
    fleet = Fleet(racks=1, per_rack=3)
    fleet.run_on(fleet.add(BULK, task(7)), "w00")
    shrink(fleet, accelerators, "w02")
    job = fleet.add(NORMAL, task(1, endless=True))
    assert started_on(fleet.decide(), job) == ["w02"]

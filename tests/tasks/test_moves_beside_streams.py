"""Units that need moves start beside a stream of short jobs."""

from pytest import mark

from tests.tasks.cluster import BULK, NORMAL, URGENT
from tests.tasks.fleet import all_running, task
from tests.tasks.test_claims import ROUND_S, SlowFleet
from tests.tasks.test_defragmentation import add_now, mark_at_work
from tests.tasks.test_policy import gang

RUN_S = 1.0
STREAM_ROUNDS = 3
# Several times what the same fleet takes without a limit or a stream.
LIMIT_S = 15.0


def gang_starts(
    size: int, queue: str, workers: int, accelerators: int, limit: int
) -> bool:
    """Return whether a gang of whole workers starts beside a bulk stream.

    All workers but one run an endless task of one accelerator, and the stream
    has a task of ``accelerators`` every 0.3 s, which runs for 1 s.
    """
    fleet = SlowFleet(1, workers)
    if queue == URGENT:
        fleet.guarantees = {"blue": 8 * size}
    step = task(1, endless=True, task_count=workers - 1, absent_limit=limit)
    endless = fleet.add(BULK, step)
    names = [worker.name for worker in fleet.workers]
    for unit, name in zip(endless.all_units(), names, strict=False):
        endless.begin_run(unit, [(name, 1)], 0.0)
        unit.members[0].confirmed = True
    mark_at_work(endless)
    job = add_now(fleet, gang(size), queue)
    for number in range(int(LIMIT_S / ROUND_S)):
        if number % STREAM_ROUNDS == 0:
            short = task(accelerators, estimate_s=RUN_S)
            add_now(fleet, short, BULK, team="red")
        fleet.play()
        mark_at_work(endless)
        for other in fleet.jobs[2:]:
            unit = next(other.all_units())
            ran_s = fleet.now_s - unit.started_s
            if unit.members and not unit.stopping and ran_s > RUN_S:
                unit.done = True
                unit.members = []
        if all_running(job):
            return True
    return False


@mark.parametrize("limit", [0, 1, 2])
def test_guaranteed_gang_gets_whole_workers_within_the_limit(
    limit: int,
) -> None:
    """With a limit of 1, neither moves nor preemption alone free enough."""
    assert gang_starts(6, URGENT, 10, 8, limit)


@mark.parametrize("limit", [0, 1])
def test_large_gang_does_not_starve_beside_less_urgent_work(
    limit: int,
) -> None:
    """Without endless tasks it starts after 1 s on reserved workers."""
    assert gang_starts(4, NORMAL, 6, 7, limit)

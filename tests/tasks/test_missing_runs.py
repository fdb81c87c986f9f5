"""A run that a worker's lists lack has ended only if the lists are whole."""

from trio import open_nursery, sleep

from damaskstall.tasks.model import Demand
from tests.tasks.session_fakes import (
    DEMAND,
    FakeWorker,
    RecordingOwner,
    open_session,
    run_key,
    worker_info,
)
from tests.virtual_time import run_virtual

ENDS_PER_ANSWER = 500


def test_run_whose_end_does_not_fit_into_an_answer_is_not_missing() -> None:
    async def main() -> None:
        worker, owner = FakeWorker(), RecordingOwner()
        owner.stores = False
        count = ENDS_PER_ANSWER + 1
        capacity = Demand(*(amount * count for amount in DEMAND))
        info = worker_info()._replace(capacity=capacity)
        session = open_session(worker, owner, info)
        async with open_nursery() as nursery:
            nursery.start_soon(session.run, nursery)
            await session.answered.wait()
            for index in range(count):
                session.reserve(run_key(index), DEMAND)
                await session.launch(run_key(index), "payload", "")
            for index in range(count):
                worker.end_run(run_key(index))
            await sleep(3.0)
            last = owner.ended(run_key(count - 1))
            assert last is None, f"ended because {last.evidence}"
            owner.stores = True
            await sleep(3.0)
            last = owner.ended(run_key(count - 1))
            assert last is not None
            assert last.how == "done"
            nursery.cancel_scope.cancel()

    run_virtual(main)

"""Ends wait only for the rows of their own jobs."""

from trio import move_on_after, open_nursery, sleep, sleep_forever

from damaskstall.errors import TableUnavailableError
from damaskstall.tasks.model import RunKey, TaskKey
from damaskstall.tasks.ports import EndReport
from damaskstall.tasks.unmatched_ends import UnmatchedEnds
from tests.virtual_time import run_virtual


def end_of(job: str) -> EndReport:
    """Return the end of a run of a job."""
    return EndReport(1, RunKey(TaskKey(job, 0, 0, 0), 1), "done", "")


def test_unreadable_row_does_not_delay_the_end_of_another_job() -> None:
    settled: list[str] = []

    async def refresh(job_id: str) -> None:
        await sleep(0.005)
        if job_id == "a":
            raise TableUnavailableError("The part is unavailable.")

    async def main() -> None:
        ends = UnmatchedEnds(
            refresh, lambda worker, end: settled.append(end.key.task.job_id)
        )
        ends.add("w1", end_of("a"))
        ends.add("w2", end_of("b"))
        with move_on_after(5.0):
            await ends.settle_all()

    run_virtual(main)
    assert settled == ["b"]


def test_sessions_that_wait_share_the_reads_of_a_row() -> None:
    """The platform limits reads, and charges for refused ones."""
    reads: list[str] = []

    async def refresh(job_id: str) -> None:
        reads.append(job_id)
        await sleep(0.005)
        raise TableUnavailableError("The part is unavailable.")

    async def main() -> None:
        ends = UnmatchedEnds(refresh, lambda worker, end: None)
        ends.add("w1", end_of("a"))
        with move_on_after(1.0):
            async with open_nursery() as nursery:
                for _ in range(24):
                    nursery.start_soon(ends.settle_all)

    run_virtual(main)
    assert len(reads) <= 20


def test_silent_row_does_not_delay_the_end_of_another_job() -> None:
    """A caller that gives up during a read leaves the rest to the others."""
    settled: list[str] = []

    async def refresh(job_id: str) -> None:
        if job_id == "a":
            await sleep_forever()
        await sleep(0.005)

    async def main() -> None:
        ends = UnmatchedEnds(
            refresh, lambda worker, end: settled.append(end.key.task.job_id)
        )

        async def wait(limit_s: float) -> None:
            with move_on_after(limit_s):
                await ends.settle_all()

        ends.add("w1", end_of("a"))
        ends.add("w2", end_of("b"))
        async with open_nursery() as nursery:
            nursery.start_soon(wait, 0.3)
            await sleep(0.2)
            nursery.start_soon(wait, 0.3)

    run_virtual(main)
    assert settled == ["b"]


def test_sessions_that_give_up_do_not_shorten_the_pause_of_reads() -> None:
    reads: list[str] = []

    async def refresh(job_id: str) -> None:
        reads.append(job_id)
        await sleep(0.005)
        raise TableUnavailableError("The part is unavailable.")

    async def main() -> None:
        ends = UnmatchedEnds(refresh, lambda worker, end: None)
        ends.add("w1", end_of("a"))

        async def wait_again(first_s: float) -> None:
            await sleep(first_s)
            while True:
                with move_on_after(0.3):
                    await ends.settle_all()

        with move_on_after(1.0):
            async with open_nursery() as nursery:
                for number in range(24):
                    nursery.start_soon(wait_again, number * 0.0125)

    run_virtual(main)
    assert 5 <= len(reads) <= 20

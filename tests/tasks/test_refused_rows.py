"""Rows that the store refuses are written again, and hold up no others."""

from json import dumps
from math import inf
from typing import Any

from pytest import MonkeyPatch, mark
from trio import move_on_after, open_nursery, sleep

from damaskstall.errors import TableOutcomeUnknownError
from damaskstall.events import Event
from damaskstall.platform.row_store import encode_transaction
from damaskstall.platform.types import ChangePage, Row, ScanPage, Value, Write
from damaskstall.tasks import progress_writer
from damaskstall.tasks.events import ROW_REFUSED
from damaskstall.tasks.job_rows import encode_progress, progress_row_key
from damaskstall.tasks.job_validation import TASK_LIMIT
from damaskstall.tasks.model import AcceptedJob, Demand, JobDeclaration, Step
from damaskstall.tasks.progress import JobProgress
from damaskstall.tasks.progress_writer import BATCH_LIMIT, PartWriter
from tests.tasks.test_rows import running_job
from tests.virtual_time import run_virtual

CALL_S = 0.005
JOBS = 60
TRANSACTION_LIMIT_BYTES = 1_000_000


class RefusingTable:
    """Table that refuses each transaction with a certain row."""

    def __init__(self) -> None:
        """Refuse nothing."""
        self.refused: set[str] = set()
        self.lost_answers = 0
        self.revision = 1
        self.rows: dict[str, Row] = {}
        self.commits: list[tuple[Write, ...]] = []

    async def read(self, key: str) -> Row | None:
        """Return a row."""
        await sleep(CALL_S)
        return self.rows.get(key)

    async def scan(self, prefix: str, after: str, limit: int) -> ScanPage:
        """Fail: the writer reads single rows."""
        raise AssertionError(prefix)

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Fail: the writer reads single rows."""
        raise AssertionError(prefix)

    async def commit(self, writes: tuple[Write, ...], mutation_id: str) -> int:
        """Write all rows or none; return the new revision."""
        await sleep(CALL_S)
        self.commits.append(writes)
        body = encode_transaction(writes, mutation_id)
        assert len(dumps(body)) < TRANSACTION_LIMIT_BYTES
        if any(write.key in self.refused for write in writes):
            raise TableOutcomeUnknownError("The store answered 413.")
        if self.lost_answers:
            self.lost_answers -= 1
            raise TableOutcomeUnknownError("The answer was lost.")
        self.revision += 1
        for write in writes:
            self.rows[write.key] = Row(
                write.key, self.revision, mutation_id, write.value
            )
        return self.revision


class NoMerges:
    """Conflict handler of a holder that nothing replaces."""

    def may_write(self) -> bool:
        """Return True."""
        return True

    def merge_stored_row(
        self, progress: JobProgress, value: Value | None, revision: int
    ) -> None:
        """Fail: no other process writes."""
        raise AssertionError(f"{progress.job_id} has revision {revision}.")


class Writing:
    """A part's writer with jobs whose rows exist."""

    def __init__(self, jobs: int) -> None:
        """Create jobs with a change that is not in the table."""
        self.table = RefusingTable()
        self.writer = PartWriter(self.table, NoMerges(), 1)
        step = Step(1, Demand(1000, 1000, 1), 2.0)
        declaration = JobDeclaration("text", (step,))
        self.jobs: list[JobProgress] = []
        for number in range(jobs):
            accepted = AcceptedJob(
                f"{number:016x}", "normal", "svc", "b", 0.0, declaration
            )
            self.add(JobProgress(accepted, 1, 0.0))

    def add(self, job: JobProgress) -> None:
        """Add a job with a change that is not in the table."""
        key = progress_row_key(job.job_id)
        self.table.rows[key] = Row(key, 1, "", encode_progress(job))
        job.count_change()
        self.jobs.append(job)
        self.writer.add(job)

    def refuse(self, job: JobProgress) -> None:
        """Refuse a job's row."""
        self.table.refused.add(progress_row_key(job.job_id))

    def unwritten(self) -> list[JobProgress]:
        """Return the jobs whose last change is not in the table."""
        return [j for j in self.jobs if j.stored_changes < j.changes]

    def run(self, seconds: float, refused_s: float = inf) -> None:
        """Write for some time; refuse rows only for ``refused_s``."""
        run_virtual(self._run, seconds, refused_s)

    async def _run(self, seconds: float, refused_s: float) -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(self.writer.run)
            with move_on_after(seconds):
                await sleep(refused_s)
                self.table.refused.clear()
                await sleep(inf)
            nursery.cancel_scope.cancel()


def test_refused_row_is_not_written_without_pause() -> None:
    writing = Writing(jobs=1)
    writing.refuse(writing.jobs[0])
    writing.run(20.0)
    assert 5 <= len(writing.table.commits) <= 25


def test_refused_row_is_logged(monkeypatch: MonkeyPatch) -> None:
    logged: list[tuple[Event, dict[str, Any]]] = []
    monkeypatch.setattr(
        progress_writer, "log", lambda event, **f: logged.append((event, f))
    )
    writing = Writing(jobs=1)
    writing.refuse(writing.jobs[0])
    writing.run(1.0)
    [(event, fields)] = logged
    assert event is ROW_REFUSED
    assert fields["key"] == progress_row_key(writing.jobs[0].job_id)
    assert fields["error"] == "The store answered 413."
    assert fields["size_bytes"] > 0


def test_refused_row_does_not_hold_up_the_others_of_its_part() -> None:
    for refused in (0, 17, JOBS - 1):
        writing = Writing(jobs=JOBS)
        writing.refuse(writing.jobs[refused])
        writing.run(2.5)
        assert writing.unwritten() == [writing.jobs[refused]]


def test_several_refused_rows_do_not_hold_up_the_others() -> None:
    writing = Writing(jobs=JOBS)
    for number in (3, 20, 41):
        writing.refuse(writing.jobs[number])
    writing.run(5.0)
    assert writing.unwritten() == [writing.jobs[n] for n in (3, 20, 41)]


def test_refused_row_is_written_once_the_store_takes_it() -> None:
    writing = Writing(jobs=2)
    writing.refuse(writing.jobs[1])
    writing.run(8.0, refused_s=5.0)
    assert not writing.unwritten()


def test_write_with_a_lost_answer_is_repeated_at_once() -> None:
    writing = Writing(jobs=1)
    writing.table.lost_answers = 1
    writing.run(5 * CALL_S)
    assert not writing.unwritten()


@mark.parametrize("tasks", [30, 130, 500, TASK_LIMIT])
def test_transaction_of_large_rows_stays_within_the_limit(tasks: int) -> None:
    writing = Writing(jobs=0)
    for number in range(BATCH_LIMIT):
        large = running_job(tasks, seed=number)
        large.job = large.job._replace(job_id=f"{number:016x}")
        writing.add(large)
    writing.run(1.0)
    assert not writing.unwritten()

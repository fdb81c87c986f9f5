"""No job is missed if some reads of the store are older than others."""

from copy import deepcopy

from trio import current_time, sleep

from damaskstall.http.messages import Response
from damaskstall.tasks.job_rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    all_parts,
    part_of,
)
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_accepted_jobs import check_started

TABLES = (JOB_TABLE, PROGRESS_TABLE)


class StaleParts:
    """Answers reads of the named parts from rows of an earlier time."""

    def __init__(self, cluster: Cluster) -> None:
        """Keep the present rows, and answer none from them yet."""
        self.store = cluster.store
        self.parts: set[tuple[str, str]] = set()
        self.answered = 0
        self._rows = deepcopy(cluster.store.rows)
        self._get = cluster.store._get
        cluster.store._get = self.get  # type: ignore[method-assign]

    def get(self, query: dict[str, str]) -> Response:
        """Answer a read, with the version of the rows that it returns."""
        if (query["table"], query["part"]) not in self.parts:
            return self._get(query)
        self.answered += 1
        now = self.store.rows
        self.store.rows = self._rows
        try:
            return self._get(query)
        finally:
            self.store.rows = now


def test_job_starts_though_its_part_is_read_late_after_dropped_history() -> (
    None
):
    """The part's rows are older than the revision that is watched from."""

    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = True
        stale = StaleParts(cluster)
        part = part_of(job_id(1))
        await cluster.submit(job_id(1), [ONE_TASK])
        stale.parts = {(table, part) for table in TABLES}
        await sleep(1.0)
        cluster.store.drop_history()
        await sleep(3.0)
        assert stale.answered
        stale.parts = set()
        await check_started(cluster, current_time())

    run_scenario(scenario)


def test_successor_knows_a_job_whose_declaration_it_read_late() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.store.withhold_changes = True
        stale = StaleParts(cluster)
        await cluster.submit(job_id(1), [ONE_TASK])
        stale.parts = {(TABLES[0], part) for part in all_parts()}
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        cluster.store.withhold_changes = False
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(3.0)
        assert stale.answered
        stale.parts = set()
        await check_started(cluster, current_time())

    run_scenario(scenario, nodes=3)

"""The log tells on which incarnation and by which token a run has started."""

from typing import Any

from loguru import logger
from trio import sleep

from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.tasks.test_worker_reboots import (
    delay_starts,
    worker_with_first_start,
)

LogFields = dict[str, Any]


def launch_records(delays_s: list[float]) -> dict[str, LogFields]:
    """Return the fields of the launch events of a job, by their name.

    Each worker carries out its first starts after these delays.
    """
    found: dict[str, LogFields] = {}

    def keep(message: Any) -> None:
        record = message.record
        if record["message"] in ("run_launched", "run_found"):
            fields = record["extra"]["fields"]
            found[record["message"]] = fields

    async def scenario(cluster: Cluster) -> None:
        await sleep(1.0)
        delay_starts(cluster, delays_s)
        await cluster.submit(job_id(1), [ONE_TASK], work_s=3.0)
        worker = await worker_with_first_start(cluster)
        await cluster.wait_state(job_id(1), "completed")
        for fields in found.values():
            assert fields["worker"] == worker.name
            assert fields["incarnation"] == worker.born

    logger.enable("damaskstall")
    sink = logger.add(keep, level="INFO")
    try:
        run_scenario(scenario, seed=1)
    finally:
        logger.remove(sink)
    return found


def test_answered_start_is_logged_with_incarnation_token_and_attempts() -> (
    None
):
    """The second attempt is answered."""
    found = launch_records([5.0])
    assert found.keys() == {"run_launched"}
    record = found["run_launched"]
    assert record["outcome"] == "answered"
    assert (record["attempts"], record["unanswered"]) == (2, 1)
    assert record["token"] > 0
    assert 0.25 <= record["took_s"] < 1.5


def test_run_of_an_unanswered_start_is_logged_once_it_is_listed() -> None:
    """The first attempt is carried out late, and the others after it."""
    found = launch_records([1.0] + [5.0] * 20)
    assert found["run_launched"]["unanswered"] > 0
    assert found["run_found"]["token"] == found["run_launched"]["token"]

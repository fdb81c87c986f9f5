"""Check the demonstration against the records of the stand-ins alone."""

from collections import Counter
from typing import Any, NamedTuple

from trio import open_nursery

from damaskstall.addresses import Address
from damaskstall.resources.records import JOB_SUCCEEDED
from demo.cluster import Cluster
from demo.operators import read_json
from standins.platform.table import Commit
from tests.job_checker import check_jobs, commits_from_json, job_states

LATE_START_S = 4.0


class RequestRecord(NamedTuple):
    """One request as it was sent, and the response to it."""

    tag: str
    keyed: bool
    status: int
    answer: bytes


async def check_records(
    cluster: Cluster,
    domain: str,
    drained_unix_s: float,
    restored_unix_s: float,
) -> list[str]:
    """Return the violations in the workers' and the platform's records.

    Checks the jobs of all domains, and that no task of ``domain`` started
    between its drain and its return, apart from a tolerance.
    """
    records = await worker_records(cluster)
    value = await read_json(cluster.platform, "/records")
    commits = commits_from_json(value["commits"])
    # Each process has its own clock for time_s; unix_s is comparable.
    comparable = [{**r, "time_s": r["unix_s"]} for r in records]
    violations = check_jobs(commits, comparable)
    violations += unfinished_jobs(commits)
    for record in records:
        if record["event"] != "run":
            continue
        if not record["worker"].startswith(f"{domain}-"):
            continue
        if drained_unix_s + LATE_START_S < record["unix_s"] < restored_unix_s:
            violations.append(
                f"A task started in the drained failure domain: {record}."
            )
    runs = sum(record["event"] == "run" for record in records)
    print(f"\nChecked {len(commits)} commits and {runs} task starts.")
    return violations


def unfinished_jobs(commits: list[Commit]) -> list[str]:
    """Return a message for each job that did not succeed.

    The last commit of a job's row decides.
    """
    final_statuses = {
        job: statuses[-1] for job, statuses in job_states(commits).items()
    }
    return [
        f"The last state of job {job} is {status['state']}: "
        f"{status['reason']}."
        for job, status in final_statuses.items()
        if status["state"] != JOB_SUCCEEDED
    ]


async def worker_records(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the records that all workers kept, in no fixed order."""
    records: list[dict[str, Any]] = []

    async def read(address: Address) -> None:
        records.extend(await read_json(address, "/records"))

    async with open_nursery() as nursery:
        for addresses in cluster.workers.values():
            for address in addresses:
                nursery.start_soon(read, address)
    return records


async def check_requests(
    cluster: Cluster, requests: list[RequestRecord]
) -> list[str]:
    """Return the violations in the backend servers' records of requests.

    Every request has to get its own response with status 200; a request
    with an idempotency key has to run exactly once.
    """
    runs: Counter[str] = Counter()
    for address in cluster.backends.values():
        for run in await read_json(address, "/records"):
            runs[run["tag"]] += 1
    violations = []
    for request in requests:
        count = runs[request.tag]
        if request.status != 200:
            violations.append(f"A request did not get status 200: {request}.")
        elif request.tag.encode() not in request.answer:
            violations.append(
                f"A request got the response to another request: {request}."
            )
        if request.keyed and count != 1:
            violations.append(
                f"A request with an idempotency key ran {count} times "
                f"instead of once: {request}."
            )
    return violations

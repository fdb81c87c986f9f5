"""Run the demonstration: declare, run, drain, restore and check."""

from json import dumps
from pathlib import Path
from tempfile import NamedTemporaryFile
from time import time
from typing import Any

from trio import (
    Event,
    TooSlowError,
    current_time,
    fail_after,
    open_nursery,
    sleep,
)
from yaml import safe_dump_all

from damaskstall.resources.records import JOB_ENDED
from demo.checks import RequestRecord, check_records, check_requests
from demo.cluster import (
    ACCELERATORS,
    Cluster,
    domain_declarations,
    service_declarations,
)
from demo.display import (
    guarantee_table,
    job_table,
    rack_diagrams,
    state_line,
)
from demo.operators import (
    apply,
    damaskstallctl,
    read_jobs,
    read_json,
    send_request,
)

DECLARATIONS = Path(__file__).resolve().parent / "declarations"
DRAINED_DOMAIN = "b"
SETTLE_S = 3.0
DISPLAY_INTERVAL_S = 3.0
DRAINED_S = 12.0
EVENING_DELAY_S = 5.0
JOBS_TIMEOUT_S = 90
REQUESTS = 24


class Walkthrough:
    """The steps of the demonstration on a running cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Record the cluster; operate it through one entry."""
        self.cluster = cluster
        self.server = cluster.operators["a"]
        self.requests: list[RequestRecord] = []
        self.teams: list[dict[str, Any]] = []
        self.evening_declared = Event()
        self.drained_unix_s = 0.0
        self.restored_unix_s = 0.0

    async def execute(self) -> list[str]:
        """Run all steps and checks; return the violations."""
        await self.declare()
        async with open_nursery() as nursery:
            nursery.start_soon(self.send_requests)
            nursery.start_soon(self.drain_and_restore)
            finished = await self.watch_jobs()
        print(job_table(await read_jobs(self.server), time()))
        violations = await check_records(
            self.cluster,
            DRAINED_DOMAIN,
            self.drained_unix_s,
            self.restored_unix_s,
        )
        violations += await check_requests(self.cluster, self.requests)
        if not finished:
            violations.append("Some jobs did not end in time.")
        return violations

    async def declare(self) -> None:
        """Declare the failure domains, services, teams and jobs."""
        failure_domains = domain_declarations(self.cluster)
        services = service_declarations(self.cluster)
        with NamedTemporaryFile("w", suffix=".yaml") as file:
            safe_dump_all(failure_domains + services, file)
            file.flush()
            await apply(self.server, Path(file.name))
        await apply(self.server, DECLARATIONS / "teams.yaml")
        await sleep(SETTLE_S)
        await apply(self.server, DECLARATIONS / "jobs.yaml")
        page = await read_json(self.server, "/v1/resources/team")
        self.teams = page["items"]
        print("Declared the failure domains, services, teams and jobs.\n")

    async def watch_jobs(self) -> bool:
        """Print the state until all jobs have ended.

        Returns False when they do not end in time.
        """
        started_s = current_time()
        try:
            with fail_after(JOBS_TIMEOUT_S):
                while True:
                    jobs = await read_jobs(self.server)
                    self.print_jobs(jobs, current_time() - started_s)
                    ended = all(
                        j["status"]["state"] in JOB_ENDED for j in jobs
                    )
                    if ended and self.evening_declared.is_set():
                        return True
                    await sleep(DISPLAY_INTERVAL_S)
        except TooSlowError:
            return False

    def print_jobs(self, jobs: list[dict[str, Any]], elapsed_s: float) -> None:
        """Print the states of the jobs, the racks and the guarantees."""
        workers = {
            domain: [
                f"{domain}-worker-{index}" for index in range(len(addresses))
            ]
            for domain, addresses in self.cluster.workers.items()
        }
        print(f"after {elapsed_s:.0f} s: {state_line(jobs)}")
        print(rack_diagrams(jobs, workers, ACCELERATORS))
        print(guarantee_table(jobs, self.teams), end="\n\n", flush=True)

    async def drain_and_restore(self) -> None:
        """Drain a failure domain, declare more jobs, then restore it."""
        await sleep(DISPLAY_INTERVAL_S)
        await damaskstallctl(self.server, "drain", DRAINED_DOMAIN)
        self.drained_unix_s = time()
        print(f"--- failure domain {DRAINED_DOMAIN} is drained", flush=True)
        await sleep(EVENING_DELAY_S)
        await apply(self.server, DECLARATIONS / "evening.yaml")
        print("--- the jobs of the evening are declared", flush=True)
        await sleep(DRAINED_S - EVENING_DELAY_S)
        self.evening_declared.set()
        self.restored_unix_s = time()
        await damaskstallctl(self.server, "restore", DRAINED_DOMAIN)
        print(f"--- failure domain {DRAINED_DOMAIN} is restored", flush=True)

    async def send_requests(self) -> None:
        """Send requests of two teams through all entries, concurrently."""
        entries = list(self.cluster.entries.values())
        async with open_nursery() as nursery:
            for number in range(REQUESTS):
                entry = entries[number % len(entries)]
                nursery.start_soon(self.send_one, entry, number)
        print(f"--- {REQUESTS} requests were answered", flush=True)

    async def send_one(self, entry: Any, number: int) -> None:
        """Send one request and record it with its response.

        Every third request has an idempotency key.
        """
        keyed = number % 3 == 0
        service = "publish-minutes" if keyed else "fit-check"
        team = "vote-summaries" if keyed else "last-design"
        tag = f"{service}-{number}"
        body = dumps({"tag": tag}).encode()
        key = f"minutes-{number}" if keyed else ""
        status, answer = await send_request(entry, service, team, body, key)
        self.requests.append(RequestRecord(tag, keyed, status, answer))

"""The common parts of a case: a small deployment, its client, its end."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from nodes import Nodes
from platform_standins import Fleet, Record, Store, call

ZONES = ["zone-a", "zone-b", "zone-c"]
HOST_NAME = "nony24.example"
PREFIX = "/lohu930/"
KEY = "d4a3hwrr6x73d3zji9n7"
CAPACITY = {"cpu": 64000, "task_memory_mb": 131072, "gpus": 8}
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case has to end by itself within 120 s.
LIMIT_S = 110.0


class CannotRunError(Exception):
    """The case could not be run as described."""


def trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """Stand-ins and processes of one case."""

    def __init__(self, folder, nodes=3, racks=3, per_rack=8, attempts=3):
        self.record = Record(Path(folder) / "record.txt")
        self.store = Store()
        self.fleet = Fleet(
            self.store, self.record, racks, per_rack, CAPACITY, ZONES
        )
        self.node_count = nodes
        self.attempts = attempts
        self.nodes = None

    def configuration(self, version=1, **changes):
        route = {
            "name": "r-1", "host": HOST_NAME, "path_prefix": PREFIX,
            "kind": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000,
            "priority": 1, "service": self.fleet.service,
            "maximum_attempts": self.attempts, "stretch": 3.0,
            "public": False,
        }
        return {
            "version": version, "routes": [{**route, **changes}],
            "services": [{
                "name": self.fleet.service, "health_path": "/health",
                "connection_limit": 64, "protocol": "h1", "tls": False,
                "cold_start_s": 0.0, "cold_per_s": 0.0,
                "enforces_capacity": False, "spare": False,
            }],
            "limits": {"header_bytes": 16384, "body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "kaje80", "api_keys": [KEY], "priority": 1,
                         "guaranteed": {"gpus": 32}}],
        }

    async def start(self):
        await self.store.server.start()
        await self.fleet.start()
        self.store.put("op", "config", self.configuration())
        self.nodes = Nodes(
            self.node_count, ZONES, self.store.server.address,
            self.fleet.machines.address,
        )
        self.nodes.start()
        for _ in range(200):
            answers = [
                await call(node.ready, "GET", "/readiness", limit_s=1.0)
                for node in self.nodes.nodes
            ]
            if all(a is not None and a[0] == 200 for a in answers):
                self.record.add("all instances are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError("the instances did not become ready")

    def close(self):
        if self.nodes is not None:
            self.nodes.close(os.environ.get("KEEP_LOGS"))
        self.fleet.close()

    async def ask(self, method, job_id, value=None, node=0):
        address = self.nodes.nodes[node].front
        headers = {
            "host": HOST_NAME, "authorization": f"Bearer {KEY}",
            "content-type": "application/json",
            "damaskstall-deadline-milliseconds": "3000",
        }
        answer = await call(
            address, method, PREFIX + job_id, value, headers
        )
        if method != "GET" or answer is None or answer[0] != 200:
            self.record.add(f"{method} {job_id} at {node} -> {answer}")
        return answer

    async def submit(self, job_id, steps):
        """Hand a job in, again after no answer, at the next instance."""
        body = {"specification": f"work of {job_id}", "steps": steps}
        self.fleet.jobs[job_id] = body
        for tried in range(5):
            answer = await self.ask("POST", job_id, body, tried % self.node_count)
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(1.0)
        raise CannotRunError(f"the job {job_id} was not accepted: {answer}")

    async def state(self, job_id, node=0):
        answer = await self.ask("GET", job_id, node=node)
        if answer is None or answer[0] != 200:
            return ""
        return answer[1]["state"]

    async def wait_final(self, job_id, limit_s, is_enough=lambda: False):
        """Wait until a job is over, or enough is seen; return its state."""
        state, seen = "", ""
        for _ in range(round(limit_s / 0.25)):
            state = await self.state(job_id) or state
            if state != seen:
                self.record.add(f"job {job_id} is shown as {state}")
                seen = state
            if state in ("completed", "failed", "cancelled") or is_enough():
                break
            await asyncio.sleep(0.25)
        return state


def budget_excess(fleet, crashes, breaking=3):
    """Return the tasks started too often after three crashes under them.

    The rule is broken if a task is started three times more.
    """
    found = []
    for task in sorted({task for _, task, _ in crashes}):
        times_s = sorted(t for t, name, _ in crashes if name == task)
        if len(times_s) < 3:
            continue
        later = [e for e in fleet.starts(task) if e[0] > times_s[2]]
        if len(later) >= breaking:
            found.append((task, len(times_s), len(later)))
    return found


def run_case(scenario, folder, **sizes):
    """Run a scenario; exit with 1 if the rule was broken, 0 if it held."""

    async def play_with(deployment):
        await deployment.start()
        return await scenario(deployment)

    async def play():
        deployment = Deployment(folder, **sizes)
        deployment.record.add(f"TROUBLE={int(trouble())}")
        played = asyncio.ensure_future(play_with(deployment))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, played.cancel)
        try:
            return await asyncio.wait_for(played, LIMIT_S)
        except (CannotRunError, asyncio.TimeoutError) as error:
            deployment.record.add(f"the case could not run: {error!r}")
            return NOT_RUN
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.add(f"the case was ended: {error!r}")
            return NOT_RUN
        finally:
            deployment.close()
            deployment.record.close()

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(play())
    print({HELD: "the rule held", BROKEN: "the rule was broken",
           NOT_RUN: "the case could not run"}[code])
    sys.stdout.flush()
    # The tasks of the stand-ins end with the process.
    os._exit(code)

"""Start the system's own processes, and call them as consumers do."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path

from platform_standin import HOST, Fleet, Store, read_message, serve

ROOT = Path(__file__).resolve().parents[2]
TAKEN_PORTS = set()
KEY = "d4a3hwrr6x73d3zji9n7"
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "contact_ms": 3000,
    "acknowledge_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "configuration_ms": 2000,
    "rollback_slack_ms": 250,
    "stretch_maximum_ms": 5000,
    "strict_revocation": True,
    "revoke_ms": 5000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuation_ms": 5000,
    "recovery_s": 12,
    "hold_maximum_ms": 6000,
    "stop_ms": 200,
    "gang_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "slowdown_factor": 3,
    "checkpoint_s": 1,
    "restore_ms": 100,
    "notice_ms": 4500,
    "move_s": 1.5,
    "maintenance_s": 2,
    "requires_fencing": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
    "reclaim_ms": 2700,
}


def free_ports(count):
    """Return free ports below those that outgoing connections use."""
    found = []
    while len(found) < count:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            found.append(port)
    return found


def route(name, service, priority=1, attempts=3, prefix=""):
    """Return a route of the desired state."""
    return {
        "name": name,
        "host": "jobs.example",
        "path_prefix": prefix or f"/{name}/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_duration_ms": 3000,
        "priority": priority,
        "service": service,
        "maximum_attempts": attempts,
        "stretch": 3.0,
        "public": False,
    }


def desired_state(version, routes, services, gpus=8):
    """Return a whole desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "connection_limit": 64,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "enforces_capacity": False,
                "spare": False,
            }
            for name in services
        ],
        "limits": {
            "header_bytes": 16384,
            "body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "kaje80",
                "api_keys": [KEY],
                "priority": 1,
                "guaranteed": {"gpus": gpus},
            }
        ],
    }


class Node:
    """One process of the system on a machine of its own."""

    def __init__(self, case, name, zone):
        """Prepare the machine; nothing is started."""
        self.case, self.name, self.zone = case, name, zone
        self.front, self.ready, self.control = free_ports(3)
        self.first, self.last = free_ports(2)
        self.process = None
        self.starts = 0

    async def prepare(self):
        """Write the settings file."""
        store = await self.case.store.listen(self.name)
        zones = sorted({node.zone for node in self.case.nodes} | {self.zone})
        fields = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip_address": HOST,
            "zone": self.zone,
            "region": "hame",
            "zones": dict.fromkeys(zones, "hame"),
            "listen_addresses": {
                "front": f"{HOST}:{self.front}",
                "ready": f"{HOST}:{self.ready}",
            },
            "internal_port_range": [self.first, self.last],
            "seed_nodes": [],
            "first_start": True,
            "counted_in_tolerance": False,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery": "platform",
            "entry": "virtual_ip",
            "heartbeat_ms": 1500,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sched",
                "tenants",
                "places",
                "platform",
            ],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "orders": "call",
            "advice": None,
            "platform": {
                "address": store,
                "form": "table",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "transaction_ms": 5.0,
                "part_writes_per_s": 200,
                "row_bytes": 65536,
                "across": False,
                "history_s": 20,
                "blob_bytes": 8388608,
                "blob_ms": 25.0,
                "blob_mb_per_s": 80.0,
            },
            "cloud_api": {
                "address": self.case.machines_address,
                "rate_per_s": 60.0,
                "duties": [],
                "duty_per_s": 60.0,
            },
        }
        self.settings = self.case.folder / f"{self.name}.yaml"
        # JSON is YAML.
        self.settings.write_text(json.dumps(fields, indent=1))

    def start(self):
        """Start the process with the command of the deploy file."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            words = tomllib.load(file)["roles"]["node"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.case.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "DAMASKSTALL_SETTINGS": str(self.settings),
        }
        self.starts += 1
        log = open(self.case.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.case.log(f"{self.name} is started")

    def signal(self, number):
        """Send a signal to the process."""
        self.case.log(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stopped(self, limit_s=10.0):
        """Wait until the process has ended; return its exit code."""
        end_s = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        code = self.process.poll()
        self.case.log(f"{self.name} has ended with {code}")
        return code

    async def is_ready(self):
        """Return whether the node answers the platform's readiness call."""
        try:
            status, _ = await call(self.ready, "GET", "/readiness", limit_s=1)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, limit_s=20.0):
        """Wait until the node is ready."""
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CaseError(f"{self.name} is not ready.")
            await asyncio.sleep(0.1)


class CaseError(Exception):
    """The case could not be run."""


async def call(port, method, path, body=None, headers=(), limit_s=3.0):
    """Make one call over a new connection; return the status and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(data)}")
            if data:
                lines.append("Content-Type: application/json")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionResetError("no answer")
            words, _, answer = message
            try:
                return int(words[1]), json.loads(answer) if answer else None
            except ValueError:
                return int(words[1]), None
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit_s)


class Case:
    """A small deployment, and the record of what was seen."""

    def __init__(self, folder, record, service="huvo11a"):
        """Create a deployment without machines."""
        self.folder = Path(folder)
        self.record = open(record, "w")
        self.began_s = time.monotonic()
        self.store = Store()
        self.fleet = Fleet(self.store, service, self.log)
        self.service = service
        self.nodes = []
        self.machines_address = ""

    def log(self, text):
        """Write a line to the record."""
        passed_s = time.monotonic() - self.began_s
        self.record.write(f"{passed_s:8.3f} {text}\n")
        self.record.flush()

    async def build(self, nodes, runners, capacity=None):
        """Start the platform and the runners, and prepare the nodes."""
        capacity = capacity or {
            "cpu": 64000,
            "task_memory_mb": 131072,
            "gpus": 8,
        }
        _, port = await serve(self.fleet.machines)
        self.machines_address = f"{HOST}:{port}"
        zones = ["hame-a", "hame-b", "hame-c"]
        for number in range(runners):
            zone = zones[number % 3]
            name = f"i-{number:08x}"
            await self.fleet.add(name, zone, f"r{number % 3}-1", capacity)
        for number in range(nodes):
            zone = zones[number % 3]
            node = Node(self, f"front-{zone}-{number // 3 + 1}", zone)
            await node.prepare()
            self.nodes.append(node)

    def configure(self, state):
        """Confirm a desired state."""
        self.store.put("op", "config", state)
        names = [each["name"] for each in state["routes"]]
        self.log(f"the desired state {state['version']} has routes {names}")

    async def start(self):
        """Start all nodes and wait until they are ready."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    async def request(self, node, method, queue, job="", body=None, ms=3000):
        """Make a consumer's call; return the status (0: none) and body."""
        headers = (
            ("Authorization", f"Bearer {KEY}"),
            ("Damaskstall-Deadline-Milliseconds", str(ms)),
        )
        try:
            status, value = await call(
                node.front, method, f"/{queue}/{job}", body, headers, ms / 1000
            )
        except (OSError, asyncio.TimeoutError):
            status, value = 0, None
        self.log(f"{method} {queue}/{job} at {node.name}: {status} {value}")
        return status, value

    async def submit(self, node, queue, job, body, ms=3000):
        """Hand in a job; return the status of the answer."""
        self.fleet.jobs[job] = body
        status, _ = await self.request(node, "POST", queue, job, body, ms)
        return status

    async def state(self, node, queue, job):
        """Return the state that a node shows, or the status of the answer."""
        status, value = await self.request(node, "GET", queue, job)
        return value["state"] if status == 200 else status

    def end(self):
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


def job_body(steps, text="text"):
    """Return the body of a job."""
    return {"specification": text, "steps": steps}


def step(count=1, cpu=1000, memory_mb=1024, estimate_ms=500, **more):
    """Return a step of a job."""
    return {
        "count": count,
        "cpu": cpu,
        "task_memory_mb": memory_mb,
        "estimate_ms": estimate_ms,
        **more,
    }


def main(play):
    """Play a case; exit with 0 if the rule held, 1 if not, 2 if not run."""
    case = Case(Path(os.environ["CASE_TMP"]), os.environ["CASE_RECORD"])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case.log(f"trouble: {trouble}")

    def leave(code, text):
        case.log(text)
        case.end()
        print(text, flush=True)
        # The connections that are open need no farewell.
        os._exit(code)

    async def run():
        try:
            broken = await asyncio.wait_for(play(case, trouble), 110)
        except Exception as error:
            leave(2, f"the case could not run: {error!r}")
        leave(1 if broken else 0, broken or "the rule held")

    signal.signal(signal.SIGTERM, lambda *_: leave(2, "the case was ended"))
    signal.signal(signal.SIGINT, lambda *_: leave(2, "the case was ended"))
    asyncio.run(run())

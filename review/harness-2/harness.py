"""Small stand-ins of the platform, and the node processes, for review scripts.

One process serves the store, the list of machines and the workers on loopback
addresses, and starts the project's nodes as processes of their own with the
command of ``deploy/system.toml``. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from random import randrange
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ANSWER_S = 0.004
TRANSACTION_S = 0.005
HEARTBEAT_S = 1.5
LEASE_LIMIT_S = 6.0
STOP_S = 0.1
GANG_S = 3.0
CHECKPOINT_S = 1.0
LIST_LIMIT = 500
FRONT_PORT, READY_PORT = 8521, 8523
INTERNAL_PORT, METRICS_PORT = 7000, 7015
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


class NoAnswer(Exception):
    """Raised by a handler to close a connection without an answer."""


def new_address() -> str:
    """Return a loopback address that no other process is likely to use."""
    return f"127.{randrange(1, 255)}.{randrange(255)}.{randrange(1, 255)}"


async def read_message(reader):
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server of one handler: (method, path, query, headers, body)."""

    def __init__(self, handler, host="127.0.0.1"):
        self.handler = handler
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, self.host, port or self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Refuse and reset all connections, as a crashed process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                value = json.loads(body) if body else None
                status, answer = await self.handler(
                    method, parts.path, query, headers, value
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (NoAnswer, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: rows in parts, one version counter, a feed."""

    def __init__(self, log):
        self.log = log
        self.rows = {}
        self.versions = {}
        self.version = 1
        self.changes = []
        self.changed = asyncio.Event()
        self.part_free_s = {}
        self.row_limit = 65536
        # Per caller: "", "busy", "many", "reset" or "silent".
        self.faults = {}
        # Returns whether the answer to a call is lost, and a delay of it.
        self.lose = lambda caller, path, value: None
        self.refused = []

    def put(self, table, key, value, part=""):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply(
            {
                "writes": [
                    {"table": table, "part": part, "key": key, "value": text}
                ]
            }
        )

    def remove(self, table, key, part=""):
        return self.apply(
            {"remove": [{"table": table, "part": part, "key": key}]}
        )

    def value(self, table, key, part=""):
        text = self.rows.get((table, part, key))
        return None if text is None else base64.b64decode(text)

    def version_of(self, row):
        return self.versions[row] if self.rows.get(row) is not None else 0

    def apply(self, body):
        """Apply a transaction; return its version, None if a row differs."""
        name = lambda each: (each["table"], each["part"], each["key"])
        for each in body.get("expect", ()):
            if self.version_of(name(each)) != each["version_number"]:
                return None
        self.version += 1
        for each in body.get("writes", ()):
            self._set(name(each), each["value"])
        for each in body.get("remove", ()):
            self._set(name(each), None)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def _set(self, row, text):
        self.rows[row] = text
        self.versions[row] = self.version
        self.changes.append((self.version, row))

    def wire(self, row):
        text = self.rows.get(row)
        fields = {
            "table": row[0],
            "part": row[1],
            "key": row[2],
            "version_number": self.versions.get(row, 0),
        }
        return (
            {**fields, "deleted": True}
            if text is None
            else {**fields, "value": text}
        )

    def handler_for(self, caller):
        async def handle(method, path, query, headers, value):
            fault = self.faults.get(caller, "")
            if fault == "silent":
                await asyncio.sleep(60)
                raise NoAnswer
            if fault == "reset":
                raise NoAnswer
            await asyncio.sleep(ANSWER_S)
            if fault:
                return (503 if fault == "busy" else 429), {}
            if path == "/rows-tx":
                return await self._transact(caller, path, value)
            if path == "/rows-get":
                return self._get(query)
            if path == "/rows-feed":
                return await self._feed(caller, query)
            return 404, {}

        return handle

    async def _transact(self, caller, path, value):
        entries = value["expect"] + value["writes"] + value["remove"]
        parts = {each["part"] for each in entries}
        sizes = [
            len(base64.b64decode(each["value"])) for each in value["writes"]
        ]
        if (
            len(parts) != 1
            or len(entries) > 100
            or max(sizes, default=0) > self.row_limit
        ):
            self.refused.append((caller, sizes))
            return 400, {}
        part = parts.pop()
        now_s = time.monotonic()
        turn_s = max(now_s, self.part_free_s.get(part, 0.0)) + TRANSACTION_S
        self.part_free_s[part] = turn_s
        await asyncio.sleep(turn_s - now_s)
        lost = self.lose(caller, path, value)
        if lost is not None:
            asyncio.get_running_loop().call_later(lost, self.apply, value)
            await asyncio.sleep(60)
            raise NoAnswer
        version = self.apply(value)
        if version is None:
            rows = [
                self.wire((each["table"], each["part"], each["key"]))
                for each in value["expect"]
            ]
            return 412, {"rows": rows, **self._stamp()}
        return 200, {**self._stamp(), "version_number": version}

    def _stamp(self):
        return {
            "version_number": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    def _get(self, query):
        limit = min(int(query.get("limit", LIST_LIMIT)), LIST_LIMIT)
        first, target = query.get("from", ""), query.get("target")
        found = sorted(
            row
            for row, text in self.rows.items()
            if text is not None
            and row[:2] == (query["table"], query["part"])
            and row[2] >= first
            and (target is None or row[2] < target)
        )
        rows = [self.wire(row) for row in found[:limit]]
        return 200, {
            "rows": rows,
            "more_pages": len(found) > limit,
            **self._stamp(),
        }

    async def _feed(self, caller, query):
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            found = {}
            for version, row in reversed(self.changes):
                if version <= after:
                    break
                if row[0] == query["table"]:
                    found.setdefault(row, version)
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                order = sorted(found, key=lambda row: self.versions[row])
                return 200, {
                    "rows": [self.wire(row) for row in order],
                    **self._stamp(),
                }
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
            if self.faults.get(caller):
                raise NoAnswer


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, worker, checkpoint):
        self.task, self.number, self.worker = task, number, worker
        self.job, k, step, index = task.split(".")
        self.occurrence, self.step, self.index = int(k), int(step), int(index)
        self.started_s = time.monotonic()
        self.saved_s = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.stop_s = None
        self.ended_s = None
        self.how = ""
        self.lapsed = False
        # Nothing happens to the run before this time.
        self.check_s = 0.0
        self.noted_s = None


class Worker:
    """A runner: starts, stops, lists, leases and fencing as PROTOCOL says."""

    def __init__(self, world, name, zone, rack, capacity):
        self.world, self.name, self.zone, self.rack = world, name, zone, rack
        self.capacity = capacity
        self.machine = f"m-{name}"
        self.state = "ready"
        self.remaining_ms = None
        # Answers 503 to each start while set, and does nothing.
        self.unhealthy = False
        self.up = False
        self.server = Server(self.handle)

    async def boot(self, late_start=None):
        """Begin a life, which first carries out a late order if given."""
        self.born = int(time.time() * 1000)
        self.booted_s = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_s = float("-inf")
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.highest = {}
        self.ended_event = asyncio.Event()
        if late_start is not None:
            self.fence = late_start["fencing_token"]
            self.start(late_start)
        await self.server.start()
        self.up = True
        self.beat()

    def crash(self):
        self.up = False
        self.server.stop()
        for run in self.running.values():
            run.how, run.ended_s = "lost", time.monotonic()
            self.world.log("lost", run.task, run.number, self.name)
        self.running = {}

    def clock_ms(self):
        return 100_000 + int((time.monotonic() - self.booted_s) * 1000)

    def beat(self):
        self.sequence += 1
        entry = {
            "service": self.world.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.remaining_ms is not None:
            entry["remaining_ms"] = self.remaining_ms
        self.world.store.put("servers", self.name, entry)

    def tick(self):
        now_s = time.monotonic()
        if self.clock_ms() / 1000 > self.lease_s:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            for _, run in self.ended:
                run.lapsed = True
        for run in list(self.running.values()):
            if now_s < run.check_s:
                continue
            if run.stop_s is not None and now_s >= run.stop_s:
                self.end(run, "stopped")
                continue
            gang = self.world.gang_of(run)
            if gang is not None:
                others, size = gang
                if any(each.how == "done" for each in others):
                    self.end(run, "done")
                    continue
                if any(each.how for each in others):
                    self.end(run, "broken")
                    continue
                if len(others) + 1 < size:
                    if now_s - run.started_s > GANG_S:
                        self.end(run, "alone")
                    continue
            left_s = self.world.needed_s(run) - self.world.worked_s(run)
            if left_s <= 0:
                self.end(run, self.world.outcome(run))
            elif gang is None:
                run.check_s = now_s + left_s

    def end(self, run, how):
        run.how, run.ended_s = how, time.monotonic()
        del self.running[run.task, run.number]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.last_number += 1
        self.ended.append([self.last_number, run])
        self.world.log("ended", run.task, run.number, self.name, how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def handle(self, method, path, query, headers, value):
        if (
            headers.get("damaskstall-expected-instance", self.name)
            != self.name
        ):
            return 421, {"clock_ms": self.clock_ms()}
        if not await self.world.before_order(self, path, value):
            raise NoAnswer
        if value.get("fencing_token", 0) < self.fence:
            return self.refuse("fence")
        if path == "/run-start" and self.unhealthy:
            self.world.log(
                "refused 503", value["task"], value["run"], self.name
            )
            return 503, {"clock_ms": self.clock_ms()}
        self.fence = value.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(value)
        if path == "/run-stop":
            return self.stop(value)
        if path == "/hold":
            return await self.hold(value)
        return 404, {}

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def extend(self, deadline_ms):
        latest_s = self.clock_ms() / 1000 + LEASE_LIMIT_S
        self.lease_s = max(self.lease_s, min(deadline_ms / 1000, latest_s))

    def start(self, value):
        if value["deadline_ms"] < self.clock_ms():
            return self.refuse("late")
        self.extend(value["deadline_ms"])
        key = value["task"], value["run"]
        if key in self.running:
            return 200, {"clock_ms": self.clock_ms()}
        if value["run"] <= self.highest.get(value["task"], 0):
            return self.refuse("old")
        run = Run(*key, self, value.get("checkpoint", ""))
        self.running[key] = run
        self.world.runs.append(run)
        self.world.log("started", *key, self.name, value.get("checkpoint", ""))
        return 200, {"clock_ms": self.clock_ms()}

    def stop(self, value):
        task, number = value["task"], value["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get((task, number))
        if run is not None and run.stop_s is None:
            run.stop_s = run.check_s = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, value):
        for number, run in self.ended:
            # An end whose lease lapsed meanwhile is never taken note of.
            if number <= value["last_seen"] and not run.lapsed:
                run.noted_s = time.monotonic()
        self.ended = [
            each for each in self.ended if each[0] > value["last_seen"]
        ]
        if "deadline_ms" in value:
            self.extend(value["deadline_ms"])
        wait_s = min(value.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ended:
            try:
                await asyncio.wait_for(self.ended_event.wait(), wait_s)
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [
                [
                    r.task,
                    r.number,
                    self.world.checkpoint(r),
                    self.world.percent(r),
                ]
                for r in self.running.values()
            ],
            "ended": [
                [n, r.task, r.number, r.how, self.world.checkpoint(r)]
                for n, r in self.ended[:LIST_LIMIT]
            ],
        }


class Node:
    """One process of the project, started as the deploy file says."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-{number}"
        self.ip = new_address()
        self.folder = world.folder / self.name
        self.folder.mkdir()
        self.process = None

    async def start(self, first=True):
        caller = await Server(self.world.store.handler_for(self.name)).start()
        settings = {
            "node_name": self.name,
            "role": "node",
            "machine_class": "front",
            "serves": ["front"],
            "ip_address": self.ip,
            "zone": "zone-a",
            "region": "here",
            "zones": {"zone-a": "here"},
            "listen_addresses": {
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "internal_port_range": [INTERNAL_PORT, METRICS_PORT],
            "seed_nodes": [],
            "first_start": first,
            "counted_in_tolerance": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "data_directory": None,
            "discovery": "platform",
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {"address": caller.address, "form": "table"},
            "cloud_api": {
                "address": self.world.machines.address,
                "duties": [],
            },
        }
        path = self.folder / "local.yaml"
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["DAMASKSTALL_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.output = open(self.folder / "output.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.world.command,
            cwd=ROOT,
            env=environment,
            stdout=self.output,
            stderr=self.output,
        )

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        self.world.log("kill", self.name)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    @property
    def front(self):
        return self.ip, FRONT_PORT

    async def state(self):
        """Return the process's own dump, on its metrics port."""
        answer = await call("GET", (self.ip, METRICS_PORT), "/debug/state")
        return answer[1] if answer else None


async def call(method, address, path, value=None, headers=(), limit_s=3.0):
    """Return the status and body of an answer, None without one."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                body = b"" if value is None else json.dumps(value).encode()
                lines = [f"{method} {path} HTTP/1.1", "connection: close"]
                lines += [f"{name}: {text}" for name, text in headers]
                lines.append(f"content-length: {len(body)}")
                head = "\r\n".join(lines) + "\r\n\r\n"
                if not any(name == "host" for name, _ in headers):
                    head = head.replace("\r\n", "\r\nhost: 127.0.0.1\r\n", 1)
                writer.write(head.encode() + body)
                first, _, data = await read_message(reader)
                status = int(first.split(" ")[1])
                return status, json.loads(data) if data else None
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


class World:
    """The platform, the workers and the nodes of one small deployment."""

    service = "svc"
    host = "jobs.example"
    key = "key-of-blue"

    def __init__(self, folder):
        self.record = open(Path(folder) / "record.txt", "w")
        self.began_s = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.log)
        self.machines = Server(self._list_machines)
        self.workers = {}
        self.nodes = []
        self.runs = []
        self.jobs = {}
        self.work_s = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split(" ")
        self.version = 1
        self.late_s = 0.0

    def now_s(self):
        return time.monotonic() - self.began_s

    def log(self, *words):
        text = " ".join(str(word) for word in words)
        self.record.write(f"{self.now_s():8.3f} {text}\n")
        self.record.flush()

    # What the workers ask.

    def step_of(self, run):
        return self.jobs[run.job]["steps"][run.step]

    def gang_of(self, run):
        step = self.step_of(run)
        if not step.get("gang"):
            return None
        others = [
            each
            for each in self.runs
            if each is not run
            and (each.job, each.occurrence, each.step, each.number)
            == (run.job, run.occurrence, run.step, run.number)
        ]
        return others, step["count"]

    def worked_s(self, run):
        gang = self.gang_of(run)
        began_s = run.started_s
        if gang is not None:
            others, size = gang
            if len(others) + 1 < size:
                return run.saved_s
            began_s = max([began_s, *(each.started_s for each in others)])
        end_s = time.monotonic() if run.ended_s is None else run.ended_s
        return run.saved_s + max(0.0, end_s - began_s)

    def needed_s(self, run):
        step = self.step_of(run)
        if step.get("long_running"):
            return float("inf")
        return self.work_s.get(run.job, step.get("estimate_ms", 0) / 1000)

    def percent(self, run):
        if self.step_of(run).get("long_running"):
            return 100
        return min(
            99, int(100 * self.worked_s(run) / max(0.001, self.needed_s(run)))
        )

    def checkpoint(self, run):
        if not self.step_of(run).get("checkpointing"):
            return ""
        saved_s = int(self.worked_s(run) / CHECKPOINT_S) * CHECKPOINT_S
        saved_s = max(saved_s, run.saved_s)
        return f"{int(saved_s * 1000):08x}{run.job[8:]}" if saved_s else ""

    def outcome(self, run):
        return "done"

    async def before_order(self, worker, path, value):
        """Return whether an order is carried out and answered."""
        return True

    # The platform.

    async def _list_machines(self, method, path, query, headers, value):
        machines = [
            {
                "machine": each.machine,
                "pool": self.service,
                "state": "up" if each.up else "down",
                "zone": each.zone,
                "labels": ["a", each.rack],
                "capacity": each.capacity,
                "identifier": each.name if each.up else "",
            }
            for each in self.workers.values()
        ]
        return 200, {"machines": machines, "next_page_token": None}

    def configuration(self, **fields):
        return {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "host": self.host,
                    "path_prefix": f"/{name}/",
                    "kind": "unsafe",
                    "timeout_ms": 3000,
                    "target_duration_ms": 1000,
                    "priority": priority,
                    "service": self.service,
                    "maximum_attempts": 3,
                    "stretch": 3.0,
                    "public": False,
                }
                for name, priority in (
                    ("urgent", 0),
                    ("normal", 1),
                    ("bulk", 2),
                )
            ],
            "services": [
                {
                    "name": self.service,
                    "health_path": "/health",
                    "connection_limit": 64,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 0.0,
                    "cold_per_s": 0.0,
                    "enforces_capacity": False,
                    "spare": False,
                }
            ],
            "limits": {
                "header_bytes": 16384,
                "body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": "blue",
                    "api_keys": [self.key],
                    "priority": 1,
                    "guaranteed": {"gpus": 0},
                }
            ],
            **fields,
        }

    async def open(self, workers, nodes, capacity=None):
        capacity = capacity or {
            "cpu": 64000,
            "task_memory_mb": 131072,
            "gpus": 8,
        }
        await self.machines.start()
        self.store.put("op", "config", self.configuration())
        for number in range(workers):
            worker = Worker(
                self,
                f"i-{number:08x}",
                "zone-a",
                f"r1-{number // 8}",
                dict(capacity),
            )
            self.workers[worker.name] = worker
            await worker.boot()
        self.tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._beat()),
        ]
        for number in range(nodes):
            node = Node(self, number)
            self.nodes.append(node)
            await node.start()
        await self.wait_for(self.holder, 15.0, "no node became the holder")
        for node in self.nodes:
            await self.wait_for(
                lambda: self.is_ready(node), 10.0, "a node is not ready"
            )

    async def wait_for(self, condition, limit_s, failure):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.05)
        raise CannotRun(failure)

    async def is_ready(self, node):
        answer = await call("GET", (node.ip, READY_PORT), "/readiness")
        return answer is not None and answer[0] == 200

    async def holder(self, ready=True):
        """Return the node that schedules, by the nodes' own dumps."""
        for node in self.nodes:
            if node.process.returncode is not None:
                continue
            state = await node.state()
            held = state and state["election"]["holder"]
            if held and (held["ready"] or not ready):
                return node
        return None

    async def _tick(self):
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.01)
            late_s = time.monotonic() - before_s - 0.01
            # How late this process itself serves a call, at most.
            self.late_s = max(self.late_s, late_s)
            for worker in self.workers.values():
                if worker.up:
                    worker.tick()

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers.values():
                if worker.up:
                    worker.beat()

    # The client.

    def headers(self):
        return (
            ("host", self.host),
            ("authorization", f"Bearer {self.key}"),
            ("content-type", "application/json"),
            ("damaskstall-deadline-milliseconds", "3000"),
        )

    async def request(self, method, node, path, value=None):
        answer = await call(method, node.front, path, value, self.headers())
        shown = "no answer" if answer is None else f"{answer[0]} {answer[1]}"
        self.log(method, path, "at", node.name, "->", shown[:200])
        return answer

    async def submit(self, node, queue, job_id, steps, work_s=None, **fields):
        """Hand a job in; return whether it was accepted."""
        job = {"specification": f"spec of {job_id}", "steps": steps, **fields}
        self.jobs[job_id] = job
        if work_s is not None:
            self.work_s[job_id] = work_s
        answer = await self.request("POST", node, f"/{queue}/{job_id}", job)
        return answer is not None and answer[0] == 200

    async def close(self):
        for task in getattr(self, "tasks", ()):
            task.cancel()
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
                await node.process.wait()
        keep = os.environ.get("KEEP_OUTPUT")
        if keep:
            for node in self.nodes:
                shutil.copy(
                    node.folder / "output.txt", Path(keep) / f"{node.name}.txt"
                )
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """Raised if a case could not be set up as it describes."""


def main(play, folder):
    """Run a case: ``play(world, trouble)`` returns the breaks that it saw."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        try:
            async with asyncio.timeout(115):
                breaks = await play(world, trouble)
            for text in breaks:
                world.log("BROKEN", text)
            world.log("verdict:", "broken" if breaks else "held")
            return 1 if breaks else 0
        except (CannotRun, TimeoutError) as error:
            world.log("could not run:", repr(error))
            return 2
        finally:
            await world.close()

    sys.exit(asyncio.run(run()))

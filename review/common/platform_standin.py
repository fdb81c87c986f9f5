"""Stand in for the operators' platform on loopback addresses.

One process with an asyncio loop serves the platform's metadata store, the
list of machines and the runners, as PROTOCOL.md describes them. Everything
that a runner begins or ends is kept for the checks of a case.
"""

import asyncio
import json
import time
from base64 import b64encode
from math import inf
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ANSWER_S = 0.004
TRANSACTION_S = 0.005
PAGE_ROWS = 500
HEARTBEAT_S = 1.5
TICK_S = 0.02


def now_ms():
    """Return a reading of the steady clock in milliseconds."""
    return time.monotonic() * 1000


class Reset(Exception):
    """The connection is closed without an answer."""


async def read_message(reader):
    """Return the first line's words, the headers and the body, or None."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").split(None, 2), headers, body


async def serve(handle, writers=None, port=0):
    """Serve HTTP/1.1 with ``handle``; return the server and its port.

    The open connections are kept in ``writers``.
    """
    writers = set() if writers is None else writers

    async def connected(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                words, headers, body = message
                status, value = await handle(words[0], words[1], headers, body)
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (Reset, OSError, asyncio.IncompleteReadError):
            return
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, HOST, port, backlog=512)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The platform's metadata store: rows, transactions and the feed."""

    def __init__(self):
        """Start empty."""
        self.rows = {}
        self.version = 1
        self.changes = []
        self.changed = asyncio.Event()
        # Called with the caller and the request before anything is done.
        self.before = None

    async def listen(self, caller):
        """Serve one caller at a port of its own; return the address."""

        async def handle(method, target, headers, body):
            if self.before is not None:
                refused = await self.before(caller, method, target, body)
                if refused is not None:
                    return refused
            return await self.answer(method, target, body)

        _, port = await serve(handle)
        return f"{HOST}:{port}"

    async def answer(self, method, target, body):
        """Answer one call."""
        parts = urlsplit(target)
        query = {name: v[0] for name, v in parse_qs(parts.query).items()}
        await asyncio.sleep(ANSWER_S)
        if parts.path == "/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            return self.transact(json.loads(body))
        if parts.path == "/rows-get":
            return 200, self.get(query)
        if parts.path == "/rows-feed":
            return 200, await self.feed(query)
        return 404, {}

    def transact(self, body):
        """Apply a transaction, or return 412 and change nothing."""
        for expected in body["expect"]:
            row = self.rows.get(self.name_of(expected))
            if (row[1] if row else 0) != expected["version_number"]:
                names = [self.name_of(each) for each in body["expect"]]
                found = [self.wire(n) for n in names if n in self.rows]
                return 412, self.signed({"rows": found})
        self.version += 1
        for write in body["writes"]:
            self.rows[self.name_of(write)] = (write["value"], self.version)
            self.changes.append((self.version, self.name_of(write)))
        for removed in body["remove"]:
            self.rows.pop(self.name_of(removed), None)
            self.changes.append((self.version, self.name_of(removed)))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, self.signed({})

    def put(self, table, key, value):
        """Write a row as the operator or a runner does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = b64encode(data).decode()
        row = {"table": table, "part": "", "key": key, "value": text}
        self.transact({"expect": [], "writes": [row], "remove": []})

    def remove(self, table, key):
        """Remove a row."""
        row = {"table": table, "part": "", "key": key}
        self.transact({"expect": [], "writes": [], "remove": [row]})

    def get(self, query):
        """Return a page of rows."""
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("target")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        names = sorted(
            name
            for name in self.rows
            if name[:2] == (table, part)
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        page = [self.wire(name) for name in names[:limit]]
        return self.signed({"rows": page, "more_pages": len(names) > limit})

    async def feed(self, query):
        """Return the rows of a table that have changed after a version."""
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            found = {}
            for version, name in reversed(self.changes):
                if version <= after:
                    break
                if name[0] == query["table"]:
                    found.setdefault(name, version)
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                names = sorted(found, key=found.get)
                rows = [self.wire(name, found[name]) for name in names]
                return self.signed({"rows": rows})
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass

    def signed(self, fields):
        """Return an answer with the newest version and the clock."""
        fields.setdefault("version_number", self.version)
        fields.setdefault("now_ms", round(now_ms()))
        return fields

    def wire(self, name, version=0):
        """Return a row as the store sends it."""
        fields = {"table": name[0], "part": name[1], "key": name[2]}
        row = self.rows.get(name)
        if row is None:
            return {**fields, "version_number": version, "deleted": True}
        return {**fields, "value": row[0], "version_number": row[1]}

    @staticmethod
    def name_of(fields):
        """Return the name of the row that an entry names."""
        return fields["table"], fields["part"], fields["key"]


class Run:
    """One run of a task on one runner."""

    def __init__(self, task, number, runner, step, specification):
        """Begin the run now."""
        self.task, self.number, self.runner = task, number, runner
        self.step, self.specification = step, specification
        self.started_s = time.monotonic()
        self.worked_s = 0.0
        self.stop_s = None
        self.ended_s = None
        self.how = ""
        self.taken_note_s = None


class Fleet:
    """The runners of one service, and every run that they began."""

    def __init__(self, store, service, log):
        """Create a fleet without runners."""
        self.store, self.service, self.log = store, service, log
        self.runners = {}
        self.runs = []
        self.jobs = {}
        # Returns how a run ends: "done" or "failed".
        self.outcome = lambda run: "done"
        # Returns how long a run of a task that lasts works until it fails.
        self.lasts_s = lambda run: inf
        self.hold_maximum_ms = 6000

    def step_of(self, task):
        """Return the step of a task, as the consumer sent it."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def add(self, name, zone, rack, capacity, label="a"):
        """Start a runner and return it."""
        runner = Runner(self, name, zone, rack, capacity, label)
        await runner.start()
        self.runners[name] = runner
        return runner

    async def machines(self, method, target, headers, body):
        """Answer a call for the list of machines."""
        await asyncio.sleep(ANSWER_S)
        entries = [
            {
                "machine": f"m-{runner.name}",
                "pool": self.service,
                "state": "up" if runner.up else "down",
                "zone": runner.zone,
                "labels": runner.labels,
                "capacity": runner.capacity,
                "identifier": runner.name if runner.up else "",
            }
            for runner in self.runners.values()
        ]
        return 200, {"machines": entries, "next_page_token": None}


class Runner:
    """One runner: starts, stops, leases, fencing tokens and lists."""

    def __init__(self, fleet, name, zone, rack, capacity, label):
        """Create a runner that has just started."""
        self.fleet, self.name, self.zone = fleet, name, zone
        self.labels, self.capacity = [label, rack], capacity
        self.state = "ready"
        self.draining = {}
        self.writers = set()
        self.ended_event = asyncio.Event()
        self.boot()
        # Called with the path and the body before an order is looked at.
        self.before = None

    def boot(self):
        """Begin to run; nothing of before is held or known."""
        self.up = True
        self.born = round(time.time() * 1000)
        self.booted_s = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_until_ms = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.number = 0

    def stop_all(self, how):
        """End all runs and connections; nothing more is answered."""
        self.up = False
        for run in self.running.values():
            run.how, run.ended_s = how, time.monotonic()
        self.running.clear()
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def crash(self, down_s, late=()):
        """Crash, and start again under the same identifier.

        The ``late`` orders are carried out first.
        """
        self.stop_all("lost")
        self.fleet.log(f"{self.name} crashes")
        await asyncio.sleep(down_s)
        self.boot()
        self.fleet.log(f"{self.name} is back, born {self.born}")
        for fields in late:
            self.fence = fields["fencing_token"]
            status, answer = self.start_run(fields)
            self.fleet.log(f"{self.name} carries out a late order: {status}")
        port = int(self.address.rpartition(":")[2])
        self.server, _ = await serve(self.handle, self.writers, port)
        self.beat()

    async def start(self):
        """Listen, report to the store, and work."""
        self.server, port = await serve(self.handle, self.writers)
        self.address = f"{HOST}:{port}"
        self.beat()
        self.tasks = [
            asyncio.ensure_future(self.beat_forever()),
            asyncio.ensure_future(self.work_forever()),
        ]

    def clock_ms(self):
        """Return the time on the runner's clock."""
        return round((time.monotonic() - self.booted_s) * 1000) + 100_000

    def entry(self):
        """Return what the runner reports of itself."""
        self.sequence += 1
        return {
            "service": self.fleet.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "sequence": self.sequence,
            **self.draining,
        }

    async def leave(self, drain_s, longer_s):
        """Report `draining`, serve on for a while, and exit for good."""
        self.state = "draining"
        self.draining = {"remaining_ms": round(drain_s * 1000)}
        self.beat()
        self.fleet.log(f"{self.name} drains, and stays for {drain_s} s")
        await asyncio.sleep(drain_s + longer_s)
        self.stop_all("left")
        del self.fleet.runners[self.name]
        self.fleet.store.remove("servers", self.name)
        self.fleet.log(f"{self.name} exits, and its machine is taken away")

    def beat(self):
        """Write the entry to the store."""
        self.fleet.store.put("servers", self.name, self.entry())

    async def beat_forever(self):
        """Write the entry at intervals."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                self.beat()

    async def work_forever(self):
        """Let the runs work, and end those that are due."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_S)
            passed_s = time.monotonic() - last_s
            last_s += passed_s
            self.lapse()
            for run in list(self.running.values()):
                self.work(run, passed_s)

    def lapse(self):
        """End everything if the lease has expired."""
        if self.clock_ms() > self.lease_until_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def work(self, run, passed_s):
        """Let one run work for a time."""
        if run.stop_s is not None:
            if time.monotonic() >= run.stop_s:
                self.end(run, "stopped")
            return
        run.worked_s += passed_s
        if run.step.get("long_running"):
            if run.worked_s >= self.fleet.lasts_s(run):
                self.end(run, "failed")
            return
        if run.worked_s * 1000 >= run.step.get("estimate_ms", 0):
            self.end(run, self.fleet.outcome(run))

    def end(self, run, how):
        """End a run and list its end."""
        run.how, run.ended_s = how, time.monotonic()
        del self.running[run.task, run.number]
        self.raise_highest(run.task, run.number)
        self.number += 1
        self.ended.append((self.number, run))
        self.fleet.log(f"{self.name} ends {run.task} run {run.number}: {how}")
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def raise_highest(self, task, number):
        """Note that no run up to a number may start any more."""
        self.highest[task] = max(number, self.highest.get(task, 0))

    async def handle(self, method, target, headers, body):
        """Answer an order."""
        if not self.up:
            raise Reset
        path = urlsplit(target).path
        fields = json.loads(body) if body else {}
        expected = headers.get("damaskstall-expected-instance", self.name)
        if expected != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        if self.before is not None:
            await self.before(path, fields)
        if fields.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = fields.get("fencing_token", 0)
        if path == "/run-start":
            return self.start_run(fields)
        if path == "/run-stop":
            return self.stop_run(fields)
        if path == "/hold":
            return await self.hold(fields)
        return 404, {}

    def extend(self, deadline_ms):
        """Extend the lease, which is never shortened."""
        until_ms = min(deadline_ms, self.clock_ms() + self.fleet.hold_maximum_ms)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def start_run(self, fields):
        """Begin a run unless it is late, old or already there."""
        answer = {"clock_ms": self.clock_ms()}
        task, number = fields["task"], fields["run"]
        if fields["deadline_ms"] < self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self.lapse()
        self.extend(fields["deadline_ms"])
        if (task, number) in self.running:
            return 200, answer
        if number <= self.highest.get(task, 0):
            return 409, {**answer, "reason": "old"}
        step = self.fleet.step_of(task)
        run = Run(task, number, self, step, fields["specification"])
        self.running[task, number] = run
        self.fleet.runs.append(run)
        self.fleet.log(f"{self.name} starts {task} run {number}")
        return 200, answer

    def stop_run(self, fields):
        """Stop a run, or refuse its later start."""
        task, number = fields["task"], fields["run"]
        self.raise_highest(task, number)
        run = self.running.get((task, number))
        if run is not None and run.stop_s is None:
            run.stop_s = time.monotonic() + 0.1
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, fields):
        """Extend the lease, forget ends, and return both lists."""
        self.lapse()
        last = fields["last_seen"]
        for number, run in self.ended:
            if number <= last:
                run.taken_note_s = time.monotonic()
        self.ended = [each for each in self.ended if each[0] > last]
        if "deadline_ms" in fields:
            self.extend(fields["deadline_ms"])
        end_s = time.monotonic() + min(fields.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end_s:
            try:
                left_s = end_s - time.monotonic()
                await asyncio.wait_for(self.ended_event.wait(), left_s)
            except asyncio.TimeoutError:
                break
        if not self.up:
            raise Reset
        running = [
            [run.task, run.number, "", self.percent(run)]
            for run in self.running.values()
        ]
        ended = [
            [number, run.task, run.number, run.how, ""]
            for number, run in self.ended[:500]
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": ended,
        }

    @staticmethod
    def percent(run):
        """Return the progress of a run."""
        if run.step.get("long_running"):
            return 100
        estimate_ms = max(1, run.step.get("estimate_ms", 0))
        return min(99, int(run.worked_s * 1e5 / estimate_ms))

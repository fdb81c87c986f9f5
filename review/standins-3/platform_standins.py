"""Small stand-ins of the platform, its runners and its clients.

Only the standard library is used. All servers of a case run in one process
and on one event loop; the project's own programs are separate processes,
started by ``nodes.py``. What the operators' pages leave open, the stand-ins
do as a sound server, runner or client would.
"""

import asyncio
import base64
import itertools
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

from nodes import own_host

HOST = "127.0.0.1"
RUNNER_PORT = 8080
ANSWER_S = 0.004
TRANSACTION_S = 0.005
HOLD_MAXIMUM_S = 6.0
GANG_S = 3.0
STOP_S = 0.1
BEAT_S = 1.5
LIST_PAGE = 200


class Record:
    """What was sent, answered and run, in the order of the events."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.began_s

    def add(self, text):
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class HttpServer:
    """A server of one port; its handler returns a status and a JSON body."""

    def __init__(self, handler, host=HOST, port=0):
        self.handler = handler
        self.host = host
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening, and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    text = (await reader.readline()).decode().strip()
                    if not text:
                        break
                    name, _, value = text.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json"
                    f"\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, target, value=None, headers=(), limit_s=3.0):
    """Call a server; return a status and a JSON value, or None."""
    host, _, port = address.rpartition(":")
    body = b"" if value is None else json.dumps(value).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", f"content-length: {len(body)}"]
            named = dict(headers)
            named.setdefault("host", address)
            lines += [f"{name}: {text}" for name, text in named.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            status = int((await reader.readline()).split()[1])
            length = 0
            while True:
                text = (await reader.readline()).decode().strip().lower()
                if not text:
                    break
                if text.startswith("content-length:"):
                    length = int(text.partition(":")[2])
            data = await reader.readexactly(length)
            return status, json.loads(data) if data else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None


class Store:
    """The platform's store: rows, conditional transactions and a feed."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changes = []
        self.server = HttpServer(self._handle)
        self.changed = asyncio.Event()
        # Called before a call; a status refuses it, None lets it through.
        self.refuse = lambda path, query, body: None

    def put(self, table, key, value, part=""):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, part, key), text)])

    def remove(self, table, key, part=""):
        self._apply([((table, part, key), None)])

    def _apply(self, writes):
        self.version += 1
        for name, text in writes:
            self.rows[name] = (text, self.version)
            self.changes.append((self.version, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def _wire(self, name):
        text, version = self.rows.get(name, (None, 0))
        fields = dict(zip(("table", "part", "key"), name))
        fields["version_number"] = version
        if text is None:
            fields["deleted"] = True
        else:
            fields["value"] = text
        return fields

    def _tail(self, **fields):
        now_ms = round(time.monotonic() * 1000)
        return {"version_number": self.version, "now_ms": now_ms, **fields}

    async def _handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(
            parts.query, keep_blank_values=True).items()}
        refusal = self.refuse(parts.path, query, body)
        if refusal is not None:
            return refusal, {}
        await asyncio.sleep(ANSWER_S)
        if parts.path == "/rows-tx":
            return await self._transact(json.loads(body))
        if parts.path == "/rows-get":
            return self._get(query)
        if parts.path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    async def _transact(self, body):
        await asyncio.sleep(TRANSACTION_S)

        def name_of(each):
            return each["table"], each["part"], each["key"]

        names = [name_of(each) for each in body["expect"]]
        for name, each in zip(names, body["expect"]):
            text, version = self.rows.get(name, (None, 0))
            if (0 if text is None else version) != each["version_number"]:
                return 412, {"rows": [self._wire(each) for each in names]}
        writes = [(name_of(each), each["value"]) for each in body["writes"]]
        writes += [(name_of(each), None) for each in body["remove"]]
        self._apply(writes)
        return 200, self._tail()

    def _get(self, query):
        limit = min(int(query.get("limit", "500")), 500)
        names = sorted(
            name for name, (text, _) in self.rows.items()
            if name[:2] == (query["table"], query["part"])
            and text is not None and name[2] >= query.get("from", "")
            and ("target" not in query or name[2] < query["target"])
        )
        rows = [self._wire(name) for name in names[:limit]]
        return 200, self._tail(rows=rows, more_pages=len(names) > limit)

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            changed = self.changed
            names = {}
            for version, name in self.changes:
                if version > after and name[0] == table:
                    names.pop(name, None)
                    names[name] = None
            left_s = end_s - time.monotonic()
            if names or left_s <= 0:
                return 200, self._tail(rows=[self._wire(n) for n in names])
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


class Run:
    """One run of a task on a runner."""

    def __init__(self, task, number, runner):
        self.task = task
        self.number = number
        self.runner = runner
        self.started_s = time.monotonic()
        self.worked_s = 0.0
        self.how = ""
        self.stop_s = None

    @property
    def group(self):
        """The step of an occurrence, as ID.K.STEP."""
        return self.task.rpartition(".")[0]


class Runner:
    """One machine and its present runner."""

    def __init__(self, fleet, number, zone, rack):
        self.fleet = fleet
        self.machine = f"m-{number:04x}"
        self.zone = zone
        self.rack = rack
        self.number = number
        self.lives = 0
        self.up = False
        # Whether the runner is partitioned from all instances and the store.
        self.cut = False
        self.server = None
        # Nothing else uses the address, so its port stays free in a crash.
        self.host = own_host(100 + number)
        self.name = ""

    def boot(self, keep_name=False):
        self.lives += 1
        if not (keep_name and self.name):
            self.name = f"i-{self.number:04x}{self.lives:04x}"
        self.born = round(time.time() * 1000)
        self.boot_s = time.monotonic()
        self.fence = 0
        self.lease_s = float("-inf")
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.highest = {}
        self.sequence = 0
        self.wake = asyncio.Event()
        self.up = True

    async def listen(self):
        self.server = HttpServer(self._handle, self.host, RUNNER_PORT)
        await self.server.start()

    def crash(self):
        """End everything at once; nothing is said any more."""
        self.up = False
        self.server.stop()
        for run in self.running.values():
            run.how = "lost"
            self.fleet.note_end(self, run)
        self.running = {}

    def clock_ms(self):
        return round((time.monotonic() - self.boot_s) * 1000) + 100_000

    def entry(self):
        self.sequence += 1
        return {
            "service": self.fleet.service,
            "address": f"{self.host}:{RUNNER_PORT}",
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0,
            "capacity": self.fleet.capacity, "labels": ["a", self.rack],
            "clock_ms": self.clock_ms(), "sequence": self.sequence,
            "born": self.born,
        }

    def machine_entry(self):
        return {
            "machine": self.machine, "pool": self.fleet.service,
            "state": "up" if self.up else "down", "zone": self.zone,
            "labels": ["a", self.rack], "capacity": self.fleet.capacity,
            "identifier": self.name if self.up else "",
        }

    async def _handle(self, method, target, headers, body):
        life = self.lives
        if self.cut:
            # Nothing arrives, and nothing is said.
            await asyncio.sleep(3600.0)
        if target == "/health":
            return 200, {}
        if headers.get("damaskstall-expected-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        value = json.loads(body)
        if target == "/run-start":
            self.fleet.orders += 1
            due = self.fleet.late_order(self, value)
            if due is not None:
                self.fleet.late_orders += 1
                self.fleet.record.add(
                    f"unanswered start of {value['task']} run {value['run']} "
                    f"on {self.name}"
                )
                asyncio.ensure_future(self._start_late(value, due))
                await asyncio.sleep(3600.0)
        if value.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = value.get("fencing_token", 0)
        if target == "/run-start":
            return self._start(value)
        if target == "/run-stop":
            return self._stop(value)
        if target == "/hold":
            return await self._hold(value, life)
        return 404, {}

    def _extend(self, deadline_ms):
        now_ms = self.clock_ms()
        left_s = min((deadline_ms - now_ms) / 1000, HOLD_MAXIMUM_S)
        self.lease_s = max(self.lease_s, time.monotonic() + left_s)

    def _start(self, value):
        task, number = value["task"], value["run"]
        if value["deadline_ms"] < self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.fleet.lapse(self)
        self._extend(value["deadline_ms"])
        if (task, number) not in self.running:
            if number <= self.highest.get(task, 0):
                return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
            run = Run(task, number, self)
            self.running[task, number] = run
            self.fleet.note_start(self, run, value)
        return 200, {"clock_ms": self.clock_ms()}

    async def _start_late(self, value, due):
        """Carry out a start later, by whichever life there is then."""
        sent_s = time.monotonic()
        await due.wait()
        late_s = time.monotonic() - sent_s
        self.fleet.lateness_s.append(late_s)
        if not self.up or value["fencing_token"] < self.fence:
            result = "refused"
        else:
            self.fence = value["fencing_token"]
            status, answer = self._start(value)
            result = answer.get("reason", status)
        self.fleet.record.add(
            f"late start of {value['task']} run {value['run']} on "
            f"{self.name}, {late_s:.1f} s late: {result}"
        )

    def _stop(self, value):
        key = value["task"], value["run"]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.running.get(key)
        if run is not None and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, value, life):
        self.fleet.lapse(self)
        seen = value.get("last_seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.fleet.note_taken(self, end)
        self.ended = [end for end in self.ended if end[0] > seen]
        if "deadline_ms" in value:
            self._extend(value["deadline_ms"])
        end_s = time.monotonic() + min(value.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < end_s:
            wake = self.wake
            try:
                await asyncio.wait_for(wake.wait(), end_s - time.monotonic())
            except asyncio.TimeoutError:
                break
        if self.lives != life or not self.up:
            return None
        return 200, {
            "clock_ms": self.clock_ms(), "born": self.born,
            "running": [
                [run.task, run.number, "", self.fleet.percent(run), 0]
                for run in self.running.values()
            ],
            "ended": [list(end) for end in self.ended[:500]],
        }

    def end(self, run, how):
        self.running.pop((run.task, run.number), None)
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        run.how = how
        self.last_number += 1
        self.ended.append((self.last_number, run.task, run.number, how, ""))
        self.fleet.note_end(self, run)
        self.wake.set()
        self.wake = asyncio.Event()


class Fleet:
    """All runners, the list of machines, and what ran where and when."""

    def __init__(self, store, record, racks, per_rack, capacity, zones):
        self.store = store
        self.record = record
        self.service = "svc-a"
        self.capacity = capacity
        numbers = itertools.count(1)
        self.runners = [
            Runner(self, next(numbers), zones[rack % len(zones)], f"r1-{rack}")
            for rack in range(racks) for _ in range(per_rack)
        ]
        self.machines = HttpServer(self._list)
        self.jobs = {}
        # (time, task, run, runner name, event): starts, ends and notes.
        self.events = []
        # Called with each started run; returns seconds until its runner
        # crashes, or None.
        self.crash_after = lambda run: None
        # Called with a run at work; returns after how many seconds of work it
        # fails by its own fault.
        self.fails_after = lambda run: float("inf")
        self.crashes = []
        # Called with a runner and an order to start; returns the event at
        # which the order is carried out, without an answer, or None.
        self.late_order = lambda runner, value: None
        self.orders = 0
        self.late_orders = 0
        self.lateness_s = []
        self.down_s = 3.0
        self.keeps_name = False
        self.list_refused = False
        self.list_answers = 0

    async def start(self):
        await self.machines.start()
        for runner in self.runners:
            runner.boot()
            await runner.listen()
            self.store.put("servers", runner.name, runner.entry())
        self.tasks = [asyncio.ensure_future(self._tick())]
        for runner in self.runners:
            self.tasks.append(asyncio.ensure_future(self._beat(runner)))

    async def _beat(self, runner):
        await asyncio.sleep(random.random() * BEAT_S)
        while True:
            if runner.up and not runner.cut:
                self.store.put("servers", runner.name, runner.entry())
            await asyncio.sleep(BEAT_S)

    async def _list(self, method, target, headers, body):
        if self.list_refused:
            return 503, {}
        await asyncio.sleep(ANSWER_S)
        self.list_answers += 1
        entries = [runner.machine_entry() for runner in self.runners]
        return 200, {"machines": entries, "next_page_token": None}

    def step_of(self, run):
        job_id, _, step, _ = run.task.split(".")
        return self.jobs[job_id]["steps"][int(step)]

    def percent(self, run):
        whole_s = self.step_of(run)["estimate_ms"] / 1000
        return min(99, round(100 * run.worked_s / whole_s))

    def note(self, runner, run, event):
        self.events.append(
            (time.monotonic(), run.task, run.number, runner.name, event)
        )
        self.record.add(f"{event:9} {run.task} run {run.number} on "
                        f"{runner.name} ({runner.machine}, {runner.rack})")

    def note_start(self, runner, run, value):
        self.note(runner, run, "started")
        delay_s = self.crash_after(run)
        if delay_s is not None:
            asyncio.ensure_future(self._crash_later(runner, run, delay_s))

    def note_end(self, runner, run):
        self.note(runner, run, run.how)

    def note_taken(self, runner, end):
        self.events.append(
            (time.monotonic(), end[1], end[2], runner.name, "taken " + end[3])
        )

    async def _crash_later(self, runner, run, delay_s):
        life = runner.lives
        await asyncio.sleep(delay_s)
        if runner.lives == life and runner.up and not run.how:
            self.crashes.append((time.monotonic(), run.task, run.number))
            await self.crash(runner, f"crashes under {run.task}")

    async def crash(self, runner, why):
        """Crash a runner; it is back after ``down_s``."""
        self.record.add(f"runner {runner.name} ({runner.machine}) {why}")
        name = runner.name
        runner.crash()
        asyncio.ensure_future(self._expire(runner, name))
        await asyncio.sleep(self.down_s)
        runner.boot(self.keeps_name)
        await runner.listen()
        if not runner.cut:
            self.store.put("servers", runner.name, runner.entry())
        self.record.add(f"runner {runner.name} ({runner.machine}) is up")

    async def _expire(self, runner, name):
        await asyncio.sleep(3 * BEAT_S)
        if runner.name != name or not runner.up:
            self.store.remove("servers", name)

    def lapse(self, runner):
        if runner.running and time.monotonic() > runner.lease_s:
            for run in list(runner.running.values()):
                runner.end(run, "lapsed")

    def members(self, run):
        """Return the runs of a gang that are present with a run."""
        return [
            other for runner in self.runners if runner.up
            for other in runner.running.values()
            if other.group == run.group and other.number == run.number
        ]

    async def _tick(self):
        """Let the tasks work, stop, lapse and end."""
        last_s = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now_s = time.monotonic()
            passed_s, last_s = now_s - last_s, now_s
            for runner in self.runners:
                if runner.up:
                    self.lapse(runner)
                    for run in list(runner.running.values()):
                        self._advance(runner, run, passed_s, now_s)

    def _advance(self, runner, run, passed_s, now_s):
        if run.how:
            return
        step = self.step_of(run)
        if run.stop_s is not None and now_s >= run.stop_s:
            runner.end(run, "stopped")
            return
        if step.get("gang"):
            members = self.members(run)
            if len(members) == step["count"]:
                for each in members:
                    each.complete = True
            elif getattr(run, "complete", False):
                runner.end(run, "broken")
                return
            elif now_s - run.started_s > GANG_S:
                runner.end(run, "alone")
                return
            else:
                return
        run.worked_s += passed_s
        if self.fails_after(run) < run.worked_s:
            runner.end(run, "failed")
            return
        if run.worked_s * 1000 >= step["estimate_ms"]:
            if step.get("gang"):
                for each in self.members(run):
                    each.runner.end(each, "done")
            else:
                runner.end(run, "done")

    def starts(self, task):
        return [e for e in self.events if e[1] == task and e[4] == "started"]

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.machines.stop()
        self.store.server.stop()
        for runner in self.runners:
            if runner.server is not None:
                runner.server.stop()

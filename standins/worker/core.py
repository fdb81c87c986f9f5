"""Implement a worker's state: epochs, task leases, holds and results.

The rules are those of docs/WORKER_INTERFACE.md: holds and leases expire, and
results are kept until they are acknowledged. Every method takes the time of
the host; the worker's own clock is that time plus an arbitrary offset.
"""

from random import Random
from time import time
from typing import Any

from standins.worker.tasks import (
    ACTIVE,
    EXPIRED,
    FAILED,
    PREPARED,
    RUNNING,
    STOPPED,
    SUCCEEDED,
    Task,
    TaskKey,
    WorkerFaults,
)

CLOCK_OFFSET_LIMIT_S = 100_000.0


class WorkerCore:
    """The tasks of one worker, to which it applies exchanges."""

    def __init__(
        self, name: str, accelerators: int, seed: int, time_scale: float = 1.0
    ) -> None:
        """Start without tasks, with a random clock offset."""
        random = Random(f"{name}/{seed}")
        self.name = name
        self.accelerators = accelerators
        self.time_scale = time_scale
        self.offset_s = random.uniform(0, CLOCK_OFFSET_LIMIT_S)
        self.boot = f"{random.getrandbits(48):x}"
        self.epoch = 0
        self.sequence = 0
        self.version = 1
        self.tasks: dict[TaskKey, Task] = {}
        self.records: list[dict[str, Any]] = []
        self.faults = WorkerFaults()
        self.exchanges = 0

    def restart(self, now_s: float) -> None:
        """Discard tasks, epoch and sequence, as a machine reset does."""
        self.advance(now_s)
        for task in self.tasks.values():
            if task.state in ACTIVE:
                self.end(task, STOPPED, "the worker was restarted", now_s)
        self.tasks.clear()
        self.epoch = 0
        self.sequence = 0
        self.boot = f"{int(self.boot, 16) + 1:x}"
        self.offset_s += 1000.0
        self.version += 1

    def exchange(self, request: dict[str, Any], now_s: float) -> Any:
        """Apply one exchange and return the answer."""
        self.advance(now_s)
        self.exchanges += 1
        refused: list[dict[str, Any]] = []
        problem = self.admit(request)
        if problem:
            self.record_refusal(request, problem, now_s)
        else:
            self.renew(request)
            for index, command in enumerate(request.get("commands", ())):
                reason = self.apply(request, command, now_s)
                if reason:
                    refused.append({"index": index, "reason": reason})
        return self.answer(request, problem, refused, now_s)

    def admit(self, request: dict[str, Any]) -> str:
        """Accept the epoch and sequence of an exchange.

        Return why the whole exchange is refused, or an empty string.
        """
        epoch, sequence = request["epoch"], request["sequence"]
        if epoch < self.epoch:
            return "stale epoch"
        if epoch == self.epoch and sequence <= self.sequence:
            return "stale sequence"
        self.epoch = epoch
        self.sequence = sequence
        if request.get("boot", self.boot) != self.boot:
            return "restarted"
        return ""

    def renew(self, request: dict[str, Any]) -> None:
        """Extend the leases of all running tasks."""
        until_s = request.get("renew_until_s")
        if until_s is None:
            return
        for task in self.tasks.values():
            if task.state == RUNNING:
                task.lease_until_s = max(task.lease_until_s, until_s)

    def apply(
        self, request: dict[str, Any], command: dict[str, Any], now_s: float
    ) -> str:
        """Apply one command; return why it is refused or an empty string."""
        key = (command["job"], command["attempt"], command["task"])
        not_after_s = command.get("not_after_s")
        if not_after_s is not None and self.clock_s(now_s) > not_after_s:
            reason = "late"
        elif command["do"] == "prepare":
            reason = self.prepare(request, command, key, now_s)
        else:
            reason = self.apply_to_task(request, command, key, now_s)
        if reason:
            self.record("refused", key, None, request["epoch"], reason, now_s)
        return reason

    def prepare(
        self,
        request: dict[str, Any],
        command: dict[str, Any],
        key: TaskKey,
        now_s: float,
    ) -> str:
        """Hold accelerators for a task; return why not or an empty string."""
        known = self.tasks.get(key)
        if known is not None:
            return "" if known.state == PREPARED else "task is known"
        first, count = command["first"], command["count"]
        if first < 0 or first + count > self.accelerators:
            return "no such accelerators"
        if any(t.overlaps(first, count) for t in self.tasks.values()):
            return "accelerators in use"
        task = Task(key, command, request["cell"], request["epoch"])
        self.tasks[key] = task
        self.version += 1
        self.record("prepared", key, task, request["epoch"], "", now_s)
        return ""

    def apply_to_task(
        self,
        request: dict[str, Any],
        command: dict[str, Any],
        key: TaskKey,
        now_s: float,
    ) -> str:
        """Run, stop, acknowledge, throttle or checkpoint a task.

        Return why the command is refused, or an empty string.
        """
        action = command["do"]
        task = self.tasks.get(key)
        if action == "run":
            return self.run(request, task, now_s)
        if action == "stop":
            if task is not None and task.state in ACTIVE:
                self.end(task, STOPPED, "stopped on request", now_s)
            return ""
        if action == "ack":
            return self.acknowledge(key, task)
        if task is None or task.state != RUNNING:
            return "task does not run"
        task.advance(self.clock_s(now_s))
        if action == "throttle":
            task.rate = float(command["share"]) / self.slowdown()
            return ""
        task.checkpoint = f"{task.done_s:.3f}"
        self.version += 1
        self.record(
            "checkpointed", key, task, request["epoch"], task.checkpoint, now_s
        )
        return ""

    def run(
        self, request: dict[str, Any], task: Task | None, now_s: float
    ) -> str:
        """Start a prepared task; return why not, or an empty string."""
        if task is None or task.state != PREPARED:
            return "task is not prepared"
        if "renew_until_s" not in request:
            return "no lease"
        clock_s = self.clock_s(now_s)
        task.state = RUNNING
        task.ran = True
        task.started_s = clock_s
        task.updated_s = clock_s
        task.rate = 1.0 / self.slowdown()
        task.lease_until_s = request["renew_until_s"]
        self.version += 1
        self.record("run", task.key, task, request["epoch"], "", now_s)
        if self.faults.fail_all:
            self.end(task, FAILED, "the worker fails every task", now_s)
        return ""

    def acknowledge(self, key: TaskKey, task: Task | None) -> str:
        """Remove an ended task; return why not, or an empty string."""
        if task is None:
            return ""
        if task.state in ACTIVE:
            return "task has not ended"
        del self.tasks[key]
        self.version += 1
        return ""

    def advance(self, now_s: float) -> None:
        """Expire holds and leases and finish work up to a time."""
        clock_s = self.clock_s(now_s)
        for task in list(self.tasks.values()):
            if task.state == PREPARED and task.hold_until_s <= clock_s:
                self.end(task, EXPIRED, "the hold expired", now_s)
            elif task.state == RUNNING:
                self.advance_running(task, clock_s, now_s)

    def advance_running(
        self, task: Task, clock_s: float, now_s: float
    ) -> None:
        """End a running task whose work is done or whose lease expired."""
        completion_s = self.work_end_s(task)
        if task.lease_until_s <= clock_s and task.lease_until_s < completion_s:
            self.end(task, EXPIRED, "the lease expired", now_s)
        elif completion_s <= clock_s:
            if task.work.get("outcome", "succeed") == "fail":
                self.end(task, FAILED, "the work failed", now_s)
                return
            task.output = str(task.work.get("output", ""))
            self.end(task, SUCCEEDED, "", now_s)

    def work_end_s(self, task: Task) -> float:
        """Return when a task's work ends on the worker's clock."""
        hangs = task.work.get("outcome") == "hang" or self.faults.hang_all
        return float("inf") if hangs else task.completion_s()

    def next_event_s(self, now_s: float) -> float:
        """Return the host's time at which the next task expires or ends."""
        earliest_s = float("inf")
        for task in self.tasks.values():
            if task.state == PREPARED:
                earliest_s = min(earliest_s, task.hold_until_s)
            elif task.state == RUNNING:
                end_s = min(task.lease_until_s, self.work_end_s(task))
                earliest_s = min(earliest_s, end_s)
        return earliest_s - self.offset_s

    def end(self, task: Task, state: str, detail: str, now_s: float) -> None:
        """End a task; its result is kept until it is acknowledged."""
        task.state = state
        task.detail = detail
        self.version += 1
        event = "finished" if state == SUCCEEDED else state
        self.record(event, task.key, task, task.epoch, detail, now_s)

    def slowdown(self) -> float:
        """Return the factor by which work takes longer than declared."""
        return self.time_scale * self.faults.slow_factor

    def clock_s(self, now_s: float) -> float:
        """Return the worker's own clock at a time of the host."""
        return now_s + self.offset_s

    def answer(
        self,
        request: dict[str, Any],
        problem: str,
        refused: list[dict[str, Any]],
        now_s: float,
    ) -> dict[str, Any]:
        """Return the answer; omit tasks that the caller has seen."""
        answer: dict[str, Any] = {
            "boot": self.boot,
            "now_s": self.clock_s(now_s),
            "epoch": self.epoch,
            "version": self.version,
        }
        if problem:
            answer["problem"] = problem
        if refused:
            answer["refused"] = refused
        if request.get("seen_version") != self.version:
            tasks = self.tasks.values()
            answer["tasks"] = [task.report() for task in tasks]
        return answer

    def record_refusal(
        self, request: dict[str, Any], reason: str, now_s: float
    ) -> None:
        """Record each command of a refused exchange."""
        for command in request.get("commands", ()):
            key = (command["job"], command["attempt"], command["task"])
            self.record("refused", key, None, request["epoch"], reason, now_s)

    def record(
        self,
        event: str,
        key: TaskKey,
        task: Task | None,
        epoch: int,
        detail: str,
        now_s: float,
    ) -> None:
        """Append to the records that checkers read."""
        job, attempt, index = key
        self.records.append(
            {
                "time_s": now_s,
                "unix_s": time(),
                "worker": self.name,
                "event": event,
                "job": job,
                "attempt": attempt,
                "task": index,
                "first_accelerator": task.first if task else 0,
                "accelerators": task.count if task else 0,
                "epoch": epoch,
                "detail": detail,
            }
        )

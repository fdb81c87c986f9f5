"""Exchange commands and reports with one worker, one exchange at a time."""

from json import dumps
from random import Random
from typing import Any, Protocol

from trio import Event, current_time, move_on_after, sleep

from damaskstall.addresses import parse_address
from damaskstall.contact_slots import ContactSlots
from damaskstall.errors import ConnectFailedError, HttpError
from damaskstall.events import log
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.http.client import HttpClient
from damaskstall.http.messages import parse_json
from damaskstall.network import Network
from damaskstall.peers.config_store import ConfigStore
from damaskstall.placement.model import Worker
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.events import (
    WORKER_FENCED,
    WORKER_REFUSED,
    WORKER_UNREACHABLE,
)
from damaskstall.scheduler.metrics import EXCHANGE_BYTES, EXCHANGES
from damaskstall.scheduler.worker_clock import WorkerClock
from damaskstall.scheduler.worker_protocol import (
    PREPARE,
    RUN,
    Answer,
    Command,
    TaskKey,
    TaskReport,
    parse_answer,
)

# How many silent workers all cells of a process call at once. A slow processor
# opens as many connections well within ``worker_timeout_s``, 2 s by default.
SILENT_WORKER_LIMIT = 128

STALE_EPOCH = "stale epoch"
STALE_SEQUENCE = "stale sequence"

DONE = "done"
REFUSED = "refused"
NOT_SENT = "not sent"
COMMAND_LOST = "lost"


class SessionListener(Protocol):
    """Interface of an object that is notified of a worker's changes."""

    def on_worker_changed(self, session: "WorkerSession") -> None:
        """Handle a worker's new answer, or that it became unreachable."""


class PendingCommand:
    """A command whose outcome is not known yet.

    ``outcome`` is ``done``, ``refused`` or ``not sent`` if that is certain,
    and ``lost`` if the worker may or may not have accepted the command.
    """

    def __init__(self, command: Command) -> None:
        """Create a pending command."""
        self.command = command
        self.outcome = NOT_SENT
        self.reason = ""
        self.done = Event()

    def resolve(self, outcome: str, reason: str) -> None:
        """Set the outcome of the command and wake its sender."""
        self.outcome = outcome
        self.reason = reason
        self.done.set()


class WorkerSession:
    """Fences a worker, renews its tasks' leases and sends it commands."""

    def __init__(
        self,
        network: Network,
        worker: Worker,
        lease: CellLease,
        config: ConfigStore,
        settings: SchedulerSettings,
        listener: SessionListener,
        random: Random,
        contact_slots: ContactSlots,
    ) -> None:
        """Create a session with a worker under a cell lease."""
        self.worker = worker
        self.lease = lease
        self.config = config
        self.settings = settings
        self.listener = listener
        self.random = random
        self.contact_slots = contact_slots
        self.client = HttpClient(
            network, parse_address(worker.address), settings.worker_timeout_s
        )
        self.clock: WorkerClock | None = None
        self.boot = ""
        self.sequence = 0
        self.version = -1
        self.reachable = False
        self.stale = False
        self.tasks: dict[TaskKey, TaskReport] = {}
        self.answered_s = float("-inf")
        # When the tasks have certainly expired if the worker stays silent.
        self.tasks_expire_s = (
            lease.acquired_s
            + settings.outage_renew_limit_s
            + settings.task_lease_ttl_s
        )
        self.exchanges = 0
        self._pending: list[PendingCommand] = []
        self._wake = Event()

    @property
    def fenced(self) -> bool:
        """Return whether the worker has ever accepted this epoch."""
        return self.clock is not None

    def enqueue(self, command: Command) -> PendingCommand:
        """Queue a command and wake the session to send it at once."""
        pending = PendingCommand(command)
        self._pending.append(pending)
        self._wake.set()
        return pending

    async def execute(self, command: Command) -> PendingCommand:
        """Send a command and return it with its outcome."""
        pending = self.enqueue(command)
        await pending.done.wait()
        return pending

    async def run(self) -> None:
        """Exchange with the worker until cancelled."""
        failures = 0
        try:
            while True:
                was_reachable = self.reachable
                answered = await self._call(failures)
                failures = 0 if answered else failures + 1
                if self.reachable and not was_reachable:
                    # The worker is fenced; renew its task leases at once.
                    continue
                if failures:
                    await sleep(retry_delay_s(failures - 1, self.random))
                    continue
                with move_on_after(self.settings.worker_exchange_s):
                    await self._wake.wait()
        finally:
            await self.client.close()

    async def _call(self, failures: int) -> bool:
        """Make an exchange, in a slot if the worker is silent."""
        if self.reachable:
            return await self._try_exchange()
        async with self.contact_slots.of(failures):
            return await self._try_exchange()

    async def _try_exchange(self) -> bool:
        """Make an exchange; return whether the worker accepted it.

        All commands that are sent with it are resolved.
        """
        self._wake = Event()
        batch: list[PendingCommand] = []
        if self.reachable:
            batch, self._pending = self._pending, []
        outcome, reason = COMMAND_LOST, ""
        try:
            answer = await self._exchange(batch)
        except ConnectFailedError as error:
            outcome, reason = NOT_SENT, str(error)
        except (HttpError, ValueError) as error:
            reason = str(error)
        else:
            self._apply_answer(answer, batch)
            return not answer.problem
        EXCHANGES.inc({"outcome": outcome})
        self._fail_commands(batch, outcome, reason)
        return False

    async def _exchange(self, batch: list[PendingCommand]) -> Answer:
        """Send one exchange and return the answer.

        Raise HttpError if there is none, and ValueError if it is malformed or
        has another status than 200.
        """
        sent_s = current_time()
        request = self._request(batch, sent_s)
        body = dumps(request, separators=(",", ":")).encode()
        head, data = await self.client.call("POST", "/exchange", body)
        received_s = current_time()
        self.exchanges += 1
        EXCHANGE_BYTES.add({"direction": "out"}, len(body))
        EXCHANGE_BYTES.add({"direction": "in"}, len(data))
        if head.status != 200:
            raise ValueError(f"The worker answered with status {head.status}.")
        answer = parse_answer(parse_json(data))
        if answer.problem != STALE_EPOCH:
            if self.clock is None:
                # Fenced now: no other holder can renew its tasks any more.
                self.tasks_expire_s = (
                    received_s + self.settings.task_lease_ttl_s
                )
            self.clock = WorkerClock(answer.now_s, sent_s, received_s)
        return answer

    def _request(
        self, batch: list[PendingCommand], now_s: float
    ) -> dict[str, Any]:
        """Return the exchange to send now as JSON values.

        The first exchange only fences the worker, since its clock is not
        known yet. So does the first one after a silence: a renewal that may
        have arrived would delay the time from which the tasks of a silent
        worker count as ended.
        """
        self.sequence += 1
        request: dict[str, Any] = {
            "cell": self.lease.cell,
            "epoch": self.lease.epoch,
            "sequence": self.sequence,
        }
        if not self.reachable or self.clock is None:
            return request
        request["boot"] = self.boot
        request["seen_version"] = self.version
        outage_s = self.settings.outage_renew_limit_s
        if self.lease.may_renew_tasks(now_s, outage_s):
            until_s = now_s + self.settings.task_lease_ttl_s
            request["renew_until_s"] = self.clock.not_after_s(until_s)
            self.tasks_expire_s = until_s
        commands = [self._encode(p.command, now_s) for p in batch]
        if commands:
            request["commands"] = commands
        return request

    def _encode(self, command: Command, now_s: float) -> dict[str, Any]:
        assert self.clock is not None
        job, attempt, task = command.key
        encoded: dict[str, Any] = {
            "do": command.do,
            "job": job,
            "attempt": attempt,
            "task": task,
        }
        if command.do == PREPARE:
            hold_until_s = now_s + self.settings.prepare_ttl_s
            encoded["first"] = command.first_accelerator
            encoded["count"] = command.accelerators
            encoded["work"] = command.work
            encoded["hold_until_s"] = self.clock.not_after_s(hold_until_s)
            encoded["not_after_s"] = self.clock.not_after_s(
                self.lease.expires_s
            )
            if command.checkpoint:
                encoded["checkpoint"] = command.checkpoint
        elif command.do == RUN:
            deadline_s = self.start_deadline_s()
            encoded["not_after_s"] = self.clock.not_after_s(deadline_s)
        return encoded

    def start_deadline_s(self) -> float:
        """Return the deadline for starting a task.

        After the cell lease expires another holder may place jobs here, and
        after the start permit expires the failure domain may have been taken
        out.
        """
        permit_s = self.config.confirmed_s + self.settings.start_permit_ttl_s
        return min(self.lease.expires_s, permit_s)

    def _apply_answer(
        self, answer: Answer, batch: list[PendingCommand]
    ) -> None:
        """Apply an answer and resolve the commands of its exchange."""
        EXCHANGES.inc({"outcome": answer.problem or "done"})
        if answer.problem:
            log(
                WORKER_REFUSED,
                worker=self.worker.name,
                reason=answer.problem,
                epoch=answer.epoch,
            )
        if answer.problem == STALE_EPOCH:
            self.stale = True
            self._fail_commands(batch, REFUSED, answer.problem)
            return
        changed = not self.reachable or answer.tasks is not None
        if self.boot != answer.boot:
            self._start_incarnation(answer)
        self.reachable = True
        self.answered_s = current_time()
        self._apply_tasks(answer)
        for index, pending in enumerate(batch):
            reason = answer.problem or answer.refused.get(index, "")
            pending.resolve(outcome_of(answer, reason), reason)
        if changed:
            # Most answers contain no change and need no decision.
            self.listener.on_worker_changed(self)

    def _start_incarnation(self, answer: Answer) -> None:
        log(WORKER_FENCED, worker=self.worker.name, epoch=answer.epoch)
        self.boot = answer.boot
        self.version = -1
        self.tasks = {}

    def _apply_tasks(self, answer: Answer) -> None:
        if answer.tasks is not None:
            self.tasks = {report.key: report for report in answer.tasks}
            self.version = answer.version

    def _fail_commands(
        self, batch: list[PendingCommand], outcome: str, reason: str
    ) -> None:
        """Set the worker unreachable and resolve all pending commands."""
        was_reachable, self.reachable = self.reachable, False
        for pending in batch:
            pending.resolve(outcome, reason)
        # Commands that were queued during the exchange have not been sent.
        waiting, self._pending = self._pending, []
        for pending in waiting:
            pending.resolve(NOT_SENT, reason)
        if was_reachable:
            log(WORKER_UNREACHABLE, worker=self.worker.name, reason=reason)
            self.listener.on_worker_changed(self)


def outcome_of(answer: Answer, reason: str) -> str:
    """Return a command's outcome from the reason for its refusal, if any.

    A stale exchange may be the copy of one that was carried out before.
    """
    if answer.problem == STALE_SEQUENCE:
        return COMMAND_LOST
    return REFUSED if reason else DONE

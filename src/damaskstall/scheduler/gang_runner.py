"""Run the attempts of a cell: prepare, run, watch, stop, write the end."""

from collections.abc import Callable
from random import Random

from trio import CancelScope, current_time, open_nursery, sleep

from damaskstall.errors import (
    PlatformError,
    TableUnavailableError,
)
from damaskstall.events import log
from damaskstall.generated.settings import SchedulerSettings
from damaskstall.platform.types import ObjectStore
from damaskstall.resources.records import JOB_PLACED as STATE_PLACED
from damaskstall.resources.records import JobStatus
from damaskstall.scheduler.attempt import (
    CANCELLED,
    NOT_STARTED,
    PREEMPTED,
    RUNNING,
    STARTING,
    SUCCEEDED,
    TAKEN_OUT,
    Attempt,
    Outcome,
)
from damaskstall.scheduler.attempt_objects import (
    checkpoint_key,
    load_texts,
    output_key,
    store_texts,
)
from damaskstall.scheduler.cell_lease import CellLease
from damaskstall.scheduler.events import (
    JOB_PLACED,
    JOB_STARTED,
    JOB_STOPPING,
)
from damaskstall.scheduler.job_cache import JobEntry
from damaskstall.scheduler.job_status import (
    final_status,
    is_attempt,
    may_place,
    placed_status,
    running_status,
)
from damaskstall.scheduler.job_transitions import JobTransitions
from damaskstall.scheduler.metrics import NO_LABELS, PREEMPTIONS, STARTS
from damaskstall.scheduler.worker_protocol import (
    ACK,
    CHECKPOINT,
    PREPARE,
    RUN,
    STOP,
    TASK_SUCCEEDED,
    Command,
)
from damaskstall.scheduler.worker_session import (
    COMMAND_LOST,
    DONE,
    NOT_SENT,
    PendingCommand,
)

EXPIRY_CHECK_S = 1.0
STOP_RETRY_S = 0.5
CHECKPOINTED_KINDS = frozenset({PREEMPTED, TAKEN_OUT})


class GangRunner:
    """Runs the attempts of one cell; a trio task per attempt calls it."""

    def __init__(
        self,
        lease: CellLease,
        transitions: JobTransitions,
        objects: ObjectStore,
        settings: SchedulerSettings,
        random: Random,
        unix_s: Callable[[], float],
    ) -> None:
        """Prepare to run attempts under a cell lease."""
        self.lease = lease
        self.transitions = transitions
        self.objects = objects
        self.settings = settings
        self.random = random
        self.unix_s = unix_s

    async def place(self, attempt: Attempt, guaranteed: bool) -> bool:
        """Write that a job is placed; return whether its row allowed that.

        Raise TableUnavailableError if nothing was written.
        """
        cell, epoch = self.lease.cell, self.lease.epoch

        def change(status: JobStatus) -> JobStatus:
            return placed_status(status, attempt, cell, epoch, guaranteed)

        entry = await self.transitions.update(
            attempt.name,
            lambda status: may_place(status, attempt.number),
            change,
            patient=False,
        )
        if entry is None:
            return False
        log(
            JOB_PLACED,
            job=attempt.name,
            attempt=attempt.number,
            cell=cell,
            workers=",".join(attempt.workers),
        )
        return True

    async def launch(self, attempt: Attempt) -> Outcome | None:
        """Start a placed gang; return an outcome if that failed, else None."""
        problem = await self._prepare_all(attempt)
        problem = problem or attempt.stop
        if problem is not None:
            return problem
        if not await self._write_running(attempt):
            return Outcome(NOT_STARTED, "The job's row was changed.")
        if attempt.stop is not None:
            return attempt.stop
        attempt.phase = STARTING
        return await self._run_all(attempt)

    async def watch(self, attempt: Attempt) -> Outcome:
        """Return how a running gang ended, or why it has to be stopped."""
        attempt.phase = RUNNING
        while True:
            outcome = attempt.check_outcome(current_time())
            if outcome is not None:
                return outcome
            if attempt.stop is not None:
                return attempt.stop
            await self._wait_change(attempt)

    async def finish(
        self, attempt: Attempt, outcome: Outcome
    ) -> JobStatus | None:
        """Stop running tasks, write the end and acknowledge it to workers.

        Return the status written, or None if the row no longer shows this
        attempt. Raise LeaseLostError if the lease, which is needed to
        conclude that the tasks of a silent worker have ended, was lost.
        """
        checkpoint = ""
        expired = False
        if outcome.kind != SUCCEEDED:
            log(JOB_STOPPING, job=attempt.name, reason=outcome.reason)
            checkpoint = await self._save_checkpoint(attempt, outcome)
            expired = await self._stop_all(attempt)
            if outcome.kind != CANCELLED and all_succeeded(attempt):
                outcome = Outcome(SUCCEEDED, "")
        status = await self._write_end(attempt, outcome, checkpoint, expired)
        self._acknowledge(attempt)
        return status

    async def _wait_change(self, attempt: Attempt) -> None:
        silent = any(s is None or not s.reachable for s in attempt.sessions)
        deadline_s = (
            current_time() + EXPIRY_CHECK_S if silent else float("inf")
        )
        with CancelScope(deadline=deadline_s):
            await attempt.wait_change()

    async def _prepare_all(self, attempt: Attempt) -> Outcome | None:
        entry = self.transitions.job_cache.entries.get(attempt.name)
        key = entry.status["checkpoint"] if entry else ""
        count = len(attempt.workers)
        try:
            texts = await load_texts(self.objects, key, count)
        except PlatformError:
            return Outcome(
                NOT_STARTED, "The object store did not return the checkpoint."
            )
        block = attempt.block
        commands = [
            Command(
                PREPARE,
                attempt.key(task),
                block.first_accelerator,
                block.accelerators_per_host,
                attempt.spec["work"],
                texts[task],
            )
            for task in range(count)
        ]
        for task, pending in enumerate(
            await self._execute_all(attempt, commands)
        ):
            if pending.outcome != DONE:
                return Outcome(
                    NOT_STARTED,
                    f"The worker {attempt.workers[task]} did not prepare its "
                    f"accelerators: {pending.reason or pending.outcome}.",
                )
        return None

    async def _write_running(self, attempt: Attempt) -> bool:
        """Write that the gang runs, before any run command is sent.

        So a row in state placed proves that no task of its attempt has run.
        Return whether the row allowed the change and it was written.
        """
        try:
            entry = await self.transitions.update(
                attempt.name,
                lambda status: is_attempt(
                    status, attempt.number, self.lease.cell
                )
                and status["state"] == STATE_PLACED
                and not status["cancel_requested"],
                lambda status: running_status(status, self.unix_s()),
                patient=False,
            )
        except TableUnavailableError:
            return False
        return entry is not None

    async def _run_all(self, attempt: Attempt) -> Outcome | None:
        count = len(attempt.workers)
        commands = [Command(RUN, attempt.key(task)) for task in range(count)]
        attempt.maybe_ran = set(range(count))
        problem = None
        results = await self._execute_all(attempt, commands)
        for task, pending in enumerate(results):
            if pending.outcome not in (DONE, COMMAND_LOST):
                attempt.maybe_ran.discard(task)
            if pending.outcome != DONE:
                problem = Outcome(
                    NOT_STARTED,
                    f"The worker {attempt.workers[task]} started no task: "
                    f"{pending.reason or pending.outcome}.",
                )
        if problem is None:
            attempt.started_s = current_time()
            STARTS.inc(NO_LABELS)
            log(JOB_STARTED, job=attempt.name, attempt=attempt.number)
        return problem

    async def _execute_all(
        self, attempt: Attempt, commands: list[Command]
    ) -> list[PendingCommand]:
        """Send each task's worker its command; wait until all are resolved."""
        sent = []
        for session, command in zip(attempt.sessions, commands, strict=True):
            pending = PendingCommand(command)
            if session is None:
                pending.resolve(
                    NOT_SENT, "the worker is no longer in the cell"
                )
            else:
                pending = session.enqueue(command)
            sent.append(pending)
        for pending in sent:
            await pending.done.wait()
        return sent

    async def _save_checkpoint(
        self, attempt: Attempt, outcome: Outcome
    ) -> str:
        """Save a checkpoint and return its key, or an empty string.

        ``reclaim_grace_s`` limits the time from the request to the stop.
        """
        if outcome.kind not in CHECKPOINTED_KINDS:
            return ""
        if outcome.kind == PREEMPTED:
            PREEMPTIONS.inc(NO_LABELS)
        if not attempt.started_s:
            return ""
        if not attempt.spec["checkpointable"]:
            return ""
        count = len(attempt.workers)
        checkpoint_commands = [
            Command(CHECKPOINT, attempt.key(task)) for task in range(count)
        ]
        key = checkpoint_key(attempt.name, attempt.number)
        deadline_s = current_time() + self.settings.reclaim_grace_s
        with CancelScope(deadline=deadline_s) as scope:
            results = await self._execute_all(attempt, checkpoint_commands)
            if any(pending.outcome != DONE for pending in results):
                return ""
            texts = [r.checkpoint if r else "" for r in attempt.reports()]
            await store_texts(self.objects, key, texts, self.random)
        return "" if scope.cancelled_caught else key

    async def _stop_all(self, attempt: Attempt) -> bool:
        """Stop all tasks; return whether the lease of any of them expired."""
        expired: list[int] = []
        async with open_nursery() as nursery:
            for task in range(len(attempt.workers)):
                nursery.start_soon(self._stop_task, attempt, task, expired)
        return bool(expired)

    async def _stop_task(
        self, attempt: Attempt, task: int, expired: list[int]
    ) -> None:
        session = attempt.sessions[task]
        while True:
            tasks_expire_s = (
                session.tasks_expire_s if session else self.tasks_expire_s()
            )
            if current_time() >= tasks_expire_s:
                expired.append(task)
                return
            with CancelScope(deadline=tasks_expire_s):
                if session is None:
                    await sleep(EXPIRY_CHECK_S)
                    continue
                pending = await session.execute(
                    Command(STOP, attempt.key(task))
                )
                if pending.outcome == DONE:
                    return
                await sleep(STOP_RETRY_S)

    def tasks_expire_s(self) -> float:
        """Return when the task leases of a removed worker have expired.

        No earlier holder can renew them for longer.
        """
        outage_s = self.settings.outage_renew_limit_s
        return (
            self.lease.acquired_s + outage_s + self.settings.task_lease_ttl_s
        )

    async def _write_end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        checkpoint: str,
        expired: bool,
    ) -> JobStatus | None:
        result = ""
        if outcome.kind == SUCCEEDED:
            result = output_key(attempt.name, attempt.number)
            texts = [r.output if r else "" for r in attempt.reports()]
            await store_texts(self.objects, result, texts, self.random)
        never_ran = attempt.provably_never_ran()
        losses = attempt.worker_losses()

        def change(status: JobStatus) -> JobStatus:
            return final_status(
                status,
                attempt.spec,
                outcome,
                never_ran,
                losses,
                checkpoint,
                result,
                self.unix_s(),
            )

        entry: JobEntry | None = await self.transitions.update(
            attempt.name,
            lambda s: is_attempt(s, attempt.number, self.lease.cell),
            change,
            # Only the lease holder may conclude that a silent worker's task
            # has ended: another holder could be renewing the task's lease.
            lease=self.lease if expired else None,
        )
        return entry.status if entry is not None else None

    def _acknowledge(self, attempt: Attempt) -> None:
        for task, session in enumerate(attempt.sessions):
            if session is not None and session.reachable:
                session.enqueue(Command(ACK, attempt.key(task)))


def all_succeeded(attempt: Attempt) -> bool:
    """Return whether every task of a gang has succeeded."""
    reports = attempt.reports()
    return all(r is not None and r.state == TASK_SUCCEEDED for r in reports)

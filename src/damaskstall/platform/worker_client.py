"""Call a worker in the operators' protocol."""

from math import floor
from typing import Any

from damaskstall.addresses import Address
from damaskstall.bounds import checked_float, checked_int
from damaskstall.errors import (
    DECODE_ERRORS,
    CommandNotSentError,
    CommandOutcomeUnknownError,
    CommandRefusedError,
    ConnectFailedError,
    FencedError,
    HttpError,
    WorkerReplacedError,
)
from damaskstall.http.client import HttpClient, JsonResponse
from damaskstall.network import Network
from damaskstall.tasks.model import RunKey, TaskKey, WorkerInfo
from damaskstall.tasks.ports import (
    AnswerLimit,
    EndReport,
    LeaseRenewal,
    RunReport,
    StartRequest,
    WorkerReport,
)

MILLISECONDS_PER_S = 1000
EXPECTED_INSTANCE = "damaskstall-expected-instance"
FENCED = "fence"
# Of the numbers of runs and ends, and of times in milliseconds.
COUNT_LIMIT = 10**12
TIME_MS_LIMIT = 10**15
PERCENT_LIMIT = 10**6


def encode_task_key(key: TaskKey) -> str:
    """Return the name of a task in the protocol."""
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.task_index}"


def decode_run_key(task: str, run: int) -> RunKey:
    """Return the key of the run with a task's name and a run number."""
    job_id, occurrence, step, index = task.split(".")
    return RunKey(TaskKey(job_id, int(occurrence), int(step), int(index)), run)


class HttpWorkerClient:
    """Client of one worker, with separate connections for renewals."""

    def __init__(
        self, network: Network, worker: WorkerInfo, answer_limit: AnswerLimit
    ) -> None:
        """Call the worker at its listed address, with a time limit."""
        self.network = network
        self.worker = worker
        self.answer_limit = answer_limit
        self.headers = ((EXPECTED_INSTANCE, worker.name),)
        self.renewal_client = self._client_of(worker)
        self.command_client = self._client_of(worker)
        # Clients of earlier addresses, with calls that may be under way.
        self._earlier_clients: list[HttpClient] = []

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Renew the lease of all runs; return the running and ended runs."""
        body = {
            "fencing_token": request.token,
            "last_seen": request.acknowledged_end,
            "deadline_ms": milliseconds(request.lease_until_s),
            "wait_ms": milliseconds(request.wait_s),
        }
        await self._close_earlier()
        answer = await self._call(
            self.renewal_client, "/hold", body, request.wait_s
        )
        return decode_report(answer.value)

    def is_connected(self) -> bool:
        """Return whether the next renewal uses an open connection."""
        return self.renewal_client.is_connected()

    async def start(self, request: StartRequest) -> float:
        """Start a run; return the worker's clock in seconds."""
        body = {
            "task": encode_task_key(request.key.task),
            "run": request.key.run,
            "specification": request.payload,
            # Rounded down: the worker must not carry it out any later.
            "deadline_ms": floor(request.not_after_s * MILLISECONDS_PER_S),
            "fencing_token": request.token,
        }
        if request.checkpoint:
            body["checkpoint"] = request.checkpoint
        answer = await self._call(self.command_client, "/run-start", body)
        return decode_clock_s(answer.value)

    async def stop(self, token: int, key: RunKey) -> None:
        """Stop a run; the worker lists its end once it has stopped."""
        body = {
            "task": encode_task_key(key.task),
            "run": key.run,
            "fencing_token": token,
        }
        await self._call(self.command_client, "/run-stop", body)

    def follow(self, worker: WorkerInfo) -> None:
        """Send all further calls to the address in the worker's entry."""
        self.worker = worker
        self.reconnect()

    def reconnect(self) -> None:
        """Send all further calls over new connections."""
        self._earlier_clients += [self.renewal_client, self.command_client]
        self.renewal_client = self._client_of(self.worker)
        self.command_client = self._client_of(self.worker)

    async def close(self) -> None:
        """Close the connections to the worker."""
        await self._close_earlier()
        await self.renewal_client.close()
        await self.command_client.close()

    def _client_of(self, worker: WorkerInfo) -> HttpClient:
        address = Address(worker.host, worker.port)
        return HttpClient(self.network, address, self.answer_limit())

    async def _close_earlier(self) -> None:
        """Close the connections to earlier addresses that no call uses."""
        for client in self._earlier_clients:
            await client.close()

    async def _call(
        self,
        client: HttpClient,
        path: str,
        body: dict[str, Any],
        wait_s: float = 0.0,
    ) -> JsonResponse:
        """Call the worker, which delays its answer by up to ``wait_s``."""
        client.timeout_s = self.answer_limit() + wait_s
        try:
            answer = await client.call_json(
                "POST", path, body, headers=self.headers
            )
        except ConnectFailedError as error:
            raise CommandNotSentError(str(error)) from error
        except HttpError as error:
            await client.close()
            raise CommandOutcomeUnknownError(str(error)) from error
        if answer.status != 200:
            raise refusal_error(answer, path)
        return answer


def milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds."""
    return round(seconds * MILLISECONDS_PER_S)


def refusal_error(answer: JsonResponse, path: str) -> Exception:
    """Return the error for a worker's refusal."""
    reason = ""
    if isinstance(answer.value, dict):
        reason = str(answer.value.get("reason", ""))
    text = f"The worker answered {path} with {answer.status} {reason}."
    if answer.status == 421:
        return WorkerReplacedError(text)
    if answer.status == 409 and reason == FENCED:
        return FencedError(text)
    if answer.status in (400, 409, 429, 503):
        return CommandRefusedError(text, reason)
    return CommandOutcomeUnknownError(text)


def decode_report(value: Any) -> WorkerReport:
    """Return a worker's report.

    Raises CommandOutcomeUnknownError if it is malformed.
    """
    try:
        return WorkerReport(
            decode_clock_s(value),
            checked_int("born", value.get("born", 0), 0, TIME_MS_LIMIT),
            tuple(decode_run(entry) for entry in value["running"]),
            tuple(decode_end(entry) for entry in value["ended"]),
        )
    except DECODE_ERRORS as error:
        raise CommandOutcomeUnknownError(
            f"The worker's lists cannot be decoded: {error!r}."
        ) from error


def decode_clock_s(value: Any) -> float:
    """Return the time on the worker's clock in an answer.

    Raises CommandOutcomeUnknownError if it is malformed.
    """
    try:
        clock_ms = value["clock_ms"]
        clock_ms = checked_float(
            "clock_ms", clock_ms, -TIME_MS_LIMIT, TIME_MS_LIMIT
        )
    except DECODE_ERRORS as error:
        raise CommandOutcomeUnknownError(
            f"The worker's clock cannot be decoded: {error!r}."
        ) from error
    return clock_ms / MILLISECONDS_PER_S


def checked_run(value: Any) -> int:
    """Return the number of a run."""
    return checked_int("the number of a run", value, 0, COUNT_LIMIT)


def decode_run(entry: Any) -> RunReport:
    """Return the running run that an entry describes."""
    return RunReport(
        decode_run_key(entry[0], checked_run(entry[1])),
        str(entry[2]),
        checked_float("percent", entry[3], -PERCENT_LIMIT, PERCENT_LIMIT),
    )


def decode_end(entry: Any) -> EndReport:
    """Return the ended run that an entry describes."""
    return EndReport(
        checked_int("the number of an end", entry[0], 0, COUNT_LIMIT),
        decode_run_key(entry[1], checked_run(entry[2])),
        str(entry[3]),
        str(entry[4]),
    )

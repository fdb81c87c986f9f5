"""Execute a request: choose a server, send it, and retry where allowed.

A request is retried only as long as the caller has received no part of a
response. A request that is not idempotent is sent on at most one connection.
"""

from random import Random

from trio import current_time, sleep, sleep_forever

from damaskstall.entry.call import Call
from damaskstall.entry.events import ANSWER_MISMATCHED
from damaskstall.entry.exchange import (
    Attempt,
    ServerResponse,
    StreamedResponse,
    exchange,
)
from damaskstall.entry.metrics import ATTEMPT_FAILURES, RETRIES
from damaskstall.entry.responses import DEADLINE_HEADER
from damaskstall.entry.retry_budget import RetryBudget
from damaskstall.entry.router import ServiceRouter
from damaskstall.entry.server_state import ServerState
from damaskstall.errors import (
    CallerDisconnectedError,
    ConnectFailedError,
    ConnectionLostError,
    RequestNotRunError,
    RequestOutcomeUnknownError,
    ResponseMismatchError,
    ResponseTimeoutError,
    ServerRefusedError,
)
from damaskstall.events import log

ATTEMPT_LIMIT = 3
RETRY_DELAY_S = 0.01
STATUS_NOT_RUN = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
LOWEST_FAILED_STATUS = 500


class RequestRun:
    """The execution of one request in one or more attempts."""

    def __init__(
        self,
        call: Call,
        router: ServiceRouter,
        budget: RetryBudget,
        random: Random,
    ) -> None:
        """Start with no attempt made."""
        self.call = call
        self.router = router
        self.budget = budget
        self.random = random
        self.attempts = 0
        self.avoid: frozenset[str] = frozenset()
        self.unknown: RequestOutcomeUnknownError | None = None
        self.failed: ServerResponse | None = None

    async def execute(self) -> ServerResponse:
        """Return a backend server's response.

        Raises RequestNotRunError or RequestOutcomeUnknownError, without
        further delay once no retry is allowed, and CallerDisconnectedError.
        """
        while True:
            try:
                server = await self._acquire()
            except RequestNotRunError as error:
                return self._finish(error)
            self.attempts += 1
            if self.attempts > 1:
                RETRIES.inc({"service": self.call.service})
            try:
                response = await self._attempt(server)
            except ConnectFailedError as error:
                refusal = RequestNotRunError(STATUS_NOT_RUN, str(error), 1)
                may_retry = self.attempts < ATTEMPT_LIMIT
            except ServerRefusedError as error:
                refusal = RequestNotRunError(
                    STATUS_NOT_RUN, str(error), error.retry_after_s
                )
                may_retry = self._may_retry()
            except ConnectionLostError as error:
                self.unknown = outcome_unknown_error(error)
                refusal = None
                may_retry = self._may_retry()
            else:
                if not is_failed(response) or not self._may_retry():
                    return response
                self.failed = response
                refusal = None
                may_retry = True
            if not may_retry:
                return self._finish(refusal)
            self.avoid |= {server.name}
            await self._back_off()

    async def _acquire(self) -> ServerState:
        call = self.call
        # Until the body has been read whole, input may be part of it, so a
        # disconnect of the caller cannot be awaited.
        disconnected = (
            call.caller_disconnected if call.body.complete else sleep_forever
        )
        return await self.router.acquire(
            call.team, call.deadline_s, self.avoid, disconnected
        )

    def _finish(self, refusal: RequestNotRunError | None) -> ServerResponse:
        """Return the last failed response or raise the error to report."""
        if self.failed is not None:
            return self.failed
        if self.unknown is not None:
            # An earlier attempt may have run, whatever the last one did, so
            # the outcome of the request is unknown.
            raise self.unknown
        assert refusal is not None
        raise refusal

    def _may_retry(self) -> bool:
        """Return whether to retry; if so, take the retry from the budget."""
        call = self.call
        if not call.idempotent or not call.body.can_be_sent():
            return False
        if self.attempts >= ATTEMPT_LIMIT:
            return False
        if current_time() >= call.deadline_s:
            return False
        return self.budget.try_withdraw()

    async def _back_off(self) -> None:
        longest_s = RETRY_DELAY_S * 2 ** (self.attempts - 1)
        await sleep(self.random.uniform(0, longest_s))

    async def _attempt(self, server: ServerState) -> ServerResponse:
        """Make one attempt in the slot acquired at a server.

        The slot is released here, or at the end of a streamed response.
        """
        sent_s = current_time()
        streaming = False
        try:
            response = await exchange(server.pool, self._build_attempt(sent_s))
            streaming = self._handle_response(response, server, sent_s)
            return response
        except ConnectFailedError:
            server.mark_unreachable()
            self._count_failure(server, "unreachable")
            raise
        except ServerRefusedError as error:
            self._count_failure(server, "refused")
            server.record_refusal(current_time())
            if error.leaving:
                server.record_leaving(True)
            raise
        except CallerDisconnectedError:
            raise
        except ConnectionLostError as error:
            server.record_failure(sent_s)
            self._count_failure(server, failure_cause(error))
            if isinstance(error, ResponseMismatchError):
                log(ANSWER_MISMATCHED, server=server.name, error=str(error))
            raise
        finally:
            if not streaming:
                server.release(current_time())

    def _build_attempt(self, now_s: float) -> Attempt:
        call = self.call
        left_s = call.deadline_s - now_s
        limit_s = min(left_s, call.spec["timeout_s"])
        headers = (*call.headers, (DEADLINE_HEADER, f"{limit_s:.3f}"))
        return Attempt(
            attempt_id=f"{call.request_id}.{self.attempts}",
            target=call.target,
            headers=headers,
            body=call.body,
            deadline_s=now_s + limit_s,
            fresh=not call.idempotent,
        )

    def _handle_response(
        self, response: ServerResponse, server: ServerState, sent_s: float
    ) -> bool:
        """Record a response; return whether its slot stays in use."""
        if response.leaving:
            server.record_leaving(True)
        if not isinstance(response.body, StreamedResponse):
            self._record_outcome(response.status, server, sent_s)
            return False

        async def end(whole: bool) -> None:
            if whole:
                self._record_outcome(response.status, server, sent_s)
            server.release(current_time())

        response.body.on_end.append(end)
        return True

    def _count_failure(self, server: ServerState, cause: str) -> None:
        labels = {"service": self.call.service, "server": server.name}
        ATTEMPT_FAILURES.inc({**labels, "cause": cause})

    def _record_outcome(
        self, status: int, server: ServerState, sent_s: float
    ) -> None:
        if status >= LOWEST_FAILED_STATUS:
            server.record_failure(sent_s)
            self._count_failure(server, "status")
            return
        now_s = current_time()
        server.record_response(sent_s, now_s)
        self.router.latency.record(now_s - sent_s)
        self.budget.deposit()


def is_failed(response: ServerResponse) -> bool:
    """Return whether a response is a server error that may be retried."""
    if isinstance(response.body, StreamedResponse):
        return False
    return response.status >= LOWEST_FAILED_STATUS


def failure_cause(error: ConnectionLostError) -> str:
    """Return the value of the metrics label ``cause`` for an error."""
    if isinstance(error, ResponseMismatchError):
        return "mismatched"
    if isinstance(error, ResponseTimeoutError):
        return "late"
    return "lost"


def outcome_unknown_error(
    error: ConnectionLostError,
) -> RequestOutcomeUnknownError:
    """Return the error to report to the caller when no response arrived."""
    late = isinstance(error, ResponseTimeoutError)
    status = STATUS_GATEWAY_TIMEOUT if late else STATUS_BAD_GATEWAY
    return RequestOutcomeUnknownError(
        status, f"The request may have run: {error}"
    )

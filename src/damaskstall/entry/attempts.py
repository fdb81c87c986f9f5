"""Carry out a request: choose servers, send, retry where that is allowed.

Retries happen only before the caller got any of an answer. A request that is
not idempotent is put on at most one connection, ever.
"""

from random import Random

from trio import current_time, sleep, sleep_forever

from damaskstall.entry.budget import RetryBudget
from damaskstall.entry.call import Call
from damaskstall.entry.events import ANSWER_MISMATCHED
from damaskstall.entry.exchange import (
    Answer,
    Attempt,
    StreamedAnswer,
    exchange,
)
from damaskstall.entry.measures import ATTEMPT_FAILURES, RETRIES
from damaskstall.entry.router import ServiceRouter
from damaskstall.entry.server import ServerState
from damaskstall.entry.words import DEADLINE_HEADER
from damaskstall.errors import (
    AnswerMismatchError,
    AnswerTimeoutError,
    CallerLostError,
    ConnectFailedError,
    ConnectionLostError,
    RequestNotRunError,
    RequestOutcomeUnknownError,
    ServerRefusedError,
)
from damaskstall.events import log

ATTEMPT_LIMIT = 3
RETRY_DELAY_S = 0.01
STATUS_NOT_RUN = 503
STATUS_LOST = 502
STATUS_LATE = 504
FAILED_STATUS = 500


class RequestRun:
    """Carry out one request over one or more attempts."""

    def __init__(
        self,
        call: Call,
        router: ServiceRouter,
        budget: RetryBudget,
        random: Random,
    ) -> None:
        """Start with nothing sent."""
        self.call = call
        self.router = router
        self.budget = budget
        self.random = random
        self.attempts = 0
        self.avoid: frozenset[str] = frozenset()
        self.unknown: RequestOutcomeUnknownError | None = None
        self.failed: Answer | None = None

    async def answer(self) -> Answer:
        """Return a server's answer.

        Raises RequestNotRunError or RequestOutcomeUnknownError, at once
        when there is nothing left to try.
        """
        while True:
            try:
                server = await self._acquire()
            except RequestNotRunError as error:
                return self._conclude(error)
            self.attempts += 1
            if self.attempts > 1:
                RETRIES.inc({"service": self.call.service})
            try:
                answer = await self._attempt(server)
            except ConnectFailedError as error:
                refusal = RequestNotRunError(STATUS_NOT_RUN, str(error), 1)
                may_go_on = self.attempts < ATTEMPT_LIMIT
            except ServerRefusedError as error:
                refusal = RequestNotRunError(
                    STATUS_NOT_RUN, str(error), error.retry_after_s
                )
                may_go_on = self._may_repeat()
            except ConnectionLostError as error:
                self.unknown = unknown_error(error)
                refusal = None
                may_go_on = self._may_repeat()
            else:
                if not is_failed(answer) or not self._may_repeat():
                    return answer
                self.failed = answer
                refusal = None
                may_go_on = True
            if not may_go_on:
                return self._conclude(refusal)
            self.avoid |= {server.name}
            await self._back_off()

    async def _acquire(self) -> ServerState:
        call = self.call
        # What a caller still sends cannot be told from its going away.
        gone = call.caller_gone if call.body.complete else sleep_forever
        return await self.router.acquire(
            call.team, call.deadline_s, self.avoid, gone
        )

    def _conclude(self, refusal: RequestNotRunError | None) -> Answer:
        """Return the last whole answer or raise what the caller is told."""
        if self.failed is not None:
            return self.failed
        if self.unknown is not None:
            # An earlier attempt may have run, whatever the last one did.
            raise self.unknown
        assert refusal is not None
        raise refusal

    def _may_repeat(self) -> bool:
        call = self.call
        if not call.idempotent or not call.body.can_be_sent():
            return False
        if self.attempts >= ATTEMPT_LIMIT:
            return False
        if current_time() >= call.deadline_s:
            return False
        return self.budget.spend()

    async def _back_off(self) -> None:
        longest_s = RETRY_DELAY_S * 2 ** (self.attempts - 1)
        await sleep(self.random.uniform(0, longest_s))

    async def _attempt(self, server: ServerState) -> Answer:
        """Use the slot that was acquired for one attempt."""
        sent_s = current_time()
        streaming = False
        try:
            answer = await exchange(server.pool, self._next(sent_s))
            streaming = self._take(answer, server, sent_s)
            return answer
        except ConnectFailedError:
            server.note_unreachable()
            self._count(server, "unreachable")
            raise
        except ServerRefusedError as error:
            self._count(server, "refused")
            server.note_refusal(current_time())
            if error.leaving:
                server.note_leaving(True)
            raise
        except CallerLostError:
            raise
        except ConnectionLostError as error:
            server.note_failure(sent_s)
            self._count(server, cause_of(error))
            if isinstance(error, AnswerMismatchError):
                log(ANSWER_MISMATCHED, server=server.name, error=str(error))
            raise
        finally:
            if not streaming:
                server.release(current_time())

    def _next(self, now_s: float) -> Attempt:
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

    def _take(
        self, answer: Answer, server: ServerState, sent_s: float
    ) -> bool:
        """Learn from an answer; return whether the slot stays in use."""
        if answer.leaving:
            server.note_leaving(True)
        if not isinstance(answer.body, StreamedAnswer):
            self._learn(answer.status, server, sent_s)
            return False

        async def end(whole: bool) -> None:
            if whole:
                self._learn(answer.status, server, sent_s)
            server.release(current_time())

        answer.body.on_end.append(end)
        return True

    def _count(self, server: ServerState, cause: str) -> None:
        labels = {"service": self.call.service, "server": server.name}
        ATTEMPT_FAILURES.inc({**labels, "cause": cause})

    def _learn(self, status: int, server: ServerState, sent_s: float) -> None:
        if status >= FAILED_STATUS:
            server.note_failure(sent_s)
            self._count(server, "status")
            return
        now_s = current_time()
        server.note_answer(sent_s, now_s)
        self.router.latency.note(now_s - sent_s)
        self.budget.earn()


def is_failed(answer: Answer) -> bool:
    """Return whether another server might answer better."""
    if isinstance(answer.body, StreamedAnswer):
        return False
    return answer.status >= FAILED_STATUS


def cause_of(error: ConnectionLostError) -> str:
    """Return the word by which metrics tell lost answers apart."""
    if isinstance(error, AnswerMismatchError):
        return "mismatched"
    if isinstance(error, AnswerTimeoutError):
        return "late"
    return "lost"


def unknown_error(error: ConnectionLostError) -> RequestOutcomeUnknownError:
    """Return what the caller is told of a lost answer."""
    late = isinstance(error, AnswerTimeoutError)
    status = STATUS_LATE if late else STATUS_LOST
    return RequestOutcomeUnknownError(
        status, f"The request may have run: {error}"
    )

"""Run a request with an idempotency key at most once, using a table row.

The row, called a claim, is written before anything is sent, and deleted only
when it is certain that nothing has run. The outcome is recorded in the same
row. A claim without an outcome means that the request may have run; it is
never run again. A row is kept for the retention time and then deleted by the
sweep.
"""

from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from hashlib import sha256
from math import ceil
from random import Random
from typing import Any, NamedTuple
from urllib.parse import quote

from trio import Nursery, current_time, move_on_at, open_nursery, sleep
from trio.lowlevel import checkpoint_if_cancelled

from damaskstall.entry.body import MemoryBudget, read_for_replay
from damaskstall.entry.call import Call
from damaskstall.entry.claim_sweep import sweep_claims
from damaskstall.entry.events import (
    CLAIM_NOT_RELEASED,
    OUTCOME_NOT_RECORDED,
)
from damaskstall.entry.exchange import ServerResponse, StreamedResponse
from damaskstall.entry.responses import (
    ANSWERED,
    REPEAT_HEADER,
    RETRY_AFTER_HEADER,
    UNKNOWN,
    identity_headers,
)
from damaskstall.errors import (
    CallerDisconnectedError,
    PlatformError,
    RequestNotRunError,
    RequestRejectedError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
)
from damaskstall.events import Event, log
from damaskstall.http.messages import Response, error_response
from damaskstall.platform.commit_retry import commit_with_retry
from damaskstall.platform.keys import idempotency_key
from damaskstall.platform.types import ABSENT, Row, TableService, Value, Write

KEYED_BODY_LIMIT_BYTES = 1024 * 1024
KEYED_TOTAL_LIMIT_BYTES = 16 * 1024 * 1024
KEPT_BODY_LIMIT_BYTES = 16384
RETENTION_S = 86400.0
CLAIM_TIMEOUT_S = 2.0
RECORD_WAIT_S = 1.0
BACKGROUND_WRITE_LIMIT = 256
BACKGROUND_ATTEMPTS = 8
BACKGROUND_DELAY_S = 1.0
TABLE_RETRY_AFTER_S = 2
STATUS_NOT_RUN = 503
STATUS_BODY_MISMATCH = 422
STATUS_CONFLICT = 409
STATUS_BAD_GATEWAY = 502

STATE_CLAIMED = "claimed"
STATE_ANSWERED = "answered"


class Claim(NamedTuple):
    """A row of the table that prevents a second run of a request."""

    key: str
    revision: int
    value: Value


ExecuteCall = Callable[[Call], Awaitable[ServerResponse]]


class ClaimManager:
    """Claims idempotency keys, records outcomes and answers repeats."""

    def __init__(
        self,
        table: TableService,
        random: Random,
        unix_now: Callable[[], float],
    ) -> None:
        """Set the table and the clock for the times in claims."""
        self.table = table
        self.random = random
        self.unix_now = unix_now
        self.pending = 0
        self.memory = MemoryBudget(KEYED_TOTAL_LIMIT_BYTES)
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Run background writes and the sweep until cancelled."""
        async with open_nursery() as nursery:
            self._nursery = nursery
            await sweep_claims(self.table, self.random, self.unix_now)

    async def run_once(self, call: Call, execute: ExecuteCall) -> Response:
        """Execute a request with a key, or answer a repeat from its record.

        Raises RequestNotRunError, RequestRejectedError and what ``execute``
        raises.
        """
        length_bytes = min(
            KEYED_BODY_LIMIT_BYTES, call.length_bytes or KEYED_BODY_LIMIT_BYTES
        )
        with self.memory.reserve(length_bytes):
            return await self._run_once(call, execute)

    async def _run_once(self, call: Call, execute: ExecuteCall) -> Response:
        await read_for_replay(call.body, KEYED_BODY_LIMIT_BYTES)
        if not call.body.complete:
            raise RequestRejectedError(
                413,
                "The body of a request with an idempotency key is longer "
                f"than {KEYED_BODY_LIMIT_BYTES} bytes.",
            )
        digest = sha256(call.body.start).hexdigest()
        claim = await self._claim(call, digest)
        if isinstance(claim, Row):
            return repeat_response(call, claim, digest, self.unix_now())
        try:
            response = await execute(call)
        except (RequestNotRunError, CallerDisconnectedError):
            # The body has been read whole, so the caller can only have
            # disconnected in the queue, before anything was sent.
            await self._write_now_or_later(self._release, claim)
            raise
        if isinstance(response.body, StreamedResponse):
            self._record_at_end(claim, response.status, response.body)
        else:
            value = outcome_value(claim.value, response)
            recorded = claim._replace(value=value)
            await self._write_now_or_later(self._record, recorded)
        headers = response.headers + identity_headers(
            call.request_id, ANSWERED
        )
        return Response(response.status, response.body, headers)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON values."""
        return {
            "pending_writes": self.pending,
            "body_bytes": self.memory.reserved_bytes,
        }

    async def _claim(self, call: Call, digest: str) -> Claim | Row:
        """Write and return a new claim, or return the row of an earlier one.

        Raises RequestNotRunError when the key could not be claimed.
        """
        key = idempotency_key(
            call.service, call.team, quote(call.key, safe="")
        )
        value = self._claim_value(call, digest)
        write = Write(key, value, ABSENT)
        limit_s = min(call.deadline_s, current_time() + CLAIM_TIMEOUT_S)
        with move_on_at(limit_s):
            try:
                revision = await commit_with_retry(
                    self.table, (write,), call.request_id
                )
                return Claim(key, revision, value)
            except TableConflictError:
                return await self._read_earlier_claim(key)
            except TableUnavailableError as error:
                raise claim_failed_error() from error
            except TableOutcomeUnknownError:
                # The refusal below holds although the claim may have been
                # written: nothing has been sent to a server.
                pass
        self._write_in_background(self._withdraw, Claim(key, ABSENT, value))
        raise claim_failed_error()

    def _claim_value(self, call: Call, digest: str) -> Value:
        now_s = self.unix_now()
        left_s = call.deadline_s - current_time()
        return {
            "state": STATE_CLAIMED,
            "request_id": call.request_id,
            "body_sha256": digest,
            "claimed_unix_s": now_s,
            "deadline_unix_s": now_s + left_s,
            "expires_unix_s": now_s + RETENTION_S,
        }

    async def _read_earlier_claim(self, key: str) -> Row:
        try:
            row = await self.table.read(key)
        except TableUnavailableError as error:
            raise claim_failed_error() from error
        if row is None:
            # The earlier claim has just been deleted, since its request had
            # not run.
            raise claim_failed_error()
        return row

    def _record_at_end(
        self, claim: Claim, status: int, body: StreamedResponse
    ) -> None:
        async def end(whole: bool) -> None:
            if whole:
                value = {**claim.value, "state": STATE_ANSWERED}
                value.update(status=status, body_kept=False)
                self._write_in_background(
                    self._record, claim._replace(value=value)
                )

        body.on_end.append(end)

    async def _release(self, claim: Claim) -> None:
        """Delete a claim whose request has certainly not run."""
        write = Write(claim.key, None, claim.revision)
        mutation_id = f"{claim.value['request_id']}-release"
        try:
            await commit_with_retry(self.table, (write,), mutation_id)
        except TableConflictError:
            return

    async def _withdraw(self, claim: Claim) -> None:
        """Delete a claim that may or may not have been written."""
        row = await self.table.read(claim.key)
        if row is None or row.value is None:
            return
        if row.value["request_id"] != claim.value["request_id"]:
            return
        await self._release(claim._replace(revision=row.revision))

    async def _record(self, claim: Claim) -> None:
        """Write a claim's value, with the outcome, into its row."""
        write = Write(claim.key, claim.value, claim.revision)
        mutation_id = f"{claim.value['request_id']}-outcome"
        await commit_with_retry(self.table, (write,), mutation_id)

    async def _write_now_or_later(
        self, step: Callable[[Claim], Awaitable[None]], claim: Claim
    ) -> None:
        """Try a write for up to RECORD_WAIT_S, then retry in background."""
        done = False
        with move_on_at(current_time() + RECORD_WAIT_S):
            try:
                await step(claim)
                done = True
            except PlatformError:
                pass
        await checkpoint_if_cancelled()
        if not done:
            self._write_in_background(step, claim)

    def _write_in_background(
        self, step: Callable[[Claim], Awaitable[None]], claim: Claim
    ) -> None:
        if self._nursery is None or self.pending >= BACKGROUND_WRITE_LIMIT:
            log(failure_event(step.__name__), key=claim.key)
            return
        self.pending += 1
        self._nursery.start_soon(self._retry_in_background, step, claim)

    async def _retry_in_background(
        self, step: Callable[[Claim], Awaitable[None]], claim: Claim
    ) -> None:
        try:
            for attempt in range(BACKGROUND_ATTEMPTS):
                try:
                    await step(claim)
                    return
                except TableConflictError:
                    return
                except PlatformError:
                    await sleep(BACKGROUND_DELAY_S * 2**attempt)
            log(failure_event(step.__name__), key=claim.key)
        finally:
            self.pending -= 1


def failure_event(step_name: str) -> Event:
    """Return the log event for a background write that was abandoned."""
    if step_name == "_record":
        return OUTCOME_NOT_RECORDED
    return CLAIM_NOT_RELEASED


def claim_failed_error() -> RequestNotRunError:
    """Return the error for a request whose key could not be claimed."""
    return RequestNotRunError(
        STATUS_NOT_RUN,
        "The idempotency key could not be claimed in the table.",
        TABLE_RETRY_AFTER_S,
    )


def outcome_value(claimed: Value, response: ServerResponse) -> Value:
    """Return a claim's value with a whole response as its outcome.

    Responses above KEPT_BODY_LIMIT_BYTES are recorded without their body.
    """
    assert isinstance(response.body, bytes)
    value = {**claimed, "state": STATE_ANSWERED, "status": response.status}
    value["body_kept"] = len(response.body) <= KEPT_BODY_LIMIT_BYTES
    if value["body_kept"]:
        value["body_base64"] = b64encode(response.body).decode()
        value["headers"] = [list(header) for header in response.headers]
    return value


def repeat_response(
    call: Call, row: Row, digest: str, now_unix_s: float
) -> Response:
    """Return the response to a repeat from the earlier request's row.

    Raises RequestRejectedError when the repeat has another body.
    """
    value = row.value or {}
    if value["body_sha256"] != digest:
        raise RequestRejectedError(
            STATUS_BODY_MISMATCH,
            "The idempotency key has already been used with another body.",
        )
    if value["state"] == STATE_ANSWERED and value["body_kept"]:
        headers = tuple((name, text) for name, text in value["headers"])
        headers += identity_headers(value["request_id"], ANSWERED)
        headers += ((REPEAT_HEADER, "true"),)
        return Response(
            value["status"], b64decode(value["body_base64"]), headers
        )
    if value["state"] == STATE_ANSWERED:
        return error_response(
            STATUS_CONFLICT,
            "The request has run once; its response was too long to be kept.",
            identity_headers(value["request_id"], ANSWERED)
            + ((REPEAT_HEADER, "true"),),
            outcome=ANSWERED,
            recorded_status=value["status"],
        )
    return unknown_outcome_response(value, now_unix_s)


def unknown_outcome_response(value: Value, now_unix_s: float) -> Response:
    """Return the response to a repeat of a request without an outcome.

    Until the earlier request's deadline, the response is a conflict to be
    retried later, since the outcome may still be recorded. After the
    deadline, the outcome stays unknown.
    """
    headers = identity_headers(value["request_id"], UNKNOWN)
    headers += ((REPEAT_HEADER, "true"),)
    left_s = value["deadline_unix_s"] - now_unix_s
    if left_s <= 0:
        return error_response(
            STATUS_BAD_GATEWAY,
            "An earlier request with this idempotency key may have run.",
            headers,
            outcome=UNKNOWN,
        )
    retry_after_s = max(1, min(5, ceil(left_s)))
    headers += ((RETRY_AFTER_HEADER, str(retry_after_s)),)
    return error_response(
        STATUS_CONFLICT,
        "An earlier request with this idempotency key has no outcome yet.",
        headers,
        outcome=UNKNOWN,
        retry_after_s=retry_after_s,
    )

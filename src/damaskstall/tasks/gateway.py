"""Answer clients' HTTP requests for jobs.

The host and the longest path prefix select the queue. A refused request is
answered at once, with a Retry-After where a retry can succeed.
"""

from typing import NamedTuple, Protocol

from damaskstall.errors import (
    BodyTooLargeError,
    TableUnavailableError,
    UnsupportedJobError,
    ValidationError,
)
from damaskstall.events import log
from damaskstall.http.messages import (
    Request,
    Response,
    error_response,
    json_response,
    retry_later_response,
)
from damaskstall.tasks.context import NodeContext
from damaskstall.tasks.events import (
    CANCEL_ACCEPTED,
    CONFIGURATION_OUTDATED,
    JOB_ACCEPTED,
    JOB_OUTCOME_UNKNOWN,
    JOB_REFUSED,
    JOB_REPEATED,
    REQUEST_REFUSED,
)
from damaskstall.tasks.job_service import (
    ABSENT_JOB,
    ACCEPTED,
    NOT_ACCEPTED,
    REPEATED,
    TOO_MANY,
    WITHDRAWN,
    JobService,
    Outcome,
)
from damaskstall.tasks.job_validation import (
    check_declaration,
    check_supported,
    is_job_id,
)
from damaskstall.tasks.metrics import (
    ANSWER_AGE_SECONDS,
    NO_LABELS,
    REQUEST_SECONDS,
    SUBMISSIONS,
)
from damaskstall.tasks.model import (
    AcceptedJob,
    JobDeclaration,
    Queue,
    TaskTeam,
)

# A refused client retries only a few times, and a store that has been down for
# LONG_OUTAGE_S stays down for some seconds: clients then wait longer.
RETRY_AFTER_S = 1
LONG_OUTAGE_S = 1.5
LONG_RETRY_AFTER_S = 2
# Part of the client's deadline that is reserved for sending the answer.
ANSWER_MARGIN_S = 0.2
DEFAULT_DEADLINE_S = 3.0
BEARER = "bearer "
METHODS = frozenset({"POST", "GET", "DELETE"})


class JobCodec(Protocol):
    """Decodes the bodies of requests and encodes those of answers."""

    def deadline_s(self, headers: dict[str, str]) -> float | None:
        """Return the client's deadline in seconds, or None without one."""

    def declaration(self, body: bytes) -> JobDeclaration:
        """Return the job declared in a body; raise ValidationError."""

    def state(self, state: str) -> object:
        """Return the answer body with a job's state."""

    def waiting(self, count: int) -> object:
        """Return the answer body with the number of waiting jobs."""


class RequestRoute(NamedTuple):
    """What a request is for: its queue, its team, and the path below both.

    The team of a request for a public queue is "".
    """

    queue: Queue
    team: str
    remaining_path: str


class TaskGateway:
    """Handler of clients' requests, by the newest configuration."""

    def __init__(
        self, context: NodeContext, jobs: JobService, codec: JobCodec
    ) -> None:
        """Serve requests with a job service and a body codec."""
        self.context = context
        self.jobs = jobs
        self.codec = codec

    async def handle(self, request: Request) -> Response:
        """Answer one request, and record its latency."""
        started_s = self.context.clock()
        response = await self._answer(request)
        # Clients may send any word as a method; each label value uses memory.
        method = request.method if request.method in METHODS else "other"
        labels = {"method": method, "status": str(response.status)}
        REQUEST_SECONDS.observe(labels, self.context.clock() - started_s)
        return response

    async def _answer(self, request: Request) -> Response:
        route = await self._find_route(request)
        if isinstance(route, Response):
            return route
        return await self._serve(request, route)

    async def _find_route(self, request: Request) -> RequestRoute | Response:
        """Return what a request is for, or the refusal to send.

        Both are decided by a configuration that is confirmed recently enough
        for its bounds.
        """
        configuration = self.context.configuration
        if not configuration.known:
            return retry_later_response(
                503, "No configuration has been read yet.", RETRY_AFTER_S
            )
        if not await self.context.config_watcher.confirm():
            return self._refuse_unconfirmed(request)
        ANSWER_AGE_SECONDS.observe(
            NO_LABELS, configuration.age_s(self.context.clock())
        )
        host = request.headers.get("host", "").partition(":")[0]
        state = configuration.state
        if state.may_be_unreadable(host, request.path):
            return self._refuse_unreadable(request, "queue")
        queue = state.find_queue(host, request.path)
        if queue is None:
            return error_response(
                404, f"No queue serves {host}{request.path}."
            )
        remaining_path = request.path.removeprefix(queue.path_prefix)
        if queue.public:
            return RequestRoute(queue, "", remaining_path)
        team = self._find_team(request)
        if isinstance(team, Response):
            return team
        return RequestRoute(queue, team.name, remaining_path)

    def _refuse_unconfirmed(self, request: Request) -> Response:
        configuration = self.context.configuration
        age_s = configuration.age_s(self.context.clock())
        limit_s = self.context.settings.configuration_age_limit_s
        log(
            CONFIGURATION_OUTDATED,
            path=request.path,
            version=configuration.state.version,
            state_age_s=round(age_s, 2),
            bound_s=limit_s,
        )
        return retry_later_response(
            503,
            f"The configuration was last confirmed {age_s:.1f} s ago, and at "
            f"most {limit_s:.1f} s are allowed.",
            self._retry_after_s(),
        )

    def _refuse_unreadable(self, request: Request, part: str) -> Response:
        version = self.context.configuration.state.version
        reason = f"A {part} of the configuration {version} cannot be read."
        log(REQUEST_REFUSED, path=request.path, reason=reason)
        return retry_later_response(503, reason, LONG_RETRY_AFTER_S)

    def _find_team(self, request: Request) -> TaskTeam | Response:
        """Return the team of a request's API key, or the refusal to send."""
        text = request.headers.get("authorization", "")
        if not text.lower().startswith(BEARER):
            return error_response(401, "The request has no API key.")
        state = self.context.configuration.state
        team = state.team_of_key(text[len(BEARER) :].strip())
        if team is None and not state.teams_complete:
            return self._refuse_unreadable(request, "team")
        if team is None:
            return error_response(401, "The API key is not known.")
        return team

    async def _serve(self, request: Request, route: RequestRoute) -> Response:
        job_id = route.remaining_path
        if not job_id and request.method == "GET":
            return await self._waiting(route.queue)
        if not is_job_id(job_id):
            return error_response(400, f"{job_id!r} is not a valid job name.")
        if request.method == "POST":
            return await self._submit(request, job_id)
        if request.method == "GET":
            return await self._state(job_id)
        if request.method == "DELETE":
            return await self._cancel(request, route.team, job_id)
        return error_response(
            405, f"The method {request.method} is not supported."
        )

    async def _submit(self, request: Request, job_id: str) -> Response:
        limit = self.context.configuration.state.body_limit_bytes
        try:
            body = await request.body.read(limit)
            declaration = self.codec.declaration(body)
            check_declaration(declaration)
        except BodyTooLargeError as error:
            return self._refuse_submission(job_id, 413, str(error))
        except ValidationError as error:
            return self._refuse_submission(job_id, 400, str(error))
        except UnsupportedJobError as error:
            return self._refuse_submission(job_id, 422, str(error))
        # The configuration may have changed while the body arrived.
        route = await self._find_route(request)
        if isinstance(route, Response):
            return route
        return await self._store_job(request, route, declaration)

    async def _store_job(
        self,
        request: Request,
        route: RequestRoute,
        declaration: JobDeclaration,
    ) -> Response:
        queue, job_id = route.queue, route.remaining_path
        try:
            check_supported(queue)
        except UnsupportedJobError as error:
            return self._refuse_submission(job_id, 422, str(error))
        job = AcceptedJob(
            job_id,
            queue.name,
            queue.service,
            route.team,
            self.context.unix_s(),
            declaration,
            queue.terms,
        )
        outcome = await self.jobs.submit(job, self._limit_s(request))
        return self._answer_submission(job, outcome)

    def _answer_submission(
        self, job: AcceptedJob, outcome: Outcome
    ) -> Response:
        if outcome.kind in (ACCEPTED, REPEATED):
            event = JOB_ACCEPTED if outcome.kind == ACCEPTED else JOB_REPEATED
            log(event, job=job.job_id, queue=job.queue, team=job.team)
            SUBMISSIONS.inc({"status": "200"})
            return json_response(200, {})
        if outcome.kind == NOT_ACCEPTED:
            log(JOB_REFUSED, job=job.job_id, status=503, reason=outcome.reason)
            SUBMISSIONS.inc({"status": "503"})
            return retry_later_response(
                503,
                "The store does not accept jobs now.",
                self._retry_after_s(),
            )
        if outcome.kind == WITHDRAWN:
            return self._refuse_submission(
                job.job_id,
                410,
                f"The ID {job.job_id} was cancelled before it had a job, and "
                "is not used again.",
            )
        log(JOB_OUTCOME_UNKNOWN, job=job.job_id, reason=outcome.reason)
        SUBMISSIONS.inc({"status": "504"})
        return error_response(
            504, "It is not known whether the job is stored."
        )

    def _refuse_submission(
        self, job_id: str, status: int, reason: str
    ) -> Response:
        log(JOB_REFUSED, job=job_id, status=status, reason=reason)
        SUBMISSIONS.inc({"status": str(status)})
        return error_response(status, reason)

    async def _state(self, job_id: str) -> Response:
        try:
            state = await self.jobs.state(job_id)
        except TableUnavailableError as error:
            return self._answer_unavailable(job_id, str(error))
        if state is None:
            return error_response(410, f"There is no job {job_id}.")
        return json_response(200, self.codec.state(state))

    async def _cancel(
        self, request: Request, team: str, job_id: str
    ) -> Response:
        limit_s = self._limit_s(request)
        outcome = await self.jobs.cancel(job_id, limit_s, team)
        if outcome.kind in (ACCEPTED, REPEATED):
            log(CANCEL_ACCEPTED, job=job_id, outcome=outcome.kind)
            return json_response(200, {})
        if outcome.kind == ABSENT_JOB:
            log(CANCEL_ACCEPTED, job=job_id, outcome=outcome.kind)
            return error_response(410, f"There is no job {job_id}.")
        if outcome.kind == TOO_MANY:
            log(REQUEST_REFUSED, subject=job_id, reason=outcome.reason)
            return retry_later_response(
                429, f"There is no job {job_id} now.", RETRY_AFTER_S
            )
        log(REQUEST_REFUSED, subject=job_id, reason=outcome.reason)
        return error_response(
            504, "It is not known whether the cancellation is stored."
        )

    async def _waiting(self, queue: Queue) -> Response:
        try:
            count = await self.jobs.waiting(queue.name)
        except TableUnavailableError as error:
            return self._answer_unavailable(queue.name, str(error))
        return json_response(200, self.codec.waiting(count))

    def _answer_unavailable(self, name: str, reason: str) -> Response:
        log(REQUEST_REFUSED, subject=name, reason=reason)
        return retry_later_response(
            503, "The store does not answer.", self._retry_after_s()
        )

    def _retry_after_s(self) -> int:
        """Return after how many seconds a client should retry."""
        outage_s = self.context.table.refused_for_s(self.context.clock())
        if outage_s > LONG_OUTAGE_S:
            return LONG_RETRY_AFTER_S
        return RETRY_AFTER_S

    def _limit_s(self, request: Request) -> float:
        deadline_s = self.codec.deadline_s(request.headers)
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        return max(ANSWER_MARGIN_S, deadline_s - ANSWER_MARGIN_S)

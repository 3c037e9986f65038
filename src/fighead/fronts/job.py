"""The front for clients that submit jobs, in the encoding of a :class:`JobCodec`."""

import datetime as dt
import functools
import math
import typing as t

from attrs import frozen
from klein import Klein
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.iweb import IRequest

from ..clock import with_timeout
from ..commands import job as commands
from ..decisions.intake import estimate_decoding, estimate_serving
from ..exceptions import (
    BodyTooLargeError,
    FigheadError,
    NotRunError,
    RequestError,
    UnknownNameError,
)
from ..job import JobConfig, JobPhase, JobSpec, Queue
from ..job_front_context import JobFrontContext
from ..log import Event, log_event
from ..queries import job as queries
from .charge import charge_work
from .refusal import answer_or_refuse, release_frames

OK = 200
GONE = 410
UNAVAILABLE = 503
UNKNOWN_OUTCOME = 504
NOT_ALLOWED = 405
#: Time limit of a request that does not send one: the shortest time budget that
#: clients are specified to have.
DEFAULT_TIME_LIMIT = dt.timedelta(seconds=3)
#: Longest time limit that is taken from a request.
MAX_TIME_LIMIT = dt.timedelta(hours=1)
#: Time reserved for the answer to reach the client.
ANSWER_MARGIN = dt.timedelta(milliseconds=150)
#: Longest time until a query is answered, enough for the scheduler and then one store
#: call to time out. A client with the shortest time budget can then ask another entry.
QUERY_TIMEOUT = dt.timedelta(milliseconds=1800)

T = t.TypeVar("T")

Handler = t.Callable[..., t.Coroutine[t.Any, t.Any, bytes]]


@frozen
class JobCodec:
    """Encoding of job ids and of the bodies of requests and answers.

    :param deadline_header: Header with the client's time limit in milliseconds.
    :param validate_job_id: Returns a valid id, or raises :exc:`.RequestError`.
    :param decode_spec: Decodes a submitted job.
    :param encode_phase: Encodes the state of a job.
    :param encode_pending: Encodes the number of pending jobs of a queue.
    :param encode_error: Encodes the reason of an error.
    """

    deadline_header: str
    validate_job_id: t.Callable[[str], str]
    decode_spec: t.Callable[[bytes], JobSpec]
    encode_phase: t.Callable[[JobPhase], bytes]
    encode_pending: t.Callable[[int], bytes]
    encode_error: t.Callable[[str], bytes]


def _with_error_answers(handler: Handler) -> Handler:
    """Wrap a handler: answer errors and refusals as encoded bodies.

    While the entry drains, clients are asked to close their connections.
    """

    @functools.wraps(handler)
    async def handle(self: "JobFront", request: IRequest) -> bytes:
        started_at = self.context.clock.now()
        request.setHeader("Content-Type", "application/json")
        refuse = functools.partial(self._refuse, request)
        try:
            return await answer_or_refuse(request, handler(self, request), refuse)
        except FigheadError as exc:
            release_frames(exc)
            if exc.status >= UNAVAILABLE:
                request.setHeader("Retry-After", "1")
                self._log_unserved(request, exc.status, exc.message, started_at)
            return self._send_error(request, exc.status, str(exc))
        except CancelledError:
            # The client closed the connection, so there is nobody to answer.
            raise
        except Exception as exc:
            release_frames(exc)
            log_event(Event.REQUEST_FAILED, error=type(exc).__name__, text=str(exc))
            return self._send_error(request, 500, "The entry met an unexpected error.")
        finally:
            if self.context.is_draining:
                request.setHeader("Connection", "close")

    return handle


class JobFront:
    """Handles clients' HTTP requests by running commands and queries on jobs."""

    app = Klein()

    def __init__(self, context: JobFrontContext, codec: JobCodec) -> None:
        self.context = context
        self._codec = codec

    @app.route("/", branch=True)
    @_with_error_answers
    async def handle(self, request: IRequest) -> bytes:
        """Find the queue by host and path prefix, then dispatch by method.

        A GET of the bare prefix counts pending jobs; all else needs a job id.
        """
        cfg = self._require_config()
        path = request.path.decode("utf-8", "replace")
        host = request.getHeader("Host") or ""
        queue = cfg.route(host, path)
        if queue is None:
            raise UnknownNameError(
                f"No queue is configured for {host}{path[:80]}.",
                "Use the host and the path prefix of a configured queue.",
            )
        suffix = path.removeprefix(queue.prefix)
        if not suffix and request.method == b"GET":
            return await self._count_pending(request, queue)
        job_id = self._codec.validate_job_id(suffix)
        match request.method:
            case b"POST":
                return await self._submit(request, queue, job_id, cfg)
            case b"GET":
                return await self._find_phase(request, job_id)
            case b"DELETE":
                return await self._cancel(request, job_id)
        return self._send_error(request, NOT_ALLOWED, "Use POST, GET or DELETE.")

    def _require_config(self) -> JobConfig:
        if self.context.config is None:
            raise NotRunError(
                "The entry has not received the queue configuration yet.",
                "Retry, or send the request to another entry.",
            )
        return self.context.config

    async def _submit(
        self, request: IRequest, queue: Queue, job_id: str, cfg: JobConfig
    ) -> bytes:
        content = request.content.read(cfg.max_body_bytes + 1)
        if len(content) > cfg.max_body_bytes:
            raise BodyTooLargeError(
                f"The request body is larger than {cfg.max_body_bytes} bytes.",
                "Submit a smaller job.",
            )
        charge_work(request, estimate_decoding(len(content)))
        spec = self._codec.decode_spec(content)
        charge_work(request, estimate_serving(len(content), len(spec.stages)))
        outcome = await commands.submit_job(
            self.context, queue, job_id, spec, self._get_deadline(request)
        )
        return self._send_outcome(request, outcome)

    async def _cancel(self, request: IRequest, job_id: str) -> bytes:
        started_at = self.context.clock.now()
        outcome = await commands.cancel_job(
            self.context, job_id, self._get_deadline(request)
        )
        match outcome:
            case commands.NotAccepted(reason):
                self._log_unserved(request, UNAVAILABLE, reason, started_at)
            case commands.Uncertain(reason):
                self._log_unserved(request, UNKNOWN_OUTCOME, reason, started_at)
        return self._send_outcome(request, outcome)

    async def _find_phase(self, request: IRequest, job_id: str) -> bytes:
        phase = await self._limit(request, queries.find_phase(self.context, job_id))
        if phase is None:
            return self._send_error(request, GONE, "There is no such job.")
        return self._codec.encode_phase(phase)

    async def _count_pending(self, request: IRequest, queue: Queue) -> bytes:
        count = await self._limit(
            request, queries.count_pending(self.context, queue.name)
        )
        if count is None:
            raise NotRunError(
                "The scheduler has not loaded all jobs yet.", "Retry after a second."
            )
        return self._codec.encode_pending(count)

    async def _limit(self, request: IRequest, query: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return the result of a query, or give up before the client does."""
        clock = self.context.clock
        time_left = self._get_deadline(request) - clock.now()
        limit = min(max(time_left, dt.timedelta()), QUERY_TIMEOUT)
        try:
            return await with_timeout(clock, Deferred.fromCoroutine(query), limit)
        except TimeoutError as exc:
            raise NotRunError(
                "Neither the scheduler nor the store has answered in time.",
                "Retry at another entry, or after a second.",
            ) from exc

    def _send_outcome(self, request: IRequest, outcome: t.Any) -> bytes:
        match outcome:
            case commands.Accepted():
                return b"{}"
            case commands.NoSuchJob():
                return self._send_error(request, GONE, "There is no such job.")
            case commands.NotAccepted(reason, retry_after):
                seconds = math.ceil(retry_after.total_seconds())
                request.setHeader("Retry-After", str(seconds))
                return self._send_error(request, UNAVAILABLE, reason)
            case commands.Uncertain(reason):
                return self._send_error(request, UNKNOWN_OUTCOME, reason)
        raise TypeError(f"Unexpected outcome type {type(outcome).__name__}.")

    def _log_unserved(
        self, request: IRequest, status: int, reason: str, started_at: dt.datetime
    ) -> None:
        """Log why a request is not served; submissions have events of their own."""
        method = request.method.decode("ascii", "replace")
        leader = self.context.view.leader
        log_event(
            Event.REQUEST_UNSERVED,
            method=method,
            path=request.path.decode("utf-8", "replace")[:80],
            status=status,
            took_ms=int((self.context.clock.now() - started_at).total_seconds() * 1000),
            leader=leader.name if leader is not None else "",
            reason=reason,
        )
        self.context.metrics.count_unserved(method, status)

    def _send_error(self, request: IRequest, status: int, reason: str) -> bytes:
        request.setResponseCode(status)
        return self._codec.encode_error(reason)

    def _refuse(self, request: IRequest) -> bytes:
        """Answer a request that is not finished when the entry has to end.

        What a command has sent to the store may still be executed.
        """
        request.setHeader("Retry-After", "1")
        if request.method == b"GET":
            return self._send_error(request, UNAVAILABLE, "The entry is stopping.")
        reason = "The entry is stopping and does not know the outcome."
        return self._send_error(request, UNKNOWN_OUTCOME, reason)

    def _get_deadline(self, request: IRequest) -> dt.datetime:
        raw = request.getHeader(self._codec.deadline_header) or ""
        time_limit = DEFAULT_TIME_LIMIT
        if raw:
            try:
                time_limit = dt.timedelta(milliseconds=float(raw))
            except (ValueError, OverflowError) as exc:
                raise RequestError(
                    f"{self._codec.deadline_header} is {raw[:40]!r}, "
                    "expected a number.",
                    "Send a number of milliseconds.",
                ) from exc
        return (
            self.context.clock.now() + min(time_limit, MAX_TIME_LIMIT) - (ANSWER_MARGIN)
        )

"""The front for clients of jobs; bodies are encoded by the platform's codec."""

import datetime as dt
import functools
import math
import typing as t

from attrs import frozen
from klein import Klein
from twisted.internet.defer import CancelledError
from twisted.web.iweb import IRequest

from ..commands import job as commands
from ..exceptions import (
    BodyTooLargeError,
    FigheadError,
    NotRunError,
    RequestError,
    UnknownNameError,
)
from ..job import JobConfig, JobPhase, JobSpec, Queue
from ..job_desk import JobDesk
from ..log import Event, log_event
from ..queries import job as queries

OK = 200
GONE = 410
UNAVAILABLE = 503
UNKNOWN_OUTCOME = 504
NOT_ALLOWED = 405
#: Time that a client is taken to wait if it does not say so: the shortest time
#: budget on the sheets.
DEFAULT_PATIENCE = dt.timedelta(seconds=3)
#: Time kept back for the answer to reach the client.
ANSWER_TIME = dt.timedelta(milliseconds=150)

Handler = t.Callable[..., t.Coroutine[t.Any, t.Any, bytes]]


@frozen
class JobCodec:
    """How bodies and ids are written.

    :param check_job_id: Returns an id, or raises :exc:`.RequestError`.
    """

    deadline_header: str
    check_job_id: t.Callable[[str], str]
    decode_spec: t.Callable[[bytes], JobSpec]
    encode_phase: t.Callable[[JobPhase], bytes]
    encode_pending: t.Callable[[int], bytes]
    encode_error: t.Callable[[str], bytes]


def _guarded(handler: Handler) -> Handler:
    """Count the request and turn errors into answers."""

    @functools.wraps(handler)
    async def handle(self: "JobFront", request: IRequest) -> bytes:
        self.desk.in_flight += 1
        request.setHeader("Content-Type", "application/json")
        if self.desk.is_draining:
            request.setHeader("Connection", "close")
        try:
            return await handler(self, request)
        except FigheadError as exc:
            if exc.status >= UNAVAILABLE:
                request.setHeader("Retry-After", "1")
            return self._refuse(request, exc.status, str(exc))
        except CancelledError:
            # The client has closed the connection.
            raise
        except Exception as exc:
            log_event(Event.REQUEST_FAILED, error=type(exc).__name__, text=str(exc))
            return self._refuse(request, 500, "The entry met an unexpected error.")
        finally:
            self.desk.in_flight -= 1

    return handle


class JobFront:
    """Turns HTTP requests of clients into commands and queries on jobs."""

    app = Klein()

    def __init__(self, desk: JobDesk, codec: JobCodec) -> None:
        self.desk = desk
        self._codec = codec

    @app.route("/", branch=True)
    @_guarded
    async def handle(self, request: IRequest) -> bytes:
        """Route a request by its host and path to a queue."""
        cfg = self._config()
        path = request.path.decode("utf-8", "replace")
        host = request.getHeader("Host") or ""
        queue = cfg.route(host, path)
        if queue is None:
            raise UnknownNameError(
                f"No queue is configured for {host}{path[:80]}.",
                "Use the host and prefix of a configured queue.",
            )
        rest = path.removeprefix(queue.prefix)
        if not rest and request.method == b"GET":
            return await self._count(request, queue)
        job_id = self._codec.check_job_id(rest)
        match request.method:
            case b"POST":
                return await self._submit(request, queue, job_id, cfg)
            case b"GET":
                return await self._find(request, job_id)
            case b"DELETE":
                return await self._cancel(request, job_id)
        return self._refuse(request, NOT_ALLOWED, "Use POST, GET or DELETE.")

    def _config(self) -> JobConfig:
        if self.desk.config is None:
            raise NotRunError(
                "The entry has no configuration yet.", "Retry at another entry."
            )
        return self.desk.config

    async def _submit(
        self, request: IRequest, queue: Queue, job_id: str, cfg: JobConfig
    ) -> bytes:
        content = request.content.read(cfg.max_body_bytes + 1)
        if len(content) > cfg.max_body_bytes:
            raise BodyTooLargeError(
                f"The body exceeds {cfg.max_body_bytes} bytes.", "Send a smaller job."
            )
        spec = self._codec.decode_spec(content)
        outcome = await commands.submit_job(
            self.desk, queue, job_id, spec, self._give_up_at(request)
        )
        return self._answer(request, outcome)

    async def _cancel(self, request: IRequest, job_id: str) -> bytes:
        outcome = await commands.cancel_job(
            self.desk, job_id, self._give_up_at(request)
        )
        return self._answer(request, outcome)

    async def _find(self, request: IRequest, job_id: str) -> bytes:
        phase = await queries.find_phase(self.desk, job_id)
        if phase is None:
            return self._refuse(request, GONE, "There is no such job.")
        return self._codec.encode_phase(phase)

    async def _count(self, request: IRequest, queue: Queue) -> bytes:
        count = await queries.count_pending(self.desk, queue.name)
        if count is None:
            raise NotRunError(
                "The scheduler has not read all jobs yet.", "Retry after a second."
            )
        return self._codec.encode_pending(count)

    def _answer(self, request: IRequest, outcome: t.Any) -> bytes:
        match outcome:
            case commands.Accepted():
                return b"{}"
            case commands.NoSuchJob():
                return self._refuse(request, GONE, "There is no such job.")
            case commands.NotAccepted(reason, retry_after):
                seconds = math.ceil(retry_after.total_seconds())
                request.setHeader("Retry-After", str(seconds))
                return self._refuse(request, UNAVAILABLE, reason)
            case commands.Uncertain(reason):
                return self._refuse(request, UNKNOWN_OUTCOME, reason)
        raise TypeError(f"Unexpected outcome {type(outcome).__name__}.")

    def _refuse(self, request: IRequest, status: int, reason: str) -> bytes:
        request.setResponseCode(status)
        return self._codec.encode_error(reason)

    def _give_up_at(self, request: IRequest) -> dt.datetime:
        raw = request.getHeader(self._codec.deadline_header) or ""
        patience = DEFAULT_PATIENCE
        if raw:
            try:
                patience = dt.timedelta(milliseconds=float(raw))
            except (ValueError, OverflowError) as exc:
                raise RequestError(
                    f"{self._codec.deadline_header} is {raw[:40]!r}.",
                    "Send milliseconds.",
                ) from exc
        return self.desk.clock.now() + patience - ANSWER_TIME

"""The front for callers: checks, plans and watches over HTTP."""

import datetime as dt
import functools
import typing as t
import uuid

from klein import Klein
from twisted.internet.defer import CancelledError
from twisted.web.iweb import IRequest

from .. import message as m
from ..commands.check import run_check
from ..commands.work import cancel_work, submit_work
from ..decisions.intake import estimate_serving
from ..exceptions import BodyTooLargeError, FigheadError, NotRunError, RequestError
from ..front_context import FrontContext
from ..ledger import BurnLedger, Verdict
from ..log import Event, log_event
from ..queries.work import find_work
from .answer import send_error, send_outcome
from .charge import charge_work
from .refusal import answer_or_refuse, release_frames

#: Upper limit of the wait that one request may ask for.
MAX_REQUEST_WAIT = dt.timedelta(seconds=60)
NOT_READY = 503

Handler = t.Callable[..., t.Coroutine[t.Any, t.Any, bytes]]


def _with_error_answers(handler: Handler) -> Handler:
    """Wrap a handler: answer errors and refusals as JSON."""

    @functools.wraps(handler)
    async def handle(
        self: "CallerFront", request: IRequest, **path_params: str
    ) -> bytes:
        try:
            self._require_inventory()
            return await answer_or_refuse(
                request,
                handler(self, request, **path_params),
                lambda: _refuse(request, path_params.get("request_id", "")),
            )
        except FigheadError as exc:
            release_frames(exc)
            return send_error(request, exc)
        except CancelledError:
            # The caller closed the connection, so there is nobody to answer.
            raise
        except Exception as exc:
            release_frames(exc)
            log_event(Event.REQUEST_FAILED, error=type(exc).__name__, text=str(exc))
            failure = FigheadError(
                "An unexpected error occurred while the request was handled.",
                "Query the work by its request id, and report event 4002 from the log.",
            )
            return send_error(request, failure)

    return handle


class CallerFront:
    """Handles callers' HTTP requests by running commands and queries.

    :param is_ready: Returns whether the load balancer should send requests here.
    """

    app = Klein()

    def __init__(
        self,
        context: FrontContext,
        ledger: BurnLedger,
        max_body_bytes: int,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self.context = context
        self._ledger = ledger
        self._max_body_bytes = max_body_bytes
        self._is_ready = is_ready

    @app.route("/ready", methods=["GET"])
    def ready(self, request: IRequest) -> str:
        """Answer the load balancer's readiness probe with status 200 or 503."""
        if self._is_ready():
            return "ready"
        request.setResponseCode(NOT_READY)
        return "not ready"

    @app.route("/v1/<upstream>/checks/<kind>", methods=["POST"])
    @_with_error_answers
    async def check(self, request: IRequest, upstream: str, kind: str) -> bytes:
        """Run a check and answer with its outcome."""
        started_at = self.context.clock.now()
        request_id = _get_header(request, "Request-Id") or uuid.uuid4().hex
        outcome = await run_check(
            self.context,
            upstream,
            kind,
            _get_header(request, "Caller"),
            request_id,
            self._read_body(request),
            _parse_milliseconds(_get_header(request, "Deadline-Ms"), "Deadline-Ms"),
        )
        duration = self.context.clock.now() - started_at
        declared = self.context.find_kind(upstream, kind)
        is_good = isinstance(outcome, m.Answered) and duration <= declared.deadline
        self._ledger.count(upstream, kind, Verdict.of(is_good))
        self._count_outcome(upstream, kind, outcome)
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["PUT"])
    @_with_error_answers
    async def submit(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Record a plan or watch and answer with its state after up to ``wait_ms``."""
        kind, spelling = _get_argument(request, "kind"), _get_header(request, "Caller")
        wait = _parse_wait(request)
        body = self._read_body(request)
        outcome = await submit_work(
            self.context, upstream, kind, spelling, request_id, body
        )
        if isinstance(outcome, m.Accepted) and wait and not _is_final(outcome):
            found = await find_work(self.context, upstream, spelling, request_id, wait)
            outcome = found if isinstance(found, m.Accepted) else outcome
        is_good = isinstance(outcome, m.Accepted)
        self._ledger.count(upstream, kind, Verdict.of(is_good))
        self._count_outcome(upstream, kind, outcome)
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["GET"])
    @_with_error_answers
    async def find(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Answer with the state of a plan or watch, after up to ``wait_ms``."""
        outcome = await find_work(
            self.context,
            upstream,
            _get_header(request, "Caller"),
            request_id,
            _parse_wait(request),
        )
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["DELETE"])
    @_with_error_answers
    async def cancel(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Cancel a plan or watch and answer with its state.

        Waits up to ``wait_ms``, or 10 s if that is not given, for the work to end.
        """
        wait = _parse_wait(request) or dt.timedelta(seconds=10)
        outcome = await cancel_work(
            self.context, upstream, _get_header(request, "Caller"), request_id, wait
        )
        if isinstance(outcome, m.Refused):
            # The line holds open work only; work that has ended is in the store.
            outcome = await find_work(
                self.context,
                upstream,
                _get_header(request, "Caller"),
                request_id,
                dt.timedelta(),
            )
        return send_outcome(request, request_id, outcome)

    def _require_inventory(self) -> None:
        if self.context.view.revision is None:
            raise NotRunError(
                "The entry has not received the inventory yet.",
                "Retry, or send the request to another entry.",
            )

    def _read_body(self, request: IRequest) -> str:
        content = request.content.read(self._max_body_bytes + 1)
        if len(content) > self._max_body_bytes:
            raise BodyTooLargeError(
                f"The request body is larger than {self._max_body_bytes} bytes.",
                "Send a smaller body, or raise [caller_front] max_body_bytes.",
            )
        charge_work(request, estimate_serving(len(content)))
        try:
            return content.decode()
        except UnicodeDecodeError as exc:
            raise RequestError(
                "The request body is not valid UTF-8.", "Encode the body as UTF-8."
            ) from exc

    def _count_outcome(self, upstream: str, kind: str, outcome: t.Any) -> None:
        label = type(outcome).__name__.lower()
        self.context.metrics.count_request(upstream, kind, label)


def _refuse(request: IRequest, request_id: str) -> bytes:
    """Answer a request that is not finished when the entry has to end."""
    reason = "The entry is stopping and does not know the outcome."
    return send_outcome(request, request_id, m.Unknown(reason))


def _is_final(outcome: m.Accepted) -> bool:
    return outcome.record.phase.is_final


def _get_header(request: IRequest, name: str) -> str:
    return request.getHeader(name) or ""


def _get_argument(request: IRequest, name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    return values[0].decode(errors="replace")


def _parse_wait(request: IRequest) -> dt.timedelta:
    wait = _parse_milliseconds(_get_argument(request, "wait_ms"), "wait_ms")
    return min(wait or dt.timedelta(), MAX_REQUEST_WAIT)


def _parse_milliseconds(raw: str, name: str) -> dt.timedelta | None:
    if not raw:
        return None
    try:
        return dt.timedelta(milliseconds=float(raw))
    except (ValueError, OverflowError) as exc:
        raise RequestError(
            f"{name} is {raw!r}, expected a number.", "Send a number of milliseconds."
        ) from exc

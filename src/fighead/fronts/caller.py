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
from ..desk import Desk
from ..exceptions import BodyTooLargeError, FigheadError, NotRunError, RequestError
from ..ledger import BurnLedger, Verdict
from ..log import Event, log_event
from ..queries.work import find_work
from .answer import send_error, send_outcome

#: Longest wait for an answer in one request.
LONGEST_WAIT = dt.timedelta(seconds=60)
NOT_READY = 503

Handler = t.Callable[..., t.Coroutine[t.Any, t.Any, bytes]]


def _guarded(handler: Handler) -> Handler:
    """Count the request and turn errors into typed answers."""

    @functools.wraps(handler)
    async def handle(self: "CallerFront", request: IRequest, **names: str) -> bytes:
        self.desk.in_flight += 1
        try:
            self._admit()
            return await handler(self, request, **names)
        except FigheadError as exc:
            return send_error(request, exc)
        except CancelledError:
            # The caller has closed the connection.
            raise
        except Exception as exc:
            log_event(Event.REQUEST_FAILED, error=type(exc).__name__, text=str(exc))
            failure = FigheadError(
                "The entry met an unexpected error.",
                "Ask by the request id, and report event 4002 from the log.",
            )
            return send_error(request, failure)
        finally:
            self.desk.in_flight -= 1

    return handle


class CallerFront:
    """Turns HTTP requests of callers into commands and queries.

    :param is_ready: Tells whether the balancer should send requests.
    """

    app = Klein()

    def __init__(
        self,
        desk: Desk,
        ledger: BurnLedger,
        max_body_bytes: int,
        is_ready: t.Callable[[], bool],
    ) -> None:
        self.desk = desk
        self._ledger = ledger
        self._max_body_bytes = max_body_bytes
        self._is_ready = is_ready

    @app.route("/ready", methods=["GET"])
    def ready(self, request: IRequest) -> str:
        """Tell the balancer whether to send requests here."""
        if self._is_ready():
            return "ready"
        request.setResponseCode(NOT_READY)
        return "not ready"

    @app.route("/v1/<upstream>/checks/<kind>", methods=["POST"])
    @_guarded
    async def check(self, request: IRequest, upstream: str, kind: str) -> bytes:
        """Run a check and answer with its result."""
        started_at = self.desk.clock.now()
        request_id = _header(request, "Request-Id") or uuid.uuid4().hex
        outcome = await run_check(
            self.desk,
            upstream,
            kind,
            _header(request, "Caller"),
            request_id,
            self._body(request),
            _milliseconds(_header(request, "Deadline-Ms"), "Deadline-Ms"),
        )
        took = self.desk.clock.now() - started_at
        declared = self.desk.find_kind(upstream, kind)
        is_good = isinstance(outcome, m.Answered) and took <= declared.deadline
        self._ledger.note(upstream, kind, Verdict.of(is_good))
        self._count(upstream, kind, outcome)
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["PUT"])
    @_guarded
    async def submit(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Record a plan or watch, and answer with its end if it comes in time."""
        kind, spelling = _argument(request, "kind"), _header(request, "Caller")
        wait = _wait(request)
        body = self._body(request)
        outcome = await submit_work(
            self.desk, upstream, kind, spelling, request_id, body
        )
        if isinstance(outcome, m.Accepted) and wait and not _is_final(outcome):
            found = await find_work(self.desk, upstream, spelling, request_id, wait)
            outcome = found if isinstance(found, m.Accepted) else outcome
        is_good = isinstance(outcome, m.Accepted)
        self._ledger.note(upstream, kind, Verdict.of(is_good))
        self._count(upstream, kind, outcome)
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["GET"])
    @_guarded
    async def find(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Answer with the state of a plan or watch."""
        outcome = await find_work(
            self.desk, upstream, _header(request, "Caller"), request_id, _wait(request)
        )
        return send_outcome(request, request_id, outcome)

    @app.route("/v1/<upstream>/work/<request_id>", methods=["DELETE"])
    @_guarded
    async def cancel(self, request: IRequest, upstream: str, request_id: str) -> bytes:
        """Cancel a plan or watch."""
        wait = _wait(request) or dt.timedelta(seconds=10)
        outcome = await cancel_work(
            self.desk, upstream, _header(request, "Caller"), request_id, wait
        )
        if isinstance(outcome, m.Refused):
            # Work that has ended is no longer in the line, but in the store.
            outcome = await find_work(
                self.desk,
                upstream,
                _header(request, "Caller"),
                request_id,
                dt.timedelta(),
            )
        return send_outcome(request, request_id, outcome)

    def _admit(self) -> None:
        if self.desk.view.revision is None:
            raise NotRunError(
                "The entry does not know the inventory yet.",
                "Retry through another entry.",
            )

    def _body(self, request: IRequest) -> str:
        content = request.content.read(self._max_body_bytes + 1)
        if len(content) > self._max_body_bytes:
            raise BodyTooLargeError(
                f"The body exceeds {self._max_body_bytes} bytes.",
                "Send a smaller body, or raise [caller_front] max_body_bytes.",
            )
        try:
            return content.decode()
        except UnicodeDecodeError as exc:
            raise RequestError(
                "The body is no UTF-8 text.", "Send text or JSON in UTF-8."
            ) from exc

    def _count(self, upstream: str, kind: str, outcome: t.Any) -> None:
        name = type(outcome).__name__.lower()
        self.desk.metrics.count_request(upstream, kind, name)


def _is_final(outcome: m.Accepted) -> bool:
    return outcome.record.phase.is_final


def _header(request: IRequest, name: str) -> str:
    return request.getHeader(name) or ""


def _argument(request: IRequest, name: str) -> str:
    values = request.args.get(name.encode(), [b""])
    return values[0].decode(errors="replace")


def _wait(request: IRequest) -> dt.timedelta:
    wait = _milliseconds(_argument(request, "wait_ms"), "wait_ms")
    return min(wait or dt.timedelta(), LONGEST_WAIT)


def _milliseconds(raw: str, name: str) -> dt.timedelta | None:
    if not raw:
        return None
    try:
        return dt.timedelta(milliseconds=float(raw))
    except (ValueError, OverflowError) as exc:
        raise RequestError(
            f"{name} is {raw!r}, which is no number.", "Send milliseconds."
        ) from exc

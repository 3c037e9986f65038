"""Answers of the fronts as JSON with a status and headers."""

import json
import math
import typing as t

from attrs import frozen
from twisted.web.iweb import IRequest

from .. import message as m
from ..codec import to_json
from ..exceptions import FigheadError, NotRunError
from ..model import Phase, WorkRecord

OK = 200
ACCEPTED = 202
NOT_RUN = 503
UNKNOWN = 504


@frozen
class CallerAnswer:
    """What a caller is told.

    :param outcome: ``done``, ``accepted``, ``failed``, ``cancelled``, ``parked``,
        ``not_run``, ``unknown`` or the kind of an error.
    :param answer: The whole answer of work that is done.
    """

    outcome: str
    request_id: str = ""
    answer: str = ""
    reason: str = ""
    remedy: str = ""
    attempt: int = 0
    retry_after_s: float = 0.0


_ENDINGS = {
    Phase.DONE: "done",
    Phase.FAILED: "failed",
    Phase.CANCELLED: "cancelled",
    Phase.PARKED: "parked",
}


def send(request: IRequest, status: int, value: t.Any) -> bytes:
    """Write an attrs object as the answer."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return to_json(value).encode()


def send_outcome(
    request: IRequest, request_id: str, outcome: m.CheckOutcome | m.WorkOutcome
) -> bytes:
    """Write the outcome of a command or query as the answer."""
    match outcome:
        case m.Answered(answer):
            return send(request, OK, CallerAnswer("done", request_id, answer))
        case m.Accepted(record):
            return send(request, _status_of(record), _describe(record))
        case m.NotRun(reason, retry_after):
            seconds = retry_after.total_seconds()
            request.setHeader("Retry-After", str(max(1, math.ceil(seconds))))
            remedy = "Retry after the pause, with the same request id."
            not_run = CallerAnswer(
                "not_run", request_id, "", reason, remedy, 0, seconds
            )
            return send(request, NOT_RUN, not_run)
        case m.Unknown(reason):
            remedy = "Ask by the request id, or repeat the request with the same id."
            unknown = CallerAnswer("unknown", request_id, "", reason, remedy)
            return send(request, UNKNOWN, unknown)
        case m.Refused(kind, message, remedy, status):
            refused = CallerAnswer(kind, request_id, "", message, remedy)
            return send(request, status, refused)
    raise TypeError(f"Unexpected outcome {type(outcome).__name__}.")


def send_error(request: IRequest, exc: FigheadError) -> bytes:
    """Write a typed error as the answer."""
    if isinstance(exc, NotRunError):
        seconds = math.ceil(exc.retry_after_s)
        request.setHeader("Retry-After", str(max(1, seconds)))
    body = {"outcome": exc.kind, "reason": exc.message, "remedy": exc.remedy}
    request.setResponseCode(exc.status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()


def _status_of(record: WorkRecord) -> int:
    return OK if record.phase.is_final else ACCEPTED


def _describe(record: WorkRecord) -> CallerAnswer:
    return CallerAnswer(
        _ENDINGS.get(record.phase, "accepted"),
        record.request_id,
        record.answer,
        record.reason or record.phase.value,
        attempt=record.attempt,
    )

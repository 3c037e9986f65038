"""Encodes outcomes and errors as JSON answers with an HTTP status and headers."""

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
    """JSON body of an answer to a caller.

    :param outcome: ``done``, ``accepted``, ``failed``, ``cancelled``, ``parked``,
        ``not_run``, ``unknown`` or the kind of an error.
    :param answer: Complete answer of the instance, if the outcome is ``done``.
    :param reason: Why the request has this outcome; for recorded work without a
        reason, its phase.
    :param attempt: Number of the latest attempt; 0 for checks and errors.
    """

    outcome: str
    request_id: str = ""
    answer: str = ""
    reason: str = ""
    remedy: str = ""
    attempt: int = 0
    retry_after_s: float = 0.0


_FINAL_OUTCOMES = {
    Phase.DONE: "done",
    Phase.FAILED: "failed",
    Phase.CANCELLED: "cancelled",
    Phase.PARKED: "parked",
}


def send_json(request: IRequest, status: int, value: t.Any) -> bytes:
    """Set the status and return an attrs object as the JSON body."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return to_json(value).encode()


def send_outcome(
    request: IRequest, request_id: str, outcome: m.CheckOutcome | m.WorkOutcome
) -> bytes:
    """Set the status and headers for an outcome and return its JSON body."""
    match outcome:
        case m.Answered(answer):
            return send_json(request, OK, CallerAnswer("done", request_id, answer))
        case m.Accepted(record):
            return send_json(request, _status_for(record), _answer_for(record))
        case m.NotRun(reason, retry_after):
            seconds = retry_after.total_seconds()
            request.setHeader("Retry-After", str(max(1, math.ceil(seconds))))
            remedy = "Retry after the pause, with the same request id."
            not_run = CallerAnswer(
                "not_run", request_id, "", reason, remedy, 0, seconds
            )
            return send_json(request, NOT_RUN, not_run)
        case m.Unknown(reason):
            remedy = "Ask by the request id, or repeat the request with the same id."
            unknown = CallerAnswer("unknown", request_id, "", reason, remedy)
            return send_json(request, UNKNOWN, unknown)
        case m.Refused(kind, message, remedy, status):
            refused = CallerAnswer(kind, request_id, "", message, remedy)
            return send_json(request, status, refused)
    raise TypeError(f"Unexpected outcome type {type(outcome).__name__}.")


def send_error(request: IRequest, exc: FigheadError) -> bytes:
    """Set the status and headers for an error and return its JSON body."""
    if isinstance(exc, NotRunError):
        seconds = math.ceil(exc.retry_after_s)
        request.setHeader("Retry-After", str(max(1, seconds)))
    body = {"outcome": exc.kind, "reason": exc.message, "remedy": exc.remedy}
    request.setResponseCode(exc.status)
    request.setHeader("Content-Type", "application/json")
    return json.dumps(body).encode()


def _status_for(record: WorkRecord) -> int:
    return OK if record.phase.is_final else ACCEPTED


def _answer_for(record: WorkRecord) -> CallerAnswer:
    return CallerAnswer(
        _FINAL_OUTCOMES.get(record.phase, "accepted"),
        record.request_id,
        record.answer,
        record.reason or record.phase.value,
        attempt=record.attempt,
    )

"""The commands that submit and cancel plans and watches for a caller."""

import datetime as dt
import typing as t

import xxhash

from .. import message as m
from ..clock import sleep
from ..decisions.ownership import line_resource
from ..exceptions import MailboxFullError, PeerUnreachableError, RequestError
from ..front_context import FrontContext
from ..model import Category, Kind, WorkRecord
from ..request import RETRY_PAUSE, validate_request_id

#: Timeout of one message to the owner of a line.
ASK_TIMEOUT = dt.timedelta(seconds=7)


async def submit_work(
    context: FrontContext,
    upstream: str,
    kind_name: str,
    spelling: str,
    request_id: str,
    body: str,
    wait: dt.timedelta | None = None,
) -> m.WorkOutcome:
    """Record a plan or watch under a request id chosen by the caller.

    The call is idempotent: the same request may be repeated through any entry.

    :param spelling: The caller's name as sent with the request.
    :param wait: Time limit for recording; the kind's deadline if ``None``.
    :return: :class:`.Accepted` once recorded, :class:`.NotRun` if it is certain
        that the work is not recorded and will not be, :class:`.Refused` if the line
        rejects it, :class:`.Unknown` otherwise.
    :raises UnknownNameError: If upstream or kind is not declared.
    :raises RequestError: If the kind is a check or the request id is malformed.

    .. versionadded:: 0.1
    """
    kind = context.find_kind(upstream, kind_name)
    validate_request_id(request_id)
    if kind.category is Category.CHECK:
        raise RequestError(
            f"{kind_name} is a check, which is not recorded.",
            "Send it with POST to /checks/ instead.",
        )
    record = _new_record(context, kind, spelling, request_id, body)
    deadline = context.clock.now() + (kind.deadline if wait is None else wait)
    return await _ask_line_owner(context, upstream, m.SubmitWork(record), deadline)


async def cancel_work(
    context: FrontContext,
    upstream: str,
    spelling: str,
    request_id: str,
    wait: dt.timedelta,
) -> m.WorkOutcome:
    """Request cancellation of a plan or watch and wait for it to end.

    Work that has already ended keeps its outcome.

    :param spelling: The caller's name as sent with the request.
    :param wait: Time to wait for the work to end; if it passes, the returned
        record may not be final.

    .. versionadded:: 0.1
    """
    validate_request_id(request_id)
    caller = context.canonical_name(spelling)
    deadline = context.clock.now() + wait
    cancel = m.CancelWork(upstream, caller, request_id)
    outcome = await _ask_line_owner(context, upstream, cancel, deadline)
    if not isinstance(outcome, m.Accepted) or outcome.record.phase.is_final:
        return outcome
    time_left = max(dt.timedelta(), deadline - context.clock.now())
    query = m.QueryWork(upstream, caller, request_id, time_left)
    return await _ask_line_owner(context, upstream, query, deadline)


def _new_record(
    context: FrontContext, kind: Kind, spelling: str, request_id: str, body: str
) -> WorkRecord:
    return WorkRecord(
        upstream=kind.upstream,
        caller=context.canonical_name(spelling),
        request_id=request_id,
        kind=kind.name,
        category=kind.category,
        non_idempotent=kind.non_idempotent,
        body=body,
        body_digest=xxhash.xxh3_128_hexdigest(f"{kind.name}\n{body}".encode()),
        submitted_at=context.clock.now(),
    )


async def _ask_line_owner(
    context: FrontContext, upstream: str, message: t.Any, deadline: dt.datetime
) -> m.WorkOutcome:
    """Send a message to the owner of a line until its answer is conclusive.

    A message whose answer was lost may have taken effect, so from then on
    :class:`.NotRun` is returned as :class:`.Unknown`. Any other conclusive answer
    settles the outcome.
    """
    is_uncertain = False
    outcome: m.WorkOutcome = m.NotRun("The line has no holder now.")
    while True:
        time_left = deadline - context.clock.now()
        if time_left <= dt.timedelta():
            return _resolve_outcome(outcome, is_uncertain)
        try:
            timeout = min(time_left, ASK_TIMEOUT)
            outcome = await context.ask(line_resource(upstream), message, timeout)
        except MailboxFullError as exc:
            outcome = m.NotRun(exc.message, is_transient=True)
        except PeerUnreachableError:
            is_uncertain = is_uncertain or _has_owner(context, upstream)
            outcome = m.NotRun("The holder of the line is not reached.")
        else:
            if _is_conclusive(outcome):
                return _resolve_outcome(outcome, is_uncertain)
            is_uncertain = is_uncertain or isinstance(outcome, m.Unknown)
        await sleep(context.clock, RETRY_PAUSE)


def _has_owner(context: FrontContext, upstream: str) -> bool:
    return context.view.owner_of(line_resource(upstream)) is not None


def _is_conclusive(outcome: m.WorkOutcome) -> bool:
    if isinstance(outcome, m.NotRun):
        return not outcome.is_transient
    return not isinstance(outcome, m.Unknown)


def _resolve_outcome(outcome: m.WorkOutcome, is_uncertain: bool) -> m.WorkOutcome:
    if is_uncertain and isinstance(outcome, m.NotRun):
        return m.Unknown("A message to the line got no answer; ask again by id.")
    return outcome

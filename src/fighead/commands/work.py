"""The commands that submit and cancel plans and watches for a caller."""

import datetime as dt
import typing as t

import xxhash

from .. import message as m
from ..clock import sleep
from ..decisions.ownership import line_resource
from ..desk import Desk
from ..exceptions import MailboxFullError, PeerUnreachableError, RequestError
from ..model import Category, Kind, WorkRecord
from ..request import RETRY_PAUSE, check_request_id

#: Time within which one message to the holder of a line must be answered.
ASK_TIMEOUT = dt.timedelta(seconds=7)


async def submit_work(
    desk: Desk,
    upstream: str,
    kind_name: str,
    spelling: str,
    request_id: str,
    body: str,
    wait: dt.timedelta | None = None,
) -> m.WorkOutcome:
    """Record a plan or watch under the caller's own request id.

    Repeating the same request through any entry is harmless.

    :param wait: How long recording may take; the kind's deadline if ``None``.
    :return: :class:`.Accepted` once recorded, :class:`.NotRun` if it certainly
        is not and will not be, :class:`.Unknown` otherwise.
    :raises UnknownNameError: If upstream or kind is not declared.
    :raises RequestError: If the kind is a check or the id is not usable.

    .. versionadded:: 0.1
    """
    kind = desk.find_kind(upstream, kind_name)
    check_request_id(request_id)
    if kind.category is Category.CHECK:
        raise RequestError(
            f"{kind_name} is a check, which is not recorded.",
            "Send it with POST to /checks/.",
        )
    record = _new_record(desk, kind, spelling, request_id, body)
    deadline = desk.clock.now() + (kind.deadline if wait is None else wait)
    return await _ask_line(desk, upstream, m.SubmitWork(record), deadline)


async def cancel_work(
    desk: Desk, upstream: str, spelling: str, request_id: str, wait: dt.timedelta
) -> m.WorkOutcome:
    """Cancel work and return its record, final if it ends within ``wait``.

    Work that has ended stays as it ended.

    .. versionadded:: 0.1
    """
    check_request_id(request_id)
    caller = desk.canonical_name(spelling)
    deadline = desk.clock.now() + wait
    cancel = m.CancelWork(upstream, caller, request_id)
    outcome = await _ask_line(desk, upstream, cancel, deadline)
    if not isinstance(outcome, m.Accepted) or outcome.record.phase.is_final:
        return outcome
    left = max(dt.timedelta(), deadline - desk.clock.now())
    query = m.QueryWork(upstream, caller, request_id, left)
    return await _ask_line(desk, upstream, query, deadline)


def _new_record(
    desk: Desk, kind: Kind, spelling: str, request_id: str, body: str
) -> WorkRecord:
    return WorkRecord(
        upstream=kind.upstream,
        caller=desk.canonical_name(spelling),
        request_id=request_id,
        kind=kind.name,
        category=kind.category,
        non_idempotent=kind.non_idempotent,
        body=body,
        body_digest=xxhash.xxh3_128_hexdigest(f"{kind.name}\n{body}".encode()),
        submitted_at=desk.clock.now(),
    )


async def _ask_line(
    desk: Desk, upstream: str, message: t.Any, deadline: dt.datetime
) -> m.WorkOutcome:
    """Ask the holder of a line until it gives a lasting answer.

    An answer that got lost leaves the outcome open until a later one settles
    it, so "not run" is said only if no message was left without an answer.
    """
    is_uncertain = False
    outcome: m.WorkOutcome = m.NotRun("The line has no holder now.")
    while True:
        left = deadline - desk.clock.now()
        if left <= dt.timedelta():
            return _settle(outcome, is_uncertain)
        try:
            timeout = min(left, ASK_TIMEOUT)
            outcome = await desk.ask(line_resource(upstream), message, timeout)
        except MailboxFullError as exc:
            outcome = m.NotRun(exc.message, is_transient=True)
        except PeerUnreachableError:
            is_uncertain = is_uncertain or _has_holder(desk, upstream)
            outcome = m.NotRun("The holder of the line is not reached.")
        else:
            if _is_lasting(outcome):
                return _settle(outcome, is_uncertain)
            is_uncertain = is_uncertain or isinstance(outcome, m.Unknown)
        await sleep(desk.clock, RETRY_PAUSE)


def _has_holder(desk: Desk, upstream: str) -> bool:
    return desk.view.owner_of(line_resource(upstream)) is not None


def _is_lasting(outcome: m.WorkOutcome) -> bool:
    if isinstance(outcome, m.NotRun):
        return not outcome.is_transient
    return not isinstance(outcome, m.Unknown)


def _settle(outcome: m.WorkOutcome, is_uncertain: bool) -> m.WorkOutcome:
    if is_uncertain and isinstance(outcome, m.NotRun):
        return m.Unknown("A message to the line got no answer; ask again by id.")
    return outcome

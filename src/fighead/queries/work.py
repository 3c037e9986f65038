"""The query for the state of a plan or watch."""

import datetime as dt

from .. import message as m
from ..clock import sleep
from ..decisions.ownership import line_resource
from ..exceptions import MailboxFullError, PeerUnreachableError, StoreError
from ..front_context import FrontContext
from ..model import work_id
from ..request import RETRY_PAUSE, validate_request_id
from ..store import Range
from ..tasks.line import decode_record, record_key
from ..tasks.store import ask_store

#: Upper limit of the wait in one message to the owner of a line; a longer wait
#: takes several messages.
MAX_OWNER_WAIT = dt.timedelta(seconds=5)
#: Time beyond the wait after which an owner that has not answered counts as
#: unreachable.
ANSWER_ALLOWANCE = dt.timedelta(seconds=2)


async def find_work(
    context: FrontContext,
    upstream: str,
    spelling: str,
    request_id: str,
    wait: dt.timedelta,
) -> m.WorkOutcome:
    """Return the record of a plan or watch, waiting up to ``wait`` for it to end.

    The owner of the line knows open work. If it does not know the work or can't be
    reached, the record is read from the store, so the answer does not depend on any
    one entry.

    :param spelling: The caller's name as sent with the request.
    :return: :class:`.Accepted` with the record, :class:`.Refused` if there is
        none, :class:`.Unknown` if the store can't be reached either.

    .. versionadded:: 0.1
    """
    validate_request_id(request_id)
    caller = context.canonical_name(spelling)
    deadline = context.clock.now() + wait
    while True:
        time_left = max(dt.timedelta(), deadline - context.clock.now())
        query = m.QueryWork(
            upstream, caller, request_id, min(time_left, MAX_OWNER_WAIT)
        )
        outcome = await _ask_owner(context, query)
        if not isinstance(outcome, m.Accepted):
            outcome = await _read_store(context, upstream, caller, request_id)
        is_final = isinstance(outcome, m.Accepted) and outcome.record.phase.is_final
        if is_final or context.clock.now() >= deadline:
            return outcome
        if isinstance(outcome, m.Refused):
            return outcome
        await sleep(context.clock, RETRY_PAUSE)


async def _ask_owner(context: FrontContext, query: m.QueryWork) -> m.WorkOutcome:
    resource = line_resource(query.upstream)
    try:
        return await context.ask(resource, query, query.wait + ANSWER_ALLOWANCE)
    except (PeerUnreachableError, MailboxFullError) as exc:
        return m.Unknown(exc.message)


async def _read_store(
    context: FrontContext, upstream: str, caller: str, request_id: str
) -> m.WorkOutcome:
    key = record_key(upstream, work_id(caller, request_id))
    try:
        result = await ask_store(context.store, Range(key))
    except (StoreError, MailboxFullError) as exc:
        return m.Unknown(f"{exc.message} Ask again by id.")
    stored = decode_record(result.kvs[0]) if result.kvs else None
    if stored is not None:
        return m.Accepted(stored.record)
    return m.Refused(
        "unknown_work",
        f"There is no work with request id {request_id!r}.",
        "Check the upstream, the caller's name and the request id.",
        404,
    )

"""The command that runs an urgent check for a caller."""

import datetime as dt

from attrs import evolve
from twisted.internet.defer import Deferred

from .. import message as m
from ..decisions import dispatch
from ..decisions.ownership import instance_resource
from ..desk import Desk
from ..exceptions import MailboxFullError, PeerUnreachableError, RequestError
from ..model import Category

#: Time kept back for the way of the answer.
ANSWER_MARGIN = dt.timedelta(milliseconds=5)


async def run_check(
    desk: Desk,
    upstream: str,
    kind_name: str,
    spelling: str,
    request_id: str,
    body: str,
    deadline: dt.timedelta | None,
) -> m.CheckOutcome:
    """Run a check on one instance and return its whole answer.

    A check that an instance refused, or whose answer was lost, is offered to
    another instance while its deadline and the budget of repeats allow.

    :param deadline: Time left to the caller; the kind's own if ``None``.
    :raises UnknownNameError: If upstream or kind is not declared.
    :raises RequestError: If the kind is no check or the deadline has passed.
    """
    kind = desk.find_kind(upstream, kind_name)
    if kind.category is not Category.CHECK:
        raise RequestError(
            f"{kind_name} is a {kind.category.value}, not a check.",
            "Send it as recorded work with PUT and a request id.",
        )
    limit = kind.deadline if deadline is None else min(deadline, kind.deadline)
    if limit <= dt.timedelta():
        raise RequestError(
            "The deadline has passed.", "Send a Deadline-Ms header above 0."
        )
    started_at = desk.clock.now()
    request = m.CheckRequest(
        upstream,
        kind_name,
        desk.canonical_name(spelling),
        request_id,
        body,
        started_at + limit,
        kind.cores,
        kind.memory_bytes,
    )
    desk.dispatch = dispatch.earn(desk.dispatch, upstream)
    outcome = await _offer_until_answered(desk, request)
    took = desk.clock.now() - started_at
    desk.metrics.time_check(upstream, kind_name, took)
    return outcome


async def _offer_until_answered(desk: Desk, request: m.CheckRequest) -> m.CheckOutcome:
    outcome: m.CheckOutcome = m.NotRun("No instance is available.")
    tried: list[str] = []
    is_uncertain = False
    while len(tried) < dispatch.MAX_OFFERS:
        if tried and not _may_repeat(desk, request):
            break
        instance = dispatch.choose(desk.dispatch, request.upstream, tried)
        if instance is None:
            break
        tried.append(instance)
        outcome = await _offer(desk, instance, _numbered(request, len(tried)))
        if isinstance(outcome, m.Answered):
            return outcome
        is_uncertain = is_uncertain or isinstance(outcome, m.Unknown)
    if is_uncertain and isinstance(outcome, m.NotRun):
        return m.Unknown("An earlier offer of the check got no answer.")
    return outcome


def _numbered(request: m.CheckRequest, offer: int) -> m.CheckRequest:
    return evolve(request, request_id=f"{request.request_id}~{offer}")


def _may_repeat(desk: Desk, request: m.CheckRequest) -> bool:
    if desk.clock.now() + ANSWER_MARGIN >= request.deadline:
        return False
    spent = dispatch.spend(desk.dispatch, request.upstream)
    if spent is None:
        return False
    desk.dispatch = spent
    desk.metrics.count_retry(request.upstream)
    return True


async def _offer(desk: Desk, instance: str, request: m.CheckRequest) -> m.CheckOutcome:
    left = dispatch.remaining(request.deadline, desk.clock.now())
    desk.note_offer(instance, 1)
    try:
        offer = m.OfferCheck(instance, request)
        answer: Deferred = desk.ask(instance_resource(instance), offer, left)
        return await answer
    except PeerUnreachableError as exc:
        return m.Unknown(exc.message)
    except MailboxFullError as exc:
        return m.NotRun(exc.message)
    finally:
        desk.note_offer(instance, -1)

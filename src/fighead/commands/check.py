"""The command that runs a latency-critical check for a caller."""

import datetime as dt
import typing as t

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred

from .. import message as m
from ..decisions import dispatch, overload
from ..decisions.ownership import instance_resource
from ..exceptions import MailboxFullError, PeerUnreachableError, RequestError
from ..front_context import FrontContext
from ..mailbox import Mailbox, spawn
from ..model import Category

#: Time reserved for the answer to reach the caller. A check is not offered again
#: unless more than this is left until its deadline.
ANSWER_MARGIN = dt.timedelta(milliseconds=5)


async def run_check(
    context: FrontContext,
    upstream: str,
    kind_name: str,
    spelling: str,
    request_id: str,
    body: str,
    deadline: dt.timedelta | None,
) -> m.CheckOutcome:
    """Run a check on an instance and return its outcome.

    If an instance refuses the check, its answer is lost or it is slow to answer,
    the check is offered to another one, as far as the deadline and the upstream's
    retry budget allow.

    :param spelling: The caller's name as sent with the request.
    :param deadline: Time that the caller allows, at most the kind's deadline;
        ``None`` for the kind's deadline.
    :raises UnknownNameError: If upstream or kind is not declared.
    :raises RequestError: If the kind is not a check or the deadline has passed.

    .. versionadded:: 0.1
    """
    kind = context.find_kind(upstream, kind_name)
    if kind.category is not Category.CHECK:
        raise RequestError(
            f"{kind_name} is a {kind.category.value}, not a check.",
            "Submit it with PUT to /work/ and a request id.",
        )
    time_limit = kind.deadline if deadline is None else min(deadline, kind.deadline)
    if time_limit <= dt.timedelta():
        raise RequestError(
            "The deadline is not in the future.",
            "Send a Deadline-Ms header greater than 0.",
        )
    started_at = context.clock.now()
    caller = context.canonical_name(spelling)
    limiter = overload.acquire(context.check_limiter, caller)
    if limiter is None:
        reason = "The entry has more checks than it can answer in time."
        return m.NotRun(reason, overload.RETRY_AFTER)
    context.check_limiter = limiter
    request = m.CheckRequest(
        upstream,
        kind_name,
        caller,
        request_id,
        body,
        started_at + time_limit,
        kind.cores,
        kind.memory_bytes,
    )
    context.dispatch = dispatch.credit_retry_budget(context.dispatch, upstream)
    try:
        outcome = await _offer_with_retries(context, request)
    finally:
        context.check_limiter = overload.release(context.check_limiter, caller)
    duration = context.clock.now() - started_at
    context.metrics.record_check_duration(upstream, kind_name, duration)
    return outcome


@frozen
class _HedgeDue:
    """Message: the first offer is slow, so the check may be offered again."""


@define(eq=False)
class _Offers:
    """State of the offers of one check.

    :param box: Receives the outcome of each offer, and :class:`_HedgeDue`.
    :param tried: Instances that the check was offered to.
    :param pending: Number of offers without an outcome.
    :param is_uncertain: Whether an instance may have run the check without its
        answer having arrived.
    """

    context: FrontContext
    request: m.CheckRequest
    box: Mailbox[t.Any] = field(factory=lambda: Mailbox("offers"))
    tried: list[str] = field(factory=list)
    pending: int = 0
    is_uncertain: bool = False

    def start_next(self) -> bool:
        """Offer the check to one more instance.

        Every offer but the first uses one retry of the upstream's budget.

        :return: Whether an offer was made.
        """
        if len(self.tried) >= dispatch.MAX_OFFERS:
            return False
        context, request = self.context, self.request
        now = context.clock.now()
        state = context.dispatch
        instance = dispatch.select_instance(state, request.upstream, now, self.tried)
        if instance is None or (self.tried and not _use_retry(context, request)):
            return False
        self.tried.append(instance)
        self.pending += 1
        numbered_request = evolve(
            request, request_id=f"{request.request_id}~{len(self.tried)}"
        )
        spawn(self._offer(instance, numbered_request))
        return True

    async def _offer(self, instance: str, request: m.CheckRequest) -> None:
        await self.box.put(await _offer(self.context, instance, request))


async def _offer_with_retries(
    context: FrontContext, request: m.CheckRequest
) -> m.CheckOutcome:
    offers = _Offers(context, request)
    if not offers.start_next():
        return m.NotRun("No instance is available.")
    time_left = dispatch.time_left(request.deadline, context.clock.now())
    timer = context.clock.call_later(
        time_left * dispatch.HEDGE_DELAY_SHARE, lambda: offers.box.offer(_HedgeDue())
    )
    try:
        return await _await_outcome(offers)
    finally:
        if timer.active():
            timer.cancel()


async def _await_outcome(offers: _Offers) -> m.CheckOutcome:
    while True:
        outcome = await offers.box.get()
        if isinstance(outcome, _HedgeDue):
            offers.start_next()
            continue
        offers.pending -= 1
        if isinstance(outcome, m.Answered):
            return outcome
        offers.is_uncertain = offers.is_uncertain or isinstance(outcome, m.Unknown)
        if offers.start_next() or offers.pending:
            continue
        if offers.is_uncertain and isinstance(outcome, m.NotRun):
            return m.Unknown("An earlier offer of the check got no answer.")
        return outcome


def _use_retry(context: FrontContext, request: m.CheckRequest) -> bool:
    """Take one retry from the budget; return whether a retry is allowed."""
    if context.clock.now() + ANSWER_MARGIN >= request.deadline:
        return False
    dispatch_state = dispatch.spend_retry(context.dispatch, request.upstream)
    if dispatch_state is None:
        return False
    context.dispatch = dispatch_state
    context.metrics.count_retry(request.upstream)
    return True


async def _offer(
    context: FrontContext, instance: str, request: m.CheckRequest
) -> m.CheckOutcome:
    time_left = dispatch.time_left(request.deadline, context.clock.now())
    resource = instance_resource(instance)
    context.update_offers_in_flight(instance, 1)
    try:
        offer = m.OfferCheck(instance, request)
        answer: Deferred = context.ask(resource, offer, time_left)
        return await answer
    except PeerUnreachableError as exc:
        return m.Unknown(exc.message)
    except MailboxFullError as exc:
        return m.NotRun(exc.message)
    finally:
        context.update_offers_in_flight(instance, -1)

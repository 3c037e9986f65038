"""The command that runs an urgent check for a caller."""

import datetime as dt
import typing as t

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred

from .. import message as m
from ..decisions import dispatch, overload
from ..decisions.ownership import instance_resource
from ..desk import Desk
from ..exceptions import MailboxFullError, PeerUnreachableError, RequestError
from ..mailbox import Mailbox, spawn
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

    .. versionadded:: 0.1
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
    caller = desk.canonical_name(spelling)
    admitted = overload.acquire(desk.gate, caller)
    if admitted is None:
        reason = "The entry has more checks than it can answer in time."
        return m.NotRun(reason, overload.RETRY_AFTER)
    desk.gate = admitted
    request = m.CheckRequest(
        upstream,
        kind_name,
        caller,
        request_id,
        body,
        started_at + limit,
        kind.cores,
        kind.memory_bytes,
    )
    desk.dispatch = dispatch.credit_retry_budget(desk.dispatch, upstream)
    try:
        outcome = await _offer_until_answered(desk, request)
    finally:
        desk.gate = overload.release(desk.gate, caller)
    took = desk.clock.now() - started_at
    desk.metrics.time_check(upstream, kind_name, took)
    return outcome


@frozen
class _Patience:
    """The first offer has taken long enough for a second one."""


@define(eq=False)
class _Offers:
    """The offers of one check and what came of them.

    :param box: Where outcomes and the end of patience arrive.
    """

    desk: Desk
    request: m.CheckRequest
    box: Mailbox[t.Any] = field(factory=lambda: Mailbox("offers"))
    tried: list[str] = field(factory=list)
    pending: int = 0
    is_uncertain: bool = False

    def begin(self) -> bool:
        """Offer the check to one more instance, if one is left and allowed."""
        if len(self.tried) >= dispatch.MAX_OFFERS:
            return False
        desk, request = self.desk, self.request
        now = desk.clock.now()
        state = desk.dispatch
        instance = dispatch.select_instance(state, request.upstream, now, self.tried)
        if instance is None or (self.tried and not _may_repeat(desk, request)):
            return False
        self.tried.append(instance)
        self.pending += 1
        numbered = evolve(request, request_id=f"{request.request_id}~{len(self.tried)}")
        spawn(self._offer(instance, numbered))
        return True

    async def _offer(self, instance: str, request: m.CheckRequest) -> None:
        await self.box.put(await _offer(self.desk, instance, request))


async def _offer_until_answered(desk: Desk, request: m.CheckRequest) -> m.CheckOutcome:
    offers = _Offers(desk, request)
    if not offers.begin():
        return m.NotRun("No instance is available.")
    left = dispatch.time_left(request.deadline, desk.clock.now())
    timer = desk.clock.call_later(
        left * dispatch.HEDGE_DELAY_SHARE, lambda: offers.box.offer(_Patience())
    )
    try:
        return await _collect(offers)
    finally:
        if timer.active():
            timer.cancel()


async def _collect(offers: _Offers) -> m.CheckOutcome:
    while True:
        outcome = await offers.box.get()
        if isinstance(outcome, _Patience):
            offers.begin()
            continue
        offers.pending -= 1
        if isinstance(outcome, m.Answered):
            return outcome
        offers.is_uncertain = offers.is_uncertain or isinstance(outcome, m.Unknown)
        if offers.begin() or offers.pending:
            continue
        if offers.is_uncertain and isinstance(outcome, m.NotRun):
            return m.Unknown("An earlier offer of the check got no answer.")
        return outcome


def _may_repeat(desk: Desk, request: m.CheckRequest) -> bool:
    if desk.clock.now() + ANSWER_MARGIN >= request.deadline:
        return False
    spent = dispatch.spend_retry(desk.dispatch, request.upstream)
    if spent is None:
        return False
    desk.dispatch = spent
    desk.metrics.count_retry(request.upstream)
    return True


async def _offer(desk: Desk, instance: str, request: m.CheckRequest) -> m.CheckOutcome:
    left = dispatch.time_left(request.deadline, desk.clock.now())
    resource = instance_resource(instance)
    desk.note_offer(instance, 1)
    try:
        offer = m.OfferCheck(instance, request)
        answer: Deferred = desk.ask(resource, offer, left)
        return await answer
    except PeerUnreachableError as exc:
        return m.Unknown(exc.message)
    except MailboxFullError as exc:
        return m.NotRun(exc.message)
    finally:
        desk.note_offer(instance, -1)

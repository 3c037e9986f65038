"""Chooses the instance for a check and limits retries.

A check may be offered to several instances, one after the other or, to cut
tail latency, while an earlier offer is still unanswered.
"""

import datetime as dt
import typing as t

from attrs import evolve, field, frozen
from pyrsistent import PMap, pmap

from ..message import InstanceLoad, View
from ..model import Instance
from .ownership import instance_resource

#: Retries earned by each first offer.
RETRY_RATIO = 0.1
#: Upper limit of the retry budget, which is also its initial value, so that
#: upstreams with little traffic can retry at all.
MAX_AVAILABLE_RETRIES = 20.0
#: Offers of one check, including the first.
MAX_OFFERS = 3
#: Cost of forwarding a check to another entry, in queued checks.
FORWARD_COST = 1
#: An owner that has sent nothing for this long is avoided. Owners report their
#: load more often than this.
SILENCE_LIMIT = dt.timedelta(seconds=1.2)
#: Share of the time left until the deadline after which an unanswered check is
#: offered to a second instance.
HEDGE_DELAY_SHARE = 0.4
#: Quarantined instances are avoided only up to this share of the candidates, or one
#: instance if that is more. If more are quarantined, none is avoided.
MAX_AVOIDED_SHARE = 1 / 3


@frozen
class RetryBudget:
    """Retries that an upstream may still use; may be fractional."""

    available: float = MAX_AVAILABLE_RETRIES


@frozen
class DispatchState:
    """What an entry's front ends know about the load of instances.

    :param loads: Latest :class:`.InstanceLoad` by instance.
    :param in_flight: Number of offers without an outcome, by instance.
    :param retry_budgets: :class:`RetryBudget` by upstream.
    :param last_message_at: When the last message arrived, by sending entry.
    """

    view: View
    loads: PMap = pmap()
    in_flight: PMap = pmap()
    retry_budgets: PMap = field(factory=pmap)
    last_message_at: PMap = field(factory=pmap)


def credit_retry_budget(state: DispatchState, upstream: str) -> DispatchState:
    """Credit the retry budget of ``upstream`` for a first offer."""
    available = state.retry_budgets.get(upstream, RetryBudget()).available + RETRY_RATIO
    budget = RetryBudget(min(available, MAX_AVAILABLE_RETRIES))
    return evolve(state, retry_budgets=state.retry_budgets.set(upstream, budget))


def spend_retry(state: DispatchState, upstream: str) -> DispatchState | None:
    """Take one retry from the budget, or return ``None`` if it is exhausted."""
    available = state.retry_budgets.get(upstream, RetryBudget()).available
    if available < 1.0:
        return None
    budget = RetryBudget(available - 1.0)
    return evolve(state, retry_budgets=state.retry_budgets.set(upstream, budget))


def record_loads(
    state: DispatchState, loads: t.Iterable[InstanceLoad]
) -> DispatchState:
    """Store reported loads, ignoring those from an older epoch than known."""
    latest = state.loads
    for load in loads:
        old = latest.get(load.instance)
        if old is None or old.epoch <= load.epoch:
            latest = latest.set(load.instance, load)
    return evolve(state, loads=latest)


def record_message(state: DispatchState, entry: str, now: dt.datetime) -> DispatchState:
    """Record that ``entry`` sent a message of any kind."""
    return evolve(state, last_message_at=state.last_message_at.set(entry, now))


def update_in_flight(state: DispatchState, instance: str, change: int) -> DispatchState:
    """Add ``change`` to the number of offers in flight, which stays at least 0.

    :param change: +1 when an offer begins, -1 when it ends.
    """
    count = max(0, state.in_flight.get(instance, 0) + change)
    return evolve(state, in_flight=state.in_flight.set(instance, count))


def select_instance(
    state: DispatchState,
    upstream: str,
    now: dt.datetime,
    excluded: t.Container[str] = (),
) -> str | None:
    """Return the instance to offer a check to, or ``None`` if there is none.

    Instances that are unreachable or whose owner is silent are offered a check only
    if there are no others. An instance owned by this entry wins over an equally
    loaded one of a peer, because forwarding costs about as much as one more queued
    check.
    """
    candidates = [
        instance
        for instance in _eligible_instances(state, upstream)
        if instance.name not in excluded
    ]
    if not candidates:
        return None
    responsive = [i for i in candidates if not _is_owner_silent(state, i, now)]
    candidates = responsive or candidates
    return min(candidates, key=lambda instance: _cost(state, instance)).name


def _is_owner_silent(
    state: DispatchState, instance: Instance, now: dt.datetime
) -> bool:
    owner = state.view.owner_of(instance_resource(instance.name))
    last_message_at = state.last_message_at.get(owner)
    return last_message_at is not None and now - last_message_at > SILENCE_LIMIT


def _eligible_instances(state: DispatchState, upstream: str) -> list[Instance]:
    view = state.view
    if view.revision is None:
        return []
    owned = [
        instance
        for instance in view.revision.inventory.instances_of(upstream)
        if view.owner_of(instance_resource(instance.name)) is not None
        and not instance.leaving
        and instance.name not in view.platform_leaving
        and instance.name not in view.platform_gone
    ]
    reachable = [i for i in owned if _is_reachable(state, i)] or owned
    return _without_quarantined(state, reachable)


def _is_reachable(state: DispatchState, instance: Instance) -> bool:
    load = state.loads.get(instance.name)
    return load is None or load.reachable


def _without_quarantined(
    state: DispatchState, instances: list[Instance]
) -> list[Instance]:
    quarantined = [i for i in instances if _is_quarantined(state, i)]
    limit = max(1, int(len(instances) * MAX_AVOIDED_SHARE))
    if (
        not quarantined
        or len(quarantined) > limit
        or len(quarantined) == len(instances)
    ):
        return instances
    return [i for i in instances if i not in quarantined]


def _is_quarantined(state: DispatchState, instance: Instance) -> bool:
    load = state.loads.get(instance.name)
    return load is not None and load.quarantined


def _cost(state: DispatchState, instance: Instance) -> tuple[float, str]:
    """Return the expected queue in checks, and the name to break ties.

    The queue is negative if the instance has more free slots than waiting checks.
    """
    load = state.loads.get(instance.name)
    in_flight = state.in_flight.get(instance.name, 0)
    is_own = state.view.owner_of(instance_resource(instance.name)) == state.view.me
    cost = float(in_flight) + (0 if is_own else FORWARD_COST)
    if load is None:
        return cost, instance.name
    cost += load.queued_checks - min(load.free_slots, instance.slots)
    return cost, instance.name


def time_left(deadline: dt.datetime, now: dt.datetime) -> dt.timedelta:
    """Return the time left until ``deadline``, or zero if it has passed."""
    return max(dt.timedelta(), deadline - now)

"""Chooses the instance for a check, and bounds repeated offers."""

import datetime as dt
import typing as t

from attrs import evolve, field, frozen
from pyrsistent import PMap, pmap

from ..message import InstanceLoad, View
from ..model import Instance
from .ownership import instance_resource

#: Repeats allowed for each first offer.
RETRY_RATIO = 0.1
#: Repeats that may be saved up, so that a quiet caller can repeat at all.
MAX_SAVED_RETRIES = 20.0
#: Offers of one check, the first included.
MAX_OFFERS = 3
#: Cost of a forward to another entry, in queued checks.
FORWARD_COST = 1
#: Silence after which an owner is avoided; owners tell their load more often.
SILENCE_LIMIT = dt.timedelta(seconds=1.2)
#: Share of the time left after which a check is offered a second time.
PATIENCE = 0.4
#: Largest share of an upstream's instances that are avoided as failing.
LARGEST_AVOIDED_SHARE = 1 / 3


@frozen
class RetryBudget:
    """Repeats that may still be made; first offers earn new ones."""

    saved: float = MAX_SAVED_RETRIES


@frozen
class DispatchState:
    """What a front knows of instances: their loads and its own offers.

    :param in_flight: Offers by instance that have no outcome yet.
    :param loads: Load by instance as its owner last told.
    :param heard: When the last message of each other entry came.
    """

    view: View
    loads: PMap = pmap()
    in_flight: PMap = pmap()
    budgets: PMap = field(factory=pmap)
    heard: PMap = field(factory=pmap)


def earn(state: DispatchState, upstream: str) -> DispatchState:
    """Note a first offer, which earns a part of a repeat."""
    saved = state.budgets.get(upstream, RetryBudget()).saved + RETRY_RATIO
    budget = RetryBudget(min(saved, MAX_SAVED_RETRIES))
    return evolve(state, budgets=state.budgets.set(upstream, budget))


def spend(state: DispatchState, upstream: str) -> DispatchState | None:
    """Take one repeat from the budget, or return ``None`` if it is used up."""
    saved = state.budgets.get(upstream, RetryBudget()).saved
    if saved < 1.0:
        return None
    budget = RetryBudget(saved - 1.0)
    return evolve(state, budgets=state.budgets.set(upstream, budget))


def take_loads(state: DispatchState, loads: t.Iterable[InstanceLoad]) -> DispatchState:
    """Take in the loads that an owner told."""
    known = state.loads
    for load in loads:
        old = known.get(load.instance)
        if old is None or old.epoch <= load.epoch:
            known = known.set(load.instance, load)
    return evolve(state, loads=known)


def hear(state: DispatchState, entry: str, now: dt.datetime) -> DispatchState:
    """Note that an entry has sent a message."""
    return evolve(state, heard=state.heard.set(entry, now))


def note_offer(state: DispatchState, instance: str, change: int) -> DispatchState:
    """Note that an offer begins (+1) or ends (-1)."""
    count = max(0, state.in_flight.get(instance, 0) + change)
    return evolve(state, in_flight=state.in_flight.set(instance, count))


def choose(
    state: DispatchState,
    upstream: str,
    now: dt.datetime,
    excluded: t.Container[str] = (),
) -> str | None:
    """Return the instance to offer a check to, or ``None`` if there is none.

    An instance of this entry's own is preferred to a peer's that is only as
    good, since forwarding costs about as much as a queued check.
    """
    candidates = [
        instance
        for instance in _usable(state, upstream)
        if instance.name not in excluded
    ]
    if not candidates:
        return None
    trusted = [i for i in candidates if not _is_silent(state, i, now)]
    candidates = trusted or candidates
    return min(candidates, key=lambda instance: _cost(state, instance)).name


def _is_silent(state: DispatchState, instance: Instance, now: dt.datetime) -> bool:
    owner = state.view.owner_of(instance_resource(instance.name))
    heard_at = state.heard.get(owner)
    return heard_at is not None and now - heard_at > SILENCE_LIMIT


def _usable(state: DispatchState, upstream: str) -> list[Instance]:
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
    return _without_failing(state, reachable)


def _is_reachable(state: DispatchState, instance: Instance) -> bool:
    load = state.loads.get(instance.name)
    return load is None or load.reachable


def _without_failing(state: DispatchState, instances: list[Instance]) -> list[Instance]:
    failing = [i for i in instances if _is_failing(state, i)]
    most = max(1, int(len(instances) * LARGEST_AVOIDED_SHARE))
    if not failing or len(failing) > most or len(failing) == len(instances):
        return instances
    return [i for i in instances if i not in failing]


def _is_failing(state: DispatchState, instance: Instance) -> bool:
    load = state.loads.get(instance.name)
    return load is not None and load.quarantined


def _cost(state: DispatchState, instance: Instance) -> tuple[float, str]:
    load = state.loads.get(instance.name)
    in_flight = state.in_flight.get(instance.name, 0)
    is_own = state.view.owner_of(instance_resource(instance.name)) == state.view.me
    cost = float(in_flight) + (0 if is_own else FORWARD_COST)
    if load is None:
        return cost, instance.name
    cost += load.queued_checks - min(load.free_slots, instance.slots)
    return cost, instance.name


def remaining(deadline: dt.datetime, now: dt.datetime) -> dt.timedelta:
    """Return the time left until ``deadline``, never less than zero."""
    return max(dt.timedelta(), deadline - now)

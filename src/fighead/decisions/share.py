"""The order in which waiting plans and watches get free slots.

Kinds share by weight with a floor for watches, callers of one kind share by
weight, and the work of one caller keeps its place in line.
"""

import bisect
import heapq
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

from ..model import Category, Kind

#: Share of an upstream's batch slots that watches leave to plans.
PLAN_FLOOR = 0.25


@frozen(order=True)
class Place:
    """A place in line: the create revision of a record, and its work id."""

    revision: int
    work_id: str


@frozen
class Group:
    """Work of one caller and kind."""

    kind: str
    caller: str


@frozen
class Shares:
    """Waiting work by group, and how many tasks each kind and caller runs."""

    waiting: PMap = pmap()
    running_by_kind: PMap = pmap()
    running_by_group: PMap = pmap()


def add_waiting(shares: Shares, group: Group, place: Place) -> Shares:
    """Add work at its place in line."""
    places = shares.waiting.get(group, ())
    index = bisect.bisect_left(places, place)
    placed = (*places[:index], place, *places[index:])
    return evolve(shares, waiting=shares.waiting.set(group, placed))


def remove_waiting(shares: Shares, group: Group, place: Place) -> Shares:
    """Remove work from the line, if it is there."""
    places = shares.waiting.get(group, ())
    index = bisect.bisect_left(places, place)
    if index == len(places) or places[index] != place:
        return shares
    rest = (*places[:index], *places[index + 1 :])
    if not rest:
        return evolve(shares, waiting=shares.waiting.remove(group))
    return evolve(shares, waiting=shares.waiting.set(group, rest))


def count_running(shares: Shares, group: Group, change: int) -> Shares:
    """Note that a task of ``group`` starts (+1) or ends (-1)."""
    by_kind = shares.running_by_kind
    by_group = shares.running_by_group
    return evolve(
        shares,
        running_by_kind=by_kind.set(
            group.kind, max(0, by_kind.get(group.kind, 0) + change)
        ),
        running_by_group=by_group.set(group, max(0, by_group.get(group, 0) + change)),
    )


def order(
    shares: Shares,
    kinds: t.Mapping[str, Kind],
    weights: t.Mapping[str, float],
    watch_floor: float,
) -> t.Iterator[Group]:
    """Yield the groups that wait, the one to serve next first.

    :param weights: Weight by caller; 1.0 if not named.
    :param watch_floor: Share of all running tasks kept for watches.
    """
    below_floor = _below_floor(shares, kinds, watch_floor)
    ranked = [
        (*_rank(shares, kinds, weights, below_floor, group, places[0]), group)
        for group, places in shares.waiting.items()
        if group.kind in kinds
    ]
    # Mostly the first group is served, so the rest need not be sorted.
    heapq.heapify(ranked)
    while ranked:
        yield heapq.heappop(ranked)[-1]


def is_watch(kinds: t.Mapping[str, Kind], name: str) -> bool:
    """Whether a kind of work runs for hours as a watch."""
    return name in kinds and kinds[name].category is Category.WATCH


def may_add_watch(shares: Shares, kinds: t.Mapping[str, Kind], slots: int) -> bool:
    """Whether another watch leaves plans their share of ``slots``.

    Watches hold a slot for hours, so plans would wait as long for a slot that
    watches have taken.
    """
    if all(kind.category is not Category.PLAN for kind in kinds.values()):
        return True
    running = shares.running_by_kind.items()
    watches = sum(count for name, count in running if is_watch(kinds, name))
    return watches + 1 <= (1 - PLAN_FLOOR) * slots


def _rank(
    shares: Shares,
    kinds: t.Mapping[str, Kind],
    weights: t.Mapping[str, float],
    below_floor: bool,
    group: Group,
    first: Place,
) -> tuple[int, float, float, int, str]:
    kind = kinds[group.kind]
    running = shares.running_by_kind.get(group.kind, 0)
    goes_first = below_floor and is_watch(kinds, group.kind)
    by_kind = running / kind.weight
    by_caller = shares.running_by_group.get(group, 0) / weights.get(group.caller, 1.0)
    return (0 if goes_first else 1, by_kind, by_caller, first.revision, first.work_id)


def _below_floor(
    shares: Shares, kinds: t.Mapping[str, Kind], watch_floor: float
) -> bool:
    total = watches = 0
    for name, running in shares.running_by_kind.items():
        total += running
        if is_watch(kinds, name):
            watches += running
    return watches < watch_floor * (total + 1)

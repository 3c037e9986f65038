"""Weighted fair sharing of batch slots among waiting plans and watches.

Kinds share slots by weight, with a floor for watches. Within a kind, callers share
by weight. The work of one caller and kind is served in order of submission.
"""

import bisect
import heapq
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

from ..model import Category, Kind

#: Share of an upstream's batch slots that watches must leave to plans.
PLAN_FLOOR = 0.25


@frozen(order=True)
class QueuePosition:
    """Sort key of waiting work: order of creation in the store.

    :param revision: Create revision of the record.
    """

    revision: int
    work_id: str


@frozen
class Group:
    """The unit of sharing: all work of one caller and kind."""

    kind: str
    caller: str


@frozen
class Shares:
    """Waiting work and numbers of running tasks.

    :param waiting: Sorted, non-empty tuples of :class:`QueuePosition` by
        :class:`Group`.
    :param running_by_kind: Number of tasks by kind.
    :param running_by_group: Number of tasks by :class:`Group`.
    """

    waiting: PMap = pmap()
    running_by_kind: PMap = pmap()
    running_by_group: PMap = pmap()


def add_waiting(shares: Shares, group: Group, position: QueuePosition) -> Shares:
    """Insert work in order of its position."""
    positions = shares.waiting.get(group, ())
    index = bisect.bisect_left(positions, position)
    inserted = (*positions[:index], position, *positions[index:])
    return evolve(shares, waiting=shares.waiting.set(group, inserted))


def remove_waiting(shares: Shares, group: Group, position: QueuePosition) -> Shares:
    """Remove waiting work; return ``shares`` unchanged if it is not waiting."""
    positions = shares.waiting.get(group, ())
    index = bisect.bisect_left(positions, position)
    if index == len(positions) or positions[index] != position:
        return shares
    remaining = (*positions[:index], *positions[index + 1 :])
    if not remaining:
        return evolve(shares, waiting=shares.waiting.remove(group))
    return evolve(shares, waiting=shares.waiting.set(group, remaining))


def adjust_running(shares: Shares, group: Group, change: int) -> Shares:
    """Add ``change``, which may be negative, to the running tasks of ``group``.

    The numbers do not fall below 0.
    """
    by_kind = shares.running_by_kind
    by_group = shares.running_by_group
    return evolve(
        shares,
        running_by_kind=by_kind.set(
            group.kind, max(0, by_kind.get(group.kind, 0) + change)
        ),
        running_by_group=by_group.set(group, max(0, by_group.get(group, 0) + change)),
    )


def rank_groups(
    shares: Shares,
    kinds: t.Mapping[str, Kind],
    weights: t.Mapping[str, float],
    watch_floor: float,
) -> t.Iterator[Group]:
    """Yield the groups with waiting work, the one to serve next first.

    Groups of kinds that are no longer declared are left out.

    :param weights: Weight by caller; a caller that is not listed has 1.0.
    :param watch_floor: Share of running tasks below which watches go first.
    """
    below_floor = _is_below_watch_floor(shares, kinds, watch_floor)
    ranked = [
        (*_rank_key(shares, kinds, weights, below_floor, group, positions[0]), group)
        for group, positions in shares.waiting.items()
        if group.kind in kinds
    ]
    # Usually the first group is served, so a heap saves sorting the others.
    heapq.heapify(ranked)
    while ranked:
        yield heapq.heappop(ranked)[-1]


def is_watch(kinds: t.Mapping[str, Kind], name: str) -> bool:
    """Whether ``name`` is a declared kind of watch."""
    return name in kinds and kinds[name].category is Category.WATCH


def may_add_watch(shares: Shares, kinds: t.Mapping[str, Kind], slots: int) -> bool:
    """Whether one more watch leaves plans their share of ``slots``.

    Watches hold a slot for hours, and plans would wait for it as long. Always true
    if no kind of plan is declared.
    """
    if all(kind.category is not Category.PLAN for kind in kinds.values()):
        return True
    running = shares.running_by_kind.items()
    watches = sum(count for name, count in running if is_watch(kinds, name))
    return watches + 1 <= (1 - PLAN_FLOOR) * slots


def _rank_key(
    shares: Shares,
    kinds: t.Mapping[str, Kind],
    weights: t.Mapping[str, float],
    below_floor: bool,
    group: Group,
    first: QueuePosition,
) -> tuple[int, float, float, int, str]:
    kind = kinds[group.kind]
    running = shares.running_by_kind.get(group.kind, 0)
    goes_first = below_floor and is_watch(kinds, group.kind)
    by_kind = running / kind.weight
    by_caller = shares.running_by_group.get(group, 0) / weights.get(group.caller, 1.0)
    return (0 if goes_first else 1, by_kind, by_caller, first.revision, first.work_id)


def _is_below_watch_floor(
    shares: Shares, kinds: t.Mapping[str, Kind], watch_floor: float
) -> bool:
    total = watches = 0
    for name, running in shares.running_by_kind.items():
        total += running
        if is_watch(kinds, name):
            watches += running
    return watches < watch_floor * (total + 1)

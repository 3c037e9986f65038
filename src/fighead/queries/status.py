"""Operators' queries: what is in force, who holds what and how it goes."""

import collections
import typing as t

from attrs import frozen

from ..codec import from_json
from ..decisions import instance_state as instance_states
from ..decisions import line as line_deciding
from ..decisions import line_state as line_states
from ..decisions.ownership import zones_by_resource
from ..desk import Desk
from ..mailbox import Mailbox
from ..model import HistoryRow
from ..store import HISTORY
from ..tasks.store import StoreCall, read_prefix


@frozen
class MemberStatus:
    """One entry as seen from here."""

    name: str
    availability_zone: str
    ready: bool
    applied_revision: int
    claims: int


@frozen
class InstanceStatus:
    """One instance that this entry owns."""

    name: str
    stage: str
    epoch: int
    reachable: bool
    checks: int
    batch_tasks: int
    queued_checks: int
    quarantined: bool
    level: str
    check_ratio: float


@frozen
class LineStatus:
    """One line that this entry holds."""

    upstream: str
    loaded: bool
    open: int
    waiting: dict[str, int]
    store_reachable: bool = True
    placed: int = 0
    instances_with_room: tuple[str, ...] = ()


@frozen
class Status:
    """Everything an entry knows, for operators."""

    entry: str
    revision: int
    in_force: bool
    lagging: tuple[str, ...]
    store_reachable: bool
    members: tuple[MemberStatus, ...]
    unclaimed: tuple[str, ...]
    instances: tuple[InstanceStatus, ...]
    lines: tuple[LineStatus, ...]


def read_status(desk: Desk, own_states: t.Iterable[t.Any]) -> Status:
    """Return what this entry knows now.

    .. versionadded:: 0.1
    """
    view = desk.view
    revision = view.revision.number if view.revision else 0
    counts = collections.Counter(claim.owner for claim in view.claims.values())
    members = tuple(
        MemberStatus(
            member.name,
            member.availability_zone,
            member.ready,
            member.applied_revision,
            counts[member.name],
        )
        for member in sorted(view.members.values(), key=lambda m: m.name)
    )
    lagging = tuple(m.name for m in members if m.applied_revision < revision)
    states = list(own_states)
    return Status(
        view.me,
        revision,
        not lagging and bool(members),
        lagging,
        view.store_reachable,
        members,
        _unclaimed(desk),
        tuple(_instance(s) for s in states if _is_instance(s)),
        tuple(_line(s) for s in states if not _is_instance(s)),
    )


async def read_history(box: Mailbox[StoreCall]) -> tuple[HistoryRow, ...]:
    """Return all accepted revisions, the latest last."""
    kvs, _ = await read_prefix(box, HISTORY)
    return tuple(from_json(kv.value, HistoryRow) for kv in kvs)


def _unclaimed(desk: Desk) -> tuple[str, ...]:
    revision = desk.view.revision
    if revision is None:
        return ()
    declared = zones_by_resource(revision.inventory)
    return tuple(sorted(name for name in declared if name not in desk.view.claims))


def _is_instance(state: t.Any) -> bool:
    return isinstance(state, instance_states.InstanceOwnerState)


def _instance(state: instance_states.InstanceOwnerState) -> InstanceStatus:
    return InstanceStatus(
        state.instance.name,
        state.stage.value,
        state.epoch,
        state.is_reachable,
        len(state.checks),
        instance_states.used_batch_slots(state),
        len(state.check_queue),
        state.health.is_quarantined,
        state.control.level.name.lower(),
        round(state.control.ratio, 3),
    )


def _line(state: line_states.LineState) -> LineStatus:
    return LineStatus(
        state.upstream.name,
        state.is_loaded,
        len(state.items),
        line_deciding.waiting_by_kind(state),
        state.store_reachable,
        sum(len(tasks) for tasks in state.reserved_tasks.values()),
        tuple(sorted(state.instances_with_room)),
    )

"""Operators' queries: revisions, claims, and the state of instances and lines."""

import collections
import typing as t

from attrs import frozen

from ..codec import from_json
from ..decisions import instance_state as instance_states
from ..decisions import line as line_deciding
from ..decisions import line_state as line_states
from ..decisions.ownership import zones_by_resource
from ..front_context import FrontContext
from ..mailbox import Mailbox
from ..model import HistoryRow
from ..store import HISTORY_PREFIX
from ..tasks.store import StoreCall, read_prefix


@frozen
class MemberStatus:
    """One entry, as seen by the entry that was asked.

    :param claims: Number of resources that it owns.
    """

    name: str
    availability_zone: str
    ready: bool
    applied_revision: int
    claims: int


@frozen
class InstanceStatus:
    """One instance that this entry owns.

    :param checks: Number of checks running on it.
    :param level: Name of the control level in lower case.
    :param check_ratio: Moving average of check latency relative to undisturbed
        latency, to 3 decimals.
    """

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
    """The line of an upstream, which this entry owns.

    :param open: Number of plans and watches that have not ended.
    :param waiting: Number of those waiting for an instance, by kind.
    :param placed: Number of tasks placed on instances.
    """

    upstream: str
    loaded: bool
    open: int
    waiting: dict[str, int]
    store_reachable: bool = True
    placed: int = 0
    instances_with_room: tuple[str, ...] = ()


@frozen
class Status:
    """The state of the system, as seen by one entry.

    :param revision: Number of the latest revision that the entry knows; 0 if none.
    :param in_force: Whether all live entries have applied that revision.
    :param lagging: Names of the entries that have not applied it.
    :param unclaimed: Declared resources that no entry owns.
    """

    entry: str
    revision: int
    in_force: bool
    lagging: tuple[str, ...]
    store_reachable: bool
    members: tuple[MemberStatus, ...]
    unclaimed: tuple[str, ...]
    instances: tuple[InstanceStatus, ...]
    lines: tuple[LineStatus, ...]


def read_status(context: FrontContext, owned_states: t.Iterable[t.Any]) -> Status:
    """Return the status of the system as this entry sees it now.

    :param owned_states: States of the instances and lines that this entry owns.

    .. versionadded:: 0.1
    """
    view = context.view
    revision = view.revision.number if view.revision else 0
    claims_by_owner = collections.Counter(claim.owner for claim in view.claims.values())
    members = tuple(
        MemberStatus(
            member.name,
            member.availability_zone,
            member.ready,
            member.applied_revision,
            claims_by_owner[member.name],
        )
        for member in sorted(view.members.values(), key=lambda m: m.name)
    )
    lagging = tuple(m.name for m in members if m.applied_revision < revision)
    states = list(owned_states)
    return Status(
        view.me,
        revision,
        not lagging and bool(members),
        lagging,
        view.store_reachable,
        members,
        _unclaimed_resources(context),
        tuple(_instance_status(s) for s in states if _is_instance(s)),
        tuple(_line_status(s) for s in states if not _is_instance(s)),
    )


async def read_history(box: Mailbox[StoreCall]) -> tuple[HistoryRow, ...]:
    """Return the accepted revisions that are still stored, in ascending order."""
    kvs, _ = await read_prefix(box, HISTORY_PREFIX)
    return tuple(from_json(kv.value, HistoryRow) for kv in kvs)


def _unclaimed_resources(context: FrontContext) -> tuple[str, ...]:
    revision = context.view.revision
    if revision is None:
        return ()
    declared = zones_by_resource(revision.inventory)
    return tuple(sorted(name for name in declared if name not in context.view.claims))


def _is_instance(state: t.Any) -> bool:
    return isinstance(state, instance_states.InstanceOwnerState)


def _instance_status(state: instance_states.InstanceOwnerState) -> InstanceStatus:
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


def _line_status(state: line_states.LineState) -> LineStatus:
    return LineStatus(
        state.upstream.name,
        state.is_loaded,
        len(state.items),
        line_deciding.waiting_by_kind(state),
        state.store_reachable,
        sum(len(tasks) for tasks in state.reserved_tasks.values()),
        tuple(sorted(state.instances_with_room)),
    )

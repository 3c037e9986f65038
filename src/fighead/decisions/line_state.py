"""State, messages and effects of a line, and the functions that update its state.

See :mod:`fighead.decisions.line` for what a line and its holder are.
"""

import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import Assignment, Phase, StoredRecord, Upstream, WorkRecord
from . import Step, fair_share, quarantine

#: Retry delay advised to callers while a line moves to another entry or the
#: store is unreachable.
SHORT_RETRY_DELAY = dt.timedelta(milliseconds=500)


@frozen
class WorkItem:
    """A plan or watch that has not ended.

    :param in_flight_record: The record that the write in flight stores; ``None`` if
        no write is in flight.
    :param deferred_messages: Messages to handle once that write is settled, in
        order of arrival.
    :param start_sent_at: When ``StartWork`` was last sent for the attempt.
    """

    stored: StoredRecord
    in_flight_record: WorkRecord | None = None
    deferred_messages: tuple[t.Any, ...] = ()
    start_sent_at: dt.datetime | None = None

    @property
    def record(self) -> WorkRecord:
        """The record without the changes of a write in flight."""
        return self.stored.record


@frozen
class ReceivedLoad:
    """An owner's last load report of an instance and the time of its arrival."""

    load: m.InstanceLoad
    received_at: dt.datetime


@frozen
class LineState:
    """The state of one line.

    :param kinds: Declared kinds by name.
    :param weights: Weight by caller; a caller that is not listed has 1.0.
    :param queue_limits: Quota of waiting plans and watches by caller; a caller
        that is not listed has none.
    :param is_loaded: Whether the open records were read from the store. Until
        then, new work and events are not handled.
    :param items: :class:`WorkItem` by work id.
    :param loads: :class:`ReceivedLoad` by instance.
    :param reserved_tasks: Ids of tasks that were assigned to an instance and that its
        owner does not list yet, by instance. Each reserves a part of the room
        that the owner reported.
    :param instances_with_room: Instances whose owner reports room for batch work.
    :param needs_follow_up: Ids of assigned work that its owner does not list, or
        that is to be stopped; checked at every tick.
    :param health: :class:`~fighead.decisions.quarantine.Health` by instance.
    :param leaving: Instances that get no new work.
    :param gone: Instances that the platform has removed.
    """

    upstream: Upstream
    kinds: PMap
    weights: PMap
    queue_limits: PMap = pmap()
    is_loaded: bool = False
    items: PMap = pmap()
    shares: fair_share.Shares = fair_share.Shares()
    loads: PMap = pmap()
    reserved_tasks: PMap = pmap()
    instances_with_room: PSet = pset()
    needs_follow_up: PSet = pset()
    health: PMap = pmap()
    leaving: frozenset[str] = frozenset()
    gone: frozenset[str] = frozenset()
    store_reachable: bool = True


@frozen
class RecordsLoaded:
    """Message: all open records of the upstream, read after the claim was won."""

    records: tuple[StoredRecord, ...]


@frozen
class RecordWritten:
    """Message: a write was committed.

    :param place: Create revision of the record.
    """

    work_id: str
    mod_revision: int
    place: int


@frozen
class RecordConflict:
    """Message: a write was rejected by its compare conditions.

    :param found: The record in the store; ``None`` if there is none.
    """

    work_id: str
    found: StoredRecord | None


@frozen
class WriteAbandoned:
    """Message: the write of a new record was given up without reaching the store."""

    work_id: str


@frozen
class WriteUncertain:
    """Message: the write of a new record is unconfirmed.

    :class:`RecordWritten` or :class:`RecordConflict` follows.
    """

    work_id: str


@frozen
class LineRules:
    """Message: the current declarations, platform list and state of the store.

    The fields replace those of :class:`LineState`.
    """

    upstream: Upstream
    kinds: PMap
    weights: PMap
    queue_limits: PMap
    leaving: frozenset[str]
    gone: frozenset[str]
    store_reachable: bool


@frozen
class WriteRecord:
    """Effect: write a record by compare-and-swap.

    :param mod_revision: Expected revision of its last write; 0 to create it.
    """

    record: WorkRecord
    mod_revision: int


@frozen
class AnswerSubmit:
    """Effect: answer all pending submissions of the work."""

    work_id: str
    outcome: m.WorkOutcome


@frozen
class AnswerQueries:
    """Effect: answer the queries that wait for the end of the work."""

    record: WorkRecord


@frozen
class SendToOwner:
    """Effect: send a message to the owner of an instance."""

    instance: str
    message: t.Any


@frozen
class LogParked:
    """Effect: log that work was parked."""

    record: WorkRecord


LineStep = Step[LineState]


def _share_group(record: WorkRecord) -> fair_share.Group:
    return fair_share.Group(record.kind, record.caller)


def put_item(state: LineState, new: WorkItem) -> LineState:
    """Add or replace an item and update the fair-share counts."""
    work_id = new.record.work_id
    old = state.items.get(work_id)
    shares = state.shares
    if old is not None:
        shares = _remove_from_shares(shares, old)
    shares = _add_to_shares(shares, new)
    return evolve(state, items=state.items.set(work_id, new), shares=shares)


def remove_item(state: LineState, work_id: str) -> LineState:
    """Remove an item, if present, and update the fair-share counts."""
    old = state.items.get(work_id)
    if old is None:
        return state
    shares = _remove_from_shares(state.shares, old)
    return evolve(state, items=state.items.remove(work_id), shares=shares)


def _remove_from_shares(shares: fair_share.Shares, old: WorkItem) -> fair_share.Shares:
    group = _share_group(old.record)
    if _is_waiting(old):
        position = fair_share.QueuePosition(old.stored.place, old.record.work_id)
        return fair_share.remove_waiting(shares, group, position)
    if _is_running(old):
        return fair_share.adjust_running(shares, group, -1)
    return shares


def _add_to_shares(shares: fair_share.Shares, new: WorkItem) -> fair_share.Shares:
    group = _share_group(new.record)
    if _is_waiting(new):
        position = fair_share.QueuePosition(new.stored.place, new.record.work_id)
        return fair_share.add_waiting(shares, group, position)
    if _is_running(new):
        return fair_share.adjust_running(shares, group, 1)
    return shares


def _is_waiting(item: WorkItem) -> bool:
    return item.record.phase is Phase.QUEUED and item.in_flight_record is None


def _is_running(item: WorkItem) -> bool:
    return Phase.ASSIGNED in possible_phases(item)


def possible_phases(item: WorkItem) -> tuple[Phase, ...]:
    """Return the stored phase and, if a write is in flight, the phase it sets."""
    if item.in_flight_record is None:
        return (item.record.phase,)
    return (item.record.phase, item.in_flight_record.phase)


def write_record(
    state: LineState, old: WorkItem, record: WorkRecord, now: dt.datetime
) -> LineStep:
    """Start the write of a changed record.

    Releases the slot of an attempt that is over, and reserves one for an assigned
    attempt.
    """
    new = evolve(old, in_flight_record=record)
    state = put_item(state, new)
    previous = old.record
    attempt_ended = (
        record.phase is not Phase.ASSIGNED or record.attempt > previous.attempt
    )
    if previous.assignment is not None and attempt_ended:
        state = release_slot(state, previous.assignment.instance, previous.task_id)
    if record.phase is Phase.ASSIGNED and record.assignment is not None:
        state = _reserve_slot(state, record.assignment.instance, record.task_id, now)
    effect = WriteRecord(record, old.stored.mod_revision)
    return Step(state, (effect,))


def _reserve_slot(
    state: LineState, instance: str, task_id: str, now: dt.datetime
) -> LineState:
    tasks = state.reserved_tasks.get(instance, frozenset()) | {task_id}
    state = evolve(state, reserved_tasks=state.reserved_tasks.set(instance, tasks))
    health = state.health.get(instance)
    if health is None or not health.is_quarantined:
        return state
    probed = quarantine.record_probe(health, now)
    return evolve(state, health=state.health.set(instance, probed))


def release_slot(state: LineState, instance: str, task_id: str) -> LineState:
    """Release a task's reservation on an instance, if it holds one."""
    tasks = state.reserved_tasks.get(instance, frozenset()) - {task_id}
    return evolve(state, reserved_tasks=state.reserved_tasks.set(instance, tasks))


def schedule_follow_up(state: LineState, work_id: str) -> LineState:
    """Check the work at every tick until its owner lists the task."""
    return evolve(state, needs_follow_up=state.needs_follow_up.add(work_id))


def start_effect(record: WorkRecord) -> SendToOwner:
    """Return the effect that sends ``StartWork`` for the assigned attempt."""
    assignment = t.cast(Assignment, record.assignment)
    return SendToOwner(assignment.instance, m.StartWork(record))


def work_id_of(state: LineState, task_id: str) -> str:
    """Return the work id within ``task_id``, ``<upstream>/<work id>#<attempt>``."""
    without_upstream = task_id.removeprefix(f"{state.upstream.name}/")
    return without_upstream.rpartition("#")[0]


def quarantined_instances(state: LineState) -> frozenset[str]:
    """Return the instances that get only probes because most work fails on them.

    Their number is limited, see
    :func:`~fighead.decisions.quarantine.select_quarantined`.
    """
    return quarantine.select_quarantined(state.health, max(len(state.loads), 1))

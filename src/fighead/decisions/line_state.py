"""State, messages and effects of the holder of a line, and its bookkeeping."""

import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import Assignment, Phase, StoredRecord, Upstream, WorkRecord
from . import Step, health, share

#: Pause that is advised while a line moves or the store is away.
RETRY_SOON = dt.timedelta(milliseconds=500)


@frozen
class Item:
    """One piece of work.

    :param writing: The record as the write on its way leaves it.
    :param deferred: Messages to take up again once that write is settled.
    :param start_sent_at: When the owner was last told to start the attempt.
    """

    stored: StoredRecord
    writing: WorkRecord | None = None
    deferred: tuple[t.Any, ...] = ()
    start_sent_at: dt.datetime | None = None

    @property
    def record(self) -> WorkRecord:
        """The record as it is stored."""
        return self.stored.record


@frozen
class SeenLoad:
    """An owner's report of an instance, and when it came."""

    load: m.InstanceLoad
    seen_at: dt.datetime


@frozen
class LineState:
    """Everything the holder of a line knows.

    :param placed: Tasks by instance that were placed there and are not yet in
        the owner's report.
    :param roomy: Instances whose owner reports room for batch work.
    :param attention: Assigned work that its owner does not list, or that is to
        be stopped.
    :param gone: Instances that the platform has taken away.
    """

    upstream: Upstream
    kinds: PMap
    weights: PMap
    queue_limits: PMap = pmap()
    is_loaded: bool = False
    items: PMap = pmap()
    shares: share.Shares = share.Shares()
    loads: PMap = pmap()
    placed: PMap = pmap()
    roomy: PSet = pset()
    attention: PSet = pset()
    health: PMap = pmap()
    leaving: frozenset[str] = frozenset()
    gone: frozenset[str] = frozenset()
    store_reachable: bool = True


@frozen
class RecordsLoaded:
    """Message: all open records of the upstream, read when taking over."""

    records: tuple[StoredRecord, ...]


@frozen
class RecordWritten:
    """Message: a write took effect."""

    work_id: str
    mod_revision: int
    place: int


@frozen
class RecordConflict:
    """Message: a write did not take effect; ``found`` is in its place."""

    work_id: str
    found: StoredRecord | None


@frozen
class WriteAbandoned:
    """Message: a new record was not written, and will not be."""

    work_id: str


@frozen
class WriteUncertain:
    """Message: a new record may be written; the outcome will be known later."""

    work_id: str


@frozen
class LineRules:
    """Message: the declarations and the platform's list as they are now."""

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

    :param mod_revision: Revision of its last write; 0 to create it.
    """

    record: WorkRecord
    mod_revision: int


@frozen
class AnswerSubmit:
    """Effect: answer those who submitted the work."""

    work_id: str
    outcome: m.WorkOutcome


@frozen
class TellWaiting:
    """Effect: tell those who wait for the end of the work."""

    record: WorkRecord


@frozen
class TellOwner:
    """Effect: send a message to the owner of an instance."""

    instance: str
    message: t.Any


@frozen
class NoteParked:
    """Effect: log that work was parked."""

    record: WorkRecord


LineStep = Step[LineState]


def _group(record: WorkRecord) -> share.Group:
    return share.Group(record.kind, record.caller)


def put_item(state: LineState, new: Item) -> LineState:
    """Set an item and keep the shares in step with its phase."""
    key = new.record.work_id
    old = state.items.get(key)
    shares = state.shares
    if old is not None:
        shares = _without(shares, old)
    shares = _with(shares, new)
    return evolve(state, items=state.items.set(key, new), shares=shares)


def drop_item(state: LineState, key: str) -> LineState:
    """Forget an item and keep the shares in step."""
    old = state.items.get(key)
    if old is None:
        return state
    shares = _without(state.shares, old)
    return evolve(state, items=state.items.remove(key), shares=shares)


def _without(shares: share.Shares, old: Item) -> share.Shares:
    group = _group(old.record)
    if _is_waiting(old):
        place = share.Place(old.stored.place, old.record.work_id)
        return share.remove_waiting(shares, group, place)
    if _is_running(old):
        return share.count_running(shares, group, -1)
    return shares


def _with(shares: share.Shares, new: Item) -> share.Shares:
    group = _group(new.record)
    if _is_waiting(new):
        place = share.Place(new.stored.place, new.record.work_id)
        return share.add_waiting(shares, group, place)
    if _is_running(new):
        return share.count_running(shares, group, 1)
    return shares


def _is_waiting(item_: Item) -> bool:
    return item_.record.phase is Phase.QUEUED and item_.writing is None


def _is_running(item_: Item) -> bool:
    return Phase.ASSIGNED in phases(item_)


def phases(item_: Item) -> tuple[Phase, ...]:
    """Return the phase as stored and as the write on its way leaves it."""
    if item_.writing is None:
        return (item_.record.phase,)
    return (item_.record.phase, item_.writing.phase)


def write_record(
    state: LineState, old: Item, record: WorkRecord, now: dt.datetime
) -> LineStep:
    """Begin the write of a changed record."""
    new = evolve(old, writing=record)
    state = put_item(state, new)
    before = old.record
    is_over = record.phase is not Phase.ASSIGNED or record.attempt > before.attempt
    if before.assignment is not None and is_over:
        state = forget_placed(state, before.assignment.instance, before.task_id)
    if record.phase is Phase.ASSIGNED and record.assignment is not None:
        state = _note_placed(state, record.assignment.instance, record.task_id, now)
    effect = WriteRecord(record, old.stored.mod_revision)
    return Step(state, (effect,))


def _note_placed(
    state: LineState, instance: str, task_id: str, now: dt.datetime
) -> LineState:
    tasks = state.placed.get(instance, frozenset()) | {task_id}
    state = evolve(state, placed=state.placed.set(instance, tasks))
    judged = state.health.get(instance)
    if judged is None or not judged.is_quarantined:
        return state
    probed = health.note_probe(judged, now)
    return evolve(state, health=state.health.set(instance, probed))


def forget_placed(state: LineState, instance: str, task_id: str) -> LineState:
    """Note that a placed task is told of, whichever way."""
    tasks = state.placed.get(instance, frozenset()) - {task_id}
    return evolve(state, placed=state.placed.set(instance, tasks))


def attend(state: LineState, key: str) -> LineState:
    """Look after the work at every tick until its owner lists it."""
    return evolve(state, attention=state.attention.add(key))


def start_effect(record: WorkRecord) -> TellOwner:
    """Return the effect that tells the owner to start an attempt."""
    assignment = t.cast(Assignment, record.assignment)
    return TellOwner(assignment.instance, m.StartWork(record))


def work_id_of(state: LineState, task_id: str) -> str:
    """Return the identity of the work that a task is an attempt of."""
    without_upstream = task_id.removeprefix(f"{state.upstream.name}/")
    return without_upstream.rpartition("#")[0]


def find_suspects(state: LineState) -> frozenset[str]:
    """Return the instances that are avoided as failing."""
    return health.limit_quarantine(state.health, max(len(state.loads), 1))

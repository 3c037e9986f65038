"""Decisions of the holder of an upstream's line of plans and watches.

The holder is the only writer of the upstream's records. Every write is a
compare-and-swap on the record and on the holder's own claim, so a holder that
was replaced while it was paused can't write any more.
"""

import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import (
    Assignment,
    Ending,
    Phase,
    StoredRecord,
    TaskStatus,
    Upstream,
    WorkRecord,
    work_id,
)
from . import Step, health, item, share

#: Time after which a start whose effect is not seen is sent again.
START_RESEND_INTERVAL = dt.timedelta(seconds=2)
#: Age at which an owner's report of load says nothing any more.
LOAD_MAX_AGE = dt.timedelta(seconds=5)
#: Largest added slowdown at which a kind is placed beside checks while other
#: instances are left.
PREFERRED_SLOWDOWN = 0.2
#: Pause that is advised while a line moves or the store is away.
RETRY_SOON = dt.timedelta(milliseconds=500)
#: Placements that one message may cause, so that none takes long.
MAX_PLACEMENTS = 64


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


def decide(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    """Return the new state and the effects of one message."""
    match msg:
        case RecordsLoaded(records):
            step = Step(_load(state, records))
        case m.SubmitWork(record):
            step = _submit(state, record, now)
        case RecordWritten():
            step = _finish_write(state, msg, now)
        case RecordConflict():
            step = _resolve_conflict(state, msg, now)
        case WriteAbandoned(key):
            step = _abandon(state, key)
        case WriteUncertain(key):
            outcome = m.Unknown("The record may or may not be stored.")
            step = Step(state, (AnswerSubmit(key, outcome),))
        case m.LoadReport(loads=loads):
            step = _take_loads(state, loads, now)
        case m.WorkNotStarted() | m.WorkEnded() | m.CancelWork():
            step = _take_event(state, msg, now)
        case LineRules():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _tick(state, now)
        case _:
            raise TypeError(f"Unexpected message {type(msg).__name__}.")
    return step.then(lambda following: _place(following, now))


def _load(state: LineState, records: tuple[StoredRecord, ...]) -> LineState:
    for stored in records:
        state = _put_item(state, Item(stored))
    assigned = (
        stored.record.work_id
        for stored in records
        if stored.record.phase is Phase.ASSIGNED
    )
    return evolve(state, is_loaded=True, attention=pset(assigned))


def _group(record: WorkRecord) -> share.Group:
    return share.Group(record.kind, record.caller)


def _put_item(state: LineState, new: Item) -> LineState:
    """Set an item and keep the shares in step with its phase."""
    key = new.record.work_id
    old = state.items.get(key)
    shares = state.shares
    if old is not None:
        shares = _without(shares, old)
    shares = _with(shares, new)
    return evolve(state, items=state.items.set(key, new), shares=shares)


def _drop_item(state: LineState, key: str) -> LineState:
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
    return Phase.ASSIGNED in _phases(item_)


def _phases(item_: Item) -> tuple[Phase, ...]:
    """Return the phase as stored and as the write on its way leaves it."""
    if item_.writing is None:
        return (item_.record.phase,)
    return (item_.record.phase, item_.writing.phase)


def _submit(state: LineState, record: WorkRecord, now: dt.datetime) -> LineStep:
    if not state.is_loaded:
        outcome = m.NotRun("The line is being rebuilt.", RETRY_SOON, True)
        return Step(state, (AnswerSubmit(record.work_id, outcome),))
    known = state.items.get(record.work_id)
    if known is not None:
        return _answer_known(state, known, record)
    refusal = _refuse_submit(state, record)
    if refusal is not None:
        return Step(state, (AnswerSubmit(record.work_id, refusal),))
    return _create(state, record, now)


def _answer_known(state: LineState, known: Item, record: WorkRecord) -> LineStep:
    if known.record.body_digest != record.body_digest:
        outcome: m.WorkOutcome = _duplicate(record)
    elif known.stored.mod_revision == 0:
        # Its first write is on its way and answers this caller as well.
        return Step(state)
    else:
        outcome = m.Accepted(known.record)
    return Step(state, (AnswerSubmit(record.work_id, outcome),))


def _duplicate(record: WorkRecord) -> m.Refused:
    return m.Refused(
        "duplicate_request",
        f"Request id {record.request_id!r} was used with another kind or body.",
        "Use a new request id, or ask for the first request by its id.",
        409,
    )


def _refuse_submit(state: LineState, record: WorkRecord) -> m.NotRun | None:
    if not state.store_reachable:
        return m.NotRun("The store is away; nothing can be recorded.", RETRY_SOON, True)
    limit = state.queue_limits.get(record.caller)
    if limit is None:
        return None
    waiting = sum(
        len(places)
        for group, places in state.shares.waiting.items()
        if group.caller == record.caller
    )
    if waiting >= limit:
        return m.NotRun("The caller's quota of waiting work is used up.")
    return None


def _create(state: LineState, record: WorkRecord, now: dt.datetime) -> LineStep:
    """Record new work, with its place of start if a slot is free for it."""
    stored = StoredRecord(record, 0, 0)
    if not state.shares.waiting:
        target = _choose_instance(state, record, _rooms(state, now))
        if target is not None:
            assigned = item.change(record, lambda work: work.assign(target))
            return _write(state, Item(stored), assigned, now)
    return _write(state, Item(stored), record, now)


def _write(
    state: LineState, old: Item, record: WorkRecord, now: dt.datetime
) -> LineStep:
    new = evolve(old, writing=record)
    state = _put_item(state, new)
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


def _forget_placed(state: LineState, instance: str, task_id: str) -> LineState:
    tasks = state.placed.get(instance, frozenset()) - {task_id}
    return evolve(state, placed=state.placed.set(instance, tasks))


def _finish_write(state: LineState, msg: RecordWritten, now: dt.datetime) -> LineStep:
    old = state.items.get(msg.work_id)
    if old is None or old.writing is None:
        return Step(state)
    record = old.writing
    is_new = old.stored.mod_revision == 0
    stored = StoredRecord(record, old.stored.place or msg.place, msg.mod_revision)
    settled = Item(stored, deferred=old.deferred)
    effects: list[t.Any] = []
    if is_new:
        effects.append(AnswerSubmit(msg.work_id, m.Accepted(record)))
    if record.phase is Phase.ASSIGNED:
        settled = evolve(settled, start_sent_at=now)
        effects.append(_start_effect(record))
        state = _attend(state, msg.work_id)
    effects.extend(_ending_effects(old, record))
    if record.phase.is_final:
        # What has ended is read from the store by those who ask later.
        return Step(_drop_item(state, msg.work_id), tuple(effects))
    return _take_up_deferred(_put_item(state, settled), settled, effects, now)


def _attend(state: LineState, key: str) -> LineState:
    return evolve(state, attention=state.attention.add(key))


def _start_effect(record: WorkRecord) -> TellOwner:
    assignment = t.cast(Assignment, record.assignment)
    return TellOwner(assignment.instance, m.StartWork(record))


def _ending_effects(old: Item, record: WorkRecord) -> t.Iterator[t.Any]:
    before = old.record.assignment
    ended = record.attempt > old.record.attempt or record.phase.is_final
    if before is not None and ended:
        yield TellOwner(
            before.instance, m.EndRecorded(before.instance, old.record.task_id)
        )
    if record.phase.is_final:
        yield TellWaiting(record)
    if record.phase is Phase.PARKED:
        yield NoteParked(record)


def _take_up_deferred(
    state: LineState, settled: Item, effects: list[t.Any], now: dt.datetime
) -> LineStep:
    state = _put_item(state, evolve(settled, deferred=()))
    step = Step(state, tuple(effects))
    for msg in settled.deferred:
        step = step.then(lambda following, msg=msg: _take_event(following, msg, now))
    return step


def _resolve_conflict(
    state: LineState, msg: RecordConflict, now: dt.datetime
) -> LineStep:
    old = state.items.get(msg.work_id)
    if old is None:
        return Step(state)
    if msg.found is None:
        # The claim on the line is lost, so this write can't land later either.
        outcome = m.NotRun("The line has another holder now.", RETRY_SOON, True)
        effects_ = (AnswerSubmit(msg.work_id, outcome),)
        return Step(_drop_item(state, msg.work_id), effects_)
    settled = Item(msg.found, deferred=old.deferred)
    effects: list[t.Any] = []
    if old.stored.mod_revision == 0:
        effects.append(_answer_existing(old, msg.found))
    if msg.found.record.phase.is_final:
        effects.append(TellWaiting(msg.found.record))
        return Step(_drop_item(state, msg.work_id), tuple(effects))
    if msg.found.record.phase is Phase.ASSIGNED:
        state = _attend(state, msg.work_id)
    return _take_up_deferred(_put_item(state, settled), settled, effects, now)


def _answer_existing(old: Item, found: StoredRecord) -> AnswerSubmit:
    record = found.record
    if record.body_digest != old.record.body_digest:
        return AnswerSubmit(record.work_id, _duplicate(record))
    return AnswerSubmit(record.work_id, m.Accepted(record))


def _abandon(state: LineState, key: str) -> LineStep:
    outcome = m.NotRun("The work could not be recorded.", RETRY_SOON, True)
    return Step(_drop_item(state, key), (AnswerSubmit(key, outcome),))


def _take_loads(
    state: LineState, loads: tuple[m.InstanceLoad, ...], now: dt.datetime
) -> LineStep:
    seen, placed, roomy = state.loads, state.placed, state.roomy
    attention = state.attention
    for load in loads:
        if load.upstream != state.upstream.name:
            continue
        known = seen.get(load.instance)
        if known is not None and known.load.epoch > load.epoch:
            continue
        seen = seen.set(load.instance, SeenLoad(load, now))
        open_tasks = placed.get(load.instance, frozenset()) - set(load.batch_tasks)
        placed = placed.set(load.instance, open_tasks)
        has_room = load.batch_room > 0
        roomy = roomy.add(load.instance) if has_room else roomy.discard(load.instance)
        if known is None or not _lists_the_same(known.load, load):
            attention = _note_listing(state, attention, known, load)
    return Step(
        evolve(state, loads=seen, placed=placed, roomy=roomy, attention=attention)
    )


def _lists_the_same(old: m.InstanceLoad, new: m.InstanceLoad) -> bool:
    return (old.batch_tasks, old.lapsed) == (new.batch_tasks, new.lapsed)


def _note_listing(
    state: LineState, attention: PSet, known: SeenLoad | None, load: m.InstanceLoad
) -> PSet:
    """Attend to tasks that are listed no more; leave alone what is listed."""
    before = frozenset(known.load.batch_tasks) if known else frozenset()
    listed = frozenset(load.batch_tasks)
    for task_id in listed:
        attention = attention.discard(_work_id_of(state, task_id))
    vanished = before | listed if load.lapsed else before - listed
    return attention.update(_work_id_of(state, task_id) for task_id in vanished)


def _take_event(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    if not state.is_loaded:
        return Step(state)
    found = _find(state, msg)
    if found is None:
        return Step(state, _confirm_unknown(msg))
    if found.writing is not None:
        if msg in found.deferred:
            return Step(state)
        deferred = evolve(found, deferred=(*found.deferred, msg))
        return Step(_put_item(state, deferred))
    match msg:
        case m.CancelWork():
            return _cancel(state, found, now)
        case m.WorkNotStarted():
            return _requeue_unstarted(state, found, msg, now)
        case m.WorkEnded():
            return _end(state, found, msg, now)
    return Step(state)


def _find(state: LineState, msg: t.Any) -> Item | None:
    if isinstance(msg, m.CancelWork):
        return state.items.get(work_id(msg.caller, msg.request_id))
    task_id = msg.task_id if isinstance(msg, m.WorkNotStarted) else msg.status.task_id
    return state.items.get(_work_id_of(state, task_id))


def _work_id_of(state: LineState, task_id: str) -> str:
    without_upstream = task_id.removeprefix(f"{state.upstream.name}/")
    return without_upstream.rpartition("#")[0]


def _confirm_unknown(msg: t.Any) -> tuple[t.Any, ...]:
    # All open records are loaded, so unknown work has its end recorded.
    if not isinstance(msg, m.WorkEnded):
        return ()
    confirmed = m.EndRecorded(msg.instance, msg.status.task_id)
    return (TellOwner(msg.instance, confirmed),)


def _cancel(state: LineState, found: Item, now: dt.datetime) -> LineStep:
    record = found.record
    if record.phase.is_final or record.cancel_requested:
        return Step(state)
    if record.phase is Phase.QUEUED:
        return _write(state, found, item.change(record, lambda w: w.cancel(now)), now)
    state = _attend(state, record.work_id)
    return _write(state, found, evolve(record, cancel_requested=True), now)


def _requeue_unstarted(
    state: LineState, found: Item, msg: m.WorkNotStarted, now: dt.datetime
) -> LineStep:
    record = found.record
    state = _forget_placed(state, msg.instance, msg.task_id)
    if record.phase is not Phase.ASSIGNED or record.task_id != msg.task_id:
        return Step(state)
    requeued = item.change(record, lambda work: work.requeue("", "", False))
    return _write(state, found, _honour_cancel(requeued, now), now)


def _honour_cancel(record: WorkRecord, now: dt.datetime) -> WorkRecord:
    if not record.cancel_requested or record.phase is not Phase.QUEUED:
        return record
    return item.change(record, lambda work: work.cancel(now))


def _end(state: LineState, found: Item, msg: m.WorkEnded, now: dt.datetime) -> LineStep:
    record, status = found.record, msg.status
    if record.phase is not Phase.ASSIGNED or record.task_id != status.task_id:
        return Step(state, _confirm_unknown(msg))
    state = _forget_placed(state, msg.instance, status.task_id)
    state = _judge_instance(state, msg, record, now)
    suspects = _suspects(state)
    ended = _apply_ending(record, status, msg.instance, suspects, now)
    return _write(state, found, _honour_cancel(ended, now), now)


def _judge_instance(
    state: LineState, msg: m.WorkEnded, record: WorkRecord, now: dt.datetime
) -> LineState:
    if msg.status.ending not in (Ending.DONE, Ending.FAILED):
        return state
    failed = msg.status.ending is Ending.FAILED
    old = state.health.get(msg.instance, health.Health())
    judged = health.record_ending(old, record.work_id, failed, now)
    return evolve(state, health=state.health.set(msg.instance, judged))


def _apply_ending(
    record: WorkRecord,
    status: TaskStatus,
    instance: str,
    suspects: frozenset[str],
    now: dt.datetime,
) -> WorkRecord:
    match status.ending:
        case Ending.DONE:
            return item.change(record, lambda w: w.finish(status.answer, now))
        case Ending.FAILED:
            return _apply_failure(record, instance, suspects, now)
        case Ending.EVICTED:
            return item.change(record, lambda w: w.requeue(status.checkpoint, "", True))
        case Ending.STOPPED:
            return item.change(record, lambda w: w.cancel(now))
        case _:
            return _apply_loss(record, status.checkpoint, now)


def _apply_failure(
    record: WorkRecord, instance: str, suspects: frozenset[str], now: dt.datetime
) -> WorkRecord:
    if record.non_idempotent:
        reason = f"It failed on {instance} and is not repeated."
        return item.change(record, lambda work: work.fail(reason, now))
    requeued = item.change(record, lambda work: work.requeue("", instance, False))
    if not health.should_park(requeued.failed_on, suspects):
        return requeued
    names = ", ".join(requeued.failed_on)
    reason = f"It failed on {names}; mend the job and submit it under a new id."
    return item.change(requeued, lambda work: work.park(reason, now))


def _apply_loss(record: WorkRecord, checkpoint: str, now: dt.datetime) -> WorkRecord:
    """Decide on work whose task ended with its instance or its lease."""
    if record.non_idempotent:
        reason = "Its instance was lost; it may have run in part, and is not repeated."
        return item.change(record, lambda work: work.fail(reason, now))
    return item.change(record, lambda work: work.requeue(checkpoint, "", False))


def _suspects(state: LineState) -> frozenset[str]:
    return health.limit_quarantine(state.health, max(len(state.loads), 1))


def _change_rules(state: LineState, msg: LineRules) -> LineStep:
    attention = state.attention
    if msg.gone - state.gone:
        attention = attention.update(
            key
            for key, found in state.items.items()
            if found.record.assignment is not None
            and found.record.assignment.instance in msg.gone
        )
    return Step(
        evolve(
            state,
            attention=attention,
            upstream=msg.upstream,
            kinds=msg.kinds,
            weights=msg.weights,
            queue_limits=msg.queue_limits,
            leaving=msg.leaving,
            gone=msg.gone,
            store_reachable=msg.store_reachable,
        )
    )


def _tick(state: LineState, now: dt.datetime) -> LineStep:
    step = Step(state)
    for key in state.attention:
        found = state.items.get(key)
        if found is None or Phase.ASSIGNED not in _phases(found):
            rest = step.state.attention.discard(key)
            step = Step(evolve(step.state, attention=rest), step.effects)
        elif found.writing is None:
            step = step.then(lambda s, key=key: _follow_up(s, s.items[key], now))
    return step


def _follow_up(state: LineState, found: Item, now: dt.datetime) -> LineStep:
    """See to work that is assigned: start it again, stop it or count it lost."""
    record = found.record
    assignment = t.cast(Assignment, record.assignment)
    if _is_lost(state, record, assignment):
        return _write(
            state, found, _honour_cancel(_apply_loss(record, "", now), now), now
        )
    seen = state.loads.get(assignment.instance)
    is_listed = seen is not None and record.task_id in seen.load.batch_tasks
    effects: list[t.Any] = []
    if record.cancel_requested:
        stop = m.StopWork(assignment.instance, record.task_id)
        effects.append(TellOwner(assignment.instance, stop))
    due = found.start_sent_at is None or (
        now - found.start_sent_at >= START_RESEND_INTERVAL
    )
    if due and not is_listed:
        effects.append(_start_effect(record))
        state = _put_item(state, evolve(found, start_sent_at=now))
    return Step(state, tuple(effects))


def _is_lost(state: LineState, record: WorkRecord, assignment: Assignment) -> bool:
    if assignment.instance in state.gone:
        return True
    if record.non_idempotent:
        # Held: the instance may still finish it and say so.
        return False
    seen = state.loads.get(assignment.instance)
    return seen is not None and seen.load.lapsed


def _place(state: LineState, now: dt.datetime) -> LineStep:
    """Give free slots to waiting work in the order of shares."""
    if not state.is_loaded or not state.store_reachable or not state.shares.waiting:
        return Step(state)
    rooms = _rooms(state, now)
    step = Step(state)
    for _ in range(MAX_PLACEMENTS):
        if not rooms:
            break
        following = _place_one(step.state, rooms, now)
        if not following.effects:
            break
        step = Step(following.state, step.effects + following.effects)
    return step


def _place_one(state: LineState, rooms: dict[str, int], now: dt.datetime) -> LineStep:
    floor = state.upstream.watch_floor
    for group in share.order(state.shares, state.kinds, state.weights, floor):
        first = state.shares.waiting[group][0]
        found = state.items[first.work_id]
        target = _choose_instance(state, found.record, rooms)
        if target is None:
            continue
        rooms[target.instance] -= 1
        if not rooms[target.instance]:
            del rooms[target.instance]
        assigned = item.change(found.record, lambda w, to=target: w.assign(to))
        return _write(state, found, assigned, now)
    return Step(state)


def _rooms(state: LineState, now: dt.datetime) -> dict[str, int]:
    """Return the batch tasks that each usable instance can still take."""
    avoided = _suspects(state)
    rooms = {}
    for name in state.roomy:
        seen = state.loads[name]
        if name in state.leaving or name in state.gone or not seen.load.reachable:
            continue
        if now - seen.seen_at > LOAD_MAX_AGE:
            continue
        room = seen.load.batch_room - len(state.placed.get(name, ()))
        if name in avoided:
            room = min(room, _probe_room(state, name, now))
        if room > 0:
            rooms[name] = room
    return rooms


def _probe_room(state: LineState, name: str, now: dt.datetime) -> int:
    may_probe = health.may_probe(state.health[name], now)
    return 1 if may_probe and not state.placed.get(name) else 0


def _choose_instance(
    state: LineState, record: WorkRecord, rooms: t.Mapping[str, int]
) -> Assignment | None:
    usable = [name for name in rooms if name not in record.failed_on]
    if not usable:
        return None
    best = min(usable, key=lambda name: _cost(state, name, record.kind, rooms[name]))
    load = state.loads[best].load
    return Assignment(best, load.epoch, load.boot)


def _cost(
    state: LineState, name: str, kind: str, room: int
) -> tuple[bool, int, float, str]:
    added = state.loads[name].load.slowdown.get(kind, 0.0)
    return (added > PREFERRED_SLOWDOWN, -room, added, name)


def waiting_by_kind(state: LineState) -> dict[str, int]:
    """Return how much work of each kind waits."""
    counts: dict[str, int] = {}
    for group, places in state.shares.waiting.items():
        counts[group.kind] = counts.get(group.kind, 0) + len(places)
    return counts

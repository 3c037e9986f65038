"""Decisions of the holder of an upstream's line of plans and watches.

The holder is the only writer of the upstream's records. Every write is a
compare-and-swap on the record and on the holder's own claim, so a holder that
was replaced while it was paused can't write any more.
"""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PSet, pset

from .. import message as m
from ..model import Assignment, Phase, StoredRecord, WorkRecord
from . import Step
from .line_end import apply_loss, honour_cancel, take_event
from .line_place import place_waiting
from .line_state import (
    AnswerSubmit,
    Item,
    LineRules,
    LineState,
    LineStep,
    RecordConflict,
    RecordsLoaded,
    RecordWritten,
    SeenLoad,
    TellOwner,
    WriteAbandoned,
    WriteUncertain,
    phases,
    put_item,
    start_effect,
    work_id_of,
    write_record,
)
from .line_submit import abandon_work, finish_write, resolve_conflict, submit_work

#: Time after which a start whose effect is not seen is sent again.
START_RESEND_INTERVAL = dt.timedelta(seconds=2)


def decide(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    """Return the new state and the effects of one message."""
    match msg:
        case RecordsLoaded(records):
            step = Step(_load(state, records))
        case m.SubmitWork(record):
            step = submit_work(state, record, now)
        case RecordWritten():
            step = finish_write(state, msg, now)
        case RecordConflict():
            step = resolve_conflict(state, msg, now)
        case WriteAbandoned(key):
            step = abandon_work(state, key)
        case WriteUncertain(key):
            outcome = m.Unknown("The record may or may not be stored.")
            step = Step(state, (AnswerSubmit(key, outcome),))
        case m.LoadReport(loads=loads):
            step = _take_loads(state, loads, now)
        case m.WorkNotStarted() | m.WorkEnded() | m.CancelWork():
            step = take_event(state, msg, now)
        case LineRules():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _tick(state, now)
        case _:
            raise TypeError(f"Unexpected message {type(msg).__name__}.")
    return step.then(lambda following: place_waiting(following, now))


def _load(state: LineState, records: tuple[StoredRecord, ...]) -> LineState:
    for stored in records:
        state = put_item(state, Item(stored))
    assigned = (
        stored.record.work_id
        for stored in records
        if stored.record.phase is Phase.ASSIGNED
    )
    return evolve(state, is_loaded=True, attention=pset(assigned))


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
        if load.batch_tasks is None:
            if known is None or known.load.epoch != load.epoch:
                # The whole list follows with the next refresh.
                continue
            load = evolve(load, batch_tasks=known.load.batch_tasks)
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
        attention = attention.discard(work_id_of(state, task_id))
    vanished = before | listed if load.lapsed else before - listed
    return attention.update(work_id_of(state, task_id) for task_id in vanished)


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
        if found is None or Phase.ASSIGNED not in phases(found):
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
        return write_record(
            state, found, honour_cancel(apply_loss(record, "", now), now), now
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
        effects.append(start_effect(record))
        state = put_item(state, evolve(found, start_sent_at=now))
    return Step(state, tuple(effects))


def _is_lost(state: LineState, record: WorkRecord, assignment: Assignment) -> bool:
    if assignment.instance in state.gone:
        return True
    if record.non_idempotent:
        # Held: the instance may still finish it and say so.
        return False
    seen = state.loads.get(assignment.instance)
    return seen is not None and seen.load.lapsed


def waiting_by_kind(state: LineState) -> dict[str, int]:
    """Return how much work of each kind waits."""
    counts: dict[str, int] = {}
    for group, places in state.shares.waiting.items():
        counts[group.kind] = counts.get(group.kind, 0) + len(places)
    return counts

"""Decisions of the holder of a line on new work and on settled writes."""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Phase, StoredRecord, WorkRecord
from . import Step, item
from .line_end import take_event
from .line_place import choose_instance, free_rooms, may_place
from .line_state import (
    RETRY_SOON,
    AnswerSubmit,
    Item,
    LineState,
    LineStep,
    NoteParked,
    RecordConflict,
    RecordWritten,
    TellOwner,
    TellWaiting,
    attend,
    drop_item,
    forget_placed,
    put_item,
    start_effect,
    write_record,
)


def submit_work(state: LineState, record: WorkRecord, now: dt.datetime) -> LineStep:
    """Record new work, or answer for work that is known."""
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
        target = choose_instance(state, record, free_rooms(state, now))
        if target is not None and may_place(state, record.kind):
            assigned = item.change(record, lambda work: work.assign(target))
            return write_record(state, Item(stored), assigned, now)
    return write_record(state, Item(stored), record, now)


def finish_write(state: LineState, msg: RecordWritten, now: dt.datetime) -> LineStep:
    """Take in that a write took effect, and act on it."""
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
        effects.append(start_effect(record))
        state = attend(state, msg.work_id)
    effects.extend(_ending_effects(old, record))
    if record.phase.is_final:
        # What has ended is read from the store by those who ask later.
        return Step(drop_item(state, msg.work_id), tuple(effects))
    return _take_up_deferred(put_item(state, settled), settled, effects, now)


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
    state = put_item(state, evolve(settled, deferred=()))
    step = Step(state, tuple(effects))
    for msg in settled.deferred:
        step = step.then(lambda following, msg=msg: take_event(following, msg, now))
    return step


def resolve_conflict(
    state: LineState, msg: RecordConflict, now: dt.datetime
) -> LineStep:
    """Take over the record that stands in the place of a failed write."""
    old = state.items.get(msg.work_id)
    if old is None:
        return Step(state)
    state = _give_place_back(state, old)
    if msg.found is None:
        # The claim on the line is lost, so this write can't land later either.
        outcome = m.NotRun("The line has another holder now.", RETRY_SOON, True)
        effects_ = (AnswerSubmit(msg.work_id, outcome),)
        return Step(drop_item(state, msg.work_id), effects_)
    settled = Item(msg.found, deferred=old.deferred)
    effects: list[t.Any] = []
    if old.stored.mod_revision == 0:
        effects.append(_answer_existing(old, msg.found))
    if msg.found.record.phase.is_final:
        effects.append(TellWaiting(msg.found.record))
        return Step(drop_item(state, msg.work_id), tuple(effects))
    if msg.found.record.phase is Phase.ASSIGNED:
        state = attend(state, msg.work_id)
    return _take_up_deferred(put_item(state, settled), settled, effects, now)


def _answer_existing(old: Item, found: StoredRecord) -> AnswerSubmit:
    record = found.record
    if record.body_digest != old.record.body_digest:
        return AnswerSubmit(record.work_id, _duplicate(record))
    return AnswerSubmit(record.work_id, m.Accepted(record))


def abandon_work(state: LineState, key: str) -> LineStep:
    """Drop new work that is certainly not recorded, and say so."""
    outcome = m.NotRun("The work could not be recorded.", RETRY_SOON, True)
    abandoned = state.items.get(key)
    if abandoned is not None:
        state = _give_place_back(state, abandoned)
    return Step(drop_item(state, key), (AnswerSubmit(key, outcome),))


def _give_place_back(state: LineState, old: Item) -> LineState:
    """Forget the place that a write took which did not take effect."""
    record = old.writing
    if record is None or record.assignment is None:
        return state
    return forget_placed(state, record.assignment.instance, record.task_id)

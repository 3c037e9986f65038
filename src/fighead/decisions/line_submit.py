"""Handling of submitted work and of settled writes in a line."""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Phase, StoredRecord, WorkRecord
from . import Step, work_transitions
from .line_events import handle_event
from .line_placement import batch_room_by_instance, choose_instance, may_assign
from .line_state import (
    SHORT_RETRY_DELAY,
    AnswerQueries,
    AnswerSubmit,
    LineState,
    LineStep,
    LogParked,
    RecordConflict,
    RecordWritten,
    SendToOwner,
    WorkItem,
    put_item,
    release_slot,
    remove_item,
    schedule_follow_up,
    start_effect,
    write_record,
)


def submit_work(state: LineState, record: WorkRecord, now: dt.datetime) -> LineStep:
    """Start the write of new work, or answer at once.

    A repeated submission is answered with the known record, or refused if its kind
    or body differs.
    """
    if not state.is_loaded:
        outcome = m.NotRun("The line is being rebuilt.", SHORT_RETRY_DELAY, True)
        return Step(state, (AnswerSubmit(record.work_id, outcome),))
    known = state.items.get(record.work_id)
    if known is not None:
        return _answer_known(state, known, record)
    not_run = _check_admission(state, record)
    if not_run is not None:
        return Step(state, (AnswerSubmit(record.work_id, not_run),))
    return _create_record(state, record, now)


def _answer_known(state: LineState, known: WorkItem, record: WorkRecord) -> LineStep:
    if known.record.body_digest != record.body_digest:
        outcome: m.WorkOutcome = _duplicate_refusal(record)
    elif known.stored.mod_revision == 0:
        # The first write is in flight; its result answers this submission as well.
        return Step(state)
    else:
        outcome = m.Accepted(known.record)
    return Step(state, (AnswerSubmit(record.work_id, outcome),))


def _duplicate_refusal(record: WorkRecord) -> m.Refused:
    return m.Refused(
        "duplicate_request",
        f"Request id {record.request_id!r} was already used with another kind or body.",
        "Use a new request id, or query the earlier request by its id.",
        409,
    )


def _check_admission(state: LineState, record: WorkRecord) -> m.NotRun | None:
    if not state.store_reachable:
        return m.NotRun(
            "The store is away; nothing can be recorded.", SHORT_RETRY_DELAY, True
        )
    limit = state.queue_limits.get(record.caller)
    if limit is None:
        return None
    waiting = sum(
        len(positions)
        for group, positions in state.shares.waiting.items()
        if group.caller == record.caller
    )
    if waiting >= limit:
        return m.NotRun("The caller's quota of waiting work is used up.")
    return None


def _create_record(state: LineState, record: WorkRecord, now: dt.datetime) -> LineStep:
    """Start the write of new work, assigned already if an instance has room."""
    stored = StoredRecord(record, 0, 0)
    if not state.shares.waiting:
        target = choose_instance(state, record, batch_room_by_instance(state, now))
        if target is not None and may_assign(state, record.kind):
            assigned = work_transitions.apply(record, lambda work: work.assign(target))
            return write_record(state, WorkItem(stored), assigned, now)
    return write_record(state, WorkItem(stored), record, now)


def finish_write(state: LineState, msg: RecordWritten, now: dt.datetime) -> LineStep:
    """Apply a committed write, then handle the messages deferred during it.

    Answers the submission of new work, starts an assigned attempt, and reports an
    attempt's recorded end to the owner and to waiting queries.
    """
    old = state.items.get(msg.work_id)
    if old is None or old.in_flight_record is None:
        return Step(state)
    record = old.in_flight_record
    is_new = old.stored.mod_revision == 0
    stored = StoredRecord(record, old.stored.place or msg.place, msg.mod_revision)
    settled = WorkItem(stored, deferred_messages=old.deferred_messages)
    effects: list[t.Any] = []
    if is_new:
        effects.append(AnswerSubmit(msg.work_id, m.Accepted(record)))
    if record.phase is Phase.ASSIGNED:
        settled = evolve(settled, start_sent_at=now)
        effects.append(start_effect(record))
        state = schedule_follow_up(state, msg.work_id)
    effects.extend(_attempt_end_effects(old, record))
    if record.phase.is_final:
        # Later queries read ended work from the store.
        return Step(remove_item(state, msg.work_id), tuple(effects))
    return _process_deferred(put_item(state, settled), settled, effects, now)


def _attempt_end_effects(old: WorkItem, record: WorkRecord) -> t.Iterator[t.Any]:
    previous = old.record.assignment
    attempt_ended = record.attempt > old.record.attempt or record.phase.is_final
    if previous is not None and attempt_ended:
        yield SendToOwner(
            previous.instance, m.EndRecorded(previous.instance, old.record.task_id)
        )
    if record.phase.is_final:
        yield AnswerQueries(record)
    if record.phase is Phase.PARKED:
        yield LogParked(record)


def _process_deferred(
    state: LineState, settled: WorkItem, effects: list[t.Any], now: dt.datetime
) -> LineStep:
    state = put_item(state, evolve(settled, deferred_messages=()))
    step = Step(state, tuple(effects))
    for msg in settled.deferred_messages:
        step = step.then(lambda next_state, msg=msg: handle_event(next_state, msg, now))
    return step


def resolve_conflict(
    state: LineState, msg: RecordConflict, now: dt.datetime
) -> LineStep:
    """Replace the record of a rejected write by the one found in the store.

    Drops the item if the store has no record or an ended one.
    """
    old = state.items.get(msg.work_id)
    if old is None:
        return Step(state)
    state = _release_reservation(state, old)
    if msg.found is None:
        # The claim on the line is lost, so this write can't be committed later either.
        outcome = m.NotRun("The line has another holder now.", SHORT_RETRY_DELAY, True)
        answers = (AnswerSubmit(msg.work_id, outcome),)
        return Step(remove_item(state, msg.work_id), answers)
    settled = WorkItem(msg.found, deferred_messages=old.deferred_messages)
    effects: list[t.Any] = []
    if old.stored.mod_revision == 0:
        effects.append(_answer_conflict(old, msg.found))
    if msg.found.record.phase.is_final:
        effects.append(AnswerQueries(msg.found.record))
        return Step(remove_item(state, msg.work_id), tuple(effects))
    if msg.found.record.phase is Phase.ASSIGNED:
        state = schedule_follow_up(state, msg.work_id)
    return _process_deferred(put_item(state, settled), settled, effects, now)


def _answer_conflict(old: WorkItem, found: StoredRecord) -> AnswerSubmit:
    record = found.record
    if record.body_digest != old.record.body_digest:
        return AnswerSubmit(record.work_id, _duplicate_refusal(record))
    return AnswerSubmit(record.work_id, m.Accepted(record))


def abandon_work(state: LineState, work_id: str) -> LineStep:
    """Remove new work that is known not to be recorded, and answer ``NotRun``."""
    outcome = m.NotRun("The work could not be recorded.", SHORT_RETRY_DELAY, True)
    abandoned = state.items.get(work_id)
    if abandoned is not None:
        state = _release_reservation(state, abandoned)
    return Step(remove_item(state, work_id), (AnswerSubmit(work_id, outcome),))


def _release_reservation(state: LineState, old: WorkItem) -> LineState:
    """Release the slot reserved by an assignment that was not committed."""
    record = old.in_flight_record
    if record is None or record.assignment is None:
        return state
    return release_slot(state, record.assignment.instance, record.task_id)

"""Message handling for the line of an upstream.

A line is the queue of an upstream's plans and watches. The entry that holds the
claim on it, the holder, is the only writer of the upstream's work records. Every
write is a compare-and-swap on both the record and the claim, so the writes of a
holder that was superseded while it was paused are rejected.
"""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PSet, pset

from .. import message as m
from ..model import Assignment, Phase, StoredRecord, WorkRecord
from . import Step
from .line_events import apply_lost_attempt, cancel_if_requested, handle_event
from .line_placement import assign_waiting
from .line_state import (
    AnswerSubmit,
    LineRules,
    LineState,
    LineStep,
    ReceivedLoad,
    RecordConflict,
    RecordsLoaded,
    RecordWritten,
    SendToOwner,
    WorkItem,
    WriteAbandoned,
    WriteUncertain,
    possible_phases,
    put_item,
    start_effect,
    work_id_of,
    write_record,
)
from .line_submit import abandon_work, finish_write, resolve_conflict, submit_work

#: Time after which ``StartWork`` is sent again if the task is not listed yet.
START_RESEND_INTERVAL = dt.timedelta(seconds=2)


def decide(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    """Handle one message, then assign waiting work to free slots.

    :raises TypeError: If the line does not handle messages of this class.
    """
    match msg:
        case RecordsLoaded(records):
            step = Step(_load_records(state, records))
        case m.SubmitWork(record):
            step = submit_work(state, record, now)
        case RecordWritten():
            step = finish_write(state, msg, now)
        case RecordConflict():
            step = resolve_conflict(state, msg, now)
        case WriteAbandoned(work_id):
            step = abandon_work(state, work_id)
        case WriteUncertain(work_id):
            outcome = m.Unknown("The record may or may not be stored.")
            step = Step(state, (AnswerSubmit(work_id, outcome),))
        case m.LoadReport(loads=loads):
            step = _update_loads(state, loads, now)
        case m.WorkNotStarted() | m.WorkEnded() | m.CancelWork():
            step = handle_event(state, msg, now)
        case LineRules():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _follow_up_due(state, now)
        case _:
            raise TypeError(f"A line does not handle {type(msg).__name__} messages.")
    return step.then(lambda next_state: assign_waiting(next_state, now))


def _load_records(state: LineState, records: tuple[StoredRecord, ...]) -> LineState:
    for stored in records:
        state = put_item(state, WorkItem(stored))
    assigned = (
        stored.record.work_id
        for stored in records
        if stored.record.phase is Phase.ASSIGNED
    )
    return evolve(state, is_loaded=True, needs_follow_up=pset(assigned))


def _update_loads(
    state: LineState, loads: tuple[m.InstanceLoad, ...], now: dt.datetime
) -> LineStep:
    received, reserved, with_room = (
        state.loads,
        state.reserved_tasks,
        state.instances_with_room,
    )
    needs_follow_up = state.needs_follow_up
    for load in loads:
        if load.upstream != state.upstream.name:
            continue
        known = received.get(load.instance)
        if known is not None and known.load.epoch > load.epoch:
            continue
        if load.batch_tasks is None:
            if known is None or known.load.epoch != load.epoch:
                # There is no list of this epoch to reuse; the next full report
                # includes it.
                continue
            load = evolve(load, batch_tasks=known.load.batch_tasks)
        received = received.set(load.instance, ReceivedLoad(load, now))
        unlisted = reserved.get(load.instance, frozenset()) - set(load.batch_tasks)
        reserved = reserved.set(load.instance, unlisted)
        has_room = load.batch_room > 0
        with_room = (
            with_room.add(load.instance)
            if has_room
            else with_room.discard(load.instance)
        )
        if known is None or not _has_same_listing(known.load, load):
            needs_follow_up = _update_follow_ups(state, needs_follow_up, known, load)
    return Step(
        evolve(
            state,
            loads=received,
            reserved_tasks=reserved,
            instances_with_room=with_room,
            needs_follow_up=needs_follow_up,
        )
    )


def _has_same_listing(old: m.InstanceLoad, new: m.InstanceLoad) -> bool:
    return (old.batch_tasks, old.lapsed) == (new.batch_tasks, new.lapsed)


def _update_follow_ups(
    state: LineState,
    needs_follow_up: PSet,
    known: ReceivedLoad | None,
    load: m.InstanceLoad,
) -> PSet:
    """Add work whose task is no longer listed and remove work whose task is
    listed.

    If the owner's lease on the tasks has lapsed, listed work is added too.
    """
    previous = frozenset(known.load.batch_tasks) if known else frozenset()
    listed = frozenset(load.batch_tasks)
    for task_id in listed:
        needs_follow_up = needs_follow_up.discard(work_id_of(state, task_id))
    unconfirmed = previous | listed if load.lapsed else previous - listed
    return needs_follow_up.update(work_id_of(state, task_id) for task_id in unconfirmed)


def _change_rules(state: LineState, msg: LineRules) -> LineStep:
    needs_follow_up = state.needs_follow_up
    if msg.gone - state.gone:
        needs_follow_up = needs_follow_up.update(
            work_id
            for work_id, item in state.items.items()
            if item.record.assignment is not None
            and item.record.assignment.instance in msg.gone
        )
    return Step(
        evolve(
            state,
            needs_follow_up=needs_follow_up,
            upstream=msg.upstream,
            kinds=msg.kinds,
            weights=msg.weights,
            queue_limits=msg.queue_limits,
            leaving=msg.leaving,
            gone=msg.gone,
            store_reachable=msg.store_reachable,
        )
    )


def _follow_up_due(state: LineState, now: dt.datetime) -> LineStep:
    step = Step(state)
    for work_id in state.needs_follow_up:
        item = state.items.get(work_id)
        if item is None or Phase.ASSIGNED not in possible_phases(item):
            remaining = step.state.needs_follow_up.discard(work_id)
            step = Step(evolve(step.state, needs_follow_up=remaining), step.effects)
        elif item.in_flight_record is None:
            step = step.then(
                lambda s, work_id=work_id: _follow_up_attempt(s, s.items[work_id], now)
            )
    return step


def _follow_up_attempt(state: LineState, item: WorkItem, now: dt.datetime) -> LineStep:
    """Resend the start or stop of an assigned attempt, or record it as lost."""
    record = item.record
    assignment = t.cast(Assignment, record.assignment)
    if _is_lost(state, record, assignment):
        return write_record(
            state,
            item,
            cancel_if_requested(apply_lost_attempt(record, "", now), now),
            now,
        )
    received = state.loads.get(assignment.instance)
    is_listed = received is not None and record.task_id in received.load.batch_tasks
    effects: list[t.Any] = []
    if record.cancel_requested:
        stop = m.StopWork(assignment.instance, record.task_id)
        effects.append(SendToOwner(assignment.instance, stop))
    due = item.start_sent_at is None or (
        now - item.start_sent_at >= START_RESEND_INTERVAL
    )
    if due and not is_listed:
        effects.append(start_effect(record))
        state = put_item(state, evolve(item, start_sent_at=now))
    return Step(state, tuple(effects))


def _is_lost(state: LineState, record: WorkRecord, assignment: Assignment) -> bool:
    if assignment.instance in state.gone:
        return True
    if record.non_idempotent:
        # The instance may still finish the attempt and report it, and a requeue
        # could run the work twice.
        return False
    received = state.loads.get(assignment.instance)
    return received is not None and received.load.lapsed


def waiting_by_kind(state: LineState) -> dict[str, int]:
    """Return the number of waiting plans and watches by kind.

    Work whose write is in flight is not counted, nor are kinds without waiting
    work.
    """
    counts: dict[str, int] = {}
    for group, positions in state.shares.waiting.items():
        counts[group.kind] = counts.get(group.kind, 0) + len(positions)
    return counts

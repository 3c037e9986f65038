"""Handling of attempt ends, refused starts and cancellations in a line."""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Ending, Phase, TaskStatus, WorkRecord, work_id
from . import Step, quarantine, work_transitions
from .line_state import (
    LineState,
    LineStep,
    SendToOwner,
    WorkItem,
    put_item,
    quarantined_instances,
    release_slot,
    schedule_follow_up,
    work_id_of,
    write_record,
)


def handle_event(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    """Handle ``WorkEnded``, ``WorkNotStarted`` or ``CancelWork``.

    The message is ignored until the line is loaded, and deferred while a write of
    the record is in flight.
    """
    if not state.is_loaded:
        return Step(state)
    item = _find_item(state, msg)
    if item is None:
        return Step(state, _confirm_recorded_end(msg))
    if item.in_flight_record is not None:
        if msg in item.deferred_messages:
            return Step(state)
        new = evolve(item, deferred_messages=(*item.deferred_messages, msg))
        return Step(put_item(state, new))
    match msg:
        case m.CancelWork():
            return _cancel(state, item, now)
        case m.WorkNotStarted():
            return _requeue_unstarted(state, item, msg, now)
        case m.WorkEnded():
            return _end_attempt(state, item, msg, now)
    return Step(state)


def _find_item(state: LineState, msg: t.Any) -> WorkItem | None:
    if isinstance(msg, m.CancelWork):
        return state.items.get(work_id(msg.caller, msg.request_id))
    task_id = msg.task_id if isinstance(msg, m.WorkNotStarted) else msg.status.task_id
    return state.items.get(work_id_of(state, task_id))


def _confirm_recorded_end(msg: t.Any) -> tuple[t.Any, ...]:
    # All open records are loaded, so the end of unknown work, or of an attempt that
    # is not the current one, is recorded already.
    if not isinstance(msg, m.WorkEnded):
        return ()
    confirmation = m.EndRecorded(msg.instance, msg.status.task_id)
    return (SendToOwner(msg.instance, confirmation),)


def _cancel(state: LineState, item: WorkItem, now: dt.datetime) -> LineStep:
    record = item.record
    if record.phase.is_final or record.cancel_requested:
        return Step(state)
    if record.phase is Phase.QUEUED:
        return write_record(
            state,
            item,
            work_transitions.apply(record, lambda work: work.cancel(now)),
            now,
        )
    state = schedule_follow_up(state, record.work_id)
    return write_record(state, item, evolve(record, cancel_requested=True), now)


def _requeue_unstarted(
    state: LineState, item: WorkItem, msg: m.WorkNotStarted, now: dt.datetime
) -> LineStep:
    record = item.record
    state = release_slot(state, msg.instance, msg.task_id)
    if record.phase is not Phase.ASSIGNED or record.task_id != msg.task_id:
        return Step(state)
    requeued = work_transitions.apply(record, lambda work: work.requeue("", "", False))
    return write_record(state, item, cancel_if_requested(requeued, now), now)


def cancel_if_requested(record: WorkRecord, now: dt.datetime) -> WorkRecord:
    """Return the record, cancelled if it is queued and a cancel was requested."""
    if not record.cancel_requested or record.phase is not Phase.QUEUED:
        return record
    return work_transitions.apply(record, lambda work: work.cancel(now))


def _end_attempt(
    state: LineState, item: WorkItem, msg: m.WorkEnded, now: dt.datetime
) -> LineStep:
    record, status = item.record, msg.status
    if record.phase is not Phase.ASSIGNED or record.task_id != status.task_id:
        return Step(state, _confirm_recorded_end(msg))
    state = release_slot(state, msg.instance, status.task_id)
    state = _record_instance_health(state, msg, record, now)
    quarantined = quarantined_instances(state)
    ended = _apply_ending(record, status, msg.instance, quarantined, now)
    return write_record(state, item, cancel_if_requested(ended, now), now)


def _record_instance_health(
    state: LineState, msg: m.WorkEnded, record: WorkRecord, now: dt.datetime
) -> LineState:
    if msg.status.ending not in (Ending.DONE, Ending.FAILED):
        return state
    failed = msg.status.ending is Ending.FAILED
    old = state.health.get(msg.instance, quarantine.Health())
    new = quarantine.record_ending(old, record.work_id, failed, now)
    return evolve(state, health=state.health.set(msg.instance, new))


def _apply_ending(
    record: WorkRecord,
    status: TaskStatus,
    instance: str,
    quarantined: frozenset[str],
    now: dt.datetime,
) -> WorkRecord:
    match status.ending:
        case Ending.DONE:
            return work_transitions.apply(
                record, lambda work: work.finish(status.answer, now)
            )
        case Ending.FAILED:
            return _apply_failure(record, instance, quarantined, now)
        case Ending.EVICTED:
            return work_transitions.apply(
                record, lambda work: work.requeue(status.checkpoint, "", True)
            )
        case Ending.STOPPED:
            return work_transitions.apply(record, lambda work: work.cancel(now))
        case _:
            return apply_lost_attempt(record, status.checkpoint, now)


def _apply_failure(
    record: WorkRecord, instance: str, quarantined: frozenset[str], now: dt.datetime
) -> WorkRecord:
    if record.non_idempotent:
        reason = f"It failed on {instance} and is not repeated."
        return work_transitions.apply(record, lambda work: work.fail(reason, now))
    requeued = work_transitions.apply(
        record, lambda work: work.requeue("", instance, False)
    )
    if not quarantine.should_park(requeued.failed_on, quarantined):
        return requeued
    names = ", ".join(requeued.failed_on)
    reason = f"It failed on {names}; mend the job and submit it under a new id."
    return work_transitions.apply(requeued, lambda work: work.park(reason, now))


def apply_lost_attempt(
    record: WorkRecord, checkpoint: str, now: dt.datetime
) -> WorkRecord:
    """Return the record after its task was lost with the instance or the lease.

    Non-idempotent work fails, since it may have run in part; other work is
    requeued.

    :param checkpoint: Last checkpoint of the attempt; if empty, the stored one is
        kept.
    """
    if record.non_idempotent:
        reason = "Its instance was lost; it may have run in part, and is not repeated."
        return work_transitions.apply(record, lambda work: work.fail(reason, now))
    return work_transitions.apply(
        record, lambda work: work.requeue(checkpoint, "", False)
    )

"""Decisions of the holder of a line on ends, losses and cancellations."""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Ending, Phase, TaskStatus, WorkRecord, work_id
from . import Step, health, item
from .line_state import (
    Item,
    LineState,
    LineStep,
    TellOwner,
    attend,
    find_suspects,
    forget_placed,
    put_item,
    work_id_of,
    write_record,
)


def take_event(state: LineState, msg: t.Any, now: dt.datetime) -> LineStep:
    """Take in an end, a refused start or a cancellation."""
    if not state.is_loaded:
        return Step(state)
    found = _find(state, msg)
    if found is None:
        return Step(state, _confirm_unknown(msg))
    if found.writing is not None:
        if msg in found.deferred:
            return Step(state)
        deferred = evolve(found, deferred=(*found.deferred, msg))
        return Step(put_item(state, deferred))
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
    return state.items.get(work_id_of(state, task_id))


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
        return write_record(
            state, found, item.change(record, lambda w: w.cancel(now)), now
        )
    state = attend(state, record.work_id)
    return write_record(state, found, evolve(record, cancel_requested=True), now)


def _requeue_unstarted(
    state: LineState, found: Item, msg: m.WorkNotStarted, now: dt.datetime
) -> LineStep:
    record = found.record
    state = forget_placed(state, msg.instance, msg.task_id)
    if record.phase is not Phase.ASSIGNED or record.task_id != msg.task_id:
        return Step(state)
    requeued = item.change(record, lambda work: work.requeue("", "", False))
    return write_record(state, found, honour_cancel(requeued, now), now)


def honour_cancel(record: WorkRecord, now: dt.datetime) -> WorkRecord:
    """Cancel work that is back in line if that was asked for."""
    if not record.cancel_requested or record.phase is not Phase.QUEUED:
        return record
    return item.change(record, lambda work: work.cancel(now))


def _end(state: LineState, found: Item, msg: m.WorkEnded, now: dt.datetime) -> LineStep:
    record, status = found.record, msg.status
    if record.phase is not Phase.ASSIGNED or record.task_id != status.task_id:
        return Step(state, _confirm_unknown(msg))
    state = forget_placed(state, msg.instance, status.task_id)
    state = _judge_instance(state, msg, record, now)
    suspects = find_suspects(state)
    ended = _apply_ending(record, status, msg.instance, suspects, now)
    return write_record(state, found, honour_cancel(ended, now), now)


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
            return apply_loss(record, status.checkpoint, now)


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


def apply_loss(record: WorkRecord, checkpoint: str, now: dt.datetime) -> WorkRecord:
    """Decide on work whose task ended with its instance or its lease."""
    if record.non_idempotent:
        reason = "Its instance was lost; it may have run in part, and is not repeated."
        return item.change(record, lambda work: work.fail(reason, now))
    return item.change(record, lambda work: work.requeue(checkpoint, "", False))

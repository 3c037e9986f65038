"""Decisions of an owner on plans and watches: start, stop and end."""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Ending, TaskStatus, WorkRecord
from . import Step
from .instance_state import (
    TASK_LEASE,
    ConfirmRecorded,
    ControlTask,
    HeldTask,
    Hold,
    InstanceState,
    InstanceStep,
    ListTasks,
    RunTask,
    Stage,
    batch_room,
    end_message,
    memory_free,
    memory_of,
    refusal_message,
    used_slots,
)


def start_work(state: InstanceState, record: WorkRecord) -> InstanceStep:
    """Take on a recorded attempt, or tell why not."""
    task_id = record.task_id
    if state.stage is Stage.FENCING:
        # Until the instance is fenced and listed nothing can be said.
        return Step(state)
    if task_id in state.tasks or _is_pending(state, task_id):
        return Step(state, _repeat_end(state, task_id))
    if task_id in state.refused:
        return Step(state, (state.refused[task_id],))
    if task_id in state.handled:
        return Step(state)
    assignment = record.assignment
    if assignment is None or assignment.epoch > state.epoch:
        return Step(state)
    if assignment.epoch < state.epoch:
        return Step(state, (_account_for(state, record),))
    if batch_room(state) <= 0 or memory_free(state) < memory_of(state, record.kind):
        handled = state.handled.add(task_id)
        told = refusal_message(state, record, "The instance has no room.")
        return Step(evolve(state, handled=handled), (told,))
    return Step(evolve(state, pending=(*state.pending, record)))


def _account_for(state: InstanceState, record: WorkRecord) -> t.Any:
    """Tell what became of an attempt of an earlier epoch that is not listed."""
    assignment = record.assignment
    if assignment is not None and assignment.boot == state.boot:
        return refusal_message(state, record, "The owner changed before the start.")
    lost = TaskStatus(
        record.task_id,
        record.kind,
        Ending.LEASE_EXPIRED,
        checkpoint=record.checkpoint,
        reason="The instance was restarted.",
    )
    return m.WorkEnded(state.instance.upstream, state.instance.name, lost)


def _is_pending(state: InstanceState, task_id: str) -> bool:
    return any(record.task_id == task_id for record in state.pending)


def _repeat_end(state: InstanceState, task_id: str) -> tuple[t.Any, ...]:
    task = state.tasks.get(task_id)
    if task is None or task.hold is not Hold.ENDED or task.status is None:
        return ()
    return (end_message(state, task.status),)


def end_start(
    state: InstanceState, msg: m.StartEnded, now: dt.datetime
) -> InstanceStep:
    """Take in how the call that starts a task ended."""
    task = state.tasks.get(msg.task_id)
    if task is None or task.hold is not Hold.STARTING:
        return Step(state)
    if msg.started is None:
        uncertain = evolve(task, hold=Hold.UNCERTAIN, since=now)
        tasks = state.tasks.set(msg.task_id, uncertain)
        return Step(evolve(state, tasks=tasks), (ListTasks(),))
    if msg.started:
        running = evolve(task, hold=Hold.RUNNING, since=now)
        tasks = state.tasks.set(msg.task_id, running)
        effects = stop_if_requested(running)
        return Step(evolve(state, tasks=tasks), effects)
    tasks = state.tasks.remove(msg.task_id)
    told = m.WorkNotStarted(
        state.instance.upstream, state.instance.name, msg.task_id, msg.reason
    )
    return Step(evolve(state, tasks=tasks), (told,))


def stop_if_requested(task: HeldTask) -> tuple[t.Any, ...]:
    """Return the order to stop a task that was cancelled while it started."""
    if task.stop_requested:
        return (ControlTask(task.task_id, 0.0),)
    return ()


def stop_work(state: InstanceState, task_id: str) -> InstanceStep:
    """Stop an attempt, wherever it has got to."""
    for record in state.pending:
        if record.task_id == task_id:
            pending = tuple(r for r in state.pending if r.task_id != task_id)
            handled = state.handled.add(task_id)
            told = refusal_message(state, record, "It was cancelled before its start.")
            return Step(evolve(state, pending=pending, handled=handled), (told,))
    task = state.tasks.get(task_id)
    if task is None or task.hold is Hold.ENDED:
        return Step(state, _repeat_end(state, task_id))
    tasks = state.tasks.set(task_id, evolve(task, stop_requested=True))
    state = evolve(state, tasks=tasks)
    if task.hold is Hold.STARTING:
        return Step(state)
    return Step(state, (ControlTask(task_id, 0.0),))


def forget_task(state: InstanceState, task_id: str) -> InstanceStep:
    """Forget a task whose end is recorded."""
    task = state.tasks.get(task_id)
    if task is None or task.hold is not Hold.ENDED:
        return Step(state)
    state = evolve(state, tasks=state.tasks.remove(task_id))
    return Step(state, (ConfirmRecorded(task_id),))


def fill_tasks(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    """Start recorded attempts while slots are free."""
    while state.pending and used_slots(state) < state.instance.slots:
        record, *rest = state.pending
        kind = state.kinds.get(record.kind)
        state = evolve(
            state, pending=tuple(rest), handled=state.handled.add(record.task_id)
        )
        if kind is None or not state.is_reachable:
            effects.append(refusal_message(state, record, "It can't be started now."))
            continue
        lease_until = state.clock_at_report + TASK_LEASE
        held = HeldTask(
            record.task_id, record.kind, Hold.STARTING, now, lease_until, record
        )
        state = evolve(state, tasks=state.tasks.set(record.task_id, held))
        effects.append(RunTask(record, kind, lease_until))
    return state

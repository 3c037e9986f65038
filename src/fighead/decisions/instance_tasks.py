"""How an instance owner starts and stops plans and watches and reports their end."""

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
    InstanceOwnerState,
    InstanceStep,
    ListTasks,
    OwnershipStage,
    RunTask,
    TaskPhase,
    TrackedTask,
    batch_room,
    declared_memory_bytes,
    end_message,
    free_memory_bytes,
    refusal_message,
    used_slots,
)


def start_work(state: InstanceOwnerState, record: WorkRecord) -> InstanceStep:
    """Accept a recorded attempt, or report why it will not run.

    A repeated request starts nothing twice: it repeats the earlier refusal or the
    unrecorded end, and otherwise does nothing.
    """
    task_id = record.task_id
    if state.stage is OwnershipStage.FENCING:
        # Whether the attempt already runs is unknown until the instance has accepted
        # this epoch and listed its tasks; the request will be repeated.
        return Step(state)
    if task_id in state.tasks or _is_pending(state, task_id):
        return Step(state, _repeat_end(state, task_id))
    if task_id in state.refusals:
        return Step(state, (state.refusals[task_id],))
    if task_id in state.handled:
        return Step(state)
    assignment = record.assignment
    if assignment is None or assignment.epoch > state.epoch:
        return Step(state)
    if assignment.epoch < state.epoch:
        return Step(state, (_outcome_of_stale_attempt(state, record),))
    if batch_room(state) <= 0 or free_memory_bytes(state) < declared_memory_bytes(
        state, record.kind
    ):
        handled = state.handled.add(task_id)
        refusal = refusal_message(state, record, "The instance has no room.")
        return Step(evolve(state, handled=handled), (refusal,))
    return Step(evolve(state, pending=(*state.pending, record)))


def _outcome_of_stale_attempt(state: InstanceOwnerState, record: WorkRecord) -> t.Any:
    """Return the outcome of an attempt of an earlier epoch that is not listed.

    It never started if the incarnation is still the same, and was lost with the
    earlier incarnation otherwise.
    """
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


def _is_pending(state: InstanceOwnerState, task_id: str) -> bool:
    return any(record.task_id == task_id for record in state.pending)


def _repeat_end(state: InstanceOwnerState, task_id: str) -> tuple[t.Any, ...]:
    task = state.tasks.get(task_id)
    if task is None or task.phase is not TaskPhase.ENDED or task.status is None:
        return ()
    return (end_message(state, task.status),)


def handle_start_ended(
    state: InstanceOwnerState, msg: m.StartEnded, now: dt.datetime
) -> InstanceStep:
    """Apply the result of a start call; no answer leaves the task uncertain."""
    task = state.tasks.get(msg.task_id)
    if task is None or task.phase is not TaskPhase.STARTING:
        return Step(state)
    if msg.started is None:
        uncertain = evolve(task, phase=TaskPhase.UNCERTAIN, changed_at=now)
        tasks = state.tasks.set(msg.task_id, uncertain)
        return Step(evolve(state, tasks=tasks), (ListTasks(),))
    if msg.started:
        running = evolve(task, phase=TaskPhase.RUNNING, changed_at=now)
        tasks = state.tasks.set(msg.task_id, running)
        effects = stop_if_requested(running)
        return Step(evolve(state, tasks=tasks), effects)
    tasks = state.tasks.remove(msg.task_id)
    refusal = m.WorkNotStarted(
        state.instance.upstream, state.instance.name, msg.task_id, msg.reason
    )
    return Step(evolve(state, tasks=tasks), (refusal,))


def stop_if_requested(task: TrackedTask) -> tuple[t.Any, ...]:
    """Return the stop order for a task that was cancelled while it was starting."""
    if task.stop_requested:
        return (ControlTask(task.task_id, 0.0),)
    return ()


def stop_work(state: InstanceOwnerState, task_id: str) -> InstanceStep:
    """Stop an attempt, or repeat its end if it has ended.

    A pending attempt is refused. A task that is still starting is stopped as soon
    as it is known to run.
    """
    for record in state.pending:
        if record.task_id == task_id:
            pending = tuple(r for r in state.pending if r.task_id != task_id)
            handled = state.handled.add(task_id)
            refusal = refusal_message(
                state, record, "It was cancelled before its start."
            )
            return Step(evolve(state, pending=pending, handled=handled), (refusal,))
    task = state.tasks.get(task_id)
    if task is None or task.phase is TaskPhase.ENDED:
        return Step(state, _repeat_end(state, task_id))
    tasks = state.tasks.set(task_id, evolve(task, stop_requested=True))
    state = evolve(state, tasks=tasks)
    if task.phase is TaskPhase.STARTING:
        return Step(state)
    return Step(state, (ControlTask(task_id, 0.0),))


def forget_task(state: InstanceOwnerState, task_id: str) -> InstanceStep:
    """Drop an ended task whose end is recorded, here and at the instance."""
    task = state.tasks.get(task_id)
    if task is None or task.phase is not TaskPhase.ENDED:
        return Step(state)
    state = evolve(state, tasks=state.tasks.remove(task_id))
    return Step(state, (ConfirmRecorded(task_id),))


def start_pending_tasks(
    state: InstanceOwnerState, effects: list[t.Any], now: dt.datetime
) -> InstanceOwnerState:
    """Start pending attempts while slots are free, and append the effects.

    An attempt is refused if its kind is no longer declared or the instance is
    unreachable.
    """
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
        task = TrackedTask(
            record.task_id, record.kind, TaskPhase.STARTING, now, lease_until, record
        )
        state = evolve(state, tasks=state.tasks.set(record.task_id, task))
        effects.append(RunTask(record, kind, lease_until))
    return state

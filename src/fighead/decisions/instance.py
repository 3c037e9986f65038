"""Decisions of the owner of one instance.

Only the owner starts work on its instance, so the work counted here is the work
that runs there. A slot is freed only on evidence from the instance: after a call
without an answer the slot stays occupied until a report shows that the task is
gone.
"""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Category
from . import Step, batch_control, check_queue, slowdown
from .batch_control import Level
from .check_queue import CheckQueue
from .instance_checks import admit_check, handle_check_ended, start_queued_checks
from .instance_report import apply_report
from .instance_state import (
    LEASE_MARGIN,
    TASK_LEASE,
    AnswerCheck,
    ControlTask,
    InstanceOwnerState,
    InstanceStep,
    ListTasks,
    OwnershipStage,
    RulesChanged,
    TaskPhase,
    TrackedTask,
    batch_room,
    batch_slots,
    end_message,
    free_check_slots,
    refusal_message,
)
from .instance_tasks import (
    forget_task,
    handle_start_ended,
    start_pending_tasks,
    start_work,
    stop_work,
)
from .policy import policy_of

#: A task is noisy, and may be throttled or evicted, if the lower bound of the
#: slowdown that it adds to checks exceeds this share of their baseline latency.
NOISY_SLOWDOWN = 0.05


def instance_load(state: InstanceOwnerState, now: dt.datetime) -> m.InstanceLoad:
    """Return the load of the instance as reported to the other entries."""
    task_ids = (*state.tasks.keys(), *(record.task_id for record in state.pending))
    estimates = state.slowdown_model.estimates.items()
    return m.InstanceLoad(
        instance=state.instance.name,
        upstream=state.instance.upstream,
        epoch=state.epoch,
        boot=state.boot,
        batch_room=batch_room(state),
        free_slots=free_check_slots(state),
        queued_checks=len(state.check_queue),
        slowdown={kind: round(each.upper_bound, 3) for kind, each in estimates},
        batch_tasks=task_ids,
        reachable=state.is_reachable and state.stage is not OwnershipStage.FENCING,
        quarantined=state.health.is_quarantined,
        lapsed=_has_lapsed(state, now),
        batch_slots=batch_slots(state),
    )


def decide(state: InstanceOwnerState, msg: t.Any, now: dt.datetime) -> InstanceStep:
    """Apply one message, then start waiting work that fits into free slots."""
    match msg:
        case m.OfferCheck(request=request):
            step = admit_check(state, request, now)
        case m.CheckEnded():
            step = handle_check_ended(state, msg, now)
        case m.StartWork(record):
            step = start_work(state, record)
        case m.StartEnded():
            step = handle_start_ended(state, msg, now)
        case m.StopWork(task_id=task_id):
            step = stop_work(state, task_id)
        case m.EndRecorded(task_id=task_id):
            step = forget_task(state, task_id)
        case m.ReportReceived(report, asked_at):
            step = apply_report(state, report, asked_at, now)
        case m.PollFailed():
            step = Step(evolve(state, is_reachable=False))
        case RulesChanged():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _tick(state, now)
        case m.Stop():
            step = _release(state)
        case _:
            raise TypeError(
                f"Instance owner got an unexpected message {type(msg).__name__}; "
                "handle its type in decide() or send it elsewhere."
            )
    return _record_refusals(step.then(lambda following: _start_waiting(following, now)))


def _record_refusals(step: InstanceStep) -> InstanceStep:
    """Store every refusal, to repeat it if the line owner did not get it."""
    new = {e.task_id: e for e in step.effects if isinstance(e, m.WorkNotStarted)}
    if not new:
        return step
    refusals = step.state.refusals.update(new)
    return Step(evolve(step.state, refusals=refusals), step.effects)


def _change_rules(state: InstanceOwnerState, msg: RulesChanged) -> InstanceStep:
    state = evolve(
        state,
        instance=msg.instance,
        upstream=msg.upstream,
        kinds=msg.kinds,
        weights=msg.weights,
        is_leaving=msg.is_leaving,
    )
    if not msg.is_leaving:
        return Step(state)
    effects = [
        AnswerCheck(request.request_id, m.NotRun("The instance is leaving."))
        for request in check_queue.waiting_requests(state.check_queue)
    ]
    effects += [
        refusal_message(state, record, "The instance is leaving.")
        for record in state.pending
    ]
    handled = state.handled.update(record.task_id for record in state.pending)
    state = evolve(state, check_queue=CheckQueue(), pending=(), handled=handled)
    return Step(state, tuple(effects))


def _release(state: InstanceOwnerState) -> InstanceStep:
    rules = RulesChanged(
        state.instance, state.upstream, state.kinds, state.weights, True
    )
    step = _change_rules(state, rules)
    return Step(evolve(step.state, stage=OwnershipStage.RELEASING), step.effects)


def _tick(state: InstanceOwnerState, now: dt.datetime) -> InstanceStep:
    previous_level = state.control.level
    state = evolve(state, control=policy_of(state.upstream).advance(state.control, now))
    effects: list[t.Any] = []
    if state.control.level is Level.EVICTING:
        state = _evict_noisiest_watch(state, effects, now)
    if state.control.level is not previous_level:
        state = _set_speeds(state, effects)
    if any(check.phase is TaskPhase.UNCERTAIN for check in state.checks.values()):
        effects.append(ListTasks())
    effects.extend(_unrecorded_ends(state))
    return Step(state, tuple(effects))


def _unrecorded_ends(state: InstanceOwnerState) -> t.Iterator[t.Any]:
    # Repeated until the end is recorded, because the message may be lost when the
    # line changes its owner.
    for task in state.tasks.values():
        if task.phase is TaskPhase.ENDED and task.status is not None:
            yield end_message(state, task.status)


def _evict_noisiest_watch(
    state: InstanceOwnerState, effects: list[t.Any], now: dt.datetime
) -> InstanceOwnerState:
    noisy_watches = [
        task
        for task in state.tasks.values()
        if task.phase is TaskPhase.RUNNING
        and _is_watch(state, task)
        and _proven_slowdown(state, task) > NOISY_SLOWDOWN
    ]
    state = evolve(state, control=batch_control.record_eviction(state.control, now))
    if not noisy_watches:
        return state
    noisiest = max(
        noisy_watches, key=lambda task: (_proven_slowdown(state, task), task.task_id)
    )
    effects.append(ControlTask(noisiest.task_id, 0.0, evict=True))
    return state


def _is_watch(state: InstanceOwnerState, task: TrackedTask) -> bool:
    kind = state.kinds.get(task.kind)
    return kind is not None and kind.category is Category.WATCH


def _proven_slowdown(state: InstanceOwnerState, task: TrackedTask) -> float:
    return slowdown.estimate_of(state.slowdown_model, task.kind).lower_bound


def _set_speeds(state: InstanceOwnerState, effects: list[t.Any]) -> InstanceOwnerState:
    noisy_speed = batch_control.speed_at(state.control.level)
    tasks = state.tasks
    for task_id, task in state.tasks.items():
        is_noisy = _proven_slowdown(state, task) > NOISY_SLOWDOWN
        target_speed = noisy_speed if is_noisy else 1.0
        if task.phase is TaskPhase.RUNNING and task.speed != target_speed:
            tasks = tasks.set(task_id, evolve(task, speed=target_speed))
            effects.append(ControlTask(task_id, target_speed))
    return evolve(state, tasks=tasks)


def _has_lapsed(state: InstanceOwnerState, now: dt.datetime) -> bool:
    """Whether every task lease that this owner ever granted has expired.

    Each lease ends on the instance's own clock, a fixed time after a report. The
    time since the last report therefore bounds them all, even if renewals were
    lost on the way.
    """
    if state.is_reachable or state.reported_at is None:
        return False
    return now - state.reported_at > TASK_LEASE + LEASE_MARGIN


def _start_waiting(state: InstanceOwnerState, now: dt.datetime) -> InstanceStep:
    """Start waiting work in free slots; pending batch work goes before checks."""
    effects: list[t.Any] = []
    state = start_pending_tasks(state, effects, now)
    state = start_queued_checks(state, effects, now)
    return Step(state, tuple(effects))

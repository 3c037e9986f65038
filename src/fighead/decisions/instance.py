"""Decisions of the owner of one instance.

The owner alone starts work on its instance, so what it counts here is what
the instance holds. A slot is free again only when the instance has said so:
after a call without an answer the slot stays taken until a listing shows that
the task is gone.
"""

import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from ..model import Category
from . import Step, control, queue, slowdown
from .control import Level
from .instance_checks import end_check, fill_checks, offer_check
from .instance_report import take_report
from .instance_state import (
    LEASE_MARGIN,
    TASK_LEASE,
    AnswerCheck,
    ControlTask,
    HeldTask,
    Hold,
    InstanceState,
    InstanceStep,
    ListTasks,
    RulesChanged,
    Stage,
    batch_room,
    batch_slots,
    end_message,
    free_for_checks,
    refusal_message,
)
from .instance_tasks import end_start, fill_tasks, forget_task, start_work, stop_work
from .policy import policy_of
from .queue import CheckQueue

#: Learned slowdown from which on a task is throttled or evicted.
LEAST_NOISE = 0.05


def load_of(state: InstanceState, now: dt.datetime) -> m.InstanceLoad:
    """Return what the owner tells the others of its instance."""
    held = (*state.tasks.keys(), *(record.task_id for record in state.pending))
    effects = state.learned.effects.items()
    return m.InstanceLoad(
        instance=state.instance.name,
        upstream=state.instance.upstream,
        epoch=state.epoch,
        boot=state.boot,
        batch_room=batch_room(state),
        free_slots=free_for_checks(state),
        queued_checks=len(state.waiting),
        slowdown={kind: round(effect.cautious, 3) for kind, effect in effects},
        batch_tasks=held,
        reachable=state.is_reachable and state.stage is not Stage.FENCING,
        quarantined=state.health.is_quarantined,
        lapsed=_has_lapsed(state, now),
        batch_slots=batch_slots(state),
    )


def decide(state: InstanceState, msg: t.Any, now: dt.datetime) -> InstanceStep:
    """Return the new state and the effects of one message."""
    match msg:
        case m.OfferCheck(request=request):
            step = offer_check(state, request, now)
        case m.CheckEnded():
            step = end_check(state, msg, now)
        case m.StartWork(record):
            step = start_work(state, record)
        case m.StartEnded():
            step = end_start(state, msg, now)
        case m.StopWork(task_id=task_id):
            step = stop_work(state, task_id)
        case m.EndRecorded(task_id=task_id):
            step = forget_task(state, task_id)
        case m.ReportReceived(report, asked_at):
            step = take_report(state, report, asked_at, now)
        case m.PollFailed():
            step = Step(evolve(state, is_reachable=False))
        case RulesChanged():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _tick(state, now)
        case m.Stop():
            step = _release(state)
        case _:
            raise TypeError(f"Unexpected message {type(msg).__name__}.")
    return _remember_refusals(step.then(lambda following: _fill(following, now)))


def _remember_refusals(step: InstanceStep) -> InstanceStep:
    """Keep every refusal, to repeat it if the holder of the line missed it."""
    told = {e.task_id: e for e in step.effects if isinstance(e, m.WorkNotStarted)}
    if not told:
        return step
    refused = step.state.refused.update(told)
    return Step(evolve(step.state, refused=refused), step.effects)


def _change_rules(state: InstanceState, msg: RulesChanged) -> InstanceStep:
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
        for request in queue.drain(state.waiting)
    ]
    effects += [
        refusal_message(state, record, "The instance is leaving.")
        for record in state.pending
    ]
    handled = state.handled.update(record.task_id for record in state.pending)
    state = evolve(state, waiting=CheckQueue(), pending=(), handled=handled)
    return Step(state, tuple(effects))


def _release(state: InstanceState) -> InstanceStep:
    leaving = RulesChanged(
        state.instance, state.upstream, state.kinds, state.weights, True
    )
    step = _change_rules(state, leaving)
    return Step(evolve(step.state, stage=Stage.RELEASING), step.effects)


def _tick(state: InstanceState, now: dt.datetime) -> InstanceStep:
    before = state.control.level
    state = evolve(state, control=policy_of(state.upstream).advance(state.control, now))
    effects: list[t.Any] = []
    if state.control.level is Level.EVICTING:
        state = _evict_noisiest(state, effects, now)
    if state.control.level is not before:
        state = _set_speeds(state, effects)
    if any(held.hold is Hold.UNCERTAIN for held in state.checks.values()):
        effects.append(ListTasks())
    effects.extend(_overdue_ends(state))
    return Step(state, tuple(effects))


def _overdue_ends(state: InstanceState) -> t.Iterator[t.Any]:
    # Told again until it is recorded, since the holder of the line may change.
    for task in state.tasks.values():
        if task.hold is Hold.ENDED and task.status is not None:
            yield end_message(state, task.status)


def _evict_noisiest(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    watches = [
        task
        for task in state.tasks.values()
        if task.hold is Hold.RUNNING
        and _is_watch(state, task)
        and _noise(state, task) > LEAST_NOISE
    ]
    state = evolve(state, control=control.note_eviction(state.control, now))
    if not watches:
        return state
    noisiest = max(watches, key=lambda task: (_noise(state, task), task.task_id))
    effects.append(ControlTask(noisiest.task_id, 0.0, evict=True))
    return state


def _is_watch(state: InstanceState, task: HeldTask) -> bool:
    kind = state.kinds.get(task.kind)
    return kind is not None and kind.category is Category.WATCH


def _noise(state: InstanceState, task: HeldTask) -> float:
    return slowdown.effect_of(state.learned, task.kind).certain


def _set_speeds(state: InstanceState, effects: list[t.Any]) -> InstanceState:
    speed = control.speed_at(state.control.level)
    tasks = state.tasks
    for task_id, task in state.tasks.items():
        is_noisy = _noise(state, task) > LEAST_NOISE
        wanted = speed if is_noisy else 1.0
        if task.hold is Hold.RUNNING and task.speed != wanted:
            tasks = tasks.set(task_id, evolve(task, speed=wanted))
            effects.append(ControlTask(task_id, wanted))
    return evolve(state, tasks=tasks)


def _has_lapsed(state: InstanceState, now: dt.datetime) -> bool:
    """Whether every task lease that this owner ever gave has run out.

    Leases end on the instance's own clock, a fixed time after its last report,
    so the time since that report bounds them whatever happened to renewals on
    their way.
    """
    if state.is_reachable or state.reported_at is None:
        return False
    return now - state.reported_at > TASK_LEASE + LEASE_MARGIN


def _fill(state: InstanceState, now: dt.datetime) -> InstanceStep:
    """Start what waits while slots are free, floors first."""
    effects: list[t.Any] = []
    state = fill_tasks(state, effects, now)
    state = fill_checks(state, effects, now)
    return Step(state, tuple(effects))

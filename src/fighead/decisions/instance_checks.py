"""How an instance owner admits checks, starts them and records their results."""

import collections
import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from . import Step, batch_control, check_queue, quarantine, slowdown
from .instance_state import (
    CHECK_GRACE,
    AnswerCheck,
    InstanceOwnerState,
    InstanceStep,
    ListTasks,
    OwnershipStage,
    RunCheck,
    TaskPhase,
    TrackedCheck,
    free_check_slots,
    used_batch_slots,
)

#: Checks that may wait per slot of the instance.
MAX_QUEUED_CHECKS_PER_SLOT = 32
#: Weight of one check in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1


def admit_check(
    state: InstanceOwnerState, request: m.CheckRequest, now: dt.datetime
) -> InstanceStep:
    """Queue a check, or refuse it.

    It is refused if the instance can't run it, if the queue is full or if it is
    not expected to finish before its deadline.
    """
    if state.stage is not OwnershipStage.SERVING or state.is_leaving:
        return _refuse(state, request, "The instance takes no new work.")
    if not state.is_reachable:
        return _refuse(state, request, "The instance does not answer.")
    if state.health.is_quarantined and not quarantine.may_probe(state.health, now):
        return _refuse(state, request, "The instance fails what it starts.")
    if request.request_id in state.checks:
        return _refuse(state, request, "The same request is already running.")
    wait = _expected_wait(state, request.caller)
    if now + wait + state.service_time > request.deadline:
        return _refuse(state, request, "The deadline can't be met.", wait)
    if len(state.check_queue) >= MAX_QUEUED_CHECKS_PER_SLOT * state.instance.slots:
        return _refuse(state, request, "The queue of checks is full.", wait)
    if state.health.is_quarantined:
        state = evolve(state, health=quarantine.record_probe(state.health, now))
    weight = state.weights.get(request.caller, 1.0)
    return Step(
        evolve(state, check_queue=check_queue.push(state.check_queue, request, weight))
    )


def _refuse(
    state: InstanceOwnerState,
    request: m.CheckRequest,
    reason: str,
    wait: dt.timedelta = dt.timedelta(milliseconds=200),
) -> InstanceStep:
    outcome = m.NotRun(reason, wait)
    return Step(state, (AnswerCheck(request.request_id, outcome),))


def _expected_wait(state: InstanceOwnerState, caller: str) -> dt.timedelta:
    if free_check_slots(state) > len(state.check_queue):
        return dt.timedelta()
    ahead = check_queue.insert_position(state.check_queue, caller) + 1
    slots = max(1, state.instance.slots - used_batch_slots(state))
    return state.service_time * (ahead / slots)


def handle_check_ended(
    state: InstanceOwnerState, msg: m.CheckEnded, now: dt.datetime
) -> InstanceStep:
    """Return the outcome of a check, and update latency estimates and health.

    The slot is freed only if the instance certainly no longer runs the check.
    """
    check = state.checks.get(msg.request_id)
    effects: list[t.Any] = [AnswerCheck(msg.request_id, msg.outcome)]
    if check is None:
        return Step(state, tuple(effects))
    if msg.certain:
        checks = state.checks.remove(msg.request_id)
    else:
        uncertain = evolve(check, phase=TaskPhase.UNCERTAIN)
        checks = state.checks.set(msg.request_id, uncertain)
        effects.append(ListTasks())
    state = evolve(state, checks=checks)
    if isinstance(msg.outcome, m.Answered):
        state = _record_latency(state, check.request, msg.took, now)
    if isinstance(msg.outcome, m.Answered) or msg.failed:
        updated = quarantine.record_ending(
            state.health, msg.request_id, msg.failed, now
        )
        state = evolve(state, health=updated)
    return Step(state, tuple(effects))


def _record_latency(
    state: InstanceOwnerState,
    request: m.CheckRequest,
    took: dt.timedelta,
    now: dt.datetime,
) -> InstanceOwnerState:
    batch_weights: collections.Counter[str] = collections.Counter()
    for task in state.tasks.values():
        if task.phase is TaskPhase.RUNNING:
            batch_weights[task.kind] += task.speed  # type: ignore[assignment]
    model = slowdown.observe(state.slowdown_model, request.kind, took, batch_weights)
    ratio = took.total_seconds() / model.baselines_s[request.kind]
    return evolve(
        state,
        slowdown_model=model,
        control=batch_control.observe_latency_ratio(state.control, ratio, now),
        service_time=state.service_time
        + SERVICE_TIME_WEIGHT * (took - state.service_time),
    )


def start_queued_checks(
    state: InstanceOwnerState, effects: list[t.Any], now: dt.datetime
) -> InstanceOwnerState:
    """Start queued checks while slots are free, and append the effects.

    Checks that can no longer finish before their deadline are answered
    with :class:`.NotRun`.
    """
    while len(state.check_queue) and free_check_slots(state) > 0:
        popped = check_queue.pop(state.check_queue, now, state.service_time)
        for request in popped.expired:
            outcome = m.NotRun("The deadline passed in the queue.", state.service_time)
            effects.append(AnswerCheck(request.request_id, outcome))
        state = evolve(state, check_queue=popped.queue)
        request = popped.request
        if request is None:
            break
        lease_until = _clock_lower_bound(state, now) + (request.deadline - now)
        lease_until += CHECK_GRACE
        check = TrackedCheck(request, lease_until)
        state = evolve(state, checks=state.checks.set(request.request_id, check))
        effects.append(RunCheck(request, lease_until))
    return state


def _clock_lower_bound(state: InstanceOwnerState, now: dt.datetime) -> dt.timedelta:
    """Return a time that the instance's own clock has certainly reached.

    The clock was read before its report arrived here, so the time since then can
    be added to the reading.
    """
    return state.clock_at_report + (now - (state.reported_at or now))

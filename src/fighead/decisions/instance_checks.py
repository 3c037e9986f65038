"""Decisions of an owner on checks: admission, start and end."""

import collections
import datetime as dt
import typing as t

from attrs import evolve

from .. import message as m
from . import Step, control, health, queue, slowdown
from .instance_state import (
    CHECK_GRACE,
    AnswerCheck,
    HeldCheck,
    Hold,
    InstanceState,
    InstanceStep,
    ListTasks,
    RunCheck,
    Stage,
    batch_tasks,
    free_for_checks,
)

#: Checks that may wait for each slot.
QUEUED_CHECKS_PER_SLOT = 32
#: Weight of one check in the running mean of service times.
SERVICE_WEIGHT = 0.1


def offer_check(
    state: InstanceState, request: m.CheckRequest, now: dt.datetime
) -> InstanceStep:
    """Queue a check, or refuse it if it can't be answered in time."""
    if state.stage is not Stage.SERVING or state.is_leaving:
        return _refuse(state, request, "The instance takes no new work.")
    if not state.is_reachable:
        return _refuse(state, request, "The instance does not answer.")
    if state.health.is_quarantined and not health.may_probe(state.health, now):
        return _refuse(state, request, "The instance fails what it starts.")
    if request.request_id in state.checks:
        return _refuse(state, request, "The same request is already running.")
    wait = _expected_wait(state, request.caller)
    if now + wait + state.service > request.deadline:
        return _refuse(state, request, "The deadline can't be met.", wait)
    if len(state.waiting) >= QUEUED_CHECKS_PER_SLOT * state.instance.slots:
        return _refuse(state, request, "The queue of checks is full.", wait)
    if state.health.is_quarantined:
        state = evolve(state, health=health.note_probe(state.health, now))
    weight = state.weights.get(request.caller, 1.0)
    return Step(evolve(state, waiting=queue.push(state.waiting, request, weight)))


def _refuse(
    state: InstanceState,
    request: m.CheckRequest,
    reason: str,
    wait: dt.timedelta = dt.timedelta(milliseconds=200),
) -> InstanceStep:
    outcome = m.NotRun(reason, wait)
    return Step(state, (AnswerCheck(request.request_id, outcome),))


def _expected_wait(state: InstanceState, caller: str) -> dt.timedelta:
    if free_for_checks(state) > len(state.waiting):
        return dt.timedelta()
    ahead = queue.position_of(state.waiting, caller) + 1
    slots = max(1, state.instance.slots - batch_tasks(state))
    return state.service * (ahead / slots)


def end_check(
    state: InstanceState, msg: m.CheckEnded, now: dt.datetime
) -> InstanceStep:
    """Take in how the call of a check ended."""
    held = state.checks.get(msg.request_id)
    effects: list[t.Any] = [AnswerCheck(msg.request_id, msg.outcome)]
    if held is None:
        return Step(state, tuple(effects))
    if msg.certain:
        checks = state.checks.remove(msg.request_id)
    else:
        uncertain = evolve(held, hold=Hold.UNCERTAIN)
        checks = state.checks.set(msg.request_id, uncertain)
        effects.append(ListTasks())
    state = evolve(state, checks=checks)
    if isinstance(msg.outcome, m.Answered):
        state = _learn(state, held.request, msg.took, now)
    if isinstance(msg.outcome, m.Answered) or msg.failed:
        judged = health.record_ending(state.health, msg.request_id, msg.failed, now)
        state = evolve(state, health=judged)
    return Step(state, tuple(effects))


def _learn(
    state: InstanceState, request: m.CheckRequest, took: dt.timedelta, now: dt.datetime
) -> InstanceState:
    beside: collections.Counter[str] = collections.Counter()
    for task in state.tasks.values():
        if task.hold is Hold.RUNNING:
            beside[task.kind] += task.speed  # type: ignore[assignment]
    learned = slowdown.observe(state.learned, request.kind, took, beside)
    ratio = took.total_seconds() / learned.undisturbed[request.kind]
    return evolve(
        state,
        learned=learned,
        control=control.observe(state.control, ratio, now),
        service=state.service + SERVICE_WEIGHT * (took - state.service),
    )


def fill_checks(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    """Start waiting checks while slots are free."""
    while len(state.waiting) and free_for_checks(state) > 0:
        popped = queue.pop(state.waiting, now, state.service)
        for request in popped.expired:
            outcome = m.NotRun("The deadline passed in the queue.", state.service)
            effects.append(AnswerCheck(request.request_id, outcome))
        state = evolve(state, waiting=popped.queue)
        request = popped.request
        if request is None:
            break
        lease_until = _clock_estimate(state, now) + (request.deadline - now)
        lease_until += CHECK_GRACE
        held = HeldCheck(request, lease_until)
        state = evolve(state, checks=state.checks.set(request.request_id, held))
        effects.append(RunCheck(request, lease_until))
    return state


def _clock_estimate(state: InstanceState, now: dt.datetime) -> dt.timedelta:
    """Return a time that the instance's own clock has certainly reached."""
    return state.clock_at_report + (now - (state.reported_at or now))

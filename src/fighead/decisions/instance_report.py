"""What an owner concludes from a report of its instance."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PMap, pmap

from .. import message as m
from ..model import Category, Ending, InstanceReport, TaskStatus
from . import Step
from .instance_state import (
    HeldCheck,
    HeldTask,
    Hold,
    InstanceState,
    InstanceStep,
    Stage,
    end_message,
)
from .instance_tasks import stop_if_requested


def take_report(
    state: InstanceState,
    report: InstanceReport,
    asked_at: dt.datetime,
    now: dt.datetime,
) -> InstanceStep:
    """Match what the owner knows with what its instance reports."""
    if state.asked_at is not None and asked_at < state.asked_at:
        # Reports may cross; an older one must not undo a newer one.
        return Step(state)
    listed = {status.task_id: status for status in report.tasks}
    effects: list[t.Any] = []
    first = state.stage is Stage.FENCING
    was_restarted = bool(state.boot) and state.boot != report.boot
    state = evolve(
        state,
        stage=Stage.SERVING if first else state.stage,
        boot=report.boot,
        clock_at_report=report.clock,
        asked_at=asked_at,
        reported_at=now,
        is_reachable=True,
    )
    tasks, lost = _match_tasks(state, listed, was_restarted, effects)
    tasks = _adopt(state, tasks, listed, effects, now)
    state = evolve(state, tasks=tasks, handled=state.handled.update(lost))
    if was_restarted:
        # The new life holds nothing of the last one, and refuses its orders.
        state = evolve(state, checks=pmap())
    return Step(evolve(state, checks=_match_checks(state, listed)), tuple(effects))


def _match_tasks(
    state: InstanceState,
    listed: t.Mapping[str, TaskStatus],
    was_restarted: bool,
    effects: list[t.Any],
) -> tuple[PMap, list[str]]:
    tasks, lost = state.tasks, []
    for task_id, task in state.tasks.items():
        if task_id in listed:
            continue
        if task.hold is Hold.RUNNING and _is_judged_by(task, state):
            gone = _gone(task, was_restarted)
            ended = evolve(task, hold=Hold.ENDED, status=gone)
            tasks = tasks.set(task_id, ended)
            effects.append(end_message(state, gone))
        elif task.hold is Hold.UNCERTAIN and _can_start_no_more(task, state):
            tasks = tasks.remove(task_id)
            lost.append(task_id)
            effects.append(_missing(state, task, was_restarted))
    return tasks, lost


def _is_judged_by(task: HeldTask, state: InstanceState) -> bool:
    """Whether the last report was made after the task was known to run."""
    return state.asked_at is not None and task.since < state.asked_at


def _can_start_no_more(task: HeldTask, state: InstanceState) -> bool:
    """Whether a start that is still on its way would come too late."""
    return state.clock_at_report > task.lease_until


def _gone(task: HeldTask, was_restarted: bool) -> TaskStatus:
    reason = "The instance was restarted." if was_restarted else "It disappeared."
    checkpoint = task.record.checkpoint if task.record else ""
    return TaskStatus(
        task.task_id,
        task.kind,
        Ending.LEASE_EXPIRED,
        checkpoint=checkpoint,
        reason=reason,
    )


def _missing(state: InstanceState, task: HeldTask, was_restarted: bool) -> t.Any:
    if was_restarted:
        return end_message(state, _gone(task, was_restarted))
    return m.WorkNotStarted(
        state.instance.upstream,
        state.instance.name,
        task.task_id,
        "The start did not reach the instance.",
    )


def _adopt(
    state: InstanceState,
    tasks: PMap,
    listed: t.Mapping[str, TaskStatus],
    effects: list[t.Any],
    now: dt.datetime,
) -> PMap:
    for task_id, status in listed.items():
        if _is_check(state, status):
            continue
        known = tasks.get(task_id)
        if status.ending is not None:
            if known is None or known.hold is not Hold.ENDED:
                effects.append(end_message(state, status))
            ended = HeldTask(task_id, status.kind, Hold.ENDED, now, status=status)
            tasks = tasks.set(task_id, ended)
        elif known is None:
            found = HeldTask(task_id, status.kind, Hold.RUNNING, now)
            tasks = tasks.set(task_id, found)
        elif known.hold is Hold.UNCERTAIN:
            tasks = tasks.set(task_id, evolve(known, hold=Hold.RUNNING, since=now))
            effects.extend(stop_if_requested(known))
    return tasks


def _is_check(state: InstanceState, status: TaskStatus) -> bool:
    kind = state.kinds.get(status.kind)
    return kind is not None and kind.category is Category.CHECK


def _match_checks(state: InstanceState, listed: t.Mapping[str, TaskStatus]) -> PMap:
    """Free the slots of checks that can't run any more, and hold found ones.

    That also holds for a check whose call has not ended: past its lease it is
    neither started nor gone on with.
    """
    checks = state.checks
    for request_id, held in state.checks.items():
        is_over = state.clock_at_report > held.lease_until
        if is_over and request_id not in listed:
            checks = checks.remove(request_id)
    for task_id, status in listed.items():
        if task_id not in checks and _is_check(state, status):
            checks = checks.set(task_id, _found_check(state, status))
    return checks


def _found_check(state: InstanceState, status: TaskStatus) -> HeldCheck:
    """Hold the slot of a check that an earlier owner started."""
    request = m.CheckRequest(
        state.instance.upstream,
        status.kind,
        "",
        status.task_id,
        "",
        t.cast(dt.datetime, state.asked_at),
    )
    return HeldCheck(request, state.clock_at_report, Hold.UNCERTAIN)

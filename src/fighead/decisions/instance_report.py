"""Reconciles the state of an instance owner with a report of its instance."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PMap, pmap

from .. import message as m
from ..model import Category, Ending, InstanceReport, TaskStatus
from . import Step
from .instance_state import (
    InstanceOwnerState,
    InstanceStep,
    OwnershipStage,
    TaskPhase,
    TrackedCheck,
    TrackedTask,
    end_message,
)
from .instance_tasks import stop_if_requested


def apply_report(
    state: InstanceOwnerState,
    report: InstanceReport,
    asked_at: dt.datetime,
    now: dt.datetime,
) -> InstanceStep:
    """Update checks and tasks from a report, and report each task that ended.

    The first report completes the takeover of the instance.
    """
    if state.asked_at is not None and asked_at < state.asked_at:
        # Reports may arrive out of order; an older one must not undo a newer one.
        return Step(state)
    listed = {status.task_id: status for status in report.tasks}
    effects: list[t.Any] = []
    is_first = state.stage is OwnershipStage.FENCING
    was_restarted = bool(state.boot) and state.boot != report.boot
    state = evolve(
        state,
        stage=OwnershipStage.SERVING if is_first else state.stage,
        boot=report.boot,
        clock_at_report=report.clock,
        asked_at=asked_at,
        reported_at=now,
        is_reachable=True,
    )
    tasks, expired_ids = _reconcile_missing_tasks(state, listed, was_restarted, effects)
    tasks = _reconcile_listed_tasks(state, tasks, listed, effects, now)
    state = evolve(state, tasks=tasks, handled=state.handled.update(expired_ids))
    if was_restarted:
        # The new incarnation runs nothing of the previous one, and refuses orders
        # meant for it.
        state = evolve(state, checks=pmap())
    return Step(evolve(state, checks=_reconcile_checks(state, listed)), tuple(effects))


def _reconcile_missing_tasks(
    state: InstanceOwnerState,
    listed: t.Mapping[str, TaskStatus],
    was_restarted: bool,
    effects: list[t.Any],
) -> tuple[PMap, list[str]]:
    """Return the tasks, and the ids of uncertain starts that have expired."""
    tasks, expired_ids = state.tasks, []
    for task_id, task in state.tasks.items():
        if task_id in listed:
            continue
        if task.phase is TaskPhase.RUNNING and _ran_before_report(task, state):
            status = _lost_status(task, was_restarted)
            ended = evolve(task, phase=TaskPhase.ENDED, status=status)
            tasks = tasks.set(task_id, ended)
            effects.append(end_message(state, status))
        elif task.phase is TaskPhase.UNCERTAIN and _is_start_expired(task, state):
            tasks = tasks.remove(task_id)
            expired_ids.append(task_id)
            effects.append(_outcome_of_missing_start(state, task, was_restarted))
    return tasks, expired_ids


def _ran_before_report(task: TrackedTask, state: InstanceOwnerState) -> bool:
    """Whether the last report was requested after the task was known to run."""
    return state.asked_at is not None and task.changed_at < state.asked_at


def _is_start_expired(task: TrackedTask, state: InstanceOwnerState) -> bool:
    """Whether the instance would refuse a start order that is still in transit."""
    return state.clock_at_report > task.lease_until


def _lost_status(task: TrackedTask, was_restarted: bool) -> TaskStatus:
    reason = "The instance was restarted." if was_restarted else "It disappeared."
    checkpoint = task.record.checkpoint if task.record else ""
    return TaskStatus(
        task.task_id,
        task.kind,
        Ending.LEASE_EXPIRED,
        checkpoint=checkpoint,
        reason=reason,
    )


def _outcome_of_missing_start(
    state: InstanceOwnerState, task: TrackedTask, was_restarted: bool
) -> t.Any:
    if was_restarted:
        return end_message(state, _lost_status(task, was_restarted))
    return m.WorkNotStarted(
        state.instance.upstream,
        state.instance.name,
        task.task_id,
        "The start did not reach the instance.",
    )


def _reconcile_listed_tasks(
    state: InstanceOwnerState,
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
            if known is None or known.phase is not TaskPhase.ENDED:
                effects.append(end_message(state, status))
            ended = TrackedTask(
                task_id, status.kind, TaskPhase.ENDED, now, status=status
            )
            tasks = tasks.set(task_id, ended)
        elif known is None:
            adopted = TrackedTask(task_id, status.kind, TaskPhase.RUNNING, now)
            tasks = tasks.set(task_id, adopted)
        elif known.phase is TaskPhase.UNCERTAIN:
            tasks = tasks.set(
                task_id, evolve(known, phase=TaskPhase.RUNNING, changed_at=now)
            )
            effects.extend(stop_if_requested(known))
    return tasks


def _is_check(state: InstanceOwnerState, status: TaskStatus) -> bool:
    kind = state.kinds.get(status.kind)
    return kind is not None and kind.category is Category.CHECK


def _reconcile_checks(
    state: InstanceOwnerState, listed: t.Mapping[str, TaskStatus]
) -> PMap:
    """Free the slots of checks that can no longer run, and adopt unknown ones.

    A check whose call has not ended is freed too once its lease has expired: the
    instance then neither starts nor continues it.
    """
    checks = state.checks
    for request_id, check in state.checks.items():
        is_expired = state.clock_at_report > check.lease_until
        if is_expired and request_id not in listed:
            checks = checks.remove(request_id)
    for task_id, status in listed.items():
        if task_id not in checks and _is_check(state, status):
            checks = checks.set(task_id, _adopted_check(state, status))
    return checks


def _adopted_check(state: InstanceOwnerState, status: TaskStatus) -> TrackedCheck:
    """Return a check of an earlier owner; its lease is taken to end at this report."""
    request = m.CheckRequest(
        state.instance.upstream,
        status.kind,
        "",
        status.task_id,
        "",
        t.cast(dt.datetime, state.asked_at),
    )
    return TrackedCheck(request, state.clock_at_report, TaskPhase.UNCERTAIN)

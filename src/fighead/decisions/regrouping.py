"""Moves serving tasks so that more instances bear all fillers.

The load this answers: fillers that disturb some images of serving tasks and
not others. While nothing is known of an image its tasks are mixed with others,
and a mixture bears hardly any filler. Once the images are known, tasks that
bear all fillers are brought together, away from those that don't.
"""

import datetime as dt
import typing as t

from ..log import Event
from ..run import StopRun
from . import interference, placing, sharing
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    Note,
    Order,
    RunPhase,
    RunState,
    Schedule,
    StageState,
)

#: Least time between two moves: each one takes a task away for about a second.
MOVE_PAUSE = dt.timedelta(milliseconds=300)
#: Time that fillers have to wait before serving tasks are moved for them.
WAITING_TIME = dt.timedelta(seconds=1)
#: Time for which a task stays where it is before it is moved.
SETTLED_TIME = dt.timedelta(seconds=3)
AT_WORK_PERCENT = 100


def regroup(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Move one serving task, if fillers wait that could start then."""
    last = schedule.regrouped_at
    if not schedule.is_settled or (last is not None and now - last < MOVE_PAUSE):
        return []
    if not _fillers_wait(schedule, now):
        return []
    for run, job, stage in _misplaced(schedule, now):
        if not _has_place(schedule, run, job, stage, now):
            continue
        schedule.regrouped_at = now
        run.phase = RunPhase.STOPPING
        run.confirmed_at = None
        fields = {"task": str(run.key), "run": run.number, "instance": run.instance_id}
        return [
            Note(Event.RUN_MOVED, fields),
            Order(run.instance_id, StopRun(run.key, run.number)),
        ]
    return []


def _fillers_wait(schedule: Schedule, now: dt.datetime) -> bool:
    return any(
        task.waiting_since is not None and now - task.waiting_since >= WAITING_TIME
        for job in schedule.jobs.values()
        for stage in job.stages.values()
        if stage.spec.is_filler and stage.is_open and stage.waiting
        for task in stage.tasks
    )


def _misplaced(
    schedule: Schedule, now: dt.datetime
) -> t.Iterator[tuple[RunState, JobState, StageState]]:
    """Yield the runs that mix robust and sensitive images on an instance."""
    learned = schedule.learned
    for state in schedule.instances.values():
        serving = sharing.serving_runs(state)
        robust = [r for r in serving if interference.is_robust(learned, r.stage.image)]
        sensitive = [
            r for r in serving if interference.is_sensitive(learned, r.stage.image)
        ]
        if not robust or not sensitive:
            continue
        few, many = sorted((robust, sensitive), key=_cpu_of)
        for run in (*few, *(many if many is robust else ())):
            job = schedule.jobs[run.key.job_id]
            stage = job.stages[run.key.occurrence, run.key.stage]
            if _may_move(run, stage, now):
                yield run, job, stage


def _cpu_of(runs: list[RunState]) -> int:
    return sum(run.stage.cpu for run in runs)


def _may_move(run: RunState, stage: StageState, now: dt.datetime) -> bool:
    """Whether a task may be away: all others of its stage are at work."""
    runs = [each for task in stage.tasks for each in task.runs]
    return (
        now - run.ordered_at >= SETTLED_TIME
        and not stage.waiting
        and all(
            each.phase is RunPhase.RUNNING and each.percent >= AT_WORK_PERCENT
            for each in runs
        )
    )


def _has_place(
    schedule: Schedule,
    run: RunState,
    job: JobState,
    stage: StageState,
    now: dt.datetime,
) -> bool:
    """Whether another instance has room for a task among tasks of its kind."""
    learned = schedule.learned
    robust = interference.is_robust(learned, run.stage.image)
    return any(
        state.instance.instance_id != run.instance_id
        and _is_kin(learned, state, robust)
        and placing.is_usable(state, job, stage, now)
        for state in schedule.instances.values()
    )


def _is_kin(
    learned: interference.Interference, state: InstanceState, robust: bool
) -> bool:
    images = {run.stage.image for run in sharing.serving_runs(state)}
    if robust:
        return all(interference.is_robust(learned, image) for image in images)
    return any(interference.is_sensitive(learned, image) for image in images)

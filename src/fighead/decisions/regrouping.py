"""Moves serving tasks so that more instances bear all fillers.

The load this answers: fillers that disturb some images of serving tasks and
not others. While nothing is known of an image its tasks are mixed with others,
and a mixture bears hardly any filler. Once the images are known, tasks that are
disturbed by the same fillers are brought together.
"""

import datetime as dt
import typing as t

from . import interference, placing, sharing
from .schedule_state import Effect, JobState, RunPhase, RunState, Schedule, StageState
from .stopping import move_run

#: Least time between two moves: each one takes a task away for about a second.
MOVE_PAUSE = dt.timedelta(milliseconds=300)
#: Time that fillers have to wait before serving tasks are moved for them.
WAITING_TIME = dt.timedelta(seconds=1)
#: Time for which a task stays where it is before it is moved.
SETTLED_TIME = dt.timedelta(seconds=3)
AT_WORK_PERCENT = 100
#: What the log says of a move.
REASON = "serving tasks that the same fillers disturb are brought together"


def regroup(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Move one serving task, if fillers wait that could start then."""
    last = schedule.regrouped_at
    if not schedule.is_settled or (last is not None and now - last < MOVE_PAUSE):
        return []
    if not _fillers_wait(schedule, now):
        return []
    schedule.regrouped_at = now
    for run, job, stage in _misplaced(schedule, now):
        if not _has_place(schedule, run, job, stage, now):
            continue
        return move_run(run, REASON)
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
    """Yield the runs that are fewest of their kind on an instance of several."""
    learned = schedule.learned
    for state in schedule.instances.values():
        groups = _group(learned, sharing.serving_runs(state))
        if len(groups) < 2:
            continue
        for run in min(groups, key=_cpu_of):
            job = schedule.jobs[run.key.job_id]
            stage = job.stages[run.key.occurrence, run.key.stage]
            if interference.is_known(learned, run.stage.image) and _may_move(
                run, stage, now
            ):
                yield run, job, stage


def _group(
    learned: interference.Interference, serving: list[RunState]
) -> list[list[RunState]]:
    """Group runs by images that are disturbed by the same fillers."""
    groups: list[list[RunState]] = []
    for run in serving:
        for group in groups:
            if interference.are_alike(learned, group[0].stage.image, run.stage.image):
                group.append(run)
                break
        else:
            groups.append([run])
    return groups


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
    """Whether another instance has room for a task, and mostly tasks of its kind."""
    learned, image = schedule.learned, run.stage.image
    opens_instances = interference.bears_most(learned, image)
    for state in schedule.instances.values():
        groups = _group(learned, sharing.serving_runs(state))
        if groups:
            most = max(groups, key=_cpu_of)[0].stage.image
            is_kin = interference.are_alike(learned, image, most)
        else:
            is_kin = opens_instances
        if (
            is_kin
            and state.instance.instance_id != run.instance_id
            and placing.is_usable(state, job, stage, now)
        ):
            return True
    return False

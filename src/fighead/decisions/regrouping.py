"""Moves serving tasks so that more instances tolerate all fillers.

Some fillers slow down certain serving images and not others. Until the effects
on a serving image are known, its tasks run mixed with those of other images,
and a mixture tolerates hardly any filler. Once the effects are known, tasks that
are sensitive to the same fillers are moved to the same instances.
"""

import datetime as dt
import functools
import itertools
import typing as t

from . import filler_control, interference, placement
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    RunPhase,
    RunState,
    Schedule,
    StageState,
)
from .stopping import move_run

#: Shortest time between two attempts to move a task. A move takes the task out of
#: service for about 1 s.
MIN_ATTEMPT_INTERVAL = dt.timedelta(milliseconds=300)
#: How long a filler must have waited before serving tasks are moved for it.
MIN_FILLER_WAIT = dt.timedelta(seconds=1)
#: How long a task must have been on its instance before it is moved.
MIN_STAY = dt.timedelta(seconds=3)
#: Progress that a serving task reports once it is fully in service.
IN_SERVICE_PERCENT = 100
#: Reason for a move, as logged.
MOVE_REASON = "grouping serving tasks that are sensitive to the same fillers"

#: Whether two serving images are sensitive to the same fillers.
AreSimilar = t.Callable[[str, str], bool]
#: Instances, each with its serving runs grouped by sensitivity.
Groupings = t.Sequence[tuple[InstanceState, list[list[RunState]]]]


def regroup_serving_tasks(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Stop one misplaced serving task, so that it starts on a matching instance.

    Does nothing if no filler has waited long enough, or the last attempt was too
    recent.
    """
    last_attempt = schedule.regroup_attempted_at
    if not schedule.is_settled or (
        last_attempt is not None and now - last_attempt < MIN_ATTEMPT_INTERVAL
    ):
        return []
    if not _is_filler_waiting(schedule, now):
        return []
    schedule.regroup_attempted_at = now
    are_similar = functools.cache(
        functools.partial(interference.are_similarly_sensitive, schedule.interference)
    )
    groupings = [
        (state, _group_by_sensitivity(are_similar, filler_control.serving_runs(state)))
        for state in schedule.instances.values()
    ]
    find_suitable = functools.cache(
        functools.partial(_suitable_instances, schedule, groupings, are_similar)
    )
    # What suits a task suits all tasks of its stage.
    matches_by_stage: dict[interference.StageId, list[str]] = {}
    for run, job, stage in _misplaced_runs(schedule, groupings, now):
        if run.stage_id not in matches_by_stage:
            found = (
                state.instance.instance_id
                for state in find_suitable(stage.spec.image)
                if placement.is_usable(state, job, stage, now)
            )
            # One of two is another instance than that of the run.
            matches_by_stage[run.stage_id] = list(itertools.islice(found, 2))
        if any(name != run.instance_id for name in matches_by_stage[run.stage_id]):
            return move_run(run, MOVE_REASON)
    return []


def _is_filler_waiting(schedule: Schedule, now: dt.datetime) -> bool:
    since = (
        stage.tasks[index].waiting_since
        for job in schedule.jobs.values()
        for stage in job.stages.values()
        if stage.spec.is_filler and stage.is_open
        for index in stage.waiting_indexes
    )
    return any(at is not None and now - at >= MIN_FILLER_WAIT for at in since)


def _misplaced_runs(
    schedule: Schedule, groupings: Groupings, now: dt.datetime
) -> t.Iterator[tuple[RunState, JobState, StageState]]:
    """Yield the runs of the smallest group on each instance with several groups.

    Only runs that may be moved now, and of images with known effects.
    """
    learned = schedule.interference
    for _, groups in groupings:
        if len(groups) < 2:
            continue
        for run in min(groups, key=_total_cpu):
            job = schedule.jobs[run.key.job_id]
            stage = job.stages[run.key.occurrence, run.key.stage]
            if interference.has_known_effects(learned, run.stage.image) and _may_move(
                run, stage, now
            ):
                yield run, job, stage


def _group_by_sensitivity(
    are_similar: AreSimilar, serving: list[RunState]
) -> list[list[RunState]]:
    """Group runs whose images are sensitive to the same fillers."""
    groups: list[list[RunState]] = []
    for run in serving:
        for group in groups:
            if are_similar(group[0].stage.image, run.stage.image):
                group.append(run)
                break
        else:
            groups.append([run])
    return groups


def _total_cpu(runs: list[RunState]) -> int:
    return sum(run.stage.cpu for run in runs)


def _may_move(run: RunState, stage: StageState, now: dt.datetime) -> bool:
    """Whether a task may be moved: all tasks of its stage are in service."""
    runs = [stage_run for task in stage.tasks for stage_run in task.runs]
    return (
        now - run.ordered_at >= MIN_STAY
        and not stage.waiting_indexes
        and all(
            stage_run.phase is RunPhase.RUNNING
            and stage_run.percent >= IN_SERVICE_PERCENT
            for stage_run in runs
        )
    )


def _suitable_instances(
    schedule: Schedule, groupings: Groupings, are_similar: AreSimilar, image: str
) -> list[InstanceState]:
    """Return the instances that suit the sensitivity of an image.

    The largest group on such an instance has to match the image. An instance without
    serving tasks suits only an image that tolerates most fillers.
    """
    may_use_empty = interference.tolerates_most(schedule.interference, image)
    return [
        state
        for state, groups in groupings
        if (
            are_similar(image, max(groups, key=_total_cpu)[0].stage.image)
            if groups
            else may_use_empty
        )
    ]

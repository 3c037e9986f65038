"""Moves serving tasks so that more instances tolerate all fillers.

Some fillers slow down certain serving images and not others. Until the effects
on a serving image are known, its tasks run mixed with those of other images,
and a mixture tolerates hardly any filler. Once the effects are known, tasks that
are sensitive to the same fillers are moved to the same instances.
"""

import datetime as dt
import itertools
import typing as t

from attrs import define, field

from . import filler_control, interference, placement
from .interference import StageId
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


@define(eq=False)
class RegroupingAttempt:
    """One search for a task to move, and the values computed once during it.

    :param groups: Serving runs on each instance, grouped by the fillers to which their
        images are sensitive, by instance ID.
    :param similar_images: Whether two serving images are similarly sensitive.
    :param suitable: Instances whose serving tasks suit an image, by image.
    :param matching: IDs of up to two suitable instances with room for a stage, by ID
        of the stage.
    """

    schedule: Schedule
    now: dt.datetime
    groups: dict[str, list[list[RunState]]] = field(factory=dict)
    similar_images: dict[tuple[str, str], bool] = field(factory=dict)
    suitable: dict[str, list[InstanceState]] = field(factory=dict)
    matching: dict[StageId, list[str]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.groups = {
            instance_id: self._group_by_sensitivity(state)
            for instance_id, state in self.schedule.instances.items()
        }

    def _group_by_sensitivity(self, state: InstanceState) -> list[list[RunState]]:
        groups: list[list[RunState]] = []
        for run in filler_control.serving_runs(state):
            for group in groups:
                if self.are_similar(group[0].stage.image, run.stage.image):
                    group.append(run)
                    break
            else:
                groups.append([run])
        return groups

    def are_similar(self, one: str, other: str) -> bool:
        """Whether two serving images are known to be sensitive to the same fillers."""
        if (one, other) not in self.similar_images:
            learned = self.schedule.interference
            are_similar = interference.are_similarly_sensitive(learned, one, other)
            self.similar_images[one, other] = are_similar
        return self.similar_images[one, other]

    def suitable_for(self, image: str) -> list[InstanceState]:
        """Return the instances whose serving tasks suit an image.

        The largest group on an instance has to match the image. An instance without
        serving tasks suits only an image that tolerates most fillers.
        """
        if image not in self.suitable:
            learned = self.schedule.interference
            may_use_empty = interference.tolerates_most(learned, image)
            self.suitable[image] = [
                self.schedule.instances[instance_id]
                for instance_id, groups in self.groups.items()
                if (self._suits(image, groups) if groups else may_use_empty)
            ]
        return self.suitable[image]

    def _suits(self, image: str, groups: list[list[RunState]]) -> bool:
        largest = max(groups, key=_total_cpu)[0].stage.image
        return self.are_similar(image, largest)


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
    attempt = RegroupingAttempt(schedule, now)
    for run, job, stage in _misplaced_runs(attempt):
        if _has_matching_instance(attempt, run, job, stage):
            return move_run(run, MOVE_REASON)
    return []


def _is_filler_waiting(schedule: Schedule, now: dt.datetime) -> bool:
    return any(
        task.waiting_since is not None and now - task.waiting_since >= MIN_FILLER_WAIT
        for job in schedule.jobs.values()
        for stage in job.stages.values()
        if stage.spec.is_filler and stage.is_open and stage.waiting_indexes
        for task in stage.tasks
    )


def _misplaced_runs(
    attempt: RegroupingAttempt,
) -> t.Iterator[tuple[RunState, JobState, StageState]]:
    """Yield the runs of the smallest group on each instance with several groups.

    Only runs that may be moved now, and of images with known effects.
    """
    schedule = attempt.schedule
    for groups in attempt.groups.values():
        if len(groups) < 2:
            continue
        for run in min(groups, key=_total_cpu):
            job = schedule.jobs[run.key.job_id]
            stage = job.stages[run.key.occurrence, run.key.stage]
            if interference.has_known_effects(
                schedule.interference, run.stage.image
            ) and _may_move(run, stage, attempt.now):
                yield run, job, stage


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


def _has_matching_instance(
    attempt: RegroupingAttempt, run: RunState, job: JobState, stage: StageState
) -> bool:
    """Whether another instance has room for a task, and suits its sensitivity."""
    if run.stage_id not in attempt.matching:
        usable = (
            state.instance.instance_id
            for state in attempt.suitable_for(stage.spec.image)
            if placement.is_usable(state, job, stage, attempt.now)
        )
        # Two are enough to know one besides the run's own.
        attempt.matching[run.stage_id] = list(itertools.islice(usable, 2))
    return any(name != run.instance_id for name in attempt.matching[run.stage_id])

"""Decides which waiting tasks start next, and on which instances.

Three kinds of task share the instances: quick tasks that must start at once,
serving tasks that run until their job is cancelled, and long-running fillers
that use the processors the others leave idle.
"""

import datetime as dt
import typing as t

from attrs import define, field

from ..job import JobPhase, Stage
from ..log import Event
from ..run import StartRun
from . import filler_control, instance_health, interference, job_value
from .filler_control import FillerImpact, InstanceSlack
from .run_updates import add_run
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    LogNote,
    Order,
    RunPhase,
    RunState,
    Schedule,
    StageState,
    TaskState,
)

#: Mean processor use of a serving task as a share of its demand: its load varies
#: around half of what it asks for.
SERVING_CPU_SHARE = 0.5
#: Share of the processors a filler asks for that must be unused for it to start.
MIN_UNUSED_SHARE = 0.75
#: Costs in the score of an instance for a filler, in the unit of the score: a share
#: of the instance's processors. PRESSURE_COST applies per pressure of 1 that the filler
#: adds, and TOLERANCE_COST to an instance that tolerates all filler images.
PRESSURE_COST = 16.0
TOLERANCE_COST = 1.5
#: Scores of an instance for a serving task, by the images of the serving tasks on
#: it. The gaps between them outweigh any difference in unused processors.
#: SAME_STAGE_SCORE is added to SAME_IMAGE_SCORE, scaled by the share of those tasks
#: that are of the same stage.
SAME_STAGE_SCORE = 3.0
SAME_IMAGE_SCORE = 6.0
SIMILAR_IMAGES_SCORE = 5.0
NO_IMAGE_SCORE = 4.0
MIXED_IMAGES_SCORE = 2.0
RESERVED_SCORE = -50.0
#: How long a serving task is kept off the reserved instances: half of the 6 s after
#: which a serving task that could run counts as lost.
HOLD_BACK_TIME = dt.timedelta(seconds=3)
#: While the instances are less than half used, a filler waits this long for an
#: instance where it does no harm. A job that waits for 3 s although it could run
#: counts as lost.
STARVATION_TIME = dt.timedelta(seconds=2)
LOW_USE_SHARE = 0.5
#: Share of the instances reserved for quick tasks and fillers: serving tasks that don't
#: tolerate most filler images are kept off them while they fit elsewhere.
RESERVED_SHARE = 0.1


def place_waiting_tasks(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Start as many waiting tasks as fit, the most urgent jobs first.

    Updates the schedule, and returns the orders to send and the notes to log.
    """
    effects: list[Effect] = []
    round_ = PlacementRound(schedule, now)
    for job, stage in _waiting_stages(schedule, now):
        if stage.spec.is_gang:
            effects += _place_gang(round_, job, stage)
        else:
            effects += _place_tasks(round_, job, stage)
    return effects


@define(eq=False)
class PlacementRound:
    """One round of placement, and the values cached during it.

    :param slacks: Slack of the serving tasks on an instance, by instance ID.
    :param peak_loads: Highest load forecast, by stage.
    :param tolerances: Share of filler images tolerated, by set of serving images.
    :param has_spare: Cached result of :meth:`has_spare_instances`; ``None`` once
        a serving task has been placed.
    :param unplaceable_cpu: Lowest processor demand in millicores, by filler image,
        for which no instance was found in this round.
    """

    schedule: Schedule
    now: dt.datetime
    slacks: dict[str, InstanceSlack] = field(factory=dict)
    peak_loads: dict[interference.StageId, float] = field(factory=dict)
    tolerances: dict[frozenset[str], float] = field(factory=dict)
    has_spare: bool | None = None
    unplaceable_cpu: dict[str, int] = field(factory=dict)

    def has_spare_instances(self) -> bool:
        """Whether more instances than are reserved tolerate nearly all fillers."""
        if self.has_spare is None:
            states = self.schedule.instances.values()
            tolerant = sum(
                accepts_runs(state, self.now)
                and self.tolerance_of(state) >= interference.TOLERANT_SHARE
                for state in states
            )
            self.has_spare = tolerant > len(states) * RESERVED_SHARE
        return self.has_spare

    def slack_of(self, state: InstanceState) -> InstanceSlack:
        """Return the slack of an instance, less what this round has reserved."""
        instance_id = state.instance.instance_id
        if instance_id not in self.slacks:
            learned = self.schedule.interference
            self.slacks[instance_id] = filler_control.measure_slack(
                learned, state, self.peak_load_of
            )
        return self.slacks[instance_id]

    def peak_load_of(self, stage: interference.StageId) -> float:
        """Return the highest load forecast for a stage during a filler's run."""
        if stage not in self.peak_loads:
            self.peak_loads[stage] = filler_control.peak_load(
                self.schedule.interference,
                stage,
                self.now,
                filler_control.START_HORIZONS,
            )
        return self.peak_loads[stage]

    def tolerance_of(self, state: InstanceState) -> float:
        """Return the share of filler images that an instance's tasks tolerate."""
        images = frozenset(
            run.stage.image for run in filler_control.serving_runs(state)
        )
        if images not in self.tolerances:
            learned = self.schedule.interference
            self.tolerances[images] = interference.tolerance_of(learned, images)
        return self.tolerances[images]


def _waiting_stages(
    schedule: Schedule, now: dt.datetime
) -> list[tuple[JobState, StageState]]:
    now_ms = now.timestamp() * 1000
    found = [
        (job, stage)
        for job in schedule.jobs.values()
        if not job.is_ended and schedule.may_start(job)
        for (occurrence, _), stage in job.stages.items()
        if stage.waiting_indexes
        and stage.is_open
        and job.record.spec.due_ms(occurrence) <= now_ms
    ]
    found.sort(key=lambda pair: _urgency(*pair, now))
    return found


def _urgency(job: JobState, stage: StageState, now: dt.datetime) -> tuple[t.Any, ...]:
    """Return a sort key: priority, then timeliness, then value per remaining work.

    Under overload, first come, first served would make every job late. So jobs
    that can still be in time go before jobs that can only be late, and among those
    the jobs with the highest value per core second of remaining work go first.
    """
    timeliness = job_value.timeliness_of(job, now)
    value = job_value.value_per_core_s(job)
    return (job.queue.priority, timeliness, -value, job.job_id)


def _place_tasks(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[Effect]:
    spec = stage.spec
    is_unplaceable = spec.cpu >= round_.unplaceable_cpu.get(spec.image, spec.cpu + 1)
    if spec.is_filler and is_unplaceable and not _is_starved(round_, job, stage):
        return []
    effects: list[Effect] = []
    for index in sorted(stage.waiting_indexes):
        task = stage.tasks[index]
        task.waiting_since = task.waiting_since or round_.now
        state = _choose_instance(round_, job, stage, task)
        if state is None:
            if spec.is_filler:
                round_.unplaceable_cpu[spec.image] = spec.cpu
            break
        if spec.is_filler:
            learned, capacity = (
                round_.schedule.interference,
                state.instance.capacity.cpu,
            )
            filler_control.reserve_slack(
                learned, round_.slack_of(state), spec, capacity
            )
        if spec.target_ms:
            round_.has_spare = None
        number = max(task.highest_run_number + 1, round_.schedule.first_run_number)
        effects += _start(job, stage, task, state, number, round_.now)
    return effects


def _start(
    job: JobState,
    stage: StageState,
    task: TaskState,
    state: InstanceState,
    number: int,
    now: dt.datetime,
) -> list[Effect]:
    instance_id = state.instance.instance_id
    run = RunState(task.key, number, instance_id, RunPhase.ORDERED, now, stage.spec)
    add_run(state, stage, task, run)
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING
    checkpoint = task.checkpoint if stage.spec.is_checkpointed else ""
    order = StartRun(task.key, number, job.record.spec.payload, checkpoint)
    fields = {"task": str(task.key), "run": number, "instance": instance_id}
    fields["cpu_room"] = state.free_capacity.cpu
    return [LogNote(Event.RUN_ORDERED, fields), Order(instance_id, order)]


def _choose_instance(
    round_: PlacementRound, job: JobState, stage: StageState, task: TaskState
) -> InstanceState | None:
    """Return the usable instance with the highest score, or ``None``.

    Instances on which a run of the task has failed are chosen only if no other is
    usable. A task that has failed prefers instances whose last run succeeded.
    """
    usable = _usable_instances(round_, job, stage)
    if _is_held_back(round_, stage, task):
        usable = [s for s in usable if filler_control.serving_runs(s)]
    not_avoided = [
        s for s in usable if s.instance.instance_id not in task.avoided_instances
    ]
    proven = (
        [s for s in not_avoided if instance_health.last_run_succeeded(s)]
        if task.failures
        else []
    )
    return max(
        proven or not_avoided or usable,
        key=lambda s: _score(round_, s, stage),
        default=None,
    )


def _is_held_back(round_: PlacementRound, stage: StageState, task: TaskState) -> bool:
    """Whether a serving task must keep off instances without serving tasks.

    The last such instances are reserved for quick tasks and for fillers that no
    serving image tolerates. A serving task may wait for up to :data:`HOLD_BACK_TIME`
    although there is capacity for it.
    """
    if not stage.spec.target_ms or round_.has_spare_instances():
        return False
    if interference.tolerates_most(round_.schedule.interference, stage.spec.image):
        return False
    since = task.waiting_since
    return since is None or round_.now - since < HOLD_BACK_TIME


def _usable_instances(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[InstanceState]:
    usable = [
        state
        for state in round_.schedule.instances.values()
        if is_usable(state, job, stage, round_.now)
    ]
    if not stage.spec.is_filler:
        return usable
    acceptable = [s for s in usable if _predict_impact(round_, s, stage).is_acceptable]
    if not acceptable and _is_starved(round_, job, stage):
        return usable
    return acceptable


def _is_starved(round_: PlacementRound, job: JobState, stage: StageState) -> bool:
    """Whether a filler has to start although no instance tolerates it.

    That is so once its job has waited too long, without a run, while the instances
    are less than half used. The filler is then paced down to limit the harm.
    """
    since = (stage.tasks[index].waiting_since for index in stage.waiting_indexes)
    earliest = min((at for at in since if at is not None), default=round_.now)
    if round_.now - earliest < STARVATION_TIME or any(True for _ in job.runs()):
        return False
    states = round_.schedule.instances.values()
    used = sum(state.used.cpu for state in states)
    return used < LOW_USE_SHARE * sum(state.instance.capacity.cpu for state in states)


def _predict_impact(
    round_: PlacementRound, state: InstanceState, stage: StageState
) -> FillerImpact:
    capacity = state.instance.capacity.cpu
    slack = round_.slack_of(state)
    return filler_control.predict_impact(
        round_.schedule.interference, slack, stage.spec, capacity
    )


def is_usable(
    state: InstanceState, job: JobState, stage: StageState, now: dt.datetime
) -> bool:
    """Whether an instance meets all hard constraints of a task of a stage now.

    The interference that a filler would cause isn't considered.
    """
    spec, instance = stage.spec, state.instance
    return (
        accepts_runs(state, now)
        and instance.upstream == job.queue.upstream
        and (not spec.required_label or spec.required_label in instance.labels)
        and spec.demand.fits(state.free_capacity)
        and _is_below_limit(state, stage)
        and (not spec.is_filler or unused_cpu(state) >= spec.cpu * MIN_UNUSED_SHARE)
    )


def accepts_runs(state: InstanceState, now: dt.datetime) -> bool:
    """Whether an instance is known, reachable, healthy and not draining."""
    return (
        state.is_reachable
        and state.is_listed
        and state.is_registered
        and state.is_in_stored_fleet
        and not instance_health.is_suspect(state, now)
        and not state.instance.is_draining
        and (state.start_backoff_until is None or state.start_backoff_until <= now)
    )


def _is_below_limit(state: InstanceState, stage: StageState) -> bool:
    limit = stage.spec.max_per_instance
    return (
        not limit or stage.runs_by_instance.get(state.instance.instance_id, 0) < limit
    )


def unused_cpu(state: InstanceState) -> float:
    """Return the processor capacity expected to be unused, in millicores.

    Negative if the fillers' demand exceeds what the other tasks leave.
    """
    other_cpu = state.used.cpu - state.serving_cpu_millicores
    expected_cpu = (
        other_cpu
        + SERVING_CPU_SHARE * state.serving_cpu_millicores
        + state.filler_cpu_millicores
    )
    return state.instance.capacity.cpu - expected_cpu


def _score(round_: PlacementRound, state: InstanceState, stage: StageState) -> float:
    """Return how well an instance suits a stage; the highest score is chosen."""
    spec, capacity = stage.spec, state.instance.capacity.cpu
    score = unused_cpu(state) / capacity
    if spec.preferred_rack and spec.preferred_rack not in state.instance.labels:
        score -= 1.0
    if spec.is_filler:
        return score + _filler_score(round_, state, stage)
    if spec.target_ms:
        return _serving_score(round_, state, spec) - score
    return score


def _filler_score(
    round_: PlacementRound, state: InstanceState, stage: StageState
) -> float:
    """Return a score that is higher the less a filler interferes.

    Instances that tolerate many filler images score lower, which leaves them to
    fillers that are tolerated nowhere else.
    """
    cost = TOLERANCE_COST * round_.tolerance_of(state)
    if not round_.slack_of(state).tasks:
        return -cost
    impact = _predict_impact(round_, state, stage)
    return -cost - PRESSURE_COST * impact.pressure + min(impact.remaining_slack, 0.0)


def _serving_score(round_: PlacementRound, state: InstanceState, spec: Stage) -> float:
    """Return a score that is higher the fewer images an instance serves.

    Tasks of the same stage come first, since their loads rise and fall together.
    Which fillers a serving task tolerates depends on both images. Where all serving
    tasks have one image, or images that are sensitive to the same fillers, some
    fillers do no harm; a mixture tolerates hardly any. Some instances are kept free
    of serving tasks.
    """
    serving = filler_control.serving_runs(state)
    images = {run.stage.image for run in serving}
    if images == {spec.image}:
        same_stage = sum(run.stage is spec for run in serving)
        return SAME_IMAGE_SCORE + SAME_STAGE_SCORE * same_stage / len(serving)
    learned = round_.schedule.interference
    if not images:
        if interference.tolerates_most(learned, spec.image):
            return NO_IMAGE_SCORE
        return NO_IMAGE_SCORE if round_.has_spare_instances() else RESERVED_SCORE
    if all(
        interference.are_similarly_sensitive(learned, spec.image, image)
        for image in images
    ):
        return SIMILAR_IMAGES_SCORE
    return MIXED_IMAGES_SCORE if spec.image in images else -float(len(images))


def _place_gang(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[Effect]:
    """Start all tasks of a gang with the same run number, or none of them."""
    if len(stage.waiting_indexes) < len(stage.tasks):
        return []
    usable = _usable_instances(round_, job, stage)
    usable.sort(key=lambda state: -_score(round_, state, stage))
    chosen = _choose_gang_instances(usable, stage)
    if chosen is None:
        return []
    number = max(task.highest_run_number for task in stage.tasks) + 1
    number = max(number, round_.schedule.first_run_number)
    checkpoint = next((t.checkpoint for t in stage.tasks if t.checkpoint), "")
    effects: list[Effect] = []
    for task, state in zip(stage.tasks, chosen, strict=True):
        task.checkpoint = checkpoint
        effects += _start(job, stage, task, state, number, round_.now)
    return effects


def _choose_gang_instances(
    usable: list[InstanceState], stage: StageState
) -> list[InstanceState] | None:
    """Return an instance for each task, on one rack if wanted and possible."""
    if stage.spec.same_rack:
        for rack in sorted({state.rack for state in usable}):
            members = [state for state in usable if state.rack == rack]
            chosen = _fill_instances(members, stage)
            if chosen is not None:
                return chosen
    return _fill_instances(usable, stage)


def _fill_instances(
    usable: list[InstanceState], stage: StageState
) -> list[InstanceState] | None:
    """Return an instance for each task, filling them in order; else ``None``."""
    chosen: list[InstanceState] = []
    demand, limit = stage.spec.demand, stage.spec.max_per_instance
    for state in usable:
        free, count = state.free_capacity, 0
        while demand.fits(free) and (not limit or count < limit):
            if len(chosen) == len(stage.tasks):
                return chosen
            chosen.append(state)
            count += 1
            free = free - demand
    return chosen if len(chosen) == len(stage.tasks) else None

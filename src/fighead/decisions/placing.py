"""Which waiting task starts next, and where.

The load this answers: quick tasks that must start at once, lasting tasks
that serve, and long tasks that fill what the others leave of the processors.
"""

import datetime as dt
import typing as t

from attrs import define, field

from ..job import JobPhase, Stage
from ..log import Event
from ..run import StartRun
from . import instance_health as health
from . import interference, prospects, sharing
from .run_end import add_run
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
    TaskState,
)
from .sharing import Neighbourhood, Outlook

#: Share of its processor demand that a serving task uses on average: its load
#: swings around half of what it asks for.
SERVING_USE = 0.5
#: Share of its processor demand that must be unused for a filler to start.
MIN_FILLER_SHARE = 0.75
#: What a filler's place costs, in shares of an instance's processors: for a
#: pressure of 1, and for an instance that bears all fillers.
PRESSURE_PRICE = 16.0
TOLERANCE_PRICE = 1.5
#: Worth of an instance to a serving task by the images that serve there; each
#: outweighs any difference in unused processors.
SAME_STAGE = 3.0
SAME_IMAGE = 6.0
ALIKE_IMAGES = 5.0
NO_IMAGE = 4.0
MIXED_WITH_SAME = 2.0
LAST_RESORT = -50.0
#: How long a serving task is kept from them: half of the 6 s after which one
#: that could run counts as lost.
HOLD_BACK_TIME = dt.timedelta(seconds=3)
#: Time that a job waits for a place where it disturbs nobody while the instances
#: are less than half full: one that could run for 3 s and does not counts as lost.
STARVED_TIME = dt.timedelta(seconds=2)
HALF_FULL = 0.5
#: Share of the instances that is kept free of serving tasks that some fillers
#: disturb, while those tasks fit elsewhere.
FREE_SHARE = 0.1


def place(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Start waiting tasks, the most urgent ones first."""
    effects: list[Effect] = []
    round_ = Round(schedule, now)
    for job, stage in _waiting_stages(schedule, now):
        if stage.spec.is_gang:
            effects += _place_gang(round_, job, stage)
        else:
            effects += _place_tasks(round_, job, stage)
    return effects


@define(eq=False)
class Round:
    """One round of placing, and what it has looked up.

    :param around: Serving tasks by instance, as fillers see them.
    :param peaks: Highest loads expected of stages.
    :param tolerances: Share of the fillers that sets of serving images bear.
    :param is_spare: What :meth:`has_spare_instances` has found; ``None`` if the
        serving tasks have changed since.
    :param hopeless: Images of fillers, with the least demand, that no instance
        takes in this round.
    """

    schedule: Schedule
    now: dt.datetime
    around: dict[str, Neighbourhood] = field(factory=dict)
    peaks: dict[interference.StageId, float] = field(factory=dict)
    tolerances: dict[frozenset[str], float] = field(factory=dict)
    is_spare: bool | None = None
    hopeless: dict[str, int] = field(factory=dict)

    def has_spare_instances(self) -> bool:
        """Whether more instances bear all fillers than are kept for them."""
        if self.is_spare is None:
            states = self.schedule.instances.values()
            free = sum(
                accepts_runs(state, self.now)
                and self.tolerance_of(state) >= interference.ROBUST_SHARE
                for state in states
            )
            self.is_spare = free > len(states) * FREE_SHARE
        return self.is_spare

    def look(self, state: InstanceState) -> Neighbourhood:
        """Return the serving tasks of an instance."""
        instance_id = state.instance.instance_id
        if instance_id not in self.around:
            learned = self.schedule.learned
            self.around[instance_id] = sharing.look(learned, state, self.peak_of)
        return self.around[instance_id]

    def peak_of(self, stage: interference.StageId) -> float:
        """Return the highest load expected of a stage during a filler's run."""
        if stage not in self.peaks:
            self.peaks[stage] = sharing.peak_of(
                self.schedule.learned, stage, self.now, sharing.START_HORIZONS
            )
        return self.peaks[stage]

    def tolerance_of(self, state: InstanceState) -> float:
        """Return the share of the fillers' images that an instance bears."""
        images = frozenset(run.stage.image for run in sharing.serving_runs(state))
        if images not in self.tolerances:
            learned = self.schedule.learned
            self.tolerances[images] = interference.tolerance(learned, images)
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
        if stage.waiting
        and stage.is_open
        and job.record.spec.due_ms(occurrence) <= now_ms
    ]
    found.sort(key=lambda pair: _urgency(*pair, now))
    return found


def _urgency(job: JobState, stage: StageState, now: dt.datetime) -> tuple[t.Any, ...]:
    """Order by priority, then by what can still be earned, then by its density.

    In a flood, order of arrival makes every job late. A job that can still be
    in time goes before one that can only be late, and among equals the one
    that is worth most for each unit of work that is left.
    """
    prospect = prospects.prospect_of(job, now)
    density = prospects.density_of(job)
    return (job.queue.priority, prospect, -density, job.job_id)


def _place_tasks(round_: Round, job: JobState, stage: StageState) -> list[Effect]:
    spec = stage.spec
    is_hopeless = spec.cpu >= round_.hopeless.get(spec.image, spec.cpu + 1)
    if spec.is_filler and is_hopeless and not _is_starved(round_, job, stage):
        return []
    effects: list[Effect] = []
    for index in sorted(stage.waiting):
        task = stage.tasks[index]
        task.waiting_since = task.waiting_since or round_.now
        state = _choose(round_, job, stage, task)
        if state is None:
            if spec.is_filler:
                round_.hopeless[spec.image] = spec.cpu
            break
        if spec.is_filler:
            learned, capacity = round_.schedule.learned, state.instance.capacity.cpu
            sharing.join(learned, round_.look(state), spec, capacity)
        if spec.target_ms:
            round_.is_spare = None
        number = max(task.last_number + 1, round_.schedule.first_number)
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
    fields["cpu_room"] = state.room.cpu
    return [Note(Event.RUN_ORDERED, fields), Order(instance_id, order)]


def _choose(
    round_: Round, job: JobState, stage: StageState, task: TaskState
) -> InstanceState | None:
    usable = _usable(round_, job, stage)
    if _is_held_back(round_, stage, task):
        usable = [s for s in usable if sharing.serving_runs(s)]
    others = [s for s in usable if s.instance.instance_id not in task.avoided]
    proven = [s for s in others if health.is_proven(s)] if task.failures else []
    return max(
        proven or others or usable,
        key=lambda s: _fitness(round_, s, stage),
        default=None,
    )


def _is_held_back(round_: Round, stage: StageState, task: TaskState) -> bool:
    """Whether a serving task leaves the last free instances to other work yet.

    Quick tasks and fillers that disturb all images find room there; a task
    that waits while there is capacity for it may do so for a few seconds.
    """
    if not stage.spec.target_ms or round_.has_spare_instances():
        return False
    if interference.bears_most(round_.schedule.learned, stage.spec.image):
        return False
    since = task.waiting_since
    return since is None or round_.now - since < HOLD_BACK_TIME


def _usable(round_: Round, job: JobState, stage: StageState) -> list[InstanceState]:
    usable = [
        state
        for state in round_.schedule.instances.values()
        if is_usable(state, job, stage, round_.now)
    ]
    if not stage.spec.is_filler:
        return usable
    bearable = [s for s in usable if _foresee(round_, s, stage).is_bearable]
    if not bearable and _is_starved(round_, job, stage):
        return usable
    return bearable


def _is_starved(round_: Round, job: JobState, stage: StageState) -> bool:
    """Whether a job has to be given a start although it will disturb others.

    Nothing of it runs while the instances are half empty; its filler is paced.
    """
    since = (stage.tasks[index].waiting_since for index in stage.waiting)
    earliest = min((at for at in since if at is not None), default=round_.now)
    if round_.now - earliest < STARVED_TIME or any(True for _ in job.runs()):
        return False
    states = round_.schedule.instances.values()
    used = sum(state.used.cpu for state in states)
    return used < HALF_FULL * sum(state.instance.capacity.cpu for state in states)


def _foresee(round_: Round, state: InstanceState, stage: StageState) -> Outlook:
    capacity = state.instance.capacity.cpu
    around = round_.look(state)
    return sharing.foresee(round_.schedule.learned, around, stage.spec, capacity)


def is_usable(
    state: InstanceState, job: JobState, stage: StageState, now: dt.datetime
) -> bool:
    """Whether a task of a stage may start on an instance now."""
    spec, instance = stage.spec, state.instance
    return (
        accepts_runs(state, now)
        and instance.upstream == job.queue.upstream
        and (not spec.required_label or spec.required_label in instance.labels)
        and spec.demand.fits(state.room)
        and _is_below_limit(state, stage)
        and (not spec.is_filler or unused_cpu(state) >= spec.cpu * MIN_FILLER_SHARE)
    )


def accepts_runs(state: InstanceState, now: dt.datetime) -> bool:
    """Whether an instance may be given new runs."""
    return (
        state.is_reachable
        and state.is_listed
        and state.is_registered
        and state.is_recorded
        and not health.is_suspect(state, now)
        and not state.instance.is_draining
        and (state.refused_until is None or state.refused_until <= now)
    )


def _is_below_limit(state: InstanceState, stage: StageState) -> bool:
    most = stage.spec.max_per_instance
    return not most or stage.by_instance.get(state.instance.instance_id, 0) < most


def unused_cpu(state: InstanceState) -> float:
    """Return the millicores that neither its tasks nor its fillers use."""
    steady = state.used.cpu - state.serving_cpu
    busy = steady + SERVING_USE * state.serving_cpu + state.fillers_cpu
    return state.instance.capacity.cpu - busy


def _fitness(round_: Round, state: InstanceState, stage: StageState) -> float:
    """Return how well an instance suits a stage; the highest is chosen."""
    spec, capacity = stage.spec, state.instance.capacity.cpu
    fitness = unused_cpu(state) / capacity
    if spec.preferred_rack and spec.preferred_rack not in state.instance.labels:
        fitness -= 1.0
    if spec.is_filler:
        return fitness + _gentleness(round_, state, stage)
    if spec.target_ms:
        return _kinship(round_, state, spec) - fitness
    return fitness


def _gentleness(round_: Round, state: InstanceState, stage: StageState) -> float:
    """Return how little a filler disturbs.

    Instances that bear many images of fillers are left to those that find no
    other place.
    """
    price = TOLERANCE_PRICE * round_.tolerance_of(state)
    if not round_.look(state).neighbours:
        return -price
    outlook = _foresee(round_, state, stage)
    return -price - PRESSURE_PRICE * outlook.pressure + min(outlook.headroom, 0.0)


def _kinship(round_: Round, state: InstanceState, spec: Stage) -> float:
    """Return how well a serving task keeps an instance to one image.

    Tasks of one stage come first, since their loads swing together. Which
    fillers disturb a serving task depends on both images: where all serving
    tasks are of one image, or of images that are disturbed by the same fillers,
    some fillers do no harm; beside a mixture hardly any does. Some instances are
    kept free of serving tasks.
    """
    serving = sharing.serving_runs(state)
    images = {run.stage.image for run in serving}
    if images == {spec.image}:
        same = sum(run.stage is spec for run in serving)
        return SAME_IMAGE + SAME_STAGE * same / len(serving)
    learned = round_.schedule.learned
    if not images:
        if interference.bears_most(learned, spec.image):
            return NO_IMAGE
        return NO_IMAGE if round_.has_spare_instances() else LAST_RESORT
    if all(interference.are_alike(learned, spec.image, image) for image in images):
        return ALIKE_IMAGES
    return MIXED_WITH_SAME if spec.image in images else -float(len(images))


def _place_gang(round_: Round, job: JobState, stage: StageState) -> list[Effect]:
    """Start all tasks of a gang under one number, or none."""
    if len(stage.waiting) < len(stage.tasks):
        return []
    usable = _usable(round_, job, stage)
    usable.sort(key=lambda state: -_fitness(round_, state, stage))
    seats = _seat_gang(usable, stage)
    if seats is None:
        return []
    number = max(task.last_number for task in stage.tasks) + 1
    number = max(number, round_.schedule.first_number)
    checkpoint = next((t.checkpoint for t in stage.tasks if t.checkpoint), "")
    effects: list[Effect] = []
    for task, state in zip(stage.tasks, seats, strict=True):
        task.checkpoint = checkpoint
        effects += _start(job, stage, task, state, number, round_.now)
    return effects


def _seat_gang(
    usable: list[InstanceState], stage: StageState
) -> list[InstanceState] | None:
    if stage.spec.same_rack:
        for rack in sorted({state.rack for state in usable}):
            members = [state for state in usable if state.rack == rack]
            seats = _fill_seats(members, stage)
            if seats is not None:
                return seats
    return _fill_seats(usable, stage)


def _fill_seats(
    usable: list[InstanceState], stage: StageState
) -> list[InstanceState] | None:
    seats: list[InstanceState] = []
    demand, most = stage.spec.demand, stage.spec.max_per_instance
    for state in usable:
        room, taken = state.room, 0
        while demand.fits(room) and (not most or taken < most):
            if len(seats) == len(stage.tasks):
                return seats
            seats.append(state)
            taken += 1
            room = room - demand
    return seats if len(seats) == len(stage.tasks) else None

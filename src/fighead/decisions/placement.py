"""Decides which waiting tasks start next, and on which instances.

Three kinds of task share the instances: quick tasks that must start at once,
serving tasks that run until their job is cancelled, and long-running fillers
that use the processors the others leave idle.
"""

import datetime as dt
import enum
import functools
import typing as t

from attrs import define, field, frozen

from ..job import Stage, TaskKey
from ..log import Event
from ..run import StartRun
from . import (
    caller_cost,
    filler_control,
    instance_health,
    interference,
    start_window,
    usage,
)
from .candidates import Candidates, Evaluate
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
#: adds, TOLERANCE_COST to an instance that tolerates all filler images, and LATE_COST,
#: which outweighs both, to one where a serving task misses its target.
PRESSURE_COST = 16.0
TOLERANCE_COST = 1.5
LATE_COST = 100.0
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
#: Cost of an instance that runs slowly after its start, which outweighs all other
#: differences.
COLD_COST = 1000.0
#: How long a serving task is kept off the reserved instances: half of the 6 s after
#: which a serving task that could run counts as lost.
HOLD_BACK_TIME = dt.timedelta(seconds=3)
#: Wait after which a lasting task may start on a suspect instance if it finds no other,
#: and beyond the limit of starts: a third of the 9 s without a run after which callers
#: count it as lost. It is restarted if it fails.
LASTING_WAIT = dt.timedelta(seconds=3)
#: Starts of such tasks beyond the limit of a round, as a share of it.
MAX_OVERDUE_SHARE = 0.1
#: While its upstream is less than half used, a filler waits this long for an
#: instance where it does no harm. A job that waits for 3 s although it could run
#: counts as lost.
STARVATION_TIME = dt.timedelta(seconds=2)
LOW_USE_SHARE = 0.5
#: Share of the instances reserved for quick tasks and fillers: serving tasks that don't
#: tolerate most filler images are kept off them while they fit elsewhere.
RESERVED_SHARE = 0.1

#: Maximum time between two rounds. A process that was suspended during a round has seen
#: a long one, and must not wait as long again.
MAX_ROUND_PAUSE = dt.timedelta(milliseconds=500)

#: All that the choice of an instance depends on, apart from the state of one task.
Kind = tuple[t.Hashable, ...]
#: Kind of the instances that count as spare ones; it is no kind of task.
TOLERANT_KIND: Kind = ("tolerant",)


class Obstacle(enum.Enum):
    """Why an instance gets no runs, whatever its room."""

    SILENT = "silent"
    NOT_LISTED = "not_listed"
    #: It runs something that the schedule lacks, so that its room is not known.
    UNWANTED_RUNS = "unwanted_runs"
    UNREGISTERED = "unregistered"
    NOT_IN_STORED_FLEET = "not_in_stored_fleet"
    SUSPECT = "suspect"
    DRAINING = "draining"
    #: The operator has evacuated its availability zone.
    EVACUATED = "evacuated"
    BACKED_OFF = "backed_off"


def place_waiting_tasks(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Start as many waiting tasks as fit, the most urgent jobs first.

    The entry's limit of starts in flight ends a round early, but for a few lasting
    tasks that have waited. Updates the schedule, and returns the orders to send and the
    notes to log.
    """
    effects: list[Effect] = []
    max_starts = schedule.start_window.free_starts()
    if max_starts == 0:
        return effects
    round_ = PlacementRound(schedule, now, max_starts)
    waiting = rank_waiting_stages(schedule, now)
    _note_waits_of_lasting_tasks(schedule, waiting, now)
    for position, (job, stage) in enumerate(waiting):
        if round_.is_full():
            return effects + _place_overdue_tasks(round_, waiting[position:])
        effects += _place_stage(round_, job, stage)
    return effects


def next_round_at(started_at: dt.datetime, ended_at: dt.datetime) -> dt.datetime:
    """Return the earliest time of the next round of placement.

    It starts no sooner than as long after the last one as that one took, so that at
    least half of the time is left to other work.

    :param started_at: When the last round started.
    :param ended_at: When the last round ended.
    """
    return ended_at + min(ended_at - started_at, MAX_ROUND_PAUSE)


@define(eq=False)
class PlacementRound:
    """One round of placement, and the values cached during it.

    :param max_starts: Starts after which the round ends; a gang may exceed it.
    :param states: All instances, in the order of the schedule.
    :param positions: Position in ``states``, by instance ID.
    :param registered_count: Number of instances that have not left, without those of
        evacuated zones.
    :param uses: How much is in use, by upstream.
    :param changes: Position of the instance of each start in this round.
    :param candidates: Instances evaluated for a kind of task.
    :param slacks: Slack of the serving tasks on an instance, by instance ID.
    :param free_pressures: Pressure that a serving run tolerates, by stage.
    :param tolerances: Share of filler images tolerated, by set of serving images.
    :param tolerant_images: Whether a serving image tolerates most filler images.
    :param similar_images: Whether two serving images are similarly sensitive.
    :param unplaceable: Fillers for which no instance was found in this round, by
        upstream and image; the image is ``None`` if any impact was accepted.
    """

    schedule: Schedule
    now: dt.datetime
    max_starts: float
    states: list[InstanceState] = field(init=False)
    positions: dict[str, int] = field(init=False)
    registered_count: int = field(init=False)
    uses: dict[str, usage.UpstreamUse] = field(factory=dict)
    changes: list[int] = field(factory=list)
    candidates: dict[Kind, Candidates] = field(factory=dict)
    slacks: dict[str, InstanceSlack] = field(factory=dict)
    free_pressures: dict[interference.StageId, float] = field(factory=dict)
    tolerances: dict[frozenset[str], float] = field(factory=dict)
    tolerant_images: dict[str, bool] = field(factory=dict)
    similar_images: dict[tuple[str, str], bool] = field(factory=dict)
    unplaceable: dict[tuple[str, str | None], list[Stage]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.states = list(self.schedule.instances.values())
        self.positions = {name: n for n, name in enumerate(self.schedule.instances)}
        self.registered_count = sum(
            state.is_registered and not state.is_evacuated for state in self.states
        )

    @functools.cached_property
    def has_suspects(self) -> bool:
        """Whether an instance gets no runs because it looks unhealthy."""
        return any(instance_health.is_suspect(state, self.now) for state in self.states)

    def candidates_for(self, kind: Kind, evaluate: Evaluate) -> Candidates:
        """Return the instances for a kind of task, evaluated as far as necessary."""
        found = self.candidates.get(kind)
        if found is None:
            found = self.candidates[kind] = Candidates(self.states)
            found.evaluate_all(evaluate, self.changes)
        else:
            found.evaluate_changed(evaluate, self.changes)
        return found

    def is_full(self) -> bool:
        """Whether no more starts may be sent in this round."""
        return len(self.changes) >= self.max_starts

    def note_start(
        self, state: InstanceState, stage: StageState, run: tuple[TaskKey, int]
    ) -> None:
        """Take into account that a task of a stage has started on an instance.

        :param run: Key of the task and number of its run.
        """
        start_window.note_start(self.schedule.start_window, run, self.now)
        self.changes.append(self.positions[state.instance.instance_id])
        use = self.uses.get(state.instance.upstream)
        if use is not None:
            use.cpu_used += stage.spec.demand.cpu

    def use_of(self, upstream: str) -> usage.UpstreamUse:
        """Return how much of an upstream is in use, with the starts of this round."""
        if upstream not in self.uses:
            self.uses[upstream] = usage.measure_use(
                self.schedule.instances, upstream, self.now
            )
        return self.uses[upstream]

    def has_spare_instances(self) -> bool:
        """Whether more instances than are reserved tolerate nearly all fillers."""
        tolerant = self.candidates_for(TOLERANT_KIND, self._evaluate_tolerance)
        return len(tolerant) > self.registered_count * RESERVED_SHARE

    def _evaluate_tolerance(self, state: InstanceState) -> float | None:
        if not accepts_runs(state, self.now):
            return None
        tolerance = self.tolerance_of(state)
        return tolerance if tolerance >= interference.TOLERANT_SHARE else None

    def is_unplaceable(
        self, upstream: str, spec: Stage, accepts_harm: bool = False
    ) -> bool:
        """Whether a filler that needs no more than this one has found no instance.

        :param accepts_harm: Whether it was to start whatever its impact is.
        """
        image = None if accepts_harm else spec.image
        return any(
            _needs_no_more(failed, spec)
            for failed in self.unplaceable.get((upstream, image), ())
        )

    def note_unplaceable(
        self, upstream: str, spec: Stage, accepts_harm: bool = False
    ) -> None:
        """Remember a filler that has found no instance.

        One with a limit per instance may have failed by that alone.

        :param accepts_harm: Whether it was to start whatever its impact is.
        """
        if not spec.max_per_instance:
            image = None if accepts_harm else spec.image
            self.unplaceable.setdefault((upstream, image), []).append(spec)

    def slack_of(self, state: InstanceState) -> InstanceSlack:
        """Return the slack of an instance, less what this round has reserved."""
        instance_id = state.instance.instance_id
        found = self.slacks.get(instance_id)
        if found is None:
            learned = self.schedule.interference
            found = filler_control.measure_slack(learned, state, self.free_pressure_of)
            self.slacks[instance_id] = found
        return found

    def free_pressure_of(self, run: RunState) -> float:
        """Return the pressure that a serving run tolerates during a filler's run.

        The highest load forecast in that time counts, and no filler.
        """
        free = self.free_pressures.get(run.stage_id)
        if free is None:
            learned = self.schedule.interference
            load = filler_control.peak_load(
                learned, run.stage_id, self.now, filler_control.START_HORIZONS
            )
            free = filler_control.free_pressure(learned, run, load)
            self.free_pressures[run.stage_id] = free
        return free

    def tolerance_of(self, state: InstanceState) -> float:
        """Return the share of filler images that an instance's tasks tolerate."""
        images = frozenset([run.stage.image for run in state.serving.values()])
        tolerance = self.tolerances.get(images)
        if tolerance is None:
            learned = self.schedule.interference
            tolerance = interference.tolerance_of(learned, images)
            self.tolerances[images] = tolerance
        return tolerance

    def tolerates_most(self, image: str) -> bool:
        """Whether a serving image is known to tolerate nearly all filler images."""
        if image not in self.tolerant_images:
            learned = self.schedule.interference
            self.tolerant_images[image] = interference.tolerates_most(learned, image)
        return self.tolerant_images[image]

    def are_similar(self, one: str, other: str) -> bool:
        """Whether two serving images are known to be sensitive to the same fillers."""
        if (one, other) not in self.similar_images:
            learned = self.schedule.interference
            are_similar = interference.are_similarly_sensitive(learned, one, other)
            self.similar_images[one, other] = are_similar
        return self.similar_images[one, other]


def _needs_no_more(one: Stage, other: Stage) -> bool:
    """Whether each instance that can take ``other`` can take ``one`` too.

    Both are fillers of the same upstream and image, ``one`` without a limit per
    instance.
    """
    return (
        one.required_label in ("", other.required_label)
        and one.cpu <= other.cpu
        and one.memory_mb <= other.memory_mb
        and one.gpu <= other.gpu
    )


def find_due_stages(
    schedule: Schedule, now: dt.datetime
) -> list[tuple[JobState, StageState]]:
    """Return the stages with tasks that are due and have no run.

    Some may have to wait until the schedule is settled.
    """
    now_ms = schedule.wall_time(now).timestamp() * 1000
    return [
        (job, stage)
        for job in schedule.jobs.values()
        if not job.is_ended
        for (occurrence, _), stage in job.stages.items()
        if stage.waiting_indexes
        and stage.is_open
        and job.record.spec.due_ms(occurrence) <= now_ms
    ]


def rank_waiting_stages(
    schedule: Schedule, now: dt.datetime
) -> list[tuple[JobState, StageState]]:
    """Return the stages with tasks that may start, those to be placed first first."""
    found = [
        pair
        for pair in find_due_stages(schedule, now)
        if schedule.find_startable(*pair)
    ]
    factors: dict[str, float] = {}
    # The cost is that of the job, and takes a look at all of its stages.
    costs: dict[str, caller_cost.WaitCost] = {}

    def rank(pair: tuple[JobState, StageState]) -> caller_cost.WaitCost:
        job, name = pair[0], pair[0].queue.name
        if name not in factors:
            factors[name] = caller_cost.find_estimate_factor(schedule, name)
        if job.job_id not in costs:
            costs[job.job_id] = caller_cost.cost_of_waiting(job, now, factors[name])
        return costs[job.job_id]

    found.sort(key=rank)
    return found


@frozen
class Preview:
    """What a round that began with a stage would choose for it.

    :param scores: Score of each instance that the stage can use, by ID, the highest
        first.
    :param chosen: The next task of the stage, or all of a gang, with the instance of
        each; empty if there is none.
    """

    scores: dict[str, float]
    chosen: tuple[tuple[TaskKey, str], ...]


def preview_stage(round_: PlacementRound, job: JobState, stage: StageState) -> Preview:
    """Return the choice for a stage without starting anything."""
    candidates = _find_candidates(round_, job, stage)
    scores = {
        state.instance.instance_id: candidates.scores[
            round_.positions[state.instance.instance_id]
        ]
        for state in candidates
    }
    if stage.spec.is_gang:
        is_whole = len(round_.schedule.find_startable(job, stage)) == len(stage.tasks)
        states = (_choose_for_gang(round_, job, stage) if is_whole else None) or []
        pairs = list(zip(stage.tasks, states, strict=False))
    else:
        task = _find_tasks_to_place(round_, job, stage)[0]
        state = _choose_instance(round_, job, stage, task)
        pairs = [(task, state)] if state is not None else []
    chosen = tuple((task.key, state.instance.instance_id) for task, state in pairs)
    return Preview(scores, chosen)


def _note_waits_of_lasting_tasks(
    schedule: Schedule,
    waiting: t.Iterable[tuple[JobState, StageState]],
    now: dt.datetime,
) -> None:
    """Note since when lasting tasks wait, also of those that a round doesn't reach."""
    for job, stage in waiting:
        if _runs_on(stage.spec):
            for index in schedule.find_startable(job, stage):
                task = stage.tasks[index]
                task.waiting_since = task.waiting_since or now


def _runs_on(spec: Stage) -> bool:
    """Whether the tasks of a stage have no end of their own."""
    return spec.is_lasting or bool(spec.target_ms)


def _find_tasks_to_place(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[TaskState]:
    """Return the tasks of a stage that may start, those to be placed first first.

    Of lasting tasks that is the one that has waited longest: while it finds no
    instance, the others find none.
    """
    indexes = sorted(round_.schedule.find_startable(job, stage))
    tasks = [stage.tasks[index] for index in indexes]
    if _runs_on(stage.spec):
        tasks.sort(key=lambda task: task.waiting_since or round_.now)
    return tasks


def _place_overdue_tasks(
    round_: PlacementRound, waiting: t.Iterable[tuple[JobState, StageState]]
) -> list[Effect]:
    """Start the lasting tasks and gangs that have waited longest and find room.

    Jobs that are ranked before it may take all starts for as long as a burst lasts.

    :param waiting: The stages that a full round has not reached.
    """
    overdue: list[tuple[dt.datetime, JobState, StageState]] = []
    for job, stage in waiting:
        if stage.spec.is_lasting:
            first = _find_tasks_to_place(round_, job, stage)[0]
            if _is_overdue(round_, stage, first):
                overdue.append((first.waiting_since or round_.now, job, stage))
    overdue.sort(key=lambda row: row[0])
    extra_starts = max(1, int(round_.max_starts * MAX_OVERDUE_SHARE))
    round_.max_starts = len(round_.changes) + extra_starts
    effects: list[Effect] = []
    for _, job, stage in overdue:
        if round_.is_full():
            break
        effects += _place_stage(round_, job, stage)
    return effects


def _place_stage(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[Effect]:
    if stage.spec.is_gang:
        return _place_gang(round_, job, stage)
    return _place_tasks(round_, job, stage)


def _place_tasks(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[Effect]:
    spec = stage.spec
    upstream = job.queue.upstream
    if spec.is_filler and round_.is_unplaceable(upstream, spec):
        first = stage.tasks[min(stage.waiting_indexes)]
        first.waiting_since = first.waiting_since or round_.now
        if round_.is_unplaceable(upstream, spec, accepts_harm=True):
            return []
        if not _is_starved(round_, job, stage):
            return []
    effects: list[Effect] = []
    for task in _find_tasks_to_place(round_, job, stage):
        task.waiting_since = task.waiting_since or round_.now
        state = _choose_instance(round_, job, stage, task)
        if state is None:
            if spec.is_filler:
                round_.note_unplaceable(upstream, spec)
                if _is_starved(round_, job, stage):
                    round_.note_unplaceable(upstream, spec, accepts_harm=True)
            break
        if spec.is_filler:
            filler_control.reserve_slack(
                round_.schedule.interference,
                round_.slack_of(state),
                spec,
                state.instance.capacity.cpu,
            )
        number = max(task.highest_run_number + 1, round_.schedule.first_run_number)
        effects += _start(job, stage, task, state, number, round_.now)
        round_.note_start(state, stage, (task.key, number))
        if round_.is_full():
            break
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
    usable, and suspect ones only for a lasting task that has waited. A task that has
    failed prefers instances whose last run succeeded.
    """
    candidates = _find_candidates(round_, job, stage)
    chosen = _choose_among(round_, candidates, stage, task)
    if chosen is None and round_.has_suspects and _is_overdue(round_, stage, task):
        suspects = _evaluate_all(round_, job, stage, accepts_suspects=True)
        chosen = _choose_among(round_, suspects, stage, task)
    return chosen


def _choose_among(
    round_: PlacementRound,
    candidates: Candidates,
    stage: StageState,
    task: TaskState,
) -> InstanceState | None:
    must_keep_off = is_held_back(round_, stage, task)
    if not (must_keep_off or task.avoided_instances or task.failures):
        return next(iter(candidates), None)
    usable = [s for s in candidates if s.serving or not must_keep_off]
    not_avoided = [
        s for s in usable if s.instance.instance_id not in task.avoided_instances
    ]
    proven = (
        [s for s in not_avoided if instance_health.last_run_succeeded(s)]
        if task.failures
        else []
    )
    return next(iter(proven or not_avoided or usable), None)


def _is_overdue(round_: PlacementRound, stage: StageState, task: TaskState) -> bool:
    """Whether a lasting task has waited so long that callers soon miss it."""
    since = task.waiting_since
    return (
        stage.spec.is_lasting
        and since is not None
        and round_.now - since >= LASTING_WAIT
    )


def is_held_back(round_: PlacementRound, stage: StageState, task: TaskState) -> bool:
    """Whether a serving task must keep off instances without serving tasks.

    The last such instances are reserved for quick tasks and for fillers that no
    serving image tolerates. A serving task may wait for up to :data:`HOLD_BACK_TIME`
    although there is capacity for it.
    """
    if not stage.spec.target_ms or round_.has_spare_instances():
        return False
    if round_.tolerates_most(stage.spec.image):
        return False
    since = task.waiting_since
    return since is None or round_.now - since < HOLD_BACK_TIME


def _find_candidates(
    round_: PlacementRound, job: JobState, stage: StageState
) -> Candidates:
    """Return the usable instances for a stage, those with the highest score first.

    A filler gets those with unused processors where its impact is acceptable; if there
    are none and it is starved, it gets all that it fits on.
    """
    found = _evaluate_all(round_, job, stage)
    if not found and _is_starved(round_, job, stage):
        return _evaluate_all(round_, job, stage, accepts_harm=True)
    return found


def _evaluate_all(
    round_: PlacementRound,
    job: JobState,
    stage: StageState,
    *,
    accepts_harm: bool = False,
    accepts_suspects: bool = False,
) -> Candidates:
    """Return the instances that a stage can use, those with the highest score first.

    :param accepts_harm: See :func:`_evaluate`.
    :param accepts_suspects: The same.
    """
    kind = _kind_of(round_, job, stage)
    evaluate = functools.partial(
        _evaluate,
        round_,
        job,
        stage,
        accepts_harm=accepts_harm,
        accepts_suspects=accepts_suspects,
    )
    return round_.candidates_for((*kind, accepts_harm, accepts_suspects), evaluate)


def _kind_of(round_: PlacementRound, job: JobState, stage: StageState) -> Kind:
    """Return a key that is equal for stages with equal candidates and scores.

    A limit of tasks per instance and the score for a serving task refer to the other
    tasks of the stage, so such a stage has candidates of its own.
    """
    spec = stage.spec
    if spec.target_ms:
        return (id(stage), round_.has_spare_instances())
    if spec.max_per_instance:
        return (id(stage),)
    return (
        job.queue.upstream,
        spec.required_label,
        spec.preferred_rack,
        spec.cpu,
        spec.memory_mb,
        spec.gpu,
        spec.is_filler,
        spec.image if spec.is_filler else "",
    )


def _evaluate(
    round_: PlacementRound,
    job: JobState,
    stage: StageState,
    state: InstanceState,
    accepts_harm: bool = False,
    accepts_suspects: bool = False,
) -> float | None:
    """Return the score of an instance for a stage, or ``None`` if it can't be used.

    :param accepts_harm: Whether a filler may start whatever its impact is, and without
        unused processors.
    :param accepts_suspects: Whether the instance may look unhealthy.
    """
    if not is_usable(
        state,
        job,
        stage,
        round_.now,
        needs_unused_cpu=not accepts_harm,
        accepts_suspects=accepts_suspects,
    ):
        return None
    cold_cost = COLD_COST if _is_cold(state, round_.now) else 0.0
    if not stage.spec.is_filler:
        return _score(round_, state, stage.spec) - cold_cost
    learned, slack = round_.schedule.interference, round_.slack_of(state)
    capacity = state.instance.capacity.cpu
    impact = filler_control.predict_impact(learned, slack, stage.spec, capacity)
    if not (accepts_harm or impact.is_acceptable):
        return None
    return _filler_score(round_, state, stage.spec, impact) - cold_cost


def _is_cold(state: InstanceState, now: dt.datetime) -> bool:
    return state.cold_until is not None and now < state.cold_until


def _is_starved(round_: PlacementRound, job: JobState, stage: StageState) -> bool:
    """Whether a filler has to start although no instance tolerates it.

    It may then have to share the processors of other fillers. That is so once its job
    has waited too long, without work under way, while the upstream is less than half
    used. The filler is paced down to limit the harm.
    """
    if not stage.spec.is_filler:
        return False
    since = (stage.tasks[index].waiting_since for index in stage.waiting_indexes)
    earliest = min((at for at in since if at is not None), default=round_.now)
    if round_.now - earliest < STARVATION_TIME:
        return False
    if usage.has_work(round_.schedule.instances, job, round_.now):
        return False
    return round_.use_of(job.queue.upstream).is_below(LOW_USE_SHARE)


def is_usable(
    state: InstanceState,
    job: JobState,
    stage: StageState,
    now: dt.datetime,
    *,
    needs_unused_cpu: bool = True,
    accepts_suspects: bool = False,
) -> bool:
    """Whether an instance meets all hard constraints of a task of a stage now.

    The interference that a filler would cause isn't considered.

    :param needs_unused_cpu: Whether a filler needs unused processors.
    :param accepts_suspects: Whether the instance may look unhealthy.
    """
    return (
        (has_room if needs_unused_cpu else fits)(state, stage)
        and is_suitable(state, job, stage)
        and accepts_runs(state, now, accepts_suspects=accepts_suspects)
    )


def has_room(state: InstanceState, stage: StageState) -> bool:
    """Whether an instance has room for one more task of a stage.

    A filler also needs unused processors.
    """
    spec = stage.spec
    return fits(state, stage) and (
        not spec.is_filler or unused_cpu(state) >= spec.cpu * MIN_UNUSED_SHARE
    )


def fits(state: InstanceState, stage: StageState) -> bool:
    """Whether one more task of a stage exceeds neither a capacity nor its limit."""
    return state.has_room_for(stage.spec.demand) and _is_below_limit(state, stage)


def is_suitable(state: InstanceState, job: JobState, stage: StageState) -> bool:
    """Whether an instance is of the upstream and has the label that a stage needs."""
    instance, label = state.instance, stage.spec.required_label
    return instance.upstream == job.queue.upstream and (
        not label or label in instance.labels
    )


def accepts_runs(
    state: InstanceState, now: dt.datetime, *, accepts_suspects: bool = False
) -> bool:
    """Whether an instance is known, reachable, healthy and not to be emptied.

    :param accepts_suspects: Whether it may look unhealthy.
    """
    return find_obstacle(state, now, accepts_suspects=accepts_suspects) is None


def find_obstacle(
    state: InstanceState, now: dt.datetime, *, accepts_suspects: bool = False
) -> Obstacle | None:
    """Return why an instance gets no runs, whatever its room; ``None`` if it does.

    :param accepts_suspects: Whether looking unhealthy is no reason.
    """
    if not state.is_reachable:
        return Obstacle.SILENT
    if not state.is_listed:
        return Obstacle.NOT_LISTED
    if state.unwanted:
        return Obstacle.UNWANTED_RUNS
    if not state.is_registered:
        return Obstacle.UNREGISTERED
    if not state.is_in_stored_fleet:
        return Obstacle.NOT_IN_STORED_FLEET
    if instance_health.is_suspect(state, now) and not accepts_suspects:
        return Obstacle.SUSPECT
    if state.instance.is_draining:
        return Obstacle.DRAINING
    if state.is_evacuated:
        return Obstacle.EVACUATED
    if state.start_backoff_until is not None and state.start_backoff_until > now:
        return Obstacle.BACKED_OFF
    return None


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


def _score(round_: PlacementRound, state: InstanceState, spec: Stage) -> float:
    """Return how well an instance suits a task other than a filler."""
    score = _room_score(state, spec)
    return _serving_score(round_, state, spec) - score if spec.target_ms else score


def _room_score(state: InstanceState, spec: Stage) -> float:
    """Return a score that is higher the more processors are unused."""
    score = unused_cpu(state) / state.instance.capacity.cpu
    if spec.preferred_rack and spec.preferred_rack not in state.instance.labels:
        score -= 1.0
    return score


def _filler_score(
    round_: PlacementRound, state: InstanceState, spec: Stage, impact: FillerImpact
) -> float:
    """Return a score that is higher the less a filler interferes.

    Instances that tolerate many filler images score lower, which leaves them to
    fillers that are tolerated nowhere else.
    """
    cost = TOLERANCE_COST * round_.tolerance_of(state) + LATE_COST * impact.is_late
    lack = min(impact.remaining_slack, 0.0)
    return _room_score(state, spec) + (-cost - PRESSURE_COST * impact.pressure + lack)


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
    if not images:
        if round_.tolerates_most(spec.image) or round_.has_spare_instances():
            return NO_IMAGE_SCORE
        return RESERVED_SCORE
    if all(round_.are_similar(spec.image, image) for image in images):
        return SIMILAR_IMAGES_SCORE
    return MIXED_IMAGES_SCORE if spec.image in images else -float(len(images))


def _place_gang(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[Effect]:
    """Start all tasks of a gang with the same run number, or none of them.

    A starved gang of fillers starts wherever all of it fits.
    """
    if len(round_.schedule.find_startable(job, stage)) < len(stage.tasks):
        return []
    for task in stage.tasks:
        task.waiting_since = task.waiting_since or round_.now
    chosen = _choose_for_gang(round_, job, stage)
    if chosen is None:
        return []
    number = max(task.highest_run_number for task in stage.tasks) + 1
    number = max(number, round_.schedule.first_run_number)
    checkpoint = next((t.checkpoint for t in stage.tasks if t.checkpoint), "")
    effects: list[Effect] = []
    for task, state in zip(stage.tasks, chosen, strict=True):
        task.checkpoint = checkpoint
        effects += _start(job, stage, task, state, number, round_.now)
        round_.note_start(state, stage, (task.key, number))
    return effects


def _choose_for_gang(
    round_: PlacementRound, job: JobState, stage: StageState
) -> list[InstanceState] | None:
    chosen = _choose_gang_instances(list(_evaluate_all(round_, job, stage)), stage)
    if chosen is None and _is_starved(round_, job, stage):
        usable = list(_evaluate_all(round_, job, stage, accepts_harm=True))
        chosen = _choose_gang_instances(usable, stage)
    first = stage.tasks[0]
    if chosen is None and round_.has_suspects and _is_overdue(round_, stage, first):
        usable = list(_evaluate_all(round_, job, stage, accepts_suspects=True))
        chosen = _choose_gang_instances(usable, stage)
    return chosen


def _choose_gang_instances(
    usable: list[InstanceState], stage: StageState
) -> list[InstanceState] | None:
    """Return an instance for each task, on one rack if wanted and possible."""
    if stage.spec.same_rack:
        for rack in sorted({state.rack for state in usable}):
            members = [state for state in usable if state.rack == rack]
            chosen = fill_instances(members, stage)
            if chosen is not None:
                return chosen
    return fill_instances(usable, stage)


def fill_instances(
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

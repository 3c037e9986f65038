"""Describes what tasks without a run wait for, and since when."""

import collections
import datetime as dt
import enum
import itertools
import typing as t

from attrs import asdict, define, field

from ..log import Event
from . import instance_tracking, lasting_waits, placement, room, unsettled, usage
from .lasting_waits import LastingWatch
from .leader_status import LeaderStatus, describe_age, to_ms
from .placement import Obstacle
from .schedule_state import (
    InstanceState,
    JobState,
    LogNote,
    RunState,
    Schedule,
    StageState,
)
from .unsettled import MAX_LOGGED_TASKS

#: Minimum time between two lines of one event, and from the election to the first line
#: on an unsettled schedule.
REPORT_INTERVAL = dt.timedelta(seconds=2)
#: Interval at which it is noted which tasks wait.
SCAN_INTERVAL = dt.timedelta(seconds=1)
#: Shortest wait that is logged: what could run and did not for 3 s counts as lost.
MIN_WAIT = dt.timedelta(seconds=3)
#: Stages for which all instances are looked at, for one line.
MAX_EXAMINED_STAGES = 8


class WaitReason(enum.Enum):
    """Why a task has no run that is known to exist."""

    #: The leader is confirmed by nobody and sends no orders.
    NO_AUTHORITY = "no_authority"
    #: Its job was accepted under a later leader.
    LATER_LEADER = "later_leader"
    #: There is no instance of its upstream with its label.
    NO_INSTANCE = "no_instance"
    NO_ROOM = "no_room"
    #: Each instance with room has an :class:`~.placement.Obstacle`.
    OBSTACLES = "obstacles"
    #: Other tasks of its gang have runs.
    PART_OF_GANG = "part_of_gang"
    START_WINDOW = "start_window"
    #: A filler fits, but others use the processors.
    NO_UNUSED_CPU = "no_unused_cpu"
    #: A filler would slow down the serving tasks wherever there is room.
    INTERFERENCE = "interference"
    #: A serving task keeps off the last instances without serving tasks for a while.
    HELD_BACK = "held_back"
    #: An instance can take it.
    PLACEABLE = "placeable"
    #: The reason was not looked for.
    NOT_EXAMINED = "not_examined"
    #: Its run is on an instance that doesn't answer or has not been listed.
    HELD = "held"
    #: The same, and the start of the run may arrive late.
    LATE_START = "late_start"


class FillerWait(enum.Enum):
    """Why a filler isn't let in whatever its impact is."""

    #: Its job has work under way.
    JOB_AT_WORK = "job_at_work"
    #: Too much of its upstream is in use.
    IN_USE = "in_use"
    #: Neither, so that it starts once it has waited and fits.
    STARVED = "starved"


@define(eq=False)
class WaitWatch:
    """Since when tasks wait, as far as they were seen, and when that was logged.

    :param waiting_since: Since when each task of a stage has been seen without a run,
        by index, the longest wait first.
    :param held_since: Since when an instance with runs has been seen silent or not
        listed, by instance ID.
    """

    unsettled_logged_at: dt.datetime | None = None
    tasks_logged_at: dt.datetime | None = None
    scanned_at: dt.datetime | None = None
    waiting_since: dict[StageState, dict[int, dt.datetime]] = field(factory=dict)
    held_since: dict[str, dt.datetime] = field(factory=dict)
    lasting: LastingWatch = field(factory=LastingWatch)


def describe_waits(
    watch: WaitWatch, schedule: Schedule, status: LeaderStatus, now: dt.datetime
) -> list[LogNote]:
    """Return the notes that are due; called at short intervals."""
    notes: list[LogNote] = []
    logged_at = watch.unsettled_logged_at or schedule.elected_at
    if not schedule.is_settled and now - logged_at >= REPORT_INTERVAL:
        watch.unsettled_logged_at = now
        notes.append(unsettled.describe_unsettled(schedule, status, now))
    if watch.scanned_at is None or now - watch.scanned_at >= SCAN_INTERVAL:
        watch.scanned_at = now
        notes += _describe_tasks(watch, schedule, status, now)
        notes += lasting_waits.describe_waits(watch.lasting, schedule, status, now)
    return notes


def _describe_tasks(
    watch: WaitWatch, schedule: Schedule, status: LeaderStatus, now: dt.datetime
) -> list[LogNote]:
    stages = _note_waiting_tasks(watch, schedule, now)
    held = _note_held_runs(watch, schedule, now)
    logged_at = watch.tasks_logged_at
    if logged_at is not None and now - logged_at < REPORT_INTERVAL:
        return []
    latest = now - MIN_WAIT
    waits = [
        _StageWait(job, stage, first_at, since)
        for job, stage, since in stages
        if (first_at := next(iter(since.values()))) <= latest
    ]
    held = [
        state
        for state in held
        if _held_since(watch, state) <= latest and _find_held_runs(schedule, state)
    ]
    if not waits and not held:
        return []
    watch.tasks_logged_at = now
    waits.sort(key=lambda wait: wait.first_at)
    return [_describe_waiting_tasks(watch, schedule, status, waits, held, now)]


@define(eq=False)
class _StageWait:
    """A stage with waiting tasks.

    :param first_at: Since when the first of them waits.
    :param since: Since when each waits, by index, the longest wait first.
    """

    job: JobState
    stage: StageState
    first_at: dt.datetime
    since: dict[int, dt.datetime]

    def late_indexes(self, latest: dt.datetime) -> list[int]:
        """Return the tasks that have waited since ``latest`` or longer."""
        if next(reversed(self.since.values())) <= latest:
            return list(self.since)
        rows = itertools.takewhile(lambda row: row[1] <= latest, self.since.items())
        return [index for index, _ in rows]


def _note_waiting_tasks(
    watch: WaitWatch, schedule: Schedule, now: dt.datetime
) -> list[tuple[JobState, StageState, dict[int, dt.datetime]]]:
    """Return the stages with tasks that don't wait for settling, and since when."""
    found: list[tuple[JobState, StageState, dict[int, dt.datetime]]] = []
    tracked: dict[StageState, dict[int, dt.datetime]] = {}
    for job, stage in placement.find_due_stages(schedule, now):
        indexes = stage.waiting_indexes
        if not schedule.is_settled:
            indexes = set(schedule.find_startable(job, stage))
        if not indexes:
            continue
        since = tracked[stage] = watch.waiting_since.get(stage) or {}
        if since.keys() != indexes:
            for index in since.keys() - indexes:
                del since[index]
            for index in sorted(indexes - since.keys()):
                since[index] = now
        found.append((job, stage, since))
    watch.waiting_since = tracked
    return found


def _note_held_runs(
    watch: WaitWatch, schedule: Schedule, now: dt.datetime
) -> list[InstanceState]:
    """Return the instances whose runs may have ended without a listing of that."""
    held = [
        state
        for state in schedule.instances.values()
        if state.runs and not (state.is_reachable and state.is_listed)
    ]
    watch.held_since = {
        state.instance.instance_id: watch.held_since.get(
            state.instance.instance_id, now
        )
        for state in held
    }
    return held


def _find_held_runs(schedule: Schedule, state: InstanceState) -> list[RunState]:
    """Return the runs on an instance whose jobs have not ended."""
    jobs = schedule.jobs
    return [
        run
        for run in state.runs.values()
        if run.key.job_id in jobs and not jobs[run.key.job_id].is_ended
    ]


def _find_late_end(schedule: Schedule, run: RunState) -> dt.datetime | None:
    state = schedule.instances[run.instance_id]
    return instance_tracking.find_late_end(schedule, state, run)


def _held_since(watch: WaitWatch, state: InstanceState) -> dt.datetime:
    return watch.held_since[state.instance.instance_id]


def _describe_waiting_tasks(
    watch: WaitWatch,
    schedule: Schedule,
    status: LeaderStatus,
    waits: t.Sequence[_StageWait],
    held: t.Sequence[InstanceState],
    now: dt.datetime,
) -> LogNote:
    """Describe waits, the longest of which come first in ``waits``."""
    reasons: collections.Counter[str] = collections.Counter()
    fillers: collections.Counter[str] = collections.Counter()
    obstacles: dict[str, Obstacle] = {}
    tasks: list[str] = []
    lasting_count = 0
    for position, wait in enumerate(waits):
        indexes = wait.late_indexes(now - MIN_WAIT)
        if not status.may_act:
            reason = WaitReason.NO_AUTHORITY
        elif position < MAX_EXAMINED_STAGES:
            reason = _find_reason(schedule, wait, obstacles, now)
        else:
            reason = WaitReason.NOT_EXAMINED
        reasons[reason.value] += len(indexes)
        if wait.stage.spec.is_filler and position < MAX_EXAMINED_STAGES:
            fillers[_find_filler_wait(schedule, wait.job, now).value] += len(indexes)
        lasting_count += len(indexes) if wait.stage.spec.is_lasting else 0
        tasks += [
            str(wait.stage.tasks[index].key)
            for index in indexes[: MAX_LOGGED_TASKS - len(tasks)]
        ]
    held_runs = [run for state in held for run in _find_held_runs(schedule, state)]
    for run in held_runs:
        late_end = _find_late_end(schedule, run)
        is_late = late_end is not None and now < late_end
        reason = WaitReason.LATE_START if is_late else WaitReason.HELD
        reasons[reason.value] += 1
        lasting_count += run.stage.is_lasting
    tasks += [str(run.key) for run in held_runs[: MAX_LOGGED_TASKS - len(tasks)]]
    bounds = [
        instance_tracking.lease_bound(schedule, state, status.lease) for state in held
    ]
    upstreams = sorted(
        {wait.job.queue.upstream for wait in waits[:MAX_EXAMINED_STAGES]}
    )
    job_ids = {wait.job.job_id for wait in waits}
    job_ids.update(run.key.job_id for run in held_runs)
    starts = [wait.first_at for wait in waits[:1]]
    starts += [_held_since(watch, state) for state in held]
    obstacle_counts = collections.Counter(each.value for each in obstacles.values())
    fields = {
        "term": schedule.term,
        "count": reasons.total(),
        "lasting": lasting_count,
        "jobs": len(job_ids),
        "longest_ms": to_ms(now - min(starts)),
        "since_election_ms": schedule.ms_since_election(now),
        "by_reason": dict(reasons),
        "obstacles": dict(obstacle_counts),
        "examined": min(len(waits), MAX_EXAMINED_STAGES) if status.may_act else 0,
        "first": _describe_first(schedule, waits[0], now) if waits else None,
        "room": {
            upstream: room.describe_upstream(schedule.instances.values(), upstream, now)
            for upstream in upstreams
        },
        "in_use": {
            upstream: asdict(usage.measure_use(schedule.instances, upstream, now))
            for upstream in upstreams
        },
        "fillers": dict(fillers),
        "start_limit": round(schedule.start_window.limit, 1),
        "starts_in_flight": len(schedule.start_window.sent_at),
        "sole_age_ms": describe_age(schedule.sole_at, now),
        "leases_ms": to_ms(min(bounds) - now) if bounds else None,
        "held_by": sorted(state.instance.instance_id for state in held)[
            : instance_tracking.MAX_LOGGED_INSTANCES
        ],
        "tasks": tasks,
    }
    return LogNote(Event.TASKS_WAITING, fields)


def _describe_first(
    schedule: Schedule, wait: _StageWait, now: dt.datetime
) -> dict[str, t.Any]:
    """Describe the task that has waited longest, and the room for it."""
    spec = wait.stage.spec
    states = schedule.instances.values()
    return {
        "task": str(wait.stage.tasks[next(iter(wait.since))].key),
        "filler": spec.is_filler,
        "cpu": spec.cpu,
        "memory_mb": spec.memory_mb,
        "gpu": spec.gpu,
        "runs_of_job": sum(1 for _ in wait.job.runs()),
        **asdict(room.count_room(states, wait.job, wait.stage, now)),
    }


def _find_reason(
    schedule: Schedule,
    wait: _StageWait,
    obstacles: dict[str, Obstacle],
    now: dt.datetime,
) -> WaitReason:
    """Return why the next task of a stage doesn't start.

    :param obstacles: Receives those of instances with room, by instance ID.
    """
    job, stage = wait.job, wait.stage
    if schedule.leaves_to_later(job):
        return WaitReason.LATER_LEADER
    suitable = [
        state
        for state in schedule.instances.values()
        if placement.is_suitable(state, job, stage)
    ]
    if not suitable:
        return WaitReason.NO_INSTANCE
    # A starved filler needs no unused processors.
    has_room = placement.fits if stage.spec.is_filler else placement.has_room
    roomy = [state for state in suitable if has_room(state, stage)]
    if not roomy:
        return WaitReason.NO_ROOM
    usable = []
    for state in roomy:
        obstacle = placement.find_obstacle(state, now)
        if obstacle is None:
            usable.append(state)
        else:
            obstacles[state.instance.instance_id] = obstacle
    if not usable:
        return WaitReason.OBSTACLES
    if stage.spec.is_gang:
        if len(stage.waiting_indexes) < len(stage.tasks):
            return WaitReason.PART_OF_GANG
        if placement.fill_instances(usable, stage) is None:
            fits = placement.fill_instances(roomy, stage) is not None
            return WaitReason.OBSTACLES if fits else WaitReason.NO_ROOM
    if schedule.start_window.is_full:
        return WaitReason.START_WINDOW
    if _is_held_back(schedule, wait, usable, now):
        return WaitReason.HELD_BACK
    if not stage.spec.is_filler:
        return WaitReason.PLACEABLE
    if any(placement.has_room(state, stage) for state in usable):
        return WaitReason.INTERFERENCE
    return WaitReason.NO_UNUSED_CPU


def _find_filler_wait(
    schedule: Schedule, job: JobState, now: dt.datetime
) -> FillerWait:
    if usage.has_work(schedule.instances, job, now):
        return FillerWait.JOB_AT_WORK
    use = usage.measure_use(schedule.instances, job.queue.upstream, now)
    if not use.is_below(placement.LOW_USE_SHARE):
        return FillerWait.IN_USE
    return FillerWait.STARVED


def _is_held_back(
    schedule: Schedule,
    wait: _StageWait,
    usable: t.Iterable[InstanceState],
    now: dt.datetime,
) -> bool:
    """Whether the next task of a stage must still keep off all usable instances."""
    stage = wait.stage
    if any(state.serving for state in usable):
        return False
    round_ = placement.PlacementRound(schedule, now, 0)
    task = stage.tasks[min(stage.waiting_indexes)]
    return placement.is_held_back(round_, stage, task)

"""Describes lasting tasks that have no run although instances have room for them.

Callers count a lasting task as lost if it has no run for 9 s and two instances have
room for it meanwhile. What they count is what is free on instances that are up. What
placement counts may differ, and this tells by what.
"""

import bisect
import collections
import datetime as dt
import enum
import itertools
import typing as t

from attrs import define, field, frozen

from ..job import TaskKey
from ..log import Event
from . import instance_tracking, placement, usage
from .leader_status import LeaderStatus, to_ms
from .schedule_state import (
    InstanceState,
    JobState,
    LogNote,
    RunPhase,
    RunState,
    Schedule,
    StageState,
    TaskState,
)

#: Minimum time between two lines.
REPORT_INTERVAL = dt.timedelta(seconds=2)
#: Shortest time without a run, and beside room, that is logged.
MIN_WAIT = dt.timedelta(seconds=3)
MIN_ROOM_TIME = dt.timedelta(seconds=1)
#: Number of instances with room from which on callers count it.
MIN_ROOMY_INSTANCES = 2


class Absence(enum.Enum):
    """Why a lasting task counts as without a run."""

    #: It waits for a start.
    WAITING = "waiting"
    #: Its run is on an instance that doesn't answer or has not been listed.
    HELD = "held"
    #: The same, and the start of the run may arrive late.
    LATE_START = "late_start"
    #: The start of its run has not been answered.
    ORDERED = "ordered"
    #: Its run is being stopped.
    STOPPING = "stopping"


@define(eq=False)
class LastingWatch:
    """Since when lasting tasks have had no run, and room beside that.

    :param absent_since: Since when a task has been seen without a run that is known to
        go on.
    :param room_since: Since when there has been room for it at each look.
    """

    absent_since: dict[TaskKey, dt.datetime] = field(factory=dict)
    room_since: dict[TaskKey, dt.datetime] = field(factory=dict)
    logged_at: dt.datetime | None = None


@frozen
class _AbsentTask:
    """A lasting task without a run that is known to go on.

    :param run: Its run, if it has one that is not known to go on.
    """

    job: JobState
    stage: StageState
    task: TaskState
    run: RunState | None = None


#: Free millicores and instance, sorted, by upstream.
FreeRoom = dict[str, list[tuple[int, InstanceState]]]


def describe_waits(
    watch: LastingWatch, schedule: Schedule, status: LeaderStatus, now: dt.datetime
) -> list[LogNote]:
    """Return a note on the lasting tasks that wait beside room, if one is due."""
    absent = {row.task.key: row for row in _find_absent_tasks(schedule, now)}
    watch.absent_since = {key: watch.absent_since.get(key, now) for key in absent}
    free = _collect_free_room(schedule)
    stages = {id(row.stage): row for row in absent.values()}
    roomy = {
        stage_id
        for stage_id, row in stages.items()
        if _has_room(free, row.job, row.stage)
    }
    room_since = {
        key: watch.room_since.get(key, now)
        for key, row in absent.items()
        if id(row.stage) in roomy
    }
    watch.room_since = room_since
    if watch.logged_at is not None and now - watch.logged_at < REPORT_INTERVAL:
        return []
    late = [
        key
        for key, since in room_since.items()
        if now - since >= MIN_ROOM_TIME and now - watch.absent_since[key] >= MIN_WAIT
    ]
    if not late:
        return []
    watch.logged_at = now
    worst = absent[min(late, key=lambda key: (room_since[key], key))]
    fields = {
        "term": schedule.term,
        "since_election_ms": schedule.ms_since_election(now),
        "count": len(late),
        "by_absence": dict(
            collections.Counter(
                _find_absence(schedule, absent[key], now).value for key in late
            )
        ),
        **_describe_task(watch, schedule, worst, free, now),
        "is_settled": schedule.is_settled,
        "may_act": status.may_act,
        "start_limit": round(schedule.start_window.limit, 1),
        "starts_in_flight": len(schedule.start_window.sent_at),
    }
    return [LogNote(Event.LASTING_TASK_BESIDE_ROOM, fields)]


def _collect_free_room(schedule: Schedule) -> FreeRoom:
    """Return the instances that callers take for usable."""
    free: FreeRoom = {}
    for state in schedule.instances.values():
        if _is_open(state):
            rows = free.setdefault(state.instance.upstream, [])
            rows.append((state.free_capacity.cpu, state))
    for rows in free.values():
        rows.sort(key=lambda row: row[0])
    return free


def _find_room(
    free: FreeRoom, job: JobState, stage: StageState
) -> t.Iterator[InstanceState]:
    """Return the instances with room for one more task of a stage."""
    rows = free.get(job.queue.upstream, [])
    first = bisect.bisect_left(rows, stage.spec.demand.cpu, key=lambda row: row[0])
    for _, state in itertools.islice(rows, first, None):
        if placement.is_suitable(state, job, stage) and placement.fits(state, stage):
            yield state


def _has_room(free: FreeRoom, job: JobState, stage: StageState) -> bool:
    """Whether callers count room for one more task of a stage."""
    found = itertools.islice(_find_room(free, job, stage), MIN_ROOMY_INSTANCES)
    return sum(1 for _ in found) == MIN_ROOMY_INSTANCES


def _is_open(state: InstanceState) -> bool:
    """Whether an instance is up, and nobody has asked for it to be emptied."""
    is_emptied = state.instance.is_draining or state.is_evacuated
    return usage.is_up(state) and not is_emptied


def _find_absent_tasks(schedule: Schedule, now: dt.datetime) -> t.Iterator[_AbsentTask]:
    for job, stage in placement.find_due_stages(schedule, now):
        if stage.spec.is_lasting:
            for index in sorted(stage.waiting_indexes):
                yield _AbsentTask(job, stage, stage.tasks[index])
    for state in schedule.instances.values():
        for run in state.runs.values():
            if not run.stage.is_lasting or (
                _is_heard(state) and run.phase is RunPhase.RUNNING
            ):
                continue
            job = schedule.jobs.get(run.key.job_id)
            if job is not None and not job.is_ended:
                stage = job.stages[run.key.occurrence, run.key.stage]
                yield _AbsentTask(job, stage, stage.tasks[run.key.index], run)


def _is_heard(state: InstanceState) -> bool:
    return state.is_reachable and state.is_listed


def _find_absence(schedule: Schedule, row: _AbsentTask, now: dt.datetime) -> Absence:
    if row.run is None:
        return Absence.WAITING
    if _is_heard(schedule.instances[row.run.instance_id]):
        is_ordered = row.run.phase is RunPhase.ORDERED
        return Absence.ORDERED if is_ordered else Absence.STOPPING
    late_end = _find_late_end(schedule, row.run)
    is_late = late_end is not None and now < late_end
    return Absence.LATE_START if is_late else Absence.HELD


def _find_late_end(schedule: Schedule, run: RunState) -> dt.datetime | None:
    state = schedule.instances[run.instance_id]
    return instance_tracking.find_late_end(schedule, state, run)


def _describe_task(
    watch: LastingWatch,
    schedule: Schedule,
    row: _AbsentTask,
    free: FreeRoom,
    now: dt.datetime,
) -> dict[str, t.Any]:
    """Describe the task that has waited longest beside room, and what keeps it."""
    key, spec = row.task.key, row.stage.spec
    roomy = list(_find_room(free, row.job, row.stage))
    obstacles = collections.Counter(
        obstacle.value if (obstacle := placement.find_obstacle(state, now)) else "none"
        for state in roomy
    )
    round_ = placement.PlacementRound(schedule, now, 0)
    late_end = _find_late_end(schedule, row.run) if row.run else None
    leases_end = (
        schedule.instances[row.run.instance_id].leases_end_at if row.run else None
    )
    return {
        "task": str(key),
        "absence": _find_absence(schedule, row, now).value,
        "absent_ms": to_ms(now - watch.absent_since[key]),
        "room_ms": to_ms(now - watch.room_since[key]),
        "cpu": spec.cpu,
        "memory_mb": spec.memory_mb,
        "gpu": spec.gpu,
        "held_by": row.run.instance_id if row.run else "",
        "leases_ms": to_ms(leases_end - now) if leases_end else None,
        "late_start_ms": to_ms(late_end - now) if late_end else None,
        "roomy": len(roomy),
        "obstacles": dict(obstacles),
        "is_startable": key.index in schedule.find_startable(row.job, row.stage),
        "held_back": placement.is_held_back(round_, row.stage, row.task),
    }

"""Applies the evacuation of availability zones to the schedule.

The load that this is built for: an operator takes a third of the instances away while
clients' load stays, maybe beside a burst. From then on nothing starts in the zone, and
what runs there runs on. Lasting tasks move to other zones one after the other, as long
as those have room to spare.
"""

import datetime as dt
import typing as t

from ..log import Event
from . import placement
from .evacuated_zones import Evacuations
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    LogNote,
    RunPhase,
    RunState,
    Schedule,
    StageState,
)
from .stopping import move_run

#: Shortest time between two moves. A move takes a task out of service for about 1 s, so
#: about three tasks of the whole schedule are out of service at a time.
MOVE_INTERVAL = dt.timedelta(milliseconds=300)
#: Further pause after no task has found room.
NO_ROOM_PAUSE = dt.timedelta(milliseconds=700)
#: Wait from which a task no longer holds up the moves: it may never find room.
MAX_HOLD_UP = dt.timedelta(seconds=5)
#: Share of an instance's processors that must be unused after a task has moved there:
#: the loads of serving tasks vary by as much.
MIN_UNUSED_SHARE = 0.25
#: Progress that a lasting task reports once it is in service.
IN_SERVICE_PERCENT = 100
#: Highest priority of the queues, whose tasks don't wait for room behind moves.
HIGHEST_PRIORITY = 0
#: Reason for a move, as logged.
MOVE_REASON = "its availability zone is evacuated"


def apply_evacuations(
    schedule: Schedule, evacuations: Evacuations, now: dt.datetime
) -> list[Effect]:
    """Take a newer view of the evacuated zones into account; ignore an older one."""
    known = schedule.evacuations
    if not evacuations.is_newer_than(known):
        return []
    schedule.evacuations = evacuations
    began, ended = (
        sorted(set(one.zones) - set(other.zones))
        for one, other in ((evacuations, known), (known, evacuations))
    )
    if not (began or ended):
        return []
    for zone in began:
        schedule.evacuated_since[zone] = now
    for state in schedule.instances.values():
        state.is_evacuated = state.instance.zone in evacuations.zones
    notes: list[Effect] = []
    notes += [_note(schedule, Event.ZONE_EVACUATED, zone) for zone in began]
    for zone in ended:
        since = schedule.evacuated_since.pop(zone, now)
        note = _note(schedule, Event.ZONE_TAKEN_BACK, zone)
        note.fields["after_s"] = round((now - since).total_seconds(), 1)
        notes.append(note)
    return notes


def _note(schedule: Schedule, event: Event, zone: str) -> LogNote:
    states = [s for s in schedule.instances.values() if s.instance.zone == zone]
    fields = {
        "availability_zone": zone,
        "revision": schedule.evacuations.revision,
        "instances": len(states),
        "runs": sum(len(state.runs) for state in states),
    }
    return LogNote(event, fields)


def move_lasting_task(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Stop one lasting task in an evacuated zone, so that it starts in another one.

    Does nothing if the last move was too recent or has found no room yet, while tasks
    of the highest priority wait, or if no instance has room to spare. Tasks that find
    no room run on.
    """
    last_move = schedule.evacuation_move_at
    if not schedule.evacuations.zones or not schedule.is_settled:
        return []
    if last_move is not None and now - last_move < MOVE_INTERVAL:
        return []
    schedule.evacuation_move_at = now
    if _is_work_waiting(schedule, now):
        return []
    usable = [
        state
        for state in schedule.instances.values()
        if placement.accepts_runs(state, now)
    ]
    # What has no room elsewhere has none for other tasks that need the same either.
    rejected: set[t.Hashable] = set()
    for run, job, stage in _find_movable_runs(schedule):
        need = _describe_need(job, stage)
        if need in rejected:
            continue
        if any(_has_room_to_spare(state, job, stage) for state in usable):
            return move_run(run, MOVE_REASON)
        rejected.add(need)
    schedule.evacuation_move_at = now + NO_ROOM_PAUSE
    return []


def _describe_need(job: JobState, stage: StageState) -> t.Hashable:
    spec = stage.spec
    own = id(stage) if spec.max_per_instance else 0
    return (
        job.queue.upstream,
        spec.required_label,
        spec.demand,
        spec.cpu,
        bool(spec.target_ms),
        own,
    )


def _is_work_waiting(schedule: Schedule, now: dt.datetime) -> bool:
    """Whether the last task that moved, or one of the highest priority, has no room."""
    if any(
        run.phase is RunPhase.STOPPING and run.stage.is_lasting
        for state in schedule.instances.values()
        if state.is_evacuated
        for run in state.runs.values()
    ):
        return True
    return any(
        stage.spec.is_lasting or job.queue.priority == HIGHEST_PRIORITY
        for job, stage in placement.find_due_stages(schedule, now)
        if _waits_for_less(stage, now)
    )


def _waits_for_less(stage: StageState, now: dt.datetime) -> bool:
    """Whether a stage has not waited so long that it may never find room."""
    tasks = (stage.tasks[index] for index in stage.waiting_indexes)
    since = min((task.waiting_since or now for task in tasks), default=now)
    return now - since < MAX_HOLD_UP


def _find_movable_runs(
    schedule: Schedule,
) -> list[tuple[RunState, JobState, StageState]]:
    """Return the lasting runs that may leave their zone, those to move first first.

    The more tasks a stage has, the less of its service one task is. Of tasks that are
    alike the small ones find room more easily.
    """
    found = []
    may_move: dict[int, bool] = {}
    for state in schedule.instances.values():
        if not state.is_evacuated:
            continue
        for run in state.runs.values():
            job = schedule.jobs.get(run.key.job_id)
            if job is None or job.is_ended or not run.stage.is_lasting:
                continue
            stage = job.stages[run.key.occurrence, run.key.stage]
            if id(stage) not in may_move:
                may_move[id(stage)] = _is_in_service(stage)
            if may_move[id(stage)]:
                found.append((run, job, stage))
    found.sort(key=lambda row: (-len(row[2].tasks), row[2].spec.cpu, row[0].key))
    return found


def _is_in_service(stage: StageState) -> bool:
    """Whether all tasks of a stage are at work, so that one of them may be away."""
    if stage.waiting_indexes or stage.spec.is_gang:
        return False
    return all(
        run.phase is RunPhase.RUNNING and run.percent >= IN_SERVICE_PERCENT
        for task in stage.tasks
        for run in task.runs
    )


def _has_room_to_spare(state: InstanceState, job: JobState, stage: StageState) -> bool:
    spec = stage.spec
    if not (placement.is_suitable(state, job, stage) and placement.fits(state, stage)):
        return False
    if spec.target_ms and not state.serving:
        # It may be one of those that placement keeps free of serving tasks.
        return False
    unused = placement.unused_cpu(state) - spec.cpu
    return unused >= MIN_UNUSED_SHARE * state.instance.capacity.cpu

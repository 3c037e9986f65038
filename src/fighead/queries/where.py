"""Explains where a job would go now and why, without sending or starting it.

Admission, order and choice are those of the scheduler's own functions.
"""

import collections
import datetime as dt
import typing as t

from attrs import evolve

from ..decisions import admission, job_lifecycle, placement, room, room_admission
from ..decisions.placement import PlacementRound, Preview
from ..decisions.room_admission import RoomGate
from ..decisions.schedule_state import InstanceState, JobState, Schedule, StageState
from ..decisions.waiting import WaitReason
from ..exceptions import UnknownNameError
from ..job import JobRecord, JobSpec
from .explanation import Choice, Explanation, FigureAges, InstanceGroup, Outcome

#: ID of a job that is only described. No client can choose it, and it sorts after all
#: others, so that the job comes last among equals.
DESCRIBED_JOB_ID = "~"
#: Instances that are named for each reason.
MAX_EXAMPLES = 5


def explain_described(
    schedule: Schedule, queue_name: str, spec: JobSpec, now: dt.datetime
) -> Explanation:
    """Explain where a job would go if it were submitted to a queue now.

    :raises UnknownNameError: If the queue isn't configured.
    """
    queue = schedule.config.find_queue(queue_name)
    if queue is None:
        raise UnknownNameError(
            f"There is no queue {queue_name[:80]!r}.",
            "Use the name of a configured queue.",
        )
    record = JobRecord(
        DESCRIBED_JOB_ID,
        queue.name,
        queue.upstream,
        spec,
        int(schedule.wall_time(now).timestamp() * 1000),
        queue,
        schedule.config.version,
        schedule.term,
    )
    changed = evolve(schedule, jobs=dict(schedule.jobs))
    # A revision above the fence marks a job that no earlier leader has known.
    job_lifecycle.add_job(changed, record, schedule.fence + 1, now)
    backlog = admission.find_backlog(schedule, now)
    refused_for = admission.find_retry_after(backlog, dt.timedelta(), queue.priority)
    found = _explain(changed, changed.jobs[DESCRIBED_JOB_ID], now)
    if refused_for is not None:
        return _refuse(found, "backlog", refused_for)
    work = room_admission.find_work_backlog(schedule, now)
    refusal = room_admission.find_refusal(RoomGate(), work, dt.timedelta(), queue, spec)
    if refusal is not None:
        return _refuse(found, "room", refusal.retry_after)
    return evolve(found, job="")


def _refuse(found: Explanation, reason: str, retry_after: dt.timedelta) -> Explanation:
    return evolve(
        found,
        job="",
        outcome=Outcome.REFUSED,
        reason=reason,
        retry_after_s=retry_after.total_seconds(),
    )


def explain_job(schedule: Schedule, job_id: str, now: dt.datetime) -> Explanation:
    """Explain where the waiting tasks of an accepted job would go now.

    :raises UnknownNameError: If the leader doesn't know the job, or it has ended.
    """
    job = schedule.jobs.get(job_id)
    if job is None or job.is_ended:
        phase = job.phase if job is not None else schedule.ended_phases.get(job_id)
        raise UnknownNameError(
            f"The job {job_id} has ended: {phase.value}."
            if phase is not None
            else f"The leader knows no job {job_id}.",
            "Use the ID of a job that has not ended.",
        )
    return _explain(schedule, job, now)


def _explain(schedule: Schedule, job: JobState, now: dt.datetime) -> Explanation:
    ranked = placement.rank_waiting_stages(schedule, now)
    place = next((n for n, (found, _) in enumerate(ranked) if found is job), None)
    window = schedule.start_window
    left = window.limit - len(window.sent_at)
    common = Explanation(
        Outcome.WAITS, "", job.job_id, job.queue.name, None, None,
        job.count_waiting_tasks(), 0, len(ranked), 0,
        None if left == float("inf") else max(0, int(left)), (), (),
        _measure_ages(schedule, now),
    )  # fmt: skip
    if place is None:
        return _explain_unranked(schedule, job, common, now)
    stage = ranked[place][1]
    round_ = PlacementRound(schedule, now, 0)
    preview = placement.preview_stage(round_, job, stage)
    reason = _find_wait(schedule, job, stage, preview, now)
    return evolve(
        common,
        outcome=Outcome.PLACED if reason is WaitReason.PLACEABLE else Outcome.WAITS,
        reason=reason.value,
        stage=stage.tasks[0].key.stage,
        tasks_waiting=len(schedule.find_startable(job, stage)),
        place=place + 1,
        tasks_ahead=sum(len(schedule.find_startable(*p)) for p in ranked[:place]),
        groups=_group_instances(schedule, job, stage, preview, now),
        chosen=tuple(
            Choice(str(key), name, preview.scores.get(name))
            for key, name in preview.chosen
        ),
    )


def _explain_unranked(
    schedule: Schedule, job: JobState, common: Explanation, now: dt.datetime
) -> Explanation:
    """Explain a job none of whose tasks may start now."""
    if schedule.leaves_to_later(job):
        return evolve(common, reason=WaitReason.LATER_LEADER.value)
    if any(found is job for found, _ in placement.find_due_stages(schedule, now)):
        return evolve(common, reason="unsettled")
    runs = tuple(Choice(str(run.key), run.instance_id, None) for run in job.runs())
    if runs:
        return evolve(common, outcome=Outcome.PLACED, reason="has_runs", chosen=runs)
    return evolve(common, reason="not_due")


def _find_wait(
    schedule: Schedule,
    job: JobState,
    stage: StageState,
    preview: Preview,
    now: dt.datetime,
) -> WaitReason:
    counts = room.count_room(schedule.instances.values(), job, stage, now)
    if preview.chosen:
        is_full = schedule.start_window.is_full
        return WaitReason.START_WINDOW if is_full else WaitReason.PLACEABLE
    if not counts.suitable:
        return WaitReason.NO_INSTANCE
    if not counts.fit:
        return WaitReason.NO_ROOM
    if not counts.roomy:
        return WaitReason.NO_UNUSED_CPU if stage.spec.is_filler else WaitReason.NO_ROOM
    if not counts.usable:
        return WaitReason.OBSTACLES
    if stage.spec.is_gang:
        startable = len(schedule.find_startable(job, stage))
        is_part = startable < len(stage.tasks)
        return WaitReason.PART_OF_GANG if is_part else WaitReason.NO_ROOM
    if stage.spec.target_ms:
        return WaitReason.HELD_BACK
    return WaitReason.INTERFERENCE


def _group_instances(
    schedule: Schedule,
    job: JobState,
    stage: StageState,
    preview: Preview,
    now: dt.datetime,
) -> tuple[InstanceGroup, ...]:
    names = collections.defaultdict(list)
    for instance_id, state in schedule.instances.items():
        names[_judge(state, job, stage, preview, now)].append(instance_id)
    return tuple(
        InstanceGroup(reason, len(found), tuple(sorted(found)[:MAX_EXAMPLES]))
        for reason, found in sorted(names.items(), key=lambda row: -len(row[1]))
    )


def _judge(
    state: InstanceState,
    job: JobState,
    stage: StageState,
    preview: Preview,
    now: dt.datetime,
) -> str:
    """Return the first reason against an instance, or that it is usable."""
    spec = stage.spec
    if state.instance.instance_id in preview.scores:
        is_elsewhere = spec.preferred_rack not in ("", *state.instance.labels)
        return "usable_other_rack" if is_elsewhere else "usable"
    if not placement.is_suitable(state, job, stage):
        is_same = state.instance.upstream == job.queue.upstream
        return "label" if is_same else "other_upstream"
    if not placement.fits(state, stage):
        has_room = state.has_room_for(spec.demand)
        return "limit_per_instance" if has_room else "full"
    obstacle = placement.find_obstacle(state, now)
    if obstacle is not None:
        return obstacle.value
    return "interference" if placement.has_room(state, stage) else "no_unused_cpu"


def _measure_ages(schedule: Schedule, now: dt.datetime) -> FigureAges:
    def age(at: dt.datetime | None) -> int | None:
        return None if at is None else int((now - at).total_seconds() * 1000)

    states: t.Iterable[InstanceState] = schedule.instances.values()
    listed = [s.listed_at for s in states if s.listed_at and s.is_reachable]
    newest, oldest = max(listed, default=None), min(listed, default=None)
    return FigureAges(age(newest), age(oldest), age(schedule.sole_at))

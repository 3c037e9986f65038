"""Judges instances by what their runs do, not by what they say of themselves.

The trouble this answers: instances that fail what they start, on which tasks
stand still, or that have become slow, while they go on sending heartbeats.
"""

import datetime as dt
import math

from ..job import Stage
from ..log import Event
from ..run import EndKind
from .schedule_state import (
    Effect,
    EndNote,
    InstanceState,
    JobState,
    Note,
    RunPhase,
    RunState,
    Schedule,
)
from .stopping import move_run

#: Time without any progress after which a run stands still: at least two
#: listings, which come once a second or more often.
STALL_TIME = dt.timedelta(milliseconds=1100)
#: Age from which a run is judged.
JUDGED_AGE = dt.timedelta(milliseconds=700)
#: Time for which an instance is suspected after the last sign.
SUSPICION_TIME = dt.timedelta(seconds=3)
#: Time in which failures are looked at.
FAILURE_WINDOW = dt.timedelta(seconds=5)
#: Distinct jobs with failed runs, and their share of all ends, from which an
#: instance counts as failing what it starts.
FAILING_JOBS = 2
FAILING_SHARE = 0.5
#: How many times longer than usual the runs of a slow instance take. The error
#: of an estimate is common to a stage, so several jobs have to agree.
SLOW_RATIO = 3.0
SLOW_JOBS = 2
#: Share of all instances that may be suspected at once.
MOST_SUSPECTED = 1 / 3
#: Progress in percent above which a run without checkpoints is left to end.
LEFT_TO_END = 50
#: Weight of a run in the usual pace of its queue.
PACE_WEIGHT = 0.05


def is_suspect(state: InstanceState, now: dt.datetime) -> bool:
    """Whether an instance is given no new runs."""
    return state.suspect_until is not None and now < state.suspect_until


def is_proven(state: InstanceState) -> bool:
    """Whether the last run that ended on an instance was done."""
    return bool(state.ends) and state.ends[-1].is_done


def note_end(
    schedule: Schedule,
    state: InstanceState,
    job: JobState,
    run: RunState,
    kind: EndKind,
    now: dt.datetime,
) -> None:
    """Take in the end of a run."""
    if kind not in (EndKind.DONE, EndKind.FAILED):
        return
    state.ends.append(EndNote(now, job.job_id, kind is EndKind.DONE))
    if kind is EndKind.DONE and not run.stage.is_filler and run.confirmed_at:
        took = now - run.confirmed_at
        _learn_pace(schedule, job.record.queue, run.stage, took)


def _learn_pace(
    schedule: Schedule, queue: str, stage: Stage, took: dt.timedelta
) -> None:
    if stage.estimate_ms <= 0:
        return
    ratio = max(took / dt.timedelta(milliseconds=stage.estimate_ms), 0.01)
    usual = schedule.usual_pace.get(queue, 0.0)
    usual += PACE_WEIGHT * (math.log(ratio) - usual)
    schedule.usual_pace[queue] = usual


def judge(schedule: Schedule, state: InstanceState, now: dt.datetime) -> list[Effect]:
    """Suspect an instance, or trust it again, by its latest listing."""
    judged = [run for run in state.runs.values() if _is_judged(run, now)]
    reason = (
        _explain_failures(state, now)
        or _explain_stall(judged, now)
        or _explain_slowness(schedule, judged)
    )
    if not reason:
        return _trust(state, now)
    effects: list[Effect] = []
    if not is_suspect(state, now):
        if not _may_suspect(schedule, now):
            return []
        fields = {"instance": state.instance.instance_id, "reason": reason}
        effects.append(Note(Event.INSTANCE_SUSPECTED, fields))
    state.suspect_until, state.suspicion = now + SUSPICION_TIME, reason
    if reason != FAILING:
        effects += [effect for run in judged for effect in _move(run, reason)]
    return effects


FAILING = "its runs fail"
STALLED = "its runs stand still"
SLOW = "its runs are slow"


def _is_judged(run: RunState, now: dt.datetime) -> bool:
    return (
        run.phase is RunPhase.RUNNING
        and not run.stage.is_lasting
        and run.pace == 100
        and run.first_at is not None
        and now - run.first_at >= JUDGED_AGE
        and not (run.stage.is_filler and run.usage < run.stage.cpu * 0.7)
    )


def _explain_failures(state: InstanceState, now: dt.datetime) -> str:
    recent = [end for end in state.ends if now - end.at <= FAILURE_WINDOW]
    failed = [end for end in recent if not end.is_done]
    jobs = {end.job_id for end in failed}
    is_failing = len(jobs) >= FAILING_JOBS and (
        len(failed) >= FAILING_SHARE * len(recent)
    )
    return FAILING if is_failing else ""


def _explain_stall(judged: list[RunState], now: dt.datetime) -> str:
    if not judged:
        return ""
    is_stalled = all(
        run.progressed_at is not None and now - run.progressed_at >= STALL_TIME
        for run in judged
    )
    return STALLED if is_stalled else ""


def _explain_slowness(schedule: Schedule, judged: list[RunState]) -> str:
    ratios: dict[str, float] = {}
    for run in judged:
        ratio = None if run.stage.is_filler else _slowdown(schedule, run)
        if ratio is not None:
            least = ratios.get(run.key.job_id, ratio)
            ratios[run.key.job_id] = min(ratio, least)
    is_slow = len(ratios) >= SLOW_JOBS and min(ratios.values()) >= SLOW_RATIO
    return SLOW if is_slow else ""


def _slowdown(schedule: Schedule, run: RunState) -> float | None:
    """Return how many times longer than usual a run will take."""
    estimate_ms, first_at = run.stage.estimate_ms, run.first_at
    if not estimate_ms or first_at is None or run.progressed_at is None:
        return None
    seen = run.progressed_at - first_at
    gained = run.percent - run.first_percent
    if gained <= 0 or seen < JUDGED_AGE / 2:
        return None
    whole = seen * 100 / gained
    queue = schedule.jobs[run.key.job_id].record.queue
    usual = math.exp(schedule.usual_pace.get(queue, 0.0))
    return whole / (dt.timedelta(milliseconds=estimate_ms) * usual)


def _may_suspect(schedule: Schedule, now: dt.datetime) -> bool:
    suspected = sum(is_suspect(s, now) for s in schedule.instances.values())
    return suspected < len(schedule.instances) * MOST_SUSPECTED


def _trust(state: InstanceState, now: dt.datetime) -> list[Effect]:
    if not state.suspicion or is_suspect(state, now):
        return []
    state.suspicion = ""
    fields = {"instance": state.instance.instance_id}
    return [Note(Event.INSTANCE_TRUSTED, fields)]


def _move(run: RunState, reason: str) -> list[Effect]:
    """Stop a run so that it goes on elsewhere, if little work is lost."""
    if not run.stage.is_checkpointed and run.percent > LEFT_TO_END:
        return []
    return move_run(run, reason)

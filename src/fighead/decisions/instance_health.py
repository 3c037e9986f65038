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
STALL_TIMEOUT = dt.timedelta(milliseconds=1100)
#: Age from which a run is measurable.
MIN_OBSERVATION_TIME = dt.timedelta(milliseconds=700)
#: Time for which an instance is suspected after the last sign.
SUSPECT_TIME = dt.timedelta(seconds=3)
#: Time in which failures are looked at.
FAILURE_WINDOW = dt.timedelta(seconds=5)
#: Distinct jobs with failed runs, and their share of all ends, from which an
#: instance counts as failing what it starts.
MIN_FAILING_JOBS = 2
MIN_FAILING_SHARE = 0.5
#: How many times longer than usual the runs of a slow instance take. The error
#: of an estimate is common to a stage, so several jobs have to agree.
MIN_SLOWDOWN = 3.0
MIN_SLOW_JOBS = 2
#: Share of all instances that may be suspected at once.
MAX_SUSPECTED_SHARE = 1 / 3
#: Progress in percent above which a run without checkpoints is left to end.
MAX_REPEATED_PERCENT = 50
#: Weight of a run in the usual pace of its queue.
RATIO_SMOOTHING_FACTOR = 0.05


def is_suspect(state: InstanceState, now: dt.datetime) -> bool:
    """Whether an instance is given no new runs."""
    return state.suspect_until is not None and now < state.suspect_until


def is_proven(state: InstanceState) -> bool:
    """Whether the last run that ended on an instance was done."""
    return bool(state.ends) and state.ends[-1].is_done


def record_end(
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
        _update_duration_ratio(schedule, job.record.queue, run.stage, took)


def _update_duration_ratio(
    schedule: Schedule, queue: str, stage: Stage, took: dt.timedelta
) -> None:
    if stage.estimate_ms <= 0:
        return
    ratio = max(took / dt.timedelta(milliseconds=stage.estimate_ms), 0.01)
    usual = schedule.log_duration_ratios.get(queue, 0.0)
    usual += RATIO_SMOOTHING_FACTOR * (math.log(ratio) - usual)
    schedule.log_duration_ratios[queue] = usual


def judge(schedule: Schedule, state: InstanceState, now: dt.datetime) -> list[Effect]:
    """Suspect an instance, or trust it again, by its latest listing."""
    measurable = [run for run in state.runs.values() if _is_measurable(run, now)]
    reason = (
        _failure_reason(state, now)
        or _stall_reason(measurable, now)
        or _slowness_reason(schedule, measurable)
    )
    if not reason:
        return _clear_suspicion(state, now)
    effects: list[Effect] = []
    if not is_suspect(state, now):
        if not _may_suspect(schedule, now):
            return []
        fields = {"instance": state.instance.instance_id, "reason": reason}
        effects.append(Note(Event.INSTANCE_SUSPECTED, fields))
    state.suspect_until, state.suspect_reason = now + SUSPECT_TIME, reason
    if reason != FAILING_REASON:
        effects += [
            effect for run in measurable for effect in _move_run_if_cheap(run, reason)
        ]
    return effects


FAILING_REASON = "its runs fail"
STALLED_REASON = "its runs stand still"
SLOW_REASON = "its runs are slow"


def _is_measurable(run: RunState, now: dt.datetime) -> bool:
    return (
        run.phase is RunPhase.RUNNING
        and not run.stage.is_lasting
        and run.pace == 100
        and run.first_listed_at is not None
        and now - run.first_listed_at >= MIN_OBSERVATION_TIME
        and not (run.stage.is_filler and run.usage < run.stage.cpu * 0.7)
    )


def _failure_reason(state: InstanceState, now: dt.datetime) -> str:
    recent = [end for end in state.ends if now - end.at <= FAILURE_WINDOW]
    failed = [end for end in recent if not end.is_done]
    jobs = {end.job_id for end in failed}
    is_failing = len(jobs) >= MIN_FAILING_JOBS and (
        len(failed) >= MIN_FAILING_SHARE * len(recent)
    )
    return FAILING_REASON if is_failing else ""


def _stall_reason(measurable: list[RunState], now: dt.datetime) -> str:
    if not measurable:
        return ""
    is_stalled = all(
        run.progressed_at is not None and now - run.progressed_at >= STALL_TIMEOUT
        for run in measurable
    )
    return STALLED_REASON if is_stalled else ""


def _slowness_reason(schedule: Schedule, measurable: list[RunState]) -> str:
    ratios: dict[str, float] = {}
    for run in measurable:
        ratio = None if run.stage.is_filler else _estimate_slowdown(schedule, run)
        if ratio is not None:
            least = ratios.get(run.key.job_id, ratio)
            ratios[run.key.job_id] = min(ratio, least)
    is_slow = len(ratios) >= MIN_SLOW_JOBS and min(ratios.values()) >= MIN_SLOWDOWN
    return SLOW_REASON if is_slow else ""


def _estimate_slowdown(schedule: Schedule, run: RunState) -> float | None:
    """Return how many times longer than usual a run will take."""
    estimate_ms, first_listed_at = run.stage.estimate_ms, run.first_listed_at
    if not estimate_ms or first_listed_at is None or run.progressed_at is None:
        return None
    seen = run.progressed_at - first_listed_at
    gained = run.percent - run.first_listed_percent
    if gained <= 0 or seen < MIN_OBSERVATION_TIME / 2:
        return None
    whole = seen * 100 / gained
    queue = schedule.jobs[run.key.job_id].record.queue
    usual = math.exp(schedule.log_duration_ratios.get(queue, 0.0))
    return whole / (dt.timedelta(milliseconds=estimate_ms) * usual)


def _may_suspect(schedule: Schedule, now: dt.datetime) -> bool:
    suspected = sum(is_suspect(s, now) for s in schedule.instances.values())
    return suspected < len(schedule.instances) * MAX_SUSPECTED_SHARE


def _clear_suspicion(state: InstanceState, now: dt.datetime) -> list[Effect]:
    if not state.suspect_reason or is_suspect(state, now):
        return []
    state.suspect_reason = ""
    fields = {"instance": state.instance.instance_id}
    return [Note(Event.INSTANCE_TRUSTED, fields)]


def _move_run_if_cheap(run: RunState, reason: str) -> list[Effect]:
    """Stop a run so that it goes on elsewhere, if little work is lost."""
    if not run.stage.is_checkpointed and run.percent > MAX_REPEATED_PERCENT:
        return []
    return move_run(run, reason)

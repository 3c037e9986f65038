"""Detects unhealthy instances from the progress and outcomes of their runs.

Heartbeats are not enough: an instance may keep sending them while its runs fail, make
no progress or have become slow.
"""

import datetime as dt
import math

from ..job import Stage
from ..log import Event
from ..run import EndKind
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    LogNote,
    RecentEnd,
    RunPhase,
    RunState,
    Schedule,
)
from .stopping import move_run

#: Time without progress after which a run counts as stalled. It spans at least two
#: listings, which arrive at least once a second.
STALL_TIMEOUT = dt.timedelta(milliseconds=1100)
#: Time since its first listing after which a run is included in the assessment.
MIN_OBSERVATION_TIME = dt.timedelta(milliseconds=700)
#: How long an instance stays suspect after the latest symptom.
SUSPECT_TIME = dt.timedelta(seconds=3)
#: Period in which run ends count towards the failure share.
FAILURE_WINDOW = dt.timedelta(seconds=5)
#: Number of distinct jobs with failed runs, and share of failed runs among recent
#: ends, from which an instance counts as failing.
MIN_FAILING_JOBS = 2
MIN_FAILING_SHARE = 0.5
#: Ratio of projected to typical run time, and number of jobs that must reach it, from
#: which an instance counts as slow. A wrong estimate affects all runs of a stage, so
#: one job is not enough evidence.
MIN_SLOWDOWN = 3.0
MIN_SLOW_JOBS = 2
#: Share of suspect instances from which no further one becomes suspect.
MAX_SUSPECTED_SHARE = 1 / 3
#: Progress in percent above which a run without checkpoints is left to finish rather
#: than repeated elsewhere.
MAX_REPEATED_PERCENT = 50
#: Weight of each new run in the moving average of its queue's duration ratio.
RATIO_SMOOTHING_FACTOR = 0.05


def is_suspect(state: InstanceState, now: dt.datetime) -> bool:
    """Whether an instance gets no new runs because it looks unhealthy."""
    return state.suspect_until is not None and now < state.suspect_until


def last_run_succeeded(state: InstanceState) -> bool:
    """Whether the most recent run to end on an instance succeeded."""
    return bool(state.recent_ends) and state.recent_ends[-1].is_done


def record_end(
    schedule: Schedule,
    state: InstanceState,
    job: JobState,
    run: RunState,
    kind: EndKind,
    now: dt.datetime,
) -> None:
    """Record the outcome of a run, and its duration if it succeeded.

    Runs that neither succeeded nor failed are ignored. Fillers don't count towards
    the typical duration.
    """
    if kind not in (EndKind.DONE, EndKind.FAILED):
        return
    state.recent_ends.append(RecentEnd(now, job.job_id, kind is EndKind.DONE))
    if kind is EndKind.DONE and not run.stage.is_filler and run.confirmed_at:
        took = now - run.confirmed_at
        _update_duration_ratio(schedule, job.record.queue, run.stage, took)


def _update_duration_ratio(
    schedule: Schedule, queue: str, stage: Stage, took: dt.timedelta
) -> None:
    if stage.estimate_ms <= 0:
        return
    ratio = max(took / dt.timedelta(milliseconds=stage.estimate_ms), 0.01)
    average = schedule.log_duration_ratios.get(queue, 0.0)
    average += RATIO_SMOOTHING_FACTOR * (math.log(ratio) - average)
    schedule.log_duration_ratios[queue] = average


def update_suspicion(
    schedule: Schedule, state: InstanceState, now: dt.datetime
) -> list[Effect]:
    """Mark an instance as suspect, or clear the mark, after a listing.

    Runs on a stalled or slow instance are moved if that repeats little work. No
    further instance becomes suspect while ``MAX_SUSPECTED_SHARE`` of them are.
    """
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
        effects.append(LogNote(Event.INSTANCE_SUSPECTED, fields))
    state.suspect_until, state.suspect_reason = now + SUSPECT_TIME, reason
    if reason != FAILING_REASON:
        effects += [
            effect for run in measurable for effect in _move_run_if_cheap(run, reason)
        ]
    return effects


#: Reasons for suspecting an instance, as logged.
FAILING_REASON = "its runs fail"
STALLED_REASON = "its runs stand still"
SLOW_REASON = "its runs are slow"


def _is_measurable(run: RunState, now: dt.datetime) -> bool:
    """Whether the progress of a run shows how healthy its instance is.

    Lasting and paced runs are excluded, and so are fillers that use less than 70 % of
    the processors they ask for.
    """
    return (
        run.phase is RunPhase.RUNNING
        and not run.stage.is_lasting
        and run.pace_percent == 100
        and run.first_listed_at is not None
        and now - run.first_listed_at >= MIN_OBSERVATION_TIME
        and not (run.stage.is_filler and run.usage < run.stage.cpu * 0.7)
    )


def _failure_reason(state: InstanceState, now: dt.datetime) -> str:
    recent = [end for end in state.recent_ends if now - end.at <= FAILURE_WINDOW]
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
    """Return the projected run time as a multiple of the queue's typical run time.

    Returns ``None`` if there is no estimate or too little progress to project from.
    """
    estimate_ms, first_listed_at = run.stage.estimate_ms, run.first_listed_at
    if not estimate_ms or first_listed_at is None or run.progressed_at is None:
        return None
    elapsed = run.progressed_at - first_listed_at
    gained = run.percent - run.first_listed_percent
    if gained <= 0 or elapsed < MIN_OBSERVATION_TIME / 2:
        return None
    run_time = elapsed * 100 / gained
    queue = schedule.jobs[run.key.job_id].record.queue
    typical_ratio = math.exp(schedule.log_duration_ratios.get(queue, 0.0))
    return run_time / (dt.timedelta(milliseconds=estimate_ms) * typical_ratio)


def _may_suspect(schedule: Schedule, now: dt.datetime) -> bool:
    registered = [s for s in schedule.instances.values() if s.is_registered]
    suspected = sum(is_suspect(state, now) for state in registered)
    return suspected < len(registered) * MAX_SUSPECTED_SHARE


def _clear_suspicion(state: InstanceState, now: dt.datetime) -> list[Effect]:
    if not state.suspect_reason or is_suspect(state, now):
        return []
    state.suspect_reason = ""
    fields = {"instance": state.instance.instance_id}
    return [LogNote(Event.INSTANCE_TRUSTED, fields)]


def _move_run_if_cheap(run: RunState, reason: str) -> list[Effect]:
    """Stop a run so that its task continues elsewhere, if that repeats little work."""
    if not run.stage.is_checkpointed and run.percent > MAX_REPEATED_PERCENT:
        return []
    return move_run(run, reason)

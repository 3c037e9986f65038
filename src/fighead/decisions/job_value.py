"""Estimates whether a job can still end in time, and the value of its work."""

import datetime as dt
import enum

from ..job import Stage
from .schedule_state import JobState

#: A late job has some value until it has taken this many times its objective, as
#: the payoff rules define.
LATE_FACTOR = 3
#: The value of a job is BASE_VALUE + WORK_VALUE * work / AVERAGE_WORK_CORE_S, so a
#: job of average work has a value of 1.
BASE_VALUE = 0.3
WORK_VALUE = 0.7
AVERAGE_WORK_CORE_S = 100.0
#: Lower bound of the remaining work in the value per core second: a job with less
#: left counts as almost done.
MIN_WORK_CORE_S = 1.0


class Timeliness(enum.IntEnum):
    """The best that a job can still achieve; better ones sort first."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


def timeliness_of(job: JobState, now: dt.datetime) -> Timeliness:
    """Return what a job achieves if all of its tasks can start without delay.

    A job that repeats or runs until cancelled has no single end, and counts as in
    time.
    """
    spec = job.record.spec
    if job.accepted_at is None or spec.occurrences:
        return Timeliness.IN_TIME
    if any(stage.is_lasting for stage in spec.stages):
        return Timeliness.IN_TIME
    # In numbers, since estimates of clients may exceed the range of dates.
    elapsed_ms = (now - job.accepted_at) / dt.timedelta(milliseconds=1)
    needed_ms = elapsed_ms + remaining_critical_path_ms(job)
    objective_ms = job.queue.objective_ms(spec)
    if needed_ms <= objective_ms:
        return Timeliness.IN_TIME
    if needed_ms <= LATE_FACTOR * objective_ms:
        return Timeliness.LATE
    return Timeliness.WORTHLESS


def remaining_critical_path_ms(job: JobState) -> int:
    """Return the estimated run time of the critical path of unfinished stages.

    Only the first occurrence is considered, and a stage counts in full until all of
    its tasks are done.
    """
    ends: list[int] = []
    for number, stage in enumerate(job.record.spec.stages):
        begin = max((ends[predecessor] for predecessor in stage.after), default=0)
        is_done = job.stages[0, number].is_done
        ends.append(begin + (0 if is_done else stage.estimate_ms))
    return max(ends, default=0)


def task_work_core_s(stage: Stage) -> float:
    """Return the estimated work of one task of a stage, in core seconds."""
    return stage.cpu * stage.estimate_ms / 1e6


def value_per_core_s(job: JobState) -> float:
    """Return the value of a job per core second of its remaining work."""
    total = remaining = 0.0
    for state in job.stages.values():
        work = task_work_core_s(state.spec)
        total += work * len(state.tasks)
        remaining += work * (len(state.tasks) - state.done_count)
    value = BASE_VALUE + WORK_VALUE * total / AVERAGE_WORK_CORE_S
    return value / max(remaining, MIN_WORK_CORE_S)

"""What a job can still be: in time, late or worthless; and what it is worth."""

import datetime as dt
import enum

from ..job import Stage
from .schedule_state import JobState

#: A job is late up to this many times its objective, by the page on payoff.
LATE_FACTOR = 3
#: Value of a job of average work, and what each further share of it adds.
BASE_VALUE = 0.3
WORK_VALUE = 0.7
#: Work of a job that counts as average, in core seconds.
AVERAGE_WORK = 100.0
#: Work below which a job counts as all but done, in core seconds.
LEAST_WORK = 1.0


class Prospect(enum.IntEnum):
    """What a job can still be; the better ones come first."""

    IN_TIME = 0
    LATE = 1
    WORTHLESS = 2


def prospect_of(job: JobState, now: dt.datetime) -> Prospect:
    """Return what a job can be if all of its tasks could start now.

    A job that repeats or lasts has no single end, and counts as in time.
    """
    spec = job.record.spec
    if job.accepted_at is None or spec.occurrences:
        return Prospect.IN_TIME
    if any(stage.is_lasting for stage in spec.stages):
        return Prospect.IN_TIME
    end = now + dt.timedelta(milliseconds=remaining_chain_ms(job))
    objective = dt.timedelta(milliseconds=job.queue.objective_ms(spec))
    if end <= job.accepted_at + objective:
        return Prospect.IN_TIME
    if end <= job.accepted_at + LATE_FACTOR * objective:
        return Prospect.LATE
    return Prospect.WORTHLESS


def remaining_chain_ms(job: JobState) -> int:
    """Return the estimated time of the longest chain that is not done."""
    ends: list[int] = []
    for number, stage in enumerate(job.record.spec.stages):
        begin = max((ends[before] for before in stage.after), default=0)
        is_done = job.stages[0, number].is_done
        ends.append(begin + (0 if is_done else stage.estimate_ms))
    return max(ends, default=0)


def work_of(stage: Stage) -> float:
    """Return the estimated work of one task of a stage, in core seconds."""
    return stage.cpu * stage.estimate_ms / 1e6


def density_of(job: JobState) -> float:
    """Return what a job is worth for each core second that is left of it."""
    whole = left = 0.0
    for state in job.stages.values():
        work = work_of(state.spec)
        whole += work * len(state.tasks)
        left += work * (len(state.tasks) - state.done_count)
    value = BASE_VALUE + WORK_VALUE * whole / AVERAGE_WORK
    return value / max(left, LEAST_WORK)

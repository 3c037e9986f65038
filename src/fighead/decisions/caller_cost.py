"""Ranks waiting jobs by what it costs their callers if they wait longer.

The load that this is built for: more accepted work than room, for seconds at a time. A
job has its full value until its objective, a part of it until three times that, and
none later. Room goes first to jobs that can still be in time, and among those to the
most value for the work that is left. What waits is what loses least by it: jobs
that are late already, of those the ones with time to spare, and last those without
value. Jobs whose clients estimate too little are taken for what they turn out to need.
"""

import datetime as dt
import enum
import math

from attrs import frozen

from ..job import JobSpec, Queue
from . import job_value
from .job_value import LATE_FACTOR
from .schedule_state import JobState, Schedule

#: Time for which a task that finds no room now waits at least: about as long as a quick
#: task runs, whose end frees the next room.
HORIZON = dt.timedelta(milliseconds=500)
#: Bounds of the factor by which estimates are corrected.
MIN_FACTOR, MAX_FACTOR = 0.5, 2.0


class Urgency(enum.IntEnum):
    """What a job can still achieve; what loses most by waiting comes first."""

    IN_TIME = 0
    #: It is late, and would have no value any more after :data:`HORIZON`.
    LAST_CHANCE = 1
    LATE = 2
    WORTHLESS = 3


@frozen(order=True)
class WaitCost:
    """Rank of a waiting job; lower ones start first.

    :param priority: Priority of its queue, which goes before all else.
    :param lost_value: Its value for each core second of its remaining work, negative.
    """

    priority: int
    urgency: Urgency
    lost_value: float
    job_id: str


def find_estimate_factor(schedule: Schedule, queue: str) -> float:
    """Return by what the estimates of a queue's clients are to be multiplied.

    It is learned from the run times of the queue's tasks.
    """
    factor = math.exp(schedule.log_duration_ratios.get(queue, 0.0))
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)


def cost_of_waiting(job: JobState, now: dt.datetime, factor: float = 1.0) -> WaitCost:
    """Return the rank of a job among those that wait for room.

    :param factor: See :func:`find_estimate_factor`.
    """
    return WaitCost(
        job.queue.priority,
        find_urgency(job, now, factor),
        -job_value.value_per_core_s(job),
        job.job_id,
    )


def find_urgency(job: JobState, now: dt.datetime, factor: float = 1.0) -> Urgency:
    """Return how urgent a job is if all of its tasks could start without delay.

    One that repeats or runs until cancelled has no single end, and counts as in time.
    """
    spec = job.record.spec
    if job.accepted_at is None or earns_while_it_runs(spec):
        return Urgency.IN_TIME
    # In numbers, since estimates of clients may exceed the range of dates.
    elapsed_ms = (now - job.accepted_at) / dt.timedelta(milliseconds=1)
    needed_ms = elapsed_ms + factor * job_value.remaining_critical_path_ms(job)
    objective_ms = find_objective_ms(job.queue, spec, factor)
    if needed_ms <= objective_ms:
        return Urgency.IN_TIME
    spare_ms = LATE_FACTOR * objective_ms - needed_ms
    if spare_ms < 0:
        return Urgency.WORTHLESS
    is_last = spare_ms < HORIZON / dt.timedelta(milliseconds=1)
    return Urgency.LAST_CHANCE if is_last else Urgency.LATE


def earns_while_it_runs(spec: JobSpec) -> bool:
    """Whether a job has no single end by which it earns."""
    return bool(spec.occurrences) or any(stage.is_lasting for stage in spec.stages)


def find_objective_ms(queue: Queue, spec: JobSpec, factor: float = 1.0) -> float:
    """Return the duration after which a job counts as late."""
    return queue.slack_factor * factor * spec.critical_path_ms() + queue.target_ms


def waiting_work_core_s(job: JobState, factor: float) -> float:
    """Return the work of a job's tasks that have no run and are not done."""
    return factor * math.fsum(
        job_value.task_work_core_s(stage.spec) * len(stage.waiting_indexes)
        for stage in job.stages.values()
    )

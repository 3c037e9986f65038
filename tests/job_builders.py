"""Builders of schedules, jobs and listings for tests of the job decisions."""

import datetime as dt
import math

from fighead.decisions import instance_tracking, job_lifecycle, run_updates
from fighead.decisions.schedule_state import Order, Schedule
from fighead.decisions.start_window import StartWindow
from fighead.job import Demand, JobConfig, JobRecord, JobSpec, Queue, Stage, TaskKey
from fighead.run import EndKind, ListedRun, Listing, RegisteredInstance, RunEnd

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
LEASE = dt.timedelta(seconds=6)
JOB_ID = "5c0e7a21d94b36f8"
QUEUE = Queue("plans", "a.example", "/p/", "mill", 2, 2, 2.0, 1000)


def at_seconds(count):
    return START + dt.timedelta(seconds=count)


def make_schedule(instances=("i1",), queue=QUEUE, term=1, capacity=None):
    """Return a schedule with no limit of starts in flight."""
    schedule = Schedule(term, term, START, start_window=StartWindow(limit=math.inf))
    schedule.config = JobConfig(1, (queue,), ("mill",))
    for number, name in enumerate(instances):
        add_instance(schedule, name, capacity, f"r{number}")
    schedule.is_settled = True
    return schedule


def add_instance(schedule, name, capacity=None, rack="r1", **fields):
    capacity = capacity or Demand(64000, 256000, 0)
    instance = RegisteredInstance(
        name, "1", "10.0.0.1:80", "mill", "z", capacity, ("a", rack), **fields
    )
    instance_tracking.add_instance(schedule, instance, START)
    state = schedule.instances[name]
    state.is_reachable = state.is_listed = state.is_in_stored_fleet = True
    return state


def add_job(schedule, *stages, job_id=JOB_ID, progress=None, **spec):
    stages = stages or (Stage(cpu=1000, memory_mb=100, estimate_ms=1000),)
    queue = schedule.config.queues[0]
    record = JobRecord(
        job_id,
        queue.name,
        "mill",
        JobSpec("text", stages, **spec),
        int(START.timestamp() * 1000),
    )
    job_lifecycle.add_job(schedule, record, 7, START, progress, 9 if progress else 0)
    return schedule.jobs[job_id]


def task_key(index=0, stage=0, occurrence=0, job_id=JOB_ID):
    return TaskKey(job_id, occurrence, stage, index)


def listed_run(task, number, percent=10, usage=0, checkpoint=""):
    return ListedRun(task, number, checkpoint, percent, usage)


def ended_run(sequence, task, number, kind=EndKind.DONE, checkpoint=""):
    return RunEnd(sequence, task, number, kind, checkpoint)


def receive_listing(schedule, name, running=(), ended=(), at=1.0, sent=None):
    """Apply a listing received ``at`` seconds after ``START``.

    :param sent: When it was requested, in seconds after ``START``; default ``at``.
    """
    state = schedule.instances[name]
    listing = Listing(1000, tuple(running), tuple(ended))
    sent_at = at_seconds(at if sent is None else sent)
    return run_updates.apply_listing(schedule, state, listing, sent_at, at_seconds(at))


def orders_in(effects):
    return [effect.order for effect in effects if isinstance(effect, Order)]

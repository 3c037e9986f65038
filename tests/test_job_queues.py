"""The settings of a job's queue, as its entry, its leader and their successors know."""

import pytest
from attrs import evolve

from fighead.codec import from_json, from_wire, to_json, to_wire
from fighead.decisions import job_lifecycle, placement
from fighead.job import JobConfig, JobPhase, JobRecord, JobSpec, Queue, Stage
from fighead.job_message import JOB_MESSAGES, JobTold
from fighead.run import EndKind
from job_builders import (
    QUEUE,
    add_job,
    at_seconds,
    ended_run,
    make_schedule,
    orders_in,
    receive_listing,
    task_key,
)
from job_cluster import QUEUES, JobCluster

ADDED = Queue("added", "a.example", "/n/", "mill", 0, 3, 2.0, 1000)
CONFIG = JobConfig(4, (*QUEUES, ADDED), ("mill",))
SHORT_JOB = JobSpec("x", (Stage(cpu=1000, estimate_ms=500),))


def job_id(number):
    return f"{number:016x}"


@pytest.fixture
def cluster():
    cluster = JobCluster()
    cluster.advance(2)
    cluster.failing_tasks.add((job_id(1), 0))
    return cluster


def put_config(cluster, config):
    cluster.store.put("op/config", to_json(config))


def count_failed_runs(cluster):
    return sum(event.event == "failed" for event in cluster.history)


# Failure: the leader takes a job before it has the job's queue, and fails the job after
# its first failed run.
def test_a_job_that_the_leader_takes_before_its_queue_gets_all_its_attempts(cluster):
    leader = cluster.leader()
    entry = next(name for name in cluster.entries if name != leader)
    store = cluster.entries[leader].store
    store.is_cut = store.is_watch_silent = True
    put_config(cluster, CONFIG)
    cluster.advance(0.1)
    cluster.submit(job_id(1), SHORT_JOB, entry=entry, queue=ADDED)
    cluster.advance(0.9)
    store.is_cut = store.is_watch_silent = False
    cluster.advance(10)
    assert cluster.find_phase(job_id(1)) is JobPhase.FAILED
    assert count_failed_runs(cluster) == 3


# Failure: a new leader restores a job while its queue is absent, and keeps the least
# number of attempts when the queue is back.
def test_a_job_whose_queue_is_absent_at_an_election_gets_all_its_attempts(cluster):
    put_config(cluster, CONFIG)
    cluster.advance(0.5)
    cluster.specs[job_id(1)] = SHORT_JOB
    cluster.submit(job_id(1), SHORT_JOB, queue=ADDED)
    cluster.advance(0.2)
    put_config(cluster, JobConfig(5, QUEUES, ("mill",)))
    cluster.kill_entries(cluster.leader())
    cluster.advance(4)
    put_config(cluster, evolve(CONFIG, version=6))
    cluster.advance(10)
    assert cluster.find_phase(job_id(1)) is JobPhase.FAILED
    assert count_failed_runs(cluster) == 3


def fail_once(schedule, number=1):
    """Start the waiting task, and let its run fail."""
    (order,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(number)))
    failed = ended_run(number, task_key(), order.number, EndKind.FAILED)
    receive_listing(schedule, "i1", ended=[failed], at=number)


def test_the_queues_of_accepted_jobs_follow_the_configuration():
    schedule = make_schedule()
    job = add_job(schedule)
    changed = evolve(QUEUE, priority=0, max_attempts=5)
    job_lifecycle.apply_config(schedule, JobConfig(2, (changed,), ("mill",)))
    assert job.queue == changed
    job_lifecycle.apply_config(schedule, JobConfig(3, (), ("mill",)))
    assert job.queue == changed


def test_a_job_accepted_under_a_later_configuration_has_the_queue_of_then():
    schedule = make_schedule()
    accepted = evolve(QUEUE, max_attempts=5)
    record = JobRecord(job_id(1), "plans", "mill", SHORT_JOB, 0, accepted, 2)
    job_lifecycle.add_job(schedule, record, 7, at_seconds(0))
    assert schedule.jobs[job_id(1)].queue == accepted
    later = evolve(QUEUE, max_attempts=6)
    job_lifecycle.apply_config(schedule, JobConfig(3, (later,), ("mill",)))
    assert schedule.jobs[job_id(1)].queue == later


# Failure: the record of an earlier version has no queue, and its job fails at once
# while its queue is not configured.
def test_a_job_fails_only_once_its_queue_is_known():
    schedule = make_schedule()
    schedule.config = JobConfig(1, (), ("mill",))
    stored = b'{"job_id":"%s","queue":"plans","upstream":"mill"' % job_id(1).encode()
    record = from_json(stored.decode() + ',"spec":{"payload":"x"}}', JobRecord)
    record = evolve(record, job_id=task_key().job_id, spec=SHORT_JOB)
    job_lifecycle.add_job(schedule, record, 7, at_seconds(0))
    job = schedule.jobs[record.job_id]
    fail_once(schedule, 1)
    fail_once(schedule, 2)
    assert job.phase is JobPhase.RUNNING
    job_lifecycle.apply_config(schedule, JobConfig(2, (QUEUE,), ("mill",)))
    fail_once(schedule, 3)
    assert job.phase is JobPhase.FAILED


def test_a_notice_of_a_job_keeps_the_settings_of_its_queue():
    record = JobRecord(job_id(1), "added", "mill", SHORT_JOB, 5, ADDED, 4)
    notice = JobTold(record, 7)
    assert from_wire(to_wire(notice), JOB_MESSAGES) == notice
    assert from_json(to_json(record), JobRecord) == record

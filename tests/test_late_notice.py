"""Notices of jobs that reach a later leader than the one they were sent to."""

import pytest

from fighead.codec import from_json
from fighead.job import JobPhase, JobRecord, JobSpec, Stage
from fighead.job_message import JobTold
from fighead.store import JOB_PROGRESS_PREFIX, JOBS_PREFIX
from job_cluster import JobCluster

JOB_ID = f"{1:016x}"
FIRST_STAGE = Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=200)
LONG_STAGE = Stage(count=1, cpu=1000, memory_mb=1, estimate_ms=6000, after=(0,))


@pytest.fixture
def cluster():
    return JobCluster()


def make_notice(cluster):
    """Return the notice that the accepting entry sent."""
    kv = next(e.kv for e in cluster.store.history if e.kv.key == JOBS_PREFIX + JOB_ID)
    return JobTold(from_json(kv.value, JobRecord), kv.mod_revision)


def elect_another_leader(cluster):
    """Kill the leader, and return its successor's name once it is elected."""
    cluster.kill_entries(cluster.leader())
    for _ in range(100):
        cluster.advance(0.05)
        if cluster.leader() is not None:
            return cluster.leader()
    raise AssertionError("no leader was elected")


def notify(cluster, name):
    sender = next(other for other in cluster.live_entries() if other != name)
    cluster.entries[name].entry.peer.handle(sender, make_notice(cluster))


def starts_of(cluster):
    return [event.task for event in cluster.history if event.event == "started"]


def test_a_late_notice_does_not_start_an_ended_job_again(cluster):
    cluster.submit(JOB_ID, JobSpec("x", (FIRST_STAGE,)))
    cluster.advance(3)
    leader = elect_another_leader(cluster)
    cluster.advance(4)
    notify(cluster, leader)
    cluster.advance(4)
    assert len(starts_of(cluster)) == 2
    assert not cluster.find_breaches()
    assert cluster.find_phase(JOB_ID) is JobPhase.COMPLETED


def test_a_notice_before_the_load_does_not_discard_the_progress_of_a_job(cluster):
    cluster.submit(JOB_ID, JobSpec("x", (FIRST_STAGE, LONG_STAGE)))
    cluster.advance(3)
    assert JOB_PROGRESS_PREFIX + JOB_ID in cluster.store.items
    leader = elect_another_leader(cluster)
    assert not cluster.entries[leader].entry.scheduler._is_loaded
    notify(cluster, leader)
    cluster.advance(12)
    assert len(starts_of(cluster)) == 3
    assert not cluster.find_breaches()
    assert cluster.find_phase(JOB_ID) is JobPhase.COMPLETED

"""The number of pending jobs: those of which no task has started."""

import pytest

from fighead.exceptions import WorkerRefusedError
from fighead.job import JobSpec, Stage
from fighead.run import RefusalReason
from job_cluster import GatedInstance, JobCluster

#: Fills an instance of the cluster.
FULL_STAGE = Stage(cpu=8000, estimate_ms=60_000)
WAITING_JOBS = 6


def job_id(number):
    return f"{number:016x}"


@pytest.fixture
def cluster():
    cluster = JobCluster()
    cluster.advance(2)
    return cluster


def submit_waiting_jobs(cluster):
    """Fill all instances, and submit jobs for which there is no room."""
    filling = JobSpec("x", (Stage(count=4, cpu=8000, estimate_ms=60_000),))
    cluster.submit(job_id(1), filling)
    cluster.advance(1)
    for number in range(WAITING_JOBS):
        cluster.submit(job_id(10 + number), JobSpec("x", (FULL_STAGE,)))
    cluster.advance(1)


def test_jobs_without_room_are_pending(cluster):
    submit_waiting_jobs(cluster)
    assert cluster.count_pending("plans") == WAITING_JOBS


# Failure: a leader that is elected again stores the progress of all jobs, and its
# successor takes each job with a progress record for one that has begun.
def test_jobs_that_have_not_begun_stay_pending_after_elections():
    cluster = JobCluster(entry_names=("e1",))
    cluster.advance(2)
    submit_waiting_jobs(cluster)
    cluster.store.is_unavailable = True
    cluster.advance(4)
    cluster.store.is_unavailable = False
    cluster.advance(2)
    entry = cluster.entries["e1"].entry
    # It has been elected again, and goes on with the schedule of its first term.
    assert (entry.scheduler.schedule.term, entry.leadership.view.leader.term) == (1, 2)
    assert cluster.count_pending("plans") == WAITING_JOBS
    cluster.kill_entries("e1")
    cluster.start_entry("e1")
    cluster.advance(6)
    assert cluster.count_pending("plans") == WAITING_JOBS


def test_a_job_that_has_begun_is_not_pending_after_an_election(cluster):
    cluster.submit(job_id(1), JobSpec("x", (FULL_STAGE,)))
    cluster.advance(1)
    assert cluster.count_pending("plans") == 0
    cluster.kill_entries(cluster.leader())
    cluster.advance(6)
    assert cluster.count_pending("plans") == 0


# Failure: a job whose start was refused counts as begun for good.
def test_jobs_whose_starts_are_refused_stay_pending(cluster, monkeypatch):
    async def refuse(*_):
        raise WorkerRefusedError("unhealthy", "later", RefusalReason.UNHEALTHY.value)

    monkeypatch.setattr(GatedInstance, "start", refuse)
    for number in range(WAITING_JOBS):
        cluster.submit(job_id(10 + number), JobSpec("x", (FULL_STAGE,)))
    cluster.advance(4)
    assert cluster.count_pending("plans") == WAITING_JOBS


# Failure: a job whose start gets no answer, and is carried out late or not at all,
# counts as begun from the order on.
def test_jobs_whose_starts_are_unanswered_stay_pending(cluster):
    cluster.silent_instances |= set(cluster.instances)
    for number in range(WAITING_JOBS):
        cluster.submit(job_id(10 + number), JobSpec("x", (FULL_STAGE,)))
    cluster.advance(4)
    assert not cluster.history
    assert cluster.count_pending("plans") == WAITING_JOBS

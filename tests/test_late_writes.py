"""Writes that the store leaves unanswered and does late."""

import datetime as dt

import pytest

from fighead.commands import job as commands
from fighead.job import JobPhase, JobSpec, Stage
from fighead.mailbox import spawn
from fighead.store import JOB_ENDINGS_PREFIX, JOBS_PREFIX
from job_cluster import LATE_WRITE_S, QUEUES, JobCluster
from test_takeover import job_id

QUICK = JobSpec("x", (Stage(count=1, cpu=2000, estimate_ms=200),))


def hold_writes(cluster, prefix):
    """Let the store do writes under a prefix late, or without one at once again."""
    for process in cluster.entries.values():
        process.store.late_puts = prefix


def send(cluster, name, command, *args):
    """Run a command of a client that leaves after 0.8 s; return the outcome."""
    process = cluster.entries[name]
    outcomes = []

    async def run():
        deadline = process.clock.now() + dt.timedelta(seconds=0.8)
        context = process.entry.front_context
        outcomes.append(await command(context, *args, deadline))

    spawn(run())
    cluster.advance(1)
    return outcomes[0]


def cancel(cluster, name):
    return send(cluster, name, commands.cancel_job, job_id(1))


def submit_late(cluster):
    """Submit a job whose write the store does late."""
    cluster.specs[job_id(1)] = QUICK
    hold_writes(cluster, JOBS_PREFIX)
    outcome = send(cluster, "e1", commands.submit_job, QUEUES[1], job_id(1), QUICK)
    assert isinstance(outcome, commands.Uncertain)
    hold_writes(cluster, "")


# Failure: a job was cancelled before the store did its write, and was started then.
@pytest.mark.parametrize("name", ["e1", "e2", "e3"])
def test_a_job_that_was_cancelled_before_it_was_stored_does_not_start(name):
    cluster = JobCluster()
    submit_late(cluster)
    outcome = cancel(cluster, name)
    assert isinstance(outcome, commands.NoSuchJob)
    cluster.advance(LATE_WRITE_S + 6)
    assert not cluster.history
    # Nobody knows whether it was ever submitted.
    assert cluster.find_phase(job_id(1)) is None
    assert isinstance(cancel(cluster, name), commands.NoSuchJob)


def test_a_job_that_was_cancelled_after_a_late_write_of_it_is_shown_as_ended():
    cluster = JobCluster()
    submit_late(cluster)
    cluster.advance(LATE_WRITE_S)
    assert isinstance(cancel(cluster, "e1"), commands.Accepted)
    assert cluster.find_phase(job_id(1)) in (JobPhase.COMPLETED, JobPhase.CANCELLED)


def test_a_job_that_is_submitted_after_it_was_cancelled_is_shown_as_cancelled():
    cluster = JobCluster()
    assert isinstance(cancel(cluster, "e1"), commands.NoSuchJob)
    outcomes = cluster.submit(job_id(1), QUICK)
    cluster.advance(3)
    assert isinstance(outcomes[0], commands.Accepted)
    assert not cluster.history
    assert cluster.find_phase(job_id(1)) is JobPhase.CANCELLED
    assert isinstance(cancel(cluster, "e1"), commands.Accepted)


def test_the_cancelling_of_an_unknown_job_is_not_acknowledged_while_it_is_not_stored():
    cluster = JobCluster()
    hold_writes(cluster, JOB_ENDINGS_PREFIX)
    assert isinstance(cancel(cluster, "e1"), commands.Uncertain)

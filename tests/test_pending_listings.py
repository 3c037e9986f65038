"""Listings that wait for look-ups of jobs that the schedule does not know."""

import pytest

from fighead.decisions import instance_tracking, run_updates
from fighead.tasks import scheduler
from job_cluster import JobCluster

#: Removed jobs that each instance lists.
REMOVED_JOBS = 100


@pytest.fixture
def cluster():
    cluster = JobCluster(instance_count=6)
    for name in cluster.instances:
        cluster.add_removed_jobs(name, REMOVED_JOBS)
    return cluster


def count_calls(monkeypatch, module, name):
    calls, original = [], getattr(module, name)

    def record(*args):
        calls.append(args)
        return original(*args)

    monkeypatch.setattr(module, name, record)
    return calls


def elect_another_leader(cluster):
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)


def listed_ends(cluster):
    return [n for n, i in cluster.instances.items() if i.has_new_ends(0)]


def test_a_message_does_not_examine_the_listings_it_leaves_unchanged(
    cluster, monkeypatch
):
    listings = count_calls(monkeypatch, instance_tracking, "record_instance_contact")
    examined = count_calls(monkeypatch, run_updates, "find_unknown_jobs")
    elect_another_leader(cluster)
    assert not listed_ends(cluster)
    assert 0 < len(examined) <= len(listings)


def test_listings_that_name_more_removed_jobs_than_are_remembered_are_applied(
    cluster, monkeypatch
):
    monkeypatch.setattr(scheduler, "MAX_ABSENT_JOBS", 10)
    elect_another_leader(cluster)
    assert not listed_ends(cluster)


def test_a_listing_is_applied_only_when_all_its_jobs_were_looked_up(
    cluster, monkeypatch
):
    monkeypatch.setattr(scheduler, "MAX_ABSENT_JOBS", 10)
    applied = count_calls(monkeypatch, run_updates, "apply_listing")
    cluster.store.reads.clear()
    cluster.kill_entries(cluster.leader())
    most_ends = 0
    for _ in range(400):
        cluster.advance(0.02)
        looked_up = {read.key.rpartition("/")[2] for read in cluster.store.reads}
        for _, _, listing, _, _ in applied:
            assert {end.task.job_id for end in listing.ended} <= looked_up
            most_ends = max(most_ends, len(listing.ended))
        applied.clear()
    assert most_ends == REMOVED_JOBS

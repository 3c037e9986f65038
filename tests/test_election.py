"""Election of the scheduling entry among machines of different capacity."""

import pytest

from fighead.decisions.election import (
    CANDIDACY_STEP,
    candidacy_delay,
    find_shares,
    rank_candidates,
)
from fighead.job import JobPhase, JobSpec, Stage
from fighead.model import Capacity
from job_cluster import JobCluster

LARGE = Capacity(processor_cores=2.15, link_mbit_s=200.0)
SMALL = Capacity(processor_cores=0.3, link_mbit_s=10.0)
LONG_JOB = JobSpec(
    "x",
    (Stage(count=4, cpu=3000, memory_mb=100, estimate_ms=2500, is_checkpointed=True),)
    * 2,
)


def make_cluster(seed=1, large=0, small=0, started=None):
    names = [f"large{n}" for n in range(large)] + [f"small{n}" for n in range(small)]
    capacities = {name: SMALL if name.startswith("small") else LARGE for name in names}
    return JobCluster(
        seed=seed, entry_names=tuple(started or names), entry_capacities=capacities
    )


def job_id(number):
    return f"{number:016x}"


def count_elections(cluster):
    """Return the number of terms so far."""
    return int(cluster.store.items["fighead/control/term"].value)


def test_the_scarcer_of_processor_and_link_counts():
    capacities = {"a": Capacity(1.0, 100.0), "b": Capacity(2.0, 10.0)}
    assert find_shares(capacities) == {"a": 0.5, "b": 0.1}


@pytest.mark.parametrize("unknown", [Capacity(), Capacity(0.0, 0.0)])
def test_an_unknown_capacity_counts_as_the_largest(unknown):
    shares = find_shares({"a": LARGE, "b": unknown, "c": Capacity(1.075, None)})
    assert shares == {"a": 1.0, "b": 1.0, "c": 0.5}
    assert find_shares({"b": unknown}) == {"b": 1.0}


@pytest.mark.parametrize("term", range(1, 11))
def test_small_entries_are_the_last_candidates_of_every_term(term):
    capacities = {f"small{n}": SMALL for n in range(33)}
    capacities |= {f"large{n}": LARGE for n in range(8)}
    ranked = rank_candidates(term, capacities)
    assert all(name.startswith("large") for name in ranked[:8])
    delays = [candidacy_delay(term, name, capacities) for name in ranked]
    assert delays == [CANDIDACY_STEP * n for n in range(41)]


def test_the_order_of_entries_of_about_the_same_capacity_depends_on_the_term():
    capacities = {f"e{n}": Capacity(1.0 + 0.1 * n, 100.0) for n in range(5)}
    first = {rank_candidates(term, capacities)[0] for term in range(1, 40)}
    assert first == set(capacities)


def kill_leader(cluster):
    """Kill the leader and return it and the next one, as soon as that is elected."""
    killed = cluster.leader()
    cluster.kill_entries(killed)
    for _ in range(200):
        cluster.advance(0.02)
        if cluster.leader() is not None:
            break
    return killed, cluster.leader()


def test_a_killed_leader_is_not_followed_by_a_small_entry():
    cluster = make_cluster(large=2, small=6)
    followers = []
    for _ in range(10):
        killed, follower = kill_leader(cluster)
        followers.append(follower)
        cluster.start_entry(killed)
        cluster.advance(1)
    assert count_elections(cluster) == 11
    assert set(followers) == {"large0", "large1"}


def test_a_small_leader_does_not_lead_on_beside_a_large_entry():
    cluster = make_cluster(large=1, small=2, started=["small0", "small1"])
    cluster.submit(job_id(1), LONG_JOB)
    cluster.advance(1)
    cluster.start_entry("large0")
    cluster.advance(6)
    assert cluster.leader() == "large0"
    assert count_elections(cluster) == 2
    cluster.advance(6)
    assert cluster.find_phase(job_id(1)) is JobPhase.COMPLETED
    starts = [event for event in cluster.history if event.event == "started"]
    assert len(starts) == 8 and not cluster.find_breaches()

"""Election of the scheduling entry among machines of different capacity."""

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

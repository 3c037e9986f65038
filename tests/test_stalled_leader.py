"""Leaders that stall, and what peers and instances confirm afterwards."""

import pytest

from job_cluster import JobCluster, cut_off, reconnect
from test_takeover import LASTING_JOB, job_id


# Failure: an earlier leader that had no authority for a while gets it back beside one
# that takes it for ended.
@pytest.mark.parametrize("seed", range(20))
def test_no_leader_acts_beside_one_excluding_it_while_entries_stall(seed):
    cluster = JobCluster(
        seed, entry_names=tuple(f"e{n}" for n in range(3 + 2 * (seed % 2)))
    )
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(4)
    rng = cluster.rng
    unfreeze_at = {}
    for _ in range(6):
        reconnect(cluster)
        names = [name for name in cluster.live_entries() if name != cluster.leader()]
        side = rng.sample(names, rng.randrange(len(names)))
        if cluster.leader():
            side.append(cluster.leader())
        instances = rng.sample(
            sorted(cluster.instances), rng.randrange(1, len(cluster.instances))
        )
        cut_off(cluster, side, instances)
        for _ in range(round(rng.uniform(3, 12) / 0.02)):
            cluster.advance(0.02)
            assert cluster.find_leaders_taken_as_ended() == []
            now_s = cluster.reactor.seconds()
            for name in [n for n, at_s in unfreeze_at.items() if at_s <= now_s]:
                del unfreeze_at[name]
                cluster.entries[name].gate.unfreeze()
            if rng.random() < 0.02:
                leader = cluster.leader()
                others = sorted(cluster.entries)
                name = leader if leader and rng.random() < 0.6 else rng.choice(others)
                if name not in unfreeze_at:
                    cluster.entries[name].gate.is_frozen = True
                    unfreeze_at[name] = now_s + rng.uniform(0.3, 3)
            if rng.random() < 0.004:
                name = rng.choice(sorted(cluster.instances))
                cluster.crash_instance(name, is_cut=rng.random() < 0.5)
            running = sorted(cluster.entries.keys() - unfreeze_at.keys())
            if rng.random() < 0.004 and running:
                name = rng.choice(running)
                store = cluster.entries[name].store
                cluster.kill_entries(name)
                cluster.start_entry(name)
                cluster.entries[name].store.is_cut = store.is_cut
                cluster.entries[name].store.is_watch_silent = store.is_watch_silent
    for name in unfreeze_at:
        cluster.entries[name].gate.unfreeze()
    reconnect(cluster)
    cluster.advance(30)
    assert [e for e in cluster.find_breaches() if "two runs" in e[0]] == []


def cut_store(cluster, name):
    store = cluster.entries[name].store
    store.is_cut = store.is_watch_silent = True


# Failure: an entry that has followed the next leader restarts, knows of no leader and
# gives an earlier one its authority back.
@pytest.mark.parametrize("away_s", [0.0, 0.3, 0.6, 1.0, 1.5])
@pytest.mark.parametrize("stall_s", [0.0, 0.5, 1.3])
def test_an_entry_that_restarts_gives_no_earlier_leader_its_authority_back(
    away_s, stall_s
):
    cluster = JobCluster()
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(6)
    earlier = cluster.leader()
    changing, later = (name for name in cluster.entries if name != earlier)
    for name in (earlier, changing):
        cut_store(cluster, name)
    cluster.part((later,), ("i3",))
    while not cluster.entries[later].entry.leadership.is_leading:
        cluster.advance(0.02)
    cluster.parted_entries = {frozenset((earlier, name)) for name in (changing, later)}
    view = cluster.entries[changing].entry.front_context
    while view.view.leader.name != later:
        cluster.advance(0.02)
    cluster.entries[earlier].gate.is_frozen = True
    cluster.advance(stall_s)
    cluster.entries[earlier].gate.unfreeze()
    cluster.advance(away_s)
    cluster.kill_entries(changing)
    cluster.start_entry(changing, is_cut=True)
    cluster.parted_entries = {frozenset((later, name)) for name in (earlier, changing)}
    for _ in range(round(15 / 0.02)):
        cluster.advance(0.02)
        assert cluster.find_leaders_taken_as_ended() == []
    assert cluster.entries[later].entry.leadership.is_leading

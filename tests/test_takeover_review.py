"""Takeovers and outages of the store at the limits of what instances confirm."""

import datetime as dt

import pytest
from attrs import frozen

from fighead.codec import from_json
from fighead.decisions import authority
from fighead.decisions.election import RENEWAL_INTERVAL
from fighead.job import JobSpec, Stage
from fighead.store import JOB_LEADER_KEY
from fighead.tasks.leadership import LeadershipTask
from job_cluster import JobCluster, cut_off, reconnect
from test_takeover import (
    LASTING_JOB,
    RECOVERY_S,
    assert_served_in_time,
    count_running,
    job_id,
    lose_instances,
    start_cluster,
)

SMALL_JOB = JobSpec("x", (Stage(count=2, cpu=3000, is_lasting=True),))


@frozen
class EarlierElectorate:
    """The electorate as entries of the earlier version read it."""

    names: tuple[str, ...] = ()


def start_small_cluster(instances):
    cluster = JobCluster(instance_count=instances)
    cluster.submit(job_id(1), SMALL_JOB, queue_name="watches")
    cluster.advance(6)
    return cluster, cluster.entries[cluster.leader()].entry.leadership


def cut_store(cluster, is_cut=True):
    for process in cluster.entries.values():
        process.store.is_cut = is_cut
        process.store.is_watch_silent = is_cut


def measure_time_without_authority(cluster, leadership, seconds):
    """Return for how long a leader may not act while the clock advances."""
    steps = 0
    for _ in range(round(seconds / 0.02)):
        cluster.advance(0.02)
        steps += not (leadership.is_leading and leadership.may_act())
    return steps * 0.02


def replace_instances(cluster, *names):
    lose_instances(cluster, *names)
    for name in names:
        cluster.add_instance(f"{name}9")


# Failure: neither entries nor instances exclude the earlier leader, and the time that
# does is longer than the users' bound.
@pytest.mark.parametrize("lost", [4, 5, 8])
def test_a_leader_settles_in_time_after_most_instances_are_replaced(lost):
    cluster, names = start_cluster()
    cluster.kill_entries(*names[-5:])
    cluster.advance(0.5)
    replace_instances(cluster, *(f"i{n}" for n in range(lost)))
    cluster.kill_entries(*names)
    cluster.advance(1.2)
    for name in names[:-5]:
        cluster.start_entry(name)
    assert_served_in_time(cluster)


# Failure: no entry of the electorate is left, nor half of the instances.
def test_a_new_leader_settles_in_time_after_entries_and_instances_are_replaced():
    cluster, names = start_cluster()
    replace_instances(cluster, *(f"i{n}" for n in range(5)))
    cluster.kill_entries(*names)
    cluster.advance(1.2)
    cluster.start_entry("new")
    cluster.advance(2.5)
    assert_served_in_time(cluster)


# Failure: a fleet of one instance is replaced while most entries are dark.
def test_a_leader_settles_in_time_after_its_only_instance_is_replaced():
    cluster = JobCluster(entry_names=tuple(f"e{n}" for n in range(5)), instance_count=1)
    cluster.submit(job_id(1), SMALL_JOB, queue_name="watches")
    cluster.advance(6)
    names = sorted(cluster.entries, key=lambda name: name != cluster.leader())
    cluster.kill_entries(*names[-3:])
    replace_instances(cluster, "i0")
    cluster.kill_entries(*names)
    cluster.advance(1.2)
    for name in names[:2]:
        cluster.start_entry(name)
    cluster.advance(12)
    assert cluster.entries[cluster.leader()].entry.scheduler.schedule.is_settled


# Failure: the write of the electorate for an instance that joins at the start
# of an outage stays unanswered, and nobody confirms the leader.
@pytest.mark.parametrize("before_ms", range(0, 2000, 100))
def test_a_leader_acts_in_an_outage_although_an_instance_joins_at_its_start(before_ms):
    cluster, leadership = start_small_cluster(5)
    cluster.add_instance("i9")
    cluster.advance(before_ms / 1000)
    cut_store(cluster)
    cluster.advance(4)
    assert leadership.is_leading and leadership.may_act()


# Failure: an unanswered write ends the authority although its effect is irrelevant to
# most of the fleet.
@pytest.mark.parametrize("phase_ms", range(0, 2000, 200))
def test_a_leader_acts_in_an_outage_while_the_fleet_is_replaced_quickly(phase_ms):
    cluster, leadership = start_small_cluster(12)
    for number in range(20, 30):
        cluster.add_instance(f"i{number}")
        cluster.advance(0.34)
    cluster.advance(phase_ms / 1000)
    cluster.add_instance("i30")
    cluster.advance(0.34)
    cut_store(cluster)
    cluster.advance(4)
    assert leadership.is_leading and leadership.may_act()


# Failure: instances that answered under the last fence don't confirm the leader after
# its election anew.
@pytest.mark.parametrize("back_s", [0.4, 0.8, 1.2, 1.6, 2.0])
@pytest.mark.parametrize("first_s", [1.8, 5])
def test_a_leader_acts_in_a_second_outage_soon_after_the_first(first_s, back_s):
    cluster, leadership = start_small_cluster(4)
    cut_store(cluster)
    cluster.advance(first_s)
    cut_store(cluster, False)
    cluster.advance(back_s)
    leadership = cluster.entries[cluster.leader()].entry.leadership
    cut_store(cluster)
    cluster.advance(5)
    assert leadership.is_leading and leadership.may_act()


def restart_leader(cluster):
    """Kill the leader and return the leadership task of the next one."""
    cluster.kill_entries(cluster.leader())
    while cluster.leader() is None:
        cluster.advance(0.02)
    return cluster.entries[cluster.leader()].entry.leadership


# Failure: no instance can confirm a new leader before the next read of its key.
def test_the_store_confirms_a_new_leader_again_once_instances_have_answered():
    cluster, _ = start_small_cluster(4)
    leadership = restart_leader(cluster)
    cluster.advance(0.3)
    answers = leadership._instance_answers
    assert len(answers) == 4
    assert len(authority.find_confirming_instances(answers, leadership._sole_at)) == 4


# Failure: a leader that too few instances answer reads its key over and over.
def test_a_leader_whose_instances_are_silent_reads_its_key_no_more_often():
    cluster, _ = start_small_cluster(4)
    cluster.silent_instances |= {"i0", "i1", "i2"}
    restart_leader(cluster)
    cluster.advance(2)
    known = len(cluster.store.reads)
    cluster.advance(4)
    reads = [read.key for read in cluster.store.reads[known:]]
    assert reads.count(JOB_LEADER_KEY) <= 4 / RENEWAL_INTERVAL.total_seconds()


# Failure: the long listings under way when the store falls silent are answered too
# late.
@pytest.mark.parametrize("instances", [1, 2, 4])
@pytest.mark.parametrize("phase_ms", range(0, 1100, 100))
def test_a_leader_acts_without_a_gap_as_an_outage_starts(instances, phase_ms):
    cluster, leadership = start_small_cluster(instances)
    cluster.advance(phase_ms / 1000)
    cut_store(cluster)
    assert measure_time_without_authority(cluster, leadership, 7) == 0


# Failure: runs on an instance that answers end because another one crashed.
@pytest.mark.parametrize("instances", [2, 3])
@pytest.mark.parametrize("is_gone", [True, False])
def test_runs_go_on_in_an_outage_beside_the_crash_of_one_instance(instances, is_gone):
    cluster, leadership = start_small_cluster(instances)
    cut_store(cluster)
    cluster.advance(1)
    cluster.crash_instance("i0", is_cut=True)
    if is_gone:
        cluster.silent_instances.add("i0")
    assert measure_time_without_authority(cluster, leadership, 6) == 0


# Failure: a stalled leader never regains what its peers and instances confirm.
@pytest.mark.parametrize("stall_s", [0.5, 0.7, 0.9, 1.1, 1.3])
@pytest.mark.parametrize("phase_ms", range(0, 500, 100))
def test_a_leader_acts_in_an_outage_after_a_short_stall(stall_s, phase_ms):
    cluster, leadership = start_small_cluster(4)
    gate = cluster.entries[cluster.leader()].gate
    cut_store(cluster)
    cluster.advance(3 + phase_ms / 1000)
    gate.is_frozen = True
    cluster.advance(stall_s)
    gate.unfreeze()
    cluster.advance(2)
    assert leadership.is_leading and leadership.may_act()


# Failure: an earlier leader acts beside one that takes it for ended, while entries,
# instances and leaders change sides.
@pytest.mark.parametrize("seed", range(20))
def test_no_leader_acts_beside_one_excluding_it_while_sides_change(seed):
    cluster = JobCluster(
        seed, entry_names=tuple(f"e{n}" for n in range(3 + 2 * (seed % 2)))
    )
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(4)
    rng = cluster.rng
    joined = 0
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
            if rng.random() < 0.004:
                name = rng.choice(sorted(cluster.instances))
                cluster.crash_instance(name, is_cut=rng.random() < 0.5)
            if rng.random() < 0.002:
                name = rng.choice(sorted(cluster.entries))
                store = cluster.entries[name].store
                cluster.kill_entries(name)
                cluster.start_entry(name)
                cluster.entries[name].store.is_cut = store.is_cut
                cluster.entries[name].store.is_watch_silent = store.is_watch_silent
            if rng.random() < 0.001 and joined < 3:
                joined += 1
                cluster.add_instance(f"j{joined}")
    reconnect(cluster)
    cluster.advance(30)
    assert [e for e in cluster.find_breaches() if "two runs" in e[0]] == []


# Failure: a leader of the earlier version keeps an electorate with instances and goes
# on with most entries alone, beside one that excludes it by instances or after 8 s.
@pytest.mark.parametrize("instances", [("i0",), ("i0", "i1")])
def test_a_leader_of_the_earlier_version_is_not_taken_for_ended_while_it_acts(
    monkeypatch, instances
):
    cluster = JobCluster(entry_names=tuple(f"e{n}" for n in range(5)))
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(6)
    names = sorted(cluster.entries, key=lambda name: name != cluster.leader())
    find_date = LeadershipTask._find_majority_date

    def find_date_of_earlier_version(self):
        if self.me.name != names[0]:
            return find_date(self)
        stored = from_json(self._electorate_kv.value, EarlierElectorate)
        if self.me.name not in stored.names:
            return None
        date = authority.find_majority_date(
            self.me.name, stored.names, self._peer_confirmations
        )
        is_recent = date is not None and date - self._sole_at < dt.timedelta(seconds=60)
        return date if is_recent else None

    monkeypatch.setattr(
        LeadershipTask, "_find_majority_date", find_date_of_earlier_version
    )
    cut_off(cluster, names[:3], instances)
    for _ in range(round(30 / 0.02)):
        cluster.advance(0.02)
        assert cluster.find_leaders_taken_as_ended() == []
    assert not cluster.find_breaches()


def count_lapsed(cluster):
    """Return how many runs ended although their tasks were to go on."""
    ends = ("started", "acknowledged")
    return sum(not event.event.startswith(ends) for event in cluster.history)


# Failure: one entry that is gone or restarts ends the authority of the leader after
# 8 s, and with it all runs while the store is away.
@pytest.mark.parametrize("outage_s", [12, 20, 30])
@pytest.mark.parametrize("case", ["none", "gone", "gone for long", "restarts"])
def test_runs_go_on_in_an_outage_beside_the_loss_of_one_entry(outage_s, case):
    cluster = JobCluster(entry_names=tuple(f"e{n}" for n in range(5)))
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(6)
    leader = cluster.leader()
    other = next(name for name in cluster.entries if name != leader)
    if case == "gone for long":
        cluster.kill_entries(other)
        cluster.advance(60)
    cluster.store.is_unavailable = True
    cluster.advance(7)
    if case in ("gone", "restarts"):
        cluster.kill_entries(other)
    if case == "restarts":
        cluster.start_entry(other)
    cluster.advance(outage_s - 7)
    cluster.store.is_unavailable = False
    cluster.advance(4)
    assert count_lapsed(cluster) == 0


# Failure: an instance that has obeyed the next leader restarts, knows of no fence and
# confirms the earlier leader.
def test_an_instance_that_restarts_behind_a_cut_confirms_no_earlier_leader():
    cluster = JobCluster(entry_names=tuple(f"e{n}" for n in range(5)))
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(6)
    names = sorted(cluster.entries, key=lambda name: name != cluster.leader())
    cut_off(cluster, names[:3], ("i0", "i1", "i2"))
    cluster.advance(3.5)
    later = max(
        (cluster.entries[name].entry for name in names[3:]),
        key=lambda entry: entry.leadership.is_leading,
    )
    assert later.leadership.is_leading
    fence = cluster.instances["i0"].fence
    cluster.lost_paths -= {(name, "i0") for name in names[3:]}
    for _ in range(100):
        cluster.advance(0.02)
        if cluster.instances["i0"].fence > fence:
            break
    cluster.crash_instance("i0", is_cut=True)
    cluster.lost_paths |= {(name, "i0") for name in names[3:]}
    for _ in range(round(15 / 0.02)):
        cluster.advance(0.02)
        assert cluster.find_leaders_taken_as_ended() == []
    assert later.leadership.read_authority().exclusion is authority.Exclusion.INSTANCES


# Failure: tasks wait for a late start on an instance that restarted and is gone for
# good.
@pytest.mark.parametrize("age_s", [0.5, 2, 5])
def test_tasks_of_an_instance_lost_soon_after_its_restart_run_in_time(age_s):
    cluster = JobCluster()
    cluster.advance(2)
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(age_s)
    assert count_running(cluster) == 12
    cluster.add_instance("i9")
    cluster.silent_instances.add("i0")
    cluster.crash_instance("i0")
    cluster.advance(1)
    cluster.unregister_instance("i0")
    cluster.advance(RECOVERY_S - 1)
    assert count_running(cluster) == 12

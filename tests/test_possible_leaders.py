"""The record of the entries that may act as an earlier leader."""

import datetime as dt

import pytest
from attrs import evolve

from fighead.codec import from_json
from fighead.decisions.authority import (
    Electorate,
    Exclusion,
    PossibleLeaders,
    find_exclusion,
)
from fighead.store import JOB_LEADERS_KEY, Txn
from job_cluster import GatedStore, JobCluster, cut_off, reconnect
from test_takeover import (
    LASTING_JOB,
    assert_served_in_time,
    job_id,
    lose_instances,
    start_cluster,
)

NOW = dt.datetime(2030, 1, 1)
OF_FIVE = Electorate(tuple("abcde"), ("i", "j", "k", "l"))


def read_possible_leaders(cluster):
    return from_json(cluster.store.items[JOB_LEADERS_KEY].value, PossibleLeaders)


def replace_most_instances(cluster):
    lost = [f"i{number}" for number in range(5)]
    lose_instances(cluster, *lost)
    for name in lost:
        cluster.add_instance(f"{name}9")


def find_term(cluster):
    return cluster.entries[cluster.leader()].entry.scheduler.schedule.term


def read_exclusion(cluster):
    return cluster.entries[cluster.leader()].entry.leadership.read_authority().exclusion


@pytest.mark.parametrize(
    ("possible", "followers", "expected"),
    [
        (("a",), (), Exclusion.LEADERS),
        (("b",), ("b",), Exclusion.LEADERS),
        (("a", "b", "x"), ("b", "x"), Exclusion.LEADERS),
        (("b",), ("c",), None),
        (("a", "b", "x"), ("b",), None),
        (None, ("b",), None),
    ],
)
def test_earlier_leaders_are_excluded_once_all_of_them_follow(
    possible, followers, expected
):
    followed_at = dict.fromkeys(followers, NOW)
    age = dt.timedelta(seconds=1)
    assert find_exclusion("a", OF_FIVE, followed_at, NOW, (), age, possible) is expected


# Failure: entries that led before and have ended count as leaders for ever.
def test_the_record_names_one_leader_once_it_has_excluded_the_others():
    cluster, names = start_cluster()
    assert read_possible_leaders(cluster) == PossibleLeaders(1, (names[0],))
    for _ in range(3):
        cluster.kill_entries(cluster.leader())
        cluster.advance(8)
        expected = PossibleLeaders(find_term(cluster), (cluster.leader(),))
        assert read_possible_leaders(cluster) == expected


# Failure: a leader that was never excluded is forgotten by the next but one.
def test_the_record_names_each_leader_that_was_not_excluded():
    cluster, names = start_cluster()
    cluster.kill_entries(*names[-5:])
    replace_most_instances(cluster)
    leaders = set()
    for _ in range(3):
        leaders.add(cluster.leader())
        cluster.kill_entries(cluster.leader())
        cluster.advance(3.5)
    leaders.add(cluster.leader())
    assert read_possible_leaders(cluster) == PossibleLeaders(4, tuple(sorted(leaders)))
    assert read_exclusion(cluster) is None


# Failure: each leader of a series waits for entries that are gone, though all that led
# before are back.
def test_a_leader_settles_in_time_once_all_earlier_leaders_are_back():
    cluster, names = start_cluster()
    cluster.kill_entries(*names[-5:])
    replace_most_instances(cluster)
    killed = []
    for _ in range(2):
        killed.append(cluster.leader())
        cluster.kill_entries(cluster.leader())
        cluster.advance(3)
    for name in killed:
        cluster.start_entry(name)
    assert_served_in_time(cluster)
    assert read_exclusion(cluster) is Exclusion.LEADERS


# Failure: a new process of an entry that led before counts for a leader that is cut off
# and acts.
@pytest.mark.parametrize("seed", range(6))
def test_a_leader_that_is_cut_off_is_not_excluded_by_an_earlier_one_that_is_back(seed):
    cluster = JobCluster(seed, entry_names=tuple(f"e{n}" for n in range(5)))
    cluster.submit(job_id(1), LASTING_JOB, queue_name="watches")
    cluster.advance(4)
    first = cluster.leader()
    cluster.kill_entries(first)
    while cluster.leader() is None:
        cluster.advance(0.02)
    second = cluster.leader()
    cluster.advance(0.5 + cluster.rng.random() / 2)
    assert cluster.entries[second].entry.leadership.is_leading
    cluster.start_entry(first)
    others = [name for name in cluster.entries if name not in (first, second)]
    cut_off(cluster, [second, *others[:2]], ("i0", "i1", "i2"))
    for _ in range(round(20 / 0.02)):
        cluster.advance(0.02)
        assert cluster.find_leaders_taken_as_ended() == []
    reconnect(cluster)
    cluster.advance(30)
    assert not cluster.find_breaches()


# Failure: the record of an earlier term counts after an entry of the earlier version,
# which doesn't write it, was elected.
def test_a_leader_of_the_earlier_version_is_not_excluded_by_an_outdated_record(
    monkeypatch,
):
    cluster, names = start_cluster(5, 8)
    call = GatedStore.call
    writers = set()

    async def call_without_record(self, req, timeout):
        is_from = any(self is cluster.entries[name].store for name in writers)
        if is_from and isinstance(req, Txn):
            kept = tuple(
                op for op in req.success if getattr(op, "key", "") != JOB_LEADERS_KEY
            )
            req = evolve(req, success=kept)
        return await call(self, req, timeout)

    monkeypatch.setattr(GatedStore, "call", call_without_record)
    writers.update(names[1:])
    cluster.kill_entries(names[0])
    cluster.advance(3)
    second = cluster.leader()
    assert read_possible_leaders(cluster).term == 1
    cluster.start_entry(names[0])
    cluster.advance(1)
    others = [name for name in names[1:] if name != second]
    cut_off(cluster, [second, *others[:2]], [f"i{number}" for number in range(5)])
    for _ in range(round(20 / 0.02)):
        cluster.advance(0.02)
        assert cluster.find_leaders_taken_as_ended() == []
    assert not cluster.find_breaches()

"""What a new leader starts from zero, in a row of planned hand-overs."""

import pytest

from fighead.codec import from_json, to_json
from fighead.decisions.filler_effects import FillerEffects
from fighead.decisions.interference import Learned
from fighead.model import JobMember
from fighead.store import JOB_MEMBERS_PREFIX, LEARNED_EFFECTS_KEY
from job_cluster import JobCluster
from test_handover import (
    find_schedule,
    lose_instances,
    release_instance,
    restart_when_stopped,
    stop_leader,
)

#: Bound of the users' pages for service after a loss, in seconds.
RECOVERY_S = 12
HAND_OVERS = 10
GAPS_S = (1, 2, 5)


def start_cluster(entries=9):
    """Return a cluster whose entries start again after a planned stop."""
    cluster = JobCluster(entry_names=tuple(f"e{n}" for n in range(entries)))
    restart_when_stopped(cluster)
    return cluster


def hand_over_in_a_row(cluster, gap_s, each=lambda number: None):
    """Stop leader after leader, one each ``gap_s`` seconds.

    :param each: Called with the number of the hand-over, in the middle of each gap.
    """
    for number in range(HAND_OVERS):
        stop_leader(cluster)
        cluster.advance(gap_s / 2)
        each(number)
        cluster.advance(gap_s / 2)


# Failure: effects that leaders learn in terms of less than 5 s are all lost.
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_learned_effects_are_stored_in_a_row_of_hand_overs(gap_s):
    cluster = start_cluster()

    def learn(number):
        if cluster.leader() is not None:
            learned = find_schedule(cluster).interference
            effects = learned.effects.setdefault("s", FillerEffects())
            effects.add_filler(f"f{number}", 0.1, 0.001)

    hand_over_in_a_row(cluster, gap_s, learn)
    kv = cluster.store.items.get(LEARNED_EFFECTS_KEY)
    assert kv is not None
    assert from_json(kv.value, Learned).effects


# Failure: each entry that was ever lost for good delays all later elections.
def test_a_leader_is_elected_in_time_after_many_entries_were_lost_for_good():
    cluster = start_cluster(entries=3)
    for number in range(2000):
        name = f"lost{number}"
        member = to_json(JobMember(name, "z", "tcp://lost"))
        cluster.store.put(JOB_MEMBERS_PREFIX + name, member)
    cluster.advance(1)
    cluster.kill_entries(cluster.leader())
    cluster.advance(RECOVERY_S)
    assert cluster.leader() is not None


def replace_entry(cluster, name, successor):
    """Stop an entry as planned for good, and start another one."""
    if not cluster.entries[name].gate.is_dead:
        cluster.entries[name].entry.stop()
    cluster.start_entry(successor)


def find_settling_time(cluster, limit_s):
    """Return after how many seconds a leader is settled; ``None`` if not in time."""
    for step in range(limit_s * 10):
        if cluster.leader() is not None and find_schedule(cluster).is_settled:
            return step / 10
        cluster.advance(0.1)
    return None


# Failure: the electorate names entries and instances that left in terms too short to
# replace it, so that a later leader waits 60 s for an earlier one to end.
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_a_loss_is_overcome_in_time_after_all_were_replaced_in_short_terms(gap_s):
    cluster = start_cluster()
    cluster.on_end = cluster.kill_entries
    cluster.advance(4)

    def replace(number):
        if number < 9:
            replace_entry(cluster, f"e{number}", f"n{number}")
        if number < 4:
            cluster.add_instance(f"n{number}")
            release_instance(cluster, f"i{number}")

    hand_over_in_a_row(cluster, gap_s, replace)
    lose_instances(cluster, "n0")
    cluster.kill_entries(cluster.leader())
    assert find_settling_time(cluster, RECOVERY_S) is not None


# Failure: entries that are gone for good count as electors for the first 10 s of each
# term, so that a later leader waits 60 s for an earlier one to end.
@pytest.mark.parametrize("gap_s", GAPS_S)
def test_a_loss_is_overcome_in_time_after_short_terms_beside_lost_entries(gap_s):
    cluster = start_cluster()
    cluster.advance(4)
    lost = [name for name in cluster.entries if name != cluster.leader()][:5]
    cluster.kill_entries(*lost)
    cluster.advance(20)
    hand_over_in_a_row(cluster, gap_s)
    lose_instances(cluster, "i0", "i1", "i2")
    cluster.kill_entries(cluster.leader())
    assert find_settling_time(cluster, RECOVERY_S) is not None

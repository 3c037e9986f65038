"""Decisions of an entry that does not reach the store."""

import datetime as dt
import random

from fighead.decisions import connectivity
from fighead.decisions.connectivity import (
    ANSWER_TIME,
    MAX_ASKED,
    REPORT_LIFETIME,
    Connectivity,
    PeerReport,
    choose_asked,
    find_relays,
    is_cut_off,
    is_ready,
    is_silent,
    is_store_out_of_reach,
)

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
LATER = START + ANSWER_TIME


def make_state(*peers):
    """Return the state of an entry that lost the store and asked peers at START."""
    state = Connectivity()
    connectivity.note_store(state, False, START)
    for peer in peers:
        connectivity.note_question(state, peer, START)
    return state


def report(state, peer, asked_at=START, **reached):
    connectivity.note_report(state, peer, PeerReport(asked_at, **reached))


def test_an_entry_that_has_not_called_the_store_yet_is_not_cut_off():
    state = Connectivity()
    assert not is_cut_off(state, False, LATER)
    assert not is_store_out_of_reach(state, LATER)
    assert is_ready(state, False, LATER)


def test_peers_have_time_to_answer_before_an_entry_counts_as_cut_off():
    state = make_state("a")
    just_before = LATER - dt.timedelta(milliseconds=1)
    assert not is_cut_off(state, False, just_before)
    assert not is_silent(state, "a", just_before)
    assert is_cut_off(state, False, LATER)
    assert is_silent(state, "a", LATER)


def test_failures_in_a_row_count_from_the_first():
    state = make_state("a")
    connectivity.note_store(state, False, LATER)
    assert is_cut_off(state, False, LATER)


def test_an_answer_of_the_store_ends_the_cut_at_once():
    state = make_state("a")
    connectivity.note_store(state, True, LATER)
    assert not is_cut_off(state, False, LATER)
    assert not is_silent(state, "a", LATER)


def test_a_peer_that_reaches_the_store_relays_calls_as_long_as_it_tells_so():
    state = make_state("a", "b")
    report(state, "a", reaches_store=True)
    report(state, "b")
    assert find_relays(state, LATER) == ["a"]
    assert not is_cut_off(state, False, LATER)
    assert not is_store_out_of_reach(state, LATER)
    end = START + REPORT_LIFETIME
    assert not find_relays(state, end)
    assert is_store_out_of_reach(state, end)


def test_an_entry_that_reaches_the_leader_alone_serves_without_the_store():
    state = make_state("a")
    report(state, "a", schedules=True)
    assert not is_cut_off(state, False, LATER)
    assert is_store_out_of_reach(state, LATER)


def test_a_leader_with_authority_is_not_cut_off():
    state = make_state("a")
    assert not is_cut_off(state, True, LATER)
    assert is_store_out_of_reach(state, LATER)


def test_an_entry_that_is_cut_off_is_not_ready_while_a_peer_is_silent():
    state = make_state("a", "b")
    report(state, "a")
    assert is_cut_off(state, False, LATER)
    assert not is_ready(state, False, LATER)


def test_an_entry_whose_peers_all_answer_stays_ready_in_an_outage():
    state = make_state("a", "b")
    report(state, "a")
    report(state, "b")
    assert is_cut_off(state, False, LATER)
    assert is_ready(state, False, LATER)


def test_a_single_entry_stays_ready():
    assert is_ready(make_state(), False, LATER)


def test_an_answer_to_a_question_before_the_loss_does_not_count():
    state = make_state("a")
    report(state, "a", START - dt.timedelta(milliseconds=1), reaches_store=True)
    assert not find_relays(state, START)
    assert is_silent(state, "a", LATER)


def test_a_peer_that_has_left_is_not_silent():
    state = make_state("a", "b")
    report(state, "a")
    connectivity.forget_others(state, ["a"])
    assert not is_silent(state, "b", LATER)
    assert is_ready(state, False, LATER)


def test_the_leader_is_asked_among_many_peers():
    peers = [f"e{number}" for number in range(100)]
    sample = random.Random(1).sample
    asked = choose_asked(make_state(), peers, "e99", START, sample)
    assert asked[0] == "e99"
    assert len(set(asked)) == len(asked) == MAX_ASKED
    assert choose_asked(make_state(), ["a"], None, START, sample) == ["a"]


def play_questions(lost_share=0.0, **reached_by_e0):
    """Yield the state of one of 100 entries, and the time, each 0.1 s of a minute.

    :param lost_share: Share of the questions that get no answer.
    :param reached_by_e0: What the peer e0 reaches.
    """
    rng = random.Random(1)
    peers, state, answers = [f"e{number}" for number in range(99)], make_state(), []
    for step in range(600):
        now = START + step * dt.timedelta(seconds=0.1)
        for peer, asked_at in answers:
            report(state, peer, asked_at, **(reached_by_e0 if peer == "e0" else {}))
        answers = []
        if step % 5 == 0:
            for peer in choose_asked(state, peers, None, now, rng.sample):
                connectivity.note_question(state, peer, now)
                if rng.random() >= lost_share:
                    answers.append((peer, now))
        yield state, now


# Failure: requests are refused now and then for want of a relay that is in reach.
def test_a_peer_of_use_among_many_is_kept():
    for reached in ({"reaches_store": True}, {"schedules": True}):
        played = play_questions(**reached)
        cut_off = [is_cut_off(state, False, now) for state, now in played]
        found_at = cut_off.index(False, cut_off.index(True))
        assert not any(cut_off[found_at:])


# Failure: many entries are unready in an outage that all share, as answers are lost.
def test_an_entry_of_many_stays_ready_while_a_few_answers_are_lost():
    assert all(is_ready(state, False, now) for state, now in play_questions(0.01))

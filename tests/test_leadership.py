"""Tests of who schedules, against a store in memory."""

import datetime as dt
import random

import pytest
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.mailbox import spawn
from fighead.model import Member
from fighead.tasks.leadership import LeadershipTask, Resign
from memory_store import MemoryStore


class Entry:
    def __init__(self, name, store, clock):
        self.reigns, self.ends = [], 0
        self.task = LeadershipTask(
            Member(name, "z", f"tcp://{name}"),
            store,
            clock,
            random.Random(name),
            lambda view: None,
            lambda leader, is_same: self.reigns.append((leader.term, is_same)),
            self.end,
        )
        self.fut = spawn(self.task.run())

    def end(self):
        self.ends += 1


@pytest.fixture
def reactor():
    return Clock()


@pytest.fixture
def clock(reactor):
    return ReactorClock(reactor, dt.datetime(2030, 1, 1, tzinfo=dt.UTC))


@pytest.fixture
def store(clock):
    return MemoryStore(clock)


def pass_time(reactor, seconds):
    for _ in range(round(seconds * 100)):
        reactor.advance(0.01)


def leaders(entries):
    return [entry for entry in entries if entry.task.is_leading]


def test_one_of_several_is_elected_and_stays(reactor, clock, store):
    entries = [Entry(f"e{n}", store, clock) for n in range(5)]
    pass_time(reactor, 10)
    assert len(leaders(entries)) == 1
    assert sum(len(entry.reigns) for entry in entries) == 1


def test_nobody_overthrows_a_leader_elected_while_a_lease_is_granted(
    reactor, clock, store
):
    store.grant_delay = dt.timedelta(milliseconds=150)
    entries = [Entry(f"e{n}", store, clock) for n in range(5)]
    pass_time(reactor, 10)
    assert sum(len(entry.reigns) for entry in entries) == 1


def test_a_leader_that_resigns_is_replaced_at_once(reactor, clock, store):
    entries = [Entry(f"e{n}", store, clock) for n in range(3)]
    pass_time(reactor, 3)
    (old,) = leaders(entries)
    old.task.mailbox.offer(Resign())
    pass_time(reactor, 0.5)
    (new,) = leaders(entries)
    assert new is not old and old.ends == 1


def test_a_leader_that_is_refused_is_replaced(reactor, clock, store):
    entries = [Entry(f"e{n}", store, clock) for n in range(3)]
    pass_time(reactor, 3)
    (old,) = leaders(entries)
    store.refuse_leader(old.task.me.name)
    pass_time(reactor, 4)
    terms = [term for entry in entries for term, _ in entry.reigns]
    assert sorted(terms) == [1, 2]


def test_the_same_leader_goes_on_after_its_lease_ran_out(reactor, clock, store):
    entry = Entry("e0", store, clock)
    pass_time(reactor, 3)
    store.is_unavailable = True
    pass_time(reactor, 5)
    store.is_unavailable = False
    pass_time(reactor, 3)
    assert entry.reigns == [(1, False), (2, True)]
    assert entry.ends == 0

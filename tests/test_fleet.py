"""Tests of the task that records which instances may have runs."""

import datetime as dt

from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.mailbox import spawn
from fighead.store import FLEET_KEY, JOB_LEADER_KEY, KeyValue
from fighead.tasks.fleet import Fleet, FleetRecorded, FleetTask, RecordFleet
from memory_store import MemoryStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
FLEETS = (Fleet(("i1",)), Fleet(("i1", "i2")))


def run(store, clock, reactor, *orders):
    reports = []
    fleet = FleetTask(store, clock, reports.append)
    spawn(fleet.run())
    for order in orders:
        fleet.mailbox.offer(order)
    reactor.pump([0.01] * 200)
    return reports


def make_store():
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    store.items[JOB_LEADER_KEY] = KeyValue(JOB_LEADER_KEY, "", 5, 5)
    return store, clock, reactor


def test_a_write_under_an_old_fence_does_not_block_the_next_one():
    """The first write fails if the entry is re-elected while it is in flight."""
    orders = (RecordFleet(4, FLEETS[0]), RecordFleet(5, FLEETS[1]))
    store, *rest = make_store()
    assert run(store, *rest, *orders) == [FleetRecorded(FLEETS[1])]
    assert "i2" in store.items[FLEET_KEY].value


def test_an_unanswered_write_is_repeated():
    store, *rest = make_store()
    store.lose_answers = 2
    order = RecordFleet(5, FLEETS[0])
    assert run(store, *rest, order) == [FleetRecorded(FLEETS[0])]

"""Tests of the deletion of records of ended jobs after their retention."""

import datetime as dt

import pytest
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.codec import to_json
from fighead.job import JobEnding, JobPhase
from fighead.mailbox import spawn
from fighead.store import JOB_ENDINGS_PREFIX, JOB_LEADER_KEY
from fighead.tasks.sweeper import SweeperTask
from job_cluster import NO_ERROR, Gate, GatedClock
from memory_store import MemoryStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
HOUR = dt.timedelta(hours=1)


def test_old_endings_are_removed_by_the_leader_only():
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    fence = store.put(JOB_LEADER_KEY, "{}").revision
    for number in range(40):
        ended_at = START - dt.timedelta(seconds=1000 if number % 2 else 0)
        ending = JobEnding(JobPhase.COMPLETED, "q", int(ended_at.timestamp() * 1000))
        store.put(f"{JOB_ENDINGS_PREFIX}{number:016x}", to_json(ending))
    spawn(SweeperTask(store, clock, dt.timedelta(seconds=120), fence - 1).run())
    for _ in range(620):
        reactor.advance(0.1)
    assert len(store.items) == 41
    spawn(SweeperTask(store, clock, dt.timedelta(seconds=120), fence).run())
    for _ in range(620):
        reactor.advance(0.1)
    assert len(store.items) == 21


@pytest.mark.parametrize(
    ("start_error", "wall_error"), [(HOUR, NO_ERROR), (NO_ERROR, HOUR)]
)
def test_an_ending_is_kept_while_one_of_the_clocks_is_ahead(start_error, wall_error):
    reactor = Clock()
    true_clock = ReactorClock(reactor, START)
    store = MemoryStore(true_clock)
    fence = store.put(JOB_LEADER_KEY, "{}").revision
    ending = JobEnding(JobPhase.COMPLETED, "q", int(START.timestamp() * 1000))
    store.put(f"{JOB_ENDINGS_PREFIX}{1:016x}", to_json(ending))
    clock = GatedClock(true_clock, Gate(), start_error, wall_error)
    spawn(SweeperTask(store, clock, dt.timedelta(seconds=120), fence).run())
    for _ in range(620):
        reactor.advance(0.1)
    assert len(store.items) == 2
    clock.start_error = clock.wall_error = NO_ERROR
    for _ in range(4200):
        reactor.advance(0.1)
    assert len(store.items) == 1


# Failure: leaders that follow one another within a minute never delete any records.
@pytest.mark.parametrize("term_s", [1, 2, 5])
def test_old_endings_are_removed_in_a_row_of_short_terms(term_s):
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    ended_ms = int((START - HOUR).timestamp() * 1000)
    ending = JobEnding(JobPhase.COMPLETED, "q", ended_ms)
    store.put(f"{JOB_ENDINGS_PREFIX}{1:016x}", to_json(ending))
    reactor.advance(0.5)
    for _ in range(70 // term_s):
        fence = store.put(JOB_LEADER_KEY, "{}").revision
        sweeper = SweeperTask(store, clock, dt.timedelta(seconds=120), fence)
        running = spawn(sweeper.run())
        for _ in range(term_s * 10):
            reactor.advance(0.1)
        running.cancel()
    assert list(store.items) == [JOB_LEADER_KEY]

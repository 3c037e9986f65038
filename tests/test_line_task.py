"""Tests of the writes of a line task, against a fake store."""

import datetime as dt
import random

from attrs import define, evolve, field
from pyrsistent import pmap
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.decisions import line_state
from fighead.exceptions import LeaseLostError
from fighead.model import Category, Phase, Upstream, WorkRecord
from fighead.store import LeaseGrant, LeaseResult, TxnResult
from fighead.tasks.line import LineTask

START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
RECORD = WorkRecord("u", "a", "r1", "plan", Category.PLAN, True, "", "d", START)


@define(eq=False)
class FakeStore:
    """Grants numbered leases and records the lease of each write.

    If ``is_lease_lost`` is set, the next write fails as if its lease had expired.
    """

    granted: int = 0
    is_lease_lost: bool = False
    leases: list = field(factory=list)

    def offer(self, call):
        if isinstance(call.request, LeaseGrant):
            self.granted += 1
            call.reply.callback(LeaseResult(self.granted, call.request.ttl_s))
            return
        lease = call.request.success[0].lease
        self.leases.append(lease)
        if self.is_lease_lost:
            self.is_lease_lost = False
            call.reply.errback(LeaseLostError("lost", "none"))
            return
        call.reply.callback(TxnResult(True, 10 + len(self.leases)))


def make_task(store):
    state = line_state.LineState(Upstream("u"), pmap(), pmap())
    clock = ReactorClock(Clock(), START)
    return LineTask(
        state, "line/u", 3, clock, random.Random(1), store, lambda *_args: None
    )


def write(task, record):
    results = []
    ensureDeferred(task._write(record, 5)).addBoth(results.append)
    task.mailbox.get().addBoth(results.append)
    return results


def test_ended_work_is_written_under_one_retention_lease():
    store = FakeStore()
    task = make_task(store)
    ended = evolve(RECORD, phase=Phase.DONE)
    write(task, ended)
    write(task, ended)
    assert store.leases == [1, 1]
    write(task, RECORD)
    assert store.leases[-1] == 0


def test_a_lost_retention_lease_is_replaced_and_the_write_retried():
    # Guards against giving up the write of ended work when its lease is lost, which
    # left the work open.
    store = FakeStore()
    task = make_task(store)
    ended = evolve(RECORD, phase=Phase.DONE)
    write(task, ended)
    store.is_lease_lost = True
    results = write(task, ended)
    assert store.leases == [1, 1, 2]
    assert any(isinstance(msg, line_state.RecordWritten) for msg in results)

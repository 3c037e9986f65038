"""Tests of writes whose answers are lost, and of the breaker."""

import datetime as dt
import random

import pytest
from attrs import define, field
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.decisions import breaker as breaking
from fighead.decisions.breaker import Breaker
from fighead.exceptions import (
    MailboxFullError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fighead.store import KeyValue, TxnResult, delete_if_unchanged, put_if_unchanged
from fighead.tasks.write_retry import write_with_retries

START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
UNKNOWN = StoreOutcomeUnknownError("cut", "retry")
UNAVAILABLE = StoreUnavailableError("away", "retry")


@define(eq=False)
class FakeStore:
    """Mailbox of a store with one key; ``plan`` lists what happens to each call.

    ``ok`` executes and answers it, ``lost`` executes it and loses the answer, ``cut``
    loses the call, ``away`` fails before it is sent, ``full`` rejects the message. An
    exhausted plan counts as ``ok``.
    """

    plan: list
    kv: KeyValue = KeyValue("/k")
    revision: int = 10
    calls: list = field(factory=list)

    def offer(self, call):
        step = self.plan.pop(0) if self.plan else "ok"
        self.calls.append(step)
        if step == "full":
            raise MailboxFullError("full", "retry")
        if step == "away":
            call.reply.errback(UNAVAILABLE)
            return
        result = None if step == "cut" else self._apply(call.request)
        if step == "ok":
            call.reply.callback(result)
        else:
            call.reply.errback(UNKNOWN)

    def _apply(self, txn):
        if txn.compares[0].mod_revision != self.kv.mod_revision:
            found = (self.kv,) if self.kv.mod_revision else ()
            return TxnResult(False, self.revision, found)
        self.revision += 1
        write = txn.success[0]
        value = getattr(write, "value", None)
        if value is None:
            self.kv = KeyValue("/k")
        else:
            self.kv = KeyValue("/k", value, self.revision, self.revision)
        return TxnResult(True, self.revision)


def run(store, txn, deadline_s=None):
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    deadline = deadline_s and START + dt.timedelta(seconds=deadline_s)
    results = []
    deferred = ensureDeferred(
        write_with_retries(store, clock, random.Random(1), txn, deadline)
    )
    deferred.addBoth(results.append)
    reactor.pump([0.1] * 300)
    return results[0]


@pytest.mark.parametrize(
    "plan", [["lost"], ["cut"], ["away"], ["full"], ["lost", "cut", "away"]]
)
def test_a_write_is_retried_until_its_outcome_is_known(plan):
    store = FakeStore(list(plan))
    outcome = run(store, put_if_unchanged("/k", "mine", 0))
    assert outcome.written
    assert store.kv.value == "mine"
    assert store.kv.create_revision == 11


def test_a_conflicting_write_is_not_taken_for_a_lost_answer():
    store = FakeStore([], KeyValue("/k", "theirs", 9, 9))
    outcome = run(store, put_if_unchanged("/k", "mine", 0))
    assert not outcome.written
    assert outcome.kv.value == "theirs"


def test_a_deletion_with_a_lost_answer_counts_as_written():
    store = FakeStore(["lost"], KeyValue("/k", "mine", 9, 9))
    assert run(store, delete_if_unchanged("/k", 9)).written


def test_the_deadline_error_distinguishes_not_sent_from_unknown():
    failure = run(FakeStore(["away"] * 99), put_if_unchanged("/k", "mine", 0), 2)
    assert failure.check(StoreUnavailableError)
    plan = ["away", "cut", *["away"] * 99]
    failure = run(FakeStore(plan), put_if_unchanged("/k", "mine", 0), 2)
    assert failure.check(StoreOutcomeUnknownError)


def test_breaker_opens_probes_and_closes():
    state = Breaker()
    for _ in range(breaking.FAILURES_TO_OPEN):
        assert breaking.may_send(state, START)
        state = breaking.record_failure(state, START, jitter=0.5)
    assert not breaking.may_send(state, START)
    later = START + breaking.PROBE_INTERVAL
    assert breaking.may_send(state, later)
    assert not breaking.may_send(breaking.reserve_probe(state, later), later)
    assert breaking.may_send(breaking.record_success(state), START)

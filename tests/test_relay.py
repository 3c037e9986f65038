"""Tests of store calls relayed through a peer."""

import datetime as dt

from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from fighead.job_message import StoreAnswer
from fighead.store import Put, Txn, TxnResult
from fighead.tasks.relay import RelayingStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
SECOND = dt.timedelta(seconds=1)
WRITE = Txn((), (Put("k", "v"),))


class RefusingStore:
    async def call(self, req, timeout):
        raise StoreUnavailableError("503", "wait")


def make_store(*answers):
    """Return a store that refuses this entry, relayed by a peer with fixed answers."""
    answers_left = list(answers)
    clock = ReactorClock(Clock(), START)
    store = RelayingStore(
        RefusingStore(), clock, lambda *_: succeed(answers_left.pop(0))
    )
    store.set_store_reached(False)
    return store


def result_of_write(store):
    results = []
    deferred = ensureDeferred(store.call(WRITE, SECOND))
    deferred.addCallbacks(results.append, lambda failure: results.append(failure.value))
    return results[0]


def test_an_unknown_outcome_stays_unknown_if_later_attempts_have_no_effect():
    result = result_of_write(make_store(StoreAnswer(is_uncertain=True), StoreAnswer()))
    assert isinstance(result, StoreOutcomeUnknownError)


def test_a_write_that_store_and_peer_refuse_had_no_effect():
    result = result_of_write(make_store(StoreAnswer(), StoreAnswer()))
    assert isinstance(result, StoreUnavailableError)
    assert not isinstance(result, StoreOutcomeUnknownError)


def test_a_later_attempt_resolves_an_unknown_outcome():
    done = TxnResult(True, 7)
    result = result_of_write(
        make_store(StoreAnswer(is_uncertain=True), StoreAnswer(result=done))
    )
    assert result == done

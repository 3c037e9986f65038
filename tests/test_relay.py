"""Tests of calls to the store by way of a peer."""

import datetime as dt

from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from fighead.job_message import StoreAnswer
from fighead.store import Put, Txn, TxnResult
from fighead.tasks.relay import RelayedStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
SECOND = dt.timedelta(seconds=1)
WRITE = Txn((), (Put("k", "v"),))


class RefusingStore:
    async def call(self, req, timeout):
        raise StoreUnavailableError("503", "wait")


def relayed(*answers):
    """A store that turns this entry away, and a peer with prepared answers."""
    left = list(answers)
    clock = ReactorClock(Clock(), START)
    store = RelayedStore(RefusingStore(), clock, lambda *_: succeed(left.pop(0)))
    store.note_contact(False)
    return store


def outcome(store):
    found = []
    fut = ensureDeferred(store.call(WRITE, SECOND))
    fut.addCallbacks(found.append, lambda failure: found.append(failure.value))
    return found[0]


def test_a_write_without_an_answer_stays_unknown_though_later_tries_do_nothing():
    found = outcome(relayed(StoreAnswer(is_uncertain=True), StoreAnswer()))
    assert isinstance(found, StoreOutcomeUnknownError)


def test_a_write_that_all_refuse_has_certainly_done_nothing():
    found = outcome(relayed(StoreAnswer(), StoreAnswer()))
    assert isinstance(found, StoreUnavailableError)
    assert not isinstance(found, StoreOutcomeUnknownError)


def test_a_later_try_settles_a_write_without_an_answer():
    done = TxnResult(True, 7)
    found = outcome(relayed(StoreAnswer(is_uncertain=True), StoreAnswer(result=done)))
    assert found == done

"""Tests of the counts of calls that a connection pool keeps."""

import datetime as dt

import pytest
from twisted.internet import error
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from fighead.clock import ReactorClock
from fighead.http_client import HttpNotSentError, HttpPool, HttpRequest
from fighead.process_load import CallCounts

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)


@pytest.fixture
def reactor():
    return MemoryReactorClock()


@pytest.fixture
def pool(reactor):
    return HttpPool(reactor, ReactorClock(reactor, START))


def send(pool):
    """Send a request; return a list that receives the type of its failure."""
    failures = []
    fut = pool.request("10.0.0.1:80", HttpRequest("GET", "/"), dt.timedelta(seconds=2))
    fut.addErrback(lambda failure: failures.append(failure.type))
    return failures


def fail_connection(reactor, exc):
    factory = reactor.tcpClients[-1][2]
    factory.clientConnectionFailed(None, Failure(exc))


def test_a_refused_connection_counts_as_failed(reactor, pool):
    failures = send(pool)
    fail_connection(reactor, error.ConnectionRefusedError())
    assert failures == [HttpNotSentError]
    assert pool.counts() == CallCounts(connections=1, failed=1)


def test_a_connection_without_an_answer_counts_as_timed_out(reactor, pool):
    send(pool)
    fail_connection(reactor, error.TimeoutError())
    assert pool.counts() == CallCounts(connections=1, timed_out=1)


def test_a_call_without_an_answer_counts_as_timed_out(reactor, pool):
    failures = send(pool)
    reactor.advance(2.1)
    assert failures == [HttpNotSentError]
    assert pool.counts() == CallCounts(connections=1, timed_out=1)

"""Tests of the connection pool: counts of calls, and answers that are not HTTP."""

import datetime as dt

import pytest
from twisted.internet import error
from twisted.internet.defer import CancelledError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from fighead.clock import ReactorClock
from fighead.http_client import (
    MAX_RESPONSE_BYTES,
    HttpLostError,
    HttpNotSentError,
    HttpPool,
    HttpRequest,
)
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
    assert pool.counts() == CallCounts(connections=1, failed=1, unsent=1)


def test_a_connection_without_an_answer_counts_as_timed_out(reactor, pool):
    send(pool)
    fail_connection(reactor, error.TimeoutError())
    assert pool.counts() == CallCounts(connections=1, timed_out=1, unsent=1)


def test_a_call_without_an_answer_counts_as_timed_out(reactor, pool):
    failures = send(pool)
    reactor.advance(2.1)
    assert failures == [HttpNotSentError]
    assert pool.counts() == CallCounts(connections=1, timed_out=1, unsent=1)


class Transport(StringTransport):
    """A transport that tells its protocol when it is aborted.

    :cvar on_write: Called after each write.
    """

    on_write = staticmethod(lambda: None)

    def write(self, data):
        super().write(data)
        self.on_write()

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.disconnected = True
        self.protocol.connectionLost(Failure(error.ConnectionAborted()))

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        self.protocol.connectionLost(Failure(error.ConnectionDone()))


def connect(reactor, number=-1, transport=None):
    """Complete a connection attempt, by default the latest; return its protocol."""
    protocol = reactor.tcpClients[number][2].buildProtocol(None)
    transport = transport or Transport()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return protocol


def connect_all(reactor):
    """Complete all connection attempts; return their protocols."""
    return [connect(reactor, number) for number in range(len(reactor.tcpClients))]


def ask(pool, req=None, address="10.0.0.1:80"):
    """Send a request; return a list that receives the response or the failure."""
    results = []
    req = req or HttpRequest("POST", "/call", b"{}", (("Fighead-Target", "i-1"),))
    fut = pool.request(address, req, dt.timedelta(seconds=2))
    fut.addCallbacks(results.append, lambda failure: results.append(failure.type))
    return results


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def test_a_response_is_read_in_any_pieces_and_the_connection_used_again(reactor, pool):
    results = ask(pool)
    protocol = connect(reactor)
    for n in range(len(OK_RESPONSE)):
        protocol.dataReceived(OK_RESPONSE[n : n + 1])
    assert [(r.status, r.body) for r in results] == [(200, b"{}")]
    more = ask(pool)
    protocol.dataReceived(b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n")
    protocol.dataReceived(b"3\r\nabc\r\n0\r\n\r\n")
    assert [(r.status, r.body) for r in more] == [(503, b"abc")]
    assert pool.counts() == CallCounts(sent=2, connections=1)


def test_an_interim_response_is_no_answer(reactor, pool):
    results = ask(pool)
    protocol = connect(reactor)
    protocol.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert results == []
    protocol.dataReceived(OK_RESPONSE)
    assert results[0].status == 200


def test_a_connection_that_the_server_closes_is_not_used_again(reactor, pool):
    results = ask(pool)
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    connect(reactor).dataReceived(head)
    assert results[0].status == 200
    ask(pool)
    assert pool.connections == 2


@pytest.mark.parametrize(
    "data",
    [
        b"garbage\r\n\r\n",
        b"\x00" * 64,
        b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        OK_RESPONSE + OK_RESPONSE,
    ],
)
def test_an_answer_that_is_not_http_fails_the_call_as_lost(reactor, pool, data):
    results = ask(pool)
    connect(reactor).dataReceived(data)
    assert results == [HttpLostError]
    # The next call opens a connection of its own.
    ask(pool)
    assert pool.connections == 2


def test_a_sent_call_without_an_answer_does_not_count_as_unsent(reactor, pool):
    ask(pool)
    connect(reactor)
    reactor.advance(2.1)
    assert pool.counts() == CallCounts(sent=1, connections=1, timed_out=1)


def test_an_endless_answer_fails_the_call_as_lost(reactor, pool):
    results = ask(pool)
    protocol = connect(reactor)
    protocol.dataReceived(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    piece = b"100000\r\n" + b"x" * 0x100000 + b"\r\n"
    for _ in range(MAX_RESPONSE_BYTES // 0x100000 + 1):
        if not results:
            protocol.dataReceived(piece)
    assert results == [HttpLostError]


def test_data_without_a_request_close_the_connection(reactor, pool):
    ask(pool)
    protocol = connect(reactor)
    protocol.dataReceived(OK_RESPONSE)
    protocol.dataReceived(OK_RESPONSE)
    ask(pool)
    assert pool.connections == 2


@pytest.mark.parametrize(
    "req",
    [
        HttpRequest("GET", "/a b"),
        HttpRequest("GET", "/a\r\nX: y"),
        HttpRequest("GET", "/a", headers=(("X", "y\r\nZ: 1"),)),
        HttpRequest("GET", "/a", headers=(("X", "\N{SNOWMAN}"),)),
    ],
)
def test_a_request_that_can_not_be_encoded_is_not_sent(reactor, pool, req):
    assert ask(pool, req) == [HttpNotSentError]
    assert pool.counts() == CallCounts(failed=1, unsent=1)


@pytest.mark.parametrize(
    "address",
    ["", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "10.0.0.1:-1"]
    + ["10.0.0.1:" + "9" * 5000, "10.0.0.1:x", ":80", "a\r\nX: y:80", "\ud800:80"],
)
def test_calls_to_an_address_that_can_not_be_used_all_fail_at_once(
    reactor, pool, address
):
    # More calls than the pool opens connections to one address.
    for _ in range(2 * pool.max_per_address):
        assert ask(pool, address=address) == [HttpNotSentError]
    assert not reactor.tcpClients
    count = 2 * pool.max_per_address
    assert pool.counts() == CallCounts(failed=count, unsent=count)
    results = ask(pool)
    connect(reactor).dataReceived(OK_RESPONSE)
    assert results[0].status == 200


# Failure: a task that was cancelled during a call took it for a failed one and went on.
@pytest.mark.parametrize("is_connected", [False, True])
def test_a_cancelled_call_fails_as_cancelled(reactor, pool, is_connected):
    failures = []
    fut = pool.request("10.0.0.1:80", HttpRequest("GET", "/"), dt.timedelta(seconds=2))
    fut.addErrback(lambda failure: failures.append(failure.type))
    if is_connected:
        connect(reactor)
    fut.cancel()
    assert failures == [CancelledError]


# Failure: calls without answers hold all connections, so that no other is sent.
def test_a_call_opens_a_further_connection_once_it_has_waited_for_one(reactor):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 4, 2)
    for _ in range(8):
        ask(pool)
    reactor.advance(0.05)
    assert len(reactor.tcpClients) == 4
    reactor.advance(0.06)
    assert len(reactor.tcpClients) == 6
    reactor.advance(1)
    assert len(reactor.tcpClients) == 6
    results = ask(pool)
    reactor.advance(2)
    assert results == [HttpNotSentError]


def test_a_call_that_gets_a_connection_soon_opens_no_further_one(reactor):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 1, 2)
    ask(pool)
    conn = connect(reactor)
    results = ask(pool)
    reactor.advance(0.05)
    conn.dataReceived(OK_RESPONSE)
    conn.dataReceived(OK_RESPONSE)
    reactor.advance(1)
    assert results[0].status == 200
    assert len(reactor.tcpClients) == 1


class CountingClock(ReactorClock):
    """A clock that counts the calls that it is asked for."""

    count = 0

    def call_later(self, delay, fn):
        self.count += 1
        return super().call_later(delay, fn)


# Failure: a call that waits takes time every 100 ms, so that thousands take all of it.
def test_a_call_that_waits_for_a_connection_is_looked_at_once(reactor):
    clock = CountingClock(reactor, START)
    pool = HttpPool(reactor, clock, 1, 1)
    for _ in range(50):
        ask(pool)
    reactor.pump([0.01] * 190)
    # The limit on the call, and the time after which it may open a connection.
    assert clock.count <= 2 * 50


# Failure: a call that has waited goes behind later ones, and ends without being sent.
def test_calls_get_connections_in_the_order_in_which_they_came(reactor):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 1, 1)
    for _ in range(2):
        ask(pool)
    reactor.advance(0.11)
    conn, _ = connect_all(reactor)
    earlier = ask(pool)
    reactor.advance(0.09)
    later = ask(pool)
    reactor.advance(0.03)
    conn.dataReceived(OK_RESPONSE)
    conn.dataReceived(OK_RESPONSE)
    assert len(earlier) == 1 and not later
    conn.dataReceived(OK_RESPONSE)
    assert len(later) == 1


# Failure: the call that waits longest is passed over when a further connection closes.
def test_a_call_that_has_waited_replaces_a_further_connection_that_closes(reactor):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 1, 1)
    for _ in range(3):
        ask(pool)
    reactor.advance(0.11)
    _, further = connect_all(reactor)
    later = ask(pool)
    further.connectionLost(Failure(error.ConnectionLost()))
    assert len(reactor.tcpClients) == 3 and not later


# Failure: a call opens a further connection before it has waited for one.
def test_a_call_that_has_just_come_replaces_no_further_connection(reactor):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 1, 1)
    for _ in range(2):
        ask(pool)
    reactor.advance(0.11)
    _, further = connect_all(reactor)
    ask(pool)
    further.connectionLost(Failure(error.ConnectionLost()))
    assert len(reactor.tcpClients) == 2
    reactor.advance(0.11)
    assert len(reactor.tcpClients) == 3


def make_slow_transport(reactor, service_s):
    """Return a transport to a server that takes a time for each answer."""

    transport = Transport()

    def answer():
        if not (transport.disconnected or transport.disconnecting):
            transport.protocol.dataReceived(OK_RESPONSE)

    transport.on_write = lambda: reactor.callLater(service_s, answer)
    return transport


# Failure: under a steady overload each call is sent so late that it gets no answer.
@pytest.mark.parametrize(("rate", "service_s"), [(170, 0.05), (60, 0.2)])
def test_an_overloaded_server_answers_as_many_calls_as_it_can(reactor, rate, service_s):
    pool = HttpPool(reactor, ReactorClock(reactor, START), 4, 4)
    results, served, step_s, seconds = [], 0, 0.01, 10
    for step in range(round((seconds + 2) / step_s)):
        while len(results) < min(step * step_s, seconds) * rate:
            results.append(ask(pool))
        for number in range(served, len(reactor.tcpClients)):
            connect(reactor, number, make_slow_transport(reactor, service_s))
        served = len(reactor.tcpClients)
        reactor.advance(step_s)
    kinds = [getattr(result, "__name__", "answer") for (result,) in results]
    # A step of the clock adds to the time of each answer.
    capacity = (4 + 4) / (service_s + step_s) * seconds
    assert kinds.count("answer") >= 0.9 * min(capacity, rate * seconds)
    assert kinds.count("HttpLostError") <= 0.05 * rate * seconds

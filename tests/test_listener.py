import datetime as dt

import pytest
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from fighead.clock import ReactorClock
from fighead.fronts.job import JobCodec, JobFront
from fighead.fronts.refusal import answer_or_refuse
from fighead.job import JobConfig, JobSpec, Queue
from fighead.job_front_context import JobFrontContext
from fighead.job_metric import JobMetrics
from fighead.log import Event
from fighead.mailbox import spawn
from fighead.tasks import listener as listeners
from fighead.tasks.call import call
from fighead.tasks.listener import CloseConnections, ListenerTask

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
REFUSE_AT_S = 3
CLOSE_AT_S = 3.5


class Transport(StringTransport):
    """A connection in memory, whose client may not read."""

    is_aborted = False
    reads = True

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        if self.reads:
            self.end()

    def abortConnection(self):  # noqa: N802
        self.is_aborted = True
        self.end()

    def end(self):
        if self.protocol is not None:
            protocol, self.protocol = self.protocol, None
            protocol.connected = 0
            protocol.connectionLost(Failure(ConnectionDone()))

    def setTcpNoDelay(self, _):  # noqa: N802
        pass


class SlowTransport(Transport):
    """A connection that writes when the reactor next handles sockets."""

    def __init__(self, reactor):
        super().__init__()
        self.reactor = reactor
        self.written = b""

    def write(self, data):
        super().write(data)
        self.reactor.callLater(0.001, self.flush)

    def flush(self):
        if self.protocol is not None:
            self.written = self.value()

    def loseConnection(self):  # noqa: N802
        self.reactor.callLater(0.001, super().loseConnection)


class Port:
    is_open = True

    def stopListening(self):  # noqa: N802
        self.is_open = False


class World:
    """A listener whose front answers when it is told to."""

    def __init__(self):
        self.reactor = Clock()
        self.clock = ReactorClock(self.reactor, START)
        self.answers = []
        self.port = Port()
        self.listener = ListenerTask(
            self.clock, self.listen, self.make_resource(), max_body_bytes=100
        )
        self.listener.start()
        spawn(self.listener.run())

    def make_resource(self):
        app = Klein()

        @app.route("/", branch=True)
        async def serve(request):
            answer = Deferred()
            self.answers.append(answer)
            return await answer_or_refuse(
                request, self.wait(answer), lambda: b"refused"
            )

        return app.resource()

    async def wait(self, answer):
        return await answer

    def listen(self, site):
        site.reactor = self.reactor
        self.site = site
        return self.port

    def connect(self, transport=None):
        transport = transport or Transport()
        protocol = self.site.buildProtocol(None)
        transport.protocol = protocol
        protocol.makeConnection(transport)
        return protocol, transport

    def close(self, refuse_at_s=REFUSE_AT_S, close_at_s=CLOSE_AT_S):
        self.closed = []
        msg = CloseConnections(
            START + dt.timedelta(seconds=refuse_at_s),
            START + dt.timedelta(seconds=close_at_s),
        )
        call(self.listener.mailbox, msg).addCallback(self.closed.append)

    def advance(self, seconds):
        for _ in range(round(seconds * 100)):
            self.reactor.advance(0.01)


class JobWorld(World):
    """A listener with the front of jobs of an entry that stops and reaches nobody."""

    def make_resource(self):
        context = JobFrontContext(
            self.clock,
            SilentStore(),
            lambda _: Deferred(),
            lambda _: None,
            JobMetrics("e1"),
            config=JobConfig(1, (Queue("q", "a", "/q/", "u"),)),
            is_draining=True,
        )
        codec = JobCodec("Time", str, lambda _: JobSpec("x", ()), *[encode] * 3)
        return JobFront(context, codec).app.resource()


def encode(value):
    return str(value).encode()


class SilentStore:
    """A store that never answers."""

    async def call(self, req, timeout):
        await Deferred()


@pytest.fixture
def world():
    return World()


@pytest.fixture
def events(monkeypatch):
    found = []
    monkeypatch.setattr(
        listeners, "log_event", lambda event, **details: found.append((event, details))
    )
    return found


def test_an_idle_connection_is_closed_at_once(world):
    _, transport = world.connect()
    world.close()
    world.advance(0.2)
    assert not world.port.is_open
    assert transport.disconnecting
    assert world.closed[0].answered == world.closed[0].cut == 0


def test_a_request_in_progress_is_answered_before_its_connection_is_closed(world):
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    world.close()
    world.advance(2)
    assert not transport.disconnecting and not world.closed
    world.answers[0].callback(b"late")
    world.advance(0.02)
    assert b"late" in transport.value() and transport.disconnecting
    assert (world.closed[0].answered, world.closed[0].refused) == (1, 0)


def test_a_request_that_arrives_just_after_the_port_is_closed_is_answered(world):
    protocol, transport = world.connect()
    world.close()
    world.advance(0.05)
    protocol.dataReceived(GET)
    world.answers[0].callback(b"answer")
    world.advance(0.2)
    assert b"answer" in transport.value()
    assert world.closed[0].answered == 1


def test_a_pipelined_request_is_answered_before_its_connection_is_closed(world):
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    protocol.dataReceived(GET)
    world.close()
    world.advance(1)
    world.answers[0].callback(b"first")
    world.advance(0.02)
    assert not transport.disconnecting
    world.answers[1].callback(b"second")
    world.advance(0.02)
    assert b"second" in transport.value() and transport.disconnecting


def test_a_request_that_arrives_in_parts_is_answered(world):
    protocol, transport = world.connect()
    protocol.dataReceived(POST + b"ab")
    world.close()
    world.advance(0.3)
    protocol.dataReceived(b"cd")
    world.answers[0].callback(b"whole")
    world.advance(0.1)
    assert b"whole" in transport.value()


def test_a_request_of_which_only_a_part_arrives_is_refused_in_time(world):
    protocol, transport = world.connect()
    protocol.dataReceived(POST + b"ab")
    world.close()
    world.advance(0.7)
    assert b"503" in transport.value() and transport.disconnecting
    assert world.closed[0].refused == 1


def test_a_request_without_an_answer_is_refused_when_its_time_is_up(world):
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    world.close()
    world.advance(REFUSE_AT_S - 0.1)
    assert not world.closed
    world.advance(0.2)
    assert b"refused" in transport.value()
    assert (world.closed[0].refused, world.closed[0].cut) == (1, 0)


def test_a_client_that_does_not_read_its_answer_does_not_hold_up_the_stop(
    world, events
):
    protocol, transport = world.connect()
    transport.reads = False
    protocol.dataReceived(GET)
    world.answers[0].callback(b"unread")
    world.close()
    world.advance(CLOSE_AT_S - 0.1)
    assert not world.closed and not transport.is_aborted
    world.advance(0.2)
    assert transport.is_aborted
    assert world.closed[0].cut == 1
    assert [event for event, _ in events] == [Event.REQUEST_CUT]


def test_a_connection_accepted_with_the_last_ones_is_served(world):
    world.close()
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    world.advance(0.3)
    world.answers[0].callback(b"served")
    world.advance(0.05)
    assert b"served" in transport.value() and transport.disconnecting


def test_pipelined_requests_without_answers_are_all_refused_when_their_time_is_up(
    world,
):
    protocol, transport = world.connect()
    protocol.dataReceived(GET * 3)
    world.close()
    world.advance(REFUSE_AT_S + 0.1)
    assert transport.value().count(b"refused") == 3
    assert (world.closed[0].refused, world.closed[0].cut) == (3, 0)


def test_a_part_of_a_request_behind_a_slow_one_does_not_hold_up_the_stop(world, events):
    protocol, transport = world.connect()
    protocol.dataReceived(GET + POST + b"ab")
    world.close()
    world.advance(1)
    world.answers[0].callback(b"first")
    world.advance(0.05)
    assert b"first" in transport.value() and b"503" in transport.value()
    assert (world.closed[0].refused, world.closed[0].cut) == (1, 0)
    assert not events


def test_a_refusal_is_written_out_although_the_process_was_frozen_beyond_its_time(
    world, events
):
    protocol, transport = world.connect(SlowTransport(world.reactor))
    protocol.dataReceived(GET)
    world.close()
    world.advance(1)
    world.reactor.advance(CLOSE_AT_S)
    world.advance(0.1)
    assert b"refused" in transport.written
    assert world.closed[0].cut == 0 and not events


def test_connections_that_wait_to_be_accepted_at_a_stop_are_served(world):
    accepted = []

    def accept(count):
        # A port may accept a single connection in each turn of the reactor.
        if count and world.port.is_open:
            protocol, transport = world.connect()
            protocol.dataReceived(GET)
            accepted.append(transport)
            world.reactor.callLater(0, accept, count - 1)

    world.reactor.callLater(0, accept, 5)
    world.close()
    world.advance(0.2)
    for answer in world.answers:
        answer.callback(b"served")
    world.advance(0.1)
    assert [b"served" in transport.value() for transport in accepted] == [True] * 5


def test_a_client_that_disconnects_ends_the_work_on_its_request(world):
    _, transport = world.connect()
    transport.protocol.dataReceived(GET)
    world.close()
    world.advance(0.1)
    transport.end()
    world.advance(0.2)
    assert world.answers[0].called
    assert (world.closed[0].refused, world.closed[0].cut) == (0, 0)


def test_a_request_whose_work_fails_is_answered_before_its_connection_is_closed(world):
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    world.close()
    world.advance(1)
    world.answers[0].errback(ValueError("odd"))
    world.advance(0.05)
    assert b"500" in transport.value() and transport.disconnecting
    assert world.closed[0].cut == 0


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /x HTTP/1.0\r\n\r\n",
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        b"Content-Length: 2\r\n\r\nab",
    ],
    ids=["1.0", "close", "chunked", "continue"],
)
@pytest.mark.parametrize("is_answered", [True, False])
def test_a_request_of_any_form_is_answered_or_refused_once(
    world, request_bytes, is_answered
):
    protocol, transport = world.connect()
    protocol.dataReceived(request_bytes)
    world.close()
    world.advance(1)
    if is_answered:
        world.answers[0].callback(b"answer")
    world.advance(REFUSE_AT_S)
    final = transport.value().replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
    assert final.count(b"HTTP/1.") == 1
    assert (b"answer" if is_answered else b"refused") in final
    assert world.closed[0].cut == 0


def test_a_body_that_is_too_large_gets_no_second_answer_at_a_stop(world):
    protocol, transport = world.connect()
    transport.reads = False
    protocol.dataReceived(b"POST /x HTTP/1.1\r\nContent-Length: 9999\r\n\r\nab")
    world.close()
    world.advance(CLOSE_AT_S + 0.1)
    assert transport.value().count(b"HTTP/1.1") == 1


def test_a_request_that_arrives_while_the_process_is_frozen_is_answered(world):
    protocol, transport = world.connect()

    def deliver():
        if not transport.disconnecting:
            protocol.dataReceived(GET)

    world.close()
    world.advance(0.05)
    # Sockets are read after the timers that are due.
    world.reactor.callLater(0.001, lambda: world.reactor.callLater(0, deliver))
    world.reactor.advance(1)
    assert len(world.answers) == 1
    world.answers[0].callback(b"answer")
    world.advance(0.05)
    assert b"answer" in transport.value()


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/q/", 503),
        ("GET", "/q/1", 503),
        ("POST", "/q/1", 504),
        ("DELETE", "/q/1", 504),
    ],
)
def test_a_request_that_is_refused_is_told_whether_it_may_have_been_stored(
    method, path, status
):
    world = JobWorld()
    protocol, transport = world.connect()
    protocol.dataReceived(
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nTime: 60000\r\n\r\n".encode()
    )
    # Before the query gives up by itself.
    world.close(refuse_at_s=1.5, close_at_s=2)
    world.advance(1.6)
    assert transport.value().startswith(b"HTTP/1.1 %d " % status)
    assert b"Connection: close\r\n" in transport.value()
    assert b"Retry-After: 1\r\n" in transport.value()
    assert (world.closed[0].refused, world.closed[0].cut) == (1, 0)


def test_a_stop_without_time_left_refuses_at_once(world):
    protocol, transport = world.connect()
    protocol.dataReceived(GET)
    world.close(0, 0)
    world.advance(0.08)
    assert b"refused" in transport.value()
    assert (world.closed[0].refused, world.closed[0].cut) == (1, 0)

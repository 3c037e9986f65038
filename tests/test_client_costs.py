"""What clients' requests take of a process, and when others are served meanwhile."""

import datetime as dt
import gc
import json

import pytest
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from fighead.clock import ReactorClock
from fighead.decisions import intake
from fighead.decisions.intake import IntakeLimits, Phase, share_among_ports
from fighead.exceptions import RequestError
from fighead.fronts.intake import Intake
from fighead.fronts.job import JobFront
from fighead.fronts.turns import TURN_TIME
from fighead.job import JobConfig, Queue
from fighead.job_front_context import JobFrontContext
from fighead.job_metric import JobMetrics
from fighead.platform.daemon import make_codec
from fighead.platform.submission import MAX_CONTAINERS, decode_submission
from fighead.tasks.listener import ListenerTask

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LARGEST_BODY = 262_144


class HangingStore:
    async def call(self, *_, **__):
        return await Deferred()


class World:
    """A listener on whose connections requests arrive in memory."""

    def __init__(self, resource=None, limits=None):
        self.timer = Clock()
        self.clock = ReactorClock(self.timer, START)
        self.intake = Intake(self.clock, limits or IntakeLimits())
        self.listener = ListenerTask(
            self.clock,
            lambda site: site,
            resource or self.make_slow_resource(),
            1 << 20,
            self.intake,
        )
        self.listener.start()

    def make_slow_resource(self):
        """Return a resource that takes 4 ms for each answer."""
        app = Klein()

        @app.route("/", branch=True)
        def serve(request):
            self.timer.rightNow += 0.004
            return b"served"

        return app.resource()

    def turn(self):
        """Make the calls that are due now, as one turn of the reactor does."""
        due = [c for c in self.timer.calls if c.getTime() <= self.timer.seconds()]
        for call in due:
            self.timer.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)

    def connect(self):
        channel = self.listener._port.buildProtocol(None)
        transport = StringTransport()
        transport.setTcpNoDelay = lambda _: None
        transport.abortConnection = transport.loseConnection
        channel.makeConnection(transport)
        return channel, transport


def job_world(limits=None):
    """Return a world with a front of jobs whose store answers nothing."""
    timer = Clock()
    context = JobFrontContext(
        ReactorClock(timer, START),
        HangingStore(),
        lambda _: Deferred(),
        lambda _: None,
        JobMetrics("e1"),
        config=JobConfig(1, (Queue("q", "a", "/q/", "u"),)),
    )
    return World(JobFront(context, make_codec()).app.resource(), limits)


def submission(body, query=""):
    head = f"POST /q/00000000000000aa{query} HTTP/1.1\r\nHost: a\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


# Failure: each refused body stays in memory, decoded, until a garbage collection.
def test_the_error_of_a_refused_body_is_freed_at_once():
    channel, transport = job_world().connect()
    gc.collect()
    gc.disable()
    try:
        channel.dataReceived(submission(b'{"Steps":[[]]}'))
        left = [one for one in gc.get_objects() if isinstance(one, RequestError)]
    finally:
        gc.enable()
    assert transport.value().startswith(b"HTTP/1.1 400") and not left


# Failure: empty objects and lists take 30 times their bytes when they are decoded.
@pytest.mark.parametrize("part", ["{}", "[]", '{"":0}', "[["])
def test_a_body_of_too_many_objects_and_lists_is_not_decoded(part):
    body = ",".join([part] * (MAX_CONTAINERS + 1)).encode()
    with pytest.raises(RequestError, match="objects and lists"):
        decode_submission(b'{"Steps":[' + body + b"]}")


# Failure: legal jobs are refused for what their texts hold, or for their many steps.
def test_jobs_inside_the_limits_are_decoded():
    steps = [{"After": list(range(min(n, 50)))} for n in range(1000)]
    spec = decode_submission(json.dumps({"Spec": "x", "Steps": steps}).encode())
    assert len(spec.stages) == 1000 and len(spec.stages[999].after) == 50
    label = '{["\\' * 10_000
    text = json.dumps({"Steps": [{"Requires": label}]})
    assert decode_submission(text.encode()).stages[0].required_label == label


# Failure: a string without an end is looked through once for each quote in it.
def test_a_string_without_an_end_takes_no_time():
    with pytest.raises(RequestError, match="not valid JSON"):
        decode_submission(b'["' + b'\\"' * 100_000 + b"{" * 20_000)


# Failure: the answer repeats a body of legal size.
@pytest.mark.parametrize(
    "body", [{"Steps": "x" * 200_000}, {"Steps": [{"After": ["x"] * 50_000}]}]
)
def test_the_answer_to_a_wrong_value_is_short(body):
    channel, transport = job_world().connect()
    channel.dataReceived(submission(json.dumps(body).encode()))
    assert transport.value().startswith(b"HTTP/1.1 400")
    assert len(transport.value()) < 1000


# Failure: jobs that wait for the store are counted as their bytes.
def test_jobs_that_wait_take_no_more_than_there_is():
    world = job_world(IntakeLimits(2 << 20, 1000))
    body = json.dumps({"Steps": [{}] * 1000}).encode()
    transports = []
    for _ in range(20):
        channel, transport = world.connect()
        channel.dataReceived(submission(body))
        transports.append(transport)
    refused = [one for one in transports if b"HTTP/1.1 503" in one.value()]
    assert 0 < len(refused) < len(transports)
    assert all(b"Retry-After: 1" in one.value() for one in refused)
    assert world.intake.total_bytes <= 2 << 20


# Failure: the largest legal job is refused although nobody else is there.
def test_the_largest_job_is_served_by_itself():
    world = job_world(IntakeLimits(1 << 20, 100))
    world.connect()
    channel, transport = world.connect()
    steps = [{"Requires": "x" * (LARGEST_BODY - 100)}]
    channel.dataReceived(submission(json.dumps({"Steps": steps}).encode()))
    assert channel.read_at is not None and not transport.value()


# Failure: a query counts as its bytes.
def test_the_arguments_of_a_query_are_counted():
    assert intake.estimate_head(0, 0, b"/q/1?" + b"&" * 4000) > 1_000_000
    world = job_world()
    channel, _ = world.connect()
    body = json.dumps({"Steps": [{}]}).encode()
    channel.dataReceived(submission(body, "?" + "a&b;" * 2000))
    assert world.intake.total_bytes > 4000 * intake.ARGUMENT_BYTES


# Failure: one client's requests are all answered before anybody else's.
def test_a_single_request_waits_for_one_of_each_other_client():
    world = World()
    crowd = [world.connect() for _ in range(3)]
    for channel, _ in crowd:
        channel.dataReceived(GET * 100)
    channel, transport = world.connect()
    channel.dataReceived(GET)
    for _ in range(3):
        world.turn()
    assert b"served" in transport.value()
    # Each turn ends with the request that exceeds its time.
    most = 4 * (TURN_TIME // dt.timedelta(milliseconds=4) + 1)
    assert sum(one.value().count(b"served") for _, one in crowd) <= most


# Failure: requests are lost, or answered twice, when their connection has to wait.
def test_all_requests_of_a_segment_are_answered_in_the_end():
    world = World()
    crowd = [world.connect() for _ in range(3)]
    for channel, _ in crowd:
        channel.dataReceived(GET * 300)
        channel.dataReceived(GET[:10])
        channel.dataReceived(GET[10:])
    for _ in range(1000):
        world.turn()
    assert [one.value().count(b"served") for _, one in crowd] == [301] * 3
    assert {one.producerState for _, one in crowd} == {"producing"}


# Failure: a client whose requests wait for their turn is refused as slow.
def test_a_client_that_goes_on_sending_is_not_slow():
    world = World()
    channel, transport = world.connect()
    for _ in range(30):
        channel.dataReceived(GET * 10)
        world.timer.advance(1)
        world.timer.advance(0)
    assert transport.value().count(b"served") == 300


# Failure: answers that nobody reads are counted for nobody.
def test_answers_are_counted_until_they_are_read():
    world = World(limits=IntakeLimits(10**6, 100))
    channel, transport = world.connect()
    transport.dataBuffer, transport.offset = b"x" * 900_000, 100_000
    channel.dataReceived(GET)
    assert world.intake.total_bytes > 800_000
    transport.dataBuffer, transport.offset = b"", 0
    world.timer.advance(1)
    assert world.intake.total_bytes < 100_000


# Failure: memory is taken by those who read no answers, and others are refused for it.
def test_a_client_that_reads_no_answers_is_closed_for_want_of_memory():
    unread = intake.ConnectionUse(START, START, Phase.UNREAD, 10**6)
    idle = intake.ConnectionUse(START, START, Phase.IDLE)
    limits = IntakeLimits(10**5, 100)
    total = unread.bytes_held + idle.bytes_held
    chosen = intake.choose_to_close([unread, idle], total, limits, START)
    assert chosen == [(unread, intake.Reason.MEMORY)]


# Failure: each port keeps to its own bounds, and their sum exceeds the process's.
@pytest.mark.parametrize("connections", [16, 100, 800])
def test_the_shares_of_the_ports_are_no_more_than_the_whole(connections):
    total = IntakeLimits(16 << 20, connections)
    shares = share_among_ports(total)
    http = (shares.clients, shares.readiness)
    most = sum(one.connections * (1 + intake.DROPPING_SHARE) for one in http)
    assert most + shares.peer_connections <= connections + 1
    assert sum(one.total_bytes for one in http) <= total.total_bytes
    assert all(one.connections > 0 for one in http)


# Failure: what clients send behind a request that is served is kept without a bound.
def test_what_follows_a_served_request_is_dropped_for_want_of_memory():
    world = job_world(IntakeLimits(210_000, 100))
    body = json.dumps({"Steps": [{}]}).encode()
    channels = []
    for _ in range(4):
        channel, _ = world.connect()
        channel.dataReceived(submission(body) + GET * 1500)
        channels.append(channel)
    assert all(channel.read_at is not None for channel in channels)
    assert world.intake.total_bytes <= 210_000
    assert {channel.persistent for channel in channels} == {0, 1}


# Failure: each path or host that is not UTF-8 leaves a stack in the log and in memory.
@pytest.mark.parametrize("target, host", [("/%ff", "a"), ("/", "\xff")])
def test_a_request_that_is_not_utf8_is_refused_without_a_stack(failures, target, host):
    channel, transport = World().connect()
    request = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
    channel.dataReceived(request * 2)
    assert transport.value().count(b"HTTP/1.1 400") == 2 and not failures

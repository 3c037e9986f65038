"""Clients that use open connections all the time, also while an entry ends."""

import datetime as dt
import random
import typing as t

import httptools
from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone

from fighead.clock import Clock, sleep, with_timeout
from fighead.http_client import HttpRequest, encode_request
from fighead.mailbox import spawn

from .clients import encode_job
from .model import Exchange, JobSeen, Stall, Step

#: Shortest and longest time from an answer to the next request of a reader, and of a
#: client that submits or cancels, in seconds.
READ_PAUSE_S = (0.05, 0.15)
WRITE_PAUSE_S = (0.2, 0.5)
#: Time from a failed attempt to connect to the next.
CONNECT_PAUSE = dt.timedelta(milliseconds=200)
CONNECT_TIMEOUT_S = 1
#: Time after which a client gives a request up: longer than any planned stop.
GIVE_UP = dt.timedelta(seconds=10)
#: Interval at which the soak looks whether it is held up itself.
TICK = dt.timedelta(milliseconds=20)
#: Number of latest jobs that are asked for and cancelled.
RECENT_JOBS = 20
#: An ID that no job has.
UNKNOWN_JOB = "0" * 16


@frozen
class Request:
    """A request of an open client.

    :param on_status: Called with the status of the answer; 0 for none.
    """

    req: HttpRequest
    on_status: t.Callable[[int], None] = lambda status: None


class _Connection(Protocol):
    """A connection that carries one request at a time.

    The methods named ``on_...`` are called by the parser.
    """

    def __init__(self) -> None:
        self._parser: t.Any = None
        self._pending: Deferred[int] | None = None
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def send(self, data: bytes) -> Deferred[int]:
        """Send a request; return the status of its complete answer, 0 without one."""
        self._parser = httptools.HttpResponseParser(self)
        self._pending = Deferred(lambda _: self.transport.abortConnection())
        self.transport.write(data)
        return self._pending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abortConnection()

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self.is_open = False
            self.transport.loseConnection()
        self._finish(self._parser.get_status_code())

    def connectionLost(self, reason: t.Any = connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._finish(0)

    def _finish(self, status: int) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.called:
            pending.callback(status)


@define(eq=False)
class OpenClients:
    """Clients of all entries, each with a connection of its own.

    :param addresses: Addresses of the entries, by their names.
    :param jobs: Receives the jobs that are submitted.
    :param exchanges: Requests that were sent whole, and what became of them.
    :param stalls: When the soak itself was held up.
    """

    reactor: t.Any
    clock: Clock
    addresses: t.Mapping[str, str]
    random: random.Random
    jobs: list[JobSeen]
    exchanges: list[Exchange] = field(factory=list)
    stalls: list[Stall] = field(factory=list)
    _running: list[Deferred[None]] = field(factory=list)
    _is_over: bool = False

    def start(self) -> None:
        """Start the clients: for each entry four that read and two that write."""
        self._running.append(spawn(self._watch_stalls()))
        for entry in self.addresses:
            submitted: list[JobSeen] = []
            readers = [count_pending, count_pending]
            readers += [make_state_reader(self.random, submitted)] * 2
            writers = [
                make_submitter(self.random, self.clock, self.jobs, submitted),
                make_canceller(self.random, self.clock, submitted),
            ]
            for draw in readers:
                self._running.append(spawn(self._use(entry, draw, READ_PAUSE_S)))
            for draw in writers:
                self._running.append(spawn(self._use(entry, draw, WRITE_PAUSE_S)))

    async def finish(self) -> None:
        """Let each client send no more, and wait for the answers it still expects."""
        self._is_over = True
        for deferred in self._running:
            await deferred

    async def _use(
        self, entry: str, draw: t.Callable[[], Request], pause_s: tuple[float, float]
    ) -> None:
        """Send one request after the other on a connection that is open before.

        It is opened again as soon as it is closed, so that it is idle until the next
        request, and an entry that ends has read nothing on it.
        """
        conn = _Connection()
        while not self._is_over:
            if not conn.is_open:
                conn = await self._connect(entry)
            pause = dt.timedelta(seconds=self.random.uniform(*pause_s))
            await sleep(self.clock, pause if conn.is_open else CONNECT_PAUSE)
            if conn.is_open:
                await self._exchange(entry, conn, draw())
        if conn.is_open:
            conn.transport.loseConnection()

    async def _connect(self, entry: str) -> _Connection:
        """Return a new connection, which is not open if the entry refused it."""
        host, _, port = self.addresses[entry].partition(":")
        endpoint = TCP4ClientEndpoint(self.reactor, host, int(port), CONNECT_TIMEOUT_S)
        conn = _Connection()
        try:
            await connectProtocol(endpoint, conn)
        except Exception:
            return _Connection()
        return conn

    async def _exchange(self, entry: str, conn: _Connection, request: Request) -> None:
        req = request.req
        data = encode_request(req, self.addresses[entry])
        sent_s = self._now_s()
        try:
            status = await with_timeout(self.clock, conn.send(data), GIVE_UP)
        except TimeoutError:
            status = 0
        self.exchanges.append(
            Exchange(entry, req.method, req.target, sent_s, self._now_s(), status)
        )
        request.on_status(status)

    async def _watch_stalls(self) -> None:
        while not self._is_over:
            due_s = self._now_s() + TICK.total_seconds()
            await sleep(self.clock, TICK)
            if self._now_s() > due_s + TICK.total_seconds():
                self.stalls.append(Stall(due_s, self._now_s()))

    def _now_s(self) -> float:
        return self.clock.now().timestamp()


def count_pending() -> Request:
    """Return a request for the number of pending jobs."""
    return Request(HttpRequest("GET", "/plans/"))


def make_state_reader(
    rng: random.Random, submitted: t.Sequence[JobSeen]
) -> t.Callable[[], Request]:
    """Return a function that draws a request for the state of a recent job."""

    def read_state() -> Request:
        recent = submitted[-RECENT_JOBS:]
        job_id = rng.choice(recent).job_id if recent else UNKNOWN_JOB
        return Request(HttpRequest("GET", f"/plans/{job_id}"))

    return read_state


def make_submitter(
    rng: random.Random, clock: Clock, jobs: list[JobSeen], submitted: list[JobSeen]
) -> t.Callable[[], Request]:
    """Return a function that draws the submission of a new, short job.

    :param jobs: Receives the job at once.
    :param submitted: Receives the job once its submission has an outcome.
    """

    def submit() -> Request:
        job_id = f"{rng.getrandbits(64):016x}"
        job = JobSeen(job_id, (Step(1, 100),), 100, clock.wall_now().timestamp())
        jobs.append(job)

        def take_status(status: int) -> None:
            job.statuses.append(status)
            submitted.append(job)

        req = HttpRequest("POST", f"/plans/{job_id}", encode_job(job))
        return Request(req, take_status)

    return submit


def make_canceller(
    rng: random.Random, clock: Clock, submitted: t.Sequence[JobSeen]
) -> t.Callable[[], Request]:
    """Return a function that draws the cancellation of a recent job."""

    def cancel() -> Request:
        recent = submitted[-RECENT_JOBS:]
        if not recent:
            return Request(HttpRequest("DELETE", f"/plans/{UNKNOWN_JOB}"))
        job = rng.choice(recent)
        job.is_cancel_sent = True

        def take_status(status: int) -> None:
            is_first = job.cancelled_s is None
            if 200 <= status < 300 and job.is_accepted and is_first:
                job.cancelled_s = clock.wall_now().timestamp()

        return Request(HttpRequest("DELETE", f"/plans/{job.job_id}"), take_status)

    return cancel

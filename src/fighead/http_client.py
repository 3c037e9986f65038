"""HTTP/1.1 client with connection pools, built on Twisted and httptools.

A scheduler makes a call for every start and every end of a task, so connections
are reused. Each carries one call at a time, without pipelining. The error of a
failed call states whether the request may have reached the server.
"""

import collections
import datetime as dt
import re
import typing as t

import httptools
from attrs import define, field, frozen
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.protocol import Protocol, connectionDone

from .clock import Clock, Timeout
from .process_load import CallCounts
from .settings import ListenAddress, read_address

#: Limit on establishing a connection: several times the latency of the slowest
#: link between two availability zones.
CONNECT_TIMEOUT = dt.timedelta(milliseconds=600)
#: Wait for a free connection after which a call may open a further one.
PATIENCE = dt.timedelta(milliseconds=100)
#: Share of the limit on a call after which it is no longer sent: it would often end
#: without an answer, and take a connection with it.
MAX_WAIT_SHARE = 0.5
#: Size in bytes at which a response is rejected: several times that of the largest
#: page of the store.
MAX_RESPONSE_BYTES = 16 << 20
#: Status codes below this one announce a later response.
FIRST_FINAL_STATUS = 200
_TARGET = re.compile(r"[!-~]+")
_HEADER_VALUE = re.compile(r"[ -~]*")


class HttpNotSentError(Exception):
    """The call failed before any byte of the request was sent."""


class HttpLostError(Exception):
    """The request may have been sent, in part or whole, but has no response."""


@frozen
class HttpRequest:
    """An HTTP request.

    :param method: Method, in capitals.
    :param target: Path and query.
    :param body: Encoded body; unless empty, it is sent as ``application/json``.
    :param headers: Headers besides ``Host``, ``Content-Length`` and
        ``Content-Type``.
    """

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class HttpResponse:
    """A complete HTTP response with any status; headers are discarded."""

    status: int
    body: bytes


def encode_request(req: HttpRequest, host: str) -> bytes:
    """Encode a request for a connection that is kept open.

    :param host: Value of the ``Host`` header.
    :raises HttpNotSentError: If the target or the value of a header contains a
        character that could end it early.

    >>> encode_request(HttpRequest("GET", "/a"), "10.0.0.1:80")
    b'GET /a HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    if not _TARGET.fullmatch(req.target):
        raise HttpNotSentError(f"{req.target!r} is not the target of a request.")
    lines = [
        f"{req.method} {req.target} HTTP/1.1",
        f"Host: {host}",
        f"Content-Length: {len(req.body)}",
    ]
    if req.body:
        lines.append("Content-Type: application/json")
    for name, value in req.headers:
        if not _HEADER_VALUE.fullmatch(value):
            raise HttpNotSentError(f"{value!r} is not a value of the header {name}.")
        lines.append(f"{name}: {value}")
    return "\r\n".join([*lines, "", ""]).encode() + req.body


class _Connection(Protocol):
    """A connection that carries at most one call at a time.

    The methods named ``on_...`` are called by the parser.

    :param release: Called when the connection is free for the next call, and when
        it is closed.
    """

    def __init__(self, release: t.Callable[["_Connection"], None]) -> None:
        self._release = release
        self._parser = httptools.HttpResponseParser(self)
        self._pending: Deferred[HttpResponse] | None = None
        self._on_data: t.Callable[[], None] = _ignore_data
        self._response: HttpResponse | None = None
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._keeps_open = True
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def send(
        self, data: bytes, on_data: t.Callable[[], None]
    ) -> Deferred[HttpResponse]:
        """Send an encoded request; cancelling the deferred aborts the connection.

        :param on_data: Called whenever a part of the response arrives.
        """
        self._pending = Deferred(self._cancel)
        self._on_data = on_data
        self._received_bytes = 0
        self.transport.write(data)
        return self._pending

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._on_data()
        self._received_bytes += len(data)
        if self._pending is None:
            self._abort("The peer sent data without a request.")
            return
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._abort(f"The response exceeds {MAX_RESPONSE_BYTES} bytes.")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._abort(f"The peer sent no valid HTTP: {exc}.")
            return
        if self._response is not None:
            self._finish(self._response)

    def on_body(self, body: bytes) -> None:
        self._chunks.append(body)

    def on_message_begin(self) -> None:
        if self._response is not None:
            raise ValueError("A second response follows the first.")

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._response = HttpResponse(status, b"".join(self._chunks))
            self._keeps_open = self._parser.should_keep_alive()
        self._chunks = []

    def _finish(self, response: HttpResponse) -> None:
        self._response = None
        pending, self._pending = self._pending, None
        self._on_data = _ignore_data
        if self._keeps_open:
            self._release(self)
        else:
            self.is_open = False
            self.transport.loseConnection()
        if pending is not None and not pending.called:
            pending.callback(response)

    def close(self) -> None:
        """Close the connection, which carries no call."""
        self.is_open = False
        self.transport.abortConnection()

    def _abort(self, reason: str) -> None:
        self.is_open = False
        self._fail(HttpLostError(reason))
        self.transport.abortConnection()

    def connectionLost(self, reason: t.Any = connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._release(self)
        self._fail(HttpLostError(f"The connection was lost: {reason.value}"))

    def _cancel(self, _: Deferred[HttpResponse]) -> None:
        self._pending, self._on_data = None, _ignore_data
        self.transport.abortConnection()

    def _fail(self, exc: Exception) -> None:
        pending, self._pending = self._pending, None
        self._on_data = _ignore_data
        if pending is not None and not pending.called:
            pending.errback(exc)


def _ignore_data() -> None:
    """Do nothing when data arrive without a pending call."""


@define(eq=False)
class _AddressPool:
    """Connections to one address.

    :param open_count: Connections in use, idle or being established.
    :param waiting: Calls that wait for a connection, oldest first, and whether each has
        waited for :data:`PATIENCE`.
    """

    idle: list[_Connection] = field(factory=list)
    open_count: int = 0
    waiting: collections.OrderedDict[Deferred[bool], bool] = field(
        factory=collections.OrderedDict
    )


@define(eq=False)
class HttpPool:
    """Sends requests over persistent connections, pooled by address.

    :param max_per_address: Most connections to one address; further calls wait.
    :param max_extra: Most connections beside these, for calls that have waited for
        :data:`PATIENCE`: the others may hold calls that get no answer.
    :param calls: Number of requests sent so far.
    :param connections: Number of connection attempts so far.
    :param failures: Number of calls that failed so far, without time-outs.
    :param timeouts: Number of calls that timed out so far.
    :param unsent: Number of calls so far that ended so before anything was sent.
    """

    reactor: t.Any
    clock: Clock
    max_per_address: int = 4
    max_extra: int = 0
    calls: int = 0
    connections: int = 0
    failures: int = 0
    timeouts: int = 0
    unsent: int = 0
    _pools: dict[str, _AddressPool] = field(factory=dict)

    def request(
        self,
        address: str,
        req: HttpRequest,
        timeout: dt.timedelta,
        idle_timeout: dt.timedelta | None = None,
    ) -> Deferred[HttpResponse]:
        """Send ``req`` to ``address`` and return the response.

        The time that a large response takes depends on its size and on the link, so
        a limit on the whole call would make it fail each time it is repeated. With
        ``idle_timeout`` the call only fails when nothing arrives for too long. Its
        total time has no limit other than the size of the response.

        :param address: Written as ``IP:port``.
        :param timeout: Limit on the whole call, with the wait for a connection; with
            ``idle_timeout``, limit on the time until the first data arrive.
        :param idle_timeout: Limit on the time between two arrivals of data.
        :raises HttpNotSentError: If the call failed before anything was sent.
        :raises HttpLostError: If the call failed later, so that the request may
            have reached the server.
        :raises CancelledError: If the deferred was cancelled. A task that is cancelled
            thus ends, instead of repeating the call.
        """
        limit = Timeout(self.clock, timeout)

        def restart_limit() -> None:
            if idle_timeout is not None:
                limit.restart(idle_timeout)

        progress = _Progress()
        pending = Deferred.fromCoroutine(
            self._exchange(address, req, timeout, progress, restart_limit)
        )
        limited = limit.apply(pending).addErrback(self._count_failure, progress)
        return limited.addErrback(progress.raise_typed_error)

    def counts(self) -> CallCounts:
        """Return the numbers of calls so far."""
        return CallCounts(
            self.calls, self.connections, self.failures, self.timeouts, self.unsent
        )

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address; calls under way go on."""
        pool = self._pools.get(address)
        if pool is not None:
            idle, pool.idle = pool.idle, []
            for conn in idle:
                conn.close()

    def _count_failure(self, failure: t.Any, progress: "_Progress") -> t.Any:
        if failure.check(CancelledError, ConnectingCancelledError):
            return failure
        if failure.check(TimeoutError, ConnectTimeoutError):
            self.timeouts += 1
        else:
            self.failures += 1
        if not progress.is_sent:
            self.unsent += 1
        return failure

    async def _exchange(
        self,
        address: str,
        req: HttpRequest,
        timeout: dt.timedelta,
        progress: "_Progress",
        on_data: t.Callable[[], None],
    ) -> HttpResponse:
        peer = read_address(address)
        data = encode_request(req, address)
        pool = self._pools.setdefault(address, _AddressPool())
        is_overdue = False
        latest = self.clock.now() + timeout * MAX_WAIT_SHARE
        while not pool.idle and pool.open_count >= self._find_limit(is_overdue):
            is_overdue = await self._wait_for_connection(pool)
            if self.clock.now() > latest:
                raise TimeoutError("No connection became free in time.")
        conn = (
            pool.idle.pop() if pool.idle else await self._connect(address, peer, pool)
        )
        self.calls += 1
        progress.is_sent = True
        return await conn.send(data, on_data)

    def _find_limit(self, is_overdue: bool) -> int:
        """Return at how many open connections a call opens no further one.

        :param is_overdue: Whether it has waited for :data:`PATIENCE`.
        """
        return self.max_per_address + (self.max_extra if is_overdue else 0)

    async def _wait_for_connection(self, pool: _AddressPool) -> bool:
        """Wait until a call may have a connection; return whether it is overdue.

        It keeps its place until then. Thousands may wait for a slow server, and none of
        them may take time again and again.
        """
        permit: Deferred[bool] = Deferred(pool.waiting.pop)
        pool.waiting[permit] = False

        def note_overdue() -> None:
            if permit in pool.waiting:
                pool.waiting[permit] = True
                self._wake_next_call(pool)

        timer = None
        if self.max_extra:
            timer = self.clock.call_later(PATIENCE, note_overdue)
        try:
            return await permit
        finally:
            if timer is not None and timer.active():
                timer.cancel()

    async def _connect(
        self, address: str, peer: ListenAddress, pool: _AddressPool
    ) -> _Connection:
        pool.open_count += 1
        self.connections += 1
        try:
            conn = _Connection(lambda c: self._release(pool, c))
            endpoint = TCP4ClientEndpoint(
                self.reactor, peer.host, peer.port, CONNECT_TIMEOUT.total_seconds()
            )
            await connectProtocol(endpoint, conn)
        except BaseException:
            self._discard_connection(pool)
            raise
        return conn

    def _release(self, pool: _AddressPool, conn: _Connection) -> None:
        if not conn.is_open:
            if conn in pool.idle:
                pool.idle.remove(conn)
            self._discard_connection(pool)
        else:
            pool.idle.append(conn)
            self._wake_next_call(pool)

    def _discard_connection(self, pool: _AddressPool) -> None:
        pool.open_count -= 1
        self._wake_next_call(pool)

    def _wake_next_call(self, pool: _AddressPool) -> None:
        """Let the oldest call have a free connection, or open one if it may.

        One that has waited too long ends instead, and the next one has its turn.
        """
        while pool.waiting:
            permit, is_overdue = next(iter(pool.waiting.items()))
            if not pool.idle and pool.open_count >= self._find_limit(is_overdue):
                break
            del pool.waiting[permit]
            permit.callback(is_overdue)


@define(eq=False)
class _Progress:
    """Progress of one call.

    :param is_sent: Whether some of the request may have been sent.
    """

    is_sent: bool = False

    def raise_typed_error(self, failure: t.Any) -> t.NoReturn:
        """Raise a time-out or other failure of the call as one of the typed errors.

        A cancellation stays one; a time-out has replaced its own.

        :raises HttpNotSentError: If nothing was sent.
        :raises HttpLostError: If the request may have been sent.
        """
        if failure.check(HttpLostError, HttpNotSentError, CancelledError):
            failure.raiseException()
        if failure.check(ConnectingCancelledError):
            raise CancelledError
        reason = f"{failure.type.__name__}: {failure.getErrorMessage()}"
        if self.is_sent:
            raise HttpLostError(reason)
        raise HttpNotSentError(reason)

"""A pooled HTTP/1.1 client on Twisted, with h11 as its protocol machine.

A scheduler makes a call for every start and every end. Each connection
carries one call at a time, and a call that fails tells whether it can have
reached the peer.
"""

import collections
import datetime as dt
import typing as t

import h11
from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone

from .clock import Clock, with_timeout

#: Time within which a connection must be established: several times the
#: slowest link between two availability zones.
CONNECT_TIMEOUT = dt.timedelta(milliseconds=600)


class HttpNotSentError(Exception):
    """No byte of the request was sent."""


class HttpLostError(Exception):
    """The request was sent in part or whole, and has no answer."""


@frozen
class HttpRequest:
    """A request with a body that is already encoded."""

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


@frozen
class HttpResponse:
    """A whole response."""

    status: int
    body: bytes


class _Connection(Protocol):
    """One connection; at most one call is on its way."""

    def __init__(self, host: str, release: t.Callable[["_Connection"], None]) -> None:
        self._host = host
        self._release = release
        self._machine = h11.Connection(our_role=h11.CLIENT)
        self._fut: Deferred[HttpResponse] | None = None
        self._status = 0
        self._chunks: list[bytes] = []
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def send(self, req: HttpRequest) -> Deferred[HttpResponse]:
        """Send a request; cancelling the deferred closes the connection."""
        self._fut = Deferred(lambda _: self.transport.abortConnection())
        headers = [
            ("Host", self._host),
            ("Content-Length", str(len(req.body))),
            *req.headers,
        ]
        if req.body:
            headers.append(("Content-Type", "application/json"))
        head = h11.Request(method=req.method, target=req.target, headers=headers)
        data = self._machine.send(head)
        if req.body:
            data += self._machine.send(h11.Data(data=req.body))
        data += self._machine.send(h11.EndOfMessage()) or b""
        self.transport.write(data)
        return self._fut

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            self._machine.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as exc:
            self._fail(HttpLostError(f"The peer sent no valid HTTP: {exc}."))
            self.transport.abortConnection()

    def _read_events(self) -> None:
        while True:
            event = self._machine.next_event()
            match event:
                case h11.Response(status_code=status):
                    self._status = status
                case h11.Data(data=chunk):
                    self._chunks.append(bytes(chunk))
                case h11.EndOfMessage():
                    self._finish()
                    return
                case h11.NEED_DATA | h11.PAUSED | h11.ConnectionClosed():
                    return

    def _finish(self) -> None:
        response = HttpResponse(self._status, b"".join(self._chunks))
        self._chunks = []
        fut, self._fut = self._fut, None
        if self._machine.our_state is h11.DONE and (
            self._machine.their_state is h11.DONE
        ):
            self._machine.start_next_cycle()
            self._release(self)
        else:
            self.is_open = False
            self.transport.loseConnection()
        if fut is not None and not fut.called:
            fut.callback(response)

    def connectionLost(self, reason: t.Any = connectionDone) -> None:  # noqa: N802
        self.is_open = False
        self._release(self)
        self._fail(HttpLostError(f"The connection was lost: {reason.value}"))

    def _fail(self, exc: Exception) -> None:
        fut, self._fut = self._fut, None
        if fut is not None and not fut.called:
            fut.errback(exc)


@define(eq=False)
class _Peer:
    """Connections to one address and the calls that wait for one."""

    idle: list[_Connection] = field(factory=list)
    open_count: int = 0
    waiting: collections.deque[Deferred[None]] = field(factory=collections.deque)


@define(eq=False)
class HttpPool:
    """Keeps connections by address.

    :param max_per_peer: Most connections to one address; further calls wait.
    """

    reactor: t.Any
    clock: Clock
    max_per_peer: int = 4
    calls: int = 0
    connections: int = 0
    _peers: dict[str, _Peer] = field(factory=dict)

    def request(
        self, address: str, req: HttpRequest, timeout: dt.timedelta
    ) -> Deferred[HttpResponse]:
        """Send ``req`` to ``address``, written as IP:port.

        :raises HttpNotSentError: If nothing was sent within ``timeout``.
        :raises HttpLostError: If the request may have reached the peer.
        """
        progress = _Progress()
        fut = Deferred.fromCoroutine(self._exchange(address, req, progress))
        limited = with_timeout(self.clock, fut, timeout)
        return limited.addErrback(progress.explain)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that is not used any more."""
        peer = self._peers.pop(address, None)
        for conn in peer.idle if peer else ():
            conn.transport.loseConnection()

    async def _exchange(
        self, address: str, req: HttpRequest, progress: "_Progress"
    ) -> HttpResponse:
        peer = self._peers.setdefault(address, _Peer())
        while not peer.idle and peer.open_count >= self.max_per_peer:
            turn: Deferred[None] = Deferred(peer.waiting.remove)
            peer.waiting.append(turn)
            await turn
        conn = peer.idle.pop() if peer.idle else await self._connect(address, peer)
        self.calls += 1
        progress.is_sent = True
        return await conn.send(req)

    async def _connect(self, address: str, peer: _Peer) -> _Connection:
        peer.open_count += 1
        self.connections += 1
        host, _, port = address.rpartition(":")
        conn = _Connection(address, lambda c: self._release(address, peer, c))
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), CONNECT_TIMEOUT.total_seconds()
        )
        try:
            await connectProtocol(endpoint, conn)
        except BaseException:
            self._drop(peer)
            raise
        return conn

    def _release(self, address: str, peer: _Peer, conn: _Connection) -> None:
        if not conn.is_open:
            if conn in peer.idle:
                peer.idle.remove(conn)
            self._drop(peer)
        elif self._peers.get(address) is not peer:
            conn.transport.loseConnection()
        else:
            peer.idle.append(conn)
            self._wake(peer)

    def _drop(self, peer: _Peer) -> None:
        peer.open_count -= 1
        self._wake(peer)

    def _wake(self, peer: _Peer) -> None:
        if peer.waiting:
            peer.waiting.popleft().callback(None)


@define(eq=False)
class _Progress:
    """How far a call has come."""

    is_sent: bool = False

    def explain(self, failure: t.Any) -> t.NoReturn:
        """Raise the error that tells whether the call can have had an effect."""
        if failure.check(HttpLostError, HttpNotSentError):
            failure.raiseException()
        reason = f"{failure.type.__name__}: {failure.getErrorMessage()}"
        if self.is_sent:
            raise HttpLostError(reason)
        raise HttpNotSentError(reason)

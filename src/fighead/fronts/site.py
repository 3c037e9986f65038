"""A Twisted site whose connections can be closed without losing an answer."""

import datetime as dt
import functools
import io
import typing as t

from twisted.internet.interfaces import IReadWriteDescriptor, ISSLTransport
from twisted.internet.protocol import connectionDone
from twisted.python import log
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from ..clock import Clock
from ..decisions.intake import Phase, Reason, estimate_head
from .front_request import FrontRequest
from .intake import Intake

#: Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 75
#: Bytes that are parsed before it is asked whether the turn of a connection is over: of
#: chunks of one byte, 1,400.
PARSED_AT_ONCE_BYTES = 8 * 1024
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n"
    b"Content-Length: 0\r\n\r\n"
)
#: Sent in place of an answer to a request that takes too much while it arrives.
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
)
#: What is read and dropped after a refusal, so that the client gets to see it: a socket
#: that is closed with unread bytes resets the connection.
MAX_DROPPED_BYTES = 1 << 20
MAX_DROP_TIME = dt.timedelta(seconds=2)


#: Sent in place of an answer to a request that has not arrived whole at a stop.
STOPPING_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
)


class FrontChannel(HTTPChannel):
    """A connection that knows what it owes its client.

    :param clock: Source of the times.
    :param intake: What all connections of clients may take of the process.
    :param on_open: Called once the connection is open.
    :param on_answer: Called with each answer that is complete; it may not be written
        out yet.
    :param on_close: Called once the connection is closed.
    """

    #: When the request that is being served was read whole; ``None`` without one.
    read_at: dt.datetime | None = None
    #: Bytes that have arrived for the request that is being received.
    received_bytes = 0
    #: Whether what arrives is dropped, since the connection is refused.
    is_refused = False
    #: Number of requests that were refused.
    refused = 0
    _is_closing = False
    _refuses_parts = False
    _refuses_all = False

    def __init__(
        self,
        clock: Clock,
        intake: Intake,
        on_open: t.Callable[["FrontChannel"], None],
        on_answer: t.Callable[["FrontChannel"], None],
        on_close: t.Callable[["FrontChannel"], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._intake = intake
        self._turns = intake.turns
        self._use: t.Any = None
        self._head_bytes = 0
        #: What the request that is served takes beside its bytes.
        self._work_bytes = 0
        #: What has arrived and waits for its turn, or for the client to read answers.
        self._unparsed = b""
        self._is_waiting_for_turn = False
        self._drop_call: t.Any = None
        self._dropped_bytes = 0
        self._is_dropping = False
        self._on_open = on_open
        self._on_answer = on_answer
        self._on_close = on_close

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection."""
        super().connectionMade()
        self._on_open(self)
        self._use = self._intake.open(self._close_refused, self._update_use)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle what has arrived, or keep it until it is this connection's turn."""
        if self.is_refused:
            self._drop(data)
        elif self._unparsed or not self._turns.may_go_on():
            self._unparsed += data
            self._wait_for_turn()
            self._update_use()
        else:
            self._turns.run(functools.partial(self._parse, data))

    def _parse(self, data: bytes) -> None:
        """Handle data until the turn is over, and count what of it is kept."""
        for start in range(0, len(data), PARSED_AT_ONCE_BYTES):
            if self.is_refused or not self.connected:
                return
            if start and (self._unparsed or not self._turns.may_go_on()):
                # Further requests of the part before come first.
                self._unparsed += data[start:]
                self._wait_for_turn()
                break
            part = data[start : start + PARSED_AT_ONCE_BYTES]
            self.received_bytes += len(part)
            super().dataReceived(part)
        self._update_use()

    def _wait_for_turn(self) -> None:
        """Read nothing more until it is this connection's turn."""
        self._networkProducer.pauseProducing()
        if not self._is_waiting_for_turn:
            self._is_waiting_for_turn = True
            self._turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._is_waiting_for_turn = False
        if not self.connected or not self._unparsed:
            return
        # Otherwise the end of the request, or the client's reading, goes on with it.
        if not self._handlingRequest and not self._waitingForTransport:
            self._go_on()

    def _go_on(self) -> None:
        """Handle what has waited, and read on."""
        data, self._unparsed = self._unparsed, b""
        self._networkProducer.resumeProducing()
        self._turns.run(functools.partial(self._parse, data))

    def _send100Continue(self) -> None:  # noqa: N802
        """Ask for the body, unless the request is refused."""
        if not self.is_refused:
            super()._send100Continue()

    def _update_use(self) -> None:
        if self.is_refused or self._use is None or not self.connected:
            return
        unread_bytes = self._count_unread_bytes()
        if self.read_at is not None:
            phase = Phase.SERVED
        elif self.requests or self._unparsed:
            phase = Phase.RECEIVING
        else:
            phase = Phase.UNREAD if unread_bytes else Phase.IDLE
            self._use.has_head = False
        self._intake.set_phase(self._use, phase)
        held = unread_bytes + self._head_bytes + self._work_bytes + len(self._unparsed)
        held += sum(map(len, self._dataBuffer))
        for request in self.requests:
            content = request.content
            is_kept = isinstance(content, io.BytesIO) and not content.closed
            held += content.getbuffer().nbytes if is_kept else self.received_bytes
        if held != self._use.request_bytes or phase is Phase.RECEIVING:
            self._intake.hold(self._use, held)
        is_followed = phase is Phase.SERVED and (self._dataBuffer or self._unparsed)
        if is_followed and self._intake.is_exceeded_beside(self._use):
            self._drop_what_follows()

    def _drop_what_follows(self) -> None:
        """Drop what has arrived behind the request that is served.

        The connection is closed after the answer, so that the client sends it again.
        """
        self.persistent = 0
        self._dataBuffer = []
        self._unparsed = b""
        self._networkProducer.pauseProducing()
        self._update_use()

    def _count_unread_bytes(self) -> int:
        """Return how much of the answers the socket has not taken yet."""
        transport = self._socket_transport
        waiting = len(getattr(transport, "dataBuffer", b""))
        waiting -= getattr(transport, "offset", 0)
        # Twisted has no public name for what is written but not joined yet.
        return waiting + getattr(transport, "_tempDataLen", 0)

    def note_head(self, request: Request) -> None:
        """Note that the head of the request that arrives is complete."""
        headers = sum(1 for _ in request.requestHeaders.getAllRawHeaders())
        self._head_bytes = estimate_head(self._receivedHeaderSize, headers, self._path)
        # Bytes of requests before it may have been counted with it.
        self.received_bytes = 0
        if self._use is not None:
            self._use.has_head = True

    def charge_work(self, size: int) -> bool:
        """Charge the connection for the request that is served; see the request."""
        self._work_bytes = size
        self._update_use()
        if not self._intake.is_exceeded_beside(self._use):
            return True
        self._work_bytes = 0
        self._update_use()
        return False

    def refuse_request(self, reason: Reason) -> None:
        """Refuse the request that arrives, and close the connection."""
        self._intake.refuse(self._use, reason)

    def _close_refused(self, reason: Reason) -> None:
        """Refuse what has not arrived whole; drop for a while what still arrives."""
        if not self.connected:
            return
        self._is_dropping = True
        may_wait = self._intake.begin_drop()
        self._drop_call = self._clock.call_later(MAX_DROP_TIME, self._end_drop)
        if reason is Reason.MEMORY and self._count_unread_bytes():
            # The client would not read this refusal either.
            self._end_drop()
            return
        if self.transport.disconnecting:
            return
        if not self.requests:
            # A request that has arrived whole and was not read yet is answered first.
            self._is_closing = True
            self._read_what_has_arrived()
            if self.read_at is not None:
                self.persistent = 0
                return
            if not self.connected:
                return
            if self.is_idle:
                self._lose_at_once()
                return
        self.is_refused = True
        self._dataBuffer = []
        self._unparsed = b""
        # Reading may have paused; what still arrives is read and dropped.
        self._networkProducer.resumeProducing()
        too_large = reason is Reason.BODY_SIZE
        self.transport.write(TOO_LARGE_RESPONSE if too_large else OVERLOADED_RESPONSE)
        for request in self.requests:
            request.content = io.BytesIO()
        lose_write = getattr(self.transport, "loseWriteConnection", None)
        if not may_wait:
            self._end_drop()
        elif lose_write is None or ISSLTransport.providedBy(self.transport):
            self._lose_at_once()
        else:
            lose_write()

    def _drop(self, data: bytes) -> None:
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self._end_drop()

    def _end_drop(self) -> None:
        if not self.connected:
            return
        if self.read_at is not None:
            # What is being served is answered first.
            self._drop_call = self._clock.call_later(MAX_DROP_TIME, self._end_drop)
            return
        self.transport.abortConnection()

    def allContentReceived(self) -> None:  # noqa: N802
        """Note when the request was read whole, and serve it."""
        if self.is_refused:
            return
        # Also a request that arrived at once counts before it is served.
        self._update_use()
        if self.is_refused:
            return
        if self._use is not None:
            self._use.has_head = False
        self.read_at = self._clock.now()
        self._update_use()
        super().allContentReceived()
        if self._refuses_all:
            self._refuse_served()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Report the answer, and read the next request."""
        self.read_at = None
        self._on_answer(self)
        self._head_bytes = self._work_bytes = self.received_bytes = 0
        # Answers would pile up for a client that sends on and reads none.
        must_wait = self._waitingForTransport or not self._turns.may_go_on()
        if self.persistent and (must_wait or self._unparsed):
            arrived = b"".join(self._dataBuffer) + self.clearLineBuffer()
            self._unparsed = arrived + self._unparsed
            self._dataBuffer = []
        super().requestDone(request)
        if self._unparsed and self._waitingForTransport:
            self._networkProducer.pauseProducing()
        elif self._unparsed:
            self._wait_for_turn()
        if self.connected and self.transport.disconnecting:
            # Ends a connection whose client never reads its last answer.
            self.setTimeout(IDLE_TIMEOUT_S)
        if self._is_closing:
            # The client may have sent its next request before this answer.
            self.callLater(0, self._close_or_refuse)
        self._update_use()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on once the client has read its answers."""
        super().resumeProducing()
        if not self._unparsed or self._handlingRequest:
            return
        if self._turns.may_go_on():
            self._go_on()
        else:
            self._wait_for_turn()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served, or waits to be parsed."""
        return not (self.requests or self._unparsed)

    def close_when_idle(self) -> None:
        """Close the connection, after the answer to a request that has arrived.

        All that was answered is written out first.
        """
        self._is_closing = True
        self._close_or_refuse()

    def refuse_parts(self) -> None:
        """Refuse a request that has not arrived whole, after the answers before it."""
        self._refuses_parts = True
        self._close_or_refuse()

    @property
    def _socket_transport(self) -> t.Any:
        """The transport that owns the socket, below TLS."""
        if ISSLTransport.providedBy(self.transport):
            return self.transport.transport
        return self.transport

    def _read_what_has_arrived(self) -> None:
        """Handle what the socket has received and the reactor has not read yet."""
        transport = self._socket_transport
        if not IReadWriteDescriptor.providedBy(transport):
            return
        try:
            transport.doRead()
        except Exception:
            # The reactor, too, ends a connection whose protocol fails.
            log.err()
            transport.abortConnection()

    def _lose_at_once(self) -> None:
        """Close the connection once all is written; don't wait for a TLS client.

        Without anything left to write it is closed now. The reactor would close it
        when it next handles sockets, and what arrives until then is never read.
        """
        transport = self._socket_transport
        self.loseConnection()
        if transport is not self.transport:
            transport.loseConnection()
        if IReadWriteDescriptor.providedBy(transport):
            reason = transport.doWrite()
            if reason is not None:
                transport.connectionLost(Failure(reason))

    def refuse_all(self) -> None:
        """End the work on the request that is being served, and on those after it."""
        self._refuses_all = True
        self._refuse_served()

    def _refuse_served(self) -> None:
        if self.read_at is None:
            return
        request = self.requests[0]
        if request.on_refusal is not None:
            self.refused += 1
            request.on_refusal()

    def _close_or_refuse(self) -> None:
        if not self.connected or self.transport.disconnecting or self.is_refused:
            return
        if self.is_idle:
            self._read_what_has_arrived()
        if not self.connected or self.transport.disconnecting:
            return
        if self.is_idle:
            self._lose_at_once()
        elif self._refuses_parts and self.read_at is None:
            self.refused += 1
            self.transport.write(STOPPING_RESPONSE)
            self._lose_at_once()

    def connectionLost(self, reason: t.Any = connectionDone) -> None:  # noqa: N802
        """Report the end of the connection."""
        super().connectionLost(reason)
        self.connected = 0
        if self._use is not None:
            self._intake.close(self._use)
        if self._is_dropping:
            self._is_dropping = False
            self._intake.end_drop()
            if self._drop_call.active():
                self._drop_call.cancel()
        self._on_close(self)


def make_site(
    resource: t.Any, max_body_bytes: int, make_channel: t.Callable[[], FrontChannel]
) -> Site:
    """Return a site for ``resource``.

    :param max_body_bytes: Maximum length of a body; see :class:`FrontRequest`.
    :param make_channel: Returns the protocol of a new connection.
    """

    class LimitedRequest(FrontRequest):
        pass

    LimitedRequest.max_body_bytes = max_body_bytes
    site = Site(resource, timeout=IDLE_TIMEOUT_S)
    site.requestFactory = LimitedRequest
    site.protocol = make_channel
    return site

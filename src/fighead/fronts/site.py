"""A Twisted site whose connections can be closed without losing an answer."""

import datetime as dt
import typing as t

from twisted.internet.interfaces import IReadWriteDescriptor
from twisted.internet.protocol import connectionDone
from twisted.protocols.tls import TLSMemoryBIOProtocol
from twisted.python import log
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from ..clock import Clock

#: Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 75
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n\r\n"
)


#: Sent in place of an answer to a request that has not arrived whole at a stop.
STOPPING_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\n\r\n"
)


class FrontRequest(Request):
    """A request that can be refused while it is served.

    A body of more than twice ``max_body_bytes`` is not read: status 413 is sent and
    the connection closed. A smaller one reaches the front, which checks the exact
    limit and answers with an error in its own encoding.
    """

    #: Maximum length of a body in bytes.
    max_body_bytes: int
    #: Set by a front; ends the work on the request, which is then answered at once.
    on_refusal: t.Callable[[], None] | None = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a declared length that is far over the limit."""
        if length is not None and length > 2 * self.max_body_bytes:
            self.channel.transport.write(TOO_LARGE_RESPONSE)
            self.channel.transport.loseConnection()
            return
        super().gotLength(length)


class FrontChannel(HTTPChannel):
    """A connection that knows what it owes its client.

    :param clock: Source of the times.
    :param on_open: Called once the connection is open.
    :param on_answer: Called with each answer that is complete; it may not be written
        out yet.
    :param on_close: Called once the connection is closed.
    """

    #: When the request that is being served was read whole; ``None`` without one.
    read_at: dt.datetime | None = None
    #: Number of requests that were refused.
    refused = 0
    _is_closing = False
    _refuses_parts = False
    _refuses_all = False

    def __init__(
        self,
        clock: Clock,
        on_open: t.Callable[["FrontChannel"], None],
        on_answer: t.Callable[["FrontChannel"], None],
        on_close: t.Callable[["FrontChannel"], None],
    ) -> None:
        super().__init__()
        self._clock = clock
        self._on_open = on_open
        self._on_answer = on_answer
        self._on_close = on_close

    def connectionMade(self) -> None:  # noqa: N802
        """Report the connection."""
        super().connectionMade()
        self._on_open(self)

    def allContentReceived(self) -> None:  # noqa: N802
        """Note when the request was read whole, and serve it."""
        self.read_at = self._clock.now()
        super().allContentReceived()
        if self._refuses_all:
            self._refuse_served()

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Report the answer, and read the next request."""
        self.read_at = None
        self._on_answer(self)
        super().requestDone(request)
        if self._is_closing:
            # The client may have sent its next request before this answer.
            self.callLater(0, self._close_or_refuse)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or served."""
        return not self.requests

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
        if isinstance(self.transport, TLSMemoryBIOProtocol):
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
        if not self.connected or self.transport.disconnecting:
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

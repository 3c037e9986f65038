"""A loopback proxy on one link, whose bytes can be delayed, dropped or reset."""

import enum
import typing as t

from attrs import define, field
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol, connectionDone

#: Delay of each piece of data on a slow link.
SLOW_DELAY_S = 0.4
CONNECT_TIMEOUT_S = 2


class Mode(enum.Enum):
    """What happens to the data of a link."""

    PASS = "pass"
    SLOW = "slow"
    #: Nothing passes; a connection that has lost data stays silent for good.
    SILENT = "silent"
    #: Answers do not pass.
    ONE_WAY = "one way"
    #: Connections are reset, and new ones refused.
    RESET = "reset"


class _Side(Protocol):
    """One side of a connection through the proxy."""

    def __init__(self, link: "LinkProxy", is_client: bool) -> None:
        self.link = link
        self.is_client = is_client
        self.peer: _Side | None = None
        self.is_silent = False
        self._unsent: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        if self.link.mode is Mode.RESET and self.is_client:
            self.transport.abortConnection()
            return
        self.link.sides.add(self)
        if self.is_client:
            self.link.connect(self)
        elif self.peer is not None:
            for data in self.peer._unsent:
                self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        mode = self.link.mode
        is_dropped = mode is Mode.SILENT or (
            mode is Mode.ONE_WAY and not self.is_client
        )
        if is_dropped or self.is_silent:
            self.is_silent = True
        elif self.peer is None or not self.peer.connected:
            self._unsent.append(data)
        elif mode is Mode.SLOW:
            self.link.reactor.callLater(SLOW_DELAY_S, self.peer.transport.write, data)
        else:
            self.peer.transport.write(data)

    def connectionLost(self, reason: t.Any = connectionDone) -> None:  # noqa: N802
        self.link.sides.discard(self)
        is_cut = self.is_silent or self.link.mode in (Mode.SILENT, Mode.ONE_WAY)
        if self.peer is not None and self.peer.connected and not is_cut:
            self.peer.transport.loseConnection()


@define(eq=False)
class LinkProxy:
    """Listens on loopback and connects to the port of a server.

    :param target_port: Port of the server.
    :param port: Port on which the proxy listens, once started.
    """

    reactor: t.Any
    target_port: int
    port: int = 0
    mode: Mode = Mode.PASS
    sides: set[_Side] = field(factory=set)
    _listener: t.Any = None

    def start(self) -> "LinkProxy":
        """Start to listen on a free port."""
        factory = Factory.forProtocol(lambda: _Side(self, True))
        self._listener = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.port = self._listener.getHost().port
        return self

    def connect(self, client: _Side) -> None:
        """Connect a new connection of a client to the server."""
        server = _Side(self, False)
        server.peer, client.peer = client, server
        endpoint = TCP4ClientEndpoint(
            self.reactor, "127.0.0.1", self.target_port, CONNECT_TIMEOUT_S
        )
        connected = connectProtocol(endpoint, server)
        connected.addErrback(lambda _: client.transport.abortConnection())

    def set_mode(self, mode: Mode) -> None:
        """Change what happens to data from now on."""
        self.mode = mode
        if mode is Mode.RESET:
            for side in list(self.sides):
                side.transport.abortConnection()

    def stop(self) -> None:
        """Stop to listen, and reset all connections."""
        self._listener.stopListening()
        for side in list(self.sides):
            side.transport.abortConnection()

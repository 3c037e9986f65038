"""The task that owns the links to the other entries."""

import datetime as dt
import typing as t

import zmq
from attrs import define, field
from twisted.internet.defer import Deferred
from txzmq import ZmqConnection, ZmqEndpoint, ZmqEndpointType, ZmqFactory
from zmq.utils import z85

from .. import message as m
from ..clock import Clock, with_timeout
from ..codec import from_wire, to_wire
from ..exceptions import PeerUnreachableError, RequestError
from ..log import Event, log_event
from ..mailbox import Mailbox, spawn
from ..model import Member

#: Messages that wait for a peer that is not reached; more are dropped.
HIGH_WATER_MARK = 2000
#: Largest message that is taken from a peer, in bytes.
MAX_MESSAGE_BYTES = 4 << 20
DEFAULT_TIMEOUT = dt.timedelta(seconds=2)


@define
class CurveKeys:
    """Keys of the links: one pair for all entries of a deployment.

    :param public: Public key in Z85; empty for links without encryption.
    :param secret: Secret key in Z85.
    """

    public: str = ""
    secret: str = field(default="", repr=False)


class _Link(ZmqConnection):
    """A socket of the links; keys are set before it is bound or connected."""

    highWaterMark = HIGH_WATER_MARK  # noqa: N815

    def __init__(
        self,
        factory: ZmqFactory,
        endpoint: ZmqEndpoint,
        keys: CurveKeys,
        handle: t.Callable[[bytes], None],
    ) -> None:
        self._handle = handle
        super().__init__(factory)
        self.socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        if keys.public:
            self._secure(keys, endpoint.type == ZmqEndpointType.bind)
        self.addEndpoints([endpoint])

    def _secure(self, keys: CurveKeys, is_server: bool) -> None:
        self.socket.set(zmq.CURVE_PUBLICKEY, keys.public.encode())
        self.socket.set(zmq.CURVE_SECRETKEY, keys.secret.encode())
        if is_server:
            self.socket.set(zmq.CURVE_SERVER, 1)
        else:
            self.socket.set(zmq.CURVE_SERVERKEY, keys.public.encode())

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Hand a message on."""
        self._handle(message[-1])


class _Inbound(_Link):
    socketType = zmq.PULL  # noqa: N815


class _Outbound(_Link):
    socketType = zmq.PUSH  # noqa: N815


def admits(keys: CurveKeys, mechanism: bytes, client_key: bytes) -> bool:
    """Whether a client that proved to own ``client_key`` may link."""
    return mechanism == b"CURVE" and client_key == z85.decode(keys.public)


class _Authenticator(ZmqConnection):
    """Admits only peers that hold the deployment's own key."""

    socketType = zmq.REP  # noqa: N815

    def __init__(self, factory: ZmqFactory, keys: CurveKeys) -> None:
        self._keys = keys
        address = ZmqEndpoint(ZmqEndpointType.bind, "inproc://zeromq.zap.01")
        super().__init__(factory, address)

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Answer one request of the ZAP protocol."""
        version, request_id, *_, mechanism, key = message
        admitted = admits(self._keys, mechanism, key)
        status = (b"200", b"OK") if admitted else (b"400", b"Unknown key")
        self.send([version, request_id, *status, b"", b""])


@define(eq=False)
class PeerTask:
    """Sends messages to peers, matches answers and hands on what arrives.

    :param address: ``tcp://`` address to listen on.
    :param handle: Answers a peer's message; ``None`` means no answer.
    :param registry: Classes of the messages that may arrive.
    """

    me: str
    address: str
    keys: CurveKeys
    clock: Clock
    reactor: t.Any
    handle: t.Callable[[str, t.Any], t.Any]
    registry: t.Mapping[str, type] = field(factory=lambda: m.WIRE_MESSAGES)
    mailbox: Mailbox[m.View] = field(factory=lambda: Mailbox("peer"))
    _factory: ZmqFactory = field(factory=ZmqFactory)
    _links: dict[str, _Outbound] = field(factory=dict)
    _addresses: dict[str, str] = field(factory=dict)
    _waiting: dict[str, Deferred[t.Any]] = field(factory=dict)
    _inbound: _Inbound | None = None
    _authenticator: _Authenticator | None = None
    _sequence: int = 0

    async def run(self) -> None:
        """Listen, and follow the members until cancelled."""
        self._factory.reactor = self.reactor
        if self.keys.public:
            self._authenticator = _Authenticator(self._factory, self.keys)
        endpoint = ZmqEndpoint(ZmqEndpointType.bind, self.address)
        self._inbound = _Inbound(self._factory, endpoint, self.keys, self._receive)
        while True:
            view = await self.mailbox.get()
            self._follow(view.members)

    def _follow(self, members: t.Mapping[str, Member]) -> None:
        for name in list(self._links):
            member = members.get(name)
            if member is None or member.peer_address != self._addresses[name]:
                self._links.pop(name).shutdown()
        for name, member in members.items():
            if name == self.me or name in self._links:
                continue
            endpoint = ZmqEndpoint(ZmqEndpointType.connect, member.peer_address)
            link = _Outbound(self._factory, endpoint, self.keys, lambda _: None)
            self._links[name] = link
            self._addresses[name] = member.peer_address

    def peers(self) -> tuple[str, ...]:
        """Return the names of the peers that are linked."""
        return tuple(self._links)

    def tell(self, peer: str, message: t.Any) -> None:
        """Send a message that wants no answer; it may be lost."""
        self._send(peer, m.Envelope(self.me, "", False, to_wire(message)))

    def ask(
        self, peer: str, message: t.Any, timeout: dt.timedelta = DEFAULT_TIMEOUT
    ) -> Deferred[t.Any]:
        """Send a message and return its answer.

        :raises PeerUnreachableError: If there is no answer in time. The peer may
            have received the message all the same.
        """
        self._sequence += 1
        call_id = f"{self.me}-{self._sequence}"
        fut: Deferred[t.Any] = Deferred()
        self._waiting[call_id] = fut
        self._send(peer, m.Envelope(self.me, call_id, False, to_wire(message)))
        limited = with_timeout(self.clock, fut, timeout)
        return limited.addBoth(lambda result: self._finish(peer, call_id, result))

    def _finish(self, peer: str, call_id: str, result: t.Any) -> t.Any:
        self._waiting.pop(call_id, None)
        if getattr(result, "check", None) and result.check(TimeoutError):
            raise PeerUnreachableError(
                f"Entry {peer} gave no answer in time.",
                "Retry; another entry takes over what it owned.",
            )
        return result

    def _send(self, peer: str, envelope: m.Envelope) -> None:
        link = self._links.get(peer)
        if link is None:
            return
        try:
            link.send(to_wire(envelope))
        except zmq.ZMQError:
            # The queue to this peer is full: it counts as a lost message.
            return

    def _receive(self, frame: bytes) -> None:
        try:
            envelope = from_wire(frame, m.WIRE_MESSAGES)
            message = from_wire(envelope.payload, self.registry)
        except RequestError as exc:
            log_event(Event.PEER_MESSAGE_REFUSED, reason=exc.message)
            return
        if envelope.is_answer:
            fut = self._waiting.pop(envelope.call_id, None)
            if fut is not None and not fut.called:
                fut.callback(message)
            return
        spawn(self._answer(envelope, message))

    async def _answer(self, envelope: m.Envelope, message: t.Any) -> None:
        answer = self.handle(envelope.sender, message)
        if isinstance(answer, Deferred):
            answer = await answer
        if envelope.call_id and answer is not None:
            reply = m.Envelope(self.me, envelope.call_id, True, to_wire(answer))
            self._send(envelope.sender, reply)

    def stop(self) -> None:
        """Close all sockets."""
        for link in self._links.values():
            link.shutdown()
        self._links.clear()
        for socket in (self._inbound, self._authenticator):
            if socket is not None:
                socket.shutdown()

"""The task that owns the connections to the other entries."""

import datetime as dt
import typing as t
import uuid

import zmq
from attrs import Factory, define, field, frozen
from twisted.internet.defer import Deferred, DeferredList, fail
from txzmq import ZmqConnection, ZmqEndpoint, ZmqEndpointType, ZmqFactory
from zmq.utils import z85

from .. import message as m
from ..clock import Clock, with_timeout
from ..codec import from_wire, to_wire
from ..exceptions import PeerUnreachableError, RequestError
from ..log import Event, log_event
from ..mailbox import Mailbox, spawn
from ..model import Member
from .call import Call
from .peer_links import MONITORED_EVENTS, LinkMonitor, PeerLinks

#: Maximum number of messages queued for a peer; further ones are dropped.
HIGH_WATER_MARK = 2000
#: Time in which a connection has to complete its handshake. A peer that was suspended
#: connects anew.
HANDSHAKE_TIMEOUT = dt.timedelta(seconds=10)
#: Name under which peers are authenticated. With one, ZeroMQ refuses connections of
#: protocols before ZMTP 3, for which any bytes of a stranger are messages.
AUTHENTICATION_DOMAIN = b"fighead"
#: Address within the process of the events of the socket that listens.
MONITOR_ADDRESS = "inproc://fighead.peer-links"
#: Maximum size of a message from a peer.
MAX_MESSAGE_BYTES = 4 << 20
DEFAULT_ANSWER_TIMEOUT = dt.timedelta(seconds=2)


@define
class CurveKeys:
    """CURVE key pair of the connections, shared by all entries of a deployment.

    :param public: Public key in Z85; if empty, connections are not encrypted.
    :param secret: Secret key in Z85.
    """

    public: str = ""
    secret: str = field(default="", repr=False)


class _PeerConnection(ZmqConnection):
    """A ZeroMQ socket whose keys are set before it is bound or connected."""

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
        handshake_ms = HANDSHAKE_TIMEOUT // dt.timedelta(milliseconds=1)
        self.socket.set(zmq.HANDSHAKE_IVL, handshake_ms)
        if endpoint.type == ZmqEndpointType.bind:
            self.socket.set(zmq.ZAP_DOMAIN, AUTHENTICATION_DOMAIN)
        if keys.public:
            self._set_curve_keys(keys, endpoint.type == ZmqEndpointType.bind)
        try:
            self.addEndpoints([endpoint])
        except Exception:
            self.shutdown()
            raise

    def _set_curve_keys(self, keys: CurveKeys, is_server: bool) -> None:
        self.socket.set(zmq.CURVE_PUBLICKEY, keys.public.encode())
        self.socket.set(zmq.CURVE_SECRETKEY, keys.secret.encode())
        if is_server:
            self.socket.set(zmq.CURVE_SERVER, 1)
        else:
            self.socket.set(zmq.CURVE_SERVERKEY, keys.public.encode())

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Handle the last frame of a message."""
        self._handle(message[-1])


class _InboundConnection(_PeerConnection):
    """The socket that listens, which tells on which connection a message arrived."""

    socketType = zmq.PULL  # noqa: N815
    #: File descriptor of the connection of the latest message.
    source = -1

    def _readMultipart(self) -> list[bytes]:  # noqa: N802
        frames = self.socket.recv_multipart(zmq.NOBLOCK, copy=False)
        self.source = frames[-1].get(zmq.SRCFD)
        return [frame.bytes for frame in frames]

    def addEndpoints(self, endpoints: list[ZmqEndpoint]) -> None:  # noqa: N802
        """Listen, and report connections from the first one on."""
        self.socket.monitor(MONITOR_ADDRESS, MONITORED_EVENTS)
        super().addEndpoints(endpoints)

    def shutdown(self) -> None:
        """Close the socket and its monitor."""
        self.socket.disable_monitor()
        super().shutdown()


class _OutboundConnection(_PeerConnection):
    socketType = zmq.PUSH  # noqa: N815


def is_authorized(keys: CurveKeys, mechanism: bytes, client_key: bytes) -> bool:
    """Whether a client that has proved to own ``client_key`` may connect.

    Without keys any client may that speaks a protocol with a mechanism.
    """
    if not keys.public:
        return mechanism == b"NULL"
    return mechanism == b"CURVE" and client_key == z85.decode(keys.public)


class _Authenticator(ZmqConnection):
    """ZAP handler that admits only clients with the deployment's key, if it has one."""

    socketType = zmq.REP  # noqa: N815

    def __init__(self, factory: ZmqFactory, keys: CurveKeys) -> None:
        self._keys = keys
        address = ZmqEndpoint(ZmqEndpointType.bind, "inproc://zeromq.zap.01")
        super().__init__(factory, address)

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Answer one ZAP request."""
        version, request_id, _domain, _address, _identity, mechanism, *rest = message
        key = rest[0] if rest else b""
        authorized = is_authorized(self._keys, mechanism, key)
        status = (b"200", b"OK") if authorized else (b"400", b"Unknown key")
        self.send([version, request_id, *status, b"", b""])


@frozen
class LimitLinks:
    """Request to keep the connections to the own port to a number.

    Members may always have theirs.
    """

    max_links: int


@frozen
class FinishAnswers:
    """Request to wait for the answers to all messages of peers that are being handled.

    Later messages are handled too, but not waited for.
    """


@frozen
class _PendingCall:
    """A request that has been sent to ``peer``, and its answer."""

    peer: str
    answer: Deferred[t.Any]


@define(eq=False)
class PeerTask:
    """Exchanges messages with peers and matches answers with requests.

    A connection may deliver what was meant for an earlier process of the same entry.

    :param address: ``tcp://`` address to listen on.
    :param handle: Called with the sender and the message. Returns the answer, a
        deferred that fires with it, or ``None`` for no answer.
    :param registry: Message classes that peers may send, by name.
    """

    me: str
    address: str
    keys: CurveKeys
    clock: Clock
    reactor: t.Any
    handle: t.Callable[[str, t.Any], t.Any]
    registry: t.Mapping[str, type] = field(factory=lambda: m.WIRE_MESSAGES)
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("peer"))
    _factory: ZmqFactory = field(factory=ZmqFactory)
    _connections: dict[str, _OutboundConnection] = field(factory=dict)
    _connected_addresses: dict[str, str] = field(factory=dict)
    #: Addresses of members to which no connection can be made, by member.
    _unusable_addresses: dict[str, str] = field(factory=dict)
    _pending_calls: dict[str, _PendingCall] = field(factory=dict)
    #: Peers' messages whose answers are not sent yet.
    _unanswered: set[Deferred[None]] = field(factory=set)
    _inbound: _InboundConnection | None = None
    _authenticator: _Authenticator | None = None
    _monitor: LinkMonitor | None = None
    _links: PeerLinks = field(
        default=Factory(lambda self: PeerLinks(self.clock), takes_self=True)
    )
    _process_id: str = field(factory=lambda: uuid.uuid4().hex)
    _last_call_number: int = 0

    async def run(self) -> None:
        """Listen, and keep a connection to each other member, until cancelled."""
        self._factory.reactor = self.reactor
        self._authenticator = _Authenticator(self._factory, self.keys)
        endpoint = ZmqEndpoint(ZmqEndpointType.bind, self.address)
        self._inbound = _InboundConnection(
            self._factory, endpoint, self.keys, self._handle_frame
        )
        self._monitor = LinkMonitor(
            self._factory, MONITOR_ADDRESS, self._links.handle_event
        )
        while True:
            match await self.mailbox.get():
                case m.View(members=members):
                    self._update_connections(members)
                    self._links.update_members(members.values(), self.me)
                case LimitLinks(max_links):
                    self._links.max_links = max_links
                case Call(FinishAnswers(), reply):
                    answers = DeferredList(tuple(self._unanswered))
                    answers.addCallback(lambda _, reply=reply: reply.callback(None))

    def _update_connections(self, members: t.Mapping[str, Member]) -> None:
        for name in list(self._connections):
            member = members.get(name)
            if member is None or member.peer_address != self._connected_addresses[name]:
                self._connections.pop(name).shutdown()
                self._fail_calls(name)
        for name in self._unusable_addresses.keys() - members.keys():
            del self._unusable_addresses[name]
        for name, member in members.items():
            if name != self.me and name not in self._connections:
                self._connect(name, member.peer_address)

    def _fail_calls(self, peer: str) -> None:
        """Let the calls to a peer fail that has left, or has another address."""
        for call_id, call in tuple(self._pending_calls.items()):
            if call.peer == peer:
                del self._pending_calls[call_id]
                call.answer.errback(
                    PeerUnreachableError(
                        f"Entry {peer} has left before it answered.",
                        "Retry; another entry takes over its resources.",
                    )
                )

    def _connect(self, name: str, address: str) -> None:
        if self._unusable_addresses.get(name) == address:
            return
        endpoint = ZmqEndpoint(ZmqEndpointType.connect, address)
        try:
            connection = _OutboundConnection(
                self._factory, endpoint, self.keys, lambda _: None
            )
        except (zmq.ZMQError, ValueError) as exc:
            self._unusable_addresses[name] = address
            reason = f"no peer can have its address: {type(exc).__name__}"
            log_event(Event.RECORD_UNREADABLE, key=name, reason=reason)
            return
        self._unusable_addresses.pop(name, None)
        self._connections[name] = connection
        self._connected_addresses[name] = address

    def peers(self) -> tuple[str, ...]:
        """Return the names of the peers for which there is a connection."""
        return tuple(self._connections)

    def send(self, peer: str, message: t.Any) -> None:
        """Send a message that expects no answer; it may be lost."""
        self._send_envelope(peer, m.Envelope(self.me, "", False, to_wire(message)))

    def ask(
        self, peer: str, message: t.Any, timeout: dt.timedelta = DEFAULT_ANSWER_TIMEOUT
    ) -> Deferred[t.Any]:
        """Send a message and return a deferred that fires with its answer.

        :raises PeerUnreachableError: At once if there is no connection to the peer;
            if the peer leaves; if there is no answer within ``timeout``. Without a
            connection it is certain that the peer has not received the message.
        """
        if peer not in self._connections:
            return fail(
                PeerUnreachableError(
                    f"There is no connection to entry {peer}.",
                    "Retry; if the peer is down, another entry takes over its "
                    "resources.",
                    True,
                )
            )
        self._last_call_number += 1
        call_id = f"{self._process_id}-{self._last_call_number}"
        deferred: Deferred[t.Any] = Deferred()
        self._pending_calls[call_id] = _PendingCall(peer, deferred)
        self._send_envelope(peer, m.Envelope(self.me, call_id, False, to_wire(message)))
        limited = with_timeout(self.clock, deferred, timeout)
        return limited.addBoth(lambda result: self._finish_call(peer, call_id, result))

    def _finish_call(self, peer: str, call_id: str, result: t.Any) -> t.Any:
        self._pending_calls.pop(call_id, None)
        if getattr(result, "check", None) and result.check(TimeoutError):
            raise PeerUnreachableError(
                f"Entry {peer} gave no answer in time.",
                "Retry; if the peer is down, another entry takes over its resources.",
            )
        return result

    def _send_envelope(self, peer: str, envelope: m.Envelope) -> None:
        connection = self._connections.get(peer)
        if connection is None:
            return
        try:
            connection.send(to_wire(envelope))
        except zmq.ZMQError:
            # The queue for this peer is full, so the message is lost.
            return

    def _handle_frame(self, frame: bytes) -> None:
        try:
            envelope = from_wire(frame, m.WIRE_MESSAGES)
            message = from_wire(envelope.payload, self.registry)
        except RequestError as exc:
            log_event(Event.PEER_MESSAGE_REFUSED, reason=exc.message)
            return
        if self._inbound is not None:
            self._links.note_message(self._inbound.source)
        if envelope.is_answer:
            self._handle_answer(envelope, message)
            return
        answering = spawn(self._handle_message(envelope, message))
        if envelope.call_id and not answering.called:
            self._unanswered.add(answering)
            answering.addBoth(lambda _: self._unanswered.discard(answering))

    def _handle_answer(self, envelope: m.Envelope, message: t.Any) -> None:
        call = self._pending_calls.get(envelope.call_id)
        if call is None or call.peer != envelope.sender:
            # The call has timed out, or an earlier process of this entry has made it.
            is_own = envelope.call_id.startswith(self._process_id)
            log_event(
                Event.PEER_ANSWER_DROPPED, peer=envelope.sender, is_own_call=is_own
            )
            return
        del self._pending_calls[envelope.call_id]
        if not call.answer.called:
            call.answer.callback(message)

    async def _handle_message(self, envelope: m.Envelope, message: t.Any) -> None:
        answer = self.handle(envelope.sender, message)
        if isinstance(answer, Deferred):
            answer = await answer
        if envelope.call_id and answer is not None:
            reply = m.Envelope(self.me, envelope.call_id, True, to_wire(answer))
            self._send_envelope(envelope.sender, reply)

    def stop(self) -> None:
        """Close all connections and stop listening."""
        for connection in self._connections.values():
            connection.shutdown()
        self._connections.clear()
        for connection in (self._monitor, self._inbound, self._authenticator):
            if connection is not None:
                connection.shutdown()

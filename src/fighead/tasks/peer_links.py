"""Keeps the connections to the port for other entries within bounds.

ZeroMQ accepts every connection by itself and has no limit of their number. Its monitor
tells which sockets it has accepted; those that are too many are shut down, after which
ZeroMQ closes them like any connection whose other end has gone.
"""

import socket
import typing as t

import zmq
from attrs import define, field
from txzmq import ZmqConnection, ZmqEndpoint, ZmqEndpointType, ZmqFactory
from zmq.utils.monitor import parse_monitor_message

from ..clock import Clock
from ..decisions.peer_links import (
    DEFAULT_MAX_LINKS,
    MAX_STRANGERS,
    PeerLink,
    choose_links_to_close,
)
from ..model import Member

MONITORED_EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED
#: Addresses of earlier members that are remembered. An entry that can't reach the store
#: is no member, but its peers relay its calls.
MAX_REMEMBERED_ADDRESSES = 10_000


class LinkMonitor(ZmqConnection):
    """Receives the events of a ZeroMQ socket.

    :param address: Address within the process at which the socket tells its events.
    """

    socketType = zmq.PAIR  # noqa: N815

    def __init__(
        self,
        factory: ZmqFactory,
        address: str,
        handle: t.Callable[[dict[str, t.Any]], None],
    ) -> None:
        self._handle = handle
        super().__init__(factory, ZmqEndpoint(ZmqEndpointType.connect, address))

    def messageReceived(self, message: list[bytes]) -> None:  # noqa: N802
        """Handle one event."""
        self._handle(parse_monitor_message(message))


@define(eq=False)
class PeerLinks:
    """The connections that the port for other entries has accepted.

    :param max_links: Most connections in all, beside those of members.
    """

    clock: Clock
    max_links: int = DEFAULT_MAX_LINKS
    _links: dict[int, PeerLink] = field(factory=dict)
    _members_at: dict[str, int] = field(factory=dict)
    _remembered: set[str] = field(factory=set)
    _has_view: bool = False

    def update_members(self, members: t.Iterable[Member], me: str) -> None:
        """Note the addresses of the members; those of earlier ones are remembered."""
        self._has_view = True
        self._members_at = {}
        for member in members:
            if member.name == me:
                continue
            host = member.peer_address.rpartition("//")[2].rpartition(":")[0]
            self._members_at[host] = self._members_at.get(host, 0) + 1
            if len(self._remembered) < MAX_REMEMBERED_ADDRESSES:
                self._remembered.add(host)
        for host in self._remembered:
            self._members_at.setdefault(host, 1)

    def handle_event(self, event: t.Mapping[str, t.Any]) -> None:
        """Handle an event of the socket that listens."""
        descriptor = int(event["value"])
        if event["event"] == zmq.EVENT_DISCONNECTED:
            self._links.pop(descriptor, None)
            return
        address = _read_peer_address(descriptor)
        if address is None:
            return
        link = PeerLink(descriptor, address, self.clock.now())
        self._links[descriptor] = link
        self._close_some()

    def note_message(self, descriptor: int) -> None:
        """Note that a message of an entry has arrived on a connection."""
        link = self._links.get(descriptor)
        if link is not None:
            link.is_proven = True

    def _close_some(self) -> None:
        # Before the first view all members are strangers.
        max_strangers = MAX_STRANGERS if self._has_view else self.max_links
        for link in choose_links_to_close(
            self._links.values(), self._members_at, max_strangers, self.max_links
        ):
            del self._links[link.descriptor]
            _shut_down(link)


def _borrow_socket(descriptor: int) -> socket.socket:
    """Return an object for a socket of ZeroMQ, which must be detached after use."""
    return socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)


def _read_peer_address(descriptor: int) -> tuple[str, int] | None:
    """Return the address of a socket's other end; ``None`` if it is closed."""
    try:
        borrowed = _borrow_socket(descriptor)
    except OSError:
        return None
    try:
        return borrowed.getpeername()
    except OSError:
        return None
    finally:
        borrowed.detach()


def _shut_down(link: PeerLink) -> None:
    """End a connection, unless its descriptor is already that of another one."""
    if _read_peer_address(link.descriptor) != link.address:
        return
    borrowed = _borrow_socket(link.descriptor)
    try:
        borrowed.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Its other end has closed it meanwhile.
        return
    finally:
        borrowed.detach()

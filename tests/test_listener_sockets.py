"""The end of a listener with real connections on loopback."""

import datetime as dt
import socket
import time

import pytest
from attrs import define, field
from klein import Klein
from twisted.internet.epollreactor import EPollReactor

import open_connections
from fighead.clock import ReactorClock
from fighead.mailbox import spawn
from fighead.tasks.call import call
from fighead.tasks.listener import CloseConnections, ListenerTask

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
STOP_S = 2
CLIENT_COUNT = 8
GET = open_connections.encode("GET", "/x")


@define(eq=False)
class WatchedListener(ListenerTask):
    """A listener that tells of each connection that has ended."""

    ended: list = field(factory=list)
    on_end: object = None
    on_accepted: object = None

    async def _accept_what_has_arrived(self, deadline):
        await super()._accept_what_has_arrived(deadline)
        if self.on_accepted is not None:
            self.on_accepted()

    def _remove_channel(self, channel):
        super()._remove_channel(channel)
        self.ended.append(channel)
        if self.on_end is not None:
            self.on_end()


class Client:
    """A client with one connection."""

    def __init__(self, port):
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.received = b""
        self.is_closed = False

    def send(self, data=GET):
        self.sock.sendall(data)

    def receive(self):
        self.sock.setblocking(False)
        try:
            while data := self.sock.recv(65536):
                self.received += data
            self.is_closed = True
        except BlockingIOError:
            pass
        except OSError:
            self.is_closed = True


class World:
    """A listener on a port of loopback, and its clients."""

    def __init__(self):
        self.reactor = EPollReactor()
        app = Klein()
        app.route("/", branch=True)(lambda _: b"served")
        self.listener = WatchedListener(
            ReactorClock(self.reactor, START), self.listen, app.resource(), 100
        )
        self.listener.start()
        spawn(self.listener.run())
        self.clients = [Client(self.port_number) for _ in range(CLIENT_COUNT)]
        self.closed = []

    def listen(self, site):
        site.reactor = self.reactor
        self.port = self.reactor.listenTCP(0, site, interface="127.0.0.1")
        self.port_number = self.port.getHost().port
        return self.port

    def close(self):
        now = self.listener.clock.now()
        msg = CloseConnections(*[now + dt.timedelta(seconds=STOP_S)] * 2)
        call(self.listener.mailbox, msg).addCallback(self.closed.append)

    def run_until(self, condition):
        ends_by = time.monotonic() + 2 * STOP_S
        while not condition():
            assert time.monotonic() < ends_by
            self.reactor.iterate(0.001)
            for client in self.clients:
                client.receive()

    def serve_all(self):
        """Let each client get an answer on its connection."""
        for client in self.clients:
            client.send()
        self.run_until(lambda: all(b"served" in c.received for c in self.clients))
        for client in self.clients:
            client.received = b""


@pytest.fixture
def world():
    world = World()
    yield world
    for client in world.clients:
        client.sock.close()
    world.port.stopListening()
    world.reactor.iterate(0)


def test_a_request_that_arrives_while_idle_connections_are_closed_is_answered(world):
    world.serve_all()

    def send_on_first_end():
        if len(world.listener.ended) == 1:
            for client in world.clients:
                client.send()

    world.listener.on_end = send_on_first_end
    world.close()
    world.run_until(lambda: world.closed and all(c.is_closed for c in world.clients))
    answered = [client for client in world.clients if b"served" in client.received]
    assert len(answered) == CLIENT_COUNT - 1
    assert (world.closed[0].answered, world.closed[0].cut) == (CLIENT_COUNT - 1, 0)


def test_a_connection_that_its_client_has_closed_is_closed_without_an_error(
    world, failures
):
    world.serve_all()
    channels = tuple(world.listener._channels)
    for client in world.clients[1:]:
        client.sock.close()
    world.clients = world.clients[:1]
    world.close()
    world.run_until(lambda: world.closed)
    for channel in channels:
        channel.close_when_idle()
    world.run_until(lambda: world.clients[0].is_closed)
    assert len(world.listener.ended) == CLIENT_COUNT
    assert failures == []


def test_a_request_that_arrives_in_parts_while_idle_connections_are_closed_is_answered(
    world,
):
    world.serve_all()
    rest = GET[30:]

    def send_on_first_end():
        if len(world.listener.ended) == 1:
            for client in world.clients:
                client.send(GET[:30])

    world.listener.on_end = send_on_first_end
    world.close()
    world.run_until(lambda: world.listener.ended)
    for client in world.clients:
        if not client.is_closed:
            client.send(rest)
    world.run_until(lambda: world.closed and all(c.is_closed for c in world.clients))
    answered = [client for client in world.clients if b"served" in client.received]
    assert len(answered) == CLIENT_COUNT - 1


def test_a_connection_that_arrives_just_before_the_port_is_closed_is_served(world):
    def connect():
        world.clients += [Client(world.port_number) for _ in range(CLIENT_COUNT)]
        for client in world.clients[CLIENT_COUNT:]:
            client.send()

    world.listener.on_accepted = connect
    world.close()
    world.run_until(lambda: world.closed and all(c.is_closed for c in world.clients))
    late = world.clients[CLIENT_COUNT:]
    answered = [client for client in late if b"served" in client.received]
    assert len(answered) == CLIENT_COUNT
    with pytest.raises(ConnectionRefusedError):
        Client(world.port_number)

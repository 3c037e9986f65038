"""Ports that the harness reserves for processes."""

import contextlib
import socket
import subprocess
import sys

import pytest
from soak.ports import ReservedPorts

#: Tries to bind each port that is named, as a process does that was given none.
TAKE = """
import socket, sys
for port in sys.argv[1:]:
    try:
        socket.socket().bind(("127.0.0.1", int(port)))
        print(port)
    except OSError:
        pass
"""
LISTEN_BY_TWISTED = """
import sys
from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site
reactor.listenTCP(int(sys.argv[1]), Site(Resource()), interface="127.0.0.1")
"""
LISTEN_BY_ZEROMQ = """
import sys
import zmq
zmq.Context().socket(zmq.ROUTER).bind(f"tcp://127.0.0.1:{sys.argv[1]}")
"""


@pytest.fixture
def reserved():
    ports = ReservedPorts()
    yield ports
    ports.close()


def run(code, *arguments):
    command = [sys.executable, "-c", code, *map(str, arguments)]
    return subprocess.run(
        command, capture_output=True, text=True, timeout=30, check=True
    ).stdout.split()


# Failure: another process took a port before the one that it was meant for listened.
def test_no_other_process_takes_a_reserved_port(reserved):
    ports = reserved.reserve(20)
    assert run(TAKE, *ports) == []


# Failure: two soaks at once chose the same port.
def test_ports_are_reserved_once(reserved):
    ports = reserved.reserve(1000)
    others = ReservedPorts()
    with contextlib.closing(others):
        assert set(ports).isdisjoint(others.reserve(1000))
    assert len(set(ports)) == 1000


@pytest.mark.parametrize("code", [LISTEN_BY_TWISTED, LISTEN_BY_ZEROMQ])
def test_a_process_listens_on_its_reserved_port_again_and_again(reserved, code):
    (port,) = reserved.reserve(1)
    for _ in range(2):
        run(code, port)
    assert run(TAKE, port) == []


def test_connections_reach_the_process_on_a_reserved_port(reserved):
    (port,) = reserved.reserve(1)
    with socket.create_server(("127.0.0.1", port)) as server:
        client = socket.create_connection(("127.0.0.1", port))
        server.accept()[0].sendall(b"x")
        assert client.recv(1) == b"x"
        client.close()


def test_ports_are_free_once_they_are_given_back(reserved):
    ports = reserved.reserve(3)
    reserved.close()
    assert run(TAKE, *ports) == [str(port) for port in ports]

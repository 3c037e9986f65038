"""Ports of processes that are started later."""

import contextlib
import random
import socket

from attrs import define, field

#: Ports for processes. They are below those that the system chooses, so that no proxy
#: and no connection takes one of them.
PORTS = range(10_000, 30_000)


@define(eq=False)
class ReservedPorts:
    """Owns loopback ports until it is closed.

    Each is bound by a socket that doesn't listen. On Linux, a process that sets
    ``SO_REUSEADDR``, as Twisted and ZeroMQ do, can still listen there, as often as it
    is restarted. Any other bind fails, and the system gives the port to nobody.
    """

    _sockets: list[socket.socket] = field(factory=list)

    def reserve(self, count: int) -> list[int]:
        """Reserve distinct ports that are free, and return them."""
        ports: list[int] = []
        for port in random.sample(PORTS, len(PORTS)):
            if len(ports) == count:
                break
            with contextlib.suppress(OSError):
                self._sockets.append(_bind(port))
                ports.append(port)
        return ports

    def close(self) -> None:
        """Give the ports back."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()


def _bind(port: int) -> socket.socket:
    sock = socket.socket()
    try:
        # Without the option, this fails on a port that is reserved or in use.
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        raise
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return sock

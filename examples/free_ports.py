"""Prints the given number of free TCP ports on loopback, for the demo."""

import socket
import sys

sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for sock in sockets:
    sock.bind(("127.0.0.1", 0))
print(*(sock.getsockname()[1] for sock in sockets))

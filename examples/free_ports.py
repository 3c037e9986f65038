"""Prints free ports on loopback, for the demo."""

import socket
import sys

sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for held in sockets:
    held.bind(("127.0.0.1", 0))
print(*(held.getsockname()[1] for held in sockets))

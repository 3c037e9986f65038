"""Clients that use open HTTP connections, each at its own time, without threads."""

import json
import selectors
import socket
import time

from attrs import define


@define(eq=False)
class Exchange:
    """One request on an open connection, and what came of it.

    :param delay_s: When it is sent, after the start of the play.
    :param sent_at: When its last byte was sent; ``None`` if it could not be sent.
    """

    delay_s: float
    method: str
    path: str
    body: bytes = b""
    headers: str = ""
    sock: socket.socket = None
    sent_at: float = None
    ended_at: float = None
    received: bytes = b""
    refused_to_send: bool = False

    @property
    def is_answered(self):
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                return len(body) >= int(line.split(b":")[1])
        return b"chunked" in head.lower() and body.endswith(b"0\r\n\r\n")

    @property
    def status(self):
        return int(self.received.split(b" ")[1]) if self.received else None

    @property
    def age_s(self):
        """Time from the last byte of the request to the end of the connection."""
        return self.ended_at - self.sent_at


def encode(method, path, body=b"", host="mill.example", headers=""):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}"
    if body:
        head += "Content-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def connect(port, exchanges, first_path):
    """Open a connection for each exchange, with one earlier answer on it."""
    for exchange in exchanges:
        exchange.sock = socket.create_connection(("127.0.0.1", port), timeout=5)
        exchange.sock.sendall(encode("GET", first_path, headers=exchange.headers))
        earlier = Exchange(0, "GET", first_path)
        while not earlier.is_answered:
            earlier.received += exchange.sock.recv(65536)
        exchange.sock.setblocking(False)


def play(exchanges, for_s):
    """Send each request at its time, and read until all connections are closed.

    :param for_s: Time after which connections that are still open are given up.
    """
    started_at = time.monotonic()
    selector = selectors.DefaultSelector()
    for exchange in exchanges:
        selector.register(exchange.sock, selectors.EVENT_READ, exchange)
    waiting = sorted(exchanges, key=lambda exchange: exchange.delay_s)
    while selector.get_map() and time.monotonic() - started_at < for_s:
        now = time.monotonic() - started_at
        while waiting and waiting[0].delay_s <= now:
            send(waiting.pop(0), selector)
        next_s = waiting[0].delay_s - now if waiting else 0.05
        for key, _ in selector.select(max(0, min(next_s, 0.05))):
            receive(key.data, selector)
    for key in list(selector.get_map().values()):
        finish(key.data, selector)


def send(exchange, selector):
    if exchange.ended_at is not None:
        exchange.refused_to_send = True
        return
    try:
        data = encode(
            exchange.method, exchange.path, exchange.body, headers=exchange.headers
        )
        exchange.sock.sendall(data)
        exchange.sent_at = time.monotonic()
    except OSError:
        exchange.refused_to_send = True
        finish(exchange, selector)


def receive(exchange, selector):
    try:
        data = exchange.sock.recv(65536)
    except OSError:
        data = b""
    exchange.received += data
    if not data:
        finish(exchange, selector)


def finish(exchange, selector):
    exchange.ended_at = time.monotonic()
    selector.unregister(exchange.sock)
    exchange.sock.close()


def make_job(seconds=0.1):
    step = {"Count": 1, "Cpu": 100, "MemMb": 16, "EstRuntimeMs": int(seconds * 1000)}
    return json.dumps({"Spec": "x", "Steps": [step]}).encode()

"""Clients that use open HTTP connections, each at its own time, without threads."""

import contextlib
import json
import selectors
import socket
import time

from attrs import define, field

#: Receive buffer of a client that reads late.
SMALL_BUFFER_BYTES = 4096


@define(eq=False)
class Exchange:
    """A request on a connection, maybe with others right behind it.

    :param delay_s: When it is sent, after the start of the play.
    :param further: Method, path and body of requests sent in the same moment.
    :param held_back: Number of its last bytes that are sent at ``rest_s``, or never.
    :param read_s: When the client begins to read.
    :param port: Port to connect to just before the request is sent; 0 if the
        connection is open.
    :param is_hasty: Whether the client closes the connection once it has its answer.
    :param started_at: When the play began.
    :param sent_at: When its last byte was sent; ``None`` if it could not be sent.
    """

    delay_s: float
    method: str
    path: str
    body: bytes = b""
    further: list = field(factory=list)
    held_back: int = 0
    rest_s: float = None
    read_s: float = 0
    port: int = 0
    is_hasty: bool = False
    headers: str = ""
    sock: socket.socket = None
    started_at: float = None
    sent_at: float = None
    answered_at: float = None
    ended_at: float = None
    received: bytes = b""
    refused_to_send: bool = False

    @property
    def is_answered(self):
        """Whether all requests are, up to one whose answer announces the close."""
        answers = self.answers()
        if any(is_last for _, is_last in answers):
            return True
        return len(answers) == 1 + len(self.further)

    @property
    def status(self):
        return int(self.received.split(b" ")[1]) if self.received else None

    @property
    def sent_after_s(self):
        """When its last byte was sent, after the start of the play."""
        return self.sent_at - self.started_at if self.sent_at else float("inf")

    @property
    def age_s(self):
        """Time from the last byte of the request to the end of the connection."""
        return self.ended_at - self.sent_at

    @property
    def wait_s(self):
        """Time from the last byte of the request to the end of its answer."""
        return self.answered_at - self.sent_at

    def answers(self):
        """Return the status of each whole answer, and whether it is the last one."""
        answers, rest = [], self.received
        while answer := split_answer(rest):
            head, rest = answer
            is_last = b"\r\nconnection: close" in head.lower()
            answers.append((int(head.split(b" ")[1]), is_last))
        return answers

    def requests(self):
        """Return method, path and status of each request; ``None`` if unanswered."""
        sent = [(self.method, self.path), *(row[:2] for row in self.further)]
        statuses = [status for status, _ in self.answers()]
        statuses += [None] * len(sent)
        return [(*row, status) for row, status in zip(sent, statuses, strict=False)]

    def encode(self):
        data = encode(self.method, self.path, self.body, headers=self.headers)
        return data + b"".join(encode(*request) for request in self.further)


def split_answer(data):
    """Return the head of the first answer and what follows; ``None`` if not whole."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
            return (head, body[length:]) if len(body) >= length else None
    _, separator, rest = body.partition(b"0\r\n\r\n")
    return (head, rest) if separator and b"chunked" in head.lower() else None


def encode(method, path, body=b"", host="mill.example", headers=""):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}"
    if body:
        head += "Content-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def connect(port, exchanges, first_path):
    """Open a connection for each exchange, with one earlier answer on it."""
    for exchange in exchanges:
        if exchange.port:
            continue
        exchange.sock = open_socket(port, exchange)
        exchange.sock.settimeout(5)
        exchange.sock.sendall(encode("GET", first_path, headers=exchange.headers))
        earlier = Exchange(0, "GET", first_path)
        while not earlier.is_answered:
            earlier.received += exchange.sock.recv(65536)
        exchange.sock.setblocking(False)


def open_socket(port, exchange):
    sock = socket.socket()
    if exchange.read_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.connect(("127.0.0.1", port))
    return sock


def play(exchanges, for_s, actions=()):
    """Send each request at its time, and read until all connections are closed.

    :param for_s: Time after which connections that are still open are given up.
    :param actions: Functions to call, each with its time before it.
    """
    started_at = time.monotonic()
    selector = selectors.DefaultSelector()
    waiting = list(actions)
    for exchange in exchanges:
        exchange.started_at = started_at
        if exchange.sock is not None and not exchange.read_s:
            selector.register(exchange.sock, selectors.EVENT_READ, exchange)
        waiting += plan_exchange(exchange, selector)
    waiting.sort(key=lambda row: row[0])
    while time.monotonic() - started_at < for_s:
        if not selector.get_map() and not waiting:
            break
        now = time.monotonic() - started_at
        while waiting and waiting[0][0] <= now:
            waiting.pop(0)[1]()
        next_s = waiting[0][0] - now if waiting else 0.05
        for key, _ in selector.select(max(0, min(next_s, 0.05))):
            receive(key.data, selector)
    for exchange in exchanges:
        if exchange.sock is not None:
            finish(exchange, selector)


def plan_exchange(exchange, selector):
    steps = [(exchange.delay_s, lambda: send(exchange, selector))]
    if exchange.rest_s is not None:
        steps.append((exchange.rest_s, lambda: send_rest(exchange, selector)))
    if exchange.read_s:
        steps.append((exchange.read_s, lambda: start_reading(exchange, selector)))
    return steps


def start_reading(exchange, selector):
    if exchange.sock is not None:
        selector.register(exchange.sock, selectors.EVENT_READ, exchange)


def send(exchange, selector):
    if exchange.ended_at is not None:
        exchange.refused_to_send = True
        return
    try:
        if exchange.port:
            exchange.sock = open_socket(exchange.port, exchange)
            exchange.sock.setblocking(False)
            if not exchange.read_s:
                selector.register(exchange.sock, selectors.EVENT_READ, exchange)
        data = exchange.encode()
        exchange.sock.sendall(data[: len(data) - exchange.held_back])
        if not exchange.held_back:
            exchange.sent_at = time.monotonic()
    except OSError:
        exchange.refused_to_send = True
        if exchange.sock is not None:
            finish(exchange, selector)


def send_rest(exchange, selector):
    if exchange.ended_at is not None:
        exchange.refused_to_send = True
        return
    try:
        exchange.sock.sendall(exchange.encode()[-exchange.held_back :])
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
    if exchange.answered_at is None and data and exchange.is_answered:
        exchange.answered_at = time.monotonic()
    if not data or (exchange.is_hasty and exchange.answered_at is not None):
        finish(exchange, selector)


def finish(exchange, selector):
    exchange.ended_at = time.monotonic()
    with contextlib.suppress(KeyError):
        selector.unregister(exchange.sock)
    exchange.sock.close()
    exchange.sock = None


def make_job(seconds=0.1, payload="x"):
    step = {"Count": 1, "Cpu": 100, "MemMb": 16, "EstRuntimeMs": int(seconds * 1000)}
    return json.dumps({"Spec": payload, "Steps": [step]}).encode()

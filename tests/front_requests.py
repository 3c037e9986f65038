"""Clients' requests to the entries of a simulated cluster, over HTTP in memory."""

import datetime as dt
import json

from attrs import frozen
from twisted.internet.testing import StringTransport
from twisted.web.server import Site

from fighead.fronts.job import JobFront
from fighead.platform.daemon import make_codec
from job_cluster import QUEUES, STEP_S

HOST = QUEUES[1].host
PREFIX = QUEUES[1].prefix


@frozen
class Answer:
    """An entry's answer, ``took_s`` after the request was sent."""

    status: int
    headers: dict
    body: dict
    took_s: float


class Transport(StringTransport):
    """A connection in memory, which the entry closes after its answer."""

    def setTcpNoDelay(self, _):  # noqa: N802
        pass


def send_request(cluster, entry, method, path, deadline_ms=None, body=None):
    """Send a request on a new connection; return a function that gives its answer.

    The function returns ``None`` until the answer has arrived.
    """
    front = JobFront(cluster.entries[entry].entry.front_context, make_codec())
    site = Site(front.app.resource(), timeout=None, reactor=cluster.reactor)
    transport, protocol = Transport(), site.buildProtocol(None)
    protocol.makeConnection(transport)
    started_at = cluster.clock.now()
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.0",
        f"Host: {HOST}",
        f"Content-Length: {len(data)}",
        *([f"Fighead-Deadline-Ms: {deadline_ms}"] if deadline_ms else []),
    ]
    protocol.dataReceived("\r\n".join(lines).encode() + b"\r\n\r\n" + data)

    def read_answer():
        if not transport.disconnecting:
            return None
        head, _, content = transport.value().partition(b"\r\n\r\n")
        first, *rest = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in rest)
        took = cluster.clock.now() - started_at
        return Answer(
            int(first.split()[1]),
            headers,
            json.loads(content or b"{}"),
            took / dt.timedelta(seconds=1),
        )

    return read_answer


def request(cluster, entry, method, path, deadline_ms=None, body=None, limit_s=10):
    """Send a request and return its answer; ``None`` if there is none in time."""
    read_answer = send_request(cluster, entry, method, path, deadline_ms, body)
    for _ in range(round(limit_s / STEP_S)):
        if (answer := read_answer()) is not None:
            return answer
        cluster.advance(STEP_S)
    return read_answer()

"""Clients that open many connections to an entry and finish no request."""

import contextlib
import datetime as dt
import random
import typing as t

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol

from fighead.clock import Clock, sleep

from .fleet import CONFIG
from .model import Crowd

CONNECTIONS = 20
CONNECT_TIMEOUT_S = 1
#: Shortest body, and most bytes by which one stops short of its end. The longest is
#: the largest legal one.
MIN_BODY_BYTES = 100_000
MAX_MISSING_BYTES = 100
#: Bytes in a chunk: very small chunks cost an entry most for what they carry.
CHUNK_BYTES = (16, 4096, 65536)


async def hold_crowd(
    reactor: t.Any, clock: Clock, address: str, rng: random.Random, crowd: Crowd
) -> None:
    """Open the connections of a crowd to an entry, and close them at its end."""
    host, _, port = address.partition(":")
    endpoint = TCP4ClientEndpoint(reactor, host, int(port), CONNECT_TIMEOUT_S)
    members: list[Protocol] = []
    for part in [draw_part(rng) for _ in range(CONNECTIONS)]:
        # The entry may be down.
        with contextlib.suppress(ConnectError):
            members.append(await connectProtocol(endpoint, Protocol()))
            members[-1].transport.write(part)
    await sleep(clock, dt.timedelta(seconds=crowd.for_s))
    for member in members:
        member.transport.abortConnection()


def draw_part(rng: random.Random) -> bytes:
    """Return the part of a submission that a client of a crowd sends; may be empty."""
    shape = rng.choice(("whole", "chunked", "idle"))
    length = rng.randint(MIN_BODY_BYTES, CONFIG["Limits"]["MaxBodyBytes"])
    body = b" " * (length - rng.randint(1, MAX_MISSING_BYTES))
    size = rng.choice(CHUNK_BYTES)
    head = b"POST /plans/%016x HTTP/1.1\r\nHost: crowd\r\n" % rng.getrandbits(64)
    if shape == "idle":
        return b""
    if shape == "whole":
        return head + b"Content-Length: %d\r\n\r\n" % length + body
    parts = (body[at : at + size] for at in range(0, len(body), size))
    chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(chunks)

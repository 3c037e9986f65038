"""Decides which clients' connections are closed when requests take too much.

The load that this is built for: clients that open many connections, send large or
endless requests and finish none. Requests that are being served are never given up for
them, so ordinary callers, who send all of a request at once, go on being served.
"""

import datetime as dt
import enum
import typing as t

from attrs import define, frozen

#: What a parsed header takes beside its bytes, in bytes.
HEADER_BYTES = 200
#: What an argument of a query, or a part of a path, takes beside its bytes, in bytes.
ARGUMENT_BYTES = 250
#: Memory that decoding a body takes, as a multiple of its bytes: its text, and numbers,
#: strings and names that are shorter than their objects.
DECODING_FACTOR = 16
#: The same of a decoded body while it is served: as text, in the record that is stored,
#: and in the call that stores it.
SERVING_FACTOR = 6
#: Memory of one stage of a job, in bytes, beside that of its text.
STAGE_BYTES = 400
#: What a connection takes beside the bytes of its request, in bytes: its objects, and
#: the buffers of its socket that the process pays for.
CONNECTION_BYTES = 16 * 1024
#: Share of a process's memory that requests in progress may take. An entry takes 70 to
#: 90 MB by itself, on machines of 200 MB and more.
MEMORY_SHARE = 1 / 8
#: The same in bytes if the memory is not known.
DEFAULT_BYTES = 25 * 1024 * 1024
#: Descriptors that the machines reserve for files.
FILE_DESCRIPTORS = 200
#: Share of the other descriptors that clients' connections may take. The leader needs
#: up to eight for each instance, beside the store's and the peers'.
DESCRIPTOR_SHARE = 1 / 4
#: The same as a number if the descriptors are not known.
DEFAULT_CONNECTIONS = 900
#: Refused connections whose clients still send, as a share of the open ones.
DROPPING_SHARE = 1 / 4
#: Share of the connections that the balancer's port has, and the most that it needs:
#: the balancer asks once a second.
READINESS_SHARE = 1 / 8
MAX_READINESS_CONNECTIONS = 32
READINESS_BYTES = 1024 * 1024
#: Share of the connections that the port for other entries has.
PEER_SHARE = 1 / 4
#: Least that any settings leave: enough for a balancer and a few clients.
MIN_CONNECTIONS = 16
MIN_BYTES = 1024 * 1024
#: Time in which the head of a request has to arrive.
HEAD_TIME = dt.timedelta(seconds=10)
#: Time without a byte after which an unfinished body is given up.
STALL_TIME = dt.timedelta(seconds=10)
#: Time in which a request has to arrive whole. The largest legal one takes 1 s on the
#: slowest link of 2 Mbit/s.
RECEIVE_TIME = dt.timedelta(seconds=30)
#: Bytes from the network for one byte of a body, and for its head, above which a
#: request is refused: tiny chunks with long extensions cost more than they carry.
MAX_FRAMING_FACTOR = 8
MAX_FRAMING_BYTES = 64 * 1024


class Reason(enum.Enum):
    """Why a connection is closed or a request refused."""

    #: A body, with its framing, exceeds the limit.
    BODY_SIZE = "body_size"
    #: Requests in progress take more than their share of the memory.
    MEMORY = "memory"
    #: There are as many connections as may be open.
    CONNECTIONS = "connections"
    #: A request did not arrive in time.
    SLOW = "slow"


class Phase(enum.IntEnum):
    """What a connection is doing; those that are closed first come first."""

    IDLE = 0
    #: Its client has not read the answers to its requests yet.
    UNREAD = 1
    RECEIVING = 2
    SERVED = 3


@frozen
class IntakeLimits:
    """What clients' connections may take of a process in all.

    :param total_bytes: Bytes of all connections, as :attr:`ConnectionUse.bytes_held`
        counts them.
    :param connections: Number of open connections.
    """

    total_bytes: int = DEFAULT_BYTES
    connections: int = DEFAULT_CONNECTIONS


@define(eq=False)
class ConnectionUse:
    """What one connection takes.

    :param opened_at: When it was opened, or last had a whole request.
    :param progressed_at: When its client last sent something.
    :param request_bytes: Bytes that are kept of its requests and answers.
    :param has_head: Whether the head of the request that arrives is complete.
    """

    opened_at: dt.datetime
    progressed_at: dt.datetime
    phase: Phase = Phase.IDLE
    request_bytes: int = 0
    has_head: bool = False

    @property
    def bytes_held(self) -> int:
        """Memory that the connection takes."""
        return CONNECTION_BYTES + self.request_bytes


def derive_limits(memory_bytes: int | None, descriptors: int | None) -> IntakeLimits:
    """Return the limits for what a process is told of its machine.

    >>> derive_limits(200 * 2**20, 4100).connections
    800
    """
    total_bytes, connections = DEFAULT_BYTES, DEFAULT_CONNECTIONS
    if memory_bytes is not None:
        total_bytes = int(memory_bytes * MEMORY_SHARE)
    if descriptors is not None:
        connections = int((descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE)
    total_bytes = max(total_bytes, MIN_BYTES)
    # Idle connections leave half of the memory to requests.
    connections = min(connections, total_bytes // (2 * CONNECTION_BYTES))
    return IntakeLimits(total_bytes, max(connections, MIN_CONNECTIONS))


@frozen
class PortLimits:
    """What the connections of each kind of port may take of a process.

    :param clients: Of the ports of clients, metrics and operators together.
    :param readiness: Of the port of the balancer, which is answered whatever they do.
    :param peer_connections: Number of connections to the port for other entries.
    """

    clients: IntakeLimits
    readiness: IntakeLimits
    peer_connections: int


def share_among_ports(total: IntakeLimits) -> PortLimits:
    """Divide what all connections of a process may take among its ports.

    Refused connections whose clients still send are part of the numbers.

    >>> share_among_ports(IntakeLimits(25 * 2**20, 800)).clients.connections
    448
    """
    readiness = min(int(total.connections * READINESS_SHARE), MAX_READINESS_CONNECTIONS)
    peers = int(total.connections * PEER_SHARE)
    open_share = 1 / (1 + DROPPING_SHARE)
    readiness_bytes = min(READINESS_BYTES, int(total.total_bytes * READINESS_SHARE))
    return PortLimits(
        IntakeLimits(
            total.total_bytes - readiness_bytes,
            int((total.connections - readiness - peers) * open_share),
        ),
        IntakeLimits(readiness_bytes, max(1, int(readiness * open_share))),
        peers,
    )


def choose_to_close(
    uses: t.Collection[ConnectionUse],
    total_bytes: int,
    limits: IntakeLimits,
    now: dt.datetime,
    latest: ConnectionUse | None = None,
) -> list[tuple[ConnectionUse, Reason]]:
    """Return the connections to close, so that the others keep to the limits.

    For want of connections, those go first that have been idle longest, and for want of
    memory those that hold most for longest. A request that is being served is kept, so
    that less may be returned than is over the limits.

    :param total_bytes: Sum of what the connections hold.
    :param latest: The one that was opened last, which is kept for want of connections.
    """
    chosen: dict[int, tuple[ConnectionUse, Reason]] = {}
    excess = total_bytes - limits.total_bytes
    if excess > 0:
        closable = [use for use in uses if use.phase in (Phase.UNREAD, Phase.RECEIVING)]
        closable.sort(key=lambda use: _weigh(use, now), reverse=True)
        for use in closable:
            if excess <= 0:
                break
            chosen[id(use)] = use, Reason.MEMORY
            excess -= use.bytes_held
    surplus = len(uses) - len(chosen) - limits.connections
    if surplus > 0:
        left = [
            use
            for use in uses
            if id(use) not in chosen
            and use is not latest
            and use.phase is not Phase.SERVED
        ]
        left.sort(key=lambda use: (use.phase, use.progressed_at))
        for use in left[:surplus]:
            chosen[id(use)] = use, Reason.CONNECTIONS
    return list(chosen.values())


def _weigh(use: ConnectionUse, now: dt.datetime) -> float:
    return use.bytes_held * (1 + (now - use.opened_at).total_seconds())


def find_slow(
    uses: t.Iterable[ConnectionUse], now: dt.datetime
) -> list[tuple[ConnectionUse, Reason]]:
    """Return the connections whose request has not arrived in time."""
    return [(use, Reason.SLOW) for use in uses if _is_slow(use, now)]


def _is_slow(use: ConnectionUse, now: dt.datetime) -> bool:
    if use.phase is not Phase.RECEIVING:
        return False
    age = now - use.opened_at
    if not use.has_head:
        return age > HEAD_TIME
    return age > RECEIVE_TIME or now - use.progressed_at > STALL_TIME


def estimate_head(head_bytes: int, headers: int, target: bytes) -> int:
    """Return the memory in bytes that the head of a request takes once it is parsed.

    :param target: Its path and query.

    >>> estimate_head(100, 2, b"/plans/1?a&b") - 100 - 2 * HEADER_BYTES
    1000
    """
    separators = len(target) - len(target.translate(None, b"/&;"))
    arguments = separators + target.count(b"?")
    return head_bytes + HEADER_BYTES * headers + ARGUMENT_BYTES * arguments


def estimate_decoding(body_bytes: int) -> int:
    """Return the most memory in bytes that decoding a body takes."""
    return DECODING_FACTOR * body_bytes


def estimate_serving(body_bytes: int, stages: int = 0) -> int:
    """Return the memory in bytes that a decoded body takes while it is served.

    :param stages: Number of stages of the job.
    """
    return SERVING_FACTOR * body_bytes + STAGE_BYTES * stages


def exceeds_limit(body_bytes: int, received_bytes: int, max_body_bytes: int) -> bool:
    """Whether a body is refused while it arrives.

    Up to twice the limit it is read, so that the front can answer in its own encoding.

    :param received_bytes: Bytes from the network for its request so far.
    """
    framing = MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * min(body_bytes, max_body_bytes)
    return body_bytes > 2 * max_body_bytes or received_bytes > body_bytes + framing

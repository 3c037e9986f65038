"""The queue of checks that wait for a slot of one instance.

Callers share slots fairly by start-time fair queueing: each check carries a
tag that grows with the caller's own demand, and the lowest tag goes first. A
caller that floods the queue so waits behind its own checks.
"""

import bisect
import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

from ..message import CheckRequest


@frozen
class Ticket:
    """A waiting check with its tag in the fair order."""

    tag: float
    request: CheckRequest


@frozen
class CheckQueue:
    """Waiting checks in the order in which they start.

    :param virtual_time: Tag of the last check that started.
    :param last_tags: Tag of the last check of each caller.
    """

    tickets: tuple[Ticket, ...] = ()
    virtual_time: float = 0.0
    last_tags: PMap = pmap()

    def __len__(self) -> int:
        return len(self.tickets)


@frozen
class Popped:
    """The check to start next, if any, and those that are too late to start."""

    queue: CheckQueue
    request: CheckRequest | None = None
    expired: tuple[CheckRequest, ...] = ()


def position_of(queue: CheckQueue, caller: str) -> int:
    """Return how many checks would start before a new one of ``caller``."""
    tag = _tag(queue, caller, 1.0)
    return bisect.bisect_right(queue.tickets, tag, key=lambda ticket: ticket.tag)


def push(queue: CheckQueue, request: CheckRequest, weight: float) -> CheckQueue:
    """Add a check; ``weight`` is the fair share of its caller."""
    tag = _tag(queue, request.caller, weight)
    ticket = Ticket(tag, request)
    index = bisect.bisect_right(queue.tickets, tag, key=lambda other: other.tag)
    tickets = (*queue.tickets[:index], ticket, *queue.tickets[index:])
    return evolve(
        queue,
        tickets=tickets,
        last_tags=queue.last_tags.set(request.caller, tag),
    )


def pop(queue: CheckQueue, now: dt.datetime, service: dt.timedelta) -> Popped:
    """Take the next check that can still be answered before its deadline."""
    expired: list[CheckRequest] = []
    for index, ticket in enumerate(queue.tickets):
        if now + service > ticket.request.deadline:
            expired.append(ticket.request)
            continue
        rest = evolve(
            queue,
            tickets=queue.tickets[index + 1 :],
            virtual_time=max(queue.virtual_time, ticket.tag),
        )
        return Popped(_forget_idle(rest), ticket.request, tuple(expired))
    emptied = evolve(queue, tickets=(), last_tags=pmap())
    return Popped(emptied, None, tuple(expired))


def _tag(queue: CheckQueue, caller: str, weight: float) -> float:
    last = queue.last_tags.get(caller, queue.virtual_time)
    return max(queue.virtual_time, last) + 1.0 / weight


def _forget_idle(queue: CheckQueue) -> CheckQueue:
    # A caller without waiting checks starts anew at the virtual time.
    if queue.tickets:
        return queue
    return evolve(queue, last_tags=pmap())


def drain(queue: CheckQueue) -> t.Iterator[CheckRequest]:
    """Yield every waiting check."""
    return (ticket.request for ticket in queue.tickets)

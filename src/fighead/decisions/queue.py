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
class QueuedCheck:
    """A waiting check with its tag in the fair order."""

    tag: float
    request: CheckRequest


@frozen
class CheckQueue:
    """Waiting checks in the order in which they start.

    :param virtual_time: Tag of the last check that started.
    :param last_tags: Tag of the last check of each caller.
    """

    checks: tuple[QueuedCheck, ...] = ()
    virtual_time: float = 0.0
    last_tags: PMap = pmap()

    def __len__(self) -> int:
        return len(self.checks)


@frozen
class PopResult:
    """The check to start next, if any, and those that are too late to start."""

    queue: CheckQueue
    request: CheckRequest | None = None
    expired: tuple[CheckRequest, ...] = ()


def position_of(queue: CheckQueue, caller: str) -> int:
    """Return how many checks would start before a new one of ``caller``."""
    tag = _next_tag(queue, caller, 1.0)
    return bisect.bisect_right(queue.checks, tag, key=lambda check: check.tag)


def push(queue: CheckQueue, request: CheckRequest, weight: float) -> CheckQueue:
    """Add a check; ``weight`` is the fair share of its caller."""
    tag = _next_tag(queue, request.caller, weight)
    check = QueuedCheck(tag, request)
    index = bisect.bisect_right(queue.checks, tag, key=lambda other: other.tag)
    checks = (*queue.checks[:index], check, *queue.checks[index:])
    return evolve(
        queue,
        checks=checks,
        last_tags=queue.last_tags.set(request.caller, tag),
    )


def pop(queue: CheckQueue, now: dt.datetime, service: dt.timedelta) -> PopResult:
    """Take the next check that can still be answered before its deadline."""
    expired: list[CheckRequest] = []
    for index, check in enumerate(queue.checks):
        if now + service > check.request.deadline:
            expired.append(check.request)
            continue
        rest = evolve(
            queue,
            checks=queue.checks[index + 1 :],
            virtual_time=max(queue.virtual_time, check.tag),
        )
        return PopResult(_reset_idle(rest), check.request, tuple(expired))
    emptied = evolve(queue, checks=(), last_tags=pmap())
    return PopResult(emptied, None, tuple(expired))


def _next_tag(queue: CheckQueue, caller: str, weight: float) -> float:
    last = queue.last_tags.get(caller, queue.virtual_time)
    return max(queue.virtual_time, last) + 1.0 / weight


def _reset_idle(queue: CheckQueue) -> CheckQueue:
    # A caller without waiting checks starts anew at the virtual time.
    if queue.checks:
        return queue
    return evolve(queue, last_tags=pmap())


def drain(queue: CheckQueue) -> t.Iterator[CheckRequest]:
    """Yield every waiting check."""
    return (check.request for check in queue.checks)

"""Fair queue of the checks that wait for a slot of one instance.

Callers share slots by weighted fair queueing on virtual time: each check gets a tag
that grows with the demand of its own caller, and the check with the lowest tag starts
first. A caller that floods the queue therefore only delays its own checks.
"""

import bisect
import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

from ..message import CheckRequest


@frozen
class QueuedCheck:
    """A waiting check and its tag, the virtual time that orders the queue."""

    tag: float
    request: CheckRequest


@frozen
class CheckQueue:
    """The waiting checks, in ascending order of their tags.

    :param virtual_time: Tag of the last check that started.
    :param last_tags: Tag of the most recently added check of each caller.
    """

    checks: tuple[QueuedCheck, ...] = ()
    virtual_time: float = 0.0
    last_tags: PMap = pmap()

    def __len__(self) -> int:
        return len(self.checks)


@frozen
class PopResult:
    """The result of :func:`pop`.

    :param queue: The queue without the checks below.
    :param request: The check to start, if any.
    :param expired: Checks that can no longer finish before their deadline.
    """

    queue: CheckQueue
    request: CheckRequest | None = None
    expired: tuple[CheckRequest, ...] = ()


def insert_position(queue: CheckQueue, caller: str) -> int:
    """Return how many checks are ahead of a new one from ``caller`` of weight 1."""
    tag = _next_tag(queue, caller, 1.0)
    return bisect.bisect_right(queue.checks, tag, key=lambda check: check.tag)


def push(queue: CheckQueue, request: CheckRequest, weight: float) -> CheckQueue:
    """Add a check; ``weight`` is the relative share of slots of its caller."""
    tag = _next_tag(queue, request.caller, weight)
    check = QueuedCheck(tag, request)
    index = bisect.bisect_right(queue.checks, tag, key=lambda other: other.tag)
    checks = (*queue.checks[:index], check, *queue.checks[index:])
    return evolve(
        queue,
        checks=checks,
        last_tags=queue.last_tags.set(request.caller, tag),
    )


def pop(queue: CheckQueue, now: dt.datetime, service_time: dt.timedelta) -> PopResult:
    """Remove the next check that can still finish before its deadline.

    Checks ahead of it whose deadline is too near are removed as well.

    :param service_time: Expected duration of a check.
    """
    expired: list[CheckRequest] = []
    for index, check in enumerate(queue.checks):
        if now + service_time > check.request.deadline:
            expired.append(check.request)
            continue
        rest = evolve(
            queue,
            checks=queue.checks[index + 1 :],
            virtual_time=max(queue.virtual_time, check.tag),
        )
        return PopResult(_reset_tags_if_empty(rest), check.request, tuple(expired))
    emptied = evolve(queue, checks=(), last_tags=pmap())
    return PopResult(emptied, None, tuple(expired))


def _next_tag(queue: CheckQueue, caller: str, weight: float) -> float:
    last = queue.last_tags.get(caller, queue.virtual_time)
    return max(queue.virtual_time, last) + 1.0 / weight


def _reset_tags_if_empty(queue: CheckQueue) -> CheckQueue:
    # With an empty queue, every caller restarts at the current virtual time.
    if queue.checks:
        return queue
    return evolve(queue, last_tags=pmap())


def waiting_requests(queue: CheckQueue) -> t.Iterator[CheckRequest]:
    """Iterate over the requests of all waiting checks; the queue keeps them."""
    return (check.request for check in queue.checks)

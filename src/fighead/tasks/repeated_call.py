"""Calls that are repeated beside an attempt whose answer is overdue."""

import datetime as dt
import math
import typing as t

from attrs import define
from twisted.internet.defer import CancelledError, Deferred

from ..clock import Clock
from ..exceptions import WorkerError, WorkerNotReachedError, WorkerUnreachableError
from ..mailbox import spawn

T = t.TypeVar("T")

#: Delay of the next attempt once all before it have failed.
RETRY_PAUSE = dt.timedelta(milliseconds=150)


@define(eq=False)
class RepeatBudget:
    """The repeated calls of all tasks of an entry.

    :param find_limit: Returns the number that the entry can carry.
    :param under_way: Number of those that have neither been answered nor failed.
    """

    find_limit: t.Callable[[], float] = lambda: math.inf
    under_way: int = 0

    @property
    def has_room(self) -> bool:
        """Whether one more call may be repeated."""
        return self.under_way < self.find_limit()


async def call_repeatedly(
    clock: Clock,
    attempt: t.Callable[[], t.Awaitable[T]],
    delays: t.Sequence[dt.timedelta],
    may_repeat: t.Callable[[], bool],
) -> T:
    """Return the first answer to a call that may be carried out more than once.

    Attempts still under way then run on, and their results are ignored, since a
    cancellation would close their connections.

    :param delays: When the call is repeated, from the first attempt, while none is
        answered. The next one is sent sooner if all before it have failed.
    :param may_repeat: Whether an attempt that is due may be made.
    :raises WorkerError: If an attempt was refused or not sent, or if all have failed.
    """
    answer: Deferred[T] = Deferred()
    running: list[Deferred[None]] = []
    timers: list[t.Any] = []
    failures: list[WorkerError] = []
    sent_count = 0

    async def run() -> None:
        try:
            result = await attempt()
        except WorkerUnreachableError as exc:
            failures.append(exc)
            follow_failure()
        except WorkerError as exc:
            if not answer.called:
                answer.errback(exc)
        else:
            if not answer.called:
                answer.callback(result)

    def repeat() -> None:
        # A process that was paused may still get the call of a cancelled timer.
        if answer.called or not timers:
            return
        del timers[0]
        if may_repeat():
            start()
        else:
            follow_failure()

    def start() -> None:
        nonlocal sent_count
        sent_count += 1
        running.append(spawn(run()))

    def follow_failure() -> None:
        """Repeat the call soon, or fail, if no attempt is under way."""
        if answer.called or len(failures) < sent_count:
            return
        if not timers or isinstance(failures[-1], WorkerNotReachedError):
            answer.errback(failures[-1])
            return
        if timers[0].active():
            timers[0].cancel()
        timers[0] = clock.call_later(RETRY_PAUSE, repeat)

    timers += [clock.call_later(delay, repeat) for delay in delays]
    start()
    try:
        return await answer
    except CancelledError:
        for deferred in running:
            deferred.cancel()
        raise
    finally:
        for timer in timers:
            if timer.active():
                timer.cancel()
        timers.clear()

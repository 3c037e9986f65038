"""Time as an argument: the clock interface and the clock of a daemon."""

import datetime as dt
import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime


class Clock(t.Protocol):
    """Tells the time and schedules calls.

    .. versionadded:: 0.1
    """

    def now(self) -> dt.datetime:
        """Return the present time, which never goes back in one process."""
        ...

    def call_later(self, delay: dt.timedelta, fn: t.Callable[[], None]) -> IDelayedCall:
        """Schedule ``fn`` after ``delay``."""
        ...


class ReactorClock:
    """A :class:`Clock` over a Twisted reactor or a test's ``task.Clock``.

    The wall clock is read once; from then on time follows the reactor's
    monotonic clock, so a step of the wall clock can't move a deadline.

    :param reactor: Source of monotonic seconds and delayed calls.
    :param started_at: Wall-clock time that corresponds to the moment of
        construction.

    .. versionadded:: 0.1
    """

    def __init__(self, reactor: IReactorTime, started_at: dt.datetime) -> None:
        self._reactor = reactor
        self._started_at = started_at
        self._origin_s = reactor.seconds()

    def now(self) -> dt.datetime:
        """Return the present time in UTC."""
        elapsed_s = self._reactor.seconds() - self._origin_s
        return self._started_at + dt.timedelta(seconds=elapsed_s)

    def call_later(self, delay: dt.timedelta, fn: t.Callable[[], None]) -> IDelayedCall:
        """Schedule ``fn`` on the reactor."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), fn)


def sleep(clock: Clock, delay: dt.timedelta) -> Deferred[None]:
    """Return a deferred that fires after ``delay``; cancelling stops the timer."""
    call: IDelayedCall

    def cancel(_: Deferred[None]) -> None:
        if call.active():
            call.cancel()

    fut: Deferred[None] = Deferred(cancel)
    call = clock.call_later(delay, lambda: fut.callback(None))
    return fut


def with_timeout(clock: Clock, fut: Deferred, timeout: dt.timedelta) -> Deferred:
    """Cancel ``fut`` with :exc:`TimeoutError` unless it fires within ``timeout``."""
    expired = False

    def expire() -> None:
        nonlocal expired
        expired = True
        fut.cancel()

    call = clock.call_later(timeout, expire)

    def finish(result: t.Any) -> t.Any:
        if call.active():
            call.cancel()
        if expired:
            raise TimeoutError(f"No result within {timeout.total_seconds():g} s.")
        return result

    return fut.addBoth(finish)

"""The clock interface, its implementation over a Twisted reactor, and timers.

Code that depends on time is given a clock, so that tests can control it.
"""

import datetime as dt
import time
import typing as t

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

#: Clock of all durations. ``CLOCK_BOOTTIME`` goes on while the machine is suspended, as
#: do leases elsewhere; systems without it have the monotonic clock.
STEADY_CLOCK_ID: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_steady_s() -> float:
    """Return the seconds of the steady clock, which steps of the time of day leave."""
    return time.clock_gettime(STEADY_CLOCK_ID)


def read_wall_time() -> dt.datetime:
    """Return the time of day in UTC, which may step ahead and back."""
    return dt.datetime.now(dt.UTC)


class Clock(t.Protocol):
    """Source of the current time and of delayed calls.

    Durations, deadlines and ages within a process are measured with :meth:`now`.

    .. versionadded:: 0.1
    """

    def now(self) -> dt.datetime:
        """Return the current time in UTC; it never decreases within a process."""
        ...

    def wall_now(self) -> dt.datetime:
        """Return the time of day in UTC, which may step.

        It is for due times, and for stamps that other processes read.
        """
        ...

    def call_later(self, delay: dt.timedelta, fn: t.Callable[[], None]) -> IDelayedCall:
        """Call ``fn`` once after ``delay``; the returned call can be cancelled."""
        ...


class ReactorClock:
    """A :class:`Clock` over a Twisted reactor or a test's ``task.Clock``.

    The time is ``started_at`` plus the time elapsed on the reactor's clock. The
    reactor of :mod:`.runtime` counts steady time, so a later step of the wall clock
    can't move a deadline.

    :param reactor: Source of seconds that never decrease, and of delayed calls.
    :param started_at: Wall-clock time in UTC at construction.
    :param read_wall_time: Returns the time of day; by default, it is that of
        :meth:`now`, as if it never stepped.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        reactor: IReactorTime,
        started_at: dt.datetime,
        read_wall_time: t.Callable[[], dt.datetime] | None = None,
    ) -> None:
        self._reactor = reactor
        self._started_at = started_at
        self._read_wall_time = read_wall_time or self.now
        self._origin_s = reactor.seconds()

    def now(self) -> dt.datetime:
        """Return the current time in UTC."""
        elapsed_s = self._reactor.seconds() - self._origin_s
        return self._started_at + dt.timedelta(seconds=elapsed_s)

    def wall_now(self) -> dt.datetime:
        """Return the time of day in UTC, which may step."""
        return self._read_wall_time()

    def call_later(self, delay: dt.timedelta, fn: t.Callable[[], None]) -> IDelayedCall:
        """Call ``fn`` from the reactor after ``delay``, at once if it is negative."""
        return self._reactor.callLater(max(0.0, delay.total_seconds()), fn)


def sleep(clock: Clock, delay: dt.timedelta) -> Deferred[None]:
    """Return a deferred that fires after ``delay``; cancelling it stops the timer."""
    call: IDelayedCall

    def cancel(_: Deferred[None]) -> None:
        if call.active():
            call.cancel()

    deferred: Deferred[None] = Deferred(cancel)
    call = clock.call_later(delay, lambda: deferred.callback(None))
    return deferred


def sleep_until_multiple(clock: Clock, interval: dt.timedelta) -> Deferred[None]:
    """Return a deferred that fires when the time of day is a multiple of ``interval``.

    With an interval of a minute, it fires at the next full minute. So processes that
    take turns at a periodic task, each for less than the interval, do it as often as
    one that stays.
    """
    epoch = dt.datetime.fromtimestamp(0, dt.UTC)
    return sleep(clock, interval - (clock.wall_now() - epoch) % interval)


class Timeout:
    """A time limit on a deferred, which can be restarted while it waits.

    Created with one second, applied to a deferred and restarted half a second later,
    it cancels the deferred one and a half seconds after the start.

    .. versionadded:: 0.1
    """

    def __init__(self, clock: Clock, duration: dt.timedelta) -> None:
        self._clock = clock
        self._duration = duration
        self._call: IDelayedCall | None = None
        self._is_expired = False

    def apply(self, deferred: Deferred) -> Deferred:
        """Return ``deferred``, cancelled when the time has passed.

        After a cancellation it fails with :exc:`TimeoutError`.
        """

        def expire() -> None:
            self._is_expired = True
            deferred.cancel()

        self._call = self._clock.call_later(self._duration, expire)
        return deferred.addBoth(self._finish)

    def restart(self, duration: dt.timedelta) -> None:
        """Let the time start again from now; does nothing after its end."""
        if self._call is not None and self._call.active():
            self._duration = duration
            self._call.reset(duration.total_seconds())

    def _finish(self, result: t.Any) -> t.Any:
        if self._call is not None and self._call.active():
            self._call.cancel()
        if self._is_expired:
            raise TimeoutError(
                f"No result within {self._duration.total_seconds():g} s."
            )
        return result


def with_timeout(clock: Clock, deferred: Deferred, timeout: dt.timedelta) -> Deferred:
    """Return ``deferred``, cancelled if it has not fired within ``timeout``.

    After a cancellation it fails with :exc:`TimeoutError`.
    """
    return Timeout(clock, timeout).apply(deferred)

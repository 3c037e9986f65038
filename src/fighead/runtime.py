"""The reactor of a daemon: its clock, its signals and its end."""

import datetime as dt
import signal
import typing as t

from twisted.internet import reactor as default_reactor

from .clock import ReactorClock

reactor: t.Any = default_reactor


def make_clock() -> ReactorClock:
    """Return the clock of a daemon."""
    return ReactorClock(reactor, dt.datetime.now(dt.UTC))


def run_until_stopped(
    stop: t.Callable[[], None], reload: t.Callable[[], None] | None = None
) -> None:
    """Run the reactor; SIGTERM and SIGINT call ``stop``, SIGHUP ``reload``."""

    def begin_stop(_signal: int, _frame: t.Any) -> None:
        reactor.callFromThread(stop)

    def begin_reload(_signal: int, _frame: t.Any) -> None:
        if reload is not None:
            reactor.callFromThread(reload)

    for number in (signal.SIGTERM, signal.SIGINT):
        reactor.callWhenRunning(signal.signal, number, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, begin_reload)
    reactor.run(installSignalHandlers=False)


def stop_reactor() -> None:
    """End the daemon once what is being written has left."""
    if reactor.running:
        reactor.callLater(0.2, reactor.stop)

"""The Twisted reactor of all programs: clock, signal handling and shutdown.

The reactor counts the time of day by default. Importing this module puts it on the
steady clock, which is possible only before a call is scheduled.
"""

import gc
import signal
import typing as t

from twisted.internet import reactor as default_reactor

from .clock import ReactorClock, read_steady_s, read_wall_time

reactor: t.Any = default_reactor
reactor.seconds = read_steady_s


#: Allocations between two collections of the youngest objects, and collections of one
#: generation between two of the next. Most objects die by their reference counts.
COLLECTION_THRESHOLDS = (10_000, 20, 20)


def make_collections_rare() -> None:
    """Let garbage collection pass over all objects that exist now, and run less often.

    On a small share of a core, a full collection of the objects of a program's modules
    takes about as long as the renewal of a lease may.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)


def make_clock() -> ReactorClock:
    """Return a clock over the reactor that starts at the system time."""
    return ReactorClock(reactor, read_wall_time(), read_wall_time)


def run_until_stopped(
    stop: t.Callable[[], None], reload: t.Callable[[], None] | None = None
) -> None:
    """Run the reactor until it is stopped.

    SIGTERM and SIGINT call ``stop``, and SIGHUP calls ``reload``, both in the
    reactor's thread. Without ``reload``, SIGHUP is ignored.
    """

    def handle_stop_signal(_signal: int, _frame: t.Any) -> None:
        reactor.callFromThread(stop)

    def handle_reload_signal(_signal: int, _frame: t.Any) -> None:
        if reload is not None:
            reactor.callFromThread(reload)

    for number in (signal.SIGTERM, signal.SIGINT):
        reactor.callWhenRunning(signal.signal, number, handle_stop_signal)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, handle_reload_signal)
    reactor.callWhenRunning(make_collections_rare)
    reactor.run(installSignalHandlers=False)


def end_reactor() -> None:
    """Stop the reactor; all responses have been sent."""
    if reactor.running:
        reactor.callLater(0, reactor.stop)


def stop_reactor() -> None:
    """Stop the reactor after 0.2 s, so that pending responses can be sent."""
    if reactor.running:
        reactor.callLater(0.2, reactor.stop)

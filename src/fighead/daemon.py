"""Thin daemons: one reactor, one service, a planned stop on SIGTERM."""

import datetime as dt
import signal
import typing as t

from twisted.internet import reactor as default_reactor
from twisted.web.server import Site

from .clock import ReactorClock
from .entry import Entry
from .log import configure
from .settings import EntrySettings, ListenAddress
from .standins.machine import Interference, Machine
from .standins.store import StoreStandIn
from .standins.worker import WorkerStandIn

reactor: t.Any = default_reactor


def make_clock() -> ReactorClock:
    """Return the clock of a daemon."""
    return ReactorClock(reactor, dt.datetime.now(dt.UTC))


def serve_entry(cfg: EntrySettings) -> None:
    """Run one entry until a planned stop."""
    configure(cfg.name)
    entry = Entry(cfg, make_clock(), reactor, _end)
    reactor.callWhenRunning(entry.start)
    _run(entry.stop)


def serve_store(address: ListenAddress, seed: int) -> None:
    """Run the stand-in for the key-value service."""
    configure("store")
    store = StoreStandIn(make_clock(), seed)
    store.start()
    _serve(address, store.app.resource())


def serve_worker(
    address: ListenAddress,
    name: str,
    slots: int,
    memory_bytes: int,
    interference: tuple[Interference, ...],
    guard: bool,
) -> None:
    """Run the stand-in for one instance."""
    configure(name)
    clock = make_clock()
    boot = f"{name}-{int(clock.now().timestamp() * 1000):x}"
    machine = Machine(clock, boot, slots, memory_bytes, interference, guard=guard)
    worker = WorkerStandIn(clock, name, machine)
    _serve(address, worker.app.resource())


def _serve(address: ListenAddress, resource: t.Any) -> None:
    reactor.listenTCP(address.port, Site(resource), interface=address.host)
    _run(_end)


def _run(stop: t.Callable[[], None]) -> None:
    def begin_stop(_signal: int, _frame: t.Any) -> None:
        reactor.callFromThread(stop)

    reactor.callWhenRunning(signal.signal, signal.SIGTERM, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, begin_stop)
    reactor.run(installSignalHandlers=False)


def _end() -> None:
    if reactor.running:
        reactor.callLater(0.2, reactor.stop)

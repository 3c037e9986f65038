"""Main functions of the daemons.

Each runs one service on the reactor until SIGTERM or SIGINT stops it.
"""

import typing as t

from twisted.web.server import Site

from .entry import Entry
from .log import configure_logging
from .runtime import end_reactor, make_clock, reactor, run_until_stopped, stop_reactor
from .settings import EntrySettings, ListenAddress
from .standins.simulated_instance import Interference, SimulatedInstance
from .standins.store import StoreStandIn
from .standins.worker import WorkerStandIn


def serve_entry(cfg: EntrySettings) -> None:
    """Run one entry until a signal or an operator begins its planned stop."""
    configure_logging(cfg.name)
    entry = Entry(cfg, make_clock(), reactor, end_reactor)
    reactor.callWhenRunning(entry.start)
    run_until_stopped(entry.stop)


def serve_store(address: ListenAddress, seed: int) -> None:
    """Run the stand-in for the key-value service until a signal stops it.

    :param seed: Seed of the random choice of lost answers.
    """
    configure_logging("store")
    store = StoreStandIn(make_clock(), seed)
    store.start()
    _serve_http(address, store.app.resource())


def serve_worker(
    address: ListenAddress,
    name: str,
    slots: int,
    memory_bytes: int,
    interference: tuple[Interference, ...],
    guard: bool,
) -> None:
    """Run the stand-in for one instance until a signal stops it.

    :param slots: Number of tasks that it runs at once.
    :param memory_bytes: Memory for tasks.
    :param interference: Slowdowns between the kinds of tasks.
    :param guard: Whether orders with a stale epoch, duplicate tasks and tasks that
        do not fit are refused.
    """
    configure_logging(name)
    clock = make_clock()
    boot = f"{name}-{int(clock.now().timestamp() * 1000):x}"
    machine = SimulatedInstance(
        clock, boot, slots, memory_bytes, interference, guard=guard
    )
    worker = WorkerStandIn(clock, name, machine)
    _serve_http(address, worker.app.resource())


def _serve_http(address: ListenAddress, resource: t.Any) -> None:
    reactor.listenTCP(address.port, Site(resource), interface=address.host)
    run_until_stopped(stop_reactor)

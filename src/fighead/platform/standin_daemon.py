"""The thin daemons that stand in for the platform."""

import typing as t

from twisted.web.server import Site

from ..http_client import HttpPool
from ..log import configure
from ..run import Instance
from ..runtime import make_clock, reactor, run_until_stopped, stop_reactor
from ..settings import ListenAddress
from .standin_instance import InstanceStandIn, make_machine
from .standin_store import KvStandIn
from .store import PlatformStore


def serve_store(address: ListenAddress, seed: int) -> None:
    """Run the stand-in for the platform's key-value service."""
    configure("store")
    stand_in = KvStandIn(make_clock(), seed)
    reactor.callWhenRunning(stand_in.start)
    _serve_app(address, stand_in.app.resource())


def serve_instance(address: ListenAddress, known: Instance, store: str) -> None:
    """Run the stand-in for an instance, which registers itself in the store."""
    configure(known.instance_id)
    clock = make_clock()
    client = PlatformStore(HttpPool(reactor, clock), store)
    machine = make_machine(known, clock)
    stand_in = InstanceStandIn(machine, client, clock)
    reactor.callWhenRunning(stand_in.start)
    _serve_app(address, stand_in.app.resource())


def _serve_app(address: ListenAddress, resource: t.Any) -> None:
    reactor.listenTCP(address.port, Site(resource), interface=address.host)
    run_until_stopped(stop_reactor)

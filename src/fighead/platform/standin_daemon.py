"""Daemons that serve the stand-ins for the platform."""

import typing as t

from twisted.web.server import Site

from ..http_client import HttpPool
from ..log import configure_logging
from ..run import RegisteredInstance
from ..runtime import make_clock, reactor, run_until_stopped, stop_reactor
from ..settings import ListenAddress
from .standin_instance import InstanceStandIn, make_machine
from .standin_store import KvStandIn
from .store import PlatformStoreClient


def serve_store(address: ListenAddress, seed: int) -> None:
    """Run the stand-in for the platform's key-value service until it is stopped.

    :param seed: Seed of the choice of lost responses.
    """
    configure_logging("store")
    stand_in = KvStandIn(make_clock(), seed)
    reactor.callWhenRunning(stand_in.start)
    _serve_app(address, stand_in.app.resource())


def serve_instance(
    address: ListenAddress, instance: RegisteredInstance, store_address: str
) -> None:
    """Run the stand-in for an instance, which registers itself, until it is stopped.

    :param store_address: Address of the key-value service, as IP:port.
    """
    configure_logging(instance.instance_id)
    clock = make_clock()
    store_client = PlatformStoreClient(HttpPool(reactor, clock), store_address)
    machine = make_machine(instance, clock)
    stand_in = InstanceStandIn(machine, store_client, clock)
    reactor.callWhenRunning(stand_in.start)
    _serve_app(address, stand_in.app.resource())


def _serve_app(address: ListenAddress, resource: t.Any) -> None:
    reactor.listenTCP(address.port, Site(resource), interface=address.host)
    run_until_stopped(stop_reactor)

"""The settings class of an entry that schedules jobs."""

import datetime as dt

from attrs import frozen

from .model import Capacity
from .settings import ListenAddress


@frozen
class JobSettings:
    """All settings of an entry that schedules jobs.

    :param lease: Maximum duration of a lease that an instance grants its runs.
    :param grace: Maximum duration of a planned stop.
    :param stop_time: Maximum time that a run continues after it was stopped.
    :param harm_time: How long a serving task may miss its target because of
        fillers on the same instance.
    :param early: How long before its due time an occurrence may start.
    :param status_time: How long the outcome of an ended job is kept.
    :param metrics_address: Where metrics are served; ``None`` to serve none.
    :param capacity: What the entry's machine provides.
    :param memory_bytes: Memory of the process; ``None`` if unknown.
    :param max_descriptors: File descriptors of the process; ``None`` if unknown.
    :param zones: All availability zones of the deployment; empty if unknown.
    :param seed: Seed for repeatable jitter in tests; empty for a random one.
    """

    name: str
    zone: str
    client_address: ListenAddress
    ready_address: ListenAddress
    peer_address: str
    store_address: str
    advice_address: str = ""
    lease: dt.timedelta = dt.timedelta(seconds=6)
    grace: dt.timedelta = dt.timedelta(seconds=6)
    stop_time: dt.timedelta = dt.timedelta(seconds=1)
    harm_time: dt.timedelta = dt.timedelta(seconds=4)
    early: dt.timedelta = dt.timedelta(milliseconds=250)
    status_time: dt.timedelta = dt.timedelta(seconds=120)
    metrics_address: ListenAddress | None = None
    capacity: Capacity = Capacity()
    memory_bytes: int | None = None
    max_descriptors: int | None = None
    zones: frozenset[str] = frozenset()
    seed: str = ""

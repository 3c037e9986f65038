"""Settings of an entry that schedules jobs."""

import datetime as dt

from attrs import frozen

from .settings import ListenAddress


@frozen
class JobSettings:
    """All settings of an entry that schedules jobs.

    :param lease: Longest lease that an instance grants its runs.
    :param grace: Time that a planned stop may take.
    :param stop_time: Longest time that a stopped run goes on.
    :param harm_time: How long a serving task may miss its target because of
        fillers beside it.
    :param early: How long before its time an occurrence may start.
    :param status_time: How long an ended job must be known.
    :param seed: Makes jitter repeatable for tests; empty for chance.
    :param metrics_address: Where metrics are served; ``None`` for nowhere.
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
    seed: str = ""

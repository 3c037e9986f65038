"""What is known of the leader beside its schedule, and units of its log lines."""

import datetime as dt

from attrs import frozen

from .authority import Authority


@frozen
class LeaderStatus:
    """What is known of the leader beside its schedule.

    :param lease: Lease that earlier schedulers may have granted.
    :param authority: What it may infer from silence.
    :param listings_in_lookup: Listings that wait for a look-up of their jobs.
    """

    lease: dt.timedelta
    may_act: bool = True
    is_loaded: bool = True
    authority: Authority = Authority()
    listings_in_lookup: int = 0


def to_ms(duration: dt.timedelta) -> int:
    """Return a duration in whole milliseconds."""
    return int(duration.total_seconds() * 1000)


def describe_age(at: dt.datetime | None, now: dt.datetime) -> int | None:
    """Return the milliseconds since a time, if there is one."""
    return to_ms(now - at) if at is not None else None

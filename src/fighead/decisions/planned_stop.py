"""Decides when the stages of a planned stop begin."""

import datetime as dt

from attrs import frozen

#: Time until the load balancer stops sending requests to an entry that is not
#: ready: it checks once a second and acts on the second failed check.
BALANCER_REACTION_TIME = dt.timedelta(milliseconds=2300)
#: Part of the grace period for what follows after the last request was served.
REFUSAL_RESERVE = dt.timedelta(milliseconds=1000)
#: Part of it for what follows after the last answer was written out.
CLOSE_RESERVE = dt.timedelta(milliseconds=600)
#: Part of it for the end of the process.
EXIT_RESERVE = dt.timedelta(milliseconds=200)


@frozen
class StopTimes:
    """When the stages of a planned stop end at the latest.

    :param accept_until: Until when connections are accepted, and idle ones kept.
    :param refuse_at: When requests without an answer are refused.
    :param close_at: When connections are closed whose clients don't read.
    :param leave_by: When the entry ends although it may still be a member.
    """

    accept_until: dt.datetime
    refuse_at: dt.datetime
    close_at: dt.datetime
    leave_by: dt.datetime


def plan_stop(now: dt.datetime, grace: dt.timedelta) -> StopTimes:
    """Return the times of a stop that began ``now``.

    :param grace: Time after which the platform ends the process. If it is shorter
        than the reserves, the later stages begin at once.

    >>> now = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
    >>> (plan_stop(now, dt.timedelta(seconds=6)).refuse_at - now).total_seconds()
    5.0
    """
    end = now + grace
    refuse_at = max(now, end - REFUSAL_RESERVE)
    return StopTimes(
        min(now + BALANCER_REACTION_TIME, refuse_at),
        refuse_at,
        max(now, end - CLOSE_RESERVE),
        max(now, end - EXIT_RESERVE),
    )

"""Load shedding of checks at an entry that can't keep up.

The lag of a timer shows how long an arriving request waits before the entry
processes it. The number of checks in flight is limited to keep that wait short,
and the limit is shared fairly among active callers. Recorded work is not
counted, so a flood of checks can't block it.
"""

import datetime as dt

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

#: Timer lag above which the limit is lowered.
HIGH_LAG = dt.timedelta(milliseconds=60)
#: Factor applied to the limit, or to the checks in flight if fewer, when lag is
#: high.
DECREASE_FACTOR = 0.8
#: Number of checks added to the limit when lag is not high.
INCREASE_STEP = 2
#: Bounds of the limit, in checks in flight.
MIN_LIMIT = 32
MAX_LIMIT = 512
#: Time after which a caller whose check was rejected is advised to retry.
RETRY_AFTER = dt.timedelta(milliseconds=500)


@frozen
class CheckLimiter:
    """Number of checks in flight, and its limit.

    :param limit: Total at which callers are held to their fair share.
    :param total: Checks in flight of all callers.
    :param by_caller: Checks in flight by caller; callers without any are left out.
    """

    limit: int = MAX_LIMIT
    total: int = 0
    by_caller: PMap = pmap()


def observe_lag(limiter: CheckLimiter, lag: dt.timedelta) -> CheckLimiter:
    """Lower the limit if the timer lag is high, else raise it by one step."""
    if lag > HIGH_LAG:
        # The lag is caused by the checks in flight, not by the unused part of
        # the limit.
        used = min(limiter.limit, limiter.total)
        limit = max(MIN_LIMIT, int(used * DECREASE_FACTOR))
    else:
        limit = min(MAX_LIMIT, limiter.limit + INCREASE_STEP)
    return evolve(limiter, limit=limit)


def acquire(limiter: CheckLimiter, caller: str) -> CheckLimiter | None:
    """Count a new check as in flight, or return ``None`` to reject it.

    A check is rejected if the limit is reached and its caller already has its
    fair share. Callers below their share may thus exceed the limit.
    """
    in_flight = limiter.by_caller.get(caller, 0)
    if limiter.total >= limiter.limit and in_flight >= _fair_share(limiter, caller):
        return None
    return evolve(
        limiter,
        total=limiter.total + 1,
        by_caller=limiter.by_caller.set(caller, in_flight + 1),
    )


def release(limiter: CheckLimiter, caller: str) -> CheckLimiter:
    """Remove one check of ``caller`` from those in flight."""
    in_flight = limiter.by_caller.get(caller, 0) - 1
    by_caller = limiter.by_caller
    by_caller = (
        by_caller.set(caller, in_flight) if in_flight > 0 else by_caller.discard(caller)
    )
    return evolve(limiter, total=max(0, limiter.total - 1), by_caller=by_caller)


def _fair_share(limiter: CheckLimiter, caller: str) -> int:
    callers = len(limiter.by_caller) + (caller not in limiter.by_caller)
    return max(1, limiter.limit // callers)

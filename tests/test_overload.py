"""Tests of the limit on checks in flight at an entry."""

import datetime as dt

from fighead.decisions import overload
from fighead.decisions.overload import CheckLimiter

LONG_LAG = dt.timedelta(milliseconds=200)


def acquire_many(limiter, caller, count):
    for _ in range(count):
        limiter = overload.acquire(limiter, caller) or limiter
    return limiter


def test_high_lag_lowers_the_limit_below_the_checks_in_flight():
    limiter = acquire_many(CheckLimiter(), "a", 100)
    assert overload.observe_lag(limiter, LONG_LAG).limit == 80
    assert overload.observe_lag(limiter, dt.timedelta()).limit >= 100


def test_a_caller_that_floods_does_not_block_another():
    limiter = acquire_many(CheckLimiter(limit=20), "flood", 500)
    assert limiter.total == 20
    limiter = acquire_many(limiter, "light", 500)
    assert limiter.by_caller["light"] == 10
    assert overload.acquire(limiter, "flood") is None


def test_release_allows_another_check_to_start():
    limiter = acquire_many(CheckLimiter(limit=2), "a", 2)
    assert overload.acquire(limiter, "a") is None
    assert overload.acquire(overload.release(limiter, "a"), "a") is not None


def test_limit_rises_again_while_lag_is_low():
    limiter = CheckLimiter(limit=overload.MIN_LIMIT)
    for _ in range(50):
        limiter = overload.observe_lag(limiter, dt.timedelta())
    assert limiter.limit > 100

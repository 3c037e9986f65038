"""Tests of the limit on checks in flight at an entry."""

import datetime as dt

from fighead.decisions import overload
from fighead.decisions.overload import Gate

HIGH_LAG = dt.timedelta(milliseconds=200)


def enter_many(gate, caller, count):
    for _ in range(count):
        gate = overload.enter(gate, caller) or gate
    return gate


def test_high_lag_lowers_the_limit_below_the_checks_in_flight():
    gate = enter_many(Gate(), "a", 100)
    assert overload.observe_lag(gate, HIGH_LAG).limit == 80
    assert overload.observe_lag(gate, dt.timedelta()).limit >= 100


def test_a_caller_that_floods_does_not_block_another():
    gate = enter_many(Gate(limit=20), "flood", 500)
    assert gate.total == 20
    gate = enter_many(gate, "light", 500)
    assert gate.by_caller["light"] == 10
    assert overload.enter(gate, "flood") is None


def test_leaving_allows_another_check_to_enter():
    gate = enter_many(Gate(limit=2), "a", 2)
    assert overload.enter(gate, "a") is None
    assert overload.enter(overload.leave(gate, "a"), "a") is not None


def test_limit_rises_again_while_lag_is_low():
    gate = Gate(limit=overload.MIN_LIMIT)
    for _ in range(50):
        gate = overload.observe_lag(gate, dt.timedelta())
    assert gate.limit > 100

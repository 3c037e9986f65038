"""Tests of the limit on checks in flight at an entry."""

import datetime as dt

from fighead.decisions import overload
from fighead.decisions.overload import Gate

LATE = dt.timedelta(milliseconds=200)


def enter(gate, caller, count):
    for _ in range(count):
        gate = overload.enter(gate, caller) or gate
    return gate


def test_lag_lowers_the_limit_below_what_is_in_flight():
    gate = enter(Gate(), "a", 100)
    assert overload.observe_lag(gate, LATE).limit == 80
    assert overload.observe_lag(gate, dt.timedelta()).limit >= 100


def test_a_flooding_caller_leaves_room_for_another():
    gate = enter(Gate(limit=20), "flood", 500)
    assert gate.total == 20
    gate = enter(gate, "light", 500)
    assert gate.by_caller["light"] == 10
    assert overload.enter(gate, "flood") is None


def test_answered_checks_make_room():
    gate = enter(Gate(limit=2), "a", 2)
    assert overload.enter(gate, "a") is None
    assert overload.enter(overload.leave(gate, "a"), "a") is not None


def test_the_limit_recovers():
    gate = Gate(limit=overload.LEAST_LIMIT)
    for _ in range(50):
        gate = overload.observe_lag(gate, dt.timedelta())
    assert gate.limit > 100

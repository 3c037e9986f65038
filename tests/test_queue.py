"""Tests of the fair queue of checks."""

import datetime as dt

from fighead.decisions import queue
from fighead.message import CheckRequest

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
SERVICE = dt.timedelta(milliseconds=10)


def request(caller, number, left_s=10):
    deadline = NOW + dt.timedelta(seconds=left_s)
    return CheckRequest("u", "k", caller, f"{caller}-{number}", "", deadline)


def fill(callers):
    waiting = queue.CheckQueue()
    for caller, number in callers:
        waiting = queue.push(waiting, request(caller, number), 1.0)
    return waiting


def drain(waiting):
    order = []
    while len(waiting):
        popped = queue.pop(waiting, NOW, SERVICE)
        waiting = popped.queue
        if popped.request:
            order.append(popped.request.caller)
    return order


def test_a_flood_of_one_caller_does_not_delay_another():
    waiting = fill([("flood", n) for n in range(50)])
    waiting = queue.push(waiting, request("light", 0), 1.0)
    assert "light" in drain(waiting)[:2]


def test_weight_decides_the_share():
    waiting = queue.CheckQueue()
    for number in range(20):
        waiting = queue.push(waiting, request("heavy", number), 3.0)
        waiting = queue.push(waiting, request("light", number), 1.0)
    first = drain(waiting)[:16]
    assert first.count("heavy") == 12


def test_late_checks_are_told_and_never_started():
    waiting = queue.push(queue.CheckQueue(), request("a", 0, left_s=0.001), 1.0)
    waiting = queue.push(waiting, request("a", 1), 1.0)
    popped = queue.pop(waiting, NOW, SERVICE)
    assert popped.request.request_id == "a-1"
    assert [late.request_id for late in popped.expired] == ["a-0"]

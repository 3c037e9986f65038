"""Tests of the fair queue of checks."""

import datetime as dt

from fighead.decisions import check_queue
from fighead.message import CheckRequest

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
SERVICE_TIME = dt.timedelta(milliseconds=10)


def make_request(caller, number, left_s=10):
    deadline = NOW + dt.timedelta(seconds=left_s)
    return CheckRequest("u", "k", caller, f"{caller}-{number}", "", deadline)


def make_queue(checks):
    """Return a queue of ``checks``, given as pairs of caller and number."""
    queue = check_queue.CheckQueue()
    for caller, number in checks:
        queue = check_queue.push(queue, make_request(caller, number), 1.0)
    return queue


def start_order(queue):
    order = []
    while len(queue):
        popped = check_queue.pop(queue, NOW, SERVICE_TIME)
        queue = popped.queue
        if popped.request:
            order.append(popped.request.caller)
    return order


def test_a_flood_of_one_caller_does_not_delay_another():
    queue = make_queue([("flood", n) for n in range(50)])
    queue = check_queue.push(queue, make_request("light", 0), 1.0)
    assert "light" in start_order(queue)[:2]


def test_weight_decides_the_share():
    queue = check_queue.CheckQueue()
    for number in range(20):
        queue = check_queue.push(queue, make_request("heavy", number), 3.0)
        queue = check_queue.push(queue, make_request("light", number), 1.0)
    first = start_order(queue)[:16]
    assert first.count("heavy") == 12


def test_expired_checks_are_returned_and_never_started():
    queue = check_queue.push(
        check_queue.CheckQueue(), make_request("a", 0, left_s=0.001), 1.0
    )
    queue = check_queue.push(queue, make_request("a", 1), 1.0)
    popped = check_queue.pop(queue, NOW, SERVICE_TIME)
    assert popped.request.request_id == "a-1"
    assert [expired.request_id for expired in popped.expired] == ["a-0"]

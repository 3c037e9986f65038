"""The limit of starts without an answer, under load and beside slow instances."""

import datetime as dt

from fighead.decisions import placement, start_window
from fighead.decisions.start_window import (
    INITIAL_STARTS,
    MAX_FLIGHT_TIME,
    MAX_STARTS,
    MIN_STARTS,
    StartWindow,
)
from fighead.job import Demand, Stage, TaskKey
from job_builders import add_job, at_seconds, make_schedule, orders_in

INTERVAL_S = 0.1
WIDE_STAGE = Stage(count=400, cpu=100, memory_mb=1, estimate_ms=1000)


def make_job_id(number):
    return f"{number:016x}"


def start_id(number):
    return (TaskKey("a" * 16, 0, 0, number), 1)


def play(starts_per_s, seconds, base_s=0.005, demand_per_s=10_000, stuck=0):
    """Send starts through a sender of limited rate; return the window and figures.

    Each start takes its turn at the sender, so its answer is as late as the starts
    before it take. The first ``stuck`` starts get no answer.

    :return: The window, the number of answers, and the longest queue in seconds.
    """
    window, number, answered, longest_s = StartWindow(), 0, 0, 0.0
    free_at, now_s, answers = 0.0, 0.0, []
    while now_s < seconds:
        for _ in range(10):
            now_s += INTERVAL_S / 10
            wanted = int(demand_per_s * INTERVAL_S / 10)
            count = int(min(window.free_starts(), wanted))
            for _ in range(count):
                number += 1
                start_window.note_start(window, start_id(number), at_seconds(now_s))
                free_at = max(free_at, now_s) + 1 / starts_per_s
                longest_s = max(longest_s, free_at - now_s)
                if number > stuck:
                    answers.append((free_at + base_s, number))
            while answers and answers[0][0] <= now_s:
                _, done = answers.pop(0)
                start_window.note_answer(window, start_id(done), at_seconds(now_s))
                answered += 1
        start_window.adjust(window, at_seconds(now_s))
    return window, answered, longest_s


def test_the_queue_at_a_small_entry_stays_short_and_its_rate_is_used():
    _, answered, longest_s = play(starts_per_s=60, seconds=10)
    assert answered > 0.85 * 60 * 10
    # The first group alone takes a second; later ones wait less than a renewal may.
    assert longest_s < 1.2


def test_the_limit_of_a_small_entry_settles_below_the_timeout_of_a_renewal():
    window, _, _ = play(starts_per_s=60, seconds=10)
    assert window.limit / 60 < 0.7


def test_a_large_entry_soon_sends_all_that_is_wanted():
    window, answered, _ = play(starts_per_s=5000, seconds=4, demand_per_s=1500)
    assert answered > 0.9 * 1500 * 4
    assert window.limit <= MAX_STARTS


def test_long_ways_to_the_instances_are_no_congestion():
    _, answered, _ = play(starts_per_s=5000, seconds=6, base_s=0.3, demand_per_s=1000)
    assert answered > 0.7 * 1000 * 6


def test_starts_without_an_answer_do_not_block_others_for_long():
    _, answered, _ = play(
        starts_per_s=1000, seconds=6, demand_per_s=500, stuck=INITIAL_STARTS
    )
    assert answered > 500 * (6 - MAX_FLIGHT_TIME.total_seconds() - 0.5)


def test_the_limit_never_falls_below_its_minimum():
    window, answered, _ = play(starts_per_s=3, seconds=20)
    assert window.limit >= MIN_STARTS and answered > 30


def test_an_answer_to_a_forgotten_start_does_not_count():
    window = StartWindow()
    start_window.note_start(window, start_id(1), at_seconds(0))
    start_window.forget_start(window, start_id(1))
    start_window.note_answer(window, start_id(1), at_seconds(9))
    assert not window.answer_times and not window.sent_at


def test_a_round_sends_no_more_starts_than_are_free():
    schedule = make_schedule(tuple(f"i{n}" for n in range(8)))
    schedule.start_window = StartWindow()
    add_job(schedule, WIDE_STAGE)
    first = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    assert len(first) == INITIAL_STARTS
    assert not placement.place_waiting_tasks(schedule, at_seconds(0.01))
    for order in first[: INITIAL_STARTS // 2]:
        start = (order.task, order.number)
        start_window.note_answer(schedule.start_window, start, at_seconds(0.02))
    more = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0.03)))
    assert len(more) == INITIAL_STARTS // 2


def test_urgent_tasks_that_come_later_go_before_the_rest_of_a_wide_job():
    schedule = make_schedule(tuple(f"i{n}" for n in range(8)))
    schedule.start_window = StartWindow()
    add_job(schedule, WIDE_STAGE, job_id=make_job_id(1))
    first = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    urgent = add_job(schedule, Stage(cpu=100, memory_mb=1), job_id=make_job_id(2))
    urgent.queue = type(urgent.queue)("urgent", "a.example", "/u/", "mill", 0)
    for order in first[: INITIAL_STARTS // 2]:
        start = (order.task, order.number)
        start_window.note_answer(schedule.start_window, start, at_seconds(0.02))
    more = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0.03)))
    assert more[0].task.job_id == make_job_id(2)


def test_a_gang_starts_whole_also_beyond_the_limit():
    schedule = make_schedule(("i1",), capacity=Demand(64_000, 1000, 0))
    schedule.start_window = StartWindow(limit=8)
    gang = Stage(count=12, cpu=100, memory_mb=1, is_gang=True)
    add_job(schedule, gang)
    orders = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    assert len(orders) == 12


def test_times_are_measured_between_order_and_answer():
    window = StartWindow()
    start_window.note_start(window, start_id(1), at_seconds(1))
    start_window.note_answer(window, start_id(1), at_seconds(1.25))
    assert window.shortest == dt.timedelta(seconds=0.25)


def test_answered_and_silent_starts_are_told_apart():
    window = StartWindow()
    for number in range(8):
        start_window.note_start(window, start_id(number), at_seconds(0))
    for number, second in enumerate((0.01, 0.02, 0.9, 1.0)):
        start_window.note_answer(window, start_id(number), at_seconds(second))
    start_window.forget_start(window, start_id(4))
    start_window.adjust(window, at_seconds(MAX_FLIGHT_TIME.total_seconds()))
    # A start that was given up already is not counted again.
    start_window.forget_start(window, start_id(5))
    counts = start_window.take_counts(window)
    quickest = dt.timedelta(milliseconds=20)
    assert counts == start_window.StartCounts(4, 4, quickest)
    assert start_window.take_counts(window) == start_window.StartCounts()

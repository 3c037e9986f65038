"""Tests of what is logged of the load of a process."""

import datetime as dt

import pytest
from attrs import evolve

from fighead.decisions import load_watch
from fighead.decisions.start_window import StartCounts
from fighead.log import Event
from fighead.process_load import (
    AllCallCounts,
    CallCounts,
    Durations,
    Reading,
    SchedulerCounters,
    SchedulerLoad,
)


def start(steady_s=100.0, wall_s=5000.0, cpu_s=1.0):
    return load_watch.start_watch(Reading(steady_s, wall_s, cpu_s), AllCallCounts())


def advance(state, seconds, wall_s=None, cpu_s=0.0):
    """Add a reading that comes ``seconds`` after the last one."""
    last = state.last
    wall_s = seconds if wall_s is None else wall_s
    reading = Reading(last.steady_s + seconds, last.wall_s + wall_s, last.cpu_s + cpu_s)
    return load_watch.add_reading(state, reading)


def run_punctually(state, seconds):
    """Add punctual readings; return the warnings that were due."""
    notes = []
    for _ in range(round(seconds / load_watch.SAMPLE_INTERVAL_S)):
        advance(state, load_watch.SAMPLE_INTERVAL_S)
        notes += load_watch.take_warnings(state)
    return notes


def test_a_punctual_loop_logs_nothing():
    state = start()
    assert run_punctually(state, 60) == []
    assert state.loop_delays.longest_s == pytest.approx(0, abs=1e-6)


def test_a_late_timer_is_logged_with_its_delay():
    state = start()
    assert advance(state, 0.7) == pytest.approx(0.6)
    (note,) = load_watch.take_warnings(state)
    assert note.event is Event.LOOP_DELAYED
    assert note.fields == {"longest_ms": 600, "delays": 1, "total_ms": 600}


def test_a_delay_below_the_limit_is_only_counted():
    state = start()
    advance(state, 0.59)
    assert load_watch.take_warnings(state) == []
    assert state.loop_delays.longest_s == pytest.approx(0.49)


def test_delays_soon_after_a_warning_are_part_of_the_next_one():
    state = start()
    advance(state, 1.1)
    assert len(load_watch.take_warnings(state)) == 1
    for delay_s in (0.8, 2.0):
        advance(state, load_watch.SAMPLE_INTERVAL_S + delay_s)
        assert load_watch.take_warnings(state) == []
    (note,) = run_punctually(state, 10)
    assert note.fields == {"longest_ms": 2000, "delays": 2, "total_ms": 2800}


@pytest.mark.parametrize("step_s", [-3.0, 3.0])
def test_a_step_of_the_wall_clock_is_logged_once(step_s):
    state = start()
    advance(state, 0.1, wall_s=0.1 + step_s)
    (note,) = load_watch.take_warnings(state)
    assert note.event is Event.CLOCK_STEPPED
    assert note.fields == {"step_ms": 1000 * step_s}
    assert run_punctually(state, 20) == []


def test_a_small_step_is_not_logged():
    state = start()
    advance(state, 0.1, wall_s=1.0)
    assert run_punctually(state, 10) == []


def test_a_step_soon_after_another_is_logged_later():
    state = start()
    advance(state, 0.1, wall_s=3.1)
    load_watch.take_warnings(state)
    advance(state, 0.1, wall_s=-2.9)
    assert load_watch.take_warnings(state) == []
    (note,) = run_punctually(state, 10)
    assert note.fields == {"step_ms": -3000}


def test_a_step_and_back_between_warnings_is_not_logged():
    state = start()
    advance(state, 0.1, wall_s=3.1)
    load_watch.take_warnings(state)
    for step_s in (2.0, -2.0):
        advance(state, 0.1, wall_s=0.1 + step_s)
        assert load_watch.take_warnings(state) == []
    assert run_punctually(state, 10) == []


def test_a_report_covers_the_interval_since_the_last_one():
    state = start()
    run_punctually(state, 1.5)
    assert not load_watch.is_report_due(state)
    advance(state, 0.9, cpu_s=0.25)
    assert load_watch.is_report_due(state)
    first = load_watch.take_report(state, AllCallCounts(CallCounts(10, 2, 1, 3)))
    assert first.interval_s == pytest.approx(2.4)
    assert first.cpu_s == pytest.approx(0.25)
    assert first.loop_delays.longest_s == pytest.approx(0.8)
    assert first.calls.store == CallCounts(10, 2, 1, 3)
    assert not load_watch.is_report_due(state)
    advance(state, 2.1)
    second = load_watch.take_report(state, AllCallCounts(CallCounts(14, 2, 1, 4)))
    assert second.interval_s == pytest.approx(2.1)
    assert second.loop_delays.count == 1
    assert second.calls.store == CallCounts(4, 0, 0, 1)


def test_the_note_on_a_leader_tells_waiting_from_work():
    done = SchedulerCounters(listings=7, orders=5)
    for duration_s in (0.01, 0.3):
        done.rounds.add(duration_s)
    done.messages.add(0.02)
    load = SchedulerLoad(3, done, 40, 9, 12, 200, 4, 1.5)
    load = evolve(load, starts=StartCounts(30, 20, dt.timedelta(milliseconds=6)))
    delays = Durations(2, 0.6, 0.4)
    calls = AllCallCounts(CallCounts(6, 1, 0, 2, 1), CallCounts(50, 3, 4, 5, 3))
    report = load_watch.ProcessReport(2.0, 1.9, delays, calls)
    note = load_watch.describe_leader(report, load)
    assert note.event is Event.LEADER_LOAD
    expected = {
        "term": 3,
        "interval_ms": 2000,
        "cpu_ms": 1900,
        "delay_max_ms": 400,
        "delay_mean_ms": 300,
        "mailbox": 40,
        "rounds": 2,
        "rounds_ms": 310,
        "round_max_ms": 300,
        "messages": 1,
        "messages_ms": 20,
        "orders": 5,
        "listings": 7,
        "waiting_tasks": 12,
        "jobs": 9,
        "write_age_ms": 1500,
        "starts_answered": 30,
        "starts_unanswered": 20,
        "quick_answer_ms": 6,
        "store_calls": 6,
        "store_timed_out": 2,
        "store_unsent": 1,
        "instance_calls": 50,
        "instance_failed": 4,
        "instance_timed_out": 5,
        "instance_unsent": 3,
        "connections": 4,
    }
    assert {key: note.fields[key] for key in expected} == expected

"""Tests of the controller that limits batch work beside checks."""

import datetime as dt

from fighead.decisions import batch_control
from fighead.decisions.batch_control import BatchController, Level

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def run(state, ratio, seconds, start):
    levels = []
    for step in range(int(seconds * 10)):
        now = start + dt.timedelta(seconds=step / 10)
        state = batch_control.advance(
            batch_control.observe_latency_ratio(state, ratio, now), now
        )
        levels.append(state.level)
        if state.level is Level.EVICTING:
            state = batch_control.record_eviction(state, now)
    return state, levels


def test_level_rises_in_steps_with_a_minimum_interval():
    _, levels = run(BatchController(), 2.0, 8, NOW)
    assert levels[-1] is Level.THROTTLED
    assert levels.index(Level.THROTTLED) - levels.index(Level.CLOSED) >= 9


def test_a_short_disturbance_causes_no_eviction():
    state, levels = run(BatchController(), 2.0, 6, NOW)
    assert Level.EVICTING not in levels
    later = NOW + dt.timedelta(seconds=6)
    state, _ = run(state, 1.0, 30, later)
    assert state.level is Level.OPEN


def test_evictions_are_rate_limited():
    _, levels = run(BatchController(), 2.0, 60, NOW)
    assert 1 <= levels.count(Level.EVICTING) <= 5


def test_outdated_ratio_is_discarded():
    state, _ = run(BatchController(), 2.0, 6, NOW)
    for step in range(40):
        now = NOW + dt.timedelta(seconds=20 + step)
        state = batch_control.advance(state, now)
    assert state.level is Level.OPEN

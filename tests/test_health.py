"""Tests of quarantine and parking."""

import datetime as dt

from fighead.decisions import health
from fighead.decisions.health import Health

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def fail(state, jobs):
    for job in jobs:
        state = health.record_ending(state, job, True, NOW)
    return state


def test_distinct_failing_jobs_quarantine_an_instance():
    assert not fail(Health(), ["a", "b"]).is_quarantined
    assert fail(Health(), ["a", "b", "c"]).is_quarantined


def test_one_job_that_fails_often_does_not_quarantine():
    assert not fail(Health(), ["a"] * 20).is_quarantined


def test_probe_after_a_pause_releases_on_success():
    state = fail(Health(), ["a", "b", "c"])
    assert not health.may_probe(state, NOW)
    later = NOW + health.FIRST_PROBE_DELAY
    assert health.may_probe(state, later)
    assert not health.record_ending(state, "d", False, later).is_quarantined
    worse = health.record_ending(state, "d", True, later)
    assert worse.probe_at > later + health.FIRST_PROBE_DELAY


def test_quarantine_never_empties_the_fleet():
    states = {f"i{n}": fail(Health(), ["a", "b", "c"]) for n in range(9)}
    assert len(health.limit_quarantine(states, len(states))) == 3


def test_failures_on_suspects_do_not_park_a_job():
    assert not health.should_park(("a", "b", "c"), {"a"})
    assert health.should_park(("a", "b", "c"), set())

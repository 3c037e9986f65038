"""Tests of the quarantine of instances and the parking of work."""

import datetime as dt

from fighead.decisions import quarantine
from fighead.decisions.quarantine import Health

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def record_failures(health, request_ids):
    for request_id in request_ids:
        health = quarantine.record_ending(health, request_id, True, NOW)
    return health


def test_failures_of_distinct_requests_quarantine_an_instance():
    assert not record_failures(Health(), ["a", "b"]).is_quarantined
    assert record_failures(Health(), ["a", "b", "c"]).is_quarantined


def test_repeated_failures_of_one_request_do_not_quarantine():
    assert not record_failures(Health(), ["a"] * 20).is_quarantined


def test_successful_probe_after_the_delay_ends_the_quarantine():
    health = record_failures(Health(), ["a", "b", "c"])
    assert not quarantine.may_probe(health, NOW)
    later = NOW + quarantine.INITIAL_PROBE_DELAY
    assert quarantine.may_probe(health, later)
    assert not quarantine.record_ending(health, "d", False, later).is_quarantined
    after_failure = quarantine.record_ending(health, "d", True, later)
    assert after_failure.probe_at > later + quarantine.INITIAL_PROBE_DELAY


def test_at_most_a_third_of_the_instances_is_quarantined():
    health_by_instance = {
        f"i{n}": record_failures(Health(), ["a", "b", "c"]) for n in range(9)
    }
    assert (
        len(quarantine.select_quarantined(health_by_instance, len(health_by_instance)))
        == 3
    )


def test_failures_on_quarantined_instances_do_not_park_work():
    assert not quarantine.should_park(("a", "b", "c"), {"a"})
    assert quarantine.should_park(("a", "b", "c"), set())

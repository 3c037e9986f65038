"""Tests of the slowdown of checks that is learned per kind of batch work."""

import datetime as dt

from fighead.decisions import slowdown


def observe(model, ratio, batch_weights, times=200):
    for _ in range(times):
        took = dt.timedelta(milliseconds=20 * ratio)
        model = slowdown.observe(model, "blade-check", took, batch_weights)
    return model


def test_slowdowns_of_concurrent_kinds_are_separated():
    model = observe(slowdown.SlowdownModel(), 1.0, {})
    for _ in range(100):
        model = observe(model, 1.5, {"noisy": 1}, 1)
        model = observe(model, 1.0, {"quiet": 1}, 1)
        model = observe(model, 1.5, {"noisy": 1, "quiet": 1}, 1)
    assert abs(slowdown.estimate_of(model, "noisy").mean - 0.5) < 0.1
    assert abs(slowdown.estimate_of(model, "quiet").mean) < 0.1


def test_uncertainty_shrinks_with_observations():
    model = observe(slowdown.SlowdownModel(), 1.0, {})
    before = slowdown.estimate_of(model, "noisy")
    after = slowdown.estimate_of(observe(model, 1.3, {"noisy": 1}), "noisy")
    assert after.variance < before.variance
    assert (
        after.upper_bound - after.lower_bound < before.upper_bound - before.lower_bound
    )


def test_unobserved_kind_has_wide_bounds():
    assert slowdown.estimate_of(slowdown.SlowdownModel(), "new").lower_bound < 0
    assert slowdown.estimate_of(slowdown.SlowdownModel(), "new").upper_bound > 0.2

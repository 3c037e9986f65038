"""Tests of what is learned about interference."""

import datetime as dt

from fighead.decisions import slowdown


def observe(learned, ratio, batch, times=200):
    for _ in range(times):
        took = dt.timedelta(milliseconds=20 * ratio)
        learned = slowdown.observe(learned, "blade-check", took, batch)
    return learned


def test_effect_of_each_kind_is_told_apart():
    learned = observe(slowdown.Slowdown(), 1.0, {})
    for _ in range(100):
        learned = observe(learned, 1.5, {"noisy": 1}, 1)
        learned = observe(learned, 1.0, {"quiet": 1}, 1)
        learned = observe(learned, 1.5, {"noisy": 1, "quiet": 1}, 1)
    assert abs(slowdown.effect_of(learned, "noisy").mean - 0.5) < 0.1
    assert abs(slowdown.effect_of(learned, "quiet").mean) < 0.1


def test_uncertainty_shrinks_with_observations():
    learned = observe(slowdown.Slowdown(), 1.0, {})
    before = slowdown.effect_of(learned, "noisy")
    after = slowdown.effect_of(observe(learned, 1.3, {"noisy": 1}), "noisy")
    assert after.variance < before.variance
    assert after.cautious - after.certain < before.cautious - before.certain


def test_unobserved_kind_is_not_certain_to_disturb():
    assert slowdown.effect_of(slowdown.Slowdown(), "new").certain < 0
    assert slowdown.effect_of(slowdown.Slowdown(), "new").cautious > 0.2

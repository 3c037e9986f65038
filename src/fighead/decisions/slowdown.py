"""Learns how much each kind of batch work slows checks on one instance.

For every check that ran, the ratio of its latency to the latency with no batch
work beside it is explained as one plus the sum of the effects of the batch
tasks that ran beside it. Each effect is estimated with its variance by a
Kalman filter whose covariances between kinds are left out.
"""

import datetime as dt
import math
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

#: Effect assumed of a kind that was never observed beside checks.
PRIOR_EFFECT = 0.10
PRIOR_VARIANCE = 0.04
#: Variance of one observation of a latency ratio.
OBSERVATION_VARIANCE = 0.09
#: Variance that is added with each observation, since behaviour shifts.
DRIFT_VARIANCE = 2e-5
#: Standard deviations between a mean and its cautious or certain value.
CAUTION = 1.0
#: Observed ratios are cut off here, so that one stall does not decide.
LARGEST_RATIO = 10.0
#: Weight of a faster check in the estimate of the undisturbed latency.
FASTER_WEIGHT = 0.05
#: Weight of a slower check in the estimate of the undisturbed latency.
SLOWER_WEIGHT = 0.02


@frozen
class Effect:
    """Estimated slowdown that one task of a kind adds, and its variance."""

    mean: float = PRIOR_EFFECT
    variance: float = PRIOR_VARIANCE

    @property
    def cautious(self) -> float:
        """Estimate raised by its uncertainty."""
        return max(0.0, self.mean) + CAUTION * math.sqrt(self.variance)

    @property
    def certain(self) -> float:
        """Estimate lowered by its uncertainty."""
        return self.mean - CAUTION * math.sqrt(self.variance)


@frozen
class Slowdown:
    """What has been learned on one instance.

    :param effects: Effect by kind of batch work.
    :param undisturbed: Latency by kind of check with no batch work beside it.
    """

    effects: PMap = pmap()
    undisturbed: PMap = pmap()


def effect_of(learned: Slowdown, kind: str) -> Effect:
    """Return the estimate for one kind of batch work."""
    return learned.effects.get(kind, Effect())


def predict(learned: Slowdown, batch: t.Mapping[str, float]) -> float:
    """Return the expected ratio of check latency beside ``batch``.

    :param batch: Running batch tasks by kind, each weighted by its speed.
    """
    added = (max(0.0, effect_of(learned, k).mean) * n for k, n in batch.items())
    return 1.0 + sum(added)


def observe(
    learned: Slowdown, check: str, took: dt.timedelta, batch: t.Mapping[str, float]
) -> Slowdown:
    """Take in the latency of one check that ran beside ``batch``."""
    took_s = took.total_seconds()
    base_s = learned.undisturbed.get(check)
    if base_s is None:
        base_s = took_s / predict(learned, batch)
    ratio = min(took_s / base_s, LARGEST_RATIO)
    learned = evolve(
        learned,
        undisturbed=learned.undisturbed.set(
            check, _follow(base_s, took_s, bool(batch))
        ),
    )
    if not batch:
        return learned
    return evolve(learned, effects=_update(learned, ratio, batch))


def _follow(base_s: float, took_s: float, is_disturbed: bool) -> float:
    # Beside batch work only a faster check says something about the base.
    # Dividing by the prediction instead lets base and effects drift together.
    if is_disturbed and took_s >= base_s:
        return base_s
    weight = FASTER_WEIGHT if took_s < base_s else SLOWER_WEIGHT
    return base_s + weight * (took_s - base_s)


def _update(learned: Slowdown, ratio: float, batch: t.Mapping[str, float]) -> PMap:
    estimates = {kind: effect_of(learned, kind) for kind in batch}
    total = OBSERVATION_VARIANCE
    for kind, count in batch.items():
        total += count * count * estimates[kind].variance
    error = ratio - predict(learned, batch)
    effects = learned.effects
    for kind, count in batch.items():
        old = estimates[kind]
        gain = old.variance * count / total
        mean = min(max(old.mean + gain * error, -0.05), LARGEST_RATIO)
        variance = old.variance * (1 - gain * count) + DRIFT_VARIANCE
        effects = effects.set(kind, Effect(mean, variance))
    return effects

"""Estimates how much each kind of batch work slows checks on one instance.

The model explains the ratio of a check's latency to its baseline, the latency
with no concurrent batch work, as one plus the sum of the slowdowns added by the
batch tasks that ran at the same time. Each slowdown is estimated together with
its variance by a Kalman filter that ignores covariances between kinds.

Slowdowns are shares of the baseline latency: 0.1 means 10 % slower.
"""

import datetime as dt
import math
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

#: Slowdown assumed for a kind that has not been observed next to checks.
PRIOR_SLOWDOWN = 0.10
#: Variance of that assumed slowdown.
PRIOR_VARIANCE = 0.04
#: Variance of one observed latency ratio.
OBSERVATION_VARIANCE = 0.09
#: Variance added with each observation, because the behaviour of tasks changes
#: over time.
DRIFT_VARIANCE = 2e-5
#: Distance of the upper and lower bounds from the mean, in standard deviations.
BOUND_DEVIATIONS = 1.0
#: Observed ratios are capped here so that a single stall does not dominate. The
#: mean of an estimate has the same cap.
MAX_RATIO = 10.0
#: Weight of a check below the baseline in the moving average of the baseline.
FASTER_CHECK_WEIGHT = 0.05
#: Weight of a check above the baseline in the moving average of the baseline.
SLOWER_CHECK_WEIGHT = 0.02


@frozen
class SlowdownEstimate:
    """Estimated slowdown that one task of a kind adds at full speed."""

    mean: float = PRIOR_SLOWDOWN
    variance: float = PRIOR_VARIANCE

    @property
    def upper_bound(self) -> float:
        """Pessimistic estimate; the mean counts as at least 0."""
        return max(0.0, self.mean) + BOUND_DEVIATIONS * math.sqrt(self.variance)

    @property
    def lower_bound(self) -> float:
        """Optimistic estimate; negative if the mean is small for its variance."""
        return self.mean - BOUND_DEVIATIONS * math.sqrt(self.variance)


@frozen
class SlowdownModel:
    """Slowdowns and check latencies learned on one instance.

    :param estimates: :class:`SlowdownEstimate` by kind of batch work.
    :param baselines_s: Latency without concurrent batch work in seconds, by kind
        of check.
    """

    estimates: PMap = pmap()
    baselines_s: PMap = pmap()


def estimate_of(model: SlowdownModel, kind: str) -> SlowdownEstimate:
    """Return the estimate for a kind of batch work, or the prior if unobserved."""
    return model.estimates.get(kind, SlowdownEstimate())


def predict_ratio(model: SlowdownModel, batch_weights: t.Mapping[str, float]) -> float:
    """Return the expected ratio of check latency to its baseline.

    :param batch_weights: Number of concurrent batch tasks by kind, each weighted
        by its speed.
    """
    added = (
        max(0.0, estimate_of(model, kind).mean) * weight
        for kind, weight in batch_weights.items()
    )
    return 1.0 + sum(added)


def observe(
    model: SlowdownModel,
    check_kind: str,
    took: dt.timedelta,
    batch_weights: t.Mapping[str, float],
) -> SlowdownModel:
    """Return the model updated with the latency of one check.

    :param batch_weights: Batch tasks that ran at the same time, as for
        :func:`predict_ratio`.
    """
    took_s = took.total_seconds()
    baseline_s = model.baselines_s.get(check_kind)
    if baseline_s is None:
        baseline_s = took_s / predict_ratio(model, batch_weights)
    ratio = min(took_s / baseline_s, MAX_RATIO)
    model = evolve(
        model,
        baselines_s=model.baselines_s.set(
            check_kind, _update_baseline(baseline_s, took_s, bool(batch_weights))
        ),
    )
    if not batch_weights:
        return model
    return evolve(model, estimates=_update_estimates(model, ratio, batch_weights))


def _update_baseline(baseline_s: float, took_s: float, had_batch_work: bool) -> float:
    # With concurrent batch work, only a check below the baseline says anything
    # about the baseline. Dividing the latency by the predicted ratio instead
    # lets the baseline and the estimates drift together.
    if had_batch_work and took_s >= baseline_s:
        return baseline_s
    weight = FASTER_CHECK_WEIGHT if took_s < baseline_s else SLOWER_CHECK_WEIGHT
    return baseline_s + weight * (took_s - baseline_s)


def _update_estimates(
    model: SlowdownModel, ratio: float, batch_weights: t.Mapping[str, float]
) -> PMap:
    priors = {kind: estimate_of(model, kind) for kind in batch_weights}
    total_variance = OBSERVATION_VARIANCE
    for kind, weight in batch_weights.items():
        total_variance += weight * weight * priors[kind].variance
    error = ratio - predict_ratio(model, batch_weights)
    estimates = model.estimates
    for kind, weight in batch_weights.items():
        prior = priors[kind]
        gain = prior.variance * weight / total_variance
        mean = min(max(prior.mean + gain * error, -0.05), MAX_RATIO)
        variance = prior.variance * (1 - gain * weight) + DRIFT_VARIANCE
        estimates = estimates.set(kind, SlowdownEstimate(mean, variance))
    return estimates

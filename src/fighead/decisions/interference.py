"""Learns how much each image of fillers disturbs each image of serving tasks.

The tail latency of a serving task grows as ``base / (1 - pressure)``. The
pressure is its own load, which swings within seconds, plus the effects of the
fillers beside it. Effects belong to pairs of images and are learned from all
instances; loads belong to single tasks. Both are estimated together by a
Kalman filter whose covariances are left out.
"""

import datetime as dt
import math
import typing as t

from attrs import define, field

#: Load assumed of a serving task that was never observed, and its variance.
PRIOR_LOAD = 0.5
PRIOR_LOAD_VARIANCE = 0.03
#: Variance that a load gains in a second: it swings by half in 5 to 10 s.
LOAD_DRIFT = 0.006
#: Effect of a pair that was never observed, for a weight of 1.
PRIOR_EFFECT = 0.12
PRIOR_EFFECT_VARIANCE = 0.02
#: Variance that an effect gains with each observation, since behaviour shifts.
EFFECT_DRIFT = 5e-6
#: Variance of one observation of a pressure; listings tell rough figures.
OBSERVATION_VARIANCE = 0.012
#: Targets are several times the undisturbed tail; the base starts from this
#: share and falls to the least tail that was seen.
FIRST_BASE_SHARE = 1 / 6
#: Share of an instance's processors that a filler of weight 1 uses.
UNIT_SHARE = 0.125
#: Pressure from which on the tail says only that it is at least as high.
SATURATED = 0.9


@define(eq=False)
class Estimate:
    """A mean and its variance."""

    mean: float
    variance: float


@define(eq=False)
class Beside:
    """A filler beside a serving task.

    :param weight: Processor use as a share of the instance, in units.
    """

    image: str
    weight: float


@define(eq=False)
class Load:
    """Own load of one serving task."""

    estimate: Estimate
    observed_at: dt.datetime


@define(eq=False)
class Interference:
    """What has been learned.

    :param effects: By image of the serving task and image of the filler.
    :param bases: Least tail seen, by image and target.
    :param loads: By serving run.
    """

    effects: dict[tuple[str, str], Estimate] = field(factory=dict)
    bases: dict[tuple[str, int], float] = field(factory=dict)
    loads: dict[t.Hashable, Load] = field(factory=dict)


def weigh(cpu: float, capacity_cpu: int) -> float:
    """Return the weight of a filler that uses ``cpu`` millicores.

    >>> weigh(8000, 64000)
    1.0
    """
    return cpu / (capacity_cpu * UNIT_SHARE) if capacity_cpu else 0.0


def effect_of(learned: Interference, serving: str, filler: str) -> Estimate:
    """Return the estimated effect of a pair of images."""
    known = learned.effects.get((serving, filler))
    return known or Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE)


def load_of(learned: Interference, run: t.Hashable, now: dt.datetime) -> Estimate:
    """Return the estimated own load of a serving run."""
    known = learned.loads.get(run)
    if known is None:
        return Estimate(PRIOR_LOAD, PRIOR_LOAD_VARIANCE)
    age = (now - known.observed_at).total_seconds()
    variance = known.estimate.variance + LOAD_DRIFT * age
    return Estimate(known.estimate.mean, min(variance, PRIOR_LOAD_VARIANCE))


def added_pressure(
    learned: Interference, serving: str, beside: t.Iterable[Beside]
) -> float:
    """Return the pressure that fillers add to a serving image."""
    return sum(
        max(0.0, effect_of(learned, serving, each.image).mean) * each.weight
        for each in beside
    )


def limit_of(learned: Interference, image: str, target_ms: int) -> float:
    """Return the pressure at which a serving task meets its target just so."""
    base = learned.bases.get((image, target_ms), target_ms * FIRST_BASE_SHARE)
    return 1.0 - base / target_ms if target_ms else 1.0


def observe(
    learned: Interference,
    run: t.Hashable,
    image: str,
    target_ms: int,
    tail_ms: float,
    beside: t.Sequence[Beside],
    now: dt.datetime,
) -> None:
    """Take in the tail of one serving run beside fillers."""
    if tail_ms <= 0:
        return
    pressure = _pressure(learned, image, target_ms, tail_ms)
    load = load_of(learned, run, now)
    effects = [effect_of(learned, image, each.image) for each in beside]
    expected = load.mean + sum(
        effect.mean * each.weight for effect, each in zip(effects, beside, strict=True)
    )
    error = pressure - expected
    if pressure >= SATURATED and error < 0:
        error = 0.0
    total = OBSERVATION_VARIANCE + load.variance
    total += sum(
        each.weight**2 * effect.variance
        for effect, each in zip(effects, beside, strict=True)
    )
    gain = load.variance / total
    mean = min(max(load.mean + gain * error, 0.0), 1.2)
    learned.loads[run] = Load(Estimate(mean, load.variance * (1 - gain)), now)
    for effect, each in zip(effects, beside, strict=True):
        gain = effect.variance * each.weight / total
        learned.effects[image, each.image] = Estimate(
            min(max(effect.mean + gain * error, -0.05), 1.0),
            effect.variance * (1 - gain * each.weight) + EFFECT_DRIFT,
        )


def _pressure(
    learned: Interference, image: str, target_ms: int, tail_ms: float
) -> float:
    key = (image, target_ms)
    base = learned.bases.get(key, target_ms * FIRST_BASE_SHARE)
    if tail_ms < base:
        # Rough figures scatter, so the base follows them only in part.
        base = base + 0.2 * (tail_ms - base)
    learned.bases[key] = base
    return max(0.0, 1.0 - base / max(tail_ms, base))


def forget(learned: Interference, run: t.Hashable) -> None:
    """Drop the load of a run that is gone."""
    learned.loads.pop(run, None)


def deviation(estimate: Estimate) -> float:
    """Return the standard deviation of an estimate."""
    return math.sqrt(estimate.variance)

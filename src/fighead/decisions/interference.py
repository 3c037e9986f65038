"""Learns how much each image of fillers disturbs each image of serving tasks.

The tail latency of a serving task grows as ``base / (1 - pressure)``. The
pressure is its own load, which swings within seconds, plus the effects of the
fillers beside it. Effects belong to pairs of images and are learned from all
instances; a load is common to the tasks of a stage, since the same users call
them. Both are estimated together by Kalman filters: a load by its level and
slope, an effect by its mean, the covariances between them left out.
"""

import datetime as dt
import typing as t

from attrs import define, field, frozen

#: Names a stage: job, occurrence and number.
StageId = tuple[str, int, int]

#: Load assumed of a stage that was never observed, and its variance.
PRIOR_LOAD = 0.5
PRIOR_LOAD_VARIANCE = 0.03
#: Variance assumed of the slope of a load, in 1/s squared: a load that swings
#: by half in 10 to 20 s changes by up to 0.15 in a second.
PRIOR_SLOPE_VARIANCE = 0.01
#: Variance of the change of a slope within a second: for such swings.
SLOPE_DRIFT = 0.002
#: Age at which an observed load says nothing any more.
LOAD_MAX_AGE = dt.timedelta(seconds=6)
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


@frozen
class Load:
    """Own load of the tasks of a stage: level and slope with covariances.

    :param slope: Change in a second.
    """

    observed_at: dt.datetime
    level: float = PRIOR_LOAD
    slope: float = 0.0
    level_variance: float = PRIOR_LOAD_VARIANCE
    covariance: float = 0.0
    slope_variance: float = PRIOR_SLOPE_VARIANCE

    def at(self, now: dt.datetime) -> "Load":
        """Return the load as it is expected at another time."""
        if abs(now - self.observed_at) > LOAD_MAX_AGE:
            return Load(now)
        s = (now - self.observed_at).total_seconds()
        drift = SLOPE_DRIFT * abs(s)
        return Load(
            now,
            min(max(self.level + self.slope * s, 0.0), 1.0),
            self.slope,
            self.level_variance
            + 2 * s * self.covariance
            + s * s * (self.slope_variance + drift / 3),
            self.covariance + s * (self.slope_variance + drift / 2),
            self.slope_variance + drift,
        )

    def corrected(self, error: float, total: float) -> "Load":
        """Return the load after an observation.

        :param error: Observed less expected pressure.
        :param total: Variance of that difference.
        """
        gain = self.level_variance / total
        slope_gain = self.covariance / total
        return Load(
            self.observed_at,
            min(max(self.level + gain * error, 0.0), 1.0),
            self.slope + slope_gain * error,
            self.level_variance * (1 - gain),
            self.covariance * (1 - gain),
            self.slope_variance - slope_gain * self.covariance,
        )


@define(eq=False)
class Interference:
    """What has been learned.

    :param effects: By image of the serving task and image of the filler.
    :param bases: Least tail seen, by image and target.
    :param loads: By job and stage.
    """

    effects: dict[tuple[str, str], Estimate] = field(factory=dict)
    bases: dict[tuple[str, int], float] = field(factory=dict)
    loads: dict[StageId, Load] = field(factory=dict)


@frozen
class LearnedEffect:
    """One effect, as it is kept for the next scheduler."""

    serving: str
    filler: str
    mean: float
    variance: float


@frozen
class Learned:
    """What outlives a scheduler; loads are seen anew within seconds."""

    effects: tuple[LearnedEffect, ...] = ()


def keep(learned: Interference) -> Learned:
    """Return what is worth keeping."""
    return Learned(
        tuple(
            LearnedEffect(serving, filler, round(e.mean, 4), round(e.variance, 6))
            for (serving, filler), e in sorted(learned.effects.items())
        )
    )


def restore(learned: Interference, kept: Learned) -> None:
    """Take over what an earlier scheduler has learned, where nothing is known."""
    for row in kept.effects:
        pair = (row.serving, row.filler)
        learned.effects.setdefault(pair, Estimate(row.mean, row.variance))


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


def load_of(learned: Interference, stage: StageId, now: dt.datetime) -> Load:
    """Return the load of a stage as it is expected at ``now``."""
    known = learned.loads.get(stage)
    return known.at(now) if known is not None else Load(now)


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
    stage: StageId,
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
    load = load_of(learned, stage, now)
    effects = [(effect_of(learned, image, each.image), each) for each in beside]
    expected = load.level + sum(effect.mean * each.weight for effect, each in effects)
    error = pressure - expected
    if pressure >= SATURATED and error < 0:
        error = 0.0
    total = OBSERVATION_VARIANCE + load.level_variance
    total += sum(each.weight**2 * effect.variance for effect, each in effects)
    learned.loads[stage] = load.corrected(error, total)
    for effect, each in effects:
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


def forget(learned: Interference, job_id: str) -> None:
    """Drop the loads of a job that has ended."""
    for stage in [stage for stage in learned.loads if stage[0] == job_id]:
        del learned.loads[stage]

"""Learns how much the fillers of each image slow down serving tasks of each image.

The tail latency of a serving task is modelled as ``base / (1 - pressure)``. The
pressure is the task's own load, which changes within seconds, plus the effects of
the fillers on its instance. The tasks of a stage share one load, since the same
users call them. A task with fillers on its instance is therefore compared with
tasks of its stage on other instances at the same time: the difference is due to
the fillers. Effects are learned per pair of images by recursive least squares.
All fillers of one serving image are estimated together, since they usually run
mixed.
"""

import datetime as dt
import math
import typing as t

from attrs import define, field, frozen

from .filler_effects import PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE, FillerEffects
from .load_forecast import Load, LoadTracker

#: Identifies a stage: job ID, occurrence and stage number.
StageId = tuple[str, int, int]

#: Largest variance at which an effect counts as known.
MAX_KNOWN_VARIANCE = 0.001
#: Variance of one observed pressure; the figures in listings are imprecise.
OBSERVATION_VARIANCE = 0.005
#: Shortest time between two observations of a stage on an instance: a listing
#: reports the tail of the last half second.
MIN_OBSERVATION_INTERVAL = dt.timedelta(milliseconds=400)
#: Observations up to this age are compared with a new one: listings come once a
#: second.
OBSERVATION_MAX_AGE = dt.timedelta(milliseconds=1200)
#: Initial base latency as a share of the target; targets are several times the
#: undisturbed tail. The base then falls towards the lowest tail observed.
INITIAL_BASE_SHARE = 1 / 6
#: Share of an instance's processors that a filler of weight 1 uses.
UNIT_SHARE = 0.125
#: From this pressure on, a tail only gives a lower bound of the pressure.
SATURATION_PRESSURE = 0.9
#: Effect at weight 1 up to which a serving image tolerates a filler. Fillers on half
#: of an instance then use up a third of the usual distance to a target.
TOLERABLE_EFFECT = 0.075
#: A serving image that tolerates at least this share of the filler images counts as
#: tolerating nearly all of them.
TOLERANT_SHARE = 0.85
#: Two serving images are similarly sensitive if, at weight 1, each filler's effects on
#: them differ by at most this much, and at least this many fillers are known for both.
MAX_SIMILAR_DIFFERENCE = 0.08
MIN_COMPARED_FILLERS = 3


@define(eq=False)
class Estimate:
    """Mean and variance of an estimated effect at weight 1."""

    mean: float
    variance: float


@define(eq=False)
class FillerUse:
    """Processor use of a filler on the instance of a serving task.

    :param weight: Share of the instance's processors, in units of
        :data:`UNIT_SHARE`.
    """

    image: str
    weight: float


@frozen
class Observation:
    """Mean pressure on the tasks of a stage on one instance.

    :param weights: Total weight of the fillers on the instance, by image.
    """

    at: dt.datetime
    pressure: float
    weights: dict[str, float]


@define(eq=False)
class Interference:
    """Everything learned about interference.

    :param effects: By image of the serving task.
    :param bases: Base latency in ms, by image and target in ms.
    :param loads: Load of each stage without fillers, and its forecast.
    :param observations: Latest observation by stage and instance ID.
    """

    effects: dict[str, FillerEffects] = field(factory=dict)
    bases: dict[tuple[str, int], float] = field(factory=dict)
    loads: LoadTracker = field(factory=LoadTracker)
    observations: dict[StageId, dict[str, Observation]] = field(factory=dict)

    def filler_images(self) -> set[str]:
        """Return the filler images with an effect learned on any serving image."""
        return {filler for found in self.effects.values() for filler in found.means}


@frozen
class LearnedEffect:
    """Effect of a filler image on a serving image, as stored for a successor."""

    serving: str
    filler: str
    mean: float
    variance: float


@frozen
class Learned:
    """What a scheduler stores for its successor.

    Loads aren't stored, since they are observed again within seconds.
    """

    effects: tuple[LearnedEffect, ...] = ()


def export_effects(learned: Interference) -> Learned:
    """Return the learned effects in a form to store, sorted and rounded."""
    return Learned(
        tuple(
            LearnedEffect(
                serving,
                filler,
                round(mean, 4),
                round(found.covariances[filler][filler], 6),
            )
            for serving, found in sorted(learned.effects.items())
            for filler, mean in sorted(found.means.items())
        )
    )


def import_effects(learned: Interference, stored: Learned) -> None:
    """Add the effects stored by an earlier scheduler; known ones aren't replaced.

    One that is no finite number would spoil all that is learned after it.
    """
    for row in stored.effects:
        if not (math.isfinite(row.mean) and math.isfinite(row.variance)):
            continue
        found = learned.effects.setdefault(row.serving, FillerEffects())
        found.add_filler(row.filler, row.mean, row.variance)


def weight_of(cpu: float, capacity_cpu: int) -> float:
    """Return the weight of a filler that uses ``cpu`` millicores.

    >>> weight_of(8000, 64000)
    1.0
    """
    return cpu / (capacity_cpu * UNIT_SHARE) if capacity_cpu else 0.0


def effect_of(learned: Interference, serving: str, filler: str) -> Estimate:
    """Return the effect of a filler image on a serving image, or the prior."""
    found = learned.effects.get(serving)
    if found is None or filler not in found.means:
        return Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE)
    return Estimate(found.means[filler], found.covariances[filler][filler])


def mean_effect_of(learned: Interference, serving: str, filler: str) -> float:
    """Return the mean effect of a filler image on a serving image, or the prior's."""
    found = learned.effects.get(serving)
    return PRIOR_EFFECT if found is None else found.means.get(filler, PRIOR_EFFECT)


def tolerance_of(learned: Interference, serving: t.Collection[str]) -> float:
    """Return the share of filler images that all the serving images tolerate.

    Returns 1 if there are no serving images, or no filler is known.
    """
    fillers = learned.filler_images()
    if not serving or not fillers:
        return 1.0
    tolerated = sum(
        all(mean_effect_of(learned, s, f) <= TOLERABLE_EFFECT for s in serving)
        for f in fillers
    )
    return tolerated / len(fillers)


def has_known_effects(learned: Interference, serving: str) -> bool:
    """Whether enough effects on a serving image are known to compare it."""
    found = learned.effects.get(serving)
    if found is None:
        return False
    known = sum(found.covariances[f][f] <= MAX_KNOWN_VARIANCE for f in found.means)
    return known >= MIN_COMPARED_FILLERS


def tolerates_most(learned: Interference, serving: str) -> bool:
    """Whether a serving image is known to tolerate nearly all filler images."""
    return (
        has_known_effects(learned, serving)
        and tolerance_of(learned, (serving,)) >= TOLERANT_SHARE
    )


def are_similarly_sensitive(learned: Interference, one: str, other: str) -> bool:
    """Whether two serving images are known to be sensitive to the same fillers."""
    if one == other:
        return True
    compared = 0
    for filler in learned.filler_images():
        a, b = (effect_of(learned, image, filler) for image in (one, other))
        if max(a.variance, b.variance) > MAX_KNOWN_VARIANCE:
            continue
        if abs(a.mean - b.mean) > MAX_SIMILAR_DIFFERENCE:
            return False
        compared += 1
    return compared >= MIN_COMPARED_FILLERS


def load_of(learned: Interference, stage: StageId, at: dt.datetime) -> Load:
    """Return the load forecast for a stage ``at`` a time."""
    return learned.loads.forecast(stage, at)


def added_pressure(
    learned: Interference, serving: str, filler_use: t.Iterable[FillerUse]
) -> float:
    """Return the pressure that fillers add to a task of a serving image."""
    return sum(
        max(0.0, mean_effect_of(learned, serving, use.image)) * use.weight
        for use in filler_use
    )


def pressure_limit_of(learned: Interference, image: str, target_ms: int) -> float:
    """Return the highest pressure at which a serving task meets its target."""
    base = learned.bases.get((image, target_ms), target_ms * INITIAL_BASE_SHARE)
    return 1.0 - base / target_ms if target_ms else 1.0


def observe_tails(
    learned: Interference,
    stage: StageId,
    instance_id: str,
    image: str,
    target_ms: int,
    tails_ms: t.Sequence[float],
    filler_use: t.Sequence[FillerUse],
    now: dt.datetime,
) -> None:
    """Learn from the tail latencies of a stage's tasks on one instance.

    Ignored if the last observation of the stage there is too recent.
    """
    observations = learned.observations.setdefault(stage, {})
    last = observations.get(instance_id)
    if last is not None and now - last.at < MIN_OBSERVATION_INTERVAL:
        return
    pressures = [
        _observe_pressure(learned, image, target_ms, tail) for tail in tails_ms
    ]
    weights: dict[str, float] = {}
    for use in filler_use:
        weights[use.image] = weights.get(use.image, 0.0) + use.weight
    observation = Observation(now, sum(pressures) / len(pressures), weights)
    effects = learned.effects.setdefault(image, FillerEffects())
    load = load_of(learned, stage, now)
    others = [
        other
        for name, other in observations.items()
        if name != instance_id and now - other.at <= OBSERVATION_MAX_AGE
    ]
    _learn_effects(effects, observation, others, load)
    learned.loads.update(stage, _correct_load(effects, observation, load))
    observations[instance_id] = observation


def _learn_effects(
    effects: FillerEffects,
    observation: Observation,
    others: list[Observation],
    load: Load,
) -> None:
    """Learn from the difference to other instances, or else to the forecast load."""
    if others:
        count = len(others)
        baseline = sum(
            other.pressure + load.slope * (observation.at - other.at).total_seconds()
            for other in others
        )
        baseline /= count
        variance = OBSERVATION_VARIANCE * (1 + 1 / count)
    else:
        count, baseline = 1, load.level
        variance = OBSERVATION_VARIANCE + load.level_variance
    relative_weights = dict(observation.weights)
    for other in others:
        for filler, weight in other.weights.items():
            relative_weights[filler] = (
                relative_weights.get(filler, 0.0) - weight / count
            )
    relative_weights = {f: w for f, w in relative_weights.items() if w}
    added = observation.pressure - baseline
    error = added - effects.predict(relative_weights)
    # A saturated pressure is a lower bound: the true one may explain the error.
    is_saturated = observation.pressure >= SATURATION_PRESSURE and error < 0
    is_baseline_saturated = baseline >= SATURATION_PRESSURE and error > 0
    if relative_weights and not is_saturated and not is_baseline_saturated:
        effects.update(relative_weights, added, variance)


def _correct_load(effects: FillerEffects, observation: Observation, load: Load) -> Load:
    error = observation.pressure - effects.predict(observation.weights) - load.level
    if observation.pressure >= SATURATION_PRESSURE and error < 0:
        return load
    effects_variance = effects.prediction_variance(observation.weights)
    return load.corrected(
        error, OBSERVATION_VARIANCE + effects_variance + load.level_variance
    )


def _observe_pressure(
    learned: Interference, image: str, target_ms: int, tail_ms: float
) -> float:
    """Return the pressure that a tail implies, and lower the base latency to it."""
    key = (image, target_ms)
    base = learned.bases.get(key, target_ms * INITIAL_BASE_SHARE)
    if tail_ms < base:
        # Listed tails are imprecise, so the base follows them only in part.
        base = base + 0.2 * (tail_ms - base)
    learned.bases[key] = base
    return max(0.0, 1.0 - base / max(tail_ms, base))


def remove_job(learned: Interference, job_id: str) -> None:
    """Drop the loads and observations of a job that has ended; effects stay."""
    for stage in [stage for stage in learned.observations if stage[0] == job_id]:
        del learned.observations[stage]
        learned.loads.remove(stage)

"""Learns how much each image of fillers disturbs each image of serving tasks.

The tail latency of a serving task grows as ``base / (1 - pressure)``. The
pressure is its own load, which swings within seconds, plus the effects of the
fillers beside it. A load is common to the tasks of a stage, since the same
users call them, so a task with fillers beside it is compared with the others
of its stage at the same time: what differs is the fillers' doing. Effects
belong to pairs of images and are learned by recursive least squares, all
fillers of a serving image together, since they usually come mixed.
"""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from .effects import PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE, Effects
from .swing import Load, Loads

#: Names a stage: job, occurrence and number.
StageId = tuple[str, int, int]

#: Variance from which down an effect counts as known.
KNOWN_VARIANCE = 0.001
#: Variance of one observation of a pressure; listings tell rough figures.
OBSERVATION_VARIANCE = 0.005
#: Least time between two observations of a stage on an instance: tails are told
#: for the last half second.
OBSERVATION_PAUSE = dt.timedelta(milliseconds=400)
#: Age up to which two observations can be compared: listings come once a second.
SIGHTING_MAX_AGE = dt.timedelta(milliseconds=1200)
#: Targets are several times the undisturbed tail; the base starts from this
#: share and falls to the least tail that was seen.
FIRST_BASE_SHARE = 1 / 6
#: Share of an instance's processors that a filler of weight 1 uses.
UNIT_SHARE = 0.125
#: Pressure from which on the tail says only that it is at least as high.
SATURATED = 0.9
#: Effect, for a weight of 1, up to which an image bears a filler: fillers on half
#: of an instance then add a third of the usual distance to a target.
TOLERABLE_EFFECT = 0.075
#: Share of the fillers' images from which on an image bears nearly all.
ROBUST_SHARE = 0.85
#: Effects of a filler on two serving images that differ by less are alike, and
#: the number of fillers that have to be known to compare images by.
ALIKE_DIFFERENCE = 0.08
LEAST_COMPARED = 3


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
class Sighting:
    """The pressure on the tasks of a stage on one instance.

    :param weights: Weights of the fillers beside them, by image.
    """

    at: dt.datetime
    pressure: float
    weights: dict[str, float]


@define(eq=False)
class Interference:
    """What has been learned.

    :param effects: By image of the serving task.
    :param bases: Least tail seen, by image and target.
    :param loads: By job and stage.
    :param sightings: Latest ones, by stage and instance.
    """

    effects: dict[str, Effects] = field(factory=dict)
    bases: dict[tuple[str, int], float] = field(factory=dict)
    loads: Loads = field(factory=Loads)
    sightings: dict[StageId, dict[str, Sighting]] = field(factory=dict)

    def filler_images(self) -> set[str]:
        """Return the images of fillers of which an effect was learned."""
        return {filler for found in self.effects.values() for filler in found.means}


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


def restore(learned: Interference, kept: Learned) -> None:
    """Take over what an earlier scheduler has learned, where nothing is known."""
    for row in kept.effects:
        found = learned.effects.setdefault(row.serving, Effects())
        found.add(row.filler, row.mean, row.variance)


def weigh(cpu: float, capacity_cpu: int) -> float:
    """Return the weight of a filler that uses ``cpu`` millicores.

    >>> weigh(8000, 64000)
    1.0
    """
    return cpu / (capacity_cpu * UNIT_SHARE) if capacity_cpu else 0.0


def effect_of(learned: Interference, serving: str, filler: str) -> Estimate:
    """Return the estimated effect of a pair of images."""
    found = learned.effects.get(serving)
    if found is None or filler not in found.means:
        return Estimate(PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE)
    return Estimate(found.means[filler], found.covariances[filler][filler])


def tolerance(learned: Interference, serving: t.Collection[str]) -> float:
    """Return the share of the fillers' images that serving images bear together.

    Where nothing serves, or no filler is known, all are borne.
    """
    fillers = learned.filler_images()
    if not serving or not fillers:
        return 1.0
    borne = sum(
        all(effect_of(learned, s, f).mean <= TOLERABLE_EFFECT for s in serving)
        for f in fillers
    )
    return borne / len(fillers)


def is_known(learned: Interference, serving: str) -> bool:
    """Whether the effects of several fillers on a serving image are known."""
    found = learned.effects.get(serving)
    if found is None:
        return False
    known = sum(found.covariances[f][f] <= KNOWN_VARIANCE for f in found.means)
    return known >= LEAST_COMPARED


def bears_most(learned: Interference, serving: str) -> bool:
    """Whether a serving image is known to bear nearly all fillers."""
    return is_known(learned, serving) and tolerance(learned, (serving,)) >= ROBUST_SHARE


def are_alike(learned: Interference, one: str, other: str) -> bool:
    """Whether two serving images are known to be disturbed by the same fillers."""
    if one == other:
        return True
    compared = 0
    for filler in learned.filler_images():
        a, b = (effect_of(learned, image, filler) for image in (one, other))
        if max(a.variance, b.variance) > KNOWN_VARIANCE:
            continue
        if abs(a.mean - b.mean) > ALIKE_DIFFERENCE:
            return False
        compared += 1
    return compared >= LEAST_COMPARED


def load_of(learned: Interference, stage: StageId, now: dt.datetime) -> Load:
    """Return the load of a stage as it is expected at ``now``."""
    return learned.loads.expect(stage, now)


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
    instance_id: str,
    image: str,
    target_ms: int,
    tails_ms: t.Sequence[float],
    beside: t.Sequence[Beside],
    now: dt.datetime,
) -> None:
    """Take in the tails of the tasks of a stage on one instance."""
    sightings = learned.sightings.setdefault(stage, {})
    last = sightings.get(instance_id)
    if last is not None and now - last.at < OBSERVATION_PAUSE:
        return
    pressures = [_pressure(learned, image, target_ms, tail) for tail in tails_ms]
    weights: dict[str, float] = {}
    for each in beside:
        weights[each.image] = weights.get(each.image, 0.0) + each.weight
    sighting = Sighting(now, sum(pressures) / len(pressures), weights)
    effects = learned.effects.setdefault(image, Effects())
    load = load_of(learned, stage, now)
    others = [
        each
        for name, each in sightings.items()
        if name != instance_id and now - each.at <= SIGHTING_MAX_AGE
    ]
    _learn_effects(effects, sighting, others, load)
    learned.loads.learn(stage, _learn_load(effects, sighting, load))
    sightings[instance_id] = sighting


def _learn_effects(
    effects: Effects, sighting: Sighting, others: list[Sighting], load: Load
) -> None:
    """Compare a sighting with the rest of its stage, or with the expected load."""
    if others:
        count = len(others)
        usual = sum(
            each.pressure + load.slope * (sighting.at - each.at).total_seconds()
            for each in others
        )
        usual /= count
        variance = OBSERVATION_VARIANCE * (1 + 1 / count)
    else:
        count, usual = 1, load.level
        variance = OBSERVATION_VARIANCE + load.level_variance
    difference = dict(sighting.weights)
    for each in others:
        for filler, weight in each.weights.items():
            difference[filler] = difference.get(filler, 0.0) - weight / count
    difference = {f: w for f, w in difference.items() if w}
    seen = sighting.pressure - usual
    error = seen - effects.expect(difference)
    is_capped = sighting.pressure >= SATURATED and error < 0
    is_usual_capped = usual >= SATURATED and error > 0
    if difference and not is_capped and not is_usual_capped:
        effects.learn(difference, seen, variance)


def _learn_load(effects: Effects, sighting: Sighting, load: Load) -> Load:
    error = sighting.pressure - effects.expect(sighting.weights) - load.level
    if sighting.pressure >= SATURATED and error < 0:
        return load
    doubt = effects.doubt(sighting.weights)
    return load.corrected(error, OBSERVATION_VARIANCE + doubt + load.level_variance)


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
    for stage in [stage for stage in learned.sightings if stage[0] == job_id]:
        del learned.sightings[stage]
        learned.loads.forget(stage)

"""Estimates of how much filler images slow a serving image.

Recursive least squares over mixtures of fillers. Fillers usually run together, so
the covariances of their effects are kept: they divide the error of a mixture among
its fillers according to the other mixtures observed.
"""

import math

from attrs import define, field

#: Mean and variance of the effect, as pressure for a weight of 1, of a filler that
#: has not yet been observed with the serving image.
PRIOR_EFFECT = 0.06
PRIOR_EFFECT_VARIANCE = 0.006
#: Variance added to an effect with each observation, since effects change over time.
EFFECT_DRIFT_VARIANCE = 1e-6
#: Standard deviations of error above which an observation is given less weight,
#: since causes other than fillers slow tasks too.
OUTLIER_DEVIATIONS = 3.0
#: Minimum and maximum of an estimated mean effect, as pressure for a weight of 1.
EFFECT_BOUNDS = (-0.02, 1.0)
#: Number of filler images estimated for one serving image. Others keep the prior,
#: since the covariance matrix grows with the square of the number.
MAX_FILLER_IMAGES = 32


@define(eq=False)
class FillerEffects:
    """Estimated effects of all filler images on one serving image.

    An effect is the pressure that a filler of weight 1 adds; for pressure, see
    :mod:`fighead.decisions.interference`.

    :param means: Mean effect by filler image.
    :param covariances: Rows of the symmetric covariance matrix, by filler image.
    """

    means: dict[str, float] = field(factory=dict)
    covariances: dict[str, dict[str, float]] = field(factory=dict)

    def add_filler(self, filler: str, mean: float, variance: float) -> None:
        """Add a filler image, uncorrelated with the others.

        Does nothing if it is known or :data:`MAX_FILLER_IMAGES` are known.

        :param mean: Effect for a weight of 1.
        """
        if filler in self.means or len(self.means) >= MAX_FILLER_IMAGES:
            return
        for row in self.covariances.values():
            row[filler] = 0.0
        self.means[filler] = mean
        self.covariances[filler] = dict.fromkeys(self.means, 0.0)
        self.covariances[filler][filler] = variance

    def predict(self, weights: dict[str, float]) -> float:
        """Return the mean pressure that fillers add.

        :param weights: Total weight by filler image.
        """
        means = self.means
        return sum(means.get(f, PRIOR_EFFECT) * w for f, w in weights.items())

    def prediction_variance(self, weights: dict[str, float]) -> float:
        """Return the variance of the pressure that fillers add.

        Filler images that are not known add nothing to it.

        :param weights: Total weight by filler image.
        """
        covariances = self._covariances_with(weights)
        return sum(covariances.get(f, 0.0) * w for f, w in weights.items())

    def _covariances_with(self, weights: dict[str, float]) -> dict[str, float]:
        """Return the covariance of each known effect with that of the mixture."""
        return {
            filler: sum(row.get(f, 0.0) * w for f, w in weights.items())
            for filler, row in self.covariances.items()
        }

    def update(
        self, weights: dict[str, float], observed: float, variance: float
    ) -> None:
        """Update the estimates from one observation.

        :param weights: Weight by filler image. Negative for a difference between
            two mixtures.
        :param observed: Pressure that these weights added.
        :param variance: Variance of ``observed``.
        """
        for filler in weights:
            self.add_filler(filler, PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE)
        covariances = self._covariances_with(weights)
        error = observed - self.predict(weights)
        total_variance = variance + sum(
            covariances.get(f, 0.0) * w for f, w in weights.items()
        )
        excess = abs(error) / (OUTLIER_DEVIATIONS * math.sqrt(total_variance))
        total_variance += variance * max(0.0, excess - 1.0)
        lowest, highest = EFFECT_BOUNDS
        for filler, covariance in covariances.items():
            mean = self.means[filler] + covariance * error / total_variance
            self.means[filler] = min(max(mean, lowest), highest)
            row = self.covariances[filler]
            for other, other_covariance in covariances.items():
                row[other] -= covariance * other_covariance / total_variance
        for filler in weights:
            if filler in self.covariances:
                self.covariances[filler][filler] += EFFECT_DRIFT_VARIANCE

"""The effects of several causes on one figure, by recursive least squares.

The causes mostly come mixed, so their covariances are kept: what is learned of
a mixture is divided as the other mixtures suggest.
"""

import math

from attrs import define, field

#: Effect of a pair that was never observed, for a weight of 1.
PRIOR_EFFECT = 0.06
PRIOR_EFFECT_VARIANCE = 0.006
#: Variance that an effect gains with each observation, since behaviour shifts.
EFFECT_DRIFT = 1e-6
#: Deviations beyond which an observation counts less: other things slow tasks too.
OUTLIER = 3.0
#: Least and greatest effect that is believed, for a weight of 1.
EFFECT_BOUNDS = (-0.02, 1.0)
#: Most images of fillers that are told apart beside one serving image; the
#: covariances between them grow with the square.
MAX_FILLER_IMAGES = 32


@define(eq=False)
class Effects:
    """Effects of all fillers on one serving image.

    :param means: By image of the filler, for a weight of 1.
    :param covariances: Rows of the symmetric matrix of their covariances.
    """

    means: dict[str, float] = field(factory=dict)
    covariances: dict[str, dict[str, float]] = field(factory=dict)

    def add(self, filler: str, mean: float, variance: float) -> None:
        """Take in an image of fillers that was not seen before."""
        if filler in self.means or len(self.means) >= MAX_FILLER_IMAGES:
            return
        for row in self.covariances.values():
            row[filler] = 0.0
        self.means[filler] = mean
        self.covariances[filler] = dict.fromkeys(self.means, 0.0)
        self.covariances[filler][filler] = variance

    def expect(self, weights: dict[str, float]) -> float:
        """Return the pressure that fillers add."""
        known = self.means
        return sum(known.get(f, PRIOR_EFFECT) * w for f, w in weights.items())

    def doubt(self, weights: dict[str, float]) -> float:
        """Return the variance of the pressure that fillers add."""
        spread = self._spread(weights)
        return sum(spread.get(f, 0.0) * w for f, w in weights.items())

    def _spread(self, weights: dict[str, float]) -> dict[str, float]:
        return {
            filler: sum(row.get(f, 0.0) * w for f, w in weights.items())
            for filler, row in self.covariances.items()
        }

    def learn(self, weights: dict[str, float], seen: float, variance: float) -> None:
        """Take in the pressure that weights of fillers were seen to add."""
        for filler in weights:
            self.add(filler, PRIOR_EFFECT, PRIOR_EFFECT_VARIANCE)
        spread = self._spread(weights)
        error = seen - self.expect(weights)
        total = variance + sum(spread.get(f, 0.0) * w for f, w in weights.items())
        excess = abs(error) / (OUTLIER * math.sqrt(total))
        total += variance * max(0.0, excess - 1.0)
        least, most = EFFECT_BOUNDS
        for filler, share in spread.items():
            mean = self.means[filler] + share * error / total
            self.means[filler] = min(max(mean, least), most)
            row = self.covariances[filler]
            for other, its_share in spread.items():
                row[other] -= share * its_share / total
        for filler in weights:
            if filler in self.covariances:
                self.covariances[filler][filler] += EFFECT_DRIFT

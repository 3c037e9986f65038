"""How the load of serving tasks swings, and what it will be in a moment.

Users come and go in waves. A load is estimated by its level and slope, and taken
to go on around the mean of all loads like a pendulum, whose period is learned
from the times at which loads rise above the mean.
"""

import datetime as dt
import math
import typing as t

from attrs import define, evolve, field, frozen

#: Load assumed of a stage that was never observed, and its variance.
PRIOR_LOAD = 0.5
PRIOR_LOAD_VARIANCE = 0.03
#: Time assumed between two peaks of a load until some were seen, and the bounds
#: within which it is believed: loads change within seconds.
PRIOR_PERIOD_S = 10.0
PERIOD_BOUNDS_S = (3.0, 60.0)
#: Weight of one seen period, and of one observation in the mean of loads.
PERIOD_WEIGHT = 0.05
MEAN_WEIGHT = 0.002
#: Distance from the mean that a load has to have had on one side before its
#: next crossing counts.
CROSSING_DEPTH = 0.08
#: Variance assumed of the slope of a load, in 1/s squared: a load that swings
#: by half in 10 to 20 s changes by up to 0.15 in a second.
PRIOR_SLOPE_VARIANCE = 0.01
#: Variance of the change of a slope within a second: for such swings.
SLOPE_DRIFT = 0.004
#: Age at which an observed load says nothing any more.
LOAD_MAX_AGE = dt.timedelta(seconds=6)


@frozen
class Swing:
    """How loads swing around their mean.

    :param period_s: Time from one peak to the next.
    """

    mean: float = PRIOR_LOAD
    period_s: float = PRIOR_PERIOD_S

    @property
    def rate(self) -> float:
        """Angular frequency in 1/s."""
        return 2 * math.pi / self.period_s


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

    def at(self, now: dt.datetime, swing: Swing) -> "Load":
        """Return the load as it is expected at another time.

        It is taken to go on swinging around its mean like a pendulum.
        """
        s = (now - self.observed_at).total_seconds()
        if abs(s) > LOAD_MAX_AGE.total_seconds():
            return Load(now, swing.mean)
        rate = swing.rate
        kept, lent = math.cos(rate * s), math.sin(rate * s) / rate
        pull = -rate * math.sin(rate * s)
        off = self.level - swing.mean
        a, b, d = self.level_variance, self.covariance, self.slope_variance
        drift = SLOPE_DRIFT * abs(s)
        return Load(
            now,
            min(max(swing.mean + kept * off + lent * self.slope, 0.0), 1.0),
            pull * off + kept * self.slope,
            kept * kept * a + 2 * kept * lent * b + lent * lent * (d + drift / 3),
            kept * pull * a
            + (kept * kept + lent * pull) * b
            + lent * kept * (d + drift / 2),
            pull * pull * a + 2 * pull * kept * b + kept * kept * d + drift,
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


@frozen
class Rise:
    """When a load last rose above the mean.

    :param was_low: Whether it has been well below the mean since.
    """

    at: dt.datetime | None = None
    was_low: bool = False


@define(eq=False)
class Loads:
    """Loads by a key that the caller chooses, and how they swing.

    :param rises: When loads last rose above the mean.
    """

    swing: Swing = Swing()
    known: dict[t.Hashable, Load] = field(factory=dict)
    rises: dict[t.Hashable, Rise] = field(factory=dict)

    def expect(self, key: t.Hashable, at: dt.datetime) -> Load:
        """Return a load as it is expected at a time."""
        known = self.known.get(key)
        return Load(at, self.swing.mean) if known is None else known.at(at, self.swing)

    def learn(self, key: t.Hashable, load: Load) -> None:
        """Take in a corrected load, the mean of all, and times between rises."""
        self.known[key] = load
        swing, level = self.swing, load.level
        mean = swing.mean + MEAN_WEIGHT * (level - swing.mean)
        period_s = swing.period_s
        rise = self.rises.get(key, Rise())
        if level < mean - CROSSING_DEPTH and not rise.was_low:
            self.rises[key] = evolve(rise, was_low=True)
        elif level > mean and rise.was_low:
            self.rises[key] = Rise(load.observed_at)
            if rise.at is not None:
                least, most = PERIOD_BOUNDS_S
                seen_s = (load.observed_at - rise.at).total_seconds()
                seen_s = min(max(seen_s, least), most)
                period_s += PERIOD_WEIGHT * (seen_s - period_s)
        self.swing = Swing(mean, period_s)

    def forget(self, key: t.Hashable) -> None:
        """Drop a load that is no more."""
        self.known.pop(key, None)
        self.rises.pop(key, None)

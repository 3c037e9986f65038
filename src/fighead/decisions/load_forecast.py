"""Forecasts the load of serving tasks a few seconds ahead.

User traffic comes in waves. Each load is tracked by its level and slope, and
forecast as a harmonic oscillation around the mean of all loads. The period is
learned from the times at which loads rise above the mean.
"""

import datetime as dt
import math
import typing as t

from attrs import define, evolve, field, frozen

#: Load assumed for a stage without observations, and its variance.
PRIOR_LOAD = 0.5
PRIOR_LOAD_VARIANCE = 0.03
#: Period assumed until one has been observed, and the range to which observed
#: periods are clamped: loads change within seconds.
PRIOR_PERIOD_S = 10.0
PERIOD_BOUNDS_S = (3.0, 60.0)
#: Weights of one new value in the moving averages of the period and of the mean.
PERIOD_WEIGHT = 0.05
MEAN_WEIGHT = 0.002
#: A load must have been this far below the mean before its next rise above the
#: mean counts as a crossing.
CROSSING_DEPTH = 0.08
#: Variance assumed for the slope of a load, in 1/s²: a load with a peak-to-peak
#: amplitude of 0.5 and a period of 10 to 20 s changes by up to 0.15 per second.
PRIOR_SLOPE_VARIANCE = 0.01
#: Growth of the slope's variance per second, for such oscillations.
SLOPE_DRIFT = 0.004
#: Beyond this age, an observed load has no influence on the forecast.
LOAD_MAX_AGE = dt.timedelta(seconds=6)


@frozen
class Oscillation:
    """The oscillation of all loads around their common mean.

    :param period_s: Time from one peak to the next.
    """

    mean: float = PRIOR_LOAD
    period_s: float = PRIOR_PERIOD_S

    @property
    def angular_frequency(self) -> float:
        """Angular frequency in radians per second."""
        return 2 * math.pi / self.period_s


@frozen
class Load:
    """Estimated load of a stage's tasks, without the pressure of fillers.

    :param level: Pressure that the load causes, from 0 to 1.
    :param slope: Change of the level per second.
    :param covariance: Covariance of level and slope.
    """

    observed_at: dt.datetime
    level: float = PRIOR_LOAD
    slope: float = 0.0
    level_variance: float = PRIOR_LOAD_VARIANCE
    covariance: float = 0.0
    slope_variance: float = PRIOR_SLOPE_VARIANCE

    def forecast(self, at: dt.datetime, oscillation: Oscillation) -> "Load":
        """Return the load expected ``at`` another time, with its covariances.

        Returns the prior around the mean if the load is older than
        :data:`LOAD_MAX_AGE` by then.
        """
        s = (at - self.observed_at).total_seconds()
        if abs(s) > LOAD_MAX_AGE.total_seconds():
            return Load(at, oscillation.mean)
        # The transition matrix is [[cos, slope_to_level], [level_to_slope, cos]].
        omega = oscillation.angular_frequency
        cos, slope_to_level = math.cos(omega * s), math.sin(omega * s) / omega
        level_to_slope = -omega * math.sin(omega * s)
        offset = self.level - oscillation.mean
        a, b, d = self.level_variance, self.covariance, self.slope_variance
        drift = SLOPE_DRIFT * abs(s)
        return Load(
            at,
            min(
                max(oscillation.mean + cos * offset + slope_to_level * self.slope, 0.0),
                1.0,
            ),
            level_to_slope * offset + cos * self.slope,
            cos * cos * a
            + 2 * cos * slope_to_level * b
            + slope_to_level * slope_to_level * (d + drift / 3),
            cos * level_to_slope * a
            + (cos * cos + slope_to_level * level_to_slope) * b
            + slope_to_level * cos * (d + drift / 2),
            level_to_slope * level_to_slope * a
            + 2 * level_to_slope * cos * b
            + cos * cos * d
            + drift,
        )

    def corrected(self, error: float, total_variance: float) -> "Load":
        """Return the load after a Kalman update with one observation.

        :param error: Observed minus expected pressure.
        :param total_variance: Variance of the error.
        """
        gain = self.level_variance / total_variance
        slope_gain = self.covariance / total_variance
        return Load(
            self.observed_at,
            min(max(self.level + gain * error, 0.0), 1.0),
            self.slope + slope_gain * error,
            self.level_variance * (1 - gain),
            self.covariance * (1 - gain),
            self.slope_variance - slope_gain * self.covariance,
        )


@frozen
class UpwardCrossing:
    """When a load last rose above the mean.

    :param at: ``None`` until the first crossing.
    :param was_low: Whether it has been :data:`CROSSING_DEPTH` below the mean since.
    """

    at: dt.datetime | None = None
    was_low: bool = False


@define(eq=False)
class LoadTracker:
    """Latest load by key, and the oscillation that the loads share.

    :param latest: Load as of its last observation.
    :param crossings: Last rise of each load above the mean.
    """

    oscillation: Oscillation = Oscillation()
    latest: dict[t.Hashable, Load] = field(factory=dict)
    crossings: dict[t.Hashable, UpwardCrossing] = field(factory=dict)

    def forecast(self, key: t.Hashable, at: dt.datetime) -> Load:
        """Return the load expected ``at`` a time; the prior for an unknown key."""
        load = self.latest.get(key)
        return (
            Load(at, self.oscillation.mean)
            if load is None
            else load.forecast(at, self.oscillation)
        )

    def update(self, key: t.Hashable, load: Load) -> None:
        """Store a corrected load, and adjust the common mean and period to it."""
        self.latest[key] = load
        oscillation, level = self.oscillation, load.level
        mean = oscillation.mean + MEAN_WEIGHT * (level - oscillation.mean)
        period_s = oscillation.period_s
        crossing = self.crossings.get(key, UpwardCrossing())
        if level < mean - CROSSING_DEPTH and not crossing.was_low:
            self.crossings[key] = evolve(crossing, was_low=True)
        elif level > mean and crossing.was_low:
            self.crossings[key] = UpwardCrossing(load.observed_at)
            if crossing.at is not None:
                shortest_s, longest_s = PERIOD_BOUNDS_S
                observed_s = (load.observed_at - crossing.at).total_seconds()
                observed_s = min(max(observed_s, shortest_s), longest_s)
                period_s += PERIOD_WEIGHT * (observed_s - period_s)
        self.oscillation = Oscillation(mean, period_s)

    def remove(self, key: t.Hashable) -> None:
        """Remove a load; an unknown key is ignored."""
        self.latest.pop(key, None)
        self.crossings.pop(key, None)

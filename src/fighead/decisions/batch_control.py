"""Controls how much batch work may run beside checks on one instance.

The controller uses the check latency measured by the instance's owner, because
that is up to date. It escalates one level at a time: stop placing batch tasks,
throttle noisy ones, evict watches. It waits between steps in both directions, so
that a short burst of noisy tasks doesn't lead to a burst of evictions.
"""

import datetime as dt
import enum
import typing as t

from attrs import evolve, frozen

#: Ratio of check latency to baseline latency (the latency without concurrent batch
#: work) above which the level rises.
HIGH_LATENCY_RATIO = 1.25
#: Latency ratio below which the level may fall.
LOW_LATENCY_RATIO = 1.1
#: Minimum time between two increases of the level.
STEP_INTERVAL = dt.timedelta(seconds=1)
#: Time for which the latency ratio must stay low before the level falls by one.
RECOVERY_INTERVAL = dt.timedelta(seconds=5)
#: Minimum time between throttling and the first eviction, and between evictions.
EVICTION_INTERVAL = dt.timedelta(seconds=10)
#: Weight of one check in the moving average of the latency ratio.
SMOOTHING_FACTOR = 0.05
#: Age of the last check after which the moving average is discarded.
MAX_RATIO_AGE = dt.timedelta(seconds=10)
#: Speed of a throttled task as a fraction of full speed.
THROTTLED_SPEED = 0.3


class Level(enum.IntEnum):
    """Restriction of batch work; each level includes those below it."""

    OPEN = 0
    #: No batch tasks are placed beyond the batch floor.
    CLOSED = 1
    #: Noisy batch tasks, those proven to slow checks, run at
    #: :data:`THROTTLED_SPEED`.
    THROTTLED = 2
    #: The noisiest watch is to be evicted; plans are only throttled.
    EVICTING = 3


@frozen
class BatchController:
    """State of the controller of one instance.

    :param ratio: Moving average of the ratio of check latency to baseline latency.
    :param observed_at: When the last check was observed.
    :param stepped_at: When the level last changed by a step.
    :param low_since: Since when the ratio has been below
        :data:`LOW_LATENCY_RATIO`; ``None`` if it is not below, or before the
        first check or tick.
    :param evict_after: Earliest time of the next eviction.
    """

    level: Level = Level.OPEN
    ratio: float = 1.0
    observed_at: dt.datetime | None = None
    stepped_at: dt.datetime | None = None
    low_since: dt.datetime | None = None
    evict_after: dt.datetime | None = None


def observe_latency_ratio(
    control: BatchController, ratio: float, now: dt.datetime
) -> BatchController:
    """Add the latency ratio of one check to the moving average."""
    smoothed = control.ratio + SMOOTHING_FACTOR * (ratio - control.ratio)
    low_since = control.low_since or now
    return evolve(
        control,
        ratio=smoothed,
        observed_at=now,
        low_since=low_since if smoothed < LOW_LATENCY_RATIO else None,
    )


def advance(control: BatchController, now: dt.datetime) -> BatchController:
    """Raise or lower the level by at most one, as ratio and minimum times allow.

    Without a check in the last :data:`MAX_RATIO_AGE`, the ratio is reset to 1.
    """
    if _is_ratio_outdated(control, now):
        control = evolve(control, ratio=1.0, low_since=control.low_since or now)
    if control.ratio > HIGH_LATENCY_RATIO:
        return _step_up(control, now)
    if control.low_since is not None and control.level > Level.OPEN:
        return _step_down(control, now)
    return control


def record_eviction(control: BatchController, now: dt.datetime) -> BatchController:
    """Return to throttling after an eviction attempt and delay the next one.

    The delay gives the eviction time to take effect. It also applies if there was
    no watch to evict.
    """
    return evolve(control, level=Level.THROTTLED, evict_after=now + EVICTION_INTERVAL)


def speed_at(level: Level) -> float:
    """Return the speed of noisy batch tasks, as a fraction of full speed."""
    return THROTTLED_SPEED if level >= Level.THROTTLED else 1.0


def _is_ratio_outdated(control: BatchController, now: dt.datetime) -> bool:
    return control.observed_at is None or now - control.observed_at > MAX_RATIO_AGE


def _step_up(control: BatchController, now: dt.datetime) -> BatchController:
    if control.stepped_at and now - control.stepped_at < STEP_INTERVAL:
        return control
    if control.level is Level.EVICTING:
        return control
    level = Level(control.level + 1)
    if level is Level.EVICTING and not _may_evict(control, now):
        return control
    evict_after = control.evict_after
    if level is Level.THROTTLED:
        evict_after = max(now + EVICTION_INTERVAL, evict_after or now)
    return evolve(control, level=level, stepped_at=now, evict_after=evict_after)


def _may_evict(control: BatchController, now: dt.datetime) -> bool:
    return control.evict_after is not None and now >= control.evict_after


def _step_down(control: BatchController, now: dt.datetime) -> BatchController:
    since = max(t.cast(dt.datetime, control.low_since), control.stepped_at or now)
    if now - since < RECOVERY_INTERVAL:
        return control
    return evolve(control, level=Level(control.level - 1), stepped_at=now)

"""Decides how much batch work may run beside checks on one instance.

The controller follows the latency that the owner itself sees, which is fresh.
It acts in steps, with a pause between steps in both directions: place no
more, throttle, evict. The pause is what keeps a short wave of noisy tasks from
causing a wave of evictions.
"""

import datetime as dt
import enum
import typing as t

from attrs import evolve, frozen

#: Ratio above which the controller takes a step.
HIGH_RATIO = 1.25
#: Ratio below which the controller takes a step back.
LOW_RATIO = 1.1
#: Least time between two steps against batch work.
STEP_INTERVAL = dt.timedelta(seconds=1)
#: Time for which the ratio must stay low before a step back.
RECOVERY_INTERVAL = dt.timedelta(seconds=5)
#: Time during which a throttled instance must stay disturbed before the first
#: eviction, and between two evictions.
EVICTION_INTERVAL = dt.timedelta(seconds=10)
#: Weight of one check in the running ratio.
RATIO_WEIGHT = 0.05
#: Age after which the running ratio says nothing any more.
RATIO_MAX_AGE = dt.timedelta(seconds=10)
#: Speed of a throttled task as a share of full speed.
THROTTLED_SPEED = 0.3


class Level(enum.IntEnum):
    """How far the controller has gone."""

    OPEN = 0
    CLOSED = 1
    THROTTLED = 2
    EVICTING = 3


@frozen
class Control:
    """State of the controller of one instance.

    :param ratio: Running ratio of check latency to its undisturbed value.
    :param evict_after: Earliest time of the next eviction.
    """

    level: Level = Level.OPEN
    ratio: float = 1.0
    observed_at: dt.datetime | None = None
    stepped_at: dt.datetime | None = None
    low_since: dt.datetime | None = None
    evict_after: dt.datetime | None = None


def observe(control: Control, ratio: float, now: dt.datetime) -> Control:
    """Take in the latency ratio of one check."""
    smoothed = control.ratio + RATIO_WEIGHT * (ratio - control.ratio)
    low_since = control.low_since or now
    return evolve(
        control,
        ratio=smoothed,
        observed_at=now,
        low_since=low_since if smoothed < LOW_RATIO else None,
    )


def advance(control: Control, now: dt.datetime) -> Control:
    """Take at most one step, up or down, as the ratio and the pauses demand."""
    if _is_outdated(control, now):
        control = evolve(control, ratio=1.0, low_since=control.low_since or now)
    if control.ratio > HIGH_RATIO:
        return _step_up(control, now)
    if control.low_since is not None and control.level > Level.OPEN:
        return _step_down(control, now)
    return control


def note_eviction(control: Control, now: dt.datetime) -> Control:
    """Note an eviction; the level returns to throttling until it shows effect."""
    return evolve(control, level=Level.THROTTLED, evict_after=now + EVICTION_INTERVAL)


def speed_at(level: Level) -> float:
    """Return the speed of the noisiest batch tasks at ``level``."""
    return THROTTLED_SPEED if level >= Level.THROTTLED else 1.0


def _is_outdated(control: Control, now: dt.datetime) -> bool:
    return control.observed_at is None or now - control.observed_at > RATIO_MAX_AGE


def _step_up(control: Control, now: dt.datetime) -> Control:
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


def _may_evict(control: Control, now: dt.datetime) -> bool:
    return control.evict_after is not None and now >= control.evict_after


def _step_down(control: Control, now: dt.datetime) -> Control:
    since = max(t.cast(dt.datetime, control.low_since), control.stepped_at or now)
    if now - since < RECOVERY_INTERVAL:
        return control
    return evolve(control, level=Level(control.level - 1), stepped_at=now)

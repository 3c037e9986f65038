"""The policies by which an instance is shared, as plain functions.

``adaptive`` is what fighead is for. The others are baselines that it is measured
against, and can be declared for an upstream on which nothing urgent runs.
"""

import datetime as dt
import math
import typing as t

from attrs import evolve, frozen

from ..model import Upstream
from .control import HIGH_RATIO, Control, Level, advance

Slots = t.Callable[[Upstream, int], int]
Advance = t.Callable[[Control, dt.datetime], Control]


@frozen
class Policy:
    """How an instance is shared between checks and batch work.

    :param check_floor: Slots, out of all, that batch work never takes.
    :param batch_floor: Slots, out of all, that checks never take for long.
    :param advance: Moves the controller one step.
    """

    check_floor: Slots
    batch_floor: Slots
    advance: Advance


def policy_of(upstream: Upstream) -> Policy:
    """Return the policy that is declared for an upstream."""
    return POLICIES[upstream.policy]


def _check_floor(upstream: Upstream, slots: int) -> int:
    return max(1, math.floor(slots * upstream.check_floor))


def _batch_floor(upstream: Upstream, slots: int) -> int:
    most = slots - _check_floor(upstream, slots)
    return min(most, math.ceil(slots * upstream.batch_floor))


def _no_floor(_upstream: Upstream, _slots: int) -> int:
    return 0


def _stay_open(control: Control, _now: dt.datetime) -> Control:
    return control


def _evict_at_once(control: Control, _now: dt.datetime) -> Control:
    level = Level.EVICTING if control.ratio > HIGH_RATIO else Level.OPEN
    return evolve(control, level=level)


POLICIES = {
    "adaptive": Policy(_check_floor, _batch_floor, advance),
    "slots-only": Policy(_no_floor, _no_floor, _stay_open),
    "reactive": Policy(_check_floor, _batch_floor, _evict_at_once),
}

"""Policies for sharing an instance between checks and batch work.

``adaptive`` is the policy that fighead is built around. The others are baselines
for comparison, and can be declared for an upstream without urgent work.
"""

import datetime as dt
import math
import typing as t

from attrs import evolve, frozen

from ..model import Upstream
from .batch_control import HIGH_LATENCY_RATIO, BatchController, Level, advance

#: Maps an upstream and an instance's total number of slots to a number of slots.
SlotFloor = t.Callable[[Upstream, int], int]
AdvanceControl = t.Callable[[BatchController, dt.datetime], BatchController]


@frozen
class Policy:
    """How an instance is shared between checks and batch work.

    :param check_floor: Number of slots that batch work never takes.
    :param batch_floor: Number of slots that checks can take only briefly.
    :param advance: Returns the controller's next state; called on every tick.
    """

    check_floor: SlotFloor
    batch_floor: SlotFloor
    advance: AdvanceControl


def policy_of(upstream: Upstream) -> Policy:
    """Return the policy declared for an upstream.

    :raises KeyError: If the name of the policy is not in :data:`POLICIES`.
    """
    return POLICIES[upstream.policy]


def _check_floor(upstream: Upstream, total_slots: int) -> int:
    return max(1, math.floor(total_slots * upstream.check_floor))


def _batch_floor(upstream: Upstream, total_slots: int) -> int:
    max_floor = total_slots - _check_floor(upstream, total_slots)
    return min(max_floor, math.ceil(total_slots * upstream.batch_floor))


def _no_floor(_upstream: Upstream, _total_slots: int) -> int:
    return 0


def _stay_open(control: BatchController, _now: dt.datetime) -> BatchController:
    return control


def _evict_immediately(control: BatchController, _now: dt.datetime) -> BatchController:
    level = Level.EVICTING if control.ratio > HIGH_LATENCY_RATIO else Level.OPEN
    return evolve(control, level=level)


#: Policies by the name under which an upstream declares them.
POLICIES = {
    "adaptive": Policy(_check_floor, _batch_floor, advance),
    "slots-only": Policy(_no_floor, _no_floor, _stay_open),
    "reactive": Policy(_check_floor, _batch_floor, _evict_immediately),
}

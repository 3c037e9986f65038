"""Sums up the capacity, use and room of instances, as placement counts them."""

import datetime as dt
import typing as t

from attrs import asdict, frozen

from . import placement
from .schedule_state import InstanceState, JobState, StageState


@frozen
class RoomSums:
    """Capacity and use of some instances in total.

    :param cpu: Processor capacity in millicores.
    :param cpu_used: Demand of their runs in millicores; fillers demand none.
    :param cpu_unused: Millicores that are expected to be unused, which a filler needs.
    """

    instances: int
    cpu: int
    cpu_used: int
    cpu_unused: int
    memory_mb: int
    memory_mb_used: int


@frozen
class StageRoom:
    """Instances for one more task of a stage, counted with ever more conditions.

    :param suitable: Instances of the upstream, with the label.
    :param fit: Those of them whose free capacity covers the demand.
    :param roomy: Those of them that :func:`.placement.has_room` accepts.
    :param usable: Those of them that have no :class:`.placement.Obstacle`.
    """

    suitable: int
    fit: int
    roomy: int
    usable: int


def sum_up(states: t.Iterable[InstanceState]) -> RoomSums:
    """Return the capacity and use of instances in total."""
    found = list(states)
    return RoomSums(
        instances=len(found),
        cpu=sum(state.instance.capacity.cpu for state in found),
        cpu_used=sum(state.used.cpu for state in found),
        cpu_unused=int(sum(max(0, placement.unused_cpu(state)) for state in found)),
        memory_mb=sum(state.instance.capacity.memory_mb for state in found),
        memory_mb_used=sum(state.used.memory_mb for state in found),
    )


def describe_upstream(
    states: t.Iterable[InstanceState], upstream: str, now: dt.datetime
) -> dict[str, dict[str, int]]:
    """Return the sums over all instances of an upstream, and over parts of them."""
    known = [state for state in states if state.instance.upstream == upstream]
    parts = {
        "known": known,
        "registered": [state for state in known if state.is_registered],
        "usable": [state for state in known if placement.accepts_runs(state, now)],
    }
    return {name: asdict(sum_up(part)) for name, part in parts.items()}


def count_room(
    states: t.Iterable[InstanceState],
    job: JobState,
    stage: StageState,
    now: dt.datetime,
) -> StageRoom:
    """Return how many instances meet which conditions of one more task of a stage."""
    suitable = [each for each in states if placement.is_suitable(each, job, stage)]
    fit = [each for each in suitable if each.has_room_for(stage.spec.demand)]
    roomy = [each for each in fit if placement.has_room(each, stage)]
    usable = [each for each in roomy if placement.accepts_runs(each, now)]
    return StageRoom(len(suitable), len(fit), len(roomy), len(usable))

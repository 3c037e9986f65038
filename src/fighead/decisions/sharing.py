"""Keeps fillers from disturbing the serving tasks beside them.

The load this answers: long tasks that fill unused processors while serving
tasks, whose load swings within seconds, have a bound on their tail latency.
Fillers start where the learned interference leaves room, and are paced down
before a target is missed for long.
"""

import datetime as dt
import typing as t

from attrs import define, field

from ..job import Stage
from ..log import Event
from ..run import PaceRun, StopRun
from . import interference
from .interference import Beside, Interference
from .schedule_state import (
    Effect,
    InstanceState,
    Note,
    Order,
    RunPhase,
    RunState,
    Schedule,
)

#: Pressure kept free below the limit of a serving task when fillers start:
#: what a load gains in about a second.
START_MARGIN = 0.10
#: Pressure kept free when running fillers are paced.
PACE_MARGIN = 0.05
#: Least change of a pace that is worth a call, in percent.
LEAST_CHANGE = 15
#: Time over its target after which a serving task has all fillers beside it
#: that may disturb it stand still; a bound on harm allows about 4 s.
PATIENCE = dt.timedelta(milliseconds=1200)
#: Effect of a weight of 1 below which a filler counts as harmless.
HARMLESS_EFFECT = 0.02
#: Pace at or below which a filler is better moved, in percent.
CRAWL = 25
#: Time at a crawl after which a checkpointed filler is moved.
CRAWL_TIME = dt.timedelta(milliseconds=1500)


@define(eq=False)
class Neighbour:
    """A serving task, and how much more pressure it bears."""

    image: str
    slack: float


@define(eq=False)
class Neighbourhood:
    """The serving tasks of an instance as they stand in one round of placing."""

    neighbours: list[Neighbour] = field(factory=list)


def look(
    learned: Interference, state: InstanceState, now: dt.datetime
) -> Neighbourhood:
    """Return how much more the serving tasks of an instance bear."""
    beside = _planned(state)
    return Neighbourhood(
        [
            Neighbour(run.stage.image, _slack(learned, run, beside, now))
            for run in serving_runs(state)
        ]
    )


def serving_runs(state: InstanceState) -> list[RunState]:
    """Return the runs on an instance that have a target."""
    return [run for run in state.runs.values() if run.stage.target_ms]


def filler_runs(state: InstanceState) -> list[RunState]:
    """Return the fillers on an instance."""
    return [run for run in state.runs.values() if run.stage.is_filler]


def _planned(state: InstanceState) -> list[Beside]:
    """Return the fillers with the processor time that their pace allows."""
    capacity = state.instance.capacity.cpu
    return [
        Beside(
            run.stage.image,
            interference.weigh(run.stage.cpu * run.pace / 100, capacity),
        )
        for run in filler_runs(state)
        if run.phase is not RunPhase.STOPPING
    ]


def _slack(
    learned: Interference, run: RunState, beside: list[Beside], now: dt.datetime
) -> float:
    image, target_ms = run.stage.image, run.stage.target_ms
    load = interference.load_of(learned, (run.key, run.number), now).mean
    added = interference.added_pressure(learned, image, beside)
    return interference.limit_of(learned, image, target_ms) - load - added


def headroom(
    learned: Interference, around: Neighbourhood, stage: Stage, capacity_cpu: int
) -> float:
    """Return the least slack that a further filler would leave."""
    weight = interference.weigh(stage.cpu, capacity_cpu)
    return min(
        (
            each.slack
            - max(0.0, interference.effect_of(learned, each.image, stage.image).mean)
            * weight
            for each in around.neighbours
        ),
        default=1.0,
    )


def join(
    learned: Interference, around: Neighbourhood, stage: Stage, capacity_cpu: int
) -> None:
    """Count a filler that starts in this round."""
    weight = interference.weigh(stage.cpu, capacity_cpu)
    for each in around.neighbours:
        effect = interference.effect_of(learned, each.image, stage.image).mean
        each.slack -= max(0.0, effect) * weight


def observe_listing(schedule: Schedule, state: InstanceState, now: dt.datetime) -> None:
    """Learn from the tails that an instance has just listed."""
    capacity = state.instance.capacity.cpu
    beside = [
        Beside(run.stage.image, interference.weigh(run.usage, capacity))
        for run in filler_runs(state)
        if run.usage > 0
    ]
    for run in serving_runs(state):
        if run.percent < 100 or run.usage <= 0:
            run.late_since = None
            continue
        interference.observe(
            schedule.learned,
            (run.key, run.number),
            run.stage.image,
            run.stage.target_ms,
            run.usage,
            beside,
            now,
        )
        is_late = run.usage > run.stage.target_ms
        run.late_since = (run.late_since or now) if is_late else None


def pace(schedule: Schedule, state: InstanceState, now: dt.datetime) -> list[Effect]:
    """Order the paces at which the serving tasks of an instance meet targets."""
    fillers = [r for r in filler_runs(state) if r.phase is RunPhase.RUNNING]
    if not fillers:
        return []
    wanted = _paces(schedule.learned, state, fillers, now)
    effects: list[Effect] = []
    for run in fillers:
        percent = wanted[run.key, run.number]
        effects += _set_pace(run, percent, now)
        effects += _move_crawler(run, now)
    return effects


def _paces(
    learned: Interference,
    state: InstanceState,
    fillers: list[RunState],
    now: dt.datetime,
) -> dict[t.Hashable, int]:
    shares = {(run.key, run.number): 1.0 for run in fillers}
    capacity = state.instance.capacity.cpu
    for serving in serving_runs(state):
        if serving.percent < 100:
            continue
        is_late = (
            serving.late_since is not None and now - serving.late_since >= PATIENCE
        )
        room = _slack(learned, serving, [], now) - PACE_MARGIN
        _fit(learned, serving.stage.image, fillers, shares, capacity, room, is_late)
    return {identity: round(100 * share) for identity, share in shares.items()}


def _fit(
    learned: Interference,
    image: str,
    fillers: list[RunState],
    shares: dict[t.Hashable, float],
    capacity: int,
    room: float,
    is_late: bool,
) -> None:
    """Cut shares, the most disturbing filler first, until one task bears them."""
    added: list[tuple[float, RunState]] = []
    for run in fillers:
        effect = max(0.0, interference.effect_of(learned, image, run.stage.image).mean)
        weight = interference.weigh(run.stage.cpu, capacity)
        if is_late and effect > HARMLESS_EFFECT:
            shares[run.key, run.number] = 0.0
        added.append((effect * weight, run))
    added.sort(key=lambda pair: -pair[0])
    total = sum(full * shares[run.key, run.number] for full, run in added)
    for full, run in added:
        if total <= room or full <= 0:
            return
        identity = (run.key, run.number)
        cut = min(full * shares[identity], total - max(room, 0.0))
        shares[identity] -= cut / full
        total -= cut


def _set_pace(run: RunState, percent: int, now: dt.datetime) -> list[Effect]:
    is_extreme = percent in (0, 100) and percent != run.pace
    if abs(percent - run.pace) < LEAST_CHANGE and not is_extreme:
        return []
    if percent <= CRAWL and (run.crawling_since is None):
        run.crawling_since = now
    elif percent > CRAWL:
        run.crawling_since = None
    run.pace = percent
    fields = {"task": run.key, "run": run.number, "percent": percent}
    return [
        Note(Event.RUN_PACED, fields),
        Order(run.instance_id, PaceRun(run.key, run.number, percent)),
    ]


def _move_crawler(run: RunState, now: dt.datetime) -> list[Effect]:
    if run.crawling_since is None or not run.stage.is_checkpointed:
        return []
    if now - run.crawling_since < CRAWL_TIME:
        return []
    run.phase = RunPhase.STOPPING
    run.confirmed_at = None
    fields = {"task": run.key, "run": run.number, "instance": run.instance_id}
    return [
        Note(Event.RUN_MOVED, fields),
        Order(run.instance_id, StopRun(run.key, run.number)),
    ]

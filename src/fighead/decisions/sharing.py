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
from ..run import PaceRun
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
from .stopping import move_run

#: Pressure kept free below the limit of a serving task when fillers start: the
#: spread of an expected load a second ahead.
START_MARGIN = 0.05
#: Pressure kept free when running fillers are paced.
PACE_MARGIN = 0.0
#: How far ahead loads are looked at when a filler starts: the mean run of one.
START_HORIZONS = tuple(dt.timedelta(seconds=s) for s in (0.0, 0.9, 1.8, 2.7))
#: How far ahead they are looked at for a pace: until the next listing.
PACE_HORIZONS = tuple(dt.timedelta(seconds=s) for s in (0.0, 0.5, 1.0))
#: Least change of a pace that is worth a call, in percent.
LEAST_CHANGE = 15
#: Time over its target after which a serving task has all fillers beside it
#: that may disturb it stand still; a bound on harm allows about 4 s.
PATIENCE = dt.timedelta(milliseconds=1200)
#: Pressure below which a filler may start whatever the slack is.
HARMLESS_PRESSURE = 0.03
#: Effect of a weight of 1 below which a filler counts as harmless.
HARMLESS_EFFECT = interference.TOLERABLE_EFFECT
#: Time over its target after which even those stand still.
LAST_PATIENCE = dt.timedelta(milliseconds=2200)
#: Share of its target below which a serving task counts as in time again;
#: listed tails are rough.
RELIEVED_SHARE = 0.85
#: Pace at or below which a filler is better moved, in percent.
CRAWL = 25
#: Time at a crawl after which a checkpointed filler is moved.
CRAWL_TIME = dt.timedelta(milliseconds=1500)


@define(eq=False)
class Neighbour:
    """A serving task, and how much more pressure it bears."""

    image: str
    slack: float
    is_late: bool = False


@define(eq=False)
class Neighbourhood:
    """The serving tasks of an instance as they stand in one round of placing."""

    neighbours: list[Neighbour] = field(factory=list)


def look(
    learned: Interference,
    state: InstanceState,
    peak_of: t.Callable[[interference.StageId], float],
) -> Neighbourhood:
    """Return how much more the serving tasks of an instance bear for a while.

    :param peak_of: Returns the highest load expected of a stage until then.
    """
    beside = _planned(state)
    return Neighbourhood(
        [
            Neighbour(
                run.stage.image,
                _slack(learned, run, beside, peak_of(stage_id(run))),
                run.late_since is not None,
            )
            for run in serving_runs(state)
        ]
    )


def peak_of(
    learned: Interference,
    stage: interference.StageId,
    now: dt.datetime,
    horizons: t.Sequence[dt.timedelta],
) -> float:
    """Return the highest load that is expected of a stage within horizons."""
    return max(
        interference.load_of(learned, stage, now + ahead).level for ahead in horizons
    )


def stage_id(run: RunState) -> interference.StageId:
    """Return the stage that a run belongs to."""
    return (run.key.job_id, run.key.occurrence, run.key.stage)


def serving_runs(state: InstanceState) -> list[RunState]:
    """Return the runs on an instance that have a target."""
    return list(state.serving.values())


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
    learned: Interference, run: RunState, beside: list[Beside], load: float
) -> float:
    image, target_ms = run.stage.image, run.stage.target_ms
    added = interference.added_pressure(learned, image, beside)
    return interference.limit_of(learned, image, target_ms) - load - added


@define(eq=False)
class Outlook:
    """What a further filler would do to the serving tasks of an instance.

    :param pressure: Most that it would add to one of them.
    :param headroom: Least slack that it would leave.
    :param is_late: Whether one of them misses its target now.
    """

    pressure: float = 0.0
    headroom: float = 1.0
    is_late: bool = False

    @property
    def is_bearable(self) -> bool:
        """Whether the filler may start: it is harmless, or there is room."""
        if self.is_late:
            return False
        return self.pressure <= HARMLESS_PRESSURE or self.headroom >= START_MARGIN


def foresee(
    learned: Interference, around: Neighbourhood, stage: Stage, capacity_cpu: int
) -> Outlook:
    """Return what a further filler would do."""
    weight = interference.weigh(stage.cpu, capacity_cpu)
    outlook = Outlook(is_late=any(each.is_late for each in around.neighbours))
    for each in around.neighbours:
        effect = interference.effect_of(learned, each.image, stage.image).mean
        pressure = max(0.0, effect) * weight
        outlook.pressure = max(outlook.pressure, pressure)
        outlook.headroom = min(outlook.headroom, each.slack - pressure)
    return outlook


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
    tails: dict[interference.StageId, list[RunState]] = {}
    for run in serving_runs(state):
        if run.percent < 100 or run.usage <= 0:
            run.late_since = None
            continue
        tails.setdefault(stage_id(run), []).append(run)
        if run.usage > run.stage.target_ms:
            run.late_since = run.late_since or now
        elif run.usage <= RELIEVED_SHARE * run.stage.target_ms:
            run.late_since = None
    for stage, runs in tails.items():
        spec = runs[0].stage
        interference.observe(
            schedule.learned,
            stage,
            state.instance.instance_id,
            spec.image,
            spec.target_ms,
            [run.usage for run in runs],
            beside,
            now,
        )


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
        if serving.phase is RunPhase.STOPPING:
            continue
        late = now - (serving.late_since or now)
        load = peak_of(learned, stage_id(serving), now, PACE_HORIZONS)
        room = _slack(learned, serving, [], load) - PACE_MARGIN
        _fit(learned, serving.stage.image, fillers, shares, capacity, room, late)
    return {identity: round(100 * share) for identity, share in shares.items()}


def _fit(
    learned: Interference,
    image: str,
    fillers: list[RunState],
    shares: dict[t.Hashable, float],
    capacity: int,
    room: float,
    late: dt.timedelta,
) -> None:
    """Cut shares, the most disturbing filler first, until one task bears them.

    A task that its own load alone makes late gains nothing when fillers that
    hardly disturb it stand still.
    """
    added: list[tuple[float, RunState]] = []
    total = 0.0
    for run in fillers:
        identity = (run.key, run.number)
        effect = max(0.0, interference.effect_of(learned, image, run.stage.image).mean)
        weight = interference.weigh(run.stage.cpu, capacity)
        is_harmful = effect > HARMLESS_EFFECT
        if late >= LAST_PATIENCE or (late >= PATIENCE and is_harmful):
            shares[identity] = 0.0
        total += effect * weight * shares[identity]
        if is_harmful or room > 0:
            added.append((effect * weight, run))
    added.sort(key=lambda pair: -pair[0])
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
    fields = {"task": str(run.key), "run": run.number, "percent": percent}
    return [
        Note(Event.RUN_PACED, fields),
        Order(run.instance_id, PaceRun(run.key, run.number, percent)),
    ]


def _move_crawler(run: RunState, now: dt.datetime) -> list[Effect]:
    if run.crawling_since is None or not run.stage.is_checkpointed:
        return []
    if now - run.crawling_since < CRAWL_TIME:
        return []
    return move_run(run, "its pace is too low")

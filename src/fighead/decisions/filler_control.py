"""Limits how much fillers slow down the serving tasks on the same instance.

Serving tasks have a bound on their tail latency, and their load changes within
seconds; fillers use the processors they leave idle. A filler starts only where
the learned interference leaves enough slack, and running fillers are paced down
before a serving task misses its target for long.
"""

import datetime as dt
import typing as t

from attrs import define, field

from ..job import Stage
from ..log import Event
from ..run import PaceRun
from . import interference
from .interference import FillerUse, Interference
from .schedule_state import (
    Effect,
    InstanceState,
    LogNote,
    Order,
    RunPhase,
    RunState,
    Schedule,
)
from .stopping import move_run

#: Pressure left free below a serving task's limit when a filler starts. Covers the
#: spread of a load forecast for one second ahead.
START_MARGIN = 0.05
#: Pressure left free below a serving task's limit when running fillers are paced.
PACE_MARGIN = 0.0
#: Forecast horizons used when a filler starts; they span a filler's mean run time.
START_HORIZONS = tuple(dt.timedelta(seconds=s) for s in (0.0, 0.9, 1.8, 2.7))
#: Forecast horizons used for pacing; they span the time until the next listing.
PACE_HORIZONS = tuple(dt.timedelta(seconds=s) for s in (0.0, 0.5, 1.0))
#: Smaller changes of pace, in percent, aren't worth a call to the instance.
MIN_PACE_CHANGE_PERCENT = 15
#: A serving task that has missed its target for this long has the harmful fillers
#: on its instance paused. By default, fillers may make a task miss its target for 4 s:
#: see ``harm_time`` in :class:`fighead.job_settings.JobSettings`.
PAUSE_HARMFUL_AFTER = dt.timedelta(milliseconds=1200)
#: A filler that adds at most this pressure may start whatever the slack is, unless a
#: serving task is late.
HARMLESS_PRESSURE = 0.03
#: A filler whose effect at weight 1 is at most this counts as harmless.
HARMLESS_EFFECT = interference.TOLERABLE_EFFECT
#: A serving task that has missed its target for this long has all fillers on its
#: instance paused, harmless ones included. Listings come once a second: almost a second
#: passes before a missed target is seen, and another before the next chance to pause.
PAUSE_ALL_AFTER = dt.timedelta(milliseconds=1800)
#: A late serving task has recovered once its tail is at most this share of its
#: target. Below 1 because listed tails are imprecise.
RECOVERED_SHARE = 0.85
#: Pace in percent up to which it is better to move a filler than to keep it.
LOW_PACE_PERCENT = 25
#: A checkpointed filler is moved once its pace has been low for this long.
MOVE_LOW_PACE_AFTER = dt.timedelta(milliseconds=1500)


@define(eq=False)
class ImageSlack:
    """How much more pressure the serving tasks of one image tolerate.

    :param image: Image of the serving tasks.
    :param slack: Lowest pressure left below a task's limit; negative if one is
        exceeded.
    :param is_late: Whether one of the tasks is missing its target.
    """

    image: str
    slack: float
    is_late: bool = False


@define(eq=False)
class InstanceSlack:
    """Slack of the serving tasks on an instance during one placement round.

    :param images: One entry for each image, since a filler's effect depends on it.
    """

    images: list[ImageSlack] = field(factory=list)


def measure_slack(
    learned: Interference,
    state: InstanceState,
    free_pressure_of: t.Callable[[RunState], float],
) -> InstanceSlack:
    """Return the slack that the fillers on an instance leave its serving tasks.

    :param free_pressure_of: Returns the pressure left below the limit of a serving
        run if no filler is running.
    """
    slacks: dict[str, ImageSlack] = {}
    for run in state.serving.values():
        image, slack = run.stage.image, free_pressure_of(run)
        found = slacks.get(image)
        if found is None:
            found = slacks[image] = ImageSlack(image, slack)
        elif slack < found.slack:
            found.slack = slack
        if run.over_target_since is not None:
            found.is_late = True
    filler_use = _paced_use(state) if slacks else []
    if filler_use:
        for image, found in slacks.items():
            found.slack -= interference.added_pressure(learned, image, filler_use)
    return InstanceSlack(list(slacks.values()))


def free_pressure(learned: Interference, run: RunState, load: float) -> float:
    """Return the pressure left below a serving run's limit at a load."""
    image, target_ms = run.stage.image, run.stage.target_ms
    return interference.pressure_limit_of(learned, image, target_ms) - load


def peak_load(
    learned: Interference,
    stage: interference.StageId,
    now: dt.datetime,
    horizons: t.Sequence[dt.timedelta],
) -> float:
    """Return the highest load forecast for a stage at any of the horizons."""
    return max(
        interference.load_of(learned, stage, now + ahead).level for ahead in horizons
    )


def serving_runs(state: InstanceState) -> list[RunState]:
    """Return the runs on an instance that have a latency target."""
    return list(state.serving.values())


def filler_runs(state: InstanceState) -> list[RunState]:
    """Return the runs of fillers on an instance, including stopping ones."""
    return [run for run in state.runs.values() if run.stage.is_filler]


def _paced_use(state: InstanceState) -> list[FillerUse]:
    """Return the processor use that each filler's pace allows."""
    capacity = state.instance.capacity.cpu
    return [
        FillerUse(
            run.stage.image,
            interference.weight_of(run.stage.cpu * run.pace_percent / 100, capacity),
        )
        for run in filler_runs(state)
        if run.phase is not RunPhase.STOPPING
    ]


@define(eq=False)
class FillerImpact:
    """Predicted impact of one more filler on the serving tasks of an instance.

    :param pressure: Highest pressure that the filler adds to one of the tasks.
    :param remaining_slack: Lowest slack that it leaves to one of them.
    :param is_late: Whether one of the tasks is missing its target already.
    """

    pressure: float = 0.0
    remaining_slack: float = 1.0
    is_late: bool = False

    @property
    def is_acceptable(self) -> bool:
        """Whether the filler may start: no task is late, and it is harmless or fits."""
        if self.is_late:
            return False
        return self.pressure <= HARMLESS_PRESSURE or (
            self.remaining_slack >= START_MARGIN
        )


def predict_impact(
    learned: Interference,
    instance_slack: InstanceSlack,
    stage: Stage,
    capacity_cpu: int,
) -> FillerImpact:
    """Return the impact of starting a filler of ``stage`` on an instance.

    :param capacity_cpu: Capacity of the instance in millicores.
    """
    weight = interference.weight_of(stage.cpu, capacity_cpu)
    highest, lowest_slack, is_late = 0.0, 1.0, False
    for found in instance_slack.images:
        is_late = is_late or found.is_late
        effect = interference.mean_effect_of(learned, found.image, stage.image)
        pressure = max(0.0, effect) * weight
        highest = max(highest, pressure)
        lowest_slack = min(lowest_slack, found.slack - pressure)
    return FillerImpact(highest, lowest_slack, is_late)


def reserve_slack(
    learned: Interference,
    instance_slack: InstanceSlack,
    stage: Stage,
    capacity_cpu: int,
) -> None:
    """Reduce the slack of an instance by the pressure of a filler that starts on it.

    :param capacity_cpu: Capacity of the instance in millicores.
    """
    weight = interference.weight_of(stage.cpu, capacity_cpu)
    for found in instance_slack.images:
        effect = interference.mean_effect_of(learned, found.image, stage.image)
        found.slack -= max(0.0, effect) * weight


def learn_from_listing(
    schedule: Schedule, state: InstanceState, now: dt.datetime
) -> None:
    """Learn from an instance's latest listing, and update which tasks are late.

    Ignores serving tasks that are not fully in service or reported no usage.

    The usage of a serving run is its tail latency in ms, that of a filler is its
    processor use in millicores.
    """
    capacity = state.instance.capacity.cpu
    filler_use = [
        FillerUse(run.stage.image, interference.weight_of(run.usage, capacity))
        for run in filler_runs(state)
        if run.usage > 0
    ]
    runs_by_stage: dict[interference.StageId, list[RunState]] = {}
    for run in serving_runs(state):
        if run.percent < 100 or run.usage <= 0:
            run.over_target_since = None
            continue
        runs_by_stage.setdefault(run.stage_id, []).append(run)
        if run.usage > run.stage.target_ms:
            run.over_target_since = run.over_target_since or now
        elif run.usage <= RECOVERED_SHARE * run.stage.target_ms:
            run.over_target_since = None
    for stage, runs in runs_by_stage.items():
        spec = runs[0].stage
        interference.observe_tails(
            schedule.interference,
            stage,
            state.instance.instance_id,
            spec.image,
            spec.target_ms,
            [run.usage for run in runs],
            filler_use,
            now,
        )


def pace_fillers(
    schedule: Schedule, state: InstanceState, now: dt.datetime
) -> list[Effect]:
    """Set the paces of an instance's fillers so that its serving tasks meet targets.

    Checkpointed fillers whose pace stays low are moved to another instance.
    """
    fillers = [r for r in filler_runs(state) if r.phase is RunPhase.RUNNING]
    if not fillers:
        return []
    paces = _required_paces(schedule.interference, state, fillers, now)
    effects: list[Effect] = []
    for run in fillers:
        percent = paces[run.key, run.number]
        effects += _set_pace(run, percent, now)
        effects += _move_if_pace_stays_low(run, now)
    return effects


def _required_paces(
    learned: Interference,
    state: InstanceState,
    fillers: list[RunState],
    now: dt.datetime,
) -> dict[t.Hashable, int]:
    """Return the pace of each filler in percent, by task key and run number."""
    shares = {(run.key, run.number): 1.0 for run in fillers}
    capacity = state.instance.capacity.cpu
    for serving in serving_runs(state):
        if serving.phase is RunPhase.STOPPING:
            continue
        late_for = now - (serving.over_target_since or now)
        load = peak_load(learned, serving.stage_id, now, PACE_HORIZONS)
        slack = free_pressure(learned, serving, load) - PACE_MARGIN
        _reduce_shares(
            learned, serving.stage.image, fillers, shares, capacity, slack, late_for
        )
    return {identity: round(100 * share) for identity, share in shares.items()}


def _reduce_shares(
    learned: Interference,
    image: str,
    fillers: list[RunState],
    shares: dict[t.Hashable, float],
    capacity: int,
    slack: float,
    late_for: dt.timedelta,
) -> None:
    """Reduce shares until the fillers' pressure on a serving task fits its slack.

    The filler that adds the most pressure is reduced first. Harmless fillers are
    left alone if the task's own load takes up all slack, since pausing them would
    hardly help. If the task stays late, first the harmful fillers are paused, then
    all of them.

    :param shares: Share of full speed, by task key and run number; updated in place.
    :param late_for: How long the task has been missing its target.
    """
    reducible: list[tuple[float, RunState]] = []
    total = 0.0
    for run in fillers:
        identity = (run.key, run.number)
        effect = max(0.0, interference.mean_effect_of(learned, image, run.stage.image))
        weight = interference.weight_of(run.stage.cpu, capacity)
        is_harmful = effect > HARMLESS_EFFECT
        if late_for >= PAUSE_ALL_AFTER or (
            late_for >= PAUSE_HARMFUL_AFTER and is_harmful
        ):
            shares[identity] = 0.0
        total += effect * weight * shares[identity]
        if is_harmful or slack > 0:
            reducible.append((effect * weight, run))
    reducible.sort(key=lambda pair: -pair[0])
    for full_pressure, run in reducible:
        if total <= slack or full_pressure <= 0:
            return
        identity = (run.key, run.number)
        cut = min(full_pressure * shares[identity], total - max(slack, 0.0))
        shares[identity] -= cut / full_pressure
        total -= cut


def _set_pace(run: RunState, percent: int, now: dt.datetime) -> list[Effect]:
    is_extreme = percent in (0, 100) and percent != run.pace_percent
    is_small = abs(percent - run.pace_percent) < MIN_PACE_CHANGE_PERCENT
    if run.is_pace_known and is_small and not is_extreme:
        return []
    if percent <= LOW_PACE_PERCENT and (run.low_pace_since is None):
        run.low_pace_since = now
    elif percent > LOW_PACE_PERCENT:
        run.low_pace_since = None
    run.pace_percent, run.is_pace_known = percent, True
    fields = {"task": str(run.key), "run": run.number, "percent": percent}
    return [
        LogNote(Event.RUN_PACED, fields),
        Order(run.instance_id, PaceRun(run.key, run.number, percent)),
    ]


def _move_if_pace_stays_low(run: RunState, now: dt.datetime) -> list[Effect]:
    if run.low_pace_since is None or not run.stage.is_checkpointed:
        return []
    if now - run.low_pace_since < MOVE_LOW_PACE_AFTER:
        return []
    return move_run(run, "its pace has stayed too low")

"""Tests of learning interference and loads, and of regrouping serving tasks."""

import datetime as dt
import itertools
import math
import random

from attrs import evolve

from fighead.decisions import filler_control, placement, regrouping
from fighead.decisions import interference as learning
from fighead.decisions.load_forecast import Load, LoadTracker
from fighead.job import Stage
from fighead.run import StopRun
from job_builders import (
    add_job,
    at_seconds,
    listed_run,
    make_schedule,
    orders_in,
    receive_listing,
)

STAGE = ("0000000000000001", 0, 0)
TARGET_MS = 24
BASE_MS = 4.0
FILLER = Stage(
    cpu=7000, memory_mb=1, estimate_ms=3000, image="f", is_filler=True,
    is_checkpointed=True,
)  # fmt: skip
SERVING = Stage(cpu=13000, memory_mb=1, is_lasting=True, image="s", target_ms=24)


def oscillating_load(at_s, period_s=10.0):
    return 0.5 + 0.23 * math.sin(2 * math.pi * at_s / period_s)


def tail_of(pressure, rng):
    tail = BASE_MS / (1 - min(pressure, 0.98))
    return max(1, round(tail * rng.uniform(0.9, 1.1)))


def make_job_id(number):
    return f"{number:016x}"


def test_effects_of_mixed_fillers_are_separated_under_an_oscillating_load():
    # Pressure added at weight 1: f is harmful, g and h are nearly harmless.
    true_effects = {"f": 0.2, "g": 0.02, "h": 0.02}
    learned, rng = learning.Interference(), random.Random(1)
    for step in range(120):
        at = step * 0.25
        name = f"i{step % 4}"
        filler_use = [
            learning.FillerUse(image, 0.9)
            for image in true_effects
            if rng.random() < 0.5
            for _ in range(rng.randrange(1, 3))
        ]
        pressure = oscillating_load(at) + sum(
            true_effects[use.image] * use.weight for use in filler_use
        )
        tails = [tail_of(pressure, rng) for _ in range(2)]
        learning.observe_tails(
            learned, STAGE, name, "s", TARGET_MS, tails, filler_use, at_seconds(at)
        )
    found = {
        image: learning.effect_of(learned, "s", image).mean for image in true_effects
    }
    assert found["f"] > 0.1
    assert max(found["g"], found["h"]) < 0.06


def test_an_outlier_tail_hardly_changes_a_known_effect():
    learned = learning.Interference()
    row = learning.LearnedEffect("s", "f", 0.02, 1e-4)
    learning.import_effects(learned, learning.Learned((row,)))
    filler_use = [learning.FillerUse("f", 0.9)]
    learning.observe_tails(
        learned, STAGE, "i1", "s", TARGET_MS, [700], filler_use, at_seconds(1)
    )
    assert learning.effect_of(learned, "s", "f").mean < 0.04


def test_learned_effects_are_restored_as_stored():
    learned = learning.Interference()
    rows = (learning.LearnedEffect("s", "f", 0.2, 1e-4),)
    learning.import_effects(learned, learning.Learned(rows))
    assert learning.export_effects(learned) == learning.Learned(rows)


def test_the_number_of_filler_images_per_serving_image_is_bounded():
    learned = learning.Interference()
    rows = tuple(learning.LearnedEffect("s", f"f{n}", 0.1, 0.1) for n in range(99))
    learning.import_effects(learned, learning.Learned(rows))
    assert len(learning.export_effects(learned).effects) == 32


def observe_oscillation(loads, period_s, until_s):
    """Update ``loads`` with an oscillating load, four observations per second."""
    for step in range(int(until_s * 4)):
        at = at_seconds(step * 0.25)
        load = loads.forecast("a", at)
        observed = oscillating_load(step * 0.25, period_s)
        error, variance = observed - load.level, 0.005 + load.level_variance
        loads.update("a", load.corrected(error, variance))


def test_a_load_is_forecast_through_its_turning_points():
    loads = LoadTracker()
    observe_oscillation(loads, 10.0, 40)
    ahead = [1.0, 2.0, 2.7]
    errors = [
        abs(
            loads.forecast("a", at_seconds(39.75 + s)).level
            - oscillating_load(39.75 + s)
        )
        for s in ahead
    ]
    assert max(errors) < 0.08


def test_the_oscillation_period_is_learned():
    loads = LoadTracker()
    observe_oscillation(loads, 16.0, 600)
    assert 13.0 < loads.oscillation.period_s < 19.0


def test_an_old_load_is_forecast_as_the_mean():
    load = Load(at_seconds(0), 0.9)
    assert (
        load.forecast(at_seconds(60), LoadTracker().oscillation).level
        == LoadTracker().oscillation.mean
    )


def set_known_effects(schedule, serving, **effects):
    rows = (learning.LearnedEffect(serving, f, e, 1e-4) for f, e in effects.items())
    learning.import_effects(schedule.interference, learning.Learned(tuple(rows)))


MIXED_IMAGES = (("s", "s", "t"), ("t", "t", "s"))


def mixed_schedule(
    has_filler=True, instance_count=2, image_sets=MIXED_IMAGES, filler=FILLER
):
    """Return a schedule of instances that each serve two images."""
    names = tuple(f"i{number + 1}" for number in range(instance_count))
    schedule = make_schedule(names)
    set_known_effects(schedule, "s", f=0.4, g=0.4, h=0.4)
    set_known_effects(schedule, "t", f=0.01, g=0.01, h=0.01)
    layout = dict(zip(names, itertools.cycle(image_sets), strict=False))
    for number, (name, images) in enumerate(layout.items()):
        for state in schedule.instances.values():
            state.is_reachable = state.instance.instance_id == name
        for index, image in enumerate(images):
            stage = evolve(SERVING, image=image)
            add_job(schedule, stage, job_id=make_job_id(10 * number + index))
        placement.place_waiting_tasks(schedule, at_seconds(1))
    for state in schedule.instances.values():
        state.is_reachable = True
    list_in_service(schedule, 5)
    if has_filler:
        add_job(schedule, filler, job_id=make_job_id(99))
        placement.place_waiting_tasks(schedule, at_seconds(5))
    return schedule


def list_in_service(schedule, at):
    for name, state in schedule.instances.items():
        rows = [listed_run(*identity, 100, 6) for identity in state.runs]
        receive_listing(schedule, name, running=rows, at=at)


def images_of(schedule, name):
    runs = filler_control.serving_runs(schedule.instances[name])
    return sorted(run.stage.image for run in runs)


def test_tasks_sensitive_to_the_same_fillers_are_grouped():
    schedule, at = mixed_schedule(), 8.0
    for _ in range(4):
        stops = [
            o
            for o in orders_in(
                regrouping.regroup_serving_tasks(schedule, at_seconds(at))
            )
            if isinstance(o, StopRun)
        ]
        for stop in stops:
            for name, state in schedule.instances.items():
                rows = [
                    listed_run(*identity, 100, 6)
                    for identity in state.runs
                    if identity != (stop.task, stop.number)
                ]
                for run in state.runs.values():
                    run.confirmed_at = run.confirmed_at or at_seconds(at)
                receive_listing(
                    schedule, name, running=rows, at=at + 0.5, sent=at + 0.4
                )
        placement.place_waiting_tasks(schedule, at_seconds(at + 0.6))
        at += 4
        list_in_service(schedule, at)
        at += 1
    assert images_of(schedule, "i1") == ["s", "s", "s"]
    assert images_of(schedule, "i2") == ["t", "t", "t"]


def test_no_task_is_moved_while_no_filler_waits():
    schedule = mixed_schedule(has_filler=False)
    assert not regrouping.regroup_serving_tasks(schedule, at_seconds(8))


def test_no_task_is_moved_while_one_of_its_stage_is_out_of_service():
    schedule = mixed_schedule()
    for state in schedule.instances.values():
        for run in state.runs.values():
            run.percent = 40
    assert not regrouping.regroup_serving_tasks(schedule, at_seconds(8))


def test_one_task_is_moved_at_a_time():
    schedule = mixed_schedule()
    at = at_seconds(8)
    assert len(orders_in(regrouping.regroup_serving_tasks(schedule, at))) == 1
    assert not regrouping.regroup_serving_tasks(
        schedule, at + dt.timedelta(milliseconds=100)
    )


def test_regrouping_compares_each_pair_of_images_once_in_an_attempt(monkeypatch):
    monkeypatch.setattr(placement, "RESERVED_SHARE", 0.0)
    schedule = mixed_schedule(
        instance_count=176,
        image_sets=(("s", "s", "t"),),
        filler=evolve(FILLER, cpu=50000),
    )
    compared = []
    function = learning.are_similarly_sensitive

    def counted(learned, one, other):
        compared.append((one, other))
        return function(learned, one, other)

    monkeypatch.setattr(learning, "are_similarly_sensitive", counted)
    assert not regrouping.regroup_serving_tasks(schedule, at_seconds(8))
    assert len(compared) == len(set(compared))

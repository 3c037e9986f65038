"""Tests of what is learned of fillers and of loads, and of regrouping by it."""

import datetime as dt
import math
import random

from attrs import evolve

from fighead.decisions import interference as learning
from fighead.decisions import placing, regrouping, sharing
from fighead.decisions.swing import Load, Loads
from fighead.job import Stage
from fighead.run import StopRun
from job_world import add_job, listed, make_schedule, orders, row, seconds

STAGE = ("0000000000000001", 0, 0)
TARGET_MS = 24
BASE_MS = 4.0
FILLER = Stage(
    cpu=7000, memory_mb=1, estimate_ms=3000, image="f", is_filler=True,
    is_checkpointed=True,
)  # fmt: skip
SERVING = Stage(cpu=13000, memory_mb=1, is_lasting=True, image="s", target_ms=24)


def swinging(at, period=10.0):
    return 0.5 + 0.23 * math.sin(2 * math.pi * at / period)


def tail_of(pressure, chance):
    tail = BASE_MS / (1 - min(pressure, 0.98))
    return max(1, round(tail * chance.uniform(0.9, 1.1)))


def job_name(number):
    return f"{number:016x}"


def test_mixed_fillers_are_told_apart_while_the_load_swings():
    # For a weight of 1: what disturbs takes a fifth of the way, what does not 2%.
    truth = {"f": 0.2, "g": 0.02, "h": 0.02}
    learned, chance = learning.Interference(), random.Random(1)
    for step in range(120):
        at = step * 0.25
        name = f"i{step % 4}"
        beside = [
            learning.Beside(image, 0.9)
            for image in truth
            if chance.random() < 0.5
            for _ in range(chance.randrange(1, 3))
        ]
        pressure = swinging(at) + sum(truth[b.image] * b.weight for b in beside)
        tails = [tail_of(pressure, chance) for _ in range(2)]
        learning.observe(
            learned, STAGE, name, "s", TARGET_MS, tails, beside, seconds(at)
        )
    found = {image: learning.effect_of(learned, "s", image).mean for image in truth}
    assert found["f"] > 0.1
    assert max(found["g"], found["h"]) < 0.06


def test_another_cause_of_a_long_tail_hardly_moves_what_is_known():
    learned = learning.Interference()
    row_ = learning.LearnedEffect("s", "f", 0.02, 1e-4)
    learning.restore(learned, learning.Learned((row_,)))
    beside = [learning.Beside("f", 0.9)]
    learning.observe(learned, STAGE, "i1", "s", TARGET_MS, [700], beside, seconds(1))
    assert learning.effect_of(learned, "s", "f").mean < 0.04


def test_what_was_learned_outlives_a_scheduler():
    learned = learning.Interference()
    rows = (learning.LearnedEffect("s", "f", 0.2, 1e-4),)
    learning.restore(learned, learning.Learned(rows))
    assert learning.keep(learned) == learning.Learned(rows)


def test_the_number_of_images_that_are_told_apart_is_bounded():
    learned = learning.Interference()
    rows = tuple(learning.LearnedEffect("s", f"f{n}", 0.1, 0.1) for n in range(99))
    learning.restore(learned, learning.Learned(rows))
    assert len(learning.keep(learned).effects) == 32


def follow(loads, period, until):
    """Let loads see a swing four times a second."""
    for step in range(int(until * 4)):
        at = seconds(step * 0.25)
        load = loads.expect("a", at)
        seen = swinging(step * 0.25, period)
        error, total = seen - load.level, 0.005 + load.level_variance
        loads.learn("a", load.corrected(error, total))


def test_a_load_is_foreseen_through_its_turning_points():
    loads = Loads()
    follow(loads, 10.0, 40)
    ahead = [1.0, 2.0, 2.7]
    errors = [
        abs(loads.expect("a", seconds(39.75 + s)).level - swinging(39.75 + s))
        for s in ahead
    ]
    assert max(errors) < 0.08


def test_the_period_of_loads_is_learned():
    loads = Loads()
    follow(loads, 16.0, 600)
    assert 13.0 < loads.swing.period_s < 19.0


def test_an_old_load_says_nothing():
    load = Load(seconds(0), 0.9)
    assert load.at(seconds(60), Loads().swing).level == Loads().swing.mean


def know(schedule, serving, **effects):
    rows = (learning.LearnedEffect(serving, f, e, 1e-4) for f, e in effects.items())
    learning.restore(schedule.learned, learning.Learned(tuple(rows)))


def mixed_schedule(waits=True):
    """Two instances with tasks of two images each, and a filler that waits."""
    schedule = make_schedule(("i1", "i2"))
    know(schedule, "s", f=0.4, g=0.4, h=0.4)
    know(schedule, "t", f=0.01, g=0.01, h=0.01)
    layout = {"i1": ("s", "s", "t"), "i2": ("t", "t", "s")}
    for number, (name, images) in enumerate(layout.items()):
        for state in schedule.instances.values():
            state.is_reachable = state.instance.instance_id == name
        for index, image in enumerate(images):
            stage = evolve(SERVING, image=image)
            add_job(schedule, stage, job_id=job_name(10 * number + index))
        placing.place(schedule, seconds(1))
    for state in schedule.instances.values():
        state.is_reachable = True
    show_at_work(schedule, 5)
    if waits:
        add_job(schedule, FILLER, job_id=job_name(99))
        placing.place(schedule, seconds(5))
    return schedule


def show_at_work(schedule, at):
    for name, state in schedule.instances.items():
        rows = [row(*identity, 100, 6) for identity in state.runs]
        listed(schedule, name, running=rows, at=at)


def images_of(schedule, name):
    runs = sharing.serving_runs(schedule.instances[name])
    return sorted(run.stage.image for run in runs)


def test_tasks_disturbed_by_the_same_fillers_are_brought_together():
    schedule, at = mixed_schedule(), 8.0
    for _ in range(4):
        stops = [
            o
            for o in orders(regrouping.regroup(schedule, seconds(at)))
            if isinstance(o, StopRun)
        ]
        for stop in stops:
            for name, state in schedule.instances.items():
                rows = [
                    row(*identity, 100, 6)
                    for identity in state.runs
                    if identity != (stop.task, stop.number)
                ]
                for run in state.runs.values():
                    run.confirmed_at = run.confirmed_at or seconds(at)
                listed(schedule, name, running=rows, at=at + 0.5, sent=at + 0.4)
        placing.place(schedule, seconds(at + 0.6))
        at += 4
        show_at_work(schedule, at)
        at += 1
    assert images_of(schedule, "i1") == ["s", "s", "s"]
    assert images_of(schedule, "i2") == ["t", "t", "t"]


def test_no_task_is_moved_while_no_filler_waits():
    schedule = mixed_schedule(waits=False)
    assert not regrouping.regroup(schedule, seconds(8))


def test_no_task_is_moved_while_another_of_its_stage_is_away():
    schedule = mixed_schedule()
    for state in schedule.instances.values():
        for run in state.runs.values():
            run.percent = 40
    assert not regrouping.regroup(schedule, seconds(8))


def test_one_task_is_moved_at_a_time():
    schedule = mixed_schedule()
    at = seconds(8)
    assert len(orders(regrouping.regroup(schedule, at))) == 1
    assert not regrouping.regroup(schedule, at + dt.timedelta(milliseconds=100))

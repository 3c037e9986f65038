"""Tests of what an attempt to regroup costs, and that saving work changes no choice."""

import random

import pytest

from fighead.decisions import interference, placement, regrouping, run_updates
from fighead.decisions.schedule_state import RunPhase, RunState
from fighead.job import Stage
from fighead.run import StopRun
from job_builders import add_job, at_seconds, make_schedule, orders_in

INSTANCE_COUNT = 176
IMAGE_COUNT = 20
TASKS_PER_INSTANCE = 6
FILLER_IMAGES = tuple(f"f{number}" for number in range(12))
FILLER = Stage(4, 2000, 1, estimate_ms=3000, image="f0", is_filler=True)
KNOWN_VARIANCE = 1e-4


def make_job_id(number):
    return f"{number:016x}"


def make_mixed_site(rng, instance_count, image_count, tasks_per_instance, cpu):
    """Return a schedule whose instances serve several images, and a waiting filler."""
    names = tuple(f"i{number}" for number in range(instance_count))
    schedule = make_schedule(names)
    learn_effects(schedule, rng, image_count)
    places = list(names * tasks_per_instance)
    rng.shuffle(places)
    for number in range(image_count):
        serve(schedule, number, places[number::image_count], cpu)
    job = add_job(schedule, FILLER, job_id=make_job_id(image_count))
    for task in job.stages[0, 0].tasks:
        task.waiting_since = at_seconds(1)
    return schedule


def learn_effects(schedule, rng, image_count):
    rows = tuple(
        interference.LearnedEffect(
            f"s{number}", filler, rng.choice((0.01, 0.2, 0.4)), KNOWN_VARIANCE
        )
        for number in range(image_count)
        for filler in FILLER_IMAGES[:3]
    )
    interference.import_effects(schedule.interference, interference.Learned(rows))


def serve(schedule, number, names, cpu):
    """Add a job with a serving task in service on each of the named instances."""
    image = f"s{number}"
    spec = Stage(len(names), cpu, 1, image=image, target_ms=100, is_lasting=True)
    stage = add_job(schedule, spec, job_id=make_job_id(number)).stages[0, 0]
    started_at = at_seconds(0)
    for task, name in zip(stage.tasks, names, strict=True):
        run = RunState(task.key, 1, name, RunPhase.RUNNING, started_at, spec)
        run.percent = 100
        run_updates.add_run(schedule.instances[name], stage, task, run)


def count_calls(monkeypatch, module, name):
    """Record the arguments of the calls of a function."""
    calls, function = [], getattr(module, name)

    def counted(*args, **kwargs):
        calls.append(args)
        return function(*args, **kwargs)

    monkeypatch.setattr(module, name, counted)
    return calls


def test_an_attempt_to_regroup_compares_two_images_and_tries_an_instance_once(
    monkeypatch,
):
    # No instance has room for another task, so that each misplaced task is tried.
    schedule = make_mixed_site(
        random.Random(1), INSTANCE_COUNT, IMAGE_COUNT, TASKS_PER_INSTANCE, 10_500
    )
    compared = count_calls(monkeypatch, interference, "are_similarly_sensitive")
    tried = count_calls(monkeypatch, placement, "is_usable")
    assert not regrouping.regroup_serving_tasks(schedule, at_seconds(8))
    assert len(compared) <= IMAGE_COUNT**2
    assert len(tried) <= IMAGE_COUNT * INSTANCE_COUNT


def find_plain_choice(schedule, now):
    """Return the task to move, found by evaluating everything for each task."""
    learned = schedule.interference

    def group(state):
        groups = []
        for run in state.serving.values():
            for found in groups:
                if are_similar(found[0].stage.image, run.stage.image):
                    found.append(run)
                    break
            else:
                groups.append([run])
        return groups

    def are_similar(one, other):
        return interference.are_similarly_sensitive(learned, one, other)

    def cpu_of(runs):
        return sum(run.stage.cpu for run in runs)

    def suits(state, run):
        groups = group(state)
        if not groups:
            return interference.tolerates_most(learned, run.stage.image)
        return are_similar(run.stage.image, max(groups, key=cpu_of)[0].stage.image)

    for state in schedule.instances.values():
        groups = group(state)
        for run in min(groups, key=cpu_of) if len(groups) > 1 else ():
            job = schedule.jobs[run.key.job_id]
            if any(
                other is not state
                and suits(other, run)
                and placement.is_usable(other, job, job.stages[0, 0], now)
                for other in schedule.instances.values()
            ):
                return run.key
    return None


@pytest.mark.parametrize("seed", range(40))
def test_regrouping_moves_the_same_task_as_a_plain_evaluation(seed):
    rng = random.Random(seed)
    instance_count, image_count = rng.randint(2, 8), rng.randint(2, 6)
    schedule = make_mixed_site(
        rng, instance_count, image_count, rng.randint(2, 4), rng.choice((9000, 17000))
    )
    expected = find_plain_choice(schedule, at_seconds(8))
    orders = orders_in(regrouping.regroup_serving_tasks(schedule, at_seconds(8)))
    assert [order.task for order in orders if isinstance(order, StopRun)] == (
        [expected] if expected else []
    )

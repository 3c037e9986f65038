"""Tests of task placement, and of limiting interference by fillers."""

import datetime as dt

import pytest
from attrs import evolve, fields

from fighead.decisions import (
    filler_control,
    instance_health,
    instance_tracking,
    job_value,
    placement,
    run_updates,
)
from fighead.decisions import interference as learning
from fighead.decisions.schedule_state import RecentEnd
from fighead.decisions.start_window import StartWindow
from fighead.job import Demand, JobPhase, JobProgress, Queue, Stage, StageProgress
from fighead.job_settings import JobSettings
from fighead.run import EndKind, PaceRun, RefusalReason, StartRun, StopRun
from job_builders import (
    JOB_ID,
    LEASE,
    add_instance,
    add_job,
    at_seconds,
    ended_run,
    listed_run,
    make_schedule,
    orders_in,
    receive_listing,
    task_key,
)

FILLER = Stage(
    cpu=7000, memory_mb=1, estimate_ms=3000, image="f", is_filler=True,
    is_checkpointed=True,
)  # fmt: skip
SERVING = Stage(cpu=13000, memory_mb=1, is_lasting=True, image="s", target_ms=100)


def make_job_id(number):
    return f"{number:016x}"


def place_tasks(schedule, at=1.0):
    """Place waiting tasks; return instance ID and task key of each started run."""
    found = placement.place_waiting_tasks(schedule, at_seconds(at))
    return [
        (effect.instance_id, effect.order.task)
        for effect in found
        if hasattr(effect, "order") and isinstance(effect.order, StartRun)
    ]


def test_nothing_starts_before_all_instances_are_known():
    schedule = make_schedule()
    schedule.is_settled = False
    add_job(schedule)
    assert not place_tasks(schedule)


def test_no_instance_exceeds_its_capacity():
    schedule = make_schedule(("i1", "i2"), capacity=Demand(4000, 1000, 0))
    add_job(schedule, Stage(count=9, cpu=1500, memory_mb=100))
    starts = place_tasks(schedule)
    assert len(starts) == 4
    assert all(state.free_capacity.cpu >= 0 for state in schedule.instances.values())


def test_required_label_and_limit_per_instance_are_respected():
    schedule = make_schedule(("i1", "i2", "i3"))
    stage = Stage(count=6, cpu=1, required_label="r1", max_per_instance=2)
    add_job(schedule, stage)
    assert [name for name, _ in place_tasks(schedule)] == ["i2", "i2"]


def test_a_gang_starts_completely_with_one_run_number_or_not_at_all():
    schedule = make_schedule(("i1", "i2"), capacity=Demand(4000, 1000, 0))
    add_job(schedule, Stage(count=4, cpu=2000, is_gang=True))
    found = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    assert len(found) == 4 and len({order.number for order in found}) == 1
    add_job(schedule, Stage(count=2, cpu=2000, is_gang=True), job_id=make_job_id(2))
    assert not place_tasks(schedule)


def test_a_same_rack_gang_starts_on_one_rack():
    schedule = make_schedule(())
    for name, rack in (("i1", "r1"), ("i2", "r2"), ("i3", "r2")):
        add_instance(schedule, name, Demand(4000, 1000, 0), rack)
    schedule.is_settled = True
    add_job(schedule, Stage(count=4, cpu=2000, is_gang=True, same_rack=True))
    assert {name for name, _ in place_tasks(schedule)} == {"i2", "i3"}


def test_the_end_of_one_gang_task_ends_the_gang():
    schedule = make_schedule()
    job = add_job(schedule, Stage(count=3, cpu=1, is_gang=True))
    found = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    receive_listing(
        schedule, "i1", ended=[ended_run(1, found[0].task, found[0].number)]
    )
    assert job.phase is JobPhase.COMPLETED


def test_an_occurrence_starts_no_earlier_than_it_is_due():
    schedule = make_schedule()
    due_ms = int(at_seconds(5).timestamp() * 1000)
    add_job(schedule, first_due_ms=due_ms, interval_ms=10_000, occurrences=2)
    assert not place_tasks(schedule, 4.9)
    assert [task.occurrence for _, task in place_tasks(schedule, 5)] == [0]
    assert [task.occurrence for _, task in place_tasks(schedule, 15)] == [1]


def test_urgent_jobs_go_first():
    urgent = Queue("checks", "a.example", "/c/", "mill", 0)
    schedule = make_schedule(capacity=Demand(1000, 1000, 0))
    add_job(schedule)
    later = add_job(schedule, job_id=make_job_id(2))
    later.queue = urgent
    assert [task.job_id for _, task in place_tasks(schedule)] == [make_job_id(2)]


def test_under_overload_jobs_that_can_be_in_time_go_before_late_ones():
    schedule = make_schedule(capacity=Demand(1000, 1000, 0))
    old = add_job(schedule)
    add_job(schedule, job_id=make_job_id(2))
    old.accepted_at = at_seconds(-3)
    assert job_value.timeliness_of(old, at_seconds(1)) is job_value.Timeliness.LATE
    assert [task.job_id for _, task in place_tasks(schedule)] == [make_job_id(2)]


def test_the_next_start_carries_the_checkpoint():
    schedule = make_schedule()
    add_job(schedule, FILLER)
    (first,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    stopped = ended_run(1, first.task, first.number, EndKind.STOPPED, "00ff")
    receive_listing(schedule, "i1", ended=[stopped])
    (second,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(2)))
    assert second.checkpoint == "00ff" and second.number > first.number


def test_restored_failures_and_checkpoints_count():
    progress = JobProgress((StageProgress(0, 0, "1", {1: (1,)}, {1: "0a"}),))
    schedule = make_schedule(term=2)
    add_job(schedule, Stage(count=2, cpu=1, is_checkpointed=True), progress=progress)
    (order,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    assert order.task == task_key(1) and order.checkpoint == "0a"
    failed = ended_run(1, task_key(1), order.number, EndKind.FAILED)
    receive_listing(schedule, "i1", ended=[failed])
    assert next(iter(schedule.jobs.values())).phase is JobPhase.FAILED


# Fillers and serving tasks.


def make_serving_schedule(tail=20.0, load_at=1.0):
    """Return a schedule with a serving task, listed six times, and its run.

    The run is given by instance ID, task key and run number.
    """
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, SERVING, job_id=make_job_id(9))
    ((name, task),) = place_tasks(schedule)
    number = next(iter(schedule.instances[name].runs))[1]
    for step in range(6):
        at = load_at + step * 0.4
        receive_listing(
            schedule, name, running=[listed_run(task, number, 100, tail)], at=at
        )
    return schedule, name, task, number


def set_known_effects(schedule, serving, **effects):
    rows = (learning.LearnedEffect(serving, f, e, 1e-4) for f, e in effects.items())
    learning.import_effects(schedule.interference, learning.Learned(tuple(rows)))


def test_the_effect_of_a_pair_of_images_is_learned():
    learned = learning.Interference()
    now = at_seconds(0)
    stage = (make_job_id(1), 0, 0)
    for step in range(200):
        now = at_seconds(step * 0.5)
        weight = float(step % 2)
        filler_use = [learning.FillerUse("f", weight)] if weight else []
        tail = 20 / (1 - 0.4 - 0.3 * weight)
        learning.observe_tails(learned, stage, "i1", "s", 120, [tail], filler_use, now)
    assert abs(learning.effect_of(learned, "s", "f").mean - 0.3) < 0.05
    assert abs(learning.load_of(learned, stage, now).level - 0.4) < 0.1


def test_a_filler_starts_where_it_interferes_least():
    schedule, serving, _, _ = make_serving_schedule()
    set_known_effects(schedule, "s", f=0.5)
    add_job(schedule, FILLER)
    ((name, _),) = place_tasks(schedule, 3)
    assert name != serving


def test_a_filler_waits_if_a_serving_task_would_miss_its_target():
    schedule, _, _, _ = make_serving_schedule(tail=60.0)
    del schedule.instances["i2"]
    set_known_effects(schedule, "s", f=0.9)
    add_job(schedule, FILLER)
    assert not place_tasks(schedule, 3)


def test_a_filler_that_no_task_tolerates_starts_after_a_wait_if_half_empty():
    schedule, _, _, _ = make_serving_schedule(tail=60.0)
    del schedule.instances["i2"]
    set_known_effects(schedule, "s", f=0.9)
    add_job(schedule, FILLER)
    assert not place_tasks(schedule, 3) and not place_tasks(schedule, 4.8)
    assert len(place_tasks(schedule, 5.1)) == 1


def test_a_filler_that_no_task_tolerates_waits_if_over_half_used():
    schedule, _, _, _ = make_serving_schedule(tail=60.0)
    del schedule.instances["i2"]
    set_known_effects(schedule, "s", f=0.9)
    add_job(schedule, Stage(cpu=24000), job_id=make_job_id(3))
    assert len(place_tasks(schedule, 3)) == 1
    add_job(schedule, FILLER)
    assert not place_tasks(schedule, 3) and not place_tasks(schedule, 8)


# Failure: the capacity of instances that have left makes the others seem little used,
# so that a filler starts where it harms.
def test_a_filler_that_no_task_tolerates_waits_if_only_instances_that_left_are_empty():
    schedule, _, _, _ = make_serving_schedule(tail=60.0)
    state = schedule.instances["i2"]
    state.is_registered = state.is_reachable = False
    set_known_effects(schedule, "s", f=0.9)
    add_job(schedule, Stage(cpu=24000), job_id=make_job_id(3))
    assert len(place_tasks(schedule, 3)) == 1
    add_job(schedule, FILLER)
    assert not place_tasks(schedule, 3) and not place_tasks(schedule, 8)


def test_fillers_are_paused_if_a_serving_task_stays_late():
    schedule, serving, task, number = make_serving_schedule()
    schedule.instances.pop("i2" if serving == "i1" else "i1")
    set_known_effects(schedule, "s", f=0.05)
    add_job(schedule, FILLER)
    ((_, filler),) = place_tasks(schedule, 3)
    found = []
    for step in range(8):
        rows = [
            listed_run(task, number, 100, 300),
            listed_run(filler, 1, 50 + step, 7000),
        ]
        found += orders_in(
            receive_listing(schedule, serving, running=rows, at=3 + step * 0.4)
        )
    paces = [o.percent for o in found if isinstance(o, PaceRun)]
    assert paces and paces[-1] == 0


# Failure: a serving task that gets late right after a listing is late for over 4 s.
def test_all_fillers_are_paused_before_a_task_is_late_for_the_harm_time():
    schedule, serving, task, number = make_serving_schedule()
    schedule.instances.pop("i2" if serving == "i1" else "i1")
    set_known_effects(schedule, "s", f=0.05)
    add_job(schedule, FILLER)
    ((_, filler),) = place_tasks(schedule, 3)
    late_from = 4.0
    paused_at = []
    for second in range(4, 10):
        tail = 300 if second > late_from else 20
        rows = [
            listed_run(task, number, 100, tail),
            listed_run(filler, 1, 10 * second, 7000),
        ]
        found = orders_in(receive_listing(schedule, serving, running=rows, at=second))
        if any(isinstance(o, PaceRun) and not o.percent for o in found):
            paused_at.append(second)
    harm_time = fields(JobSettings).harm_time.default
    assert dt.timedelta(seconds=paused_at[0] - late_from) < harm_time


# Failure: a filler that an earlier leader had slowed down keeps its pace for good.
def test_a_filler_that_a_new_leader_finds_running_gets_its_pace_anew():
    schedule = make_schedule(("i1",))
    add_job(schedule, FILLER)
    rows = [listed_run(task_key(), 1, 50, 0)]
    assert orders_in(receive_listing(schedule, "i1", running=rows, at=1)) == [
        PaceRun(task_key(), 1, 100)
    ]
    assert not orders_in(receive_listing(schedule, "i1", running=rows, at=2))


def test_harmless_fillers_keep_running_if_a_task_is_late_by_its_own_load():
    schedule, serving, task, number = make_serving_schedule(tail=95.0)
    schedule.instances.pop("i2" if serving == "i1" else "i1")
    set_known_effects(schedule, "s", f=0.01)
    add_job(schedule, FILLER)
    ((_, filler),) = place_tasks(schedule, 3)
    rows = [listed_run(task, number, 100, 105), listed_run(filler, 1, 50, 7000)]
    found = orders_in(receive_listing(schedule, serving, running=rows, at=3.4))
    assert not [o for o in found if isinstance(o, PaceRun)]


def test_a_filler_leaves_tolerant_instances_to_fillers_that_need_them():
    schedule = make_schedule(("i1", "i2"))
    set_known_effects(schedule, "s", f=0.01, g=0.01, h=0.01)
    set_known_effects(schedule, "t", f=0.01, g=0.4, h=0.4)
    for number, image in enumerate("st"):
        stage = evolve(SERVING, image=image, max_per_instance=1)
        add_job(schedule, stage, job_id=make_job_id(number))
        schedule.instances["i2"].is_reachable = number > 0
        schedule.instances["i1"].is_reachable = number == 0
        assert place_tasks(schedule) == [
            (f"i{number + 1}", task_key(job_id=make_job_id(number)))
        ]
    schedule.instances["i1"].is_reachable = True
    add_job(schedule, FILLER, job_id=make_job_id(8))
    assert place_tasks(schedule, 2) == [("i2", task_key(job_id=make_job_id(8)))]
    add_job(schedule, evolve(FILLER, image="g"), job_id=make_job_id(9))
    assert place_tasks(schedule, 2) == [("i1", task_key(job_id=make_job_id(9)))]


@pytest.mark.parametrize(
    "first",
    [
        evolve(FILLER, required_label="none"),
        evolve(FILLER, memory_mb=10**9),
        evolve(FILLER, gpu=1),
        evolve(FILLER, count=3, max_per_instance=1),
    ],
    ids=["label", "memory", "gpu", "limit-per-instance"],
)
def test_a_filler_without_an_instance_holds_back_no_other_of_its_image(first):
    schedule = make_schedule(("i1", "i2"))
    urgent = add_job(schedule, first, job_id=make_job_id(1))
    urgent.queue = evolve(urgent.queue, priority=0)
    add_job(schedule, FILLER, job_id=make_job_id(2))
    *of_first, last = [task.job_id for _, task in place_tasks(schedule)]
    assert len(of_first) < first.count and set(of_first) <= {make_job_id(1)}
    assert last == make_job_id(2)


def test_a_filler_of_another_upstream_holds_back_no_filler_of_its_image():
    schedule = make_schedule()
    other = add_job(schedule, FILLER, job_id=make_job_id(1))
    other.queue = evolve(other.queue, upstream="other")
    add_job(schedule, FILLER, job_id=make_job_id(2))
    assert [task.job_id for _, task in place_tasks(schedule)] == [make_job_id(2)]


def test_serving_tasks_of_one_image_share_an_instance():
    schedule = make_schedule(("i1", "i2", "i3"))
    add_job(schedule, SERVING, job_id=make_job_id(1))
    ((first, _),) = place_tasks(schedule)
    add_job(schedule, SERVING, job_id=make_job_id(2))
    ((second, _),) = place_tasks(schedule)
    assert first == second


# Instance health and listings.


def test_an_instance_that_fails_several_jobs_gets_no_new_runs():
    schedule = make_schedule(("i1", "i2"))
    state = schedule.instances["i1"]
    state.recent_ends.extend(
        RecentEnd(at_seconds(1), make_job_id(n), False) for n in range(3)
    )
    instance_health.update_suspicion(schedule, state, at_seconds(1.5))
    assert instance_health.is_suspect(state, at_seconds(2))
    add_job(schedule)
    assert [name for name, _ in place_tasks(schedule, 2)] == ["i2"]


def test_stalled_runs_are_moved():
    schedule = make_schedule(("i1",))
    stage = Stage(cpu=1000, estimate_ms=2000, is_checkpointed=True)
    add_job(schedule, stage)
    ((name, task),) = place_tasks(schedule, 0)
    found = []
    for step in range(8):
        rows = [listed_run(task, 1, 30)]
        found += orders_in(receive_listing(schedule, name, running=rows, at=step * 0.4))
    assert StopRun(task, 1) in found


def test_at_most_a_third_of_the_instances_are_suspected():
    schedule = make_schedule(tuple(f"i{n}" for n in range(6)))
    for state in schedule.instances.values():
        state.recent_ends.extend(
            RecentEnd(at_seconds(1), make_job_id(n), False) for n in range(3)
        )
        instance_health.update_suspicion(schedule, state, at_seconds(1.5))
    suspected = [
        state
        for state in schedule.instances.values()
        if instance_health.is_suspect(state, at_seconds(2))
    ]
    assert len(suspected) == 2


# Failure: instances that have left count, so that most of the others are suspected.
def test_at_most_a_third_of_the_instances_that_have_not_left_are_suspected():
    schedule = make_schedule(tuple(f"i{n}" for n in range(12)))
    states = list(schedule.instances.values())
    for state in states[6:]:
        state.is_registered = False
    for state in states[:6]:
        state.recent_ends.extend(
            RecentEnd(at_seconds(1), make_job_id(n), False) for n in range(3)
        )
        instance_health.update_suspicion(schedule, state, at_seconds(1.5))
    suspected = [s for s in states if instance_health.is_suspect(s, at_seconds(2))]
    assert len(suspected) == 2


def make_schedule_of_suspects(names):
    """Return a schedule whose instances are all suspect, for long."""
    schedule = make_schedule(names, capacity=Demand(2000, 1000, 0))
    for state in schedule.instances.values():
        state.suspect_until = at_seconds(60)
    return schedule


LASTING = Stage(cpu=2000, memory_mb=1, is_lasting=True)


# Failure: jobs whose runs fail keep a lasting task off the only instances with room.
def test_a_lasting_task_does_not_wait_until_all_suspicion_has_ended():
    schedule = make_schedule_of_suspects(("i1", "i2"))
    add_job(schedule, LASTING)
    add_job(schedule, job_id=make_job_id(2))
    assert not place_tasks(schedule, 0)
    assert not place_tasks(schedule, 2.9)
    assert [task for _, task in place_tasks(schedule, 3)] == [task_key()]


def test_a_lasting_task_that_has_waited_prefers_an_instance_without_suspicion():
    schedule = make_schedule_of_suspects(("i1", "i2"))
    add_job(schedule, LASTING)
    assert not place_tasks(schedule, 0)
    schedule.instances["i2"].suspect_until = None
    assert [name for name, _ in place_tasks(schedule, 9)] == ["i2"]


def test_a_lasting_gang_does_not_wait_until_all_suspicion_has_ended():
    schedule = make_schedule_of_suspects(("i1", "i2"))
    add_job(schedule, evolve(LASTING, count=2, is_gang=True))
    assert not place_tasks(schedule, 0)
    assert len(place_tasks(schedule, 3)) == 2


# Failure: a task that has waited long waits for one of its stage that has just ended.
def test_a_lasting_task_keeps_no_other_off_suspect_instances():
    schedule = make_schedule_of_suspects(("i1", "i2"))
    schedule.instances["i1"].suspect_until = None
    add_job(schedule, evolve(LASTING, count=2))
    ((name, first),) = place_tasks(schedule, 0)
    schedule.instances[name].suspect_until = at_seconds(60)
    failed = ended_run(1, first, 1, EndKind.FAILED)
    receive_listing(schedule, name, ended=[failed], at=2.9)
    assert [task for _, task in place_tasks(schedule, 3)] == [task_key(1)]


def place_burst(schedule, at, count=20):
    """Place tasks beside a new job that fills a round; return the tasks."""
    stage = Stage(count=count, cpu=10, memory_mb=1, estimate_ms=1000)
    add_job(schedule, stage, job_id=make_job_id(2 + round(2 * at)))
    schedule.start_window.sent_at.clear()
    return [task for _, task in place_tasks(schedule, at)]


# Failure: a burst that takes all starts keeps a lasting task waiting beside room.
def test_a_lasting_task_does_not_wait_until_the_starts_of_a_burst_are_sent():
    schedule = make_schedule()
    schedule.start_window = StartWindow(limit=8)
    job = add_job(schedule, evolve(LASTING, count=3))
    job.queue = evolve(job.queue, priority=job.queue.priority + 1)
    found = [place_burst(schedule, at) for at in range(5)]
    lasting = [[task for task in tasks if task.job_id == JOB_ID] for tasks in found]
    assert lasting == [[], [], [], [task_key(0)], [task_key(1)]]
    assert [len(tasks) for tasks in found] == [8, 8, 8, 9, 9]


# Failure: lasting tasks start one a round beside a burst, and rounds are rare then.
def test_many_lasting_tasks_start_in_time_beside_a_burst():
    schedule = make_schedule()
    schedule.start_window = StartWindow(limit=40)
    job = add_job(schedule, evolve(LASTING, count=20))
    job.queue = evolve(job.queue, priority=job.queue.priority + 1)
    found = [place_burst(schedule, at / 2, count=80) for at in range(18)]
    counts = [sum(task.job_id == JOB_ID for task in tasks) for tasks in found]
    assert counts == [0] * 6 + [4] * 5 + [0] * 7
    assert max(len(tasks) for tasks in found) == 44


def test_a_lasting_task_without_room_takes_no_start_of_a_burst():
    schedule = make_schedule(capacity=Demand(1000, 1000, 0))
    schedule.start_window = StartWindow(limit=8)
    job = add_job(schedule, LASTING)
    job.queue = evolve(job.queue, priority=job.queue.priority + 1)
    assert [len(place_burst(schedule, at)) for at in range(5)] == [8] * 5


def test_a_listed_run_of_an_ended_job_is_stopped():
    schedule = make_schedule()
    add_job(schedule)
    schedule.ended_phases[make_job_id(7)] = JobPhase.COMPLETED
    unwanted = task_key(job_id=make_job_id(7))
    found = orders_in(
        receive_listing(schedule, "i1", running=[listed_run(unwanted, 3)])
    )
    assert found == [StopRun(unwanted, 3)]


def test_a_listing_requested_before_a_start_was_confirmed_is_no_proof_of_loss():
    schedule = make_schedule()
    add_job(schedule)
    (order,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    run_updates.apply_start_result(
        schedule, order.task, order.number, None, at_seconds(1.1)
    )
    receive_listing(schedule, "i1", at=1.2, sent=1.0)
    assert not place_tasks(schedule, 1.3)
    receive_listing(schedule, "i1", at=1.4, sent=1.3)
    assert place_tasks(schedule, 1.5)


def test_a_filler_is_not_paced_without_serving_tasks():
    schedule = make_schedule()
    add_job(schedule, FILLER)
    ((_, task),) = place_tasks(schedule)
    state = schedule.instances["i1"]
    receive_listing(schedule, "i1", running=[listed_run(task, 1, 10, 7000)])
    assert not filler_control.pace_fillers(schedule, state, at_seconds(2))
    assert (
        dt.timedelta()
        < filler_control.PAUSE_HARMFUL_AFTER
        < filler_control.PAUSE_ALL_AFTER
    )


def make_schedule_of_reserved_instances():
    """Return a schedule whose only usable instance is reserved, for a while."""
    names = [f"i{number}" for number in range(10)]
    schedule = make_schedule(names)
    for name in names[1:]:
        state = schedule.instances[name]
        state.instance = evolve(state.instance, is_draining=True)
    return schedule


SENSITIVE = Stage(1, 1000, 100, is_lasting=True, image="s", target_ms=50)


# Failure: each leader holds a serving task back for as long as the one before.
def test_a_serving_task_of_an_earlier_leader_is_not_held_back_again():
    schedule = make_schedule_of_reserved_instances()
    schedule.fence = 7
    job = add_job(schedule, SENSITIVE)
    assert job.revision <= schedule.fence
    assert orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))


def test_a_serving_task_of_a_new_job_is_held_back_once():
    schedule = make_schedule_of_reserved_instances()
    add_job(schedule, SENSITIVE)
    assert not placement.place_waiting_tasks(schedule, at_seconds(0))
    assert not placement.place_waiting_tasks(schedule, at_seconds(2.9))
    assert orders_in(placement.place_waiting_tasks(schedule, at_seconds(3)))


# Failure: instances that have left count towards the reserved share, so that a serving
# task is held back although enough instances are spare.
def test_a_serving_task_is_not_held_back_because_of_instances_that_left():
    schedule = make_schedule([f"i{number}" for number in range(20)])
    for number in range(2, 20):
        state = schedule.instances[f"i{number}"]
        state.is_registered = state.is_reachable = False
    add_job(schedule, SENSITIVE)
    assert orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))


def suspect_all(schedule, until_s):
    for state in schedule.instances.values():
        state.suspect_until = at_seconds(until_s)


# Failure: a lasting task waits as long as the instances with room look unhealthy.
@pytest.mark.parametrize("target_ms", [0, 50])
def test_a_lasting_task_starts_on_suspect_instances_if_no_other_has_room(target_ms):
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, evolve(SENSITIVE, target_ms=target_ms))
    suspect_all(schedule, 60)
    assert not place_tasks(schedule, 0)
    assert not place_tasks(schedule, 2.9)
    assert len(place_tasks(schedule, 3)) == 1


def test_a_lasting_task_keeps_off_suspect_instances_if_another_has_room():
    schedule = make_schedule(("i1", "i2"))
    schedule.fence = 7
    add_job(schedule, evolve(SENSITIVE, count=3))
    schedule.instances["i1"].suspect_until = at_seconds(60)
    assert {name for name, _ in place_tasks(schedule, 9)} == {"i2"}


@pytest.mark.parametrize("change", [{"is_draining": True}, {"is_lasting": False}])
def test_no_other_task_and_no_other_obstacle_is_excepted(change):
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, evolve(SENSITIVE, is_lasting=change.get("is_lasting", True)))
    suspect_all(schedule, 60)
    for state in schedule.instances.values():
        state.instance = evolve(
            state.instance, is_draining=change.get("is_draining", False)
        )
    place_tasks(schedule, 0)
    assert not place_tasks(schedule, 30)


def make_schedule_with_few_instances_for_serving(count):
    """Return a schedule whose only usable instances are reserved, for a while."""
    schedule = make_schedule([f"i{number}" for number in range(10 * count)])
    for name in list(schedule.instances)[count:]:
        state = schedule.instances[name]
        state.instance = evolve(state.instance, is_draining=True)
    return schedule


# Failure: each task of a stage is held back only after the one before has started.
def test_serving_tasks_of_a_stage_are_held_back_at_the_same_time():
    schedule = make_schedule_with_few_instances_for_serving(3)
    add_job(schedule, evolve(SENSITIVE, count=3, max_per_instance=1))
    assert not place_tasks(schedule, 0)
    assert len(place_tasks(schedule, 3)) == 3


# Failure: a task that has waited long waits for one of its stage that has just ended.
def test_a_serving_task_is_not_held_back_with_one_that_waits_since_later():
    schedule = make_schedule_with_few_instances_for_serving(2)
    add_job(schedule, evolve(SENSITIVE, count=2, max_per_instance=1))
    schedule.instances["i1"].is_reachable = False
    place_tasks(schedule, 0)
    ((name, first),) = place_tasks(schedule, 3)
    failed = ended_run(1, first, 1, EndKind.FAILED)
    receive_listing(schedule, name, ended=[failed], at=20)
    schedule.instances["i1"].is_reachable = True
    assert [task for _, task in place_tasks(schedule, 20)] == [task_key(1)]


# Failure: a serving task is held back anew after each start that is refused.
def test_a_serving_task_whose_start_is_refused_is_not_held_back_again():
    schedule = make_schedule_of_reserved_instances()
    add_job(schedule, SENSITIVE)
    place_tasks(schedule, 0)
    ((_, task),) = place_tasks(schedule, 3)
    answer = run_updates.apply_start_result
    answer(schedule, task, 1, RefusalReason.NO_ROOM, at_seconds(3.1))
    assert place_tasks(schedule, 4)


# Failure: a serving task is held back anew after each start without an answer.
def test_a_serving_task_whose_start_gets_no_answer_is_not_held_back_again():
    schedule = make_schedule_of_reserved_instances()
    add_job(schedule, SENSITIVE)
    place_tasks(schedule, 0)
    ((name, task),) = place_tasks(schedule, 3)
    run_updates.stop_unanswered_start(schedule, task, 1)
    run_updates.record_stop_confirmation(schedule, task, 1, at_seconds(5))
    receive_listing(schedule, name, at=5.2)
    assert place_tasks(schedule, 5.2)


# Failure: a serving task is held back after the leases of its instance have ended,
# although it has not run since the instance fell silent.
def test_a_serving_task_of_a_lost_instance_is_not_held_back():
    schedule = make_schedule_with_few_instances_for_serving(2)
    add_job(schedule, SENSITIVE)
    place_tasks(schedule, 0)
    ((name, task),) = place_tasks(schedule, 3)
    receive_listing(schedule, name, running=[listed_run(task, 1)], at=10)
    state = schedule.instances[name]
    instance_tracking.record_silence(state, at_seconds(11))
    schedule.predecessors_end = at_seconds(0)
    state.leases_end_at = at_seconds(16.5)
    schedule.sole_at = at_seconds(17)
    instance_tracking.update_instances(schedule, LEASE, at_seconds(17))
    assert [task for _, task in place_tasks(schedule, 17)] == [task]

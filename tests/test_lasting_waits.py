"""Tests that the log tells why a lasting task has no run beside room for it."""

import pytest

from fighead.decisions import instance_tracking, lasting_waits, placement
from fighead.decisions.lasting_waits import LastingWatch
from fighead.decisions.leader_status import LeaderStatus
from fighead.decisions.schedule_state import RunPhase
from fighead.decisions.start_window import StartWindow
from fighead.job import Demand, Stage
from job_builders import LEASE, add_instance, add_job, at_seconds, make_schedule

STATUS = LeaderStatus(LEASE)
SERVING = Stage(cpu=1000, memory_mb=100, is_lasting=True, target_ms=50, image="a")


def collect_fields(watch, schedule, seconds):
    """Return the fields of the lines of looks at these times."""
    notes = []
    for second in seconds:
        notes += lasting_waits.describe_waits(
            watch, schedule, STATUS, at_seconds(second)
        )
    return [note.fields for note in notes]


def describe(schedule, wait_s=3):
    fields = collect_fields(LastingWatch(), schedule, range(wait_s + 1))
    return fields[0] if fields else None


def block(**fields):
    def change(schedule):
        for state in schedule.instances.values():
            for name, value in fields.items():
                setattr(state, name, value)

    return change


@pytest.mark.parametrize(
    ("change", "obstacle"),
    [
        (lambda schedule: None, "none"),
        (block(suspect_until=at_seconds(60)), "suspect"),
        (block(start_backoff_until=at_seconds(60)), "backed_off"),
        (block(is_in_stored_fleet=False), "not_in_stored_fleet"),
        (block(unwanted={"run": at_seconds(0)}), "unwanted_runs"),
        (block(is_reachable=False), "silent"),
        (block(is_registered=False), "unregistered"),
    ],
)
def test_the_line_tells_what_keeps_a_lasting_task_from_room(change, obstacle):
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, SERVING)
    change(schedule)
    line = describe(schedule)
    assert (line["count"], line["by_absence"]) == (1, {"waiting": 1})
    assert (line["roomy"], line["obstacles"]) == (2, {obstacle: 2})
    assert (line["absent_ms"], line["room_ms"]) == (3000, 3000)
    assert line["is_startable"] and line["may_act"]


def test_the_line_tells_that_the_limit_of_starts_is_reached():
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, SERVING)
    schedule.start_window = StartWindow(limit=0)
    line = describe(schedule)
    assert (line["start_limit"], line["obstacles"]) == (0, {"none": 2})


def test_the_line_tells_whether_a_task_is_held_back():
    schedule = make_schedule(("i1", "i2"))
    for number in range(18):
        add_instance(schedule, f"leaving{number}", is_draining=True)
    add_job(schedule, SERVING)
    assert not placement.place_waiting_tasks(schedule, at_seconds(2))
    lines = collect_fields(LastingWatch(), schedule, range(8))
    assert [line["held_back"] for line in lines] == [True, False, False]


def test_the_line_tells_that_a_new_leader_is_not_settled():
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, SERVING)
    schedule.is_settled = False
    line = describe(schedule)
    assert not line["is_startable"] and not line["is_settled"]


@pytest.mark.parametrize("is_late", [False, True])
def test_the_line_tells_that_a_silent_instance_holds_the_task(is_late):
    schedule = make_schedule(("i1", "i2", "i3"))
    job = add_job(schedule, SERVING)
    placement.place_waiting_tasks(schedule, at_seconds(-4))
    placement.place_waiting_tasks(schedule, at_seconds(0))
    (run,) = job.runs()
    state = schedule.instances[run.instance_id]
    if is_late:
        schedule.lost_calls.note(at_seconds(0))
        instance_tracking.note_unanswered_start(
            schedule, run.key, run.number, LEASE, at_seconds(0)
        )
    run.phase = RunPhase.RUNNING
    state.leases_end_at = at_seconds(6)
    instance_tracking.record_silence(state, at_seconds(0))
    line = describe(schedule)
    assert line["absence"] == ("late_start" if is_late else "held")
    assert (line["held_by"], line["leases_ms"]) == (run.instance_id, 3000)
    assert (line["late_start_ms"] is not None) is is_late
    assert line["obstacles"] == {"none": 2, "silent": 1}


@pytest.mark.parametrize("phase", [RunPhase.ORDERED, RunPhase.STOPPING])
def test_the_line_tells_that_a_start_or_stop_has_no_answer(phase):
    schedule = make_schedule(("i1", "i2", "i3"))
    job = add_job(schedule, SERVING)
    placement.place_waiting_tasks(schedule, at_seconds(-4))
    placement.place_waiting_tasks(schedule, at_seconds(0))
    (run,) = job.runs()
    run.phase = phase
    line = describe(schedule)
    assert (line["absence"], line["held_by"]) == (phase.value, run.instance_id)
    run.phase = RunPhase.RUNNING
    assert describe(schedule) is None


def test_room_on_one_instance_or_on_leaving_ones_is_not_room():
    schedule = make_schedule(("i1",))
    add_instance(schedule, "i2", is_draining=True)
    add_instance(schedule, "i3").is_evacuated = True
    add_instance(schedule, "i4", capacity=Demand(500, 256000, 0))
    add_job(schedule, SERVING)
    assert describe(schedule, wait_s=10) is None


def test_room_that_comes_and_goes_is_not_logged():
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, SERVING)
    watch, state = LastingWatch(), schedule.instances["i2"]
    for second in range(12):
        state.used = Demand(64000 if second % 2 else 0, 0, 0)
        assert not collect_fields(watch, schedule, [second])


def test_a_line_is_logged_at_most_every_two_seconds():
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, Stage(count=3, cpu=1000, is_lasting=True))
    lines = collect_fields(LastingWatch(), schedule, range(10))
    assert [line["absent_ms"] for line in lines] == [3000, 5000, 7000, 9000]
    assert {line["count"] for line in lines} == {3}


def test_tasks_that_end_are_not_described():
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, Stage(cpu=1000))
    assert describe(schedule, wait_s=10) is None

"""Pacing of fillers beside serving tasks that miss their targets."""

import datetime as dt
import math

import pytest
from attrs import evolve

from fighead.decisions import filler_control
from fighead.decisions import interference as learning
from fighead.decisions.schedule_state import LogNote
from fighead.job import JobSpec, Stage
from fighead.log import Event
from fighead.standins.simulated_job_instance import SimulatedJobInstance
from job_builders import (
    JOB_ID,
    add_job,
    at_seconds,
    listed_run,
    make_schedule,
    receive_listing,
    task_key,
)
from job_cluster import JobCluster

SERVING_JOB_ID = "0000000000000001"
SERVING = Stage(cpu=13000, memory_mb=1, is_lasting=True, image="s", target_ms=24)
FILLER = Stage(cpu=7000, memory_mb=1, estimate_ms=3000, image="f", is_filler=True)
TARGET_MS = 24
FAST_MS = 6
HARM_TIME_S = 4


def make_paced_schedule(filler=FILLER):
    """Return a schedule with a serving task and a filler, both running on i1."""
    schedule = make_schedule(("i1",))
    add_job(schedule, SERVING, job_id=SERVING_JOB_ID)
    add_job(schedule, filler)
    list_tails(schedule, [FAST_MS], at=1)
    return schedule


def list_tails(schedule, tails, at, filler_use=7000, sent=None):
    """Apply a listing with the tail of the serving task, and the use of the filler."""
    serving = task_key(job_id=SERVING_JOB_ID)
    rows = [listed_run(serving, 1, 100, tail) for tail in tails]
    rows.append(listed_run(task_key(), 1, 5 * int(at), filler_use))
    return receive_listing(schedule, "i1", running=rows, at=at, sent=sent)


def notes_in(effects, event):
    return [
        effect.fields
        for effect in effects
        if isinstance(effect, LogNote) and effect.event is event
    ]


def test_a_missed_target_is_logged_with_the_fillers_beside_it():
    schedule = make_paced_schedule()
    (note,) = notes_in(list_tails(schedule, [40], at=2), Event.TARGET_MISSED)
    assert note["task"] == f"{SERVING_JOB_ID}.0.0.0"
    assert (note["tail_ms"], note["target_ms"], note["late_ms"]) == (40, TARGET_MS, 0)
    (filler,) = note["fillers"]
    assert filler["task"] == f"{JOB_ID}.0.0.0"
    assert (filler["percent"], filler["usage"]) == (100, 7000)
    (note,) = notes_in(list_tails(schedule, [40], at=3), Event.TARGET_MISSED)
    assert note["late_ms"] == 1000
    assert not notes_in(list_tails(schedule, [FAST_MS], at=4), Event.TARGET_MISSED)


def test_an_order_on_pace_is_logged_with_the_earlier_pace():
    schedule = make_paced_schedule()
    found = []
    for at in (2, 3, 4, 5):
        found += notes_in(list_tails(schedule, [300], at=at), Event.RUN_PACED)
    assert found[0]["instance"] == "i1"
    assert [note["percent"] for note in found][-1] == 0
    assert found[-1]["earlier_percent"] > 0


def set_known_effect(schedule, effect, variance=1e-4):
    row = learning.LearnedEffect("s", "f", effect, variance)
    learning.import_effects(schedule.interference, learning.Learned((row,)))


# Failure: as its forecast load falls, a late task gets its fillers back and stays late.
def test_no_pace_is_raised_beside_a_task_that_misses_its_target():
    schedule = make_paced_schedule()
    set_known_effect(schedule, 0.4)
    paces = []
    for step, tail in enumerate((20, 60, 30, 25, 25)):
        found = list_tails(schedule, [tail], at=1.5 + step / 2)
        paces += [note["percent"] for note in notes_in(found, Event.RUN_PACED)]
    assert len(paces) > 1
    assert paces == sorted(paces, reverse=True)
    found = list_tails(schedule, [FAST_MS], at=4)
    assert notes_in(found, Event.RUN_PACED)[0]["percent"] > paces[-1]


def pause_delay(first_miss_s):
    """Return after how many seconds a late task's filler is paused.

    Listings come once a second, and show a miss half a second later; the checks
    between them come ten times a second.
    """
    schedule = make_schedule(("i1",))
    set_known_effect(schedule, 0.01, variance=1e-9)
    add_job(schedule, SERVING, job_id=SERVING_JOB_ID)
    add_job(schedule, FILLER)
    for tick in range(10, 100):
        at = tick / 10
        tail = 30 if at >= first_miss_s + 0.5 else FAST_MS
        found = list_tails(schedule, [tail], at=at) if tick % 10 == 0 else []
        found += filler_control.pace_between_listings(schedule, at_seconds(at))
        if any(note["percent"] == 0 for note in notes_in(found, Event.RUN_PACED)):
            return at - first_miss_s
    return math.inf


# Failure: listings a second apart show for how long a task is late, a second late.
@pytest.mark.parametrize("first_miss_s", [1.0, 1.3, 1.5, 1.6, 1.9])
def test_fillers_are_paused_before_a_late_task_counts_as_harmed(first_miss_s):
    assert pause_delay(first_miss_s) <= HARM_TIME_S - 0.3


def test_a_pause_does_not_wait_for_the_next_listing(monkeypatch):
    cluster = JobCluster(instance_count=1)
    cluster.advance(2)
    scheduler = cluster.entries[cluster.leader()].entry.scheduler
    set_known_effect(scheduler.schedule, 0.01, variance=1e-9)
    serving, filler = evolve(SERVING, cpu=2000), evolve(FILLER, cpu=1000)
    cluster.submit(SERVING_JOB_ID, JobSpec("x", (serving,)))
    cluster.submit(JOB_ID, JobSpec("x", (evolve(filler, estimate_ms=30_000),)))
    cluster.advance(3)
    paces = []

    def make_late_run(instance, run):
        listed = make_listed_run(instance, run)
        return evolve(listed, usage=30) if run.stage.target_ms else listed

    def set_pace(instance, order, fence):
        paces.append((cluster.clock.now(), order.percent))

    make_listed_run = SimulatedJobInstance._make_listed_run
    monkeypatch.setattr(SimulatedJobInstance, "_make_listed_run", make_late_run)
    monkeypatch.setattr(SimulatedJobInstance, "set_pace", set_pace)
    cluster.advance(4)
    (run,) = scheduler.schedule.instances["i0"].serving.values()
    ((paced_at, percent),) = paces
    assert percent == 0
    delay = paced_at - run.over_target_since
    assert delay < filler_control.PAUSE_ALL_AFTER + dt.timedelta(seconds=0.2)


# Failure: a new leader sets fillers to full speed that the one before had paused.
def test_a_filler_of_an_earlier_leader_is_not_sped_up_beside_a_late_task():
    schedule = make_schedule(("i1",))
    set_known_effect(schedule, 0.01)
    add_job(schedule, SERVING, job_id=SERVING_JOB_ID)
    add_job(schedule, FILLER)
    (note,) = notes_in(list_tails(schedule, [30], at=1), Event.RUN_PACED)
    assert (note["percent"], note["earlier_percent"]) == (0, None)
    (note,) = notes_in(list_tails(schedule, [FAST_MS], at=2), Event.RUN_PACED)
    assert note["percent"] == 100

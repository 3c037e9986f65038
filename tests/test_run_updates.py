"""Tests of how listings and ended runs update jobs."""

import pytest

from fighead.codec import from_json, to_json
from fighead.decisions import instance_tracking, job_lifecycle, placement
from fighead.job import JobPhase, JobProgress, Stage
from fighead.run import EndKind, StartRun
from job_builders import (
    LEASE,
    add_job,
    at_seconds,
    ended_run,
    listed_run,
    make_schedule,
    orders_in,
    receive_listing,
    task_key,
)

TWO_TASKS = Stage(count=2, cpu=1000, memory_mb=100, estimate_ms=1000)


def restore_schedule(job):
    """Return a schedule of the next term that has loaded the progress of ``job``."""
    progress = from_json(to_json(job_lifecycle.build_progress(job)), JobProgress)
    schedule = make_schedule(term=2)
    add_job(schedule, *job.record.spec.stages, progress=progress)
    return schedule


def test_a_failed_run_that_is_listed_again_counts_once():
    # The failure was stored, but all entries died before they acknowledged it to the
    # instance, which therefore lists it again to the next scheduler.
    schedule = make_schedule()
    job = add_job(schedule, TWO_TASKS)
    placement.place_waiting_tasks(schedule, at_seconds(0))
    failed = ended_run(1, task_key(0), 1, EndKind.FAILED)
    receive_listing(schedule, "i1", ended=[failed])
    successor = restore_schedule(job)
    receive_listing(successor, "i1", ended=[failed])
    assert successor.jobs[job.job_id].phase is not JobPhase.FAILED
    assert orders_in(placement.place_waiting_tasks(successor, at_seconds(2)))


def test_a_task_that_fails_as_often_as_allowed_ends_its_job():
    schedule = make_schedule()
    job = add_job(schedule)
    for sequence in (1, 2):
        (order,) = orders_in(
            placement.place_waiting_tasks(schedule, at_seconds(sequence))
        )
        failed = ended_run(sequence, task_key(), order.number, EndKind.FAILED)
        receive_listing(schedule, "i1", ended=[failed], at=sequence)
    assert job.phase is JobPhase.FAILED


def test_a_done_run_that_is_listed_again_is_not_repeated():
    schedule = make_schedule()
    job = add_job(schedule, TWO_TASKS)
    placement.place_waiting_tasks(schedule, at_seconds(0))
    done = ended_run(1, task_key(0), 1)
    receive_listing(schedule, "i1", ended=[done])
    successor = restore_schedule(job)
    receive_listing(successor, "i1", ended=[done])
    started = [
        o.task
        for o in orders_in(placement.place_waiting_tasks(successor, at_seconds(2)))
    ]
    assert started == [task_key(1)]


def test_a_run_of_an_earlier_term_is_adopted_and_numbers_go_on_above_it():
    schedule = make_schedule(term=3)
    add_job(schedule)
    receive_listing(schedule, "i1", running=[listed_run(task_key(), 10_003)])
    assert not orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    receive_listing(
        schedule, "i1", ended=[ended_run(1, task_key(), 10_003, EndKind.LAPSED)], at=2
    )
    (order,) = orders_in(placement.place_waiting_tasks(schedule, at_seconds(2)))
    assert isinstance(order, StartRun) and order.number == 20_001


def test_nothing_starts_beside_a_run_of_unknown_size_until_it_is_gone():
    schedule = make_schedule()
    add_job(schedule)
    unwanted = listed_run(task_key(job_id="f" * 16), 3)
    receive_listing(schedule, "i1", running=[unwanted], at=1)
    assert not placement.place_waiting_tasks(schedule, at_seconds(1.1))
    receive_listing(schedule, "i1", at=1.5)
    assert orders_in(placement.place_waiting_tasks(schedule, at_seconds(1.6)))


def test_the_stop_of_an_unwanted_run_is_repeated_only_after_its_time():
    schedule = make_schedule()
    task = task_key(job_id="f" * 16)
    stops = []
    for at in (1, 1.1, 1.2, 1.3, 2.5):
        found = receive_listing(schedule, "i1", running=[listed_run(task, 3)], at=at)
        stops.append(len(orders_in(found)))
    assert stops == [1, 0, 0, 0, 1]


@pytest.mark.parametrize(("is_replaced", "expected_s"), [(True, 6.4), (False, 19.4)])
def test_runs_of_an_instance_whose_address_another_one_has_wait_for_no_late_start(
    is_replaced, expected_s
):
    schedule = make_schedule()
    add_job(schedule)
    placement.place_waiting_tasks(schedule, at_seconds(0))
    state = schedule.instances["i1"]
    state.leases_end_at = at_seconds(0)
    (run,) = state.runs.values()
    instance_tracking.expect_late_start(run, LEASE)
    instance_tracking.reset_after_restart(
        state, LEASE, at_seconds(0), is_replaced=is_replaced
    )
    schedule.predecessors_end = at_seconds(0)
    schedule.sole_at = at_seconds(expected_s - 0.2)
    instance_tracking.update_instances(schedule, LEASE, at_seconds(expected_s - 0.2))
    assert state.runs
    schedule.sole_at = at_seconds(expected_s)
    instance_tracking.update_instances(schedule, LEASE, at_seconds(expected_s))
    assert not state.runs


# Failure: an instance counts as listed although it has more ends than a listing holds,
# and the tasks of the other ends are started again.
def test_an_instance_is_listed_only_once_it_has_listed_all_its_ends():
    schedule = make_schedule()
    state = schedule.instances["i1"]
    state.is_listed = schedule.is_settled = False
    instance_tracking.set_inherited_fleet(schedule, ("i1",))
    job = add_job(schedule, Stage(count=600, cpu=1, memory_mb=1, estimate_ms=100))
    ends = [ended_run(n + 1, task_key(n), 1) for n in range(600)]
    for page, is_listed in ((ends[:500], False), (ends[500:], True)):
        receive_listing(schedule, "i1", ended=page)
        instance_tracking.update_instances(schedule, LEASE, at_seconds(1))
        assert state.is_listed is schedule.is_settled is is_listed
        assert not orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    assert job.phase is JobPhase.COMPLETED

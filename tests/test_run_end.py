"""Tests of what listings and ends of runs mean for jobs."""

from fighead.codec import from_json, to_json
from fighead.decisions import job_intake, placing
from fighead.job import JobPhase, JobProgress, Stage
from fighead.run import EndKind, StartRun
from job_world import add_job, end, key, listed, make_schedule, orders, row, seconds

PAIR = Stage(count=2, cpu=1000, memory_mb=100, estimate_ms=1000)


def restored(job):
    """Return a new schedule that has read what was written of ``job``."""
    progress = from_json(to_json(job_intake.progress_of(job)), JobProgress)
    schedule = make_schedule(term=2)
    add_job(schedule, *job.record.spec.stages, progress=progress)
    return schedule


def test_a_failed_run_that_is_listed_again_counts_once():
    # It was written, but the instance was not told before all entries died.
    schedule = make_schedule()
    job = add_job(schedule, PAIR)
    placing.place(schedule, seconds(0))
    failed = end(1, key(0), 1, EndKind.FAILED)
    listed(schedule, "i1", ended=[failed])
    later = restored(job)
    listed(later, "i1", ended=[failed])
    assert later.jobs[job.job_id].phase is not JobPhase.FAILED
    assert orders(placing.place(later, seconds(2)))


def test_a_task_that_fails_as_often_as_allowed_ends_its_job():
    schedule = make_schedule()
    job = add_job(schedule)
    for sequence in (1, 2):
        (order,) = orders(placing.place(schedule, seconds(sequence)))
        failed = end(sequence, key(), order.number, EndKind.FAILED)
        listed(schedule, "i1", ended=[failed], at=sequence)
    assert job.phase is JobPhase.FAILED


def test_a_done_run_that_is_listed_again_is_not_repeated():
    schedule = make_schedule()
    job = add_job(schedule, PAIR)
    placing.place(schedule, seconds(0))
    done = end(1, key(0), 1)
    listed(schedule, "i1", ended=[done])
    later = restored(job)
    listed(later, "i1", ended=[done])
    started = [o.task for o in orders(placing.place(later, seconds(2)))]
    assert started == [key(1)]


def test_a_run_of_an_earlier_term_is_adopted_and_numbers_go_on_above_it():
    schedule = make_schedule(term=3)
    add_job(schedule)
    listed(schedule, "i1", running=[row(key(), 10_003)])
    assert not orders(placing.place(schedule, seconds(1)))
    listed(schedule, "i1", ended=[end(1, key(), 10_003, EndKind.LAPSED)], at=2)
    (order,) = orders(placing.place(schedule, seconds(2)))
    assert isinstance(order, StartRun) and order.number == 20_001

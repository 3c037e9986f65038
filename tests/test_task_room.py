"""Which jobs are refused since the scheduler can't keep their tasks."""

from fighead.decisions import task_room
from fighead.decisions.task_room import TaskRoom
from fighead.job import MAX_TASKS_PER_JOB, JobSpec, Stage
from job_builders import add_job, make_schedule


# Load: jobs of few bytes and thousands of tasks, which the scheduler keeps.
def test_jobs_of_more_tasks_than_the_scheduler_can_keep_are_refused():
    room = TaskRoom(spare=32_000)
    assert [task_room.reserve(room, 10_000) for _ in range(4)] == [True] * 3 + [False]
    for _ in range(3):
        task_room.release(room, 10_000, may_be_stored=True)
    # The first report may have been made before the jobs reached the scheduler.
    task_room.report_spare(room, 32_000, entries=1)
    assert not task_room.reserve(room, 10_000)
    task_room.report_spare(room, 32_000, entries=1)
    assert task_room.reserve(room, 10_000)


# Failure: what was refused or failed counts for ever.
def test_tasks_of_a_job_that_is_not_stored_are_given_back():
    room = TaskRoom(spare=12_000)
    for _ in range(3):
        assert task_room.reserve(room, 10_000)
        task_room.release(room, 10_000, may_be_stored=False)
    assert not room.taken


# Failure: each of many entries accepts as much as the scheduler can keep.
def test_entries_share_what_the_scheduler_can_keep():
    room = TaskRoom(spare=30_000, entries=10)
    assert task_room.reserve(room, 10_000)
    assert not task_room.reserve(room, 10_000)
    room = TaskRoom(spare=30_000, entries=10)
    assert [task_room.reserve(room, 1000) for _ in range(4)] == [True] * 3 + [False]


# Failure: jobs of many tasks leave no room to ordinary callers.
def test_large_jobs_leave_room_to_small_ones():
    room = TaskRoom(spare=11_000)
    assert not task_room.reserve(room, 10_000)
    assert task_room.reserve(room, 9000) and task_room.reserve(room, 100)


# Failure: a scheduler of an earlier version, which tells nothing, gets no jobs.
def test_without_a_report_all_jobs_are_accepted():
    room = TaskRoom()
    assert all(task_room.reserve(room, 10_000) for _ in range(100))


# Failure: a job of as many tasks as are allowed is refused by a small entry.
def test_the_largest_job_has_room_at_a_scheduler_without_others():
    room = TaskRoom(spare=task_room.derive_max_tasks(1 << 20))
    spec = JobSpec(stages=(Stage(count=MAX_TASKS_PER_JOB),))
    assert task_room.reserve(room, task_room.count_tasks(spec))


# Failure: jobs of one task are counted as if they took nothing beside it.
def test_jobs_count_beside_their_tasks():
    schedule = make_schedule()
    for number in range(10):
        add_job(schedule, job_id=f"{number:016x}")
    spare = task_room.count_spare_tasks(schedule.jobs.values(), 1000)
    assert spare == 1000 - 10 * (1 + task_room.JOB_TASKS)

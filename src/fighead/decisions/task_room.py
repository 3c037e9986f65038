"""Decides whether a job has more tasks than the scheduler has memory for.

The load that this is built for: clients that submit many jobs of thousands of tasks. A
few bytes describe such a job, and the scheduler keeps a state of each task until its
job has ended.
"""

import typing as t

from attrs import define

from ..job import MAX_TASKS_PER_JOB, JobSpec
from .schedule_state import JobState

#: Memory of the state of a task at the scheduler, and of its runs, in bytes.
TASK_BYTES = 1000
#: Memory of a job beside that of its tasks, as a number of tasks.
JOB_TASKS = 2
#: Memory of the index of a preceding stage, in bytes.
STAGE_INDEX_BYTES = 8
#: Share of a process's memory that the states of tasks may take.
MEMORY_SHARE = 1 / 8
#: Least share of an entry between two reports: a burst of ordinary jobs.
MIN_SHARE = 1000
#: Tasks of a small job, and room that larger ones leave to small ones.
SMALL_JOB_TASKS = 100
SMALL_JOBS_ROOM = 2000
#: Least number of tasks that any scheduler keeps: those of the largest job, its texts,
#: and room for small jobs.
MIN_MAX_TASKS = MAX_TASKS_PER_JOB * 3 // 2
#: Most tasks if the memory is not known.
DEFAULT_MAX_TASKS = 100_000


@define(eq=False)
class TaskRoom:
    """What an entry knows of the tasks that the scheduler can still take.

    Between two reports of the scheduler, jobs that were accepted count here. One report
    may be too early for a job that has just been accepted, so it counts for two.

    :param spare: As last reported; ``None`` if the scheduler does not tell.
    :param entries: Number of entries that accept jobs.
    :param in_flight: Tasks of jobs that are being stored.
    :param accepted: Tasks of jobs that were accepted since the last report.
    :param accepted_before: The same between the two reports before it.
    """

    spare: int | None = None
    entries: int = 1
    in_flight: int = 0
    accepted: int = 0
    accepted_before: int = 0

    @property
    def taken(self) -> int:
        """Tasks that count against what was reported."""
        return self.in_flight + self.accepted + self.accepted_before


def derive_max_tasks(memory_bytes: int | None) -> int:
    """Return how many tasks a scheduler can keep, at least those of any legal job.

    >>> derive_max_tasks(300 * 10**6)
    37500
    """
    if memory_bytes is None:
        return DEFAULT_MAX_TASKS
    return max(int(memory_bytes * MEMORY_SHARE / TASK_BYTES), MIN_MAX_TASKS)


def count_tasks(spec: JobSpec) -> int:
    """Return how many tasks a job counts as, with its texts.

    >>> count_tasks(JobSpec("x" * 4000, (Stage(count=5),)))
    11
    """
    text = len(spec.payload)
    for stage in spec.stages:
        text += len(stage.required_label) + len(stage.preferred_rack)
        text += len(stage.image) + STAGE_INDEX_BYTES * len(stage.after)
    return JOB_TASKS + spec.count_tasks() + text // TASK_BYTES


def count_spare_tasks(jobs: t.Iterable[JobState], max_tasks: int) -> int:
    """Return how many more tasks the scheduler can keep."""
    return max(0, max_tasks - sum(count_tasks(job.record.spec) for job in jobs))


def report_spare(room: TaskRoom, spare: int | None, entries: int) -> None:
    """Note what the scheduler reports."""
    room.spare, room.entries = spare, max(1, entries)
    room.accepted_before, room.accepted = room.accepted, 0


def reserve(room: TaskRoom, tasks: int) -> bool:
    """Reserve room for the tasks of a job, and return whether there is any.

    Each entry has its share, as others accept jobs too. A job that is larger than the
    share is accepted if no other one is under way. Large jobs leave some room to those
    of ordinary callers.
    """
    if room.spare is not None:
        left = room.spare - room.taken
        if tasks > SMALL_JOB_TASKS:
            left -= SMALL_JOBS_ROOM
        if tasks > left:
            return False
        share = max(room.spare // room.entries, MIN_SHARE)
        if room.taken and room.taken + tasks > share:
            return False
    room.in_flight += tasks
    return True


def release(room: TaskRoom, tasks: int, may_be_stored: bool) -> None:
    """Give reserved room back, or count it until the scheduler reports again.

    :param may_be_stored: Whether the job was accepted, or may have been.
    """
    room.in_flight -= tasks
    if may_be_stored:
        room.accepted += tasks

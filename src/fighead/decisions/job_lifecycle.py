"""Adds, restores, cancels, ends and removes jobs of the schedule."""

import datetime as dt
import sys
import typing as t

from ..job import (
    JobConfig,
    JobPhase,
    JobProgress,
    JobRecord,
    Queue,
    StageProgress,
    TaskKey,
)
from ..log import Event
from . import interference
from .schedule_state import Effect, JobState, LogNote, Schedule, StageState, TaskState
from .stopping import stop_runs

#: Maximum number of ended jobs kept in memory; older ones are read from the store.
MAX_ENDED_JOBS = 20_000
#: Maximum number of characters of a queue's name in a log line.
MAX_LOGGED_QUEUE_CHARS = 200
#: How long a task of an earlier scheduler is taken to have waited, unless its job is
#: newer. The true time is not known, and a series of schedulers must not defer a task
#: again and again.
INHERITED_WAIT = dt.timedelta(seconds=6)
#: Attempts of a task while those of its queue are not known. A job can't be revived
#: once it is shown as failed.
UNKNOWN_MAX_ATTEMPTS = sys.maxsize


def add_job(
    schedule: Schedule,
    record: JobRecord,
    revision: int,
    now: dt.datetime,
    progress: JobProgress | None = None,
    progress_revision: int = 0,
) -> list[Effect]:
    """Add an accepted job to the schedule and restore its progress.

    A job that is already scheduled only gets a missing store revision; one that has
    ended is ignored.
    """
    known = schedule.jobs.get(record.job_id)
    if known is not None:
        known.revision = known.revision or revision
        return []
    if record.job_id in schedule.ended_phases:
        return []
    configured = schedule.config.find_queue(record.queue)
    queue = _choose_queue(configured, schedule.config.version, record)
    job = JobState(record, queue, revision, _make_stages(record))
    job.progress_revision, job.taken_at = progress_revision, now
    wall_ms = schedule.wall_time(now).timestamp() * 1000
    age = dt.timedelta(milliseconds=wall_ms - record.accepted_ms)
    # Clocks differ between entries; an implausible age counts as zero.
    is_plausible = dt.timedelta() < age < dt.timedelta(hours=1)
    job.accepted_at = now - age if is_plausible else now
    schedule.jobs[record.job_id] = job
    if progress is not None:
        _restore_progress(job, progress)
    open_stages(job)
    if revision <= schedule.fence:
        waited = min(age, INHERITED_WAIT) if is_plausible else INHERITED_WAIT
        _assume_waiting(job, now - waited)
    fields: dict[str, t.Any] = {"job": record.job_id, "revision": revision}
    fields["queue"] = record.queue[:MAX_LOGGED_QUEUE_CHARS]
    fields |= {
        "config_version": schedule.config.version,
        "accepted_version": record.config_version,
        "max_attempts": queue.max_attempts,
    }
    return [LogNote(Event.JOB_TAKEN, fields)]


def _assume_waiting(job: JobState, since: dt.datetime) -> None:
    """Take the tasks of a job that an earlier scheduler knew for waiting.

    Those that are found running wait anew once their runs have ended.
    """
    for stage in job.stages.values():
        for index in stage.waiting_indexes if stage.is_open else ():
            stage.tasks[index].waiting_since = since


def _choose_queue(
    configured: Queue | None, config_version: int, record: JobRecord
) -> Queue:
    """Return the queue of a job by the later one of two configurations.

    An entry may have accepted the job under a configuration that the scheduler has yet
    to receive, or a later one may have removed the queue.

    :param configured: The queue in the scheduler's configuration, if it has one.
    """
    accepted = record.queue_settings
    if accepted is not None and (
        configured is None or record.config_version > config_version
    ):
        return accepted
    return configured or Queue(
        record.queue, "", "", record.upstream, max_attempts=UNKNOWN_MAX_ATTEMPTS
    )


def apply_config(schedule: Schedule, config: JobConfig) -> None:
    """Replace the configuration; jobs whose queue it lacks keep what they had."""
    schedule.config = config
    queues = {queue.name: queue for queue in config.queues}
    for job in schedule.jobs.values():
        configured = queues.get(job.record.queue)
        if configured is not None:
            job.queue = _choose_queue(configured, config.version, job.record)


def _make_stages(record: JobRecord) -> dict[tuple[int, int], StageState]:
    return {
        (occurrence, number): StageState(
            stage,
            [
                TaskState(TaskKey(record.job_id, occurrence, number, index))
                for index in range(stage.count)
            ],
            set(range(stage.count)),
        )
        for occurrence in range(max(1, record.spec.occurrences))
        for number, stage in enumerate(record.spec.stages)
    }


def _restore_progress(job: JobState, progress: JobProgress) -> None:
    if progress.has_started:
        job.phase = JobPhase.RUNNING
    for row in progress.stages:
        stage = job.stages.get((row.occurrence, row.stage))
        if stage is None:
            continue
        done = int(row.done, 16)
        for index, task in enumerate(stage.tasks):
            task.failures = set(row.failures.get(index, ()))
            task.checkpoint = row.checkpoints.get(index, "")
            if done >> index & 1:
                task.is_done = True
                stage.done_count += 1
                stage.waiting_indexes.discard(index)


def open_stages(job: JobState, *, are_accounted: bool = False) -> None:
    """Open each stage whose dependencies are done, so that its tasks may start.

    :param are_accounted: Whether no earlier scheduler can have opened them.
    """
    for (occurrence, _), stage in job.stages.items():
        if stage.is_open:
            continue
        stage.is_open = all(
            job.stages[occurrence, number].is_done for number in stage.spec.after
        )
        if stage.is_open and are_accounted:
            for task in stage.tasks:
                task.is_accounted = True


def build_progress(job: JobState) -> JobProgress:
    """Return the progress of an unfinished job that must survive a new election."""
    return JobProgress(
        stages=tuple(
            _build_stage_progress(occurrence, number, stage)
            for (occurrence, number), stage in job.stages.items()
            if stage.done_count or any(t.failures or t.checkpoint for t in stage.tasks)
        ),
        is_started=job.phase is not JobPhase.QUEUED,
    )


def _build_stage_progress(
    occurrence: int, number: int, stage: StageState
) -> StageProgress:
    done = sum(1 << i for i, task in enumerate(stage.tasks) if task.is_done)
    failures = {
        i: tuple(sorted(t.failures)) for i, t in enumerate(stage.tasks) if t.failures
    }
    checkpoints = {
        i: t.checkpoint
        for i, t in enumerate(stage.tasks)
        if t.checkpoint and not t.is_done
    }
    return StageProgress(occurrence, number, f"{done:x}", failures, checkpoints)


def cancel_job(schedule: Schedule, job_id: str) -> list[Effect]:
    """Cancel a job and stop its runs; does nothing if it is unknown or has ended."""
    job = schedule.jobs.get(job_id)
    if job is None or job.is_ended:
        return []
    job.is_cancelled = True
    return end_job(schedule, job, JobPhase.CANCELLED, "its client cancelled it")


def end_job(
    schedule: Schedule, job: JobState, phase: JobPhase, reason: str
) -> list[Effect]:
    """Set the final phase of a job, clear its waiting tasks and stop its runs."""
    job.phase, job.reason = phase, reason
    schedule.unsaved_jobs.add(job.job_id)
    for stage in job.stages.values():
        stage.waiting_indexes.clear()
    note = LogNote(
        Event.JOB_ENDED, {"job": job.job_id, "phase": phase.value, "reason": reason}
    )
    return [note, *stop_runs(job.runs())]


def forget_job(schedule: Schedule, job_id: str) -> None:
    """Remove a job whose end is stored and which has no runs left.

    Its final phase is kept in ``Schedule.ended_phases``.
    """
    job = schedule.jobs.get(job_id)
    if job is None or not job.is_end_stored or any(True for _ in job.runs()):
        return
    del schedule.jobs[job_id]
    while len(schedule.ended_phases) >= MAX_ENDED_JOBS:
        del schedule.ended_phases[next(iter(schedule.ended_phases))]
    interference.remove_job(schedule.interference, job_id)
    schedule.ended_phases[job_id] = job.phase

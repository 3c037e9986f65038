"""Updates the schedule from start results, listings and stop confirmations."""

import datetime as dt
import typing as t

from ..job import JobPhase, TaskKey
from ..log import Event
from ..run import EndKind, ListedRun, Listing, RefusalReason, RunEnd, StopRun
from . import filler_control, instance_health
from .job_lifecycle import end_job, open_stages
from .schedule_state import (
    Effect,
    InstanceState,
    JobState,
    LogNote,
    Order,
    RunPhase,
    RunState,
    Schedule,
    StageState,
    TaskState,
)
from .stopping import stop_runs

#: Maximum number of ended runs in one listing, as specified by the page on running
#: tasks.
MAX_ENDS_LISTED = 500
#: Time after a confirmed stop at which the run should have ended; instances take up
#: to 0.9 s to stop a run.
STOP_TIMEOUT = dt.timedelta(milliseconds=1200)
#: How long after its order a start without an answer may still be carried out. The
#: platform's pages set no limit but "seconds later".
MAX_ORDER_DELAY = dt.timedelta(seconds=13)
#: Delay after a refused start before another run is placed on the instance.
REFUSAL_BACKOFF = dt.timedelta(milliseconds=500)


def find_run(schedule: Schedule, key: TaskKey, number: int) -> RunState | None:
    """Return a run that may still exist, or ``None`` if it is unknown or released."""
    job = schedule.jobs.get(key.job_id)
    task = job.task(key) if job else None
    runs = task.runs if task else []
    return next((run for run in runs if run.number == number), None)


def find_unknown_jobs(schedule: Schedule, listing: Listing) -> set[str]:
    """Return the IDs of the jobs in a listing that the schedule does not know.

    They may have been accepted very recently, so the caller must look them up in the
    store before it applies the listing.
    """
    listed = {listed_run.task.job_id for listed_run in listing.running}
    listed.update(end.task.job_id for end in listing.ended)
    return listed - schedule.jobs.keys() - schedule.ended_phases.keys()


def apply_listing(
    schedule: Schedule,
    state: InstanceState,
    listing: Listing,
    sent_at: dt.datetime,
    now: dt.datetime,
) -> list[Effect]:
    """Update the schedule from the running and ended runs listed by an instance.

    :param sent_at: When the listing was requested. A run that was confirmed before
        and is not listed has ended, and so has one whose start can't arrive any more.
    """
    effects: list[Effect] = []
    state.listed_at = sent_at
    # Otherwise there may be further ends, of runs that seem never to have started.
    has_all_ends = len(listing.ended) < MAX_ENDS_LISTED
    if not state.is_listed:
        effects.append(_note_first_listing(state, listing, has_all_ends))
        # The incarnation has seen a fence above those of all earlier starts.
        state.late_starts.clear()
    earlier_unwanted, state.unwanted = state.unwanted, {}
    for listed_run in listing.running:
        effects += _apply_listed_run(schedule, state, listed_run, earlier_unwanted, now)
    for end in listing.ended:
        if end.sequence > state.last_end_sequence:
            effects += _apply_end(schedule, state, end, now)
    if listing.ended:
        state.last_end_sequence = max(
            state.last_end_sequence, listing.ended[-1].sequence
        )
    if has_all_ends:
        effects += _requeue_missing_runs(schedule, state, listing, sent_at, now)
        state.is_listed = True
    filler_control.learn_from_listing(schedule, state, now)
    effects += filler_control.describe_misses(schedule, state, now)
    effects += instance_health.update_suspicion(schedule, state, now)
    return effects + filler_control.pace_fillers(schedule, state, now)


def _note_first_listing(
    state: InstanceState, listing: Listing, has_all_ends: bool
) -> LogNote:
    fields: dict[str, t.Any] = {"instance": state.instance.instance_id}
    fields |= {"incarnation": state.instance.incarnation}
    fields |= {"restarts": state.restart_count, "runs": len(listing.running)}
    fields["ends"] = len(listing.ended)
    event = Event.INSTANCE_LISTED if has_all_ends else Event.INSTANCE_LISTED_IN_PART
    return LogNote(event, fields)


def _apply_listed_run(
    schedule: Schedule,
    state: InstanceState,
    listed_run: ListedRun,
    earlier_unwanted: t.Mapping[tuple[TaskKey, int], dt.datetime],
    now: dt.datetime,
) -> list[Effect]:
    run = find_run(schedule, listed_run.task, listed_run.number)
    if run is not None and run.instance_id == state.instance.instance_id:
        _update_progress(schedule, run, listed_run, now)
        return _repeat_stop(run, now)
    job = schedule.jobs.get(listed_run.task.job_id)
    task = job.task(listed_run.task) if job else None
    if job is None or task is None or not _may_adopt(job, task):
        identity = (listed_run.task, listed_run.number)
        return _stop_unwanted_run(state, identity, earlier_unwanted.get(identity), now)
    return _adopt_run(schedule, state, job, task, listed_run, now)


def _stop_unwanted_run(
    state: InstanceState,
    identity: tuple[TaskKey, int],
    ordered_at: dt.datetime | None,
    now: dt.datetime,
) -> list[Effect]:
    """Order the stop of a run that is not in the schedule.

    :param ordered_at: When its stop was last ordered.
    """
    instance_id = state.instance.instance_id
    if ordered_at is not None and now - ordered_at < STOP_TIMEOUT:
        state.unwanted[identity] = ordered_at
        return []
    state.unwanted[identity] = now
    task, number = identity
    fields = {"task": str(task), "run": number, "instance": instance_id}
    return [
        LogNote(Event.RUN_UNWANTED, fields),
        Order(instance_id, StopRun(task, number)),
    ]


def _repeat_stop(run: RunState, now: dt.datetime) -> list[Effect]:
    """Repeat the stop of a run that is still listed after ``STOP_TIMEOUT``.

    The instance may have restarted since it confirmed the stop.
    """
    confirmed_at = run.confirmed_at
    if run.phase is not RunPhase.STOPPING or confirmed_at is None:
        return []
    if now - confirmed_at < STOP_TIMEOUT:
        return []
    run.confirmed_at = None
    return [Order(run.instance_id, StopRun(run.key, run.number))]


def _may_adopt(job: JobState, task: TaskState) -> bool:
    stage = job.stages[task.key.occurrence, task.key.stage].spec
    return (
        not job.is_ended
        and not task.is_done
        and (not task.runs or (stage.allows_copies and len(task.runs) < 2))
    )


def _adopt_run(
    schedule: Schedule,
    state: InstanceState,
    job: JobState,
    task: TaskState,
    listed_run: ListedRun,
    now: dt.datetime,
) -> list[Effect]:
    stage = job.stages[task.key.occurrence, task.key.stage]
    run = RunState(
        task.key,
        listed_run.number,
        state.instance.instance_id,
        RunPhase.RUNNING,
        now,
        stage.spec,
        confirmed_at=now,
        progressed_at=now,
        is_pace_known=not stage.spec.is_filler,
    )
    add_run(state, stage, task, run)
    _update_progress(schedule, run, listed_run, now)
    fields = {
        "task": str(task.key),
        "run": listed_run.number,
        "percent": listed_run.percent,
    }
    fields["instance"] = state.instance.instance_id
    effects: list[Effect] = [LogNote(Event.RUN_ADOPTED, fields)]
    if state.instance.is_draining and stage.spec.is_lasting:
        effects += stop_runs([run])
    return effects


def add_run(
    state: InstanceState, stage: StageState, task: TaskState, run: RunState
) -> None:
    """Add a run to its instance, its stage and its task."""
    task.runs.append(run)
    run.waiting_since, task.waiting_since = task.waiting_since, None
    task.is_accounted = True
    task.highest_run_number = max(task.highest_run_number, run.number)
    stage.waiting_indexes.discard(task.key.index)
    instance_id = state.instance.instance_id
    stage.runs_by_instance[instance_id] = stage.runs_by_instance.get(instance_id, 0) + 1
    state.add(run)


def _note_started(job: JobState) -> None:
    """Record that a run of a job has started.

    An order alone doesn't show it: the instance may refuse it or never receive it.
    """
    if job.phase is JobPhase.QUEUED:
        job.phase = JobPhase.RUNNING


def _update_progress(
    schedule: Schedule, run: RunState, listed_run: ListedRun, now: dt.datetime
) -> None:
    if run.phase is RunPhase.ORDERED:
        run.phase = RunPhase.RUNNING
        run.confirmed_at = now
    if run.first_listed_at is None:
        run.first_listed_at, run.first_listed_percent = now, listed_run.percent
    if listed_run.percent > run.percent or run.progressed_at is None:
        run.progressed_at = now
    run.percent, run.usage = listed_run.percent, listed_run.usage
    job = schedule.jobs[run.key.job_id]
    _note_started(job)
    if listed_run.checkpoint:
        task = job.task(run.key)
        if task is not None:
            task.checkpoint = listed_run.checkpoint


def _apply_end(
    schedule: Schedule, state: InstanceState, end: RunEnd, now: dt.datetime
) -> list[Effect]:
    job = schedule.jobs.get(end.task.job_id)
    task = job.task(end.task) if job else None
    if job is None or task is None:
        return []
    _note_started(job)
    run = find_run(schedule, end.task, end.number)
    if run is not None:
        instance_health.record_end(schedule, state, job, run, end.kind, now)
        release_run(schedule, run)
    task.highest_run_number = max(task.highest_run_number, end.number)
    fields = {"task": str(end.task), "run": end.number, "kind": end.kind.value}
    fields |= {"instance": state.instance.instance_id, "sequence": end.sequence}
    return [
        LogNote(Event.RUN_ENDED, fields),
        *update_task_after_end(schedule, job, task, end, state, now),
    ]


def update_task_after_end(
    schedule: Schedule,
    job: JobState,
    task: TaskState,
    end: RunEnd,
    state: InstanceState,
    now: dt.datetime,
) -> list[Effect]:
    """Update a task and its job after one of the task's runs has ended.

    A successful run completes the task, except in a lasting stage. Otherwise the task
    waits for its next run, or the job fails if the task, or its gang, has no attempts
    left. Lasting tasks have no limit.
    """
    stage = job.stages[task.key.occurrence, task.key.stage]
    if end.checkpoint:
        task.checkpoint = end.checkpoint
    if job.is_ended or task.is_done:
        return []
    if end.kind is EndKind.DONE and not stage.spec.is_lasting:
        return _complete_task(schedule, job, stage, task)
    if end.kind is EndKind.FAILED:
        task.failures.add(end.number)
        task.avoided_instances.add(state.instance.instance_id)
        schedule.unsaved_jobs.add(job.job_id)
        if _has_exhausted_attempts(job, stage, task):
            reason = f"task {str(task.key)} failed in runs {sorted(task.failures)}"
            return end_job(schedule, job, JobPhase.FAILED, reason)
    if not task.runs:
        stage.waiting_indexes.add(task.key.index)
    return []


def _has_exhausted_attempts(job: JobState, stage: StageState, task: TaskState) -> bool:
    attempts = max(1, job.queue.max_attempts)
    # A failure of any member counts as a failure of the whole gang.
    members = stage.tasks if stage.spec.is_gang else [task]
    failures = set[int]().union(*(member.failures for member in members))
    return not stage.spec.is_lasting and len(failures) >= attempts


def _complete_task(
    schedule: Schedule, job: JobState, stage: StageState, task: TaskState
) -> list[Effect]:
    members = stage.tasks if stage.spec.is_gang else [task]
    effects: list[Effect] = []
    for member in members:
        if member.is_done:
            continue
        member.is_done = True
        stage.done_count += 1
        stage.waiting_indexes.discard(member.key.index)
        effects += stop_runs(member.runs)
    schedule.unsaved_jobs.add(job.job_id)
    if stage.is_done:
        # No earlier scheduler has seen the task done, so none has opened them.
        open_stages(job, are_accounted=task.is_accounted)
    if all(each.is_done for each in job.stages.values()):
        effects += end_job(schedule, job, JobPhase.COMPLETED, "all tasks are done")
    return effects


def release_run(schedule: Schedule, run: RunState) -> None:
    """Free the capacity of a run that is known to have ended."""
    job = schedule.jobs.get(run.key.job_id)
    if job is not None:
        stage = job.stages[run.key.occurrence, run.key.stage]
        task = stage.tasks[run.key.index]
        if run in task.runs:
            task.runs.remove(run)
            stage.runs_by_instance[run.instance_id] -= 1
    state = schedule.instances.get(run.instance_id)
    if state is not None:
        state.remove(run)


def requeue_lost_run(
    schedule: Schedule, run: RunState, ended_at: dt.datetime | None = None
) -> None:
    """Release a run that ended without reporting how.

    Its task is queued again unless it is done, has another run or its job has ended.
    It goes on waiting if the run was never seen to start.

    :param ended_at: When the run may have ended at the earliest; ``None`` for now.
    """
    release_run(schedule, run)
    job = schedule.jobs.get(run.key.job_id)
    if job is None or job.is_ended:
        return
    stage = job.stages[run.key.occurrence, run.key.stage]
    task = stage.tasks[run.key.index]
    if not task.is_done and not task.runs:
        stage.waiting_indexes.add(run.key.index)
        task.waiting_since = (
            run.waiting_since if run.progressed_at is None else ended_at
        )


def _requeue_missing_runs(
    schedule: Schedule,
    state: InstanceState,
    listing: Listing,
    sent_at: dt.datetime,
    now: dt.datetime,
) -> list[Effect]:
    listed = {(listed_run.task, listed_run.number) for listed_run in listing.running}
    effects: list[Effect] = []
    for identity, run in list(state.runs.items()):
        was_confirmed = run.confirmed_at is not None and run.confirmed_at < sent_at
        is_overdue = sent_at >= run.ordered_at + MAX_ORDER_DELAY
        if identity in listed or not (was_confirmed or is_overdue):
            continue
        if not was_confirmed:
            _avoid_instance(schedule, run)
        fields = {"task": str(run.key), "run": run.number}
        fields["instance"] = run.instance_id
        effects.append(LogNote(Event.RUN_MISSING, fields))
        requeue_lost_run(schedule, run)
    return effects


def _avoid_instance(schedule: Schedule, run: RunState) -> None:
    """Prefer other instances for the task of a run whose orders got no answer."""
    job = schedule.jobs.get(run.key.job_id)
    task = job.task(run.key) if job else None
    if task is not None:
        task.avoided_instances.add(run.instance_id)


def apply_start_result(
    schedule: Schedule,
    key: TaskKey,
    number: int,
    refusal: RefusalReason | None,
    now: dt.datetime,
    is_certain: bool = False,
) -> list[Effect]:
    """Update the schedule from an instance's answer to the start of a run.

    :param refusal: Why the run was refused; ``None`` if it was started.
    :param is_certain: Whether no attempt to start it can arrive any more.
    """
    run = find_run(schedule, key, number)
    if run is None:
        return []
    run.may_start_late = not is_certain
    if refusal in (None, RefusalReason.STALE):
        _note_started(schedule.jobs[key.job_id])
    if refusal is None:
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = run.progressed_at = now
        return []
    state = schedule.instances.get(run.instance_id)
    if state is not None and refusal is not RefusalReason.STALE:
        state.start_backoff_until = now + REFUSAL_BACKOFF
    if refusal is RefusalReason.STALE:
        # The run was started before and has ended; the next listing shows how.
        run.confirmed_at = now
        return []
    fields = {"task": str(key), "run": number, "reason": refusal.value}
    fields["instance"] = run.instance_id
    requeue_lost_run(schedule, run)
    return [LogNote(Event.START_REFUSED, fields)]


def stop_unanswered_start(
    schedule: Schedule, key: TaskKey, number: int
) -> list[Effect]:
    """Stop a run whose start was not answered.

    An instance refuses to start a run that it has been ordered to stop.
    """
    run = find_run(schedule, key, number)
    if run is None or run.phase is not RunPhase.ORDERED:
        return []
    run.phase = RunPhase.STOPPING
    fields = {"task": str(key), "run": number, "instance": run.instance_id}
    return [
        LogNote(Event.START_UNANSWERED, fields),
        Order(run.instance_id, StopRun(key, number)),
    ]


def record_stop_confirmation(
    schedule: Schedule, key: TaskKey, number: int, now: dt.datetime
) -> list[Effect]:
    """Record that an instance confirmed a stop; a later listing shows the end."""
    run = find_run(schedule, key, number)
    if run is not None:
        run.confirmed_at = now
    return []
